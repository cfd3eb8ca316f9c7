"""One target on this host: what it says of itself, its gate and its connections."""

from __future__ import annotations

import math
from typing import Final

from attrs import define, frozen

from acaciayard_http1 import Limits, ResponseReader
from acaciayard_membership import TargetState
from acaciayard_resources import Service
from acaciayard_timers import TimerService
from acaciayard_wire import Address, ByteStream, Purpose, Traffic, connect

from ._admission import Gate, GatePolicy
from ._starts import Start

__all__ = ["DEFAULT_QUEUE", "Announcement", "LocalTarget", "TargetConnection"]

#: Slots of a target that has just started, as a divisor.
_STARTING_DIVISOR: Final = 3
#: Seconds for which an idle connection to a target is used again; targets close idle connections
#: after some time of their own, and a call sent at that moment is lost.
_IDLE_FOR: Final = 4.0
#: Idle connections kept to a target.
_IDLE_CONNECTIONS: Final = 32
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
        self._traffic = traffic
        self._timers = timers
        self._gate = Gate(
            slots=announcement.slots, queue_length=DEFAULT_QUEUE, timers=timers, policy=policy
        )
        self._idle: list[TargetConnection] = []
        self._in_use: set[TargetConnection] = set()
        self._is_over = False
        self.lease_until = 0.0

    @property
    def announcement(self) -> Announcement:
        """What the target said of itself last."""
        return self._announcement

    @property
    def gate(self) -> Gate:
        """Its slots and queue."""
        return self._gate

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
