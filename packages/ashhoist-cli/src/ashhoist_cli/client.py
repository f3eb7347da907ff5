"""A small HTTP client for the interfaces of an instance."""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import pycurl

from ashhoist.exceptions import ConnectError

CONNECT_TIMEOUT = timedelta(seconds=5)
TIMEOUT = timedelta(minutes=2)
WAIT_SECONDS = 1.0


@dataclass(slots=True)
class Answer:
    """An HTTP answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def json(self) -> Any:
        """Return the body as a value; an empty object if it is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


class Client:
    """Requests to one instance.

    Parameters
    ----------
    url : str
        Such as ``http://127.0.0.1:8000``.
    token : str
        Bearer token.
    """

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._token = token

    def request(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make a request and return its whole answer.

        Raises
        ------
        ConnectError
            If the instance cannot be reached or cuts the answer.
        """
        answer, curl, parts = self._prepare(method, path, value, headers)
        try:
            curl.perform()
        except pycurl.error as error:
            raise ConnectError(f"{self._url}: {error.args[1]}") from None
        finally:
            curl.close()
        answer.body = b"".join(parts)
        return answer

    def stream(
        self,
        method: str,
        path: str,
        value: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Iterator[tuple[Answer, bytes]]:
        """Make a request and yield the pieces of its answer as they come.

        Raises
        ------
        ConnectError
            If the instance cannot be reached or cuts the answer.
        """
        answer, curl, parts = self._prepare(method, path, value, headers)
        curl.setopt(pycurl.TIMEOUT, 0)
        multi = pycurl.CurlMulti()
        multi.add_handle(curl)
        try:
            running = 1
            while running:
                _, running = multi.perform()
                yield from self._taken(answer, parts)
                if running:
                    multi.select(WAIT_SECONDS)
            for _, _, detail in multi.info_read()[2]:
                raise ConnectError(f"{self._url}: {detail}")
        finally:
            multi.remove_handle(curl)
            curl.close()
            multi.close()

    def _taken(
        self, answer: Answer, parts: list[bytes]
    ) -> Iterator[tuple[Answer, bytes]]:
        while parts:
            yield answer, parts.pop(0)

    def _prepare(
        self, method: str, path: str, value: Any, headers: dict[str, str] | None
    ) -> tuple[Answer, pycurl.Curl, list[bytes]]:
        answer = Answer()
        parts: list[bytes] = []
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, f"{self._url}{path}")
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        lines = [f"Authorization: Bearer {self._token}", "Expect:"]
        lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
        if value is not None:
            curl.setopt(pycurl.POSTFIELDS, json.dumps(value).encode())
            lines.append("Content-Type: application/json")
        curl.setopt(pycurl.HTTPHEADER, lines)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.CONNECTTIMEOUT, CONNECT_TIMEOUT.seconds)
        curl.setopt(pycurl.TIMEOUT, TIMEOUT.seconds)
        curl.setopt(pycurl.WRITEFUNCTION, parts.append)

        def header(line: bytes) -> None:
            decoded = line.decode("latin-1")
            if decoded.startswith("HTTP/"):
                answer.status = int(decoded.split(" ")[1])
                return
            name, separator, text = decoded.partition(":")
            if separator:
                answer.headers[name.strip().lower()] = text.strip()

        curl.setopt(pycurl.HEADERFUNCTION, header)
        return answer, curl, parts
