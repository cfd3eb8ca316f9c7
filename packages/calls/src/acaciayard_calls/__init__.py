"""The call path: accepts requests from callers, dispatches them to targets and returns responses.

A call with an idempotency key runs at most once.  Every failure response states whether the call
certainly did not run or whether its outcome is unknown.
"""

from ._attempt import Answered, Attempt, DispatchContext
from ._claimer import AlreadyClaimed, AnswerStore, Claimed, Claimer
from ._claims import ClaimCoordinator, ClaimHolder, ClaimTable
from ._connection_limits import ConnectionLimits, connection_limits
from ._dispatcher import Dispatcher
from ._entry import EntryServer
from ._levels import WINDOWS, LevelReport, ServiceLevels
from ._losses import Loss, loss_of

__all__ = [
    "AlreadyClaimed",
    "AnswerStore",
    "Answered",
    "Attempt",
    "ClaimCoordinator",
    "ClaimHolder",
    "ClaimTable",
    "Claimed",
    "Claimer",
    "ConnectionLimits",
    "DispatchContext",
    "Dispatcher",
    "EntryServer",
    "LevelReport",
    "Loss",
    "ServiceLevels",
    "WINDOWS",
    "connection_limits",
    "loss_of",
]
