"""Interprets the answers of targets: refusals, faults, and reuse of the connection."""

from __future__ import annotations

import re
from typing import Final

from acaciayard_callmodel import Call, Dialect, NotRun
from acaciayard_http1 import ResponseHead, first_header

from ._gate import Gate

__all__ = ["fault_in", "may_reuse", "refused_by_target", "stated_idle_timeout"]

#: Statuses that imply that a call has not run; a target must state that with the header for it.
_NOT_RUN_STATUSES: Final = (408, 421, 429, 503)
#: Bytes of a request body that a target is assumed to have read with the head when it answers.
_ASSUMED_READ_BYTES: Final = 4096
_KEEP_ALIVE_TIMEOUT: Final = re.compile(rb"(?:^|[\s,])timeout=([0-9]{1,9})(?:$|[\s,])")
#: Retry delay given to the caller of a call that the target itself refused.
_REFUSED_RETRY_AFTER_SECONDS: Final = 0.02


def refused_by_target(status: int, gate: Gate) -> NotRun:
    """Return the outcome of a call that the gate admitted and the target refused.

    A target that refuses calls while slots are free is not overloaded: the callers may retry at
    once, while their calls can still meet their deadlines.
    """
    is_full = gate.waiting > 0 or gate.running >= gate.slots
    return NotRun(
        f"the target refused the call with {status}",
        _REFUSED_RETRY_AFTER_SECONDS,
        is_overload=is_full,
        is_by_target=True,
    )


def may_reuse(head: ResponseHead, call: Call) -> bool:
    """Return whether the connection may carry another call after this answer.

    A target may refuse a long body before it has read all of it, and read the rest later.  Another
    call on the connection would wait for that, for a second or more.
    """
    may_precede_body = head.status >= 300 and call.length > _ASSUMED_READ_BYTES
    return head.keep_alive and not may_precede_body


def stated_idle_timeout(head: ResponseHead) -> float | None:
    """Return after how many idle seconds the target closes the connection, if it states that."""
    match = _KEEP_ALIVE_TIMEOUT.search(first_header(head.headers, b"keep-alive"))
    return float(match[1]) if match else None


def fault_in(head: ResponseHead, call: Call, dialect: Dialect) -> str:
    """Return why an answer cannot be forwarded, or an empty string if it can."""
    if dialect.response_signature and head.status < 300:
        if not first_header(head.headers, dialect.response_signature):
            return (
                f"the target answered {head.status} without {dialect.response_signature.decode()}"
            )
        if first_header(head.headers, b"content-encoding"):
            return "the body of the answer is encoded, though nobody asked for that"
    claims_not_run = dialect.not_run and head.status in _NOT_RUN_STATUSES
    if claims_not_run and not call.is_idempotent:
        return f"the target answered {head.status} and does not say that the call has not run"
    return ""
