"""Rate-limited, non-blocking log output."""

from __future__ import annotations

import os
from collections import deque
from collections.abc import MutableMapping
from typing import Any, Final

import structlog

from acaciayard_timers import ProcessorPart, TimerService

__all__ = ["BoundedLines", "bounded_logger"]

#: Sustained rate in lines a second, and the burst allowed after a quiet period.
_LINES_PER_SECOND: Final = 40.0
_BURST: Final = 200.0
#: Levels that are exempt from the rate limit.
_URGENT: Final = frozenset({"warning", "error", "critical"})
#: Bytes that may be buffered for a slow reader.
_MAX_BUFFERED_BYTES: Final = 256 * 1024


class BoundedLines:
    """Writes lines to a file descriptor without ever blocking on its reader.

    Lines above a rate limit, and those for which a slow reader leaves no buffer space, are dropped
    and counted; the count is added to the next line that is written. `admit` is called before a
    line is rendered: a dropped line then takes 11 us of processor time instead of 56, and under
    load most lines are dropped.
    """

    def __init__(self, descriptor: int, *, timers: TimerService) -> None:
        self._descriptor = descriptor
        self._timers = timers
        self._account = timers.account
        self._part_before: ProcessorPart | None = None
        self._written = 0
        self._tokens = _BURST
        self._refilled_at = timers.now()
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self._is_admitted = False
        self._dropped_unreported = 0
        os.set_blocking(descriptor, False)

    @property
    def written(self) -> int:
        """Number of lines written."""
        return self._written

    @property
    def dropped(self) -> int:
        """Number of lines dropped."""
        return self._dropped

    def admit(self, *, is_urgent: bool) -> bool:
        """Return whether the next line may be written, and count it as written or as dropped.

        Urgent lines, which are few, are exempt from the rate limit.
        """
        now = self._timers.now()
        self._tokens = min(_BURST, self._tokens + (now - self._refilled_at) * _LINES_PER_SECOND)
        self._refilled_at = now
        if self._buffered_bytes > _MAX_BUFFERED_BYTES or (self._tokens < 1 and not is_urgent):
            self._dropped += 1
            self._dropped_unreported += 1
            return False
        self._tokens -= 1
        self._is_admitted = True
        return True

    def begin(self, *, is_urgent: bool) -> bool:
        """Like `admit`, and on success account processor time to logging until the line is written.

        The accounting also ends with the current step of the task that logs.
        """
        before = self._account.switch(ProcessorPart.LOGS)
        if self.admit(is_urgent=is_urgent):
            self._part_before = before
            return True
        self._account.switch(before)
        return False

    def msg(self, line: str) -> None:
        """Write a line, or drop it above the rate limit."""
        self._write(line, is_urgent=False)

    def urgent(self, line: str) -> None:
        """Write a line regardless of the rate limit; for lines that are few."""
        self._write(line, is_urgent=True)

    debug = info = msg
    warning = error = critical = urgent

    def _write(self, line: str, *, is_urgent: bool) -> None:
        if not self._is_admitted and not self.admit(is_urgent=is_urgent):
            return
        self._is_admitted = False
        if self._dropped_unreported:
            line = f"{line} lines_dropped_before={self._dropped_unreported}"
            self._dropped_unreported = 0
        data = line.encode() + b"\n"
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self._written += 1
        self.flush()
        if self._part_before is not None:
            self._account.switch(self._part_before)
            self._part_before = None

    def flush(self) -> None:
        """Write buffered data, as much as the reader accepts."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                self._buffer.clear()  # the reader is gone; logs have no other destination
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()


def _drop_none_values(
    _logger: object, _method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Drop the fields whose value is `None`."""
    return {name: value for name, value in event.items() if value is not None}


class _Limiter:
    """Processor that drops a line not admitted, before any other processor runs."""

    def __init__(self, lines: BoundedLines) -> None:
        self._lines = lines

    def __call__(
        self, _logger: object, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        if not self._lines.begin(is_urgent=method in _URGENT):
            raise structlog.DropEvent
        return event


def bounded_logger(host: str, lines: BoundedLines) -> structlog.typing.FilteringBoundLogger:
    """Return a logger of key=value lines to `lines`, each starting with time, level and event."""
    structlog.configure(
        processors=[
            _Limiter(lines),
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.add_log_level,
            _drop_none_values,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event"], drop_missing=True, bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=lambda *_: lines,
        cache_logger_on_first_use=True,
    )
    logger: structlog.typing.FilteringBoundLogger = structlog.get_logger(host=host)
    return logger
