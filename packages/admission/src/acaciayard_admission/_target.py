"""A target on this host: its announcement, its gate and its connections."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

import anyio
from attrs import define, field, frozen

from acaciayard_callmodel import Call, NoticeRecord
from acaciayard_http1 import Limits, ResponseReader
from acaciayard_membership import COUNT, NAME, Suspicion, TargetState, validate_amount
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
from ._target_news import UnrequestedBytes

__all__ = ["DEFAULT_QUEUE", "Announcement", "LocalTarget", "RunningCall", "TargetConnection"]

#: Divisor of the slots of a target that is still starting.
_STARTING_SLOTS_DIVISOR: Final = 3
#: Time for which an idle connection is reused at most.  Targets close idle connections after a
#: timeout of their own, and a call that is sent at that moment is lost.
_IDLE_TIMEOUT_SECONDS: Final = 4.0
#: Time before the end of the timeout that a target states from which its connection is not reused.
_IDLE_MARGIN_SECONDS: Final = 0.5
#: Maximum idle time of a connection that carries a call that must not run twice.  A target that
#: drops idle connections would leave the outcome of such a call unknown.
_MAX_UNSAFE_IDLE_SECONDS: Final = 1.0
#: Time after bytes that answered no request for which such a call gets a connection of its own.
_UNREQUESTED_MEMORY_SECONDS: Final = 30.0
#: Divisor of the slots that gives those which streamed bodies may hold, one at least.
_STREAM_SLOTS_DIVISOR: Final = 2
#: Maximum number of idle connections to a target.
_MAX_IDLE_CONNECTIONS: Final = 32
#: Timeout for checking whether a target that broke off a connection still listens.
_CHECK_TIMEOUT_SECONDS: Final = 0.25
#: Queue length of a target whose service is not configured.
DEFAULT_QUEUE: Final = Service(name="default").queue_length
#: Limits for the responses of targets; generous, since operators run the targets themselves.
_TARGET_LIMITS: Final = Limits(headers=200, head_bytes=128 * 1024)


@frozen
class Announcement:
    """The data that a target announces about itself.

    The validators are those of the records that daemons publish, so that whatever is announced can
    be published.  They raise `ValueError`.
    """

    #: Service that the target provides.
    service: str = field(validator=NAME)
    #: Name of the target, unique on its host.
    name: str = field(validator=NAME)
    #: Address on which it listens.
    address: Address
    #: Maximum number of calls that it runs at once.
    slots: int = field(validator=COUNT)
    #: Maximum number of connections that it accepts.
    connections: int
    #: State of the target.
    state: TargetState = TargetState.READY
    #: Sequence number, which increases with every announcement of a target; 0 if unknown.  Older
    #: announcements that arrive late are ignored.
    sequence: int = field(default=0, validator=COUNT)
    #: Start time in Unix milliseconds by the clock of its host; 0 if unknown.  Sequence numbers and
    #: statistics of one start do not apply to another.
    born: int = field(default=0, validator=COUNT)
    #: Software version; empty if unknown.
    version: str = field(default="", validator=NAME)
    #: Seconds for which it will still be slow after its start; 0 if unknown.
    cold_s: float = field(default=0.0, validator=validate_amount)

    @property
    def start(self) -> Start:
        """The start of the target, which distinguishes it from its other starts."""
        return Start(self.name, self.born)


@define(eq=False)
class TargetConnection:
    """A connection to a target, with the reader of its responses."""

    #: The byte stream of the connection.
    stream: ByteStream
    #: Reads responses from the stream.
    reader: ResponseReader
    #: When the connection was last returned to the pool, 0 if it is used for the first time.
    idle_since: float = 0.0
    #: Seconds for which it is reused then.
    idle_timeout: float = _IDLE_TIMEOUT_SECONDS

    def note_stated_timeout(self, seconds: float) -> None:
        """Record after how many idle seconds the target states to close the connection."""
        self.idle_timeout = min(_IDLE_TIMEOUT_SECONDS, max(0.0, seconds - _IDLE_MARGIN_SECONDS))


@define(eq=False)
class RunningCall:
    """A call that was sent to a target and has not ended."""

    #: The call.
    call: Call
    #: Suspicion against the call when it was sent, or `None`.
    suspicion: Suspicion | None = None
    #: When it was sent, by the timer service.
    sent_at: float = 0.0


@define(eq=False)
class _ListenCheck:
    """A check whether the target still listens, shared by all calls whose connections broke off."""

    done: anyio.Event = field(factory=anyio.Event)
    has_ended: bool = False


class LocalTarget:
    """A target with its gate and its connection pool."""

    def __init__(
        self,
        announcement: Announcement,
        *,
        timers: TimerService,
        traffic: Traffic,
        policy: GatePolicy,
        on_unrequested: Callable[[LocalTarget, UnrequestedBytes], None] = lambda _target, _at: None,
    ) -> None:
        self._on_unrequested = on_unrequested
        self._announcement = announcement
        self._cold_s = announcement.cold_s
        self._traffic = traffic
        self._timers = timers
        self._gate = Gate(
            slots=announcement.slots, queue_length=DEFAULT_QUEUE, timers=timers, policy=policy
        )
        self._idle: list[TargetConnection] = []
        self._in_use: set[TargetConnection] = set()
        self._at_work: set[RunningCall] = set()
        self._listen_check: _ListenCheck | None = None
        self._is_ended = False
        self._blamed: frozenset[RunningCall] = frozenset()
        self._is_withdrawn = False
        self._streams = 0
        self._unrequested_at = -math.inf
        self._notices = NoticeRecord()
        self.lease_until = 0.0

    @property
    def announcement(self) -> Announcement:
        """The latest announcement of the target."""
        return self._announcement

    @property
    def cold_s(self) -> float:
        """Seconds for which the target was going to be slow, as of its first announcement.

        The value stays the same during the warm-up, so that it is published only once.
        """
        return self._cold_s

    @property
    def gate(self) -> Gate:
        """The gate with the slots and the queue of the target."""
        return self._gate

    @property
    def notices(self) -> NoticeRecord:
        """What the target has stated about itself in its responses."""
        return self._notices

    @property
    def at_work(self) -> tuple[RunningCall, ...]:
        """Calls that were sent to the target and have not ended."""
        return tuple(self._at_work)

    @property
    def has_trial(self) -> bool:
        """Whether the target runs a suspect."""
        return any(each.suspicion is not None for each in self._at_work)

    @property
    def is_withdrawn(self) -> bool:
        """Whether the target is gone from this host, so that no call is sent to it."""
        return self._is_withdrawn

    @property
    def blamed(self) -> frozenset[RunningCall]:
        """The calls that may have caused the end of the target; empty while it lives.

        These are all calls that were running, even if one of them was a suspect: if only the
        suspect is blamed, three fatal requests at the same time end up to seven targets each
        instead of four (simulated mesh).
        """
        return self._blamed

    def note_ended(self) -> bool:
        """Record that the process has ended; return false if that was known already."""
        if self._is_ended:
            return False
        self._is_ended = True
        self._blamed = frozenset(self._at_work)
        return True

    def begin(self, call: Call, suspicion: Suspicion | None) -> RunningCall:
        """Record that a call is sent to the target; `finish` must follow."""
        running = RunningCall(call, suspicion, sent_at=self._timers.now())
        self._at_work.add(running)
        return running

    def finish(self, running: RunningCall) -> None:
        """Record that a call has ended or that its connection was closed."""
        self._at_work.discard(running)

    def enter_stream(self) -> bool:
        """Take a place for a call whose body is streamed; return whether there is one.

        Such a call holds its slot while its body arrives; together they leave slots for calls
        whose bodies are complete.  `leave_stream` must follow.
        """
        if self._streams >= max(1, self._gate.slots // _STREAM_SLOTS_DIVISOR):
            return False
        self._streams += 1
        return True

    def leave_stream(self) -> None:
        """Give back the place of a call whose body is streamed."""
        self._streams -= 1

    async def has_ended(self) -> bool:
        """Return whether nothing listens at the address of the target any more.

        This is checked when the target has broken off a connection.  A process that has ended
        breaks off all its connections; a target that truncates one response still listens.
        """
        check = self._listen_check
        if check is None:
            check = self._listen_check = _ListenCheck()
            try:
                check.has_ended = await self._has_no_listener()
            finally:
                self._listen_check = None
                check.done.set()
        else:
            await check.done.wait()
        return check.has_ended

    async def _has_no_listener(self) -> bool:
        with self._timers.timeout(_CHECK_TIMEOUT_SECONDS):
            try:
                self.discard(await self.new_connection())
            except StreamRefusedError:
                return True
            except StreamLostError:
                return False  # inconclusive: this daemon may have run out of sockets
        return False

    def renew(self, announcement: Announcement, queue_length: int) -> None:
        """Apply a newer announcement."""
        if announcement.address != self._announcement.address:
            self.drop_idle()
        self._announcement = announcement
        self.set_queue_length(queue_length)

    def set_queue_length(self, queue_length: int) -> None:
        """Change the queue length, and the slots by the state of the target."""
        slots = self._announcement.slots
        if self._announcement.state is TargetState.STARTING:
            slots = max(1, slots // _STARTING_SLOTS_DIVISOR)
        self._gate.resize(slots=slots, queue_length=queue_length)

    def note_unrequested(self) -> None:
        """Record that the target has sent bytes that answer no request."""
        self._unrequested_at = self._timers.now()

    def idle_connection(self, *, is_idempotent: bool) -> TargetConnection | None:
        """Return an idle connection for a call, or `None` if there is none.

        A target that has sent bytes which answer no request may send others late, on connections
        that are clean so far.  They would leave the outcome of a call unknown, so that one which
        must not run twice gets no connection of those.
        """
        now = self._timers.now()
        max_idle_seconds = math.inf if is_idempotent else _MAX_UNSAFE_IDLE_SECONDS
        if not is_idempotent and now - self._unrequested_at < _UNREQUESTED_MEMORY_SECONDS:
            return None
        while self._idle:
            idle = self._idle.pop()
            idle_seconds = now - idle.idle_since
            if self.is_spoilt(idle) or idle_seconds > idle.idle_timeout:
                idle.stream.abort()
                continue
            if idle_seconds <= max_idle_seconds:
                self._in_use.add(idle)
                return idle
            self._idle.append(idle)
            return None
        return None

    def is_spoilt(self, connection: TargetConnection) -> bool:
        """Return whether a connection must not carry a request, since it was closed or holds bytes.

        Those bytes answer no request, and the answer to the next one would follow them.
        """
        holds_bytes = connection.stream.has_unread or connection.reader.has_pending
        if holds_bytes:
            self._on_unrequested(self, UnrequestedBytes.BEFORE_REQUEST)
        return holds_bytes or connection.stream.is_lost

    async def new_connection(self) -> TargetConnection:
        """Open a connection; raises `StreamLostError` if the target is unreachable."""
        address = self._announcement.address
        stream = await connect(
            address.ip, address.port, traffic=self._traffic, purpose=Purpose.CALLS
        )
        connection = TargetConnection(stream, ResponseReader(stream, _TARGET_LIMITS))
        self._in_use.add(connection)
        return connection

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection without reusing it."""
        self._in_use.discard(connection)
        connection.stream.abort()

    def give_back(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after a complete response.

        If bytes follow the response, which belong to no request, the connection is closed.
        """
        self._in_use.discard(connection)
        limit = (
            0 if self._is_withdrawn else min(_MAX_IDLE_CONNECTIONS, self._announcement.connections)
        )
        stream = connection.stream
        has_extra_bytes = connection.reader.has_pending or stream.has_unread
        if has_extra_bytes:
            self._on_unrequested(self, UnrequestedBytes.BEHIND_RESPONSE)
        if stream.is_lost or has_extra_bytes or len(self._idle) >= limit:
            stream.close()
        else:
            connection.idle_since = self._timers.now()
            self._idle.append(connection)

    def drop_unproved(self, since: float) -> None:
        """Close the idle connections that have carried no response after `since`.

        What silenced one connection, without a reset, may have silenced all that stood.
        """
        for idle in self._idle:
            if idle.idle_since <= since:
                idle.stream.abort()
        self._idle = [idle for idle in self._idle if idle.idle_since > since]

    def drop_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().stream.close()

    def end(self, reason: str) -> None:
        """Stop sending calls, because the target is gone from this host.

        Running calls continue until their connections end, since a target that has merely stopped
        announcing itself may still answer them.
        """
        self._is_withdrawn = True
        self._gate.close(reason)
        self.drop_idle()

    def cut(self, reason: str) -> None:
        """End this start at once, because the target has restarted.

        The old process is gone, so the outcome of its running calls is unknown, and their
        connections are closed: otherwise the calls would wait until their deadlines if those
        connections stay silent.  Responses that have begun to arrive are still delivered.
        """
        self.end(reason)
        for connection in list(self._in_use):
            if not (connection.stream.has_unread or connection.reader.has_pending):
                self.discard(connection)
