"""Finds the ends of msgpack messages without unpacking them."""

from __future__ import annotations

from typing import Final

import msgpack

__all__ = ["MAX_MESSAGE_BYTES", "MessageScanner"]

#: The largest message a peer may send, in bytes.
MAX_MESSAGE_BYTES: Final = 64 * 1024 * 1024


class MessageScanner:
    """Tells whether a message is complete, however its bytes are split.

    Only complete messages may be unpacked: msgpack allocates an array by the length that it claims,
    and never frees the nested values of a message that stays incomplete.

    Example:

        scanner = MessageScanner()
        scanner.feed(first)                 # None: incomplete
        scanner.feed(second)                # bytes of `second` that belong to the next message
    """

    def __init__(self) -> None:
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self._add = unpacker.feed
        self._skip_message = unpacker.skip
        self._skip_bytes = unpacker.read_bytes
        self._position = unpacker.tell
        #: Position at which the present message begins.
        self._start = 0
        #: Bytes since that position.
        self._fed_bytes = 0

    def feed(self, data: bytes) -> int | None:
        """Return how many bytes at the end of `data` follow the message, `None` if it goes on.

        Raises `ValueError` for bytes that are no message; the scanner is of no more use then.
        """
        fed_bytes = self._fed_bytes + len(data)
        if fed_bytes > MAX_MESSAGE_BYTES:
            raise ValueError(f"larger than {MAX_MESSAGE_BYTES} bytes")
        self._add(data)
        try:
            self._skip_message()
        except msgpack.exceptions.OutOfData:
            self._fed_bytes = fed_bytes
            return None
        end: int = self._position()
        rest = fed_bytes - end + self._start
        if rest:
            self._skip_bytes(rest)
            end = self._position()
        self._start = end
        self._fed_bytes = 0
        return rest
