"""Import direction: decision code imports no peer package and no I/O."""

import ast
import unittest
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
WITH_INPUT_OUTPUT = {"core_task", "daemon", "tasks", "transfers", "web", "clock"}


def imported(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name.split(".")[0] for alias in node.names}
        if isinstance(node, ast.ImportFrom):
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
