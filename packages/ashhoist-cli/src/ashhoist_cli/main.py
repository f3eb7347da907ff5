"""``ashhoist``: the command line of operators and callers."""

import difflib
import json
import os
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from ashhoist.exceptions import (
    AshhoistError,
    ConflictError,
    NotFoundError,
    RequestFailedError,
    SettingsError,
    TokenRefusedError,
)
from ashhoist.settings import load

from . import output
from .client import Answer, Client
from .output import Format

DEFAULT_URL = "http://127.0.0.1:8100"
NEAREST_NAMES = 3

Output = Annotated[
    Format, cappa.Arg(long="--output", short="-o", help="table, json or plain")
]
Url = Annotated[
    str,
    cappa.Arg(
        long="--url", default=cappa.Env("ASHHOIST_URL", default=DEFAULT_URL), help="URL"
    ),
]
Token = Annotated[
    str,
    cappa.Arg(
        long="--token",
        default=cappa.Env("ASHHOIST_TOKEN", default=""),
        help="bearer token; better set ASHHOIST_TOKEN",
    ),
]


def checked(answer: Answer) -> Any:
    """Return the answer's value.

    Raises
    ------
    AshhoistError
        The one that fits, if the answer is a failure.
    """
    if answer.status < 400:
        return answer.json()
    problem = answer.json() if isinstance(answer.json(), dict) else {}
    text = f"{problem.get('title', answer.status)}: {problem.get('detail', '')}"
    if answer.status in (401, 403):
        raise TokenRefusedError(f"{text}; set ASHHOIST_TOKEN or give --token")
    if answer.status == 409:
        raise ConflictError(text)
    if answer.status in (404, 410):
        raise NotFoundError(text)
    outcome = problem.get("outcome")
    wait = problem.get("retry_after_ms")
    text += f" (outcome {outcome})" if outcome else ""
    text += f"; come back in {wait} ms" if wait is not None else ""
    raise RequestFailedError(text)


def nearest(client: Client, name: str) -> str:
    """Return a hint with the nearest adapter names, or an empty text."""
    answer = client.request("GET", "/v1/models")
    if answer.status != 200:
        return ""
    names = [item["id"] for item in answer.json()["data"]]
    found = difflib.get_close_matches(name.split("@")[0], names, NEAREST_NAMES)
    return f"; nearest are {', '.join(found)}" if found else ""


@cappa.command(help="Create or replace resources from a JSON file")
@dataclass
class Apply:
    """Apply resources."""

    file: Annotated[Path, cappa.Arg(long="--file", short="-f", help="JSON file")]
    url: Url
    token: Token

    def __call__(self) -> None:
        """Apply each resource of the file in its order."""
        client = Client(self.url, self.token)
        for item in self._items():
            path = f"/apis/v1/{item['kind']}/{item['name']}"
            done = checked(client.request("PUT", path, {"spec": item["spec"]}))
            print(
                f"{item['kind']}/{item['name']} accepted at {done['resourceVersion']}"
            )

    def _items(self) -> list[dict[str, Any]]:
        try:
            value = json.loads(self.file.read_text())
        except (OSError, ValueError) as error:
            raise SettingsError([f"{self.file}: {error}"]) from None
        items = value if isinstance(value, list) else [value]
        problems = [
            f"{self.file}: item {number}: needs kind, name and spec"
            for number, item in enumerate(items)
            if not isinstance(item, dict) or not {"kind", "name", "spec"} <= set(item)
        ]
        if problems:
            raise SettingsError(problems)
        return items


@cappa.command(help="List resources of a kind, or get one")
@dataclass
class Get:
    """Get resources."""

    kind: Annotated[str, cappa.Arg(help="adapters, base-models, upstreams, policies")]
    name: str | None = None
    output: Output = "table"
    url: Url = DEFAULT_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print what was asked for."""
        client = Client(self.url, self.token)
        if self.name is not None:
            path = f"/apis/v1/{self.kind}/{self.name}"
            print(output.value(checked(client.request("GET", path)), self.output))
            return
        found = checked(client.request("GET", f"/apis/v1/{self.kind}"))
        lines = [
            [item["name"], item["resourceVersion"], _short(item["spec"])]
            for item in found["items"]
        ]
        print(output.rows(("name", "version", "spec"), lines, self.output))


def _short(spec: dict[str, Any]) -> str:
    parts = [
        f"{key}={','.join(inner) if isinstance(inner, dict | list) else inner}"
        for key, inner in spec.items()
        if inner not in (None, "", {}, [])
    ]
    return " ".join(parts)


@cappa.command(help="Show a resource and what is in force where")
@dataclass
class Describe:
    """Describe one resource."""

    kind: str
    name: str
    output: Output = "plain"
    url: Url = DEFAULT_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print the resource and its status."""
        client = Client(self.url, self.token)
        path = f"/apis/v1/{self.kind}/{self.name}"
        found = checked(client.request("GET", path))
        found["status"] = checked(client.request("GET", f"{path}/status"))
        print(output.value(found, self.output))


@cappa.command(help="Print changes of a kind as they come into force")
@dataclass
class Watch:
    """Watch a kind."""

    kind: str
    after: Annotated[
        int | None, cappa.Arg(long="--after", help="go on after this version")
    ] = None
    count: Annotated[
        int | None, cappa.Arg(long="--count", help="end after so many events")
    ] = None
    url: Url = DEFAULT_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print one JSON line for each event."""
        client = Client(self.url, self.token)
        path = f"/apis/v1/{self.kind}?watch=true"
        path += "" if self.after is None else f"&after={self.after}"
        seen = 0
        for line in _lines(client, path):
            print(line, flush=True)
            seen += 1
            if seen == self.count:
                return


def _lines(client: Client, path: str) -> Iterator[str]:
    rest = b""
    for answer, data in client.stream("GET", path):
        if answer.status != 200:
            answer.body = data
            checked(answer)
        *whole, rest = (rest + data).split(b"\n")
        yield from (line.decode() for line in whole if line.strip())


@cappa.command(help="Delete a resource")
@dataclass
class Delete:
    """Delete one resource."""

    kind: str
    name: str
    url: Url = DEFAULT_URL
    token: Token = ""

    def __call__(self) -> None:
        """Delete it."""
        client = Client(self.url, self.token)
        done = checked(client.request("DELETE", f"/apis/v1/{self.kind}/{self.name}"))
        print(f"{self.kind}/{self.name} deleted at {done['resourceVersion']}")


@cappa.command(help="Ask an adapter and print its answer as it comes")
@dataclass
class Ask:
    """Ask an adapter."""

    model: Annotated[str, cappa.Arg(help="adapter or adapter@version")]
    prompt: str
    tokens: Annotated[int, cappa.Arg(long="--tokens", help="at most so many")] = 32
    priority: Annotated[
        str | None, cappa.Arg(long="--priority", help="low, normal, high, urgent")
    ] = None
    key: Annotated[
        str | None, cappa.Arg(long="--key", help="run at most once under this key")
    ] = None
    url: Url = DEFAULT_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print the answer."""
        client = Client(self.url, self.token)
        headers = {}
        if self.priority is not None:
            headers["X-Ashhoist-Priority"] = self.priority
        if self.key is not None:
            headers["Idempotency-Key"] = self.key
        body = {
            "model": self.model,
            "prompt": self.prompt,
            "max_tokens": self.tokens,
            "stream": True,
        }
        whole = False
        rest = b""
        for answer, data in client.stream("POST", "/v1/completions", body, headers):
            if answer.status != 200:
                self._fail(client, answer, data)
            *events, rest = (rest + data).split(b"\n\n")
            for event in events:
                whole = self._print(event) or whole
        print()
        if not whole:
            raise RequestFailedError("the answer was cut off")

    def _fail(self, client: Client, answer: Answer, data: bytes) -> None:
        answer.body = data
        try:
            checked(answer)
        except NotFoundError as error:
            raise NotFoundError(f"{error}{nearest(client, self.model)}") from None

    def _print(self, event: bytes) -> bool:
        """Print the text of an event; return whether it ends the answer."""
        data = event.partition(b"data: ")[2]
        if data == b"[DONE]":
            return True
        value = json.loads(data)
        if "choices" not in value:
            print()
            raise RequestFailedError(f"{value['title']} (outcome {value['outcome']})")
        print(value["choices"][0].get("text", ""), end="", flush=True)
        return False


@cappa.command(help="Show instances, homes, residency and the load budget")
@dataclass
class Status:
    """Show what is in force where."""

    output: Output = "table"
    url: Url = DEFAULT_URL
    token: Token = ""

    def __call__(self) -> None:
        """Print the status as this instance sees it."""
        client = Client(self.url, self.token)
        found = checked(client.request("GET", "/apis/v1/status"))
        if self.output == "json":
            print(output.value(found, "json"))
            return
        print(
            f"{found['name']} offset {found['offset']}, load budget kept by "
            f"{found['keeper'] or 'nobody'}, share here {found['share']:.0%}, "
            f"log read {found['log_lag']:.1f} s ago"
        )
        header = ("instance", "zone", "alive", "leaving", "offset")
        names = ("availability_zone", "alive", "leaving", "offset")
        lines = [
            [name, *(known[key] for key in names)]
            for name, known in sorted(found["instances"].items())
        ]
        print(output.rows(header, lines, self.output))
        columns = (
            "upstream",
            "zone",
            "home",
            "running",
            "waiting",
            "slots",
            "adapters",
        )
        lines = [
            [
                name,
                known["availability_zone"],
                known["home"],
                known["running"],
                known["waiting"],
                f"{len(known['adapters'])}/{known['slots']}",
                " ".join(known["adapters"]),
            ]
            for name, known in sorted(found["upstreams"].items())
        ]
        print(output.rows(columns, lines, self.output))


@cappa.command(help="Check a settings file of an instance")
@dataclass
class Check:
    """Check settings."""

    settings: Path

    def __call__(self) -> None:
        """Print that they are valid, or every problem."""
        load(self.settings)
        print(f"{self.settings}: settings are valid")


@cappa.command(name="ashhoist", help="Operate and use ashhoist")
@dataclass
class Ashhoist:
    """The command line."""

    command: cappa.Subcommands[
        Apply | Get | Describe | Watch | Delete | Ask | Status | Check
    ]


def main() -> None:
    """Run ``ashhoist``."""
    try:
        cappa.invoke(Ashhoist)
    except AshhoistError as error:
        error.show()
        sys.exit(error.exit_code)
    except KeyboardInterrupt:
        sys.exit(130)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(0)


if __name__ == "__main__":
    main()
