"""Messages of the replication protocol."""

from __future__ import annotations

from typing import Final

from attrs import frozen

__all__ = [
    "SPREAD_MESSAGES",
    "FullState",
    "HeadAnswer",
    "HeadRequest",
    "Hello",
    "Progress",
    "RecordBatch",
    "StatusAnswer",
    "StatusQuery",
]


@frozen
class Hello:
    """First message of a replication session, from both ends."""

    #: Host of the sender.
    host: str
    #: Log position that it holds.
    position: int
    #: Digest of the hash chain up to that position.
    digest: bytes
    #: Position up to which enough daemons are known to hold all records.
    confirmed: int


@frozen
class RecordBatch:
    """Consecutive records of the configuration stream."""

    #: Offset of the first record.
    start: int
    #: Encoded records.
    payloads: list[bytes]
    #: Position up to which enough daemons are known to hold all records.
    confirmed: int


@frozen
class FullState:
    """The full state, for a peer that lags too far behind to be sent records."""

    #: An encoded snapshot record.
    snapshot: bytes
    #: Position up to which enough daemons are known to hold all records.
    confirmed: int


@frozen
class Progress:
    """The sender's position, sent when it has advanced and has no records for the receiver."""

    #: Log position that the sender holds.
    position: int
    #: Position up to which enough daemons are known to hold all records.
    confirmed: int


@frozen
class HeadRequest:
    """Asks for the head of the log, read after this request."""


@frozen
class HeadAnswer:
    """Answers a `HeadRequest`."""

    #: Offset of the next record; -1 if the log did not answer.
    head: int
    #: Why the log did not answer.
    reason: str


@frozen
class StatusQuery:
    """Asks for a daemon's replication status."""

    #: Chosen by the sender; the answer repeats it.
    number: int


@frozen
class StatusAnswer:
    """Replication status of a daemon."""

    #: Number of the query.
    number: int
    #: Host that answers.
    host: str
    #: Log position that it holds.
    position: int
    #: Version that it has in force; -1 if there is none yet.
    in_force: int
    #: Whether it has recovered: it is not behind what it had in force before its last start.
    recovered: bool


SPREAD_MESSAGES: Final[dict[int, type]] = {
    20: Hello,
    21: RecordBatch,
    22: FullState,
    23: Progress,
    24: HeadRequest,
    25: HeadAnswer,
    26: StatusQuery,
    27: StatusAnswer,
}
