"""Admission control at a target: its slots, its queue, its announcements, and calls sent to it."""

from ._budgets import CallerLimiter, RetryBudgets, SharedRetryBudgets, retry_after_header
from ._gate import Gate, Reservation, SlotHeld
from ._level_shares import GatePolicy
from ._local import LocalExchange
from ._suspects import ENDS_TO_BAR, SuspectNews, Suspects
from ._target import Announcement, CallAtWork, LocalTarget
from ._target_news import CallTold, Heard, TargetNews
from ._targets import ANNOUNCE_EVERY, LEASE, LocalTargets

__all__ = [
    "ANNOUNCE_EVERY",
    "Announcement",
    "CallAtWork",
    "CallTold",
    "CallerLimiter",
    "ENDS_TO_BAR",
    "Gate",
    "GatePolicy",
    "Heard",
    "LEASE",
    "LocalExchange",
    "LocalTarget",
    "LocalTargets",
    "Reservation",
    "RetryBudgets",
    "SharedRetryBudgets",
    "SlotHeld",
    "SuspectNews",
    "Suspects",
    "TargetNews",
    "retry_after_header",
]
