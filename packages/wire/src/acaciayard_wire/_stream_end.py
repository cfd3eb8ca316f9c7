"""How the data that is received on a connection ends."""

from __future__ import annotations

import asyncio
import errno
import socket
from enum import Enum
from typing import Final

from attrs import frozen

__all__ = ["EndKind", "StreamEnd", "end_by_loss", "reported_end"]

#: Errors of a socket whose other end had finished sending: none, or that of a reset after it.
_ERRORS_BEHIND_END: Final = (0, errno.EPIPE)


class EndKind(Enum):
    """Who ended a connection, and how; the values appear in logs."""

    #: The other end has finished sending: everything that it sent was received.
    IN_ORDER = "in order"
    #: The connection was reset or broke, perhaps with data on the way.
    BROKEN = "broken"
    #: This process closed the connection before its other end did.
    CLOSED_HERE = "closed here"


@frozen
class StreamEnd:
    """The end of the data of a connection.

    Example:

        StreamEnd(EndKind.BROKEN, "ECONNRESET")
    """

    #: Who ended it, and how.
    kind: EndKind
    #: Symbol of the error of the socket at that moment, empty for none.
    error: str = ""

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.error}" if self.error else self.kind.value


def reported_end(transport: asyncio.BaseTransport | None) -> StreamEnd:
    """Return the end of a connection for which the event loop reports an end-of-file.

    A loop that polls a reset together with the last bytes may report the hang-up as an end-of-file,
    without the read that would return the error.
    """
    code = _pending_error(transport)
    kind = EndKind.IN_ORDER if code in _ERRORS_BEHIND_END else EndKind.BROKEN
    return StreamEnd(kind, _symbol(code))


def end_by_loss(error: Exception | None) -> StreamEnd:
    """Return the end of a connection that is lost without an end-of-file."""
    if error is None:
        return StreamEnd(EndKind.CLOSED_HERE)
    code = error.errno if isinstance(error, OSError) else None
    return StreamEnd(EndKind.BROKEN, _symbol(code or 0) or type(error).__name__)


def _pending_error(transport: asyncio.BaseTransport | None) -> int:
    """Take the error of a socket that no read has reported yet; 0 for none."""
    own = transport.get_extra_info("socket") if transport is not None else None
    if own is None:
        return 0
    try:
        return int(own.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
    except OSError as error:  # nothing is known of the end, so that it is not one in order
        return error.errno or errno.EIO


def _symbol(code: int) -> str:
    return errno.errorcode.get(code, str(code)) if code else ""
