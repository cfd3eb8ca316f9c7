"""Typed messages over a byte stream."""

from __future__ import annotations

from typing import Any, Final

import msgpack

from ._codec import MessageCodec, MessageError
from ._stream import ByteStream, StreamLostError

__all__ = ["MAX_MESSAGE_BYTES", "MessageStream"]

#: The largest message a peer may send, in bytes.
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024


class MessageStream:
    """Sends and receives messages of one codec over one connection.

    Most messages arrive in one piece and are decoded without a buffer.  An incremental unpacker,
    which takes 44 KB, exists only while a message is incomplete: a daemon under load has 200
    streams to other daemons, and nearly all of them are idle.

    Example:

        await stream.send(Subscribe(position=12))
        match await stream.receive():
            case Records() as records: ...
    """

    def __init__(self, stream: ByteStream, codec: MessageCodec) -> None:
        self._stream = stream
        self._codec = codec
        self._unread = b""
        self._unpacker: msgpack.Unpacker | None = None
        self._fed_bytes = 0

    @property
    def channel(self) -> ByteStream:
        """The underlying byte stream."""
        return self._stream

    @property
    def has_unread(self) -> bool:
        """Whether bytes beyond the last message were received."""
        return bool(self._unread) or self._unpacker is not None or self._stream.has_unread

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
            is_complete, parts = self._unpack(data)
            if is_complete:
                return self._codec.structure(parts)

    def _unpack(self, data: bytes) -> tuple[bool, Any]:
        """Unpack the first message; the first value tells whether it is complete."""
        if self._unpacker is not None:
            return self._unpack_more(self._unpacker, data)
        try:
            return True, msgpack.unpackb(data)
        except msgpack.exceptions.ExtraData as error:
            self._unread = error.extra
            return True, error.unpacked
        except ValueError:  # incomplete or invalid; the incremental unpacker distinguishes them
            self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
            self._fed_bytes = 0
            return self._unpack_more(self._unpacker, data)

    def _unpack_more(self, unpacker: msgpack.Unpacker, data: bytes) -> tuple[bool, Any]:
        try:
            unpacker.feed(data)
            self._fed_bytes += len(data)
            parts = unpacker.unpack()
        except msgpack.exceptions.BufferFull as error:
            raise MessageError(f"a message is larger than {MAX_MESSAGE_BYTES} bytes") from error
        except msgpack.exceptions.OutOfData:
            return False, None
        except ValueError as error:
            raise MessageError(f"invalid message: {error}") from error
        self._unread = unpacker.read_bytes(self._fed_bytes - unpacker.tell())
        self._unpacker = None
        return True, parts

    def close(self) -> None:
        """Close the connection after the data sent has been written."""
        self._stream.close()
