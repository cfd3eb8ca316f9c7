"""Classifies why a call was not answered successfully within its latency goal."""

from __future__ import annotations

from enum import Enum
from typing import Final

from acaciayard_callmodel import CallEnded, Try

__all__ = ["Loss", "loss_of"]

_SERVER_ERROR: Final = 500
#: Prefix of the outcome of an attempt that a host refused.
_REFUSED_PREFIX: Final = "refused"


class Loss(Enum):
    """Why a call missed its latency goal; the values are used in logs and metrics."""

    #: Answered late: its caller had been refused before, for longer than the goal.
    LATE_REPEAT = "late_repeat"
    #: Answered late: refused offers took more than half of the time.
    LATE_AFTER_OFFERS = "late_after_offers"
    #: Answered late: the first attempt failed or was slow, and a later one was answered.
    LATE_AFTER_TRY = "late_after_try"
    #: Answered late: it waited more than half of the time for responses to earlier requests of its
    #: connection.
    LATE_IN_TURN = "late_in_turn"
    #: Answered late by the first host that accepted it, after a long wait or run.
    LATE_AT_TARGET = "late_at_target"
    #: Refused because no host had a free slot, or a turn at a stated limit, in time.
    NO_SLOT = "no_slot"
    #: Refused by the target itself.
    BY_TARGET = "by_target"
    #: Refused for another reason, such as a draining target, no target or no configuration.
    NOT_TAKEN = "not_taken"
    #: Refused because the request crashes the targets that run it.
    BARRED = "barred"
    #: The target returned a server error.
    FAILED = "failed"
    #: Its response broke off, or was not complete before the deadline.
    CUT = "cut"
    #: It is unknown whether it ran.
    UNKNOWN = "unknown"
    #: The caller disconnected.
    CALLER_GONE = "caller_gone"


def loss_of(ended: CallEnded) -> Loss | None:
    """Why a call failed or missed its latency goal; `None` if it succeeded in time or has no goal.

    Example:
        loss_of(CallEnded(outcome="answered", status=200, ms=90.0, age_ms=240.0, goal_ms=200.0))
        # Loss.LATE_REPEAT
    """
    match ended.outcome:
        case "answered" if ended.status >= _SERVER_ERROR:
            return Loss.FAILED
        case "answered":
            is_late = 0 < ended.goal_ms < ended.age_ms + ended.ms
            return _why_late(ended) if is_late else None
        case "not_run" if ended.is_barred:
            return Loss.BARRED
        case "not_run" if ended.is_by_target:
            return Loss.BY_TARGET
        case "not_run" if ended.is_overload:
            return Loss.NO_SLOT
        case "not_run" | "rejected":
            return Loss.NOT_TAKEN
        case "unknown":
            return Loss.UNKNOWN
        case "cut":
            return Loss.CUT
    return Loss.CALLER_GONE


def _why_late(ended: CallEnded) -> Loss:
    if ended.age_ms >= ended.goal_ms:
        return Loss.LATE_REPEAT
    if ended.held_ms > ended.ms / 2:
        return Loss.LATE_IN_TURN
    if sum(not _was_refused(each) for each in ended.tries) > 1:
        return Loss.LATE_AFTER_TRY
    if sum(each.ms for each in ended.tries if _was_refused(each)) > ended.ms / 2:
        return Loss.LATE_AFTER_OFFERS
    return Loss.LATE_AT_TARGET


def _was_refused(each: Try) -> bool:
    return each.outcome.startswith(_REFUSED_PREFIX)
