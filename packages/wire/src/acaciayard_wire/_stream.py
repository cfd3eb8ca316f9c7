"""A byte stream over a socket, with as few wake-ups as the event loop allows.

The streams of `anyio` yield to the event loop on every send and receive, which costs a call two
extra iterations of the loop per hop.  `ByteStream` waits only when there is nothing to read or the
write buffer is full.  It is used from ordinary tasks and supports `anyio` cancel scopes.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios
from collections import deque
from collections.abc import Callable
from typing import Final, cast

from ._connection_buffers import REPORTED_BYTES, ConnectionBuffers
from ._stream_end import StreamEnd, end_by_loss, reported_end
from ._traffic import Purpose, Traffic

__all__ = ["ByteStream", "Listener", "StreamLostError", "connect", "listen"]

#: Number of connections that the kernel accepts ahead of the process.
_BACKLOG: Final = 512
#: Unread bytes above which reading from the socket is paused.
_READ_HIGH_WATER: Final = 256 * 1024
#: Unwritten bytes above which `send` waits.
_WRITE_HIGH_WATER: Final = 256 * 1024
#: The same for connections whose buffers are bounded together.
_BOUNDED_READ_HIGH_WATER: Final = 64 * 1024
_BOUNDED_WRITE_HIGH_WATER: Final = 16 * 1024
#: Values of `SO_LINGER` with which a socket is reset when it is closed, and with which it ends in
#: order.
_LINGER_RESET: Final = struct.pack("ii", 1, 0)
_LINGER_NONE: Final = struct.pack("ii", 0, 0)


class StreamLostError(Exception):
    """The connection is closed or broken, perhaps in the middle of a message."""


class StreamRefusedError(StreamLostError):
    """The host refused the connection, as no process listens on the port."""


class ByteStream(asyncio.BaseProtocol):
    """One connection; at most one task reads and one task writes at a time."""

    #: Unread bytes above which reading from the socket is paused.
    _read_high_water = _READ_HIGH_WATER
    #: Unread bytes above which `_note_unread` is called.
    _noted_unread = _READ_HIGH_WATER
    #: Unwritten bytes above which `send` waits.
    _write_high_water = _WRITE_HIGH_WATER

    def __init__(
        self,
        *,
        traffic: Traffic,
        purpose: Purpose,
        on_open: Callable[[ByteStream], None] | None = None,
    ) -> None:
        self._traffic = traffic
        self.assign(purpose)
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._peer_ip = ""
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._read_paused = False
        self._ended = False
        self._lost = False
        self._end: StreamEnd | None = None
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._write_paused = False
        self._on_lost: Callable[[], None] | None = None
        self._on_unread: Callable[[], None] | None = None
        self._on_data: Callable[[bytes], bool] | None = None

    # --- called by the event loop -------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=self._write_high_water)
        peername = transport.get_extra_info("peername")
        self._peer_ip = str(peername[0]) if peername else ""
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        if self._calls is not None:
            self._calls.received += len(data)
        else:
            self._traffic.received(self._purpose, len(data), self._peer_ip)
        if self._on_data is not None and self._on_data(data):
            return
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > self._noted_unread:
            self._note_unread()
        reader = self._reader
        if reader is None:
            if self._on_unread is not None:
                self._on_unread()
        elif not reader.done():
            reader.set_result(None)

    def _note_unread(self) -> None:
        """Handle that many bytes are unread."""
        if self._buffered > self._read_high_water and self._transport is not None:
            self._transport.pause_reading()
            self._read_paused = True

    def _note_read(self) -> None:
        """Handle that many bytes were unread and some of them have been read."""
        if not self._read_paused or self._buffered > self._read_high_water:
            return
        self._read_paused = False
        if self._transport is not None and not self._lost:
            self._transport.resume_reading()

    def eof_received(self) -> bool:
        self._ended = True
        self._end = self._end or reported_end(self._transport)
        self._wake(self._reader)
        if self._on_lost is not None:
            self._on_lost()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._end = self._end or end_by_loss(exc)
        self._ended = True
        self._lost = True
        self._wake(self._reader)
        self._wake(self._writer)
        if self._on_lost is not None:
            self._on_lost()

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        self._wake(self._writer)

    @staticmethod
    def _wake(waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    # --- used by tasks ------------------------------------------------------------------------

    @property
    def is_lost(self) -> bool:
        """Whether the other end has closed the connection or it broke."""
        return self._lost or self._ended

    @property
    def end(self) -> StreamEnd | None:
        """How the data of the connection ended, `None` before."""
        return self._end

    @property
    def has_unread(self) -> bool:
        """Whether received bytes are buffered."""
        return bool(self._chunks)

    @property
    def peer(self) -> str:
        """Address of the other end as `ip:port`, for logs."""
        peername = self._transport.get_extra_info("peername") if self._transport else None
        return f"{peername[0]}:{peername[1]}" if peername else "unknown"

    def assign(self, purpose: Purpose) -> None:
        """Count the bytes from now on for `purpose`."""
        self._purpose = purpose
        #: Counter that streams of calls update directly; `None` for other purposes.
        self._calls = self._traffic.counter(purpose) if purpose is Purpose.CALLS else None

    def watch_lost(
        self, callback: Callable[[], None] | None, *, on_unread: Callable[[], None] | None = None
    ) -> None:
        """Call `callback` when the connection is lost, at once if it is; `None` unregisters it.

        Until then `on_unread` is called when bytes arrive while no task waits for them.
        """
        self._on_lost = callback
        self._on_unread = on_unread
        if callback is not None and self.is_lost:
            callback()

    def watch_data(self, callback: Callable[[bytes], bool] | None) -> None:
        """Call `callback` with each chunk that arrives; `None` unregisters it.

        If it returns true, the chunk is consumed and the receiving task is not woken.
        """
        self._on_data = callback

    async def receive(self, limit: int = sys.maxsize) -> bytes:
        """All buffered bytes up to a limit, waiting for at least one.

        Empty if the other end has closed.
        """
        while not self._chunks:
            if self._ended:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        return self._pop_chunks(limit)

    def _pop_chunks(self, limit: int) -> bytes:
        count = self._buffered
        if count > limit:
            data = self._pop_some(limit)
        else:
            data = self._chunks.popleft() if len(self._chunks) == 1 else b"".join(self._chunks)
            self._chunks.clear()
        self._buffered -= len(data)
        if count > self._noted_unread:
            self._note_read()
        return data

    def _pop_some(self, limit: int) -> bytes:
        """Take bytes of the first chunk alone."""
        data = self._chunks.popleft()
        if len(data) > limit:
            self._chunks.appendleft(data[limit:])
            data = data[:limit]
        return data

    def hold(self, count: int) -> None:
        """Note that `count` bytes of messages are held for the connection outside of its buffers.

        They are counted only if its buffers are bounded.
        """

    def send_nowait(self, data: bytes) -> None:
        """Write `data` without waiting; raises `StreamLostError`."""
        if self._lost or self._transport is None or self._transport.is_closing():
            raise StreamLostError(f"connection to {self.peer} is closed")
        if self._calls is not None:
            self._calls.sent += len(data)
        else:
            self._traffic.sent(self._purpose, len(data), self._peer_ip)
        self._transport.write(data)

    @staticmethod
    async def yield_turn() -> None:
        """Let other tasks run; for one that has much to do without waiting."""
        await asyncio.sleep(0)

    async def send(self, data: bytes) -> None:
        """Write `data` and wait while the write buffer is full; raises `StreamLostError`."""
        self.send_nowait(data)
        while self._write_paused:
            if self._lost:
                raise StreamLostError(f"connection to {self.peer} broke")
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None

    def guard_end(self) -> None:
        """Have the kernel reset the connection if the process ends before `close_in_order`.

        Otherwise the other end could take a part for the whole where the end of the connection is
        the end of the data.
        """
        self._set_linger(_LINGER_RESET)

    async def close_in_order(self) -> None:
        """Close once the kernel has taken all data sent; raises `StreamLostError`."""
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high=0)
        await self.send(b"")
        self._set_linger(_LINGER_NONE)
        self.close()

    def _set_linger(self, value: bytes) -> None:
        own = self._transport.get_extra_info("socket") if self._transport is not None else None
        if own is not None:
            with contextlib.suppress(OSError):  # the socket is closed already
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    def close(self) -> None:
        """Close after the data sent has been written; does nothing if already closed."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once and discard unwritten data.

        The other end sees the end of the stream, perhaps in the middle of a message.
        """
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Close at once with a reset, so that the other end cannot take the stream for complete."""
        if self._transport is None or self._lost:
            return
        self._set_linger(_LINGER_RESET)
        self._transport.abort()


class BoundedByteStream(ByteStream, asyncio.BufferedProtocol):
    """A connection whose buffers are bounded together with those of others."""

    _read_high_water = _BOUNDED_READ_HIGH_WATER
    _noted_unread = REPORTED_BYTES
    _write_high_water = _BOUNDED_WRITE_HIGH_WATER

    def __init__(
        self,
        *,
        traffic: Traffic,
        purpose: Purpose,
        on_open: Callable[[ByteStream], None],
        buffers: ConnectionBuffers,
    ) -> None:
        super().__init__(traffic=traffic, purpose=purpose, on_open=on_open)
        self._buffers = buffers
        self._held_outside = 0
        self._is_released = False

    @property
    def held(self) -> int:
        """Bytes that were received and not read, written and not sent, or held outside."""
        if self._lost or self._is_released:
            return 0
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return self._buffered + unsent + self._held_outside

    @property
    def undelivered(self) -> int:
        """Bytes that were written and not acknowledged by the other end, as far as is known."""
        if self._transport is None or self._lost:
            return 0
        unsent = self._transport.get_write_buffer_size()
        try:
            own = self._transport.get_extra_info("socket")
            queued = fcntl.ioctl(own.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        except OSError:  # the host does not tell what its kernel holds
            return unsent
        return unsent + int.from_bytes(queued, sys.byteorder)

    @property
    def is_closing(self) -> bool:
        """Whether it closes once the bytes written have been sent."""
        return self._transport is not None and self._transport.is_closing()

    def close(self) -> None:
        super().close()
        self._buffers.update(self, has_progressed=False)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the event loop stores the bytes of the next read."""
        return self._buffers.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes of a read."""
        self.data_received(bytes(self._buffers.read_buffer[:nbytes]))

    def _note_unread(self) -> None:
        super()._note_unread()
        self._buffers.update(self, has_progressed=False)

    def _note_read(self) -> None:
        super()._note_read()
        self._buffers.update(self, has_progressed=True)

    def pause_writing(self) -> None:
        super().pause_writing()
        self._buffers.update(self, has_progressed=False)

    def resume_writing(self) -> None:
        super().resume_writing()
        self._buffers.update(self, has_progressed=True)

    def hold(self, count: int) -> None:
        has_shrunk = count < self._held_outside
        self._held_outside = count
        self._buffers.update(self, has_progressed=has_shrunk)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._buffers.forget(self)

    def reset(self) -> None:
        super().reset()
        self._chunks.clear()
        self._buffered = 0
        self._is_released = True


class Listener:
    """A listening socket."""

    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    @property
    def port(self) -> int:
        """The port number, as chosen by the kernel if 0 was requested."""
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop accepting connections; established ones continue."""
        self._server.close()


async def listen(
    address: str,
    port: int,
    *,
    traffic: Traffic,
    purpose: Purpose,
    on_stream: Callable[[ByteStream], None],
    buffers: ConnectionBuffers | None = None,
    backlog: int = _BACKLOG,
) -> Listener:
    """Listen on `address`; `on_stream` is called in the event loop and starts the stream's task.

    With `buffers`, the accepted connections are bounded together in what they hold. The kernel
    accepts up to `backlog` connections ahead of the process.
    """

    def make_protocol() -> ByteStream:
        if buffers is not None:
            return BoundedByteStream(
                traffic=traffic, purpose=purpose, on_open=on_stream, buffers=buffers
            )
        return ByteStream(traffic=traffic, purpose=purpose, on_open=on_stream)

    server = await asyncio.get_running_loop().create_server(
        make_protocol, address, port, backlog=backlog
    )
    return Listener(server)


async def connect(address: str, port: int, *, traffic: Traffic, purpose: Purpose) -> ByteStream:
    """Open a connection; raises `StreamRefusedError`, or `StreamLostError` for any other reason."""
    loop = asyncio.get_running_loop()
    try:
        _, stream = await loop.create_connection(
            lambda: ByteStream(traffic=traffic, purpose=purpose), address, port
        )
    except ConnectionRefusedError as error:
        raise StreamRefusedError(f"cannot connect to {address}:{port}: {error}") from error
    except OSError as error:
        raise StreamLostError(f"cannot connect to {address}:{port}: {error}") from error
    return stream
