"""An in-memory keyed log that simulates the faults of a remote store."""

from __future__ import annotations

import anyio

from acaciayard_logservice import (
    Appended,
    AppendUnknown,
    Bounds,
    Expired,
    KeyedLog,
    KeyedRecord,
    KeyedSlice,
    NotAppended,
    Outrun,
    Unavailable,
    offset_of,
    position_of,
)
from acaciayard_timers import TimerService

__all__ = ["KeyedStandIn"]


class KeyedStandIn(KeyedLog):
    """Keeps records; rejects all requests while `is_down`, and loses reads while `is_silent`.

    `rewind` restores an earlier copy, in a new era, and interrupts pending reads.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._records: dict[str, list[KeyedRecord]] = {}
        self._first: dict[str, int] = {}
        self._changed = anyio.Event()
        self.is_down = False
        self.is_silent = False
        self.calls = 0
        #: Number of these calls that read the newest records.
        self.looks = 0
        self.era = 0

    def _position(self, offset: int) -> int:
        return position_of(era=self.era, offset=offset)

    def _seen_now(self, record: KeyedRecord) -> KeyedRecord:
        """Return a record with its position in the present era."""
        return KeyedRecord(record.key, record.value, self._position(offset_of(record.offset)))

    def copy(self) -> dict[str, int]:
        """Return a copy for `rewind`: the number of records of each stream."""
        return {stream: len(records) for stream, records in self._records.items()}

    def rewind(self, copy: dict[str, int]) -> list[tuple[str, KeyedRecord]]:
        """Restore a copy; returns the lost records."""
        lost = [
            (stream, record)
            for stream, records in self._records.items()
            for record in records[copy.get(stream, 0) :]
        ]
        self._records = {s: records[: copy.get(s, 0)] for s, records in self._records.items()}
        self._first = {s: min(at, copy.get(s, 0)) for s, at in self._first.items()}
        self.era += 1
        self._changed.set()
        self._changed = anyio.Event()
        return lost

    def records(self, stream: str) -> tuple[KeyedRecord, ...]:
        """Return all records of a stream."""
        return tuple(self._records.get(stream, []))

    def add(self, stream: str, key: str, value: bytes) -> int:
        """Append a record, as an operator does."""
        records = self._records.setdefault(stream, [])
        records.append(KeyedRecord(key, value, self._position(len(records))))
        self._changed.set()
        self._changed = anyio.Event()
        return records[-1].offset

    def drop_history(self, stream: str) -> None:
        """Drop the history; the newest record of each key is kept."""
        self._first[stream] = len(self._records.get(stream, []))

    async def put(
        self, stream: str, key: str, value: bytes, *, at: int | None = None
    ) -> Appended | NotAppended | Outrun | AppendUnknown:
        self.calls += 1
        if self.is_down:
            return NotAppended("down")
        if at is not None and offset_of(at) != len(self._records.get(stream, [])):
            return Outrun("another record was written first")
        return Appended(self.add(stream, key, value))

    async def newest(self, stream: str) -> KeyedSlice | Unavailable:
        self.calls += 1
        self.looks += 1
        if self.is_down:
            return Unavailable("down")
        records = self._records.get(stream, [])
        newest = {record.key: self._seen_now(record) for record in records}
        kept = tuple(record for record in newest.values() if record.value)
        return KeyedSlice(kept, self._position(len(records)))

    async def changes(
        self, stream: str, *, start: int, wait: float, is_fresh: bool = False
    ) -> KeyedSlice | Expired | Unavailable:
        self.calls += 1
        if self.is_down:
            return Unavailable("down")
        if self.is_silent:  # a connection on which an answer is lost returns nothing further
            await self._timers.sleep(wait + 1.0)
            return Unavailable("no answer")
        offset, era = offset_of(start), self.era
        first = self._first.get(stream, 0)
        if not first <= offset <= len(self._records.get(stream, [])):
            return Expired(Bounds(first=self._position(first), head=self._position(first)))
        with self._timers.timeout(wait):
            while len(self._records.get(stream, [])) <= offset and self.era == era:
                await self._changed.wait()
        if self.is_down or self.era != era:
            return Unavailable("down")
        records = [self._seen_now(each) for each in self._records.get(stream, [])[offset:]]
        return KeyedSlice(tuple(records), self._position(offset + len(records)))
