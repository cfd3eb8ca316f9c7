"""The control port of a daemon: datagrams, and streams dispatched by their first message."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from ipaddress import IPv4Address
from typing import Any, Final, cast

import anyio
import anyio.abc
from attrs import frozen

from acaciayard_timers import NO_ACCOUNT, ProcessorAccount, ProcessorPart

from ._codec import MessageCodec, MessageError
from ._faults import FaultHandler, raise_fault
from ._messages import MessageStream
from ._stream import ByteStream, Listener, StreamLostError, connect, listen
from ._traffic import Purpose, Traffic

__all__ = ["Address", "ControlPort", "DatagramHandler", "StreamHandler"]

_LARGEST_PORT: Final = 65535
#: Number of digits of the largest port number.
_PORT_DIGITS: Final = 5
#: Attempts to find a port number that is free for both TCP and UDP.
_MAX_PORT_ATTEMPTS: Final = 20


@frozen(order=True)
class Address:
    """An IP address and a port."""

    #: IP address.
    ip: str
    #: Port number.
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `"ip:port"` with an IPv4 address; raises `ValueError` if it is invalid.

        Example:
            Address.parse("10.1.0.35:8145")         # Address("10.1.0.35", 8145)
            Address.parse("999.1.1.1:80")           # ValueError
        """
        ip, _, port = text.rpartition(":")
        is_number = port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS
        if not is_number or not 0 < int(port) <= _LARGEST_PORT:
            raise ValueError(f"{text!r} is not ip:port")
        return cls(str(IPv4Address(ip)), int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


#: Serves one stream whose first message has been read.
StreamHandler = Callable[[Any, MessageStream], Awaitable[None]]
#: Handles the message of one datagram; called in the event loop and must not block.
DatagramHandler = Callable[[Any, Address], None]


class ControlPort:
    """One port number, for TCP and UDP, that carries control messages between daemons.

    Each component registers handlers for its messages.  A stream is served by the handler that is
    registered for its first message, in a task of its own.  An unexpected exception of a handler
    ends its stream or its datagram, and is passed to `on_fault`.  So is the first of each kind of
    error with which datagrams could not be sent.
    """

    def __init__(
        self,
        *,
        codec: MessageCodec,
        traffic: Traffic,
        address: str,
        account: ProcessorAccount = NO_ACCOUNT,
        on_fault: FaultHandler = raise_fault,
    ) -> None:
        self._on_fault = on_fault
        self._account = account
        self._codec = codec
        self._traffic = traffic
        self._ip = address
        self._stream_handlers: dict[type, tuple[Purpose, StreamHandler]] = {}
        self._datagram_handlers: dict[type, DatagramHandler] = {}
        self._listener: Listener | None = None
        self._datagrams: _DatagramProtocol | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._rejected = 0
        self._unsent = 0
        #: Error numbers of datagrams that could not be sent.
        self._send_errors: set[int | None] = set()

    @property
    def unsent(self) -> int:
        """Number of datagrams that could not be sent so far."""
        return self._unsent

    @property
    def rejected(self) -> int:
        """Number of streams and datagrams rejected as invalid so far."""
        return self._rejected

    @property
    def address(self) -> Address:
        """Address of the open port."""
        assert self._listener is not None, "the port is not open yet"
        return Address(self._ip, self._listener.port)

    def on_stream(self, first: type, purpose: Purpose, handler: StreamHandler) -> None:
        """Register `handler` for streams whose first message is a `first`."""
        self._stream_handlers[first] = (purpose, handler)

    def on_datagram(self, message: type, handler: DatagramHandler) -> None:
        """Register `handler` for datagrams with a message of this class."""
        self._datagram_handlers[message] = handler

    async def open(self, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Open `port`, or one chosen by the kernel if it is 0; streams are served in `tasks`."""
        self._tasks = tasks
        for _ in range(_MAX_PORT_ATTEMPTS if port == 0 else 1):
            listener = await listen(
                self._ip,
                port,
                traffic=self._traffic,
                purpose=Purpose.MEMBERSHIP,
                on_stream=self._accept,
            )
            try:
                self._datagrams = await self._open_datagrams(listener.port)
            except OSError:
                listener.close()
                continue
            self._listener = listener
            return
        raise OSError(f"no port of {self._ip} is free for both TCP and UDP")

    async def _open_datagrams(self, port: int) -> _DatagramProtocol:
        loop = asyncio.get_running_loop()
        channel = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            channel.setblocking(False)
            channel.bind((self._ip, port))
            _, protocol = await loop.create_datagram_endpoint(
                lambda: _DatagramProtocol(channel, self._take_datagram, self._on_datagrams_lost),
                sock=channel,
            )
        except BaseException:
            channel.close()
            raise
        return protocol

    def _on_datagrams_lost(self, error: Exception | None) -> None:
        """Open the socket for datagrams again if the event loop has closed it for an error."""
        if error is not None and self._tasks is not None:
            self._on_fault(error)
            self._tasks.start_soon(self._reopen_datagrams)

    async def _reopen_datagrams(self) -> None:
        self._datagrams = await self._open_datagrams(self.address.port)

    def _accept(self, stream: ByteStream) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(self._serve, stream)

    async def _serve(self, stream: ByteStream) -> None:
        messages = MessageStream(stream, self._codec)
        await self._account.run(ProcessorPart.EXCHANGE, self._serve_messages, messages)

    async def _serve_messages(self, messages: MessageStream) -> None:
        try:
            first = await messages.receive()
            registered = self._stream_handlers.get(type(first))
            if registered is None:
                raise MessageError(f"no handler for streams that start with {type(first).__name__}")
            purpose, handler = registered
            messages.channel.assign(purpose)
            await handler(first, messages)
        except StreamLostError:
            pass  # handlers react to lost connections themselves
        except MessageError:
            self._rejected += 1
        except Exception as error:
            self._on_fault(error)
        finally:
            messages.close()

    def _take_datagram(self, data: bytes, sender: Address) -> None:
        previous = self._account.switch(ProcessorPart.EXCHANGE)
        try:
            self._handle_datagram(data, sender)
        finally:
            self._account.switch(previous)

    def _handle_datagram(self, data: bytes, sender: Address) -> None:
        self._traffic.received(Purpose.MEMBERSHIP, len(data), sender.ip)
        try:
            message = self._codec.decode(data)
        except MessageError:
            self._rejected += 1
            return
        handler = self._datagram_handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(message, sender)
        except Exception as error:
            self._on_fault(error)

    def send_datagram(self, message: object, to: Address) -> None:
        """Send one message by datagram; delivery is not guaranteed."""
        assert self._datagrams is not None, "the port is not open yet"
        data = self._codec.encode(message)
        try:
            self._datagrams.send(data, to)
        except OSError as error:
            self._note_unsent(error)
            return
        self._traffic.sent(Purpose.MEMBERSHIP, len(data), to.ip)

    def _note_unsent(self, error: OSError) -> None:
        """Count a datagram that could not be sent; its address or its size may be unusable."""
        self._unsent += 1
        if error.errno not in self._send_errors:
            self._send_errors.add(error.errno)
            self._on_fault(error)

    async def connect(self, to: Address, purpose: Purpose) -> MessageStream:
        """Open a stream to another daemon's control port; raises `StreamLostError`."""
        stream = await connect(to.ip, to.port, traffic=self._traffic, purpose=purpose)
        return MessageStream(stream, self._codec)

    def close(self) -> None:
        """Stop accepting streams and datagrams."""
        if self._listener is not None:
            self._listener.close()
        if self._datagrams is not None:
            self._datagrams.close()


class _DatagramProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to a callback, and sends others on the same socket.

    The transport of the event loop only sends what the socket has no room for at once: the one of
    `uvloop` closes the socket when a single datagram cannot be sent.
    """

    def __init__(
        self,
        channel: socket.socket,
        callback: Callable[[bytes, Address], None],
        on_lost: Callable[[Exception | None], None],
    ) -> None:
        self._channel = channel
        self._callback = callback
        self._on_lost = on_lost
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._callback(data, Address(str(addr[0]), addr[1]))

    def connection_lost(self, exc: Exception | None) -> None:
        self._on_lost(exc)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors such as a closed port at the receiver; probes detect failed daemons."""

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram, which waits while the socket has no room; raises `OSError`."""
        if self._transport is None or self._transport.is_closing():
            return  # closed, or about to be opened again
        try:
            self._channel.sendto(data, (to.ip, to.port))
        except BlockingIOError:
            self._transport.sendto(data, (to.ip, to.port))

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
