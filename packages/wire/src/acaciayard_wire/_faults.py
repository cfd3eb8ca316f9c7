"""Unexpected exceptions of handlers, which end what they handled and nothing else.

Servers call a `FaultHandler` with such an exception, close the connection or drop the datagram that
caused it, and go on:

    service = HttpService(handle, traffic=traffic, on_fault=log_fault)

Without one the exception is raised in the task of the connection, which ends the process.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from typing import Any, Final

__all__ = ["FaultHandler", "raise_fault", "trace_of", "watch_callbacks"]

#: Number of lines of a traceback that are logged.
_MAX_TRACE_LINES: Final = 8

#: Handles an unexpected exception; called in the event loop and must not block.
FaultHandler = Callable[[Exception], None]


def raise_fault(error: Exception) -> None:
    """Raise the exception again; the default, so that tests see it."""
    raise error


def watch_callbacks(on_fault: FaultHandler) -> None:
    """Pass the unexpected exceptions of the running loop's callbacks to `on_fault`.

    These are timers and events of sockets that no task waits for.  The loop goes on after them, and
    by default writes a traceback to standard error.
    """

    def handle(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        on_fault(error if isinstance(error, Exception) else RuntimeError(context["message"]))

    asyncio.get_running_loop().set_exception_handler(handle)


def trace_of(error: Exception) -> str:
    """The end of the traceback of an exception as one line, for logs."""
    text = "".join(traceback.format_exception(error)[-_MAX_TRACE_LINES:])
    return text.replace("\n", " | ")
