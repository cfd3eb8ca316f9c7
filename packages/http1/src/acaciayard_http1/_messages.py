"""HTTP/1.1 messages and the faults they may have."""

from __future__ import annotations

from enum import Enum
from typing import Any, Final

from attrs import evolve, frozen

__all__ = [
    "HOP_BY_HOP",
    "BodyPart",
    "End",
    "Framing",
    "Headers",
    "HttpError",
    "Limits",
    "RequestHead",
    "ResponseHead",
    "first_header",
]

#: Header fields in their order; names in lower case.
Headers = tuple[tuple[bytes, bytes], ...]

#: Headers that belong to one connection and are never passed on.
HOP_BY_HOP: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Framing(Enum):
    """How the end of a body is known."""

    #: There is no body.
    NONE = "none"
    #: `Content-Length` says.
    SIZED = "sized"
    #: The last chunk says.
    CHUNKED = "chunked"
    #: The end of the connection; only in responses, and nobody can tell such a body is whole.
    UNTIL_CLOSE = "until_close"


@frozen
class Limits:
    """What a message may cost at most."""

    #: Header fields.
    headers: int = 100
    #: Bytes of the first line and all header fields.
    head_bytes: int = 32 * 1024
    #: Bytes of a whole body; 0 for no limit.
    body_bytes: int = 0


@frozen
class HttpError(Exception):
    """A message that is refused."""

    #: Status to answer with.
    status: int
    #: What is wrong with it.
    reason: str


@frozen
class RequestHead:
    """First line and headers of a request."""

    #: Method, as sent.
    method: bytes
    #: Request target: path and query.
    target: bytes
    #: Header fields.
    headers: Headers
    #: How its body ends.
    framing: Framing
    #: Whether the connection may be used again.
    keep_alive: bool = True
    #: Whether the caller waits for `100 Continue` before its body.
    expects_continue: bool = False
    #: Whether it speaks HTTP/1.0, which knows no chunks.
    is_http10: bool = False

    def with_changes(self, **changes: Any) -> RequestHead:
        """A copy with some attributes changed."""
        return evolve(self, **changes)

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@frozen
class ResponseHead:
    """Status line and headers of a response."""

    #: Status code.
    status: int
    #: Header fields.
    headers: Headers
    #: How its body ends.
    framing: Framing
    #: Whether the connection may be used again.
    keep_alive: bool = True


@frozen
class BodyPart:
    """Some bytes of a body."""

    #: The bytes.
    data: bytes


@frozen
class End:
    """The message is whole."""

    #: Trailers of a chunked body.
    trailers: Headers = ()


def first_header(headers: Headers, name: bytes) -> bytes:
    """The first value of a header, empty when there is none."""
    for candidate, value in headers:
        if candidate == name:
            return value
    return b""
