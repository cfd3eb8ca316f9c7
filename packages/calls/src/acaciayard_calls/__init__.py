"""The call path: callers' calls to targets, whole, truthful and at most once."""

from ._admission import Gate, SlotHeld
from ._budgets import CallerLimiter, RetryBudgets
from ._call import Answer, Call, Exchange, NotRun, OutcomeUnknown
from ._claimer import AnswerStore, Claimed, Claimer, Taken
from ._claims import ClaimBook, ClaimHome, Holding
from ._dispatcher import Answered, Attempt, Dispatcher
from ._entry import EntryServer
from ._levels import WINDOWS, LevelReport, ServiceLevels
from ._local import LocalExchange
from ._messages import CLAIM_MESSAGES, ClaimAnswer, ClaimRequest, ReleaseRequest
from ._picker import Candidate, Picker
from ._pool import StreamPool, call_pool
from ._remote import RemoteExchange
from ._router import Plan, Router
from ._server import CallServer
from ._targets import ANNOUNCE_EVERY, LEASE, Announcement, LocalTarget, LocalTargets

__all__ = [
    "ANNOUNCE_EVERY",
    "CLAIM_MESSAGES",
    "LEASE",
    "WINDOWS",
    "Announcement",
    "Answer",
    "AnswerStore",
    "Answered",
    "Attempt",
    "Call",
    "CallServer",
    "CallerLimiter",
    "Candidate",
    "ClaimAnswer",
    "ClaimBook",
    "ClaimHome",
    "ClaimRequest",
    "Claimed",
    "Claimer",
    "Dispatcher",
    "EntryServer",
    "Exchange",
    "Gate",
    "Holding",
    "LevelReport",
    "LocalExchange",
    "LocalTarget",
    "LocalTargets",
    "NotRun",
    "OutcomeUnknown",
    "Picker",
    "Plan",
    "ReleaseRequest",
    "RemoteExchange",
    "RetryBudgets",
    "Router",
    "ServiceLevels",
    "SlotHeld",
    "StreamPool",
    "Taken",
    "call_pool",
]
