"""Separates hop-by-hop header fields from those that are forwarded."""

from __future__ import annotations

from typing import Final

from acaciayard_http1 import HOP_BY_HOP, Headers

__all__ = ["end_to_end"]

_NOT_PASSED_ON: Final = HOP_BY_HOP | {b"content-length"}


def end_to_end(headers: Headers) -> Headers:
    """The header fields without hop-by-hop and framing fields."""
    dropped = _NOT_PASSED_ON
    if any(name == b"connection" for name, _ in headers):
        dropped |= _connection_options(headers)
    return tuple([field for field in headers if field[0] not in dropped])


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """The fields that a `Connection` header declares as hop-by-hop."""
    return frozenset(
        name.strip().lower()
        for field, value in headers
        if field == b"connection"
        for name in value.split(b",")
    )
