"""Calls, their possible outcomes, and the interface of an exchange with a target."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from operator import attrgetter
from typing import Any, Final

from attrs import fields, frozen

from acaciayard_http1 import BodyPart, End, Headers
from acaciayard_membership import Suspicion

from ._events import Try

__all__ = [
    "LARGEST_WHOLE_BODY",
    "UNKNOWN_LENGTH",
    "Answer",
    "Call",
    "CallWatch",
    "Exchange",
    "NotRun",
    "OutcomeUnknown",
]

#: Size in bytes up to which a body is buffered and sent together with its head.
LARGEST_WHOLE_BODY: Final = 64 * 1024
#: Length of a body that is not known in advance.
UNKNOWN_LENGTH: Final = -1


@frozen
class Call:
    """A caller's request that was matched to a route."""

    #: Name of the service that the call is for.
    service: str
    #: HTTP method.
    method: bytes
    #: Path and query.
    target: bytes
    #: Rendered header fields, without hop-by-hop and framing fields.
    fields: bytes
    #: The complete body if `is_whole`.
    body: bytes
    #: Whether `body` is the complete body.
    is_whole: bool
    #: Length of the body in bytes, or `UNKNOWN_LENGTH`.
    length: int
    #: Priority class as an index of `PRIORITIES`.
    priority: int
    #: Deadline of the caller, on the clock of this daemon's timer service.
    deadline: float
    #: Identity of the request, which targets repeat in their responses; empty if there is none.
    request_id: bytes = b""
    #: Latest useful start, on the clock of the timer service: the call does not wait longer for a
    #: slot; `inf` for no limit.
    start_by: float = math.inf
    #: Whether running the call twice is harmless.
    is_idempotent: bool = False
    #: Whether the fastest host is preferred to hosts in the same failure domain.
    prefers_fastest: bool = False
    #: Whether a target may have got the call before, or its parent call is such a repeat.
    is_repeat: bool = False
    #: The entry's suspicion that the request crashes targets, `None` if there is none.  It is sent
    #: along with the call, since a retry reaches its host before the report of the first failure.
    suspicion: Suspicion | None = None
    #: Workspace of the caller's key, or that of the parent of a nested call; empty if the
    #: configuration has no workspaces or the route requires no key.
    workspace: str = ""
    #: Number of parent calls that wait for its response, 0 if it is not nested.
    depth: int = 0

    def with_changes(self, **changes: Any) -> Call:
        """A copy with some attributes changed.

        It is called for each offer and therefore hand-written: it takes 3 us, `attrs.evolve` 6 us.
        """
        values = list(_CALL_FIELD_VALUES(self))
        for name, value in changes.items():
            values[_CALL_FIELD_INDEXES[name]] = value
        return Call(*values)

    @property
    def wants_head_only(self) -> bool:
        """Whether the response has no body regardless of its headers."""
        return self.method == b"HEAD"


_CALL_FIELD_NAMES: Final = tuple(attribute.name for attribute in fields(Call))
_CALL_FIELD_INDEXES: Final = {name: index for index, name in enumerate(_CALL_FIELD_NAMES)}
_CALL_FIELD_VALUES: Final = attrgetter(*_CALL_FIELD_NAMES)


@frozen
class Answer:
    """A target's response; its body is streamed afterwards unless it is complete."""

    #: HTTP status.
    status: int
    #: Rendered header fields, without hop-by-hop and framing fields.
    fields: bytes
    #: The complete body if `is_whole`.
    body: bytes
    #: Whether `body` is the complete body.
    is_whole: bool
    #: Length of the body in bytes, or `UNKNOWN_LENGTH`.
    length: int
    #: Whether the end of the target's connection delimits the body.
    ends_by_close: bool = False
    #: Trailers, if the body is complete.
    trailers: Headers = ()
    #: Whether it is a failure caused by a nested call that was refused or lost.  Such a failure is
    #: no evidence against the target or the version of its software.
    is_nested_failure: bool = False


@frozen
class NotRun:
    """The call was refused before any target began to process it."""

    #: Human-readable reason.
    reason: str
    #: Seconds after which the caller should retry.
    retry_after: float
    #: Whether the refusal is due to overload; other hosts are then likely to be overloaded as well.
    is_overload: bool = False
    #: Whether the target itself refused, so that the call counts as one that reached a target.
    is_by_target: bool = False
    #: Whether the request itself is barred, so that every host would refuse it.
    is_barred: bool = False


@frozen
class OutcomeUnknown:
    """It is unknown whether the call ran."""

    #: Human-readable reason for the missing response.
    reason: str
    #: Whether the host never acknowledged the call.
    is_silent: bool = False
    #: Whether the target terminated during the call, so that the call may be the cause.
    is_blamed: bool = False


class CallWatch:
    """Tracks the attempts of a call, and cancels them when the caller disconnects."""

    def __init__(self) -> None:
        self._exchanges: list[Exchange] = []
        self._is_given_up = False
        self._tries: list[Try] = []
        #: Whether the retry budget of its service allowed no further attempt.
        self.is_over_retry_budget = False

    @property
    def tries(self) -> list[Try]:
        """The finished attempts."""
        return self._tries

    @property
    def is_given_up(self) -> bool:
        """Whether the caller has disconnected."""
        return self._is_given_up

    def follow(self, exchange: Exchange) -> None:
        """Add an exchange of the call; it is aborted if the caller has already disconnected."""
        self._exchanges.append(exchange)
        if self._is_given_up:
            exchange.abort()

    def give_up(self) -> None:
        """Abort all exchanges, as the caller has disconnected."""
        self._is_given_up = True
        for exchange in self._exchanges:
            exchange.abort()


class Exchange(ABC):
    """The interface for one attempt of a call at one target.

    Order of use: `start`; for a body that is not complete, `wait_admitted`, then `send_part` and
    `finish`; `answer` concurrently or afterwards; then `next_part` until `End`.  `close` must be
    called last in every case.
    """

    @abstractmethod
    async def start(self) -> NotRun | None:
        """Send the call to the host; returns a refusal if that failed and the call did not run."""

    @property
    @abstractmethod
    def was_sent(self) -> bool:
        """Whether anything was sent that may cause the call to run."""

    @property
    @abstractmethod
    def is_acknowledged(self) -> bool:
        """Whether the host has acknowledged the call."""

    def on_acknowledged(self, callback: Callable[[], None]) -> None:  # noqa: B027 - may be left out
        """Call `callback` when the host acknowledges the call, if this exchange detects that."""

    def note_silent(self) -> None:  # noqa: B027 - may be left out
        """Record that the host has not acknowledged the call in time.

        Connections that were kept beside the one in use may have gone silent with it.
        """

    @property
    @abstractmethod
    def is_committed(self) -> bool:
        """Whether the call may run without any further message from this side."""

    @abstractmethod
    def abort(self) -> None:
        """Abort the call: its pending and later operations return at once.

        It is called by timers and when connections are lost, and costs less per call than a cancel
        scope.
        """

    @abstractmethod
    async def answer(self) -> Answer | NotRun | OutcomeUnknown:
        """Wait for the head of the target's response, or for another outcome."""

    @abstractmethod
    async def wait_admitted(self) -> NotRun | None:
        """Wait until the body may be sent; returns the refusal if the call is not admitted."""

    @abstractmethod
    async def send_part(self, data: bytes) -> None:
        """Send a part of the request body; raises `StreamLostError`."""

    @abstractmethod
    async def finish(self, trailers: Headers) -> None:
        """Send the end of the request body; raises `StreamLostError`."""

    @abstractmethod
    async def next_part(self) -> BodyPart | End:
        """The next part of the response body or its end; raises `StreamLostError` if truncated."""

    @abstractmethod
    def close(self) -> None:
        """Release all resources; cancels the call at the target if it has not ended."""
