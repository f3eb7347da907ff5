"""The settings of the daemon: one INI file, one checked model."""

from datetime import timedelta
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from .exceptions import SettingsError
from .ini import (
    Address,
    Duration,
    LogSettings,
    Name,
    Section,
    Url,
    read_sections,
    wrong_settings,
)


class InstanceSettings(Section):
    """Who this instance is and where it listens."""

    name: Name
    availability_zone: Name
    region: Name
    callers: Address
    instances: Address
    certificate: Path | None = None
    private_key: Path | None = None

    @model_validator(mode="after")
    def _both_or_none(self) -> "InstanceSettings":
        if (self.certificate is None) != (self.private_key is None):
            raise ValueError("certificate and private_key go together")
        for path in (self.certificate, self.private_key):
            if path is not None and not path.is_file():
                raise ValueError(f"a file that exists; {path} does not")
        return self


class PlatformSettings(Section):
    """Where the platform's services are."""

    log_service: Url
    instance_list: Url
    availability_zones: int = Field(default=3, ge=1, le=64)
    log_appends_per_second: float = Field(default=100.0, gt=0)
    log_retention: Duration = timedelta(hours=24)


class WeightStoreSettings(Section):
    """What the weight store allows, for the whole region."""

    loads_per_second: float = Field(default=2.0, gt=0)
    loads_at_full_speed: int = Field(default=1, ge=1)


class TokenSettings(Section):
    """Bearer tokens. Several may be valid at once, divided by spaces."""

    operators: str = Field(min_length=8)
    callers: str = Field(min_length=8)
    instances: str = Field(min_length=8)

    def of(self, role: str) -> frozenset[str]:
        """Return the tokens that are valid for a role."""
        return frozenset(getattr(self, role).split())


class LimitSettings(Section):
    """Bounds on what an instance takes in."""

    body_bytes: int = Field(default=1_048_576, ge=1024)
    queue_length: int = Field(default=256, ge=1)
    default_deadline: Duration = timedelta(seconds=30)
    longest_deadline: Duration = timedelta(minutes=10)
    sender_timeout: Duration = timedelta(seconds=5)
    stream_window_bytes: int = Field(default=262_144, ge=4096)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    connections: int = Field(default=512, ge=1)


class TimingSettings(Section):
    """Intervals and leases."""

    heartbeat: Duration = timedelta(seconds=1)
    suspect_after: Duration = timedelta(seconds=3)
    lease: Duration = timedelta(seconds=10)
    send_bound: Duration = timedelta(seconds=2)
    clock_rate_margin: float = Field(default=0.01, ge=0, le=0.5)
    drain: Duration = timedelta(seconds=30)
    load_timeout: Duration = timedelta(seconds=30)


class Settings(BaseModel):
    """All settings of an instance."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    instance: InstanceSettings
    platform: PlatformSettings
    tokens: TokenSettings
    weight_store: WeightStoreSettings = WeightStoreSettings()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    logs: LogSettings = LogSettings()


def load(path: Path) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        With one line for each wrong setting: section, key, value and what is
        allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: cannot be read: {error}"]) from None
    return parse(text)


def parse(text: str) -> Settings:
    """Check the text of a settings file. Raises as `load` does."""
    try:
        return Settings.model_validate(read_sections(text))
    except ValidationError as error:
        raise SettingsError(wrong_settings(error)) from None
