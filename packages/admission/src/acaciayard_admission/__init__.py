"""Admission control at a target: its slots, its queue, its announcements, and calls sent to it."""

from ._caller_limits import CallerLimiter, retry_after_header
from ._gate import Gate, HeldSlot, Reservation
from ._grace import RecentDurations, RemainingGrace
from ._line_shares import GatePolicy
from ._local import LocalExchange
from ._retry_budgets import RetryBudgets, RetryDecision, SharedRetryBudgets
from ._starts import DEPARTURE_RETENTION_SECONDS
from ._suspects import ENDS_TO_BAR, SuspectEvent, Suspects
from ._target import Announcement, LocalTarget, RunningCall
from ._target_news import AnnouncementResult, LoggedCall, TargetEvent, UnrequestedBytes
from ._targets import ANNOUNCE_INTERVAL_SECONDS, LEASE_SECONDS, LocalTargets

__all__ = [
    "ANNOUNCE_INTERVAL_SECONDS",
    "Announcement",
    "AnnouncementResult",
    "CallerLimiter",
    "DEPARTURE_RETENTION_SECONDS",
    "ENDS_TO_BAR",
    "Gate",
    "GatePolicy",
    "HeldSlot",
    "LEASE_SECONDS",
    "LocalExchange",
    "LocalTarget",
    "LocalTargets",
    "LoggedCall",
    "RecentDurations",
    "RemainingGrace",
    "Reservation",
    "RetryBudgets",
    "RetryDecision",
    "RunningCall",
    "SharedRetryBudgets",
    "SuspectEvent",
    "Suspects",
    "TargetEvent",
    "UnrequestedBytes",
    "retry_after_header",
]
