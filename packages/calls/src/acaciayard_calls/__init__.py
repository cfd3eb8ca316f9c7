"""The call path: callers' calls to targets, whole, truthful and at most once."""

from ._attempt import Answered, Attempt, DispatchContext
from ._claimer import AlreadyClaimed, AnswerStore, Claimed, Claimer
from ._claims import ClaimCoordinator, ClaimHolder, ClaimTable
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
    "DispatchContext",
    "Dispatcher",
    "EntryServer",
    "LevelReport",
    "Loss",
    "ServiceLevels",
    "WINDOWS",
    "loss_of",
]
