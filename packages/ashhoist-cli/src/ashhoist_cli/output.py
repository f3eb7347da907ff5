"""Output as a table, JSON or plain lines."""

import json
from collections.abc import Sequence
from typing import Any, Literal

Format = Literal["table", "json", "plain"]


def rows(header: Sequence[str], lines: Sequence[Sequence[Any]], kind: Format) -> str:
    """Return lines in the wanted form.

    ``plain`` has no header and one tab between fields, for other programs.
    """
    texts = [[str(value) for value in line] for line in lines]
    if kind == "json":
        return json.dumps(
            [dict(zip(header, line, strict=True)) for line in lines], indent=2
        )
    if kind == "plain":
        return "\n".join("\t".join(line) for line in texts)
    everything = [[name.upper() for name in header], *texts]
    widths = [
        max(len(line[index]) for line in everything) for index in range(len(header))
    ]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in everything
    )


def value(item: Any, kind: Format) -> str:
    """Return one value: JSON, or its fields a line each."""
    if kind == "json":
        return json.dumps(item, indent=2)
    return "\n".join(_fields(item, ""))


def _fields(item: Any, prefix: str) -> list[str]:
    if isinstance(item, dict):
        lines: list[str] = []
        for key, inner in item.items():
            lines += _fields(inner, f"{prefix}.{key}" if prefix else str(key))
        return lines
    if isinstance(item, list):
        item = ", ".join(str(inner) for inner in item)
    return [f"{prefix}: {item}"]
