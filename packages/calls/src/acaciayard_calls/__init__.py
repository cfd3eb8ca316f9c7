"""The call path: callers' calls to targets, whole, truthful and at most once."""

from ._admission import Gate, GatePolicy, Reservation, SlotHeld
from ._attempt import Answered, Attempt, CallParts
from ._budgets import CallerLimiter, RetryBudgets, SharedRetryBudgets
from ._call import Answer, Call, CallWatch, Exchange, NotRun, OutcomeUnknown
from ._candidates import Candidate
from ._claimer import AnswerStore, Claimed, Claimer, Taken
from ._claims import ClaimBook, ClaimHome, Holding
from ._dialect import OWN_DIALECT, Dialect
from ._dispatcher import Dispatcher
from ._entry import EntryServer
from ._events import NO_EVENTS, CallEnded, CallEvents, OfferEnded, Try
from ._levels import WINDOWS, LevelReport, ServiceLevels
from ._local import LocalExchange
from ._losses import Loss, loss_of
from ._messages import CLAIM_MESSAGES, ClaimAnswer, ClaimRequest, ReleaseRequest
from ._picker import Picker, trial_rank
from ._pool import StreamPool, call_pool
from ._remote import RemoteExchange
from ._router import Plan, Router
from ._server import CallServer
from ._suspects import ENDS_TO_BAR, SuspectNews, Suspects
from ._target import Announcement, CallAtWork, LocalTarget
from ._targets import ANNOUNCE_EVERY, LEASE, CallTold, Heard, LocalTargets, TargetNews

__all__ = [
    "ANNOUNCE_EVERY",
    "CLAIM_MESSAGES",
    "ENDS_TO_BAR",
    "LEASE",
    "NO_EVENTS",
    "OWN_DIALECT",
    "WINDOWS",
    "Announcement",
    "Answer",
    "AnswerStore",
    "Answered",
    "Attempt",
    "Call",
    "CallAtWork",
    "CallEnded",
    "CallEvents",
    "CallParts",
    "CallServer",
    "CallTold",
    "CallWatch",
    "CallerLimiter",
    "Candidate",
    "ClaimAnswer",
    "ClaimBook",
    "ClaimHome",
    "ClaimRequest",
    "Claimed",
    "Claimer",
    "Dialect",
    "Dispatcher",
    "EntryServer",
    "Exchange",
    "Gate",
    "GatePolicy",
    "Heard",
    "Holding",
    "LevelReport",
    "Loss",
    "LocalExchange",
    "LocalTarget",
    "LocalTargets",
    "NotRun",
    "OfferEnded",
    "OutcomeUnknown",
    "Picker",
    "Plan",
    "ReleaseRequest",
    "RemoteExchange",
    "Reservation",
    "RetryBudgets",
    "Router",
    "ServiceLevels",
    "SharedRetryBudgets",
    "SlotHeld",
    "StreamPool",
    "SuspectNews",
    "Suspects",
    "Taken",
    "TargetNews",
    "Try",
    "call_pool",
    "loss_of",
    "trial_rank",
]
