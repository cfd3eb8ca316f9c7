"""Messages between the spreading parts of daemons."""

from __future__ import annotations

from typing import Final

from attrs import frozen

__all__ = [
    "SPREAD_MESSAGES",
    "HeadAnswer",
    "HeadRequest",
    "Hello",
    "Progress",
    "RecordBatch",
    "StatusAnswer",
    "StatusQuery",
    "Whole",
]


@frozen
class Hello:
    """First message of a replication session, from both ends."""

    #: Host of the sender.
    host: str
    #: Log position that it holds.
    position: int
    #: Digest of the chain up to that position.
    digest: bytes
    #: Position that enough daemons are known to hold.
    confirmed: int


@frozen
class RecordBatch:
    """Consecutive records of the configuration stream."""

    #: Offset of the first one.
    start: int
    #: Their bytes.
    payloads: list[bytes]
    #: Position that enough daemons are known to hold.
    confirmed: int


@frozen
class Whole:
    """The whole state, for a peer that is too far behind for records."""

    #: A packed snapshot record.
    snapshot: bytes
    #: Position that enough daemons are known to hold.
    confirmed: int


@frozen
class Progress:
    """The sender has advanced without sending anything that says so."""

    #: Log position that it holds.
    position: int
    #: Position that enough daemons are known to hold.
    confirmed: int


@frozen
class HeadRequest:
    """What is the head of the log, read after this request?"""


@frozen
class HeadAnswer:
    """The head of the log."""

    #: Offset of the next record; -1 when the log did not answer.
    head: int
    #: Why the log did not answer.
    reason: str


@frozen
class StatusQuery:
    """How far are you?"""

    #: Chosen by the asker; the answer carries it back.
    number: int


@frozen
class StatusAnswer:
    """How far a daemon is."""

    #: Number of the query.
    number: int
    #: Host that answers.
    host: str
    #: Log position that it holds.
    position: int
    #: Version that it has in force; -1 when none yet.
    in_force: int
    #: Whether it knows that it is not behind what it ran before its last start.
    recovered: bool


SPREAD_MESSAGES: Final[dict[int, type]] = {
    20: Hello,
    21: RecordBatch,
    22: Whole,
    23: Progress,
    24: HeadRequest,
    25: HeadAnswer,
    26: StatusQuery,
    27: StatusAnswer,
}
