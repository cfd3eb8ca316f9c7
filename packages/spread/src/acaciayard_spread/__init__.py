"""Replication of the configuration: every accepted version reaches every daemon, in order.

Versions are put in force as a whole, and never an older one after a newer one.
"""

from ._census import StatusCollector
from ._feeder import CONFIGURATION_STREAM, Feeder, LogState
from ._holder import AcceptedChange, Holder
from ._links import SessionManager
from ._messages import SPREAD_MESSAGES, StatusAnswer
from ._recovery import HeadReader, Recovery, RecoveryState
from ._service import Spread, spread
from ._session import Session, SessionContext
from ._snapshots import SnapshotSettings, SnapshotWriter
from ._topology import FEEDERS, feeders_of, is_feeder, upstream_of
from ._witnesses import REQUIRED_WITNESSES, Witnesses

__all__ = [
    "CONFIGURATION_STREAM",
    "FEEDERS",
    "REQUIRED_WITNESSES",
    "SPREAD_MESSAGES",
    "AcceptedChange",
    "Feeder",
    "HeadReader",
    "Holder",
    "LogState",
    "Recovery",
    "RecoveryState",
    "Session",
    "SessionContext",
    "SessionManager",
    "SnapshotSettings",
    "SnapshotWriter",
    "Spread",
    "StatusAnswer",
    "StatusCollector",
    "Witnesses",
    "feeders_of",
    "is_feeder",
    "spread",
    "upstream_of",
]
