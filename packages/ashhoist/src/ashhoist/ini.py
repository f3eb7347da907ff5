"""What the settings of both programs share: INI text, checked values, errors."""

import configparser
import ipaddress
from datetime import timedelta
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
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
        except (ValueError, OverflowError):
            continue
    raise ValueError("a duration with its unit, such as 250ms, 2s, 5m or 1h")


Address = Annotated[str, AfterValidator(_check_address)]
Url = Annotated[str, AfterValidator(_check_url)]
Duration = Annotated[timedelta, BeforeValidator(parse_duration), Field(gt=timedelta())]
Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Section(BaseModel):
    """A section; keys that it does not know are wrong."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogSettings(Section):
    """How logs are written."""

    format: str = Field(default="console", pattern="^(console|json)$")
    level: str = Field(default="info", pattern="^(debug|info|warning|error)$")


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
