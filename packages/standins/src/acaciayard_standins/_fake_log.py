"""A log service in the memory of a test, with faults."""

from __future__ import annotations

from collections import deque

from acaciayard_logservice import (
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
from acaciayard_timers import Signal, TimerService

__all__ = ["FakeLog", "FakeLogView"]


class FakeLog(LogService):
    """Streams in memory that all fakes of one test share.

    Example:

        log = FakeLog(timers)
        log.is_down = True
        await log.append("configuration", b"…")     # NotAppended
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._streams: dict[str, deque[bytes]] = {}
        self._first: dict[str, int] = {}
        self._arrived = Signal()
        #: Whether nothing answers.
        self.is_down = False
        #: Hosts that the log does not answer.
        self.unreachable_from: set[str] = set()
        #: How many of the next appends take effect without an answer.
        self.answers_to_lose = 0
        #: Requests so far that read.
        self.reads = 0
        #: Records appended so far.
        self.appends = 0

    def bounds_now(self, stream: str) -> Bounds:
        """What is kept of a stream."""
        first = self._first.get(stream, 0)
        return Bounds(first, first + len(self._streams.get(stream, ())))

    def records(self, stream: str) -> list[bytes]:
        """What is kept of a stream, oldest first."""
        return list(self._streams.get(stream, ()))

    def put(self, stream: str, payload: bytes) -> int:
        """Append whatever the faults are; returns the offset."""
        records = self._streams.setdefault(stream, deque())
        records.append(payload)
        self.appends += 1
        self._arrived.notify()
        return self.bounds_now(stream).head - 1

    def expire_before(self, stream: str, offset: int) -> None:
        """Drop the records of a stream before an offset."""
        records = self._streams.get(stream, deque())
        while records and self._first.get(stream, 0) < offset:
            records.popleft()
            self._first[stream] = self._first.get(stream, 0) + 1

    async def append(self, stream: str, payload: bytes) -> Appended | NotAppended | AppendUnknown:
        if self.is_down:
            return NotAppended("the log is down")
        offset = self.put(stream, payload)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return AppendUnknown("the answer was lost")
        return Appended(offset)

    async def read(
        self, stream: str, *, start: int, limit: int, wait: float
    ) -> Slice | Expired | Unavailable:
        self.reads += 1
        if self.is_down:
            return Unavailable("the log is down")
        with self._timers.timeout(wait):
            while self.bounds_now(stream).head <= start:
                await self._arrived.wait_beyond(self._arrived.count)
        if self.is_down:
            return Unavailable("the log is down")
        bounds = self.bounds_now(stream)
        if start < bounds.first:
            return Expired(bounds)
        chosen = self.records(stream)[start - bounds.first :][:limit]
        records = tuple(LogRecord(start + i, payload) for i, payload in enumerate(chosen))
        return Slice(records, bounds)

    async def bounds(self, stream: str) -> Bounds | Unavailable:
        self.reads += 1
        if self.is_down:
            return Unavailable("the log is down")
        return self.bounds_now(stream)


class FakeLogView(LogService):
    """The log as seen from one host."""

    def __init__(self, log: FakeLog, host: str) -> None:
        self._log = log
        self._host = host

    @property
    def _is_cut(self) -> bool:
        return self._host in self._log.unreachable_from

    async def append(self, stream: str, payload: bytes) -> Appended | NotAppended | AppendUnknown:
        if self._is_cut:
            return NotAppended("the log is not reachable from here")
        return await self._log.append(stream, payload)

    async def read(
        self, stream: str, *, start: int, limit: int, wait: float
    ) -> Slice | Expired | Unavailable:
        if self._is_cut:
            return Unavailable("the log is not reachable from here")
        found = await self._log.read(stream, start=start, limit=limit, wait=wait)
        return Unavailable("the log is not reachable from here") if self._is_cut else found

    async def bounds(self, stream: str) -> Bounds | Unavailable:
        if self._is_cut:
            return Unavailable("the log is not reachable from here")
        return await self._log.bounds(stream)
