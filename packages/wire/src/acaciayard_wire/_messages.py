"""Streams of typed messages over a byte stream."""

from __future__ import annotations

from typing import Final

import msgpack

from ._codec import MessageCodec, MessageError
from ._stream import ByteStream, StreamLostError

__all__ = ["MAX_MESSAGE_BYTES", "MessageStream"]

#: The largest message a peer may send, in bytes.
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024


class MessageStream:
    """Sends and receives whole messages of one codec on one connection.

    Example:

        await stream.send(Subscribe(position=12))
        match await stream.receive():
            case Records() as records: ...
    """

    def __init__(self, stream: ByteStream, codec: MessageCodec) -> None:
        self._stream = stream
        self._codec = codec
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)

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
            for parts in self._unpacker:
                return self._codec.structure(parts)
            data = await self._stream.receive()
            if not data:
                raise StreamLostError(f"{self._stream.peer} closed the connection")
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        try:
            self._unpacker.feed(data)
        except msgpack.exceptions.BufferFull as error:
            raise MessageError(f"a message is larger than {MAX_MESSAGE_BYTES} bytes") from error

    def close(self) -> None:
        """Close after what was sent has left."""
        self._stream.close()
