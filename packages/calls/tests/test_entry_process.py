"""Requests at the entry of a real daemon, sent as raw bytes."""

from __future__ import annotations

import hashlib
import socket
import time
import unittest
from pathlib import Path

import httpx

from acaciayard_standins import HostPlan, LocalMesh, MeshHost

BLOCK = b"0123456789abcdef" * 4096


def receive_all(connection: socket.socket) -> bytes:
    """Receives all data up to the end of the connection."""
    parts = []
    while data := connection.recv(65536):
        parts.append(data)
    return b"".join(parts)


class EntryTest(unittest.TestCase):
    """All tests share a mesh of one host with a target and one without."""

    mesh: LocalMesh
    target_host: MeshHost
    entry_host: MeshHost

    @classmethod
    def setUpClass(cls) -> None:
        cls.mesh = LocalMesh([HostPlan("near-1", "riga-a", "near"), HostPlan("entry-1", "riga-a")])
        cls.addClassCleanup(cls.mesh.stop)
        cls.mesh.start()
        cls.target_host, cls.entry_host = cls.mesh.hosts
        puts = [
            {"kind": "service", "spec": {"name": "near"}},
            {"kind": "timeout_policy", "spec": {"name": "long", "total_s": 60}},
            {
                "kind": "route",
                "spec": {"name": "work", "service": "near", "path": "/work", "timeout": "long"},
            },
            {
                "kind": "caller_limit",
                "spec": {"name": "greedy", "burst": 1, "calls_per_second": 0.01},
            },
        ]
        body = {"author": "tester", "puts": puts}
        httpx.post(
            f"{cls.target_host.api}/v1/changes", json=body, trust_env=False
        ).raise_for_status()
        for host in cls.mesh.hosts:
            host.wait_in_force(1)
        deadline = time.monotonic() + 10
        while cls.get_work(cls.entry_host).status_code != 200 and time.monotonic() < deadline:
            time.sleep(0.05)

    @staticmethod
    def get_work(host: MeshHost, query: str = "", **headers: str) -> httpx.Response:
        return httpx.get(f"{host.entry}/work{query}", headers=headers, trust_env=False, timeout=30)

    def connect(self, host: MeshHost) -> socket.socket:
        connection = socket.create_connection(host.entry_address, timeout=20)
        self.addCleanup(connection.close)
        return connection

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        for host in self.mesh.hosts:
            with self.subTest(host.name):
                connection = self.connect(host)
                one = b"GET /work?ms=100&bytes=3 HTTP/1.1\r\nHost: x\r\nx-token: one\r\n\r\n"
                two = b"GET /work HTTP/1.1\r\nHost: x\r\nx-token: two\r\nConnection: close\r\n\r\n"
                connection.sendall(one + two)
                answer = receive_all(connection)
                self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)
                self.assertLess(answer.index(b"x-token: one"), answer.index(b"x-token: two"))

    def test_malformed_request_is_refused_and_the_connection_closed(self) -> None:
        for data, status in (
            (b"GET /work HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /work HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", b"400"),
            (
                b"POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
                b"400",
            ),
            (b"GET /work HTTP/1.1\r\nHost: a\r\nx: " + b"y" * 40_000 + b"\r\n\r\n", b"431"),
            (b"GET /work HTTP/1.1\r\nHost: a\r\nx-deadline-ms: soon\r\n\r\n", b"400"),
            (b"\x16\x03\x01\x02\x00", b"400"),
        ):
            with self.subTest(data[:60]):
                connection = self.connect(self.target_host)
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                answer = receive_all(connection)
                self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), answer[:100])
                self.assertEqual(answer.count(b"HTTP/1.1"), 1)

    def test_unknown_route_and_caller_over_its_limit(self) -> None:
        answer = httpx.get(f"{self.target_host.entry}/nowhere", trust_env=False)
        self.assertEqual((answer.status_code, answer.json()["outcome"]), (404, "not_run"))
        answers = [self.get_work(self.target_host, **{"x-caller": "greedy"}) for _ in range(3)]
        self.assertEqual([answer.status_code for answer in answers], [200, 429, 429])
        self.assertGreater(int(answers[1].headers["retry-after"]), 10)
        self.assertEqual(answers[1].json()["outcome"], "not_run")

    def test_head_response_has_the_length_and_no_body(self) -> None:
        for host in self.mesh.hosts:
            with self.subTest(host.name):
                answer = httpx.head(f"{host.entry}/work?bytes=500", trust_env=False)
                self.assertEqual(answer.headers["content-length"], "500")
                self.assertEqual(self.get_work(host).status_code, 200)

    def test_large_upload_streams_in_constant_memory(self) -> None:
        block_count = 1600
        digest = hashlib.sha256(BLOCK * block_count).hexdigest()
        before = [self.resident_bytes(host) for host in self.mesh.hosts]
        answer = httpx.post(
            f"{self.entry_host.entry}/work",
            content=(BLOCK for _ in range(block_count)),
            headers={"x-token": "up"},
            trust_env=False,
            timeout=60,
        )
        self.assertEqual(answer.headers["x-body-digest"], digest)
        for host, previous in zip(self.mesh.hosts, before, strict=True):
            self.assertLess(self.resident_bytes(host) - previous, 30_000_000, host.name)

    @staticmethod
    def resident_bytes(host: MeshHost) -> int:
        return int(Path(f"/proc/{host.daemon.pid}/statm").read_text().split()[1]) * 4096

    def test_large_response_is_complete(self) -> None:
        for host in self.mesh.hosts:
            with self.subTest(host.name):
                answer = self.get_work(host, "?bytes=20000000")
                self.assertEqual(len(answer.content), 20_000_000)

    def test_100_continue_is_sent_once_a_target_admits_the_call(self) -> None:
        connection = self.connect(self.entry_host)
        connection.sendall(
            b"POST /work HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
            b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        )
        self.assertEqual(connection.recv(100), b"HTTP/1.1 100 Continue\r\n\r\n")
        connection.sendall(b"3\r\nabc\r\n0\r\n\r\n")
        answer = receive_all(connection)
        self.assertIn(hashlib.sha256(b"abc").hexdigest().encode(), answer)

    def test_upload_with_malformed_chunk_is_not_reported_as_not_run(self) -> None:
        """The target has received the head by then, so that the call may have run."""
        connection = self.connect(self.target_host)
        connection.sendall(
            b"POST /work HTTP/1.1\r\nHost: x\r\nx-token: nonsense\r\nExpect: 100-continue\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        self.assertEqual(connection.recv(100), b"HTTP/1.1 100 Continue\r\n\r\n")
        self.wait_until(lambda: self.target_host.journal()["started"].get("nonsense") == 1)
        connection.sendall(b"zz\r\n")
        connection.shutdown(socket.SHUT_WR)
        answer = receive_all(connection)
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
        self.assertIn(b"x-outcome: outcome_unknown", answer)

    def test_expired_deadline_is_answered_in_time(self) -> None:
        for host in self.mesh.hosts:
            with self.subTest(host.name):
                started = time.monotonic()
                answer = self.get_work(host, "?ms=5000", **{"x-deadline-ms": "300"})
                self.assertLess(time.monotonic() - started, 1.0)
                self.assertEqual(answer.json()["outcome"], "outcome_unknown")

    def test_caller_that_disconnects_cancels_its_call(self) -> None:
        for number, host in enumerate(self.mesh.hosts):
            with self.subTest(host.name):
                connection = self.connect(host)
                token = f"gone-{number}"
                head = f"GET /work?ms=20000 HTTP/1.1\r\nHost: x\r\nx-token: {token}\r\n\r\n"
                connection.sendall(head.encode())
                self.wait_until(
                    lambda token=token: self.target_host.journal()["started"].get(token) == 1
                )
                connection.close()
                self.wait_until(lambda: self.target_host.journal()["running"] == 0)
                self.assertNotIn(token, self.target_host.journal()["finished"])

    def wait_until(self, condition) -> None:  # type: ignore[no-untyped-def]
        deadline = time.monotonic() + 10
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not become true in time")
            time.sleep(0.02)
