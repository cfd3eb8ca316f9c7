"""Stand-ins for the platform, servers and clients, and daemons as separate processes.

Everything here uses the standard library alone.  A case builds a `Mesh`, drives it, and judges
what its clients and servers have seen.  All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[1]
COMMAND = ("python3", "-S", "-m", "acaciayard_start", "acaciayard_platform")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
#: Ports of a machine; all machines of a mesh use the same ones at addresses of their own.
PORTS = {"inbound": 8145, "outbound": 8141, "ready": 8140, "control": 8146}
INTERNAL = (7660, 7675)
SERVER_PORT = 8147
#: Seconds after which a case is given up.
LIMIT_S = 112
HELD, BROKEN, NOT_RUN = 0, 1, 2

_began = time.monotonic()


class CannotRun(Exception):
    """The case could not be carried out, so that it shows nothing."""


def now() -> float:
    """Seconds since the case began."""
    return time.monotonic() - _began


class Record:
    """The lines of `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")

    def note(self, text: str) -> None:
        line = f"{now():8.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


# --- HTTP -----------------------------------------------------------------------------------


@dataclass
class Head:
    """The first line and the header fields of a message."""

    first: list[str]
    fields: dict[str, str]

    def get(self, name: str, default: str = "") -> str:
        return self.fields.get(name.lower(), default)


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; `None` if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended in a head") from error
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0].split(" ", 2), fields)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a body with a length or in chunks."""
    if head.get("transfer-encoding").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(part[:-2])
    length = int(head.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


async def close(writer: asyncio.StreamWriter) -> None:
    writer.close()
    with contextlib.suppress(Exception):
        await writer.wait_closed()


# --- the platform's store -------------------------------------------------------------------


class Store:
    """Keeps keyed topics, and answers the calls that `PROTOCOL.md` names for them."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def open(self, ip: str) -> None:
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"

    def put(self, topic: str, key: str, value: bytes) -> int:
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    def configure(self, document: dict[str, object]) -> None:
        """Accept a configuration, as the operator's call does."""
        self.put("keyed.op", "config", json.dumps(document).encode())
        self._record.note(f"operator: version {document['version']} acknowledged")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                path, _, query = head.first[1].partition("?")
                values = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
                status, content = await self._answer(path, values, body)
                writer.write(
                    f"HTTP/1.1 {status} S\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other end, or the case, has ended
        finally:
            writer.close()

    async def _answer(self, path: str, values: dict[str, str], body: bytes) -> tuple[int, bytes]:
        topic = values.get("topic", "")
        await asyncio.sleep(0.004)
        match path:
            case "/log-append":
                return self._append(topic, values, body)
            case "/log-newest":
                return self._newest(topic, values.get("after", ""))
            case "/log-read":
                return await self._read(topic, values)
        return 404, b""

    def _append(self, topic: str, values: dict[str, str], body: bytes) -> tuple[int, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        end = len(self.topics.get(topic, []))
        if "at" in values and int(values["at"]) != end:
            return 412, json.dumps({"end-offset": end}).encode()
        first, at = end, 0
        while at + 4 <= len(body):
            (size,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + size]
            at += 4 + size
            key_end = 1 + content[0]
            self.put(topic, content[1:key_end].decode(), content[key_end:])
        end = len(self.topics.get(topic, []))
        return 200, json.dumps({"offset": first, "end-offset": end}).encode()

    def _newest(self, topic: str, after: str) -> tuple[int, bytes]:
        records = self.topics.get(topic, [])
        newest = {key: (value, at) for at, (key, value) in enumerate(records)}
        keys = sorted(key for key in newest if key > after and newest[key][0])
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:500]
        ]
        answer = {"items": items, "has-more": len(keys) > 500, "end-offset": len(records)}
        return 200, json.dumps(answer).encode()

    async def _read(self, topic: str, values: dict[str, str]) -> tuple[int, bytes]:
        start = int(values["from"])
        ends = time.monotonic() + int(values.get("wait-ms", "0")) / 1000
        while len(self.topics.get(topic, [])) <= start and time.monotonic() < ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), max(0.001, ends - time.monotonic()))
        records = self.topics.get(topic, [])
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start : start + 1024]:
            content = bytes([len(key)]) + key.encode() + value
            data += struct.pack(">I", len(content)) + content
        return 200, data


# --- servers --------------------------------------------------------------------------------


@dataclass
class Request:
    """A request as a server has read it."""

    head: Head
    body: bytes

    @property
    def id(self) -> str:
        return self.head.get("attempt-id")


@dataclass
class Run:
    """A request that a server began to run."""

    at: float
    server: str
    id: str
    head: Head


#: Answers a request that is run; returns whether the connection stays open.
Answering = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[bool]]


async def answer_plainly(server: Server, request: Request, writer: asyncio.StreamWriter) -> bool:
    """Answer with a signed body that has a length."""
    await asyncio.sleep(server.work_s)
    body = f"{server.id} ran {request.id}".encode()
    writer.write(server.head_of(request, f"Content-Length: {len(body)}") + body)
    await writer.drain()
    return True


class Server:
    """An application server on a machine; it reports itself to the daemon beside it."""

    def __init__(self, mesh: Mesh, machine: Machine, service: str) -> None:
        self._mesh = mesh
        self.machine = machine
        self.service = service
        self.id = f"i-{random.getrandbits(32):08x}"
        self.state = "ready"
        #: The state that it reports, where that is not what a case has it do.
        self.told_state = ""
        self.slots = 6
        self.work_s = 0.02
        self.answering: Answering = answer_plainly
        self.runs: list[Run] = []
        self.beats_every: float | None = None
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._is_down = False
        #: Whether it sends nothing, and runs nothing that comes.
        self.is_dark = False

    @property
    def address(self) -> str:
        return f"{self.machine.ip}:{SERVER_PORT}"

    async def open(self, *, beats_every: float) -> None:
        self._server = await asyncio.start_server(self._serve, self.machine.ip, SERVER_PORT)
        self.beats_every = beats_every
        self._beating = asyncio.create_task(self._beat())

    def crash(self, *, back_after: float) -> None:
        """End at once, and be back after some seconds as a new boot."""
        if self._is_down:
            return
        self._is_down = True
        self.stop_reporting()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._connections):
            writer.transport.abort()
        self.note("has crashed")
        asyncio.get_running_loop().call_later(
            back_after, lambda: asyncio.ensure_future(self._come_back())
        )

    def go_dark(self, *, for_s: float) -> None:
        """Fall silent, with all connections as they are, and be back later as a new boot."""
        self.is_dark = True
        self.stop_reporting()
        self.note("is dark")
        asyncio.get_running_loop().call_later(for_s, self._end_dark)

    def _end_dark(self) -> None:
        self.is_dark = False
        self.crash(back_after=0.0)

    async def _come_back(self) -> None:
        self.id = f"i-{random.getrandbits(32):08x}"
        self._sequence = 0
        assert self.beats_every is not None
        await self.open(beats_every=self.beats_every)
        self._is_down = False
        self.note("is back")

    def note(self, text: str) -> None:
        self._mesh.record.note(f"server {self.id}: {text}")

    def stop_reporting(self) -> None:
        """Send no more liveness reports."""
        if self._beating is not None:
            self._beating.cancel()

    def head_of(self, request: Request, framing: str, *, keeps: bool = True) -> bytes:
        """A signed head of a success."""
        last = "" if keeps else "Connection: close\r\n"
        framing = f"{framing}\r\n" if framing else ""
        return (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {request.id}\r\n"
            f"Response-Signature: {self.id}.1\r\n{framing}{last}\r\n"
        ).encode()

    def report(self) -> bytes:
        """The next liveness report."""
        self._sequence += 1
        values = {
            "service": self.service,
            "address": self.address,
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.told_state or self.state,
            "cold-left-ms": 0,
            "seq": self._sequence,
        }
        return json.dumps(values).encode()

    async def tell(self, verb: str, body: bytes, *, within: float = 1.0) -> int:
        """Send a report to the daemon beside; returns the status, 0 for none."""
        path = f"/instances/{self.id}/{verb}"
        try:
            answer = await asyncio.wait_for(
                send(self.machine.ip, PORTS["control"], "POST", path, body=body), within
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        return answer.status

    async def _beat(self) -> None:
        assert self.beats_every is not None
        while True:
            await self.tell("heartbeat", self.report())
            await asyncio.sleep(self.beats_every)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                request = Request(head, await read_body(reader, head))
                if not await self._take(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other end, or the case, has ended
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _take(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if self.is_dark:
            await asyncio.sleep(60)
            return False
        expected = request.head.get("expected-instance")
        if expected and expected != self.id:
            writer.write(
                f"HTTP/1.1 421 M\r\nAttempt-Id: {request.id}\r\nNot-Executed: 1\r\n"
                f"Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return True
        run = Run(now(), self.id, request.id, request.head)
        self.runs.append(run)
        self._mesh.record.note(
            f"server {self.id}: runs {request.id} {' '.join(request.head.first[:2])}"
            f" caller-service={request.head.get('caller-service')}"
        )
        return await self.answering(self, request, writer)


# --- clients --------------------------------------------------------------------------------


@dataclass
class Answer:
    """What a client has received."""

    status: int
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    #: Whether the answer is complete by its framing.
    is_whole: bool = True
    #: How the answer ended: `whole`, `cut`, `reset`, `late`, or why there is none.
    end: str = "whole"
    sent_at: float = 0.0
    ended_at: float = 0.0
    #: Its `Attempt-Id`.
    id: str = ""

    @property
    def text(self) -> str:
        """The beginning of the body, for the record."""
        return ascii(self.body[:90].decode("latin-1"))


async def send(
    ip: str,
    port: int,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
) -> Answer:
    """One request on a connection of its own; raises `OSError` where there is no answer."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        return await exchange(reader, writer, method, path, body=body, fields=fields)
    finally:
        await close(writer)


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    fields: dict[str, str] | None = None,
    pace: Callable[[], Awaitable[None]] | None = None,
) -> Answer:
    """One request on an open connection."""
    lines = [f"{method} {path} HTTP/1.1"]
    given = {"Host": HOST, **(fields or {})}
    if body and "Transfer-Encoding" not in given:
        given["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in given.items()]
    sent_at = now()
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("the connection ended without an answer")
    answer = Answer(int(head.first[1]), head.fields, sent_at=sent_at)
    try:
        if "content-length" in head.fields or "transfer-encoding" in head.fields:
            answer.body = await read_body(reader, head)
        else:
            parts = []
            while part := await reader.read(65536):
                parts.append(part)
                if pace is not None:
                    await pace()
            answer.body = b"".join(parts)
    except asyncio.IncompleteReadError as error:
        answer.body, answer.is_whole, answer.end = error.partial, False, "cut"
    except ConnectionError:
        answer.is_whole, answer.end = False, "reset"
    answer.ended_at = now()
    return answer


# --- machines -------------------------------------------------------------------------------


class Machine:
    """A daemon process with its settings, and the platform's checks of it."""

    def __init__(self, mesh: Mesh, number: int, zone: str, service: str) -> None:
        self._mesh = mesh
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"{mesh.network}.{number}"
        self.zone = zone
        self.service = service
        self.server = Server(mesh, self, service)
        self._path = mesh.folder / f"{self.name}.json"
        self._log = mesh.folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.is_ready = False
        #: Moments of starts, signals and ends, for what counts as in touch.
        self.disturbed_at: list[float] = []

    def write_settings(self, **changes: object) -> None:
        settings = {
            "node": self.name,
            "role": "daemon",
            "machine-class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "north",
            "zones": {zone: "north" for zone in self._mesh.zones},
            "listen": {name: f"{self.ip}:{port}" for name, port in PORTS.items()},
            "internal-ports": list(INTERNAL),
            "seeds": [],
            "bootstrap": True,
            "counts-as-loss": False,
            "limits": {
                "cpu-share": 0.86,
                "cores": 1,
                "memory-mb": 300,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "data-dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat-ms": self._mesh.heartbeat_ms,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": [f"{name}={value:g}" for name, value in self._mesh.bounds.items()],
            "app-addr": f"{self.ip}:{SERVER_PORT}",
            "service": self.service,
            "platform": {
                "address": self._mesh.store.address,
                "form": "log",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "parts": 8,
                "append-ms": 4.0,
                "partition-mb-s": 20.0,
                "read-mb-s": 80.0,
                "max-record-bytes": 262144,
                "max-call-bytes": 2097152,
                "keep_s": 300,
                "partition-mb": 200,
                "min-ttl-ms": 1000,
            },
            **changes,
        }
        unfinished = self._path.with_suffix(".new")
        unfinished.write_text(json.dumps(settings))
        unfinished.replace(self._path)

    def start(self) -> None:
        """Start the daemon with the command of the deploy file."""
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment = {
            **kept,
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "ACACIAYARD_NODE_FILE": str(self._path),
        }
        self.process = subprocess.Popen(
            COMMAND,
            cwd=REPOSITORY,
            env=environment,
            stdout=self._log.open("ab"),
            stderr=subprocess.STDOUT,
        )
        self._disturb("start")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._disturb(number.name)
        self.process.send_signal(number)

    async def wait_end(self, within: float) -> int:
        """The exit status of the daemon; raises `CannotRun` if it goes on."""
        assert self.process is not None
        ends = time.monotonic() + within
        while (status := self.process.poll()) is None:
            if time.monotonic() > ends:
                raise CannotRun(f"{self.name} did not end")
            await asyncio.sleep(0.01)
        self._disturb(f"ended with {status}")
        return status

    def _disturb(self, what: str) -> None:
        self.disturbed_at.append(now())
        self._mesh.record.note(f"machine {self.name}: {what}")

    def in_touch_since(self) -> float:
        """The moment from which it counts as in touch, after the last disturbance."""
        return max(self.disturbed_at) + self._mesh.bounds["stable-window-ms"] / 1000

    def log_text(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""

    async def ask_readiness(self) -> bool:
        try:
            answer = await asyncio.wait_for(send(self.ip, PORTS["ready"], "GET", "/readiness"), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    async def watch(self) -> None:
        """Ask for readiness once a second, as the platform does."""
        while True:
            ready = await self.ask_readiness()
            if ready != self.is_ready:
                self._mesh.record.note(f"machine {self.name}: {'ready' if ready else 'not ready'}")
            self.is_ready = ready
            await asyncio.sleep(1.0)

    async def request(
        self, path: str, *, method: str = "GET", body: bytes = b"", deadline_ms: int = 3000
    ) -> Answer:
        """A client's request at this machine; what came of it is recorded."""
        return await self._mesh.request(
            self, path, method=method, body=body, deadline_ms=deadline_ms
        )


def path_of(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """One route of a configuration."""
    return {
        "name": name,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 2000,
        "target-latency-ms": 500,
        "priority": 1,
        "max-attempts": 2 if kind == "safe" else 1,
        **more,
    }


class Mesh:
    """A store, machines with daemons and servers, and clients."""

    def __init__(self, record: Record, folder: Path, zones: list[str]) -> None:
        self.record = record
        self.folder = folder
        self.zones = zones
        self.store = Store(record)
        self.machines: list[Machine] = []
        self.network = _free_network()
        self.heartbeat_ms = 1000
        self.bounds: dict[str, float] = {
            "seed-lag-s": 3,
            "reuse-after-s": 2,
            "stable-window-ms": 3000,
            "ack-ms": 4000,
            "catch-up-s": 4,
            "drain-ms": 2000,
            "grace-s": 6,
            "loss-slack-ms": 200,
            "config-apply-ms": 2000,
            "rollback-slack-ms": 250,
            "max-stretch-ms": 5000,
            "retry-budget-ratio": 0.2,
            "budget-window-s": 10,
            "budget-slack": 56,
            "recovery-s": 15,
        }
        self._tasks: list[asyncio.Task[None]] = []
        self._ids = 0

    def document(self, version: int, paths: list[dict[str, object]]) -> dict[str, object]:
        names = sorted({machine.service for machine in self.machines})
        return {
            "version": f"{version:08x}",
            "services": [{"name": name} for name in names],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "virtual-hosts": [{"host": HOST, "paths": paths}],
        }

    async def open(self, services: list[str], paths: list[dict[str, object]]) -> None:
        """Start one machine for each service in the list, dealt out to the zones in turn."""
        await self.store.open(f"{self.network}.250")
        for number, service in enumerate(services, start=1):
            zone = self.zones[number % len(self.zones)]
            self.machines.append(Machine(self, number, zone, service))
        self.store.configure(self.document(1, paths))
        for machine in self.machines:
            machine.write_settings()
            await machine.server.open(beats_every=self.heartbeat_ms / 1000)
            machine.start()
            self._tasks.append(asyncio.create_task(machine.watch()))
        await self.until(lambda: all(m.is_ready for m in self.machines), 15)
        await asyncio.sleep(3.5)  # servers have reported themselves, and all are in touch

    async def until(self, condition: Callable[[], bool], within: float) -> None:
        ends = time.monotonic() + within
        while not condition():
            if time.monotonic() > ends:
                raise CannotRun("the mesh did not get ready")
            await asyncio.sleep(0.05)

    def new_id(self) -> str:
        self._ids += 1
        return f"{self._ids:04x}{random.getrandbits(48):012x}"

    async def request(
        self,
        machine: Machine,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 3000,
        fields: dict[str, str] | None = None,
    ) -> Answer:
        name = self.new_id()
        given = {"Attempt-Id": name, "Deadline-Ms": str(deadline_ms), **(fields or {})}
        self.record.note(f"client at {machine.name}: sends {name} {method} {path}")
        sent_at = now()
        try:
            answer = await asyncio.wait_for(
                send(machine.ip, PORTS["outbound"], method, path, body=body, fields=given),
                deadline_ms / 1000,
            )
        except TimeoutError:
            answer = Answer(0, end="late", is_whole=False)
        except (OSError, asyncio.IncompleteReadError) as error:
            answer = Answer(0, end=f"none: {type(error).__name__} {error}", is_whole=False)
        answer.sent_at, answer.ended_at, answer.id = sent_at, now(), name
        self.record.note(
            f"client at {machine.name}: {name} got {answer.status} {answer.end}" f" {answer.text}"
        )
        return answer

    def end(self) -> None:
        """End all processes that were started."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.server.stop_reporting()
            if machine.process is not None and machine.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()


def _free_network() -> str:
    """Three numbers of a loopback network whose addresses have the ports free."""
    for _ in range(50):
        network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        try:
            for number in range(1, 10):
                for port in (*PORTS.values(), *range(INTERNAL[0], INTERNAL[1] + 1), SERVER_PORT):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{network}.{number}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free ports")


def run(case: Callable[[Mesh], Awaitable[int]], file: str, zones: list[str]) -> None:
    """Run a case and exit with its verdict: 1 broken, 0 held, 2 not run."""
    record = Record(Path(file).resolve().parent / "record.txt")
    record.say(f"TROUBLE={int(HAS_TROUBLE)}")
    folder = Path(tempfile.mkdtemp(prefix="acaciayard-case-"))

    async def go() -> int:
        mesh = Mesh(record, folder, zones)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # so that all processes are ended
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(mesh), LIMIT_S)
        finally:
            mesh.end()
            if os.environ.get("KEEP_LOGS"):
                for machine in mesh.machines:
                    target = Path(os.environ["KEEP_LOGS"]) / f"{machine.name}.log"
                    target.write_text(machine.log_text())

    try:
        verdict = asyncio.run(go())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
        verdict = NOT_RUN
    except Exception:
        record.say(traceback.format_exc())
        verdict = NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.say({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[verdict])
    sys.exit(verdict)
