"""Pool of idle streams to other daemons."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

from acaciayard_timers import TimerService
from acaciayard_wire import Address, MessageStream, Purpose, StreamLostError, Traffic, connect

from ._messages import CALL_CODEC

__all__ = ["StreamPool", "call_pool"]

#: Largest number of idle streams per daemon.
_MAX_IDLE_PER_HOST: Final = 8
#: Seconds after which an idle stream is closed.
_IDLE_TIMEOUT_SECONDS: Final = 30.0
#: Timeout for opening a stream to another daemon.
_CONNECT_TIMEOUT_SECONDS: Final = 1.0


class StreamPool:
    """Reuses streams; each is used for one exchange at a time."""

    def __init__(
        self,
        opener: Callable[[Address], Awaitable[MessageStream]],
        *,
        timers: TimerService,
        connect_within: float = _CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        self._connect_within = connect_within
        self._opener = opener
        self._timers = timers
        self._idle: dict[Address, list[tuple[float, MessageStream]]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Number of attempts to open a stream, successful or not."""
        return self._opened

    def take_idle(self, address: Address) -> MessageStream | None:
        """Take an idle stream from the pool, `None` if there is none."""
        idle = self._idle.get(address, [])
        while idle:
            _, stream = idle.pop()
            if not (stream.channel.is_lost or stream.has_unread):
                return stream
            stream.channel.abort()
        return None

    async def take(self, address: Address) -> MessageStream:
        """Take an idle stream or open a new one; raises `StreamLostError`."""
        return self.take_idle(address) or await self.open(address)

    async def open(self, address: Address) -> MessageStream:
        """Open a new stream; raises `StreamLostError`."""
        self._opened += 1
        with self._timers.reply_timeout(self._connect_within):
            return await self._opener(address)
        raise StreamLostError(f"{address} did not answer in {self._connect_within:g} s")

    def give_back(self, address: Address, stream: MessageStream) -> None:
        """Return a stream to the pool after its exchange has ended.

        A stream that holds further bytes is closed: the next exchange would take them for its own.
        """
        idle = self._idle.setdefault(address, [])
        if stream.channel.is_lost or stream.has_unread or len(idle) >= _MAX_IDLE_PER_HOST:
            stream.close()
        else:
            idle.append((self._timers.now(), stream))

    def drop_unproved(self, address: Address, since: float) -> None:
        """Close the idle streams to a daemon that have carried nothing after `since`.

        What silenced one stream, without a reset, may have silenced all that stood.
        """
        idle = self._idle.get(address, [])
        for at, stream in idle:
            if at <= since:
                stream.channel.abort()
        self._idle[address] = [each for each in idle if each[0] > since]

    async def run(self) -> None:
        """Close streams that exceed the idle timeout; runs until cancelled."""
        async for _ in self._timers.ticks(_IDLE_TIMEOUT_SECONDS / 3):
            self._close_idle(self._timers.now() - _IDLE_TIMEOUT_SECONDS)

    def _close_idle(self, cutoff: float) -> None:
        for address in list(self._idle):
            kept = []
            for since, stream in self._idle[address]:
                if since < cutoff or stream.channel.is_lost:
                    stream.close()
                else:
                    kept.append((since, stream))
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]


def call_pool(
    *, traffic: Traffic, timers: TimerService, connect_within: float = _CONNECT_TIMEOUT_SECONDS
) -> StreamPool:
    """Return a pool of streams for calls; `connect_within` is in seconds."""

    async def open_stream(address: Address) -> MessageStream:
        stream = await connect(address.ip, address.port, traffic=traffic, purpose=Purpose.CALLS)
        return MessageStream(stream, CALL_CODEC)

    return StreamPool(open_stream, timers=timers, connect_within=connect_within)
