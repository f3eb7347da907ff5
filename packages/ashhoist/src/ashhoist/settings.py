"""The settings of an instance: one INI file, one checked model."""

import configparser
import ipaddress
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .exceptions import SettingsError

NAME_PATTERN = r"^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$"
MAX_PORT = 65535


def _check_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("an IP number and a port, such as 127.0.0.1:8000")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise ValueError(
            "an IP number and a port, such as 127.0.0.1:8000; no host names"
        ) from None
    return text


def _check_url(text: str) -> str:
    scheme, separator, rest = text.partition("://")
    if scheme not in ("http", "https") or not separator:
        raise ValueError("http:// or https:// with an IP number and a port")
    _check_address(rest.rstrip("/"))
    return text.rstrip("/")


def parse_duration(value: Any) -> Any:
    """Return the duration in a text such as ``250ms``.

    Raises
    ------
    ValueError
        If the text is no duration with a unit.
    """
    if not isinstance(value, str):
        return value
    units = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
    for unit, seconds in units.items():
        number = value.strip().removesuffix(unit)
        if number == value.strip():
            continue
        try:
            return timedelta(seconds=float(number) * seconds)
        except ValueError:
            continue
    raise ValueError("a duration with its unit, such as 250ms, 2s, 5m or 1h")


Address = Annotated[str, AfterValidator(_check_address)]
Url = Annotated[str, AfterValidator(_check_url)]
Duration = Annotated[timedelta, BeforeValidator(parse_duration), Field(gt=timedelta())]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class InstanceSettings(_Section):
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


class PlatformSettings(_Section):
    """Where the platform's services are."""

    log_service: Url
    instance_list: Url
    availability_zones: int = Field(default=3, ge=1, le=64)
    log_appends_per_second: float = Field(default=100.0, gt=0)
    log_retention: Duration = timedelta(hours=24)


class WeightStoreSettings(_Section):
    """What the weight store allows, for the whole region."""

    loads_per_second: float = Field(default=2.0, gt=0)
    loads_at_full_speed: int = Field(default=1, ge=1)


class TokenSettings(_Section):
    """Bearer tokens. Several may be valid at once, divided by spaces."""

    operators: str = Field(min_length=8)
    callers: str = Field(min_length=8)
    instances: str = Field(min_length=8)

    def of(self, role: str) -> frozenset[str]:
        """Return the tokens that are valid for a role."""
        return frozenset(getattr(self, role).split())


class LimitSettings(_Section):
    """Bounds on what an instance takes in."""

    body_bytes: int = Field(default=1_048_576, ge=1024)
    queue_length: int = Field(default=256, ge=1)
    default_deadline: Duration = timedelta(seconds=30)
    longest_deadline: Duration = timedelta(minutes=10)
    sender_timeout: Duration = timedelta(seconds=5)
    stream_window_bytes: int = Field(default=262_144, ge=4096)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    connections: int = Field(default=512, ge=1)


class TimingSettings(_Section):
    """Intervals and leases."""

    heartbeat: Duration = timedelta(seconds=1)
    suspect_after: Duration = timedelta(seconds=3)
    lease: Duration = timedelta(seconds=10)
    send_bound: Duration = timedelta(seconds=2)
    clock_rate_margin: float = Field(default=0.01, ge=0, le=0.5)
    drain: Duration = timedelta(seconds=30)
    load_timeout: Duration = timedelta(seconds=30)


class LogSettings(_Section):
    """How logs are written."""

    format: str = Field(default="console", pattern="^(console|json)$")
    level: str = Field(default="info", pattern="^(debug|info|warning|error)$")


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


def read_sections(text: str) -> dict[str, dict[str, str]]:
    """Return the sections of an INI text.

    Raises
    ------
    SettingsError
        If the text is no INI.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        raise SettingsError([str(error).replace("\n", " ")]) from None
    return {name: dict(parser[name]) for name in parser.sections()}


def wrong_settings(error: ValidationError) -> list[str]:
    """Return one line for each wrong setting."""
    return [_line(problem) for problem in error.errors()]


def _line(problem: Any) -> str:
    section, *keys = problem["loc"]
    place = f"[{section}] {' '.join(str(key) for key in keys)}".rstrip()
    if problem["type"] == "missing":
        return f"{place}: missing; it must be set"
    if problem["type"] == "extra_forbidden":
        return f"{place}: unknown; check the spelling"
    shown = "" if section == "tokens" else f" = {problem['input']!r}"
    if isinstance(problem["input"], dict):
        shown = ""
    return f"{place}{shown}: allowed is: {problem['msg'].removeprefix('Value error, ')}"
