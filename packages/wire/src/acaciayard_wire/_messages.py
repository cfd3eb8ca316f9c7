"""Streams of typed messages over a byte stream."""

from __future__ import annotations

from typing import Any, Final

import msgpack

from ._codec import MessageCodec, MessageError
from ._stream import ByteStream, StreamLostError

__all__ = ["MAX_MESSAGE_BYTES", "MessageStream"]

#: The largest message a peer may send, in bytes.
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024


class MessageStream:
    """Sends and receives whole messages of one codec on one connection.

    Most messages come whole, and are read without keeping anything.  An incremental reader takes 44
    KB and lives only until a message that came in pieces is whole: a daemon under load has 200
    streams to others, nearly all of them idle.

    Example:

        await stream.send(Subscribe(position=12))
        match await stream.receive():
            case Records() as records: ...
    """

    def __init__(self, stream: ByteStream, codec: MessageCodec) -> None:
        self._stream = stream
        self._codec = codec
        self._unread = b""
        self._pieces: msgpack.Unpacker | None = None
        self._pieces_bytes = 0

    @property
    def channel(self) -> ByteStream:
        """The connection below."""
        return self._stream

    async def send(self, message: object) -> None:
        """Send one message; raises `StreamLostError`."""
        await self._stream.send(self._codec.encode(message))

    async def receive(self) -> object:
        """The next message; raises `StreamLostError` at the end and `MessageError` on nonsense."""
        while True:
            data = self._unread or await self._stream.receive()
            if not data:
                raise StreamLostError(f"{self._stream.peer} closed the connection")
            self._unread = b""
            is_whole, parts = self._take(data)
            if is_whole:
                return self._codec.structure(parts)

    def _take(self, data: bytes) -> tuple[bool, Any]:
        """The first message in what has come, if it is whole now."""
        if self._pieces is not None:
            return self._take_piece(self._pieces, data)
        try:
            return True, msgpack.unpackb(data)
        except msgpack.exceptions.ExtraData as more:
            self._unread = more.extra
            return True, more.unpacked
        except ValueError:  # it is not whole, or nonsense: the incremental reader tells which
            self._pieces = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
            self._pieces_bytes = 0
            return self._take_piece(self._pieces, data)

    def _take_piece(self, pieces: msgpack.Unpacker, data: bytes) -> tuple[bool, Any]:
        try:
            pieces.feed(data)
            self._pieces_bytes += len(data)
            parts = pieces.unpack()
        except msgpack.exceptions.BufferFull as error:
            raise MessageError(f"a message is larger than {MAX_MESSAGE_BYTES} bytes") from error
        except msgpack.exceptions.OutOfData:
            return False, None
        except ValueError as error:
            raise MessageError(f"what came is no message: {error}") from error
        self._unread = pieces.read_bytes(self._pieces_bytes - pieces.tell())
        self._pieces = None
        return True, parts

    def close(self) -> None:
        """Close after what was sent has left."""
        self._stream.close()
