"""Canary rollouts of service versions with bounded exposure and automatic rollback.

An order names a service, a version and a duration. While its rollout runs, each daemon sends a
small share of its own calls to the new version, and reports the results of both versions to the
leading daemon. The leader rolls the version back as soon as it is shown to be worse. Otherwise it
moves all calls, waits until no call runs at the old version any more, and writes the success.

    book       versions that this daemon's calls may use  (`RolloutBook`, asked for each call)
    exposure   exposure limit, enforced per daemon        (`ExposureBudget`)
    evidence   aggregated results of calls                (`Tally`, `Evidence`)
    judges     whether the new version is worse           (`SequentialJudge`)
    conductor  decisions, and the status in the store     (`Conductor`)
"""

from ._book import (
    ANY_VERSION,
    BASE_LEASE,
    NEW_LEASE,
    NO_ROLLOUTS,
    RolloutBook,
    RolloutChange,
    RolloutRun,
    Versions,
)
from ._conductor import Conductor
from ._evidence import Evidence, RouteEvidence, SideCounts, Tally, bucket_of, evidence_of
from ._exposure import ExposureBudget
from ._fleet import Fleet, MemberStart
from ._judges import MIN_BASE_ANSWERS, Judge, Regression, SequentialJudge, slow_bucket
from ._orders import RolloutOrder, RolloutStatus, StatusFound, StatusLost, StatusStore
from ._states import (
    ROLLOUT_MESSAGES,
    Phase,
    ReportRow,
    Rollout,
    RolloutQuery,
    RolloutReport,
    RolloutUpdate,
    Side,
    Stage,
)

__all__ = [
    "ANY_VERSION",
    "BASE_LEASE",
    "NEW_LEASE",
    "NO_ROLLOUTS",
    "ROLLOUT_MESSAGES",
    "Conductor",
    "Evidence",
    "ExposureBudget",
    "Fleet",
    "Judge",
    "MIN_BASE_ANSWERS",
    "MemberStart",
    "Phase",
    "Regression",
    "ReportRow",
    "Rollout",
    "RolloutQuery",
    "RolloutBook",
    "RolloutChange",
    "RolloutOrder",
    "RolloutReport",
    "RolloutRun",
    "RolloutStatus",
    "RolloutUpdate",
    "RouteEvidence",
    "SequentialJudge",
    "Side",
    "SideCounts",
    "Stage",
    "StatusFound",
    "StatusLost",
    "StatusStore",
    "Tally",
    "Versions",
    "bucket_of",
    "evidence_of",
    "slow_bucket",
]
