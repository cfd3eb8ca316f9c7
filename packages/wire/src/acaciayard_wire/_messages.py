"""Typed messages over a byte stream."""

from __future__ import annotations

from ._codec import MessageCodec, MessageError
from ._scanner import MAX_MESSAGE_BYTES, MessageScanner
from ._stream import ByteStream, StreamLostError

__all__ = ["MAX_MESSAGE_BYTES", "MessageStream"]


class MessageStream:
    """Sends and receives messages of one codec over one connection.

    Most messages arrive in one piece and are decoded as they are.  Pieces are collected, with a
    scanner of 44 KB, only while a message is incomplete: a daemon under load has 200 streams to
    other daemons, and nearly all of them are idle.

    Example:

        await stream.send(Subscribe(position=12))
        match await stream.receive():
            case Records() as records: ...
    """

    def __init__(self, stream: ByteStream, codec: MessageCodec) -> None:
        self._stream = stream
        self._codec = codec
        self._unread = b""
        #: The pieces of a message that is incomplete, and what has scanned them.
        self._pieces: list[bytes] = []
        self._scanner: MessageScanner | None = None

    @property
    def channel(self) -> ByteStream:
        """The underlying byte stream."""
        return self._stream

    @property
    def has_unread(self) -> bool:
        """Whether bytes beyond the last message were received."""
        return bool(self._unread) or self._scanner is not None or self._stream.has_unread

    async def send(self, message: object) -> None:
        """Send one message; raises `StreamLostError`."""
        await self._stream.send(self._codec.encode(message))

    async def receive(self) -> object:
        """The next message; raises `StreamLostError` at the end, `MessageError` if invalid."""
        while True:
            data = self._unread or await self._stream.receive()
            if not data:
                raise StreamLostError(f"{self._stream.peer} closed the connection")
            self._unread = b""
            packed = self._complete(data)
            if packed is not None:
                return self._codec.decode_complete(packed)

    def _complete(self, data: bytes) -> bytes | None:
        """The bytes of the first message, `None` while they are incomplete."""
        if self._scanner is not None:
            return self._complete_pieces(self._scanner, data)
        rest = self._codec.scan(data)
        if isinstance(rest, MessageScanner):
            self._scanner = rest
            self._pieces.append(data)
            return None
        return self._without_rest(data, rest)

    def _complete_pieces(self, scanner: MessageScanner, data: bytes) -> bytes | None:
        try:
            rest = scanner.feed(data)
        except ValueError as error:
            raise MessageError(f"invalid message: {error}") from error
        if rest is None:
            self._pieces.append(data)
            return None
        packed = b"".join((*self._pieces, self._without_rest(data, rest)))
        self._pieces.clear()
        self._scanner = None
        return packed

    def _without_rest(self, data: bytes, rest: int) -> bytes:
        """The bytes that belong to the message; those behind it are kept for the next one."""
        if not rest:
            return data
        self._unread = data[-rest:]
        return data[:-rest]

    def close(self) -> None:
        """Close the connection after the data sent has been written."""
        self._stream.close()
