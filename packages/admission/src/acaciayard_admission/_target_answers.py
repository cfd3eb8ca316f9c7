"""What an answer of a target says of the call, and of the connection that it came on."""

from __future__ import annotations

from typing import Final

from acaciayard_callmodel import Call, Dialect, NotRun
from acaciayard_http1 import ResponseHead, first_header

from ._gate import Gate

__all__ = ["fault_in", "may_reuse", "refused_by_target"]

#: Statuses that promise that a call has not run; a target must say so in so many words.
_PROMISING_STATUSES: Final = (408, 421, 429, 503)
#: Bytes of a body that a target has read with the head when it answers.
_SURELY_READ: Final = 4096
#: Seconds that a refused caller is told to wait where the target itself refused.
_REFUSED_RETRY_AFTER: Final = 0.02


def refused_by_target(status: int, gate: Gate) -> NotRun:
    """The refusal of a call by a target that the gate had let it through to.

    A target that refuses a part of its calls with slots free is not short of slots: its callers may
    come back at once, while their calls can still be in time.
    """
    is_full = gate.waiting > 0 or gate.running >= gate.slots
    return NotRun(
        f"the target refused the call with {status}",
        _REFUSED_RETRY_AFTER,
        is_overload=is_full,
        is_by_target=True,
    )


def may_reuse(head: ResponseHead, call: Call) -> bool:
    """Whether the connection may carry another call after this answer.

    A target may refuse a long body before it has read it, and read on later: another call on
    that connection would wait behind the rest, for a second and more.
    """
    may_be_early = head.status >= 300 and call.length > _SURELY_READ
    return head.keep_alive and not may_be_early


def fault_in(head: ResponseHead, call: Call, dialect: Dialect) -> str:
    """Why an answer cannot be passed on, empty when it can."""
    if dialect.response_signature and head.status < 300:
        if not first_header(head.headers, dialect.response_signature):
            return (
                f"the target answered {head.status} without {dialect.response_signature.decode()}"
            )
        if dialect.request_id and not first_header(head.headers, dialect.request_id):
            return f"the target answered {head.status} without saying to which request"
        if first_header(head.headers, b"content-encoding"):
            return "the body of the answer is encoded, though nobody asked for that"
    is_promise = dialect.not_run and head.status in _PROMISING_STATUSES
    if is_promise and not call.is_idempotent:
        return f"the target answered {head.status} and does not say that the call has not run"
    return ""
