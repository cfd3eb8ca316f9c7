"""Spreading: every accepted version on every daemon, in order, whole and never back."""

from ._census import Census
from ._feeder import CONFIGURATION_STREAM, Feeder, LogState
from ._holder import AcceptedChange, Holder
from ._links import LinkKeeper
from ._messages import SPREAD_MESSAGES, StatusAnswer
from ._recovery import HeadReader, Recovery, RecoveryState
from ._service import Spread, spread
from ._session import Session, SessionContext
from ._snapshots import SnapshotSettings, SnapshotWriter
from ._topology import FEEDERS, feeders_of, is_feeder, upstream_of
from ._witnesses import WITNESSES, Witnesses

__all__ = [
    "CONFIGURATION_STREAM",
    "FEEDERS",
    "SPREAD_MESSAGES",
    "WITNESSES",
    "AcceptedChange",
    "Census",
    "Feeder",
    "HeadReader",
    "Holder",
    "LinkKeeper",
    "LogState",
    "Recovery",
    "RecoveryState",
    "Session",
    "SessionContext",
    "SnapshotSettings",
    "SnapshotWriter",
    "Spread",
    "StatusAnswer",
    "Witnesses",
    "feeders_of",
    "is_feeder",
    "spread",
    "upstream_of",
]
