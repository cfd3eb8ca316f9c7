"""What the project asks of an append-only log, whatever its protocol.

An adapter for another log implements `LogService` and nothing else changes.  Offsets of a
stream start at 0 and have no gaps; records expire from the front.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from attrs import frozen

__all__ = [
    "AppendUnknown",
    "Appended",
    "Bounds",
    "Expired",
    "KeyedLog",
    "KeyedRecord",
    "KeyedSlice",
    "LogRecord",
    "LogService",
    "NotAppended",
    "Outrun",
    "Slice",
    "Unavailable",
]


@frozen
class LogRecord:
    """One record."""

    #: Its place in the stream.
    offset: int
    #: Its bytes.
    payload: bytes


@frozen
class Appended:
    """The record is in the log."""

    #: Where it stands.
    offset: int


@frozen
class NotAppended:
    """The log has refused the record; it is not in the log."""

    #: Why.
    reason: str


@frozen
class Outrun:
    """The record was to stand at a place that another one has; it is not in the log."""

    #: Why.
    reason: str


@frozen
class AppendUnknown:
    """No answer came; the record may be in the log or not, and only reading tells."""

    #: What happened instead of an answer.
    reason: str


@frozen
class Bounds:
    """Which records of a stream are kept."""

    #: Offset of the oldest record that is still kept.
    first: int
    #: Offset that the next record will get.
    head: int


@frozen
class Slice:
    """Some consecutive records."""

    #: The records, the one asked for first; empty when none came while waiting.
    records: tuple[LogRecord, ...]
    #: What the stream kept when it answered.
    bounds: Bounds


@frozen
class Expired:
    """The record asked for is no longer kept."""

    #: What is kept.
    bounds: Bounds


@frozen
class Unavailable:
    """The log did not answer, or only that it does not serve the request."""

    #: Why.
    reason: str
    #: Whether the log has answered: asking again at once, on another connection, is of no use.
    is_refusal: bool = False


@frozen
class KeyedRecord:
    """One record of a keyed stream."""

    #: What it is about; a later record with the same key replaces it.
    key: str
    #: What it says.
    value: bytes
    #: Its position in the stream, see `position_of`.
    offset: int


@frozen
class KeyedSlice:
    """Some records of a keyed stream."""

    #: The records, in the order of their positions.
    records: tuple[KeyedRecord, ...]
    #: The position from where to read on.
    next_offset: int
    #: Records among them that could not be read; they say nothing about the others.
    unreadable: int = 0


class KeyedLog(ABC):
    """A log that keeps the newest record of each key for ever.

    What must outlive all daemons at once, and nothing else, is kept here: the configuration that
    operators publish, and where daemons can be met.  Failures are values with a reason.

    The offsets of a keyed log are positions (`position_of`): each answer tells in which era it was
    given, and a log that came back from an older copy gives none out a second time.
    """

    @property
    def received_at(self) -> float:
        """When a part of an answer arrived last, by the timer service; `-inf` if it is unknown.

        A long answer over a thin link is late, and on its way.
        """
        return -math.inf

    @abstractmethod
    async def put(
        self, stream: str, key: str, value: bytes, *, at: int | None = None
    ) -> Appended | NotAppended | Outrun | AppendUnknown:
        """Add a record; with `at` only where the stream ends there, so that of two one fails."""

    @abstractmethod
    async def newest(self, stream: str) -> KeyedSlice | Unavailable:
        """The newest record of each key."""

    @abstractmethod
    async def changes(
        self, stream: str, *, start: int, wait: float, is_fresh: bool = False
    ) -> KeyedSlice | Expired | Unavailable:
        """Records from offset `start` on; waits up to `wait` seconds for the first.

        With `is_fresh` the request goes out on a new connection.
        """


class LogService(ABC):
    """An append-only log with several streams.

    Failures are values with a reason, not exceptions, since every caller has to say what it does
    about each of them.
    """

    @abstractmethod
    async def append(self, stream: str, payload: bytes) -> Appended | NotAppended | AppendUnknown:
        """Add one record at the end of `stream`."""

    @abstractmethod
    async def read(
        self, stream: str, *, start: int, limit: int, wait: float
    ) -> Slice | Expired | Unavailable:
        """Up to `limit` records from offset `start`; waits up to `wait` seconds for the first."""

    @abstractmethod
    async def bounds(self, stream: str) -> Bounds | Unavailable:
        """What is kept of `stream` now."""
