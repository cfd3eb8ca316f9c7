"""Messages that forward calls between daemons; each stream carries one call at a time."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

from attrs import define, field, frozen
from attrs.validators import gt

from acaciayard_callmodel import FINGERPRINT_BYTES
from acaciayard_http1 import Headers
from acaciayard_membership import MAX_COUNT
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
    "flatten_headers",
    "unflatten_headers",
]

#: Largest body of an idempotent call that is sent with the head.  Larger bodies, and the bodies of
#: all calls that must not run twice, are held until the call is admitted: a refusal then costs one
#: small message instead of the body, and a call that was never admitted has certainly not run and
#: can be sent to another daemon.  Waiting costs one round trip, about 3 ms between failure domains.
LARGEST_INLINE_BODY: Final = 16 * 1024


def _check_paired(texts: list[bytes]) -> None:
    """Raise `ValueError` if a name has no value."""
    if len(texts) % 2:
        raise ValueError("trailers has a name without a value")


@define
class CallHead:
    """Head of a call, including the body if it is small."""

    #: Service that is called.
    service: str
    #: HTTP method.
    method: bytes
    #: Request target: path and query.
    target: bytes
    #: Rendered header fields.
    fields: bytes
    #: The body, if whole.
    body: bytes
    #: Whether `body` is the complete body.
    is_whole: bool
    #: Length of the body in bytes, -1 if unknown.
    length: int
    #: Priority class.
    priority: int
    #: Seconds until the deadline; a duration, since the clocks of two hosts may differ.
    budget: float
    #: Identity of the request, which targets repeat in their responses; empty if none.
    request_id: bytes = b""
    #: Longest wait for a slot in seconds, `inf` for no limit.
    start_within: float = math.inf
    #: Whether the call may safely run twice.
    is_idempotent: bool = False
    #: Whether a target may already have run the call.
    is_repeat: bool = False
    #: Whether the call runs only after its whole body, which is sent on admission, has arrived.
    is_held: bool = False
    #: Suspicion of the calling daemon that the request crashes targets: its fingerprint, and its
    #: `sequence` and `ends`; empty if there is none.
    fingerprint: bytes = b""
    suspicion: list[int] = field(factory=list)
    #: Workspace on whose behalf the call is made, empty if none.
    workspace: str = ""
    #: Number of parent calls that wait for the answer, 0 if the call is not nested.
    depth: int = 0
    #: Packed notices of targets of the receiver that the sender has forwarded.
    notices: list[bytes] = field(factory=list)

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
        """Raise `ValueError` unless suspicion and fingerprint are both present and valid."""
        is_pair = len(self.suspicion) == 2
        is_valid = is_pair and min(self.suspicion) >= 0 and max(self.suspicion) <= MAX_COUNT
        if not is_valid or len(self.fingerprint) != FINGERPRINT_BYTES:
            raise ValueError(f"suspicion {self.suspicion} for {len(self.fingerprint)} bytes")


@frozen
class Admitted:
    """The call has a slot, or gets one once its body has arrived; the body may be sent now."""


@frozen
class Ask:
    """Requests the next bytes of a large body."""

    #: Number of bytes that may be sent now.
    size: int = field(validator=gt(0))


@frozen
class Queued:
    """The call waits for a slot."""


@frozen
class Part:
    """Chunk of a request or response body."""

    #: Content of the chunk.
    data: bytes


@frozen
class Finish:
    """End of a request or response body."""

    #: Alternating names and values of the trailers.
    trailers: list[bytes]

    def check_fields(self) -> None:
        """Raise `ValueError` for what no daemon sends."""
        _check_paired(self.trailers)


@define
class AnswerHead:
    """Head of a target's answer, including the body if it is small."""

    #: HTTP status.
    status: int
    #: Rendered header fields.
    fields: bytes
    #: The body, if whole.
    body: bytes
    #: Whether `body` is the complete body.
    is_whole: bool
    #: Length of the body in bytes, -1 if unknown.
    length: int
    #: Whether the target ends the body by closing the connection.
    ends_by_close: bool
    #: Alternating names and values of the trailers, if the body is complete.
    trailers: list[bytes]
    #: Calls running and waiting at the target, per slot.
    load: float
    #: Mean duration of calls at the target in seconds.
    mean_seconds: float = 0.0
    #: Whether the call failed because a nested call of the target was not served.
    lacks_inner: bool = False
    #: Packed notices of the target.
    notices: list[bytes] = field(factory=list)

    def check_fields(self) -> None:
        """Raise `ValueError` for what no daemon sends."""
        if not 100 <= self.status < 1000 or self.length < -1:
            raise ValueError(f"status {self.status}, length {self.length}")
        if self.trailers:
            _check_paired(self.trailers)


@frozen
class Refused:
    """The call was refused and has not run."""

    #: Reason for the refusal.
    reason: str
    #: Seconds to wait before a retry.
    retry_after: float
    #: Whether the call was refused because of overload.
    is_overload: bool
    #: Calls running and waiting at the target, per slot.
    load: float
    #: Whether the target itself refused.
    is_by_target: bool = False
    #: Mean duration of calls at the target in seconds, 0 if unknown.  Targets that become slow
    #: answer rarely and refuse often: reporting it in refusals too reduced late calls from 58 to
    #: 52 in 1,000 (eight seeds).
    mean_seconds: float = 0.0
    #: Whether the refusal concerns the call itself, so that every host would refuse it.
    is_barred: bool = False
    #: Packed notices of the target.
    notices: list[bytes] = field(factory=list)


@frozen
class Lost:
    """The call was sent to the target, but no complete answer was received."""

    #: Description of the failure.
    reason: str
    #: Whether the target terminated, possibly because of this call.
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


#: Encoded acknowledgements of a call; these messages have no fields.
ADMITTED: Final = CALL_CODEC.encode(Admitted())
QUEUED: Final = CALL_CODEC.encode(Queued())


@frozen
class ClaimRequest:
    """Claims an idempotency key for one call."""

    #: Digest of the key with its scope.
    key: bytes
    #: Identity of the claim.
    claim: bytes
    #: Host that requests the claim and would make the call.
    host: str


@frozen
class ClaimAnswer:
    """Result of a claim."""

    #: Whether the caller of this claim may make the call.
    granted: bool
    #: Claim that holds the key, this one or another; empty if the log did not answer.
    holder: bytes
    #: Host of the claim that holds the key.
    host: str
    #: Reason why the log did not answer.
    reason: str


@frozen
class ReleaseRequest:
    """Releases the key of a claim whose call has certainly not run and never will."""

    #: Digest of the key with its scope.
    key: bytes
    #: Identity of the claim.
    claim: bytes


@frozen
class OutcomeRequest:
    """Requests the outcome of the call of a claim."""

    #: Identity of the claim.
    claim: bytes
    #: Longest wait of the requester in seconds.
    within: float


@frozen
class OutcomeAnswer:
    """Stored answer of a call."""

    #: Whether an answer is stored.
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


def flatten_headers(headers: Headers) -> list[bytes]:
    """Return header fields as alternating names and values."""
    return [text for field in headers for text in field]


def unflatten_headers(texts: Iterable[bytes]) -> Headers:
    """Return header fields from alternating names and values."""
    items = iter(texts)
    return tuple(zip(items, items, strict=True))
