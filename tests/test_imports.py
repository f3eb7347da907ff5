"""Import direction: decision code imports no peer package and no I/O."""

import ast
import unittest
from graphlib import TopologicalSorter
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "packages" / "ashhoist" / "src" / "ashhoist"
PEERS = {
    "callers",
    "operators",
    "instances",
    "engines",
    "services",
    "log_service",
    "instance_list",
}
INPUT_OUTPUT = {
    "asyncio",
    "pycurl",
    "requests",
    "select",
    "selectors",
    "socket",
    "subprocess",
    "threading",
    "time",
    "urllib",
    "websockets",
    "werkzeug",
}
WITH_INPUT_OUTPUT = {
    "clock",
    "core_task",
    "daemon",
    "logs",
    "probes",
    "process",
    "request_wiring",
    "signals",
    "tasks",
    "transfers",
    "web",
}
DECISION_ROOMS = (
    "rates",
    "customers",
    "quarantine",
    "routing",
    "placement",
    "orders",
    "overload",
    "control",
)
ROOM_MODULES_WITH_INPUT_OUTPUT = {"task", "engines"}
"""In ``control``: the task around the core, and its talk with engines."""

ROOMS_BELOW = {
    "http": set(),
    "store": set(),
    "rates": set(),
    "customers": {"rates"},
    "quarantine": set(),
    "routing": {"customers"},
    "upstreams": set(),
    "orders": {"store"},
    "overload": {"upstreams"},
    "placement": {"orders", "routing", "upstreams"},
    "control": {
        "customers",
        "http",
        "instances",
        "orders",
        "overload",
        "placement",
        "quarantine",
        "rates",
        "routing",
        "store",
    }
    | {"upstreams"},
    "requests": {
        "customers",
        "http",
        "overload",
        "placement",
        "quarantine",
        "routing",
        "upstreams",
    },
}
"""Which rooms a room may import; so there is no ring."""


def imported(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name.split(".")[0] for alias in node.names}
        if isinstance(node, ast.ImportFrom):
            module = (node.module or "").split(".")[0]
            found |= {module} if module else {alias.name for alias in node.names}
    return found


def imported_rooms(path: Path) -> set[str]:
    """Return the neighbours of a room's module: what stands behind two dots."""
    return {
        (node.module or "").split(".")[0]
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and node.level == 2
    }


def imported_neighbours(path: Path) -> set[str]:
    """Return the modules of its own room that a module imports, also for types only."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.level != 1:
            continue
        module = (node.module or "").split(".")[0]
        found |= {module} if module else {alias.name for alias in node.names}
    return found


class ImportTests(unittest.TestCase):
    def test_decision_code_imports_no_peer_and_no_input_output(self) -> None:
        for path in SOURCE.glob("*.py"):
            if path.stem in WITH_INPUT_OUTPUT:
                continue
            with self.subTest(path.name):
                self.assertEqual(imported(path) & (PEERS | INPUT_OUTPUT), set())

    def test_decision_rooms_do_no_input_and_output(self) -> None:
        for room in DECISION_ROOMS:
            for path in (SOURCE / room).glob("*.py"):
                if path.stem in ROOM_MODULES_WITH_INPUT_OUTPUT:
                    continue
                with self.subTest(f"{room}/{path.name}"):
                    self.assertEqual(imported(path) & INPUT_OUTPUT, set())

    def test_rooms_import_only_the_rooms_below_them(self) -> None:
        rooms = set(ROOMS_BELOW)
        for room, below in ROOMS_BELOW.items():
            for path in (SOURCE / room).glob("*.py"):
                with self.subTest(f"{room}/{path.name}"):
                    found = imported_rooms(path) & rooms
                    self.assertEqual(found - below - {room}, set())

    def test_the_modules_of_requests_form_no_cycle(self) -> None:
        # Guards against modules that can be read and changed only together.
        modules = (SOURCE / "requests").glob("*.py")
        sorter = TopologicalSorter(
            {path.stem: imported_neighbours(path) for path in modules}
        )
        # Raises CycleError, which names the modules of a cycle.
        sorter.prepare()

    def test_peers_import_no_other_peer(self) -> None:
        for peer in PEERS:
            for path in (SOURCE / peer).glob("*.py"):
                with self.subTest(path.name):
                    self.assertEqual(imported(path) & (PEERS - {peer}), set())

    def test_no_process_is_started(self) -> None:
        for path in SOURCE.rglob("*.py"):
            with self.subTest(path.name):
                banned = {"subprocess", "multiprocessing"}
                self.assertEqual(imported(path) & banned, set())


if __name__ == "__main__":
    unittest.main()
