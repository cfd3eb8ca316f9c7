"""A peer whose last bytes and the end of its connection arrive together.

Bytes that are sent and a connection that is closed in one go, by a thread which also runs the event
loop of the receiver, are both there before that loop polls again.
"""

from __future__ import annotations

import socket
import struct
from enum import Enum
from typing import Final

import anyio

__all__ = ["AbruptPeer", "PeerEnd"]

#: Value of `SO_LINGER` with which a socket is reset when it is closed.
_RESET: Final = struct.pack("ii", 1, 0)
_REQUEST_BYTES: Final = 64 * 1024


class PeerEnd(Enum):
    """How a peer ends its connection."""

    CLOSE = "closes it"
    RESET = "resets it"
    #: All bytes were received by then, so that it is an end in order.
    CLOSE_THEN_RESET = "closes it and resets it then"


class AbruptPeer:
    """Accepts connections on loopback, and ends each of them together with what it sends.

    Example:

        with AbruptPeer() as peer:
            stream = await connect("127.0.0.1", peer.port, ...)
            await peer.answer(b"half of it", PeerEnd.RESET)
    """

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self._listener = socket.create_server((ip, 0))
        self._listener.setblocking(False)

    def __enter__(self) -> AbruptPeer:
        return self

    def __exit__(self, *_error: object) -> None:
        self._listener.close()

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return int(self._listener.getsockname()[1])

    async def answer(
        self, data: bytes, end: PeerEnd, *, awaits_request: bool = True, early: bytes = b""
    ) -> bytes:
        """Accept one connection, send `data` and end it; returns the request.

        It waits for a request first unless `awaits_request` is false, and then until the kernel has
        taken all of `early`.
        """
        await anyio.wait_readable(self._listener)
        connection, _ = self._listener.accept()
        with connection:
            connection.setblocking(False)
            request = b""
            if awaits_request:
                await anyio.wait_readable(connection)
                request = connection.recv(_REQUEST_BYTES)
            while early:
                await anyio.wait_writable(connection)
                early = early[connection.send(early) :]
            end_abruptly(connection, data, end)
        return request


def end_abruptly(connection: socket.socket, data: bytes, end: PeerEnd) -> None:
    """Send what fits into the buffers of the kernel, and end the connection."""
    if data:
        connection.send(data)
    if end is PeerEnd.CLOSE_THEN_RESET:
        connection.shutdown(socket.SHUT_WR)
    if end is not PeerEnd.CLOSE:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    connection.close()
