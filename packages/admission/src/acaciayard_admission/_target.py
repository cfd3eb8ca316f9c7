"""One target on this host: what it says of itself, its gate and its connections."""

from __future__ import annotations

import math
from typing import Final

import anyio
from attrs import define, field, frozen

from acaciayard_callmodel import Call
from acaciayard_http1 import Limits, ResponseReader
from acaciayard_membership import Suspicion, TargetState
from acaciayard_resources import Service
from acaciayard_timers import TimerService
from acaciayard_wire import (
    Address,
    ByteStream,
    Purpose,
    StreamLostError,
    StreamRefusedError,
    Traffic,
    connect,
)

from ._gate import Gate
from ._line_shares import GatePolicy
from ._starts import Start

__all__ = ["DEFAULT_QUEUE", "Announcement", "CallAtWork", "LocalTarget", "TargetConnection"]

#: Slots of a target that has just started, as a divisor.
_STARTING_DIVISOR: Final = 3
#: Seconds for which an idle connection to a target is used again; targets close idle connections
#: after some time of their own, and a call sent at that moment is lost.
_IDLE_FOR: Final = 4.0
#: Idle connections kept to a target.
_IDLE_CONNECTIONS: Final = 32
#: Seconds for finding out whether a target that broke a connection off still listens.
_LOOK_WITHIN: Final = 0.25
#: Calls that may wait where no configuration says how many.
DEFAULT_QUEUE: Final = Service(name="default").queue_length
#: Limits for what targets answer; generous, since targets are the operators' own.
_TARGET_LIMITS: Final = Limits(headers=200, head_bytes=128 * 1024)


@frozen
class Announcement:
    """What a target says of itself."""

    #: Service that it answers for.
    service: str
    #: Identity, unique on its host.
    name: str
    #: Where it listens.
    address: Address
    #: Calls that it runs at once.
    slots: int
    #: Connections that it takes.
    connections: int
    #: What it is ready for.
    state: TargetState = TargetState.READY
    #: Grows with every announcement of a target, 0 where it is not told; older ones that arrive
    #: late are passed over.
    sequence: int = 0
    #: When it started, in Unix milliseconds by the clock of its host; 0 where it does not tell.
    #: Counts and knowledge of one start say nothing of another.
    born: int = 0
    #: Version of its software; empty where it does not tell.
    version: str = ""
    #: Seconds for which it is still slow after its start, 0 where it does not tell.
    cold_s: float = 0.0

    @property
    def start(self) -> Start:
        """What tells this start of the target from every other."""
        return Start(self.name, self.born)


@define(eq=False)
class TargetConnection:
    """A connection to a target, with the reader of its answers."""

    #: The connection.
    stream: ByteStream
    #: Reads answers from it.
    reader: ResponseReader
    #: When it was last given back.
    idle_since: float = 0.0


@define(eq=False)
class CallAtWork:
    """A call that the target has begun to run."""

    #: The call.
    call: Call
    #: What was held against it when it was sent; `None` for nothing.
    suspicion: Suspicion | None = None


@define(eq=False)
class _Look:
    """A look whether the target still listens, which all calls that it broke off wait for."""

    done: anyio.Event = field(factory=anyio.Event)
    has_ended: bool = False


class LocalTarget:
    """One target with its gate and its connections."""

    def __init__(
        self,
        announcement: Announcement,
        *,
        timers: TimerService,
        traffic: Traffic,
        policy: GatePolicy,
    ) -> None:
        self._announcement = announcement
        self._cold_s = announcement.cold_s
        self._traffic = traffic
        self._timers = timers
        self._gate = Gate(
            slots=announcement.slots, queue_length=DEFAULT_QUEUE, timers=timers, policy=policy
        )
        self._idle: list[TargetConnection] = []
        self._in_use: set[TargetConnection] = set()
        self._at_work: set[CallAtWork] = set()
        self._look: _Look | None = None
        self._is_ended = False
        self._blamed: frozenset[CallAtWork] = frozenset()
        self._is_over = False
        self.lease_until = 0.0

    @property
    def announcement(self) -> Announcement:
        """What the target said of itself last."""
        return self._announcement

    @property
    def cold_s(self) -> float:
        """Seconds for which it was still to be slow when it was first heard of.

        It stays as it is while the target warms up, so that others need be told once.
        """
        return self._cold_s

    @property
    def gate(self) -> Gate:
        """Its slots and queue."""
        return self._gate

    @property
    def at_work(self) -> tuple[CallAtWork, ...]:
        """Calls that were sent to it and have not ended."""
        return tuple(self._at_work)

    @property
    def has_trial(self) -> bool:
        """Whether it runs a call that is under suspicion."""
        return any(each.suspicion is not None for each in self._at_work)

    @property
    def blamed(self) -> frozenset[CallAtWork]:
        """The calls of which one may have ended it; none while it lives.

        All that were at work, also beside a suspect: with the suspect alone blamed, three fatal
        requests at once ended up to seven targets each in place of four (modelled mesh).
        """
        return self._blamed

    def note_ended(self) -> bool:
        """Its process has ended; false where that is known already."""
        if self._is_ended:
            return False
        self._is_ended = True
        self._blamed = frozenset(self._at_work)
        return True

    def begin(self, call: Call, suspicion: Suspicion | None) -> CallAtWork:
        """A call is sent to it; `finish` must follow."""
        begun = CallAtWork(call, suspicion)
        self._at_work.add(begun)
        return begun

    def finish(self, begun: CallAtWork) -> None:
        """The call has ended, or its connection is given up."""
        self._at_work.discard(begun)

    async def has_ended(self) -> bool:
        """Whether nobody listens at its address any more.

        Asked when it has broken off a connection: a target whose process has ended breaks off all
        of them, one that cuts an answer short goes on listening.
        """
        look = self._look
        if look is None:
            look = self._look = _Look()
            try:
                look.has_ended = await self._is_nobody_there()
            finally:
                self._look = None
                look.done.set()
        else:
            await look.done.wait()
        return look.has_ended

    async def _is_nobody_there(self) -> bool:
        with self._timers.timeout(_LOOK_WITHIN):
            try:
                self.discard(await self.new_connection())
            except StreamRefusedError:
                return True
            except StreamLostError:
                return False  # no sign that the target is gone: this daemon may be short of sockets
        return False

    def renew(self, announcement: Announcement, queue_length: int) -> None:
        """Take a newer announcement."""
        if announcement.address != self._announcement.address:
            self.drop_idle()
        self._announcement = announcement
        self.set_queue_length(queue_length)

    def set_queue_length(self, queue_length: int) -> None:
        """Change how many calls may wait."""
        slots = self._announcement.slots
        if self._announcement.state is TargetState.STARTING:
            slots = max(1, slots // _STARTING_DIVISOR)
        self._gate.resize(slots=slots, queue_length=queue_length)

    def idle_connection(self, youngest: float = math.inf) -> TargetConnection | None:
        """A connection that is not in use, `None` when there is none.

        `youngest` bounds for how many seconds it may have been idle.
        """
        now = self._timers.now()
        while self._idle:
            idle = self._idle.pop()
            seconds = now - idle.idle_since
            if idle.stream.is_lost or idle.stream.has_unread or seconds > _IDLE_FOR:
                idle.stream.abort()
                continue
            if seconds <= youngest:
                self._in_use.add(idle)
                return idle
            self._idle.append(idle)
            return None
        return None

    async def new_connection(self) -> TargetConnection:
        """A new connection; raises `StreamLostError` when the target is not there."""
        address = self._announcement.address
        stream = await connect(
            address.ip, address.port, traffic=self._traffic, purpose=Purpose.CALLS
        )
        connection = TargetConnection(stream, ResponseReader(stream, _TARGET_LIMITS))
        self._in_use.add(connection)
        return connection

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection that is not to be used again."""
        self._in_use.discard(connection)
        connection.stream.abort()

    def give_back(self, connection: TargetConnection) -> None:
        """Keep a connection whose last answer is whole.

        Bytes beyond that answer belong to no request, so they end the connection.
        """
        self._in_use.discard(connection)
        most = 0 if self._is_over else min(_IDLE_CONNECTIONS, self._announcement.connections)
        stream = connection.stream
        has_more = connection.reader.has_pending or stream.has_unread
        if stream.is_lost or has_more or len(self._idle) >= most:
            stream.close()
        else:
            connection.idle_since = self._timers.now()
            self._idle.append(connection)

    def drop_idle(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().stream.close()

    def end(self, reason: str) -> None:
        """Take nothing more: the target is gone from this host.

        Calls at work there run on until their connections end, since a target that only no longer
        announces itself may still answer them.
        """
        self._is_over = True
        self._gate.close(reason)
        self.drop_idle()

    def cut(self, reason: str) -> None:
        """End this start at once, because a newer one of the same target has come.

        Its process is gone, so calls at work there will not be answered and their outcome is
        unknown; what has come of an answer is still delivered.  Without this they would wait for
        their deadline where the connections of the old process stay silent.
        """
        self.end(reason)
        for connection in list(self._in_use):
            if not (connection.stream.has_unread or connection.reader.has_pending):
                self.discard(connection)
