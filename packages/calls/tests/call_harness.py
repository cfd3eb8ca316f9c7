"""The call path of several daemons in one process, with targets scripted by the test."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from acaciayard_admission import Announcement, GatePolicy, LocalTargets, RetryBudgets
from acaciayard_callmodel import LARGEST_WHOLE_BODY, Call, Dialect
from acaciayard_calls import DispatchContext, Dispatcher
from acaciayard_handover import CallServer, call_pool
from acaciayard_http1 import End, Limits, RequestHead, RequestReader
from acaciayard_membership import Member, MemberState, MemberTable, TargetInfo
from acaciayard_membership._messages import MEMBER_CODEC
from acaciayard_resources import (
    START,
    Configuration,
    FoldState,
    Invariants,
    Proposal,
    Put,
    Resource,
    encode_record,
    fold,
)
from acaciayard_routing import Picker, Router
from acaciayard_timers import EventLoopTimers, PauseDetector
from acaciayard_wire import (
    Address,
    BodyBudget,
    ByteStream,
    Purpose,
    StreamLostError,
    Traffic,
    listen,
)

IP = "127.0.0.1"
DIALECT = Dialect(
    request_id=b"x-request",
    expected_target=b"x-for",
    not_run=b"x-not-run",
    response_signature=b"x-seal",
    origin=b"x-origin",
)

#: Responds to one request; raising `StreamLostError` resets the connection.
ResponseScript = Callable[[RequestHead, ByteStream], Awaitable[None]]


def configuration(*resources: Resource) -> Configuration:
    """Returns an accepted configuration that holds the given resources."""
    puts = tuple(Put(resource, 0) for resource in resources)
    state = fold(START, encode_record(Proposal("c", "t", 0.0, puts)))
    assert isinstance(state, FoldState)
    assert state.outcomes["c"].is_accepted, state.outcomes["c"].findings
    return state.configuration


def answer(
    head: RequestHead, *, status: int = 200, body: bytes = b"ok", extra_headers: str = ""
) -> bytes:
    """Returns a valid response to a request, with optional further header lines."""
    request_id = dict(head.headers)[b"x-request"].decode()
    head_lines = f"HTTP/1.1 {status} S\r\nx-request: {request_id}\r\nx-seal: 1\r\n{extra_headers}"
    return f"{head_lines}content-length: {len(body)}\r\n\r\n".encode() + body


class ScriptedTarget:
    """A target that responds through a script and records the requests that it receives."""

    def __init__(self, script: ResponseScript) -> None:
        self.script = script
        self.request_heads: list[RequestHead] = []
        self.accepted_connections = 0
        self.port = 0

    async def open(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts to listen on a free port."""
        self._listener = await listen(
            IP,
            0,
            traffic=Traffic(),
            purpose=Purpose.CALLS,
            on_stream=lambda stream: tasks.start_soon(self._serve, stream),
        )
        self.port = self._listener.port

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()

    async def _serve(self, stream: ByteStream) -> None:
        self.accepted_connections += 1
        reader = RequestReader(stream, Limits())
        try:
            while (head := await reader.next_head()) is not None:
                self.request_heads.append(head)
                await self.script(head, stream)
                while not isinstance(await reader.next_part(), End):
                    pass
        except StreamLostError:
            stream.abort()


class Host:
    """The call path of one daemon, with at most one target."""

    def __init__(self, name: str, target: ScriptedTarget | None) -> None:
        self.name = name
        self.target = target
        self.timers = EventLoopTimers()
        self.traffic = Traffic()
        self.pause = PauseDetector(self.timers, threshold=5.0)
        self.targets = LocalTargets(
            timers=self.timers,
            pause=self.pause,
            traffic=self.traffic,
            host=name,
            publish=lambda _: None,
            lease=60.0,
            policy=GatePolicy(lowest_share=1.0, middle_spare=0),
        )
        self.bodies = BodyBudget(8_000_000, small_body=LARGEST_WHOLE_BODY, timers=self.timers)
        self.server = CallServer(
            targets=self.targets,
            timers=self.timers,
            pause=self.pause,
            traffic=self.traffic,
            bodies=self.bodies,
            dialect=DIALECT,
        )

    async def open(self, tasks: anyio.abc.TaskGroup, *, slots: int) -> None:
        """Starts the call server and registers the target, if there is one."""
        await self.server.open(IP, 0, tasks)
        if self.target is not None:
            await self.target.open(tasks)
            self.targets.announce(
                Announcement(
                    service="a",
                    name=f"target-{self.name}",
                    address=Address(IP, self.target.port),
                    slots=slots,
                    connections=50,
                    sequence=1,
                )
            )

    def member(self, call_port: int | None = None) -> Member:
        """Returns the membership record of the host, including its target."""
        targets = ()
        if self.target is not None:
            targets = (TargetInfo(service="a", name=f"target-{self.name}", slots=4),)
        port = self.server.port if call_port is None else call_port
        return Member(self.name, 1, 1, int(MemberState.ALIVE), "d", IP, 1, port, 0, targets)


class CallHarness:
    """An entry whose dispatcher sends calls to a set of hosts."""

    def __init__(self, entry: Host, hosts: list[Host], tasks: anyio.abc.TaskGroup) -> None:
        self.entry = entry
        self.tasks = tasks
        self.timers = entry.timers
        self.table = MemberTable(entry.member(), entry.timers)
        self.invariants = Invariants()
        self.budgets = RetryBudgets()
        picker = Picker(table=self.table, timers=entry.timers, seed=random.Random(1))
        self.dispatcher = Dispatcher(
            DispatchContext(
                host=entry.name,
                picker=picker,
                targets=entry.targets,
                pool=call_pool(traffic=entry.traffic, timers=entry.timers, connect_within=0.2),
                timers=entry.timers,
                seed=random.Random(1),
                invariants=self.invariants,
                dialect=DIALECT,
                suspects=entry.targets.suspects,
                budgets=self.budgets,
                tasks=tasks,
            )
        )
        for host in hosts:
            self.add_member(host)

    def add_member(self, host: Host, call_port: int | None = None) -> None:
        """Adds a host to the entry's membership table."""
        self.table.merge(MEMBER_CODEC.encode(host.member(call_port)))

    def call(self, **changes: Any) -> Call:
        """Returns an idempotent call of service `a`, with the given fields changed."""
        call = Call(
            service="a",
            method=b"GET",
            target=b"/x",
            fields=b"host: h\r\nx-request: r1\r\n",
            body=b"",
            is_whole=True,
            length=0,
            priority=0,
            deadline=self.timers.now() + 2.0,
            request_id=b"r1",
            is_idempotent=True,
        )
        return call.with_changes(**changes)


def router(*resources: Resource) -> Router:
    """Returns a router of an accepted configuration that holds the given resources."""
    return Router(configuration(*resources))
