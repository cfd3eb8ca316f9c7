"""Client of the platform's append-only log service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ._interface import (
    Appended,
    AppendUnknown,
    Bounds,
    Expired,
    KeyedLog,
    KeyedRecord,
    KeyedSlice,
    LogRecord,
    LogService,
    NotAppended,
    Outrun,
    Slice,
    Unavailable,
)
from ._positions import LARGEST_OFFSET, LATEST_ERA, era_of, offset_of, position_of

if TYPE_CHECKING:
    from ._http import HttpLogService, http_log_service

__all__ = [
    "LARGEST_OFFSET",
    "LATEST_ERA",
    "AppendUnknown",
    "Appended",
    "Bounds",
    "Expired",
    "HttpLogService",
    "KeyedLog",
    "KeyedRecord",
    "KeyedSlice",
    "LogRecord",
    "LogService",
    "NotAppended",
    "Outrun",
    "Slice",
    "Unavailable",
    "era_of",
    "http_log_service",
    "offset_of",
    "position_of",
]


def __getattr__(name: str) -> Any:
    """Import the HTTP client only where it is used.

    Its library takes 0.1 s of processor time to import, a third of the start of a daemon whose log
    has another client.
    """
    if name in ("HttpLogService", "http_log_service"):
        from . import _http

        return getattr(_http, name)
    raise AttributeError(name)
