"""HTTP/1.1 message types, parsing limits and errors."""

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
    "length_of",
]

#: Header fields in message order, with lowercase names.
Headers = tuple[tuple[bytes, bytes], ...]

#: Headers that apply to a single connection and are never forwarded.
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
    """How the end of a message body is determined."""

    #: The message has no body.
    NONE = "none"
    #: `Content-Length` gives the length of the body.
    SIZED = "sized"
    #: A zero-length chunk ends the body.
    CHUNKED = "chunked"
    #: Closing the connection in order ends the body. Only for responses; one that is truncated in
    #: that way cannot be told from a complete one.
    UNTIL_CLOSE = "until_close"


@frozen
class Limits:
    """Size limits for a message."""

    #: Maximum number of header fields.
    headers: int = 100
    #: Maximum size of the start line and all header fields, in bytes.
    head_bytes: int = 32 * 1024
    #: Maximum size of the body, in bytes; 0 for no limit.
    body_bytes: int = 0


@frozen
class HttpError(Exception):
    """A message was rejected as invalid, unsupported or too large."""

    #: Status code of the error response.
    status: int
    #: Why the message was rejected.
    reason: str


@frozen
class RequestHead:
    """Request line and headers of a request."""

    #: Method, as received.
    method: bytes
    #: Request target, usually a path and a query.
    target: bytes
    #: Header fields.
    headers: Headers
    #: How the end of the body is determined.
    framing: Framing
    #: Whether the connection may be reused.
    keep_alive: bool = True
    #: Whether the caller waits for `100 Continue` before it sends the body.
    expects_continue: bool = False
    #: Whether the request uses HTTP/1.0, which has no chunked encoding.
    is_http10: bool = False

    def with_changes(self, **changes: Any) -> RequestHead:
        """Return a copy with the given attributes replaced."""
        return evolve(self, **changes)

    @property
    def path(self) -> bytes:
        """Request target without the query."""
        return self.target.partition(b"?")[0]


@frozen
class ResponseHead:
    """Status line and headers of a response."""

    #: Status code.
    status: int
    #: Header fields.
    headers: Headers
    #: How the end of the body is determined.
    framing: Framing
    #: Whether the connection may be reused.
    keep_alive: bool = True


@frozen
class BodyPart:
    """A part of a message body."""

    #: Bytes of the body, without chunk framing.
    data: bytes


@frozen
class End:
    """The end of a complete message."""

    #: Trailer fields of a chunked body.
    trailers: Headers = ()


def length_of(head: RequestHead | ResponseHead) -> int:
    """Return the length of a body in bytes, -1 if its head does not tell it."""
    match head.framing:
        case Framing.NONE:
            return 0
        case Framing.SIZED:
            return int(first_header(head.headers, b"content-length"))
        case _:
            return -1


def first_header(headers: Headers, name: bytes) -> bytes:
    """Return the first value of a header, or an empty string if it is missing.

    `name` is in lowercase.
    """
    for candidate, value in headers:
        if candidate == name:
            return value
    return b""
