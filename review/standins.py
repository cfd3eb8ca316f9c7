"""Stand-ins for the platform's store, servers and consumers, and daemons as processes.

They use the standard library alone.  Everything listens on loopback addresses that are drawn for
each run, so that several runs do not meet.  What a page leaves open, the stand-ins do as a sound
store, server or consumer would.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HEARTBEAT_MS = 1500
#: Bounds of the small deployments.
BOUNDS = [
    "seed-lag-s=3", "reuse-after-s=2", "stable-window-ms=3000", "ack-ms=4000", "catch-up-s=4",
    "drain-ms=2000", "grace-s=6", "loss-slack-ms=200", "config-apply-ms=2000",
    "rollback-slack-ms=250", "max-stretch-ms=5000", "retry-budget-ratio=0.2",
    "budget-window-s=10", "budget-slack=62", "recovery-s=15",
]
PORTS = {"inbound": 8145, "outbound": 8141, "ready": 8140, "control": 8146, "app": 8147}
INTERNAL = (7660, 7675)


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Note a line and print it."""
        self.note(text)
        print(text, flush=True)


# --- HTTP/1.1 ----------------------------------------------------------------------------------


class Message:
    """A request or response: first line, header fields in lower case, body."""

    def __init__(self, line: str, fields: dict[str, str], body: bytes) -> None:
        self.line = line
        self.fields = fields
        self.body = body

    @property
    def status(self) -> int:
        return int(self.line.split(" ")[1])

    @property
    def method(self) -> str:
        return self.line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader, *, is_response: bool = False) -> Message | None:
    """Read one message; `None` at the end of the connection between two messages."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif is_response:
        body = await reader.read(-1)
    return Message(lines[0], fields, body)


def response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def request(method: str, target: str, fields: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def ask(ip: str, port: int, data: bytes, *, within: float = 2.0) -> Message | None:
    """One request on a connection of its own; `None` where no whole answer came in time."""
    writer = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(data)
            return await read_message(reader, is_response=True)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


# --- the platform's store ------------------------------------------------------------------------


class Store:
    """Keeps keyed topics of one partition, as the platform's store does."""

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = 8142
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        #: 503 to every call while set.
        self.is_down = False
        self._changed = asyncio.Event()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    def put(self, topic: str, key: str, value: bytes) -> int:
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return len(records) - 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self._answer(message))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the daemon or the case has ended
        finally:
            writer.close()

    async def _answer(self, message: Message) -> bytes:
        path, _, query = message.target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if self.is_down:
            return response(503, {})
        await asyncio.sleep(0.004)
        topic = fields.get("topic", "")
        records = self.topics.get(topic, [])
        if path == "/log-append":
            if "at" in fields and int(fields["at"]) != len(records):
                return response(412, {}, json.dumps({"end-offset": len(records)}).encode())
            first = len(records)
            at = 0
            while at < len(message.body):
                (length,) = struct.unpack_from(">I", message.body, at)
                content = message.body[at + 4 : at + 4 + length]
                key_end = 1 + content[0]
                self.put(topic, content[1:key_end].decode(), content[key_end:])
                at += 4 + length
            end = len(self.topics.get(topic, []))
            return response(200, {}, json.dumps({"offset": first, "end-offset": end}).encode())
        if path == "/log-newest":
            newest = {key: (value, at) for at, (key, value) in enumerate(records)}
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": at}
                for key, (value, at) in sorted(newest.items())
                if key > unquote(fields.get("after", "")) and value
            ]
            values = {"items": items[:500], "has-more": len(items) > 500, "end-offset": len(records)}
            return response(200, {}, json.dumps(values).encode())
        if path == "/log-read":
            start = int(fields["from"])
            if start > len(records):
                return response(410, {}, json.dumps({"first-offset": 0}).encode())
            deadline = time.monotonic() + int(fields.get("wait-ms", "0")) / 1000
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self._changed.wait(), deadline - time.monotonic())
                except TimeoutError:
                    break
            records = self.topics.get(topic, [])
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return response(200, {}, data)
        return response(404, {})


def configuration(version: int, services: list[str], paths: list[dict[str, object]]) -> bytes:
    """A configuration in full, for the host `x.example`."""
    return json.dumps(
        {
            "version": f"{version:08x}",
            "services": [
                {"name": name, "health-path": "/health", "max-conns": 130} for name in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 16777216,
                "header-timeout-ms": 5000,
                "idle-timeout-ms": 10000,
            },
            "virtual-hosts": [{"host": "x.example", "paths": paths}],
        }
    ).encode()


def path(name: str, kind: str, service: str, *, timeout_ms: int = 3000) -> dict[str, object]:
    return {
        "name": name,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": timeout_ms,
        "target-latency-ms": 500,
        "priority": 1,
        "max-attempts": 2 if kind == "safe" else 1,
    }


# --- servers ---------------------------------------------------------------------------------------


class Server:
    """An application server that runs requests, signs its answers and writes down what it ran."""

    def __init__(self, ip: str, service: str, record: Record, *, zone: str, slots: int = 9) -> None:
        self.ip = ip
        self.port = PORTS["app"]
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        #: Seconds for which a request is run.
        self.work_s = 0.02
        self.reports = True
        #: Identity of each run with the moment at which it began.
        self.runs: list[tuple[str, float]] = []
        self.record = record
        self._busy = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    def close(self) -> None:
        """End as a process does: no listener, all connections closed."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def report(self) -> bytes:
        """The next liveness report."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.ip}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold-left-ms": 0,
                "seq": self.sequence,
                "born": self.born,
            }
        ).encode()

    async def tell(self, verb: str, body: bytes) -> int:
        """Send a call to the control address of the own machine; the status, 0 for no answer."""
        fields = {"Host": self.ip, "Content-Type": "application/json", "Connection": "close"}
        data = request("POST", f"/instances/{self.id}/{verb}", fields, body)
        answer = await ask(self.ip, PORTS["control"], data, within=1.0)
        return answer.status if answer is not None else 0

    async def keep_reporting(self) -> None:
        while True:
            if self.reports:
                await self.tell("heartbeat", self.report())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self.answer(message, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the daemon or the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        expected = message.fields.get("expected-instance", self.id)
        attempt = message.fields.get("attempt-id", "")
        if expected != self.id:
            writer.write(response(421, {"Instance-Id": self.id, "Not-Executed": "1"}))
            return
        if self._busy >= self.slots + 36:
            writer.write(response(503, {"Attempt-Id": attempt, "Not-Executed": "1"}))
            return
        self._busy += 1
        try:
            self.runs.append((attempt, time.monotonic()))
            self.record.note(f"run {attempt} at {self.id} on {self.ip}")
            await asyncio.sleep(self.work_s)
        finally:
            self._busy -= 1
        body = f"{self.id} {attempt} {len(message.body)}".encode()
        writer.write(response(200, {"Attempt-Id": attempt, "Response-Signature": "sig"}, body))


# --- machines ----------------------------------------------------------------------------------------


class Machine:
    """A machine with its daemon as a process, started as the deploy file says."""

    def __init__(self, ip: str, name: str, zone: str, service: str, store: Store, folder: Path) -> None:
        self.ip = ip
        self.name = name
        self.zone = zone
        self.folder = folder
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        listen = {n: f"{ip}:{PORTS[n]}" for n in ("inbound", "outbound", "ready", "control")}
        self.fields = {
            "node": name,
            "role": "daemon",
            "machine-class": "sidecar",
            "serves": ["sidecar"],
            "ip": ip,
            "zone": zone,
            "region": "r",
            "zones": {zone: "r"},
            "listen": listen,
            "internal-ports": list(INTERNAL),
            "seeds": [],
            "bootstrap": True,
            "counts-as-loss": False,
            "limits": {"cpu-share": 0.86, "cores": 1, "memory-mb": 300, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeat-ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "platform"],
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "app-addr": f"{ip}:{PORTS['app']}",
            "service": service,
            "platform": {"address": f"{store.ip}:{store.port}", "form": "log", "writes-per-s": 400,
                         "reads-per-s": 2000, "parts": 8, "append-ms": 4.0, "partition-mb-s": 20.0,
                         "read-mb-s": 80.0, "max-record-bytes": 262144,
                         "max-call-bytes": 2097152, "keep_s": 300, "partition-mb": 200,
                         "min-ttl-ms": 1000},
        }
        self.settings.write_text(json.dumps(self.fields))

    def start(self) -> None:
        command = next(
            line.split('"')[1].split()
            for line in (ROOT / "deploy" / "system.toml").read_text().splitlines()
            if line.startswith("run = ")
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "ACACIAYARD_NODE_FILE": str(self.settings),
        }
        self.starts += 1
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self.log.open("ab"), stderr=subprocess.STDOUT
        )

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        return self.process.poll() if self.process is not None else None

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        answer = await ask(
            self.ip, PORTS["ready"], request("GET", "/readiness", {"Host": self.ip}), within=0.5
        )
        return answer is not None and answer.status == 200

    async def until_ready(self, within: float = 15.0) -> None:
        deadline = time.monotonic() + within
        while not await self.is_ready():
            if time.monotonic() > deadline:
                raise CannotRun(f"{self.name} is not ready: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.05)

    def lines(self, event: str) -> list[str]:
        return [line for line in self.log.read_text().splitlines() if f"event={event} " in line]


class Mesh:
    """Some machines with a server each, and the store."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self._prefix = _free_prefix()
        self.store = Store(f"{self._prefix}.250")
        self.machines: list[Machine] = []
        self.servers: list[Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.server_class: type[Server] = Server
        #: Slots of each server.
        self.slots = 9

    async def open(self, services: list[str], document: bytes, *, zones: int = 2) -> None:
        """Start a machine with a server for each service in the list, and wait until all serve."""
        await self.store.open()
        self.store.put("keyed.op", "config", document)
        for number, service in enumerate(services, start=1):
            ip, zone = f"{self._prefix}.{number}", f"z{number % zones}"
            self.machines.append(
                Machine(ip, f"sidecar-{number}", zone, service, self.store, self.folder)
            )
            server = self.server_class(ip, service, self.record, zone=zone, slots=self.slots)
            await server.open()
            self.servers.append(server)
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.until_ready()
        for server in self.servers:
            self._tasks.append(asyncio.create_task(server.keep_reporting()))
        await asyncio.sleep(3.0)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()


def _free_prefix() -> str:
    """A loopback network of this run, on which the ports of the settings are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        hosts = [f"{prefix}.{number}" for number in (*range(1, 10), 250)]
        if all(_is_free(host, port) for host in hosts for port in (*PORTS.values(), *INTERNAL)):
            return prefix
    raise CannotRun("no loopback network is free")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def new_attempt() -> str:
    return f"{random.getrandbits(64):016x}"


def consumer_request(
    method: str, target: str, attempt: str, *, deadline_ms: int, body: bytes = b""
) -> bytes:
    fields = {"Host": "x.example", "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms)}
    return request(method, target, fields, body)


def run_case(folder: Path, body) -> None:
    """Run `body(mesh, record, has_trouble)` and exit with its verdict."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            mesh = Mesh(record, Path(temporary))
            try:
                async with asyncio.timeout(110):
                    return await body(mesh, record, has_trouble)
            except Exception as error:  # whatever goes wrong here is no verdict on the rule
                record.say(f"cannot run: {type(error).__name__}: {error}")
                return CANNOT_RUN
            finally:
                mesh.close()

    sys.exit(asyncio.run(run()))
