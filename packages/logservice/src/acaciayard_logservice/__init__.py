"""Client of the platform's append-only log service."""

from ._http import HttpLogService, http_log_service
from ._interface import (
    Appended,
    AppendUnknown,
    Bounds,
    Expired,
    LogRecord,
    LogService,
    NotAppended,
    Slice,
    Unavailable,
)

__all__ = [
    "AppendUnknown",
    "Appended",
    "Bounds",
    "Expired",
    "HttpLogService",
    "LogRecord",
    "LogService",
    "NotAppended",
    "Slice",
    "Unavailable",
    "http_log_service",
]
