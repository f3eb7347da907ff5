"""The scenario language: a line each for members, work, trouble and expectations.

One page describes it: ``docs/scenarios.md``. A scenario is read line by line with
`shlex`; each command is a function that a decorator registers.
"""

import shlex
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from ashhoist.configuration import Change, Decision, Verdict
from ashhoist.failures import Outcome
from ashhoist.ini import parse_duration
from ashhoist.types import Priority

from .world import World

Command = Callable[["Scenario", list[str]], None]
commands_by_name: dict[str, Command] = {}
SETTLE = timedelta(seconds=4)


class ScenarioError(ValueError):
    """A line of a scenario that cannot be understood."""


def command(name: str) -> Callable[[Command], Command]:
    """Register a command of the language."""

    def decorate(function: Command) -> Command:
        commands_by_name[name] = function
        return function

    return decorate


def duration(text: str) -> timedelta:
    """Return the duration in a text such as ``250ms``.

    Raises
    ------
    ScenarioError
        If it is none.
    """
    try:
        found = parse_duration(text)
    except ValueError as error:
        raise ScenarioError(f"{text!r} is no duration: {error}") from None
    if found < timedelta():
        raise ScenarioError(f"{text!r} is no duration: time cannot go back")
    return found


def priority_of(text: str) -> Priority:
    """Return the priority of that name.

    Raises
    ------
    ScenarioError
        If there is none.
    """
    found = Priority.parse(text)
    if found is None:
        raise ScenarioError(f"no priority {text!r}")
    return found


@dataclass
class Scenario:
    """One scenario under way."""

    seed: int = 0
    world: World = field(init=False)
    failures: list[str] = field(default_factory=list)
    changes: int = 0
    turn: int = 0

    def __post_init__(self) -> None:
        self.world = World(["zone-0"], self.seed)

    def run(self, text: str) -> list[str]:
        """Run all lines; return what failed, broken promises included.

        Raises
        ------
        ScenarioError
            If a line cannot be understood; the message names it.
        """
        for number, line in enumerate(text.splitlines(), start=1):
            try:
                self.run_line(line)
            except (ScenarioError, IndexError, KeyError, ValueError) as error:
                raise ScenarioError(f"line {number}: {line!r}: {error}") from error
        return self.failures + self.world.broken_promises()

    def run_line(self, line: str) -> None:
        """Run one line."""
        words = shlex.split(line, comments=True)
        if not words:
            return
        name, *arguments = words
        if name not in commands_by_name:
            known = ", ".join(sorted(commands_by_name))
            raise ScenarioError(f"unknown command {name!r}; known are {known}")
        commands_by_name[name](self, arguments)

    def apply(self, kind: str, name: str, spec: dict[str, Any] | None) -> str:
        """Make an operator's change at the first instance; return its operation."""
        self.changes += 1
        operation = f"scenario-{self.changes}"
        first = self.instance({})
        self.world.change(first, Change(operation, kind, name, spec))
        return operation

    def instance(self, options: dict[str, str]) -> str:
        """Return the instance that a caller's request goes to.

        As a balancer does, it takes another if the one asked for is gone.
        """
        if options.get("from") in self.world.nodes:
            return options["from"]
        names = [
            name
            for name, node in sorted(self.world.nodes.items())
            if node.core.ready and not node.frozen
        ] or sorted(self.world.nodes)
        self.turn += 1
        return names[self.turn % len(names)]

    def named(self, text: str) -> str:
        """Return an instance's name; ``home:e0`` is the home of that upstream."""
        kind, separator, upstream = text.partition(":")
        if kind != "home" or not separator:
            return text
        nodes = [self.world.nodes[name] for name in sorted(self.world.nodes)]
        return nodes[0].core.homes.home_of(upstream) or ""

    def expect(self, holds: bool, text: str) -> None:
        """Note an expectation that does not hold."""
        if not holds:
            self.failures.append(text)


def _options(words: list[str]) -> dict[str, str]:
    """Return pairs of words as options; a word with no partner is a flag."""
    flags = {"stream", "once", "fences"}
    options: dict[str, str] = {}
    rest = list(words)
    while rest:
        word = rest.pop(0)
        options[word] = "yes" if word in flags else rest.pop(0)
    return options


# Members


@command("zones")
def _zones(scenario: Scenario, words: list[str]) -> None:
    names = [f"zone-{index}" for index in range(int(words[0]))]
    loads = float(_options(words[1:]).get("loads", "2"))
    scenario.world = World(names, scenario.seed, loads)


@command("instances")
def _instances(scenario: Scenario, words: list[str]) -> None:
    zones = scenario.world.zones
    for index in range(int(words[0])):
        scenario.world.add_node(f"i{index}", zones[index % len(zones)])


@command("instance")
def _instance(scenario: Scenario, words: list[str]) -> None:
    scenario.world.add_node(words[0], words[1])


@command("engine")
def _engine(scenario: Scenario, words: list[str]) -> None:
    name, zone = words[:2]
    options = _options(words[2:])
    slots = int(options.get("slots", "2"))
    scenario.world.add_engine(name, zone, slots, "fences" in options)


@command("service")
def _service(scenario: Scenario, words: list[str]) -> None:
    scenario.world.add_service(words[0], words[1])


@command("declare")
def _declare(scenario: Scenario, words: list[str]) -> None:
    """Declare all upstreams and so many adapters, and wait until all is settled."""
    world = scenario.world
    world.run(SETTLE)
    scenario.apply("base-models", "base", {"description": ""})
    for name, engine in world.engines.items():
        spec = {
            "type": "engine",
            "address": name,
            "availability_zone": world.zone_of[name],
            "region": "region-1",
            "base_model": "base",
            "service": None,
            "slots": engine.slots,
            "max_batch": engine.max_batch,
            "checks_fence": engine.checks_fence,
        }
        scenario.apply("upstreams", name, spec)
    for name in world.services:
        spec = {
            "type": "service",
            "address": name,
            "availability_zone": world.zone_of[name],
            "region": "region-1",
            "base_model": None,
            "service": "booking",
            "slots": 1,
            "max_batch": 16,
            "checks_fence": False,
        }
        scenario.apply("upstreams", name, spec)
    for index in range(int(words[0])):
        _adapter(scenario, [f"a{index}", "v1"])
    world.run(SETTLE)


@command("adapter")
def _adapter(scenario: Scenario, words: list[str]) -> None:
    name, *versions = words
    spec = {
        "base_model": "base",
        "versions": {version: {"weights": f"{name}/{version}"} for version in versions},
        "default_version": versions[-1],
        "priority": "normal",
        "team": "default",
    }
    scenario.apply("adapters", name, spec)


@command("delete")
def _delete(scenario: Scenario, words: list[str]) -> None:
    scenario.apply(words[0], words[1], None)


@command("race")
def _race(scenario: Scenario, words: list[str]) -> None:
    """Let two operators create the same base model at two instances."""
    name, one, other = words
    world = scenario.world
    for instance in (one, other):
        if instance not in world.nodes:
            continue
        operation = f"race-{name}-{instance}"
        change = Change(operation, "base-models", name, {"by": instance}, -1)
        world.change(instance, change)


# Work


@command("ask")
def _ask(scenario: Scenario, words: list[str]) -> None:
    options = _options(words[1:])
    for _ in range(int(options.get("times", "1"))):
        request: dict[str, Any] = {
            "model": words[0],
            "stream": "stream" in options,
            "tokens": int(options.get("tokens", "8")),
            "timeout": duration(options.get("timeout", "30s")),
            "repeatable": "once" not in options,
            "key": options.get("key", ""),
        }
        if "priority" in options:
            request["priority"] = priority_of(options["priority"])
        scenario.world.ask(scenario.instance(options), **request)


@command("book")
def _book(scenario: Scenario, words: list[str]) -> None:
    options = _options(words[1:])
    scenario.world.ask(
        scenario.instance(options),
        service="booking",
        path="/book",
        key=words[0],
        repeatable=False,
        timeout=duration(options.get("timeout", "30s")),
    )


@command("vanish")
def _vanish(scenario: Scenario, words: list[str]) -> None:
    scenario.world.vanish()


@command("wait")
def _wait(scenario: Scenario, words: list[str]) -> None:
    scenario.world.run(duration(words[0]))


# Trouble


@command("kill")
def _kill(scenario: Scenario, words: list[str]) -> None:
    name = scenario.named(words[0])
    if name in scenario.world.nodes:
        scenario.world.kill(name)


@command("stop")
def _stop(scenario: Scenario, words: list[str]) -> None:
    name = scenario.named(words[0])
    if name in scenario.world.nodes:
        scenario.world.stop(name)


@command("freeze")
def _freeze(scenario: Scenario, words: list[str]) -> None:
    name = scenario.named(words[0])
    if name in scenario.world.nodes:
        scenario.world.freeze(name)


@command("thaw")
def _thaw(scenario: Scenario, words: list[str]) -> None:
    scenario.world.thaw(words[0])


@command("cut")
def _cut(scenario: Scenario, words: list[str]) -> None:
    scenario.world.cut(words[0], words[1])


@command("heal")
def _heal(scenario: Scenario, words: list[str]) -> None:
    scenario.world.heal()


@command("restart")
def _restart(scenario: Scenario, words: list[str]) -> None:
    scenario.world.restart(words[0])


@command("leave")
def _leave(scenario: Scenario, words: list[str]) -> None:
    scenario.world.leave(words[0])


@command("log")
def _log(scenario: Scenario, words: list[str]) -> None:
    scenario.world.log.down = words[0] == "down"


@command("list")
def _list(scenario: Scenario, words: list[str]) -> None:
    scenario.world.list_down = words[0] == "down"


@command("retention")
def _retention(scenario: Scenario, words: list[str]) -> None:
    scenario.world.log.retention = duration(words[0])


@command("store")
def _store(scenario: Scenario, words: list[str]) -> None:
    scenario.world.store.down = words[0] == "down"
    scenario.world.store.slowdown = 2.0 if words[0] == "slow" else 1.0


@command("lose")
def _lose(scenario: Scenario, words: list[str]) -> None:
    """Lose the next answers: of orders, of appends or of a service."""
    count = int(words[1])
    if words[0] == "orders":
        scenario.world.lost_order_answers = count
    elif words[0] == "appends":
        scenario.world.lost_append_answers = count
    else:
        scenario.world.services[words[0]].lost_answers = count


@command("delay")
def _delay(scenario: Scenario, words: list[str]) -> None:
    """Delay all orders on their way to the engines."""
    scenario.world.order_delay = duration(words[0])


@command("fail")
def _fail(scenario: Scenario, words: list[str]) -> None:
    """Let the next loads at an engine fail."""
    scenario.world.engines[words[0]].fail_loads = int(words[1])


# Expectations


def _compare(found: int, relation: str, wanted: int) -> bool:
    relations = {
        "=": found == wanted,
        ">=": found >= wanted,
        "<=": found <= wanted,
        ">": found > wanted,
    }
    return relations[relation]


@command("expect")
def _expect(scenario: Scenario, words: list[str]) -> None:
    """Compare a figure: ``expect whole >= 3``."""
    what, relation, wanted = words
    found = figures(scenario)[what]
    text = f"expected {what} {relation} {wanted}, found {found}"
    scenario.expect(_compare(found, relation, int(wanted)), text)


def figures(scenario: Scenario) -> dict[str, int]:
    """Return the figures that expectations can name."""
    world = scenario.world
    asked = list(world.asked.values())
    outcomes = [item.failure.outcome for item in asked if item.failure is not None]
    ready = [node for node in world.nodes.values() if not node.frozen]
    offsets = [node.core.changes.state.offset for node in ready]
    races = [
        decision
        for operation, decision in world.decided.items()
        if operation.startswith("race-") and isinstance(decision, Decision)
    ]
    holders = {
        name: {node.core.homes.holder_of(name) for node in ready}
        for name in world.engines
    }
    return {
        "asked": len(asked),
        "whole": sum(1 for item in asked if item.whole),
        "open": sum(1 for item in asked if not item.ended),
        "not_run": outcomes.count(Outcome.NOT_RUN),
        "failed": outcomes.count(Outcome.FAILED),
        "unknown": outcomes.count(Outcome.UNKNOWN),
        "loads": sum(engine.loads for engine in world.engines.values()),
        "unloads": sum(engine.unloads for engine in world.engines.values()),
        "ready": sum(1 for node in ready if node.core.ready),
        "offsets": len(set(offsets)),
        "adapters": min(
            len(node.core.changes.state.of_kind("adapters")) for node in ready
        ),
        "one_holder": sum(
            1 for found in holders.values() if len(found) == 1 and None not in found
        ),
        "race_accepted": sum(
            1 for decision in races if decision.verdict is Verdict.ACCEPTED
        ),
        "race_conflicts": sum(
            1 for decision in races if decision.verdict is Verdict.CONFLICT
        ),
        "busy": sum(
            len(home.running) + len(home.recording) + len(home.queue)
            for node in ready
            for home in node.core.homes.by_upstream.values()
        ),
        "store_at_once": world.store.most_at_once,
        "runs": sum(
            sum(service.runs_by_request.values()) for service in world.services.values()
        ),
    }
