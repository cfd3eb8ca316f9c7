"""Bounds the bytes that the connections of a listener hold together."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

from attrs import define, frozen

from acaciayard_timers import TimerService

__all__ = ["REPORTED_BYTES", "ConnectionBuffers", "ConnectionReset"]

#: Bytes up to which a connection does not report what it holds.
REPORTED_BYTES: Final = 8 * 1024
#: Most bytes that one read takes from the kernel.
_READ_BYTES: Final = 64 * 1024
#: Seconds after which a connection is reset whose other end takes none of the bytes written.
_STALLED_WRITE_S: Final = 20.0
#: Share of the bound down to which connections are reset, so that not every read resets one.
_REDUCED_SHARE: Final = 0.9


class BufferedConnection(Protocol):
    """A connection that reports what it holds."""

    @property
    def held(self) -> int:
        """Bytes that were received and not read, or written and not sent."""

    @property
    def undelivered(self) -> int:
        """Bytes that were written and not taken by the other end, as far as is known."""

    @property
    def is_closing(self) -> bool:
        """Whether it closes once the bytes written have been sent."""

    @property
    def peer(self) -> str:
        """Address of the other end, for logs."""

    def reset(self) -> None:
        """Close at once and release all buffers."""


@frozen
class ConnectionReset:
    """A connection that was reset for what it held."""

    #: Address of the other end.
    peer: str
    #: Why it was reset, in one word.
    reason: str
    #: Bytes that it held.
    held: int
    #: Seconds for which it had made no progress.
    seconds: float


@define
class _Holding:
    """What one connection holds."""

    held: int
    #: When it last made progress, on the clock of the timer service.
    since: float
    #: Bytes that the other end had not taken when they were last counted.
    undelivered: int = 0
    #: When these had last been none, or fewer than before.
    taken: float = 0.0


class ConnectionBuffers:
    """The buffers of all connections of a listener.

    A connection reports only while it holds more than `REPORTED_BYTES`.  When all hold more than
    `max_bytes`, those are reset that have held most for longest without progress.

    Example:
        buffers = ConnectionBuffers(64 * 1024 * 1024, timers=timers, on_reset=log_reset)
        await listen(address, port, buffers=buffers, ...)
    """

    def __init__(
        self,
        max_bytes: int,
        *,
        timers: TimerService,
        on_reset: Callable[[ConnectionReset], None],
    ) -> None:
        self._max_bytes = max_bytes
        self._timers = timers
        self._on_reset = on_reset
        self._holdings: dict[BufferedConnection, _Holding] = {}
        self._held = 0
        #: Where the kernel puts the bytes of a read; they are copied before the next one.
        self.read_buffer: Final = memoryview(bytearray(_READ_BYTES))

    @property
    def held(self) -> int:
        """Bytes held by the connections that report."""
        return self._held

    def update(self, connection: BufferedConnection, *, has_progressed: bool) -> None:
        """Note what a connection holds, and whether its bytes were read or sent."""
        held = connection.held
        holding = self._holdings.get(connection)
        if not held or (held <= REPORTED_BYTES and not connection.is_closing):
            if holding is not None:
                self.forget(connection)
            return
        if holding is None:
            now = self._timers.now()
            holding = self._holdings[connection] = _Holding(0, now, taken=now)
        elif has_progressed:
            holding.since = self._timers.now()
        self._held += held - holding.held
        holding.held = held
        if self._held > self._max_bytes:
            self._reduce()

    def forget(self, connection: BufferedConnection) -> None:
        """Drop a connection that holds little or is closed; does nothing if it is not known."""
        holding = self._holdings.pop(connection, None)
        if holding is not None:
            self._held -= holding.held

    def reset_stalled(self) -> None:
        """Reset the connections that have taken nothing for long; called periodically."""
        self._recount()
        latest = self._timers.now() - _STALLED_WRITE_S
        for connection, holding in tuple(self._holdings.items()):
            if max(holding.since, holding.taken) <= latest:
                self._reset(connection, "unread_answer")

    def _reduce(self) -> None:
        """Reset connections until the others hold less than the bound."""
        self._recount()
        if self._held <= self._max_bytes:
            return
        now = self._timers.now()

        def cost(connection: BufferedConnection) -> tuple[float, int]:
            holding = self._holdings[connection]
            return holding.held * (now - holding.since), holding.held

        for connection in sorted(self._holdings, key=cost, reverse=True):
            if self._held <= self._max_bytes * _REDUCED_SHARE:
                return
            self._reset(connection, "memory")

    def _recount(self) -> None:
        """Measure what the connections hold, since the kernel takes bytes without a report."""
        for connection, holding in self._holdings.items():
            held = connection.held
            undelivered = connection.undelivered
            if held < holding.held:
                holding.since = self._timers.now()
            if not undelivered or undelivered < holding.undelivered:
                holding.taken = self._timers.now()
            holding.held = held
            holding.undelivered = undelivered
        self._held = sum(holding.held for holding in self._holdings.values())

    def _reset(self, connection: BufferedConnection, reason: str) -> None:
        holding = self._holdings[connection]
        seconds = self._timers.now() - holding.since
        news = ConnectionReset(connection.peer, reason, holding.held, round(seconds, 3))
        self.forget(connection)
        connection.reset()
        self._on_reset(news)
