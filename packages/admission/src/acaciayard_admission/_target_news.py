"""Events about the targets on this host, for logs."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

__all__ = ["AnnouncementResult", "LoggedCall", "TargetEvent", "UnrequestedBytes"]


class AnnouncementResult(Enum):
    """Result of processing an announcement; the values are the reasons in logs."""

    #: The announcement was accepted.
    ACCEPTED = "taken"
    #: It has no start time, although targets on this host report theirs.
    WITHOUT_START = "no time of start"
    #: That start of the target, or a later one, has left.
    LEFT = "has left"
    #: A later start of the target is known.
    OLDER_START = "older start"
    #: A later announcement of the same start is known.
    OLDER_REPORT = "older report"
    #: A target that started later uses the same address.
    ADDRESS_TAKEN = "address of a later start"
    #: It would replace a known target, but its service is not configured.
    UNKNOWN_SERVICE = "unknown service"
    #: The host has as many targets as its record can hold, and none that could make room.
    TOO_MANY = "too many targets"


class UnrequestedBytes(Enum):
    """Where bytes of a target were found that answer no request; the values appear in logs."""

    #: Behind a complete response, before its connection was kept.
    BEHIND_RESPONSE = "behind a response"
    #: On a kept connection, before a request was sent on it.
    BEFORE_REQUEST = "before a request"
    #: In place of the response to a request, with the identity of another one or with none.
    OTHER_RESPONSE = "response to another request"


@frozen
class LoggedCall:
    """A call as described in logs."""

    #: Identity of the attempt.
    request_id: str
    #: Fingerprint of the request in hexadecimal; the same whenever the request is repeated.
    fingerprint: str
    #: Whether the call may have caused the end of the target process.
    is_blamed: bool


@frozen
class TargetEvent:
    """A change in what this daemon knows about a target, for logs."""

    #: Name of the target.
    name: str
    #: Start time of the target in Unix milliseconds; 0 if unknown.
    born: int
    #: Kind of event: `announced`, `leaving`, `withdrawn`, `passed_over`, `ended`, or for what the
    #: target states in responses `limited`, `unlimited` or `limit_unreadable`; `unrequested_bytes`
    #: if a connection was closed since it held bytes that answer no request; `answer_end` if a
    #: connection whose end is that of a response did not end in order.
    what: str
    #: Reason; empty if the kind of event says it all.
    reason: str = ""
    #: Sequence number of the announcement that caused the event; 0 if unknown.
    sequence: int = 0
    #: Calls that were running when the target process ended.
    at_work: tuple[LoggedCall, ...] = ()
    #: Software version of the target; empty if unknown or logged before.
    version: str = ""
    #: Identity of the request that the event concerns; empty if it concerns none.
    request_id: str = ""
