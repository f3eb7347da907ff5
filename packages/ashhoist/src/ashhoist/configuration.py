"""Configuration as a deterministic fold over the records of the log.

Every instance applies the same records in offset order and so computes the same
state and the same verdict on each change. Nothing here does I/O or reads a
clock.
"""

import base64
import hashlib
import json
import sys
import zlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

STREAM = "configuration"
NO_OFFSET = -1
MUST_NOT_EXIST = -1
VERDICTS_KEPT = 4096
CHUNK_BYTES = 48_000
NONE = type(None)
FIELDS_BY_KIND: dict[str, dict[str, tuple[type, ...]]] = {
    "adapters": {
        "base_model": (str,),
        "versions": (dict,),
        "default_version": (str,),
        "priority": (str,),
        "team": (str,),
    },
    "upstreams": {
        "type": (str,),
        "address": (str,),
        "availability_zone": (str,),
        "region": (str,),
        "base_model": (str, NONE),
        "service": (str, NONE),
        "slots": (int,),
        "max_batch": (int,),
        "checks_fence": (bool,),
    },
    "policies": {
        "policy": (str,),
        "stall_weight": (float, int),
        "priority_weights": (dict,),
        "team_shares": (dict,),
        "queue_length": (int,),
    },
}
"""What the code relies on in a spec, whoever wrote the record.

The border checks far more, but its models may differ between releases, and
every instance must come to the same verdict."""
PRIORITIES = frozenset({"low", "normal", "high", "urgent"})
POLICIES = frozenset({"weighted", "naive"})


class Verdict(StrEnum):
    """What the fold decided about a change."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Decision:
    """The verdict on one operation."""

    verdict: Verdict
    offset: int
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Change:
    """One change that an operator asks for.

    Parameters
    ----------
    operation : str
        Unique; a change that appears on the log twice counts once.
    spec : dict or None
        None deletes the resource.
    based_on : int or None
        The resource version that the operator had seen, `MUST_NOT_EXIST` if
        there must be none yet, None to overwrite whatever is there.
    """

    operation: str
    kind: str
    name: str
    spec: dict[str, Any] | None
    based_on: int | None = None

    def to_record(self) -> dict[str, Any]:
        """Return the record that is appended to the log."""
        return {
            "operation": self.operation,
            "kind": self.kind,
            "name": self.name,
            "spec": self.spec,
            "based_on": self.based_on,
        }

    @classmethod
    def from_record(cls, record: Any) -> "Change | None":
        """Return the change in a record, or None if it is malformed."""
        if not isinstance(record, dict):
            return None
        operation, kind = record.get("operation"), record.get("kind")
        name, spec = record.get("name"), record.get("spec")
        based_on = record.get("based_on")
        if not (isinstance(operation, str) and isinstance(kind, str)):
            return None
        if not isinstance(name, str) or not isinstance(spec, dict | None):
            return None
        if isinstance(based_on, bool) or not isinstance(based_on, int | None):
            return None
        return cls(operation, kind, name, spec, based_on)


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource in force. Its version is the offset that last changed it.

    The spec is kept as text, as that takes a third of the memory of nested
    dicts and tens of thousands of adapters are idle.
    """

    kind: str
    name: str
    text: str
    version: int

    @property
    def spec(self) -> dict[str, Any]:
        """Return the spec as plain data."""
        return json.loads(self.text)


@dataclass(frozen=True, slots=True)
class Event:
    """One change of one resource, for watches."""

    offset: int
    kind: str
    name: str
    resource: Resource | None


@dataclass(slots=True)
class Configuration:
    """The state after all records up to `offset`.

    Attributes
    ----------
    retired_weights : dict
        Weights by version of the versions that are no longer declared, so that
        a version never comes back with other weights.
    """

    offset: int = NO_OFFSET
    by_kind: dict[str, dict[str, Resource]] = field(default_factory=dict)
    retired_weights: dict[str, str] = field(default_factory=dict)
    decisions_by_operation: "OrderedDict[str, Decision]" = field(
        default_factory=OrderedDict
    )

    def get(self, kind: str, name: str) -> Resource | None:
        """Return a resource in force, or None."""
        return self.by_kind.get(kind, {}).get(name)

    def of_kind(self, kind: str) -> dict[str, Resource]:
        """Return the resources of a kind by name."""
        return self.by_kind.get(kind, {})

    def apply(self, offset: int, record: Any) -> Event | None:
        """Apply the record at `offset`.

        Records at or below the applied offset are skipped, so that the state
        never goes back, whoever brings them.

        Returns
        -------
        Event or None
            The change that came into force, if one did.
        """
        if offset <= self.offset:
            return None
        self.offset = offset
        change = Change.from_record(record)
        if change is None or change.operation in self.decisions_by_operation:
            return None
        decision = self._decide(offset, change)
        self._remember(change.operation, decision)
        if decision.verdict is not Verdict.ACCEPTED:
            return None
        return self._put(offset, change)

    def _decide(self, offset: int, change: Change) -> Decision:
        current = self.get(change.kind, change.name)
        version = current.version if current else MUST_NOT_EXIST
        if change.based_on is not None and change.based_on != version:
            detail = f"based on version {change.based_on}, but it is {version}"
            return Decision(Verdict.CONFLICT, offset, detail)
        detail = self._invalid(change, current)
        if detail:
            return Decision(Verdict.INVALID, offset, detail)
        return Decision(Verdict.ACCEPTED, offset)

    def _invalid(self, change: Change, current: Resource | None) -> str:
        if change.spec is None and current is None:
            return "it does not exist"
        if change.kind == "base-models" and change.spec is None:
            return self._user_of_base_model(change.name)
        if change.spec is None:
            return ""
        problem = _shape_problem(change.kind, change.spec)
        if problem or change.kind != "adapters":
            return problem
        if self.get("base-models", str(change.spec.get("base_model"))) is None:
            return f"base model {change.spec.get('base_model')!r} does not exist"
        known = dict(_weights(change.name, current.spec)) if current else {}
        for version, weights in _weights(change.name, change.spec):
            before = known.get(version) or self.retired_weights.get(version)
            if before is not None and before != weights:
                return f"{version} has other weights; a version cannot change"
        return ""

    def _user_of_base_model(self, name: str) -> str:
        for kind in ("adapters", "upstreams"):
            for resource in self.of_kind(kind).values():
                if resource.spec.get("base_model") == name:
                    return f"used by {kind} {resource.name}"
        return ""

    def _put(self, offset: int, change: Change) -> Event:
        kind = sys.intern(change.kind)
        by_name = self.by_kind.setdefault(kind, {})
        before = by_name.pop(change.name, None)
        if kind == "adapters" and before is not None:
            self._retire(before, change.spec or {})
        if change.spec is None:
            return Event(offset, kind, change.name, None)
        text = json.dumps(change.spec, sort_keys=True, separators=(",", ":"))
        resource = Resource(kind, change.name, text, offset)
        by_name[change.name] = resource
        return Event(offset, kind, change.name, resource)

    def _retire(self, before: Resource, spec: dict[str, Any]) -> None:
        kept = dict(_weights(before.name, spec))
        for version, weights in _weights(before.name, before.spec):
            if version not in kept:
                self.retired_weights[version] = weights

    def _remember(self, operation: str, decision: Decision) -> None:
        self.decisions_by_operation[operation] = decision
        if len(self.decisions_by_operation) > VERDICTS_KEPT:
            self.decisions_by_operation.popitem(last=False)

    def to_chunks(self, written_at: str = "") -> list[dict[str, Any]]:
        """Return the whole state as records of bounded size for the log.

        Parameters
        ----------
        written_at : str
            Wall-clock time in ISO form, to judge the snapshot's age.
        """
        state = {
            "resources": [
                [item.kind, item.name, item.text, item.version]
                for kind in sorted(self.by_kind)
                for item in sorted(self.by_kind[kind].values(), key=lambda r: r.name)
            ],
            "retired": sorted(self.retired_weights.items()),
            "decisions": [
                [operation, decision.verdict.value, decision.offset, decision.detail]
                for operation, decision in self.decisions_by_operation.items()
            ],
        }
        packed = zlib.compress(json.dumps(state, sort_keys=True).encode(), 6)
        data = base64.b85encode(packed).decode()
        digest = hashlib.sha256(data.encode()).hexdigest()
        parts = [
            data[start : start + CHUNK_BYTES]
            for start in range(0, len(data), CHUNK_BYTES)
        ]
        return [
            {
                "snapshot": self.offset,
                "digest": digest,
                "index": index,
                "count": len(parts),
                "data": part,
                "written_at": written_at,
            }
            for index, part in enumerate(parts)
        ]


def from_chunks(chunks: list[Any]) -> Configuration | None:
    """Return the newest complete snapshot among chunks, or None.

    Chunks may be doubled, out of order, malformed, or miss parts; a snapshot
    counts only if its digest fits.
    """
    data_by_index: dict[tuple[int, str], dict[int, str]] = {}
    counts: dict[tuple[int, str], int] = {}
    for chunk in chunks:
        if not _is_chunk(chunk):
            continue
        key = (chunk["snapshot"], chunk["digest"])
        data_by_index.setdefault(key, {})[chunk["index"]] = chunk["data"]
        counts[key] = chunk["count"]
    for key in sorted(counts, reverse=True):
        parts = data_by_index[key]
        if set(parts) != set(range(counts[key])):
            continue
        data = "".join(parts[index] for index in range(counts[key]))
        if hashlib.sha256(data.encode()).hexdigest() != key[1]:
            continue
        return _restore(key[0], json.loads(zlib.decompress(base64.b85decode(data))))
    return None


def _is_chunk(chunk: Any) -> bool:
    if not isinstance(chunk, dict):
        return False
    numbers = ("snapshot", "index", "count")
    return all(isinstance(chunk.get(key), int) for key in numbers) and all(
        isinstance(chunk.get(key), str) for key in ("digest", "data")
    )


def _restore(offset: int, state: Any) -> Configuration:
    configuration = Configuration(offset)
    for kind, name, text, version in state["resources"]:
        kind = sys.intern(kind)
        by_name = configuration.by_kind.setdefault(kind, {})
        by_name[name] = Resource(kind, name, text, version)
    configuration.retired_weights = dict(state["retired"])
    for operation, verdict, at, detail in state["decisions"]:
        configuration.decisions_by_operation[operation] = Decision(
            Verdict(verdict), at, detail
        )
    return configuration


def _shape_problem(kind: str, spec: dict[str, Any]) -> str:
    """Return what the code could not work with in a spec, or an empty text."""
    for field_name, accepted in FIELDS_BY_KIND.get(kind, {}).items():
        if not isinstance(spec.get(field_name), accepted):
            return f"{field_name} is missing or of the wrong type"
    if kind == "adapters":
        return _adapter_problem(spec)
    if kind == "upstreams" and (spec["max_batch"] < 1 or spec["slots"] < 1):
        return "slots and max_batch are at least 1"
    if kind == "policies":
        return _policy_problem(spec)
    return ""


def _adapter_problem(spec: dict[str, Any]) -> str:
    if spec["default_version"] not in spec["versions"]:
        return "default_version must be one of versions"
    if spec["priority"] not in PRIORITIES:
        return f"unknown priority {spec['priority']!r}"
    for value in spec["versions"].values():
        if not isinstance(value, dict) or not isinstance(value.get("weights"), str):
            return "each version needs weights"
    return ""


def _policy_problem(spec: dict[str, Any]) -> str:
    if spec["policy"] not in POLICIES:
        return f"unknown policy {spec['policy']!r}"
    if not set(spec["priority_weights"]) <= PRIORITIES:
        return "unknown priority in priority_weights"
    numbers = [*spec["priority_weights"].values(), *spec["team_shares"].values()]
    if not all(isinstance(number, int | float) for number in numbers):
        return "weights and shares are numbers"
    return ""


def _weights(name: str, spec: dict[str, Any]) -> Iterator[tuple[str, str]]:
    versions = spec.get("versions")
    if not isinstance(versions, dict):
        return
    for version, value in versions.items():
        weights = value.get("weights") if isinstance(value, dict) else None
        yield f"{name}@{version}", str(weights)
