"""Serializes HTTP/1.1 messages."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from ._messages import Framing, Headers

__all__ = [
    "CONTINUE",
    "LAST_CHUNK",
    "chunk",
    "last_chunk",
    "render_fields",
    "request_bytes",
    "response_bytes",
]

#: Interim response to `Expect: 100-continue`.
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
#: Last chunk of a body without trailers.
LAST_CHUNK: Final = b"0\r\n\r\n"

_STATUS_LINES: Final = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


def _status_line(status: int) -> bytes:
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status


def render_fields(headers: Headers) -> bytes:
    """Serialize header fields as lines that each end in CRLF, for insertion into a head."""
    return b"".join([b"%s: %s\r\n" % field for field in headers])


def _framing_field(framing: Framing, length: int) -> bytes:
    match framing:
        case Framing.CHUNKED:
            return b"transfer-encoding: chunked\r\n"
        case Framing.SIZED | Framing.NONE:
            return b"content-length: %d\r\n" % length
        case Framing.UNTIL_CLOSE:
            return b"connection: close\r\n"


def request_bytes(
    method: bytes, target: bytes, fields: bytes, *, framing: Framing, length: int = 0
) -> bytes:
    """Serialize the request line and headers of a request.

    `fields` holds serialized header fields, without framing fields.
    """
    framing_field = b"" if framing is Framing.NONE else _framing_field(framing, length)
    return b"%s %s HTTP/1.1\r\n%s%s\r\n" % (method, target, fields, framing_field)


def response_bytes(
    status: int,
    fields: bytes,
    *,
    framing: Framing,
    length: int = 0,
    keep_alive: bool = True,
    bodiless: bool = False,
) -> bytes:
    """Serialize the status line and headers of a response.

    `fields` holds serialized header fields, without framing fields. With `bodiless` (a response to
    HEAD, 204 or 304) no framing field is added.
    """
    framing_field = b"" if bodiless else _framing_field(framing, length)
    connection_field = b""
    if not keep_alive and framing is not Framing.UNTIL_CLOSE:
        connection_field = b"connection: close\r\n"
    return b"%s%s%s%s\r\n" % (_status_line(status), fields, framing_field, connection_field)


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk; empty data gives no chunk, since an empty chunk ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def last_chunk(trailers: Headers) -> bytes:
    """Encode the end of a chunked body, with its trailers."""
    if not trailers:
        return LAST_CHUNK
    return b"0\r\n%s\r\n" % render_fields(trailers)
