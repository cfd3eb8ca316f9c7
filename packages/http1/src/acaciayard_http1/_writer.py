"""Builds the bytes of HTTP/1.1 messages."""

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

#: The interim answer to `Expect: 100-continue`.
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
#: The end of a chunked body without trailers.
LAST_CHUNK: Final = b"0\r\n\r\n"

_STATUS_LINES: Final = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


def _status_line(status: int) -> bytes:
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status\r\n" % status


def render_fields(headers: Headers) -> bytes:
    """Header fields as lines, each with its line end, ready to be spliced into a head."""
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
    """First line and headers of a request; the rendered `fields` hold no framing fields."""
    framed = b"" if framing is Framing.NONE else _framing_field(framing, length)
    return b"%s %s HTTP/1.1\r\n%s%s\r\n" % (method, target, fields, framed)


def response_bytes(
    status: int,
    fields: bytes,
    *,
    framing: Framing,
    length: int = 0,
    keep_alive: bool = True,
    bodiless: bool = False,
) -> bytes:
    """Status line and headers of a response; the rendered `fields` hold no framing fields.

    With `bodiless` (an answer to HEAD, 204 or 304) no framing field is added.
    """
    framed = b"" if bodiless else _framing_field(framing, length)
    closing = b""
    if not keep_alive and framing is not Framing.UNTIL_CLOSE:
        closing = b"connection: close\r\n"
    return b"%s%s%s%s\r\n" % (_status_line(status), fields, framed, closing)


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body; empty data makes no chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def last_chunk(trailers: Headers) -> bytes:
    """The end of a chunked body."""
    if not trailers:
        return LAST_CHUNK
    return b"0\r\n%s\r\n" % render_fields(trailers)
