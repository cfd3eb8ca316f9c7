"""Messages between the call parts of daemons: one call at a time on each stream."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from attrs import define, field, frozen
from attrs.validators import gt

from acaciayard_callmodel import FINGERPRINT_BYTES
from acaciayard_http1 import Headers
from acaciayard_resources import PRIORITIES
from acaciayard_wire import MessageCodec

__all__ = [
    "ADMITTED",
    "CALL_CODEC",
    "CLAIM_MESSAGES",
    "LARGEST_INLINE_BODY",
    "Admitted",
    "AnswerHead",
    "Ask",
    "CallHead",
    "ClaimAnswer",
    "ClaimRequest",
    "Finish",
    "Lost",
    "OutcomeAnswer",
    "OutcomeRequest",
    "Part",
    "QUEUED",
    "Queued",
    "Refused",
    "ReleaseRequest",
    "flatten",
    "unflatten",
]

#: Bodies of idempotent calls up to so many bytes travel with the head.  Larger ones, and all calls
#: that must not run twice, are held until the admission: a refusal then costs one small message and
#: not the body, and a call that the other daemon never admitted has certainly not run and may be
#: offered to another.  The wait costs one round trip, about 3 ms between failure domains.
LARGEST_INLINE_BODY: Final = 16 * 1024


def _check_paired(texts: list[bytes]) -> None:
    """Raise `ValueError` for a name without a value."""
    if len(texts) % 2:
        raise ValueError("trailers has a name without a value")


@define
class CallHead:
    """A call, with its body where that is small."""

    #: Service that is to answer.
    service: str
    #: HTTP method.
    method: bytes
    #: Path and query.
    target: bytes
    #: Rendered header fields.
    fields: bytes
    #: The body, if whole.
    body: bytes
    #: Whether `body` is all there is.
    is_whole: bool
    #: Bytes of the body, -1 if unknown.
    length: int
    #: Priority class.
    priority: int
    #: Seconds left for the call; a duration, since clocks of two hosts do not agree.
    budget: float
    #: Identity of the request that targets repeat, empty where there is none.
    request_id: bytes = b""
    #: Seconds for which a slot is worth waiting for, `inf` for as long as it takes.
    start_within: float = math.inf
    #: Whether running the call twice does no harm.
    is_idempotent: bool = False
    #: Whether a target may have run the call before.
    is_repeat: bool = False
    #: Whether the whole body follows after the admission, and the call runs only then.
    is_held: bool = False
    #: What the daemon that asks holds against the call: its fingerprint, and the number and the
    #: ends of the suspicion; empty for nothing.
    fingerprint: bytes = b""
    suspicion: list[int] = field(factory=list)
    #: Workspace that it is made for, empty for none.
    workspace: str = ""
    #: Calls that wait for its answer before a caller gets one.
    depth: int = 0

    def check_fields(self) -> None:
        """Raise `ValueError` for what no daemon sends."""
        if self.length < -1 or self.depth < 0:
            raise ValueError(f"length {self.length}, depth {self.depth}")
        if not 0 <= self.priority < len(PRIORITIES):
            raise ValueError(f"priority {self.priority}")
        if not math.isfinite(self.budget) or math.isnan(self.start_within):
            raise ValueError(f"budget {self.budget}, start_within {self.start_within}")
        if self.suspicion or self.fingerprint:
            self._check_suspicion()

    def _check_suspicion(self) -> None:
        """Raise `ValueError` unless number and ends of a suspicion come with a fingerprint."""
        is_whole = len(self.suspicion) == 2 and min(self.suspicion) >= 0
        if not is_whole or len(self.fingerprint) != FINGERPRINT_BYTES:
            raise ValueError(f"suspicion {self.suspicion} for {len(self.fingerprint)} bytes")


@frozen
class Admitted:
    """The call has a slot, or will get one once its body is here; the body may be sent now."""


@frozen
class Ask:
    """So many bytes more of a large body may be sent now."""

    #: The bytes.
    size: int = field(validator=gt(0))


@frozen
class Queued:
    """The call waits for a slot."""


@frozen
class Part:
    """Some bytes of a body, in either direction."""

    #: The bytes.
    data: bytes


@frozen
class Finish:
    """A body is whole, in either direction."""

    #: Names and values of trailers in turn.
    trailers: list[bytes]

    def check_fields(self) -> None:
        """Raise `ValueError` for what no daemon sends."""
        _check_paired(self.trailers)


@define
class AnswerHead:
    """A target's answer, with its body where that is small."""

    #: HTTP status.
    status: int
    #: Rendered header fields.
    fields: bytes
    #: The body, if whole.
    body: bytes
    #: Whether `body` is all there is.
    is_whole: bool
    #: Bytes of the body, -1 if unknown.
    length: int
    #: Whether the target ends its body by closing.
    ends_by_close: bool
    #: Names and values of trailers in turn, where the body is whole.
    trailers: list[bytes]
    #: Calls running and waiting at the target, per slot.
    load: float
    #: Mean seconds that a call takes at the target.
    mean_seconds: float = 0.0
    #: Whether it failed for a call that the target made and that was not served.
    lacks_inner: bool = False

    def check_fields(self) -> None:
        """Raise `ValueError` for what no daemon sends."""
        if not 100 <= self.status < 1000 or self.length < -1:
            raise ValueError(f"status {self.status}, length {self.length}")
        if self.trailers:
            _check_paired(self.trailers)


@frozen
class Refused:
    """The call has not run."""

    #: Why.
    reason: str
    #: Seconds after which another try makes sense.
    retry_after: float
    #: Whether there was too much work.
    is_overload: bool
    #: Calls running and waiting at the target, per slot.
    load: float
    #: Whether the target itself refused.
    is_by_target: bool = False
    #: Mean seconds that a call takes at the target, 0 for nothing told.  Where targets turn slow
    #: they answer seldom and refuse often: late calls fell from 58 to 52 in 1,000 (eight seeds)
    #: when refusals told it as well.
    mean_seconds: float = 0.0
    #: Whether the call itself is refused, so that every host would refuse it.
    is_barred: bool = False


@frozen
class Lost:
    """The call was sent to the target, and no whole answer came."""

    #: What happened.
    reason: str
    #: Whether the target ended, and perhaps under this call.
    is_blamed: bool = False


CALL_CODEC: Final = MessageCodec(
    {
        1: CallHead,
        2: Admitted,
        3: Part,
        4: Finish,
        5: AnswerHead,
        6: Refused,
        7: Lost,
        8: Queued,
        9: Ask,
    }
)


#: The signs that a call has come, as they travel; they carry nothing else.
ADMITTED: Final = CALL_CODEC.encode(Admitted())
QUEUED: Final = CALL_CODEC.encode(Queued())


@frozen
class ClaimRequest:
    """Claim an idempotency key for one call."""

    #: Digest of the key with its scope.
    key: bytes
    #: Identity of the claim.
    claim: bytes
    #: Host that asks and would make the call.
    host: str


@frozen
class ClaimAnswer:
    """What became of a claim."""

    #: Whether the caller of this claim may make the call.
    granted: bool
    #: The claim that holds the key, if granted or taken; empty when the log did not answer.
    holder: bytes
    #: Host of that claim.
    host: str
    #: Why the log did not answer.
    reason: str


@frozen
class ReleaseRequest:
    """The call of a claim has certainly not run and never will; free the key."""

    #: Digest of the key with its scope.
    key: bytes
    #: Identity of the claim.
    claim: bytes


@frozen
class OutcomeRequest:
    """What did the call of this claim end with?"""

    #: Identity of the claim.
    claim: bytes
    #: Seconds that the asker will wait.
    within: float


@frozen
class OutcomeAnswer:
    """The kept answer of a call."""

    #: Whether there is one.
    is_known: bool
    #: HTTP status.
    status: int
    #: Rendered header fields.
    fields: bytes
    #: The whole body.
    body: bytes
    #: Whether the call has certainly not run.
    is_not_run: bool = False


CLAIM_MESSAGES: Final[dict[int, type]] = {
    40: ClaimRequest,
    41: ClaimAnswer,
    42: ReleaseRequest,
    43: OutcomeRequest,
    44: OutcomeAnswer,
}


def flatten(headers: Headers) -> list[bytes]:
    """Header fields as names and values in turn."""
    return [text for field in headers for text in field]


def unflatten(texts: Iterable[bytes]) -> Headers:
    """Header fields made of names and values in turn."""
    each = iter(texts)
    return tuple(zip(each, each, strict=True))
