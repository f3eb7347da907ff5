"""Traffic of one test that reaches a stand-in of another.

Fault: instances that were still running dialled others that their test had killed. The
system had given a port to another process of tests, whose stand-in ran the request.
"""

import re
import socket
import subprocess
import sys
import unittest
from pathlib import Path

from . import ROOT, ports
from .platform_stand_ins.server import Server
from .test_lost_links import Proxy

FOLDER = Path(__file__).parent
FIXED_LISTENER = re.compile(
    r"create_server\(\(|\.bind\(\(|[\"'](127\.0\.0\.1|localhost):0[\"']"
)
"""A listener whose address is not from `ports`."""
GIVEN = 400
LISTENS = """
import sys
from tests import ports
host, port = ports.own_host(), int(sys.argv[1])
import socket
listening = socket.create_server((host, port))
print(host, flush=True)
sys.stdin.read()
"""


class PortsTests(unittest.TestCase):
    def test_a_port_is_not_given_again_once_it_is_free(self) -> None:
        given = set()
        for _ in range(GIVEN):
            held = ports.reserve()
            given.add(ports.address_of(held))
            held.close()
        self.assertEqual(len(given), GIVEN)

    def test_an_old_address_does_not_lead_to_another_process(self) -> None:
        held = ports.reserve()
        host, port = held.getsockname()
        held.close()
        command = [sys.executable, "-c", LISTENS, str(port)]
        with subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as other:
            assert other.stdin is not None and other.stdout is not None
            other_host = other.stdout.readline().strip()
            with socket.create_connection((other_host, port)):
                self.assertNotEqual(other_host, host)
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection((host, port))
            other.stdin.close()

    def test_stand_ins_have_addresses_of_their_process(self) -> None:
        server = Server(lambda call: call.respond(200))
        self.addCleanup(server.close)
        proxy = Proxy(server.address)
        self.addCleanup(proxy.close)
        for address in (server.address, proxy.address):
            self.assertEqual(address.partition(":")[0], ports.own_host())

    def test_listeners_of_tests_take_their_addresses_from_one_module(self) -> None:
        for file in sorted(FOLDER.rglob("*.py")):
            if file.name in ("ports.py", Path(__file__).name):
                continue
            with self.subTest(file=file.name):
                self.assertNotRegex(file.read_text(), FIXED_LISTENER)

    def test_a_closed_proxy_accepts_no_connection(self) -> None:
        # Guards against a proxy of an earlier test that forwards to its old upstream.
        proxy = Proxy("127.0.0.1:1")
        host, _, port = proxy.address.rpartition(":")
        proxy.close()
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
