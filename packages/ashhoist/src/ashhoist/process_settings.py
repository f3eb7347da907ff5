"""The settings of an instance that serves on a platform: one INI file."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, Field, ValidationError

from .exceptions import SettingsError
from .ini import (
    Address,
    Duration,
    LogSettings,
    Name,
    Section,
    read_sections,
    wrong_settings,
)
from .store import DEFAULT_CALL_TIMEOUT, ReadPacing, Topic


def _items(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


def _table(value: Any) -> Any:
    return json.loads(value or "{}") if isinstance(value, str) else value


CAPACITY_DIGITS = 3
TOLD_WITHIN = timedelta(milliseconds=300)
"""From a read's answer until the last instance has a change in force: connecting, a
configuration of 330 kB over a link of 10 Mbit/s, and two hops between instances."""
SHORTEST_WAIT = timedelta(milliseconds=200)
"""How long the log may hold a read at least: five calls a second and reader."""
CRASHES_GATHER_WITHIN = timedelta(milliseconds=1500)
"""Three reads of what others have seen crash in so long a time: half of the seconds in
which it has to be known. Without such a limit 3,530 of 5,768 calls to the log that 83
instances told of on a day of high load were these reads."""
PROOF_EVERY = timedelta(milliseconds=500)
"""How often a reader proves that it knows the newest configuration, where keys depend
on that: two calls a second and reader, and proof is half a second old at most."""
Addresses = Annotated[tuple[Address, ...], BeforeValidator(_items)]
Regions = Annotated[dict[str, str], BeforeValidator(_table)]


class InstanceSection(Section):
    """Who this instance is, and where it listens."""

    name: Name
    availability_zone: Name
    region: Name
    callers: Address
    readiness: Address
    instances: Address
    metrics: Address | None = None
    seeds: Addresses = ()
    zones: Regions = Field(default_factory=dict)


class StoreSection(Section):
    """Where the shared log is, and how it is read."""

    address: Address
    upstreams_pause: Duration = timedelta(milliseconds=800)


class BoundsSection(Section):
    """What the platform promises and demands.

    Parameters
    ----------
    revocation : timedelta or None
        Within so long after it was confirmed that a key is taken away, nothing runs
        with it any more, anywhere; None if that is not promised.
    """

    drain: Duration = timedelta(seconds=2)
    stop: Duration = timedelta(seconds=8)
    lease: Duration = timedelta(seconds=3)
    version: Duration = timedelta(seconds=5)
    configuration: Duration = timedelta(seconds=2)
    contact: Duration = timedelta(seconds=3)
    revocation: Duration | None = None


def paces(store: StoreSection, bounds: BoundsSection) -> dict[Topic, ReadPacing]:
    """Return how each topic of the log is read.

    A read of the configuration may never be answered: it is given up, and the next
    one answered and told, before a change has to be in force.
    """
    pace = ReadPacing(_longest_wait(bounds.configuration), timedelta())
    if bounds.revocation is not None:
        # An answer shows what was so when it was asked for: none may be held long.
        pace = ReadPacing(timedelta(), PROOF_EVERY)
    return {
        Topic.CONFIGURATION: pace,
        Topic.UPSTREAMS: ReadPacing(timedelta(), store.upstreams_pause),
        Topic.CRASHES: ReadPacing(
            _longest_wait(bounds.contact), timedelta(), CRASHES_GATHER_WITHIN
        ),
    }


def _longest_wait(known_within: timedelta) -> timedelta:
    """Return how long the log may hold a read whose news everybody needs in time."""
    return max(known_within - DEFAULT_CALL_TIMEOUT - TOLD_WITHIN, SHORTEST_WAIT)


class RetrySection(Section):
    """The budget for second sends, over all instances."""

    ratio: float = Field(default=0.2, ge=0, le=1)
    extra: float = Field(default=0, ge=0)
    window: Duration = timedelta(seconds=10)


class QuotaSection(Section):
    """How the platform measures what customers spend of their quotas."""

    window: Duration = timedelta(seconds=8)
    overage: float = Field(default=0.1, ge=0, le=1)


class LoadSection(Section):
    """Bounds on loads from the weight store, over all instances."""

    window: Duration = timedelta(seconds=5)
    overage: float = Field(default=1.1, ge=1)


class LimitSection(Section):
    """What the machine allows the process."""

    memory_mb: int = Field(default=300, ge=64)
    descriptors: int = Field(default=4096, ge=256)
    processor_share: float = Field(default=1.0, gt=0)
    processor_speed: float = Field(default=1.0, gt=0)

    @property
    def capacity(self) -> float:
        """Return the processor cores of ordinary speed that the process may use."""
        return round(self.processor_share * self.processor_speed, CAPACITY_DIGITS)


class ProcessSettings(BaseModel):
    """All settings of an instance on a platform."""

    model_config = Section.model_config

    instance: InstanceSection
    store: StoreSection
    bounds: BoundsSection = BoundsSection()
    retries: RetrySection = RetrySection()
    loads: LoadSection = LoadSection()
    quotas: QuotaSection = QuotaSection()
    limits: LimitSection = LimitSection()
    logs: LogSettings = LogSettings()


def load(path: Path) -> ProcessSettings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        With one line for each wrong setting.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: cannot be read: {error}"]) from None
    return parse(text)


def parse(text: str) -> ProcessSettings:
    """Check the text of a settings file. Raises as `load` does."""
    try:
        return ProcessSettings.model_validate(read_sections(text))
    except ValidationError as error:
        raise SettingsError(wrong_settings(error)) from None
