"""Bad input and the HTTP interfaces, on real instances over loopback."""

import json
import re
import socket
import ssl
import threading
import unittest
from datetime import timedelta
from pathlib import Path
from typing import Any

from websockets.exceptions import ConnectionClosed, InvalidStatus
from websockets.sync.client import connect
from werkzeug.wrappers import Response

from ashhoist import messages
from ashhoist.core import Instance
from ashhoist.exceptions import AddressInUseError, ConnectError
from ashhoist.web import HttpServer
from ashhoist_bench.deployment import (
    CALLER_TOKEN,
    INSTANCE_TOKEN,
    OPERATOR_TOKEN,
    Deployment,
    Shape,
    wait_for,
)
from ashhoist_cli import Answer, Client
from ashhoist_standins import EngineTiming

from . import ports

COMPLETIONS = "/v1/completions"
DATA = Path(__file__).parent / "data"
CERTIFIED_HOST = "127.0.0.1"
"""Whom the test certificate is issued to."""


def paused_bytes(core: Instance) -> int:
    flows = core.answers.flows.values()
    return max((flow.open_bytes for flow in flows if flow.paused), default=0)


def all_idle(core: Instance) -> bool:
    return core.idle


class TlsTests(unittest.TestCase):
    def test_callers_are_answered_over_tls(self) -> None:
        server = HttpServer(
            ports.free_address(),
            Response("over TLS"),
            2,
            timedelta(seconds=5),
            DATA / "test-certificate.pem",
            DATA / "test-key.pem",
        )
        thread = threading.Thread(target=server.serve_forever, args=(0.05,))
        thread.start()
        context = ssl.create_default_context(cafile=DATA / "test-certificate.pem")
        host, port = server.address.split(":")
        with socket.create_connection((host, int(port))) as plain:
            with context.wrap_socket(plain, server_hostname=CERTIFIED_HOST) as secure:
                secure.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                found = b""
                while part := secure.recv(4096):
                    found += part
        server.shutdown()
        thread.join()
        server.server_close()
        self.assertTrue(found.endswith(b"over TLS"))


class BorderTests(unittest.TestCase):
    deployment: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        shape = Shape(1, 2, 2, 1, 4, slots=2, loads_per_second=50.0)
        cls.deployment = Deployment(shape, sender_timeout="1s")
        cls.deployment.start()
        cls.deployment.declare()
        cls.caller = Client(cls.deployment.url("instance-0"), CALLER_TOKEN)
        cls.operator = Client(cls.deployment.url("instance-0"), OPERATOR_TOKEN)

    @classmethod
    def tearDownClass(cls) -> None:
        cls.deployment.close()

    def ask(self, **body: Any) -> Answer:
        return self.caller.request("POST", COMPLETIONS, body)

    def assert_problem(self, answer: Answer, status: int, reason: str) -> dict:
        problem = answer.json()
        self.assertEqual((answer.status, problem["reason"]), (status, reason))
        self.assertEqual(problem["outcome"], "not_run")
        self.assertEqual(answer.headers["content-type"], "application/problem+json")
        return problem

    def raw(self, data: bytes) -> bytes:
        host, port = self.deployment.daemons["instance-0"].callers_address.split(":")
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(data)
            parts = []
            while part := connection.recv(65536):
                parts.append(part)
        return b"".join(parts)

    def head(self, length: int) -> bytes:
        return (
            f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n"
            f"Authorization: Bearer {CALLER_TOKEN}\r\n\r\n"
        ).encode()

    # Callers

    def test_whole_answer_names_adapter_and_upstream(self) -> None:
        answer = self.ask(model="adapter-1@v1", prompt="x", max_tokens=3)
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.headers["x-ashhoist-adapter"], "adapter-1@v1")
        self.assertIn("engine-", answer.headers["x-ashhoist-upstream"])

    def test_chat_completions_stream(self) -> None:
        body = {
            "model": "adapter-1",
            "messages": [{"role": "user", "content": "x"}],
            "stream": True,
            "max_tokens": 2,
        }
        parts = self.caller.stream("POST", "/v1/chat/completions", body)
        text = b"".join(data for _, data in parts)
        self.assertTrue(text.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(text.count(b"id: "), 2)

    def test_unknown_adapter_and_version(self) -> None:
        answer = self.ask(model="nobody", prompt="x")
        self.assert_problem(answer, 404, "unknown_adapter")
        answer = self.ask(model="adapter-1@v9", prompt="x")
        self.assert_problem(answer, 404, "unknown_version")

    def test_malformed_json_and_wrong_types(self) -> None:
        for body in (b"{", b"\xff", b"[]", b"null", b"[" * 100_000):
            with self.subTest(body[:10]):
                found = self.raw(self.head(len(body)) + body)
                self.assertIn(b" 400 ", found.splitlines()[0])
        for body in (
            {"model": 3, "prompt": "x"},
            {"model": "adapter-1"},
            {"model": "adapter-1", "prompt": "x", "max_tokens": 0},
            {"model": "../x", "prompt": "x"},
        ):
            with self.subTest(body):
                problem = self.assert_problem(self.ask(**body), 400, "bad_request")
                self.assertRegex(problem["detail"], "model|prompt|max_tokens")

    def test_oversized_body(self) -> None:
        found = self.raw(self.head(10**9))
        self.assertIn(b" 413 ", found.splitlines()[0])

    def test_slow_sender(self) -> None:
        found = self.raw(self.head(100) + b"{")
        self.assertIn(b" 408 ", found.splitlines()[0])

    def test_header_garbage(self) -> None:
        for line in (b"GET / HTTP/9.9\r\n\r\n", b"\x00\x01\r\n\r\n", b"GET\r\n\r\n"):
            with self.subTest(line):
                self.assertNotIn(b" 200 ", self.raw(line))
        for name, value in (
            ("X-Ashhoist-Priority", "royal"),
            ("X-Ashhoist-Timeout", "soon"),
            ("X-Ashhoist-Timeout", "-1s"),
            ("X-Ashhoist-Repeatable", "maybe"),
            ("Idempotency-Key", "k" * 300),
        ):
            with self.subTest(name):
                body = {"model": "adapter-1", "prompt": "x"}
                answer = self.caller.request("POST", COMPLETIONS, body, {name: value})
                problem = self.assert_problem(answer, 400, "bad_request")
                self.assertIn(name, problem["detail"])

    def test_wrong_token(self) -> None:
        url = self.deployment.url("instance-0")
        for client, path in (
            (Client(url, "wrong"), "/v1/models"),
            (Client(url, CALLER_TOKEN), "/apis/v1/adapters"),
            (Client(url, OPERATOR_TOKEN), "/v1/models"),
        ):
            answer = client.request("GET", path)
            self.assert_problem(answer, 401, "unauthorized")
            self.assertEqual(answer.headers["www-authenticate"], "Bearer")

    def test_vanished_caller_frees_its_place(self) -> None:
        body = {"model": "adapter-2", "prompt": "x", "max_tokens": 100_000}
        stream = self.caller.stream("POST", COMPLETIONS, {**body, "stream": True})
        next(stream)
        stream.close()
        models = [engine.model for engine in self.deployment.engines]
        wait_for(lambda: not any(model.batch for model in models), "an empty batch")
        daemons = self.deployment.daemons.values()
        wait_for(lambda: all(d.read(all_idle) for d in daemons), "idle homes")

    def test_vanished_caller_of_a_whole_answer_frees_its_place(self) -> None:
        body = json.dumps(
            {"model": "adapter-3", "prompt": "x", "max_tokens": 100_000}
        ).encode()
        host, port = self.deployment.daemons["instance-1"].callers_address.split(":")
        models = [engine.model for engine in self.deployment.engines]
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(self.head(len(body)) + body)
            wait_for(lambda: any(model.batch for model in models), "a full batch")
        wait_for(lambda: not any(model.batch for model in models), "an empty batch")
        daemons = self.deployment.daemons.values()
        wait_for(lambda: all(d.read(all_idle) for d in daemons), "idle homes")

    def test_slow_caller_stops_only_its_own_stream(self) -> None:
        body = json.dumps(
            {"model": "adapter-0", "prompt": "x", "max_tokens": 200_000, "stream": True}
        ).encode()
        daemons = self.deployment.daemons.values()
        host, port = self.deployment.daemons["instance-0"].callers_address.split(":")
        timing = self.deployment.engines[0].model.timing
        for engine in self.deployment.engines:
            engine.model.timing = EngineTiming(*[timedelta(microseconds=200)] * 4)
        with socket.create_connection((host, int(port))) as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.sendall(self.head(len(body)) + body)
            wait_for(
                lambda: any(daemon.read(paused_bytes) for daemon in daemons),
                "a stream to be paused",
            )
            answer = self.ask(model="adapter-0", prompt="x", max_tokens=3)
            self.assertEqual(answer.status, 200)
            most = max(daemon.read(paused_bytes) for daemon in daemons)
            window = self.deployment.daemons["instance-0"].settings.limits
            self.assertLess(most, 4 * window.stream_window_bytes)
        for engine in self.deployment.engines:
            engine.model.timing = timing
        models = [engine.model for engine in self.deployment.engines]
        wait_for(lambda: not any(model.batch for model in models), "an empty batch")
        daemons = self.deployment.daemons.values()
        wait_for(lambda: all(d.read(all_idle) for d in daemons), "idle homes")

    def test_service_passes_any_method_and_recognises_a_repeated_key(self) -> None:
        answer = self.caller.request("DELETE", "/services/lobby/seat?row=1")
        self.assertEqual(answer.json()["path"], "/seat?row=1")
        key = {"Idempotency-Key": "one"}
        first = self.caller.request("POST", "/services/lobby/book", {}, key)
        other = Client(self.deployment.url("instance-1"), CALLER_TOKEN)
        second = other.request("POST", "/services/lobby/book", {}, key)
        self.assertEqual((first.status, second.status), (200, 409))
        self.assertEqual(second.json()["outcome"], "unknown")
        runs = self.deployment.services[0].runs_by_key["one"]
        self.assertEqual(runs, 1)

    def test_lost_answer_of_a_service_is_unknown_and_not_repeated(self) -> None:
        service = self.deployment.services[0]
        service.faults.set("answer_lost")
        key = {"Idempotency-Key": "lost"}
        answer = self.caller.request("POST", "/services/lobby/book", {}, key)
        self.assertEqual(answer.json()["outcome"], "unknown")
        self.assertEqual(service.runs_by_key["lost"], 1)

    # Operators

    def test_racing_operators_get_one_winner_and_a_conflict(self) -> None:
        body = {"name": "raced", "spec": {}}
        other = Client(self.deployment.url("instance-1"), OPERATOR_TOKEN)
        answers: list[Answer] = []
        threads = [
            threading.Thread(
                target=lambda client=client: answers.append(
                    client.request("POST", "/apis/v1/base-models", body)
                )
            )
            for client in (self.operator, other)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(sorted(answer.status for answer in answers), [200, 409])

    def test_if_match_conflict_and_patch(self) -> None:
        path = "/apis/v1/adapters/adapter-0"
        found = self.operator.request("GET", path)
        patch = {"spec": {"priority": "high"}}
        old = {"If-Match": '"1"'}
        answer = self.operator.request("PATCH", path, patch, old)
        self.assert_problem(answer, 409, "conflict")
        new = {"If-Match": found.headers["etag"]}
        answer = self.operator.request("PATCH", path, patch, new)
        self.assertEqual(answer.json()["verdict"], "accepted")
        spec = self.operator.request("GET", path).json()["spec"]
        self.assertEqual(spec["priority"], "high")

    def test_wrong_spec_names_the_fields(self) -> None:
        spec = {"base_model": 3, "versions": {}, "colour": "red"}
        answer = self.operator.request("PUT", "/apis/v1/adapters/x", {"spec": spec})
        detail = self.assert_problem(answer, 422, "invalid")["detail"]
        for field in ("base_model", "versions", "colour", "default_version"):
            self.assertIn(field, detail)

    def test_base_model_in_use_is_not_deleted(self) -> None:
        answer = self.operator.request("DELETE", "/apis/v1/base-models/base")
        self.assert_problem(answer, 422, "invalid")

    def test_same_operation_counts_once_and_can_be_looked_up(self) -> None:
        headers = {"X-Operation-Id": "mine"}
        path = "/apis/v1/base-models/twice"
        body = {"spec": {}}
        first = self.operator.request("PUT", path, body, headers).json()
        second = self.operator.request("PUT", path, body, headers).json()
        self.assertEqual(first["resourceVersion"], second["resourceVersion"])
        found = self.operator.request("GET", "/apis/v1/operations/mine").json()
        self.assertEqual(found["verdict"], "accepted")

    def test_watch_resumes_after_a_version(self) -> None:
        done = self.operator.request("PUT", "/apis/v1/base-models/w1", {"spec": {}})
        self.operator.request("PUT", "/apis/v1/base-models/w2", {"spec": {}})
        version = done.json()["resourceVersion"]
        path = f"/apis/v1/base-models?watch=true&after={version}"
        text = b""
        for _, data in self.operator.stream("GET", path):
            text += data
            if b'"w2"' in text:
                break
        names = re.findall(rb'"name": "(w\d)"', text)
        self.assertNotIn(b"w1", names)

    def test_openapi_names_all_kinds(self) -> None:
        paths = self.operator.request("GET", "/openapi.json").json()["paths"]
        for kind in ("adapters", "base-models", "upstreams", "policies"):
            self.assertIn(f"/apis/v1/{kind}/{{name}}", paths)

    def test_log_outage_is_told_and_nothing_changes(self) -> None:
        self.deployment.log.model.down = True
        try:
            answer = self.operator.request(
                "PUT", "/apis/v1/base-models/nowhere", {"spec": {}}
            )
        finally:
            self.deployment.log.model.down = False
        self.assert_problem(answer, 503, "log_unavailable")

    def test_lost_append_answer_is_settled_by_reading_back(self) -> None:
        self.deployment.log.faults.set("answer_lost")
        answer = self.operator.request("PUT", "/apis/v1/base-models/s1", {"spec": {}})
        self.assertEqual(answer.json()["verdict"], "accepted")

    # Health, metrics, other instances

    def test_health_and_metrics(self) -> None:
        for path in ("/healthz", "/readyz"):
            self.assertEqual(self.caller.request("GET", path).status, 200)
        text = self.caller.request("GET", "/metrics").body.decode()
        for name in ("ashhoist_refusals_total", "ashhoist_load_stall_seconds_bucket"):
            self.assertIn(name, text)

    def test_port_in_use(self) -> None:
        address = self.deployment.daemons["instance-0"].callers_address
        with self.assertRaises(AddressInUseError) as caught:
            HttpServer(address, lambda environ, start: [], 1, timedelta(seconds=1))
        self.assertEqual(caught.exception.exit_code, 3)

    def test_malformed_frame_closes_only_its_link(self) -> None:
        daemon = self.deployment.daemons["instance-0"]
        url = f"ws://{daemon.instances_address}/"
        headers = {"Authorization": f"Bearer {INSTANCE_TOKEN}"}
        with connect(url, additional_headers=headers, proxy=None) as link:
            hello = messages.Hello(messages.PROTOCOL, "stranger", "1")
            link.send(messages.encode([hello]))
            link.recv()
            link.send(b"garbage")
            with self.assertRaises(ConnectionClosed):
                while True:
                    link.recv()
        self.assertEqual(self.ask(model="adapter-1", prompt="x").status, 200)
        self.assertGreater(daemon.metrics.total("bad_frames"), 0)

    def test_instance_link_needs_the_token(self) -> None:
        daemon = self.deployment.daemons["instance-0"]
        with self.assertRaises(InvalidStatus):
            with connect(f"ws://{daemon.instances_address}/", proxy=None):
                pass

    def test_engine_restart_loses_no_repeatable_request(self) -> None:
        answers: list[Answer] = []
        body = {"model": "adapter-2", "prompt": "x", "max_tokens": 60}
        thread = threading.Thread(
            target=lambda: answers.append(
                self.caller.request("POST", COMPLETIONS, body)
            )
        )
        thread.start()
        engines = self.deployment.engines
        wait_for(lambda: any(e.model.batch for e in engines), "a full batch")
        for engine in engines:
            if engine.model.batch:
                engine.restart()
        thread.join()
        self.assertEqual(answers[0].status, 200)

    def test_unreachable_instance_is_a_clear_error(self) -> None:
        with self.assertRaises(ConnectError):
            Client("http://127.0.0.1:1", "x").request("GET", "/healthz")


if __name__ == "__main__":
    unittest.main()
