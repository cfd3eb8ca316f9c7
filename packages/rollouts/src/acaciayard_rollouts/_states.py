"""State and messages of a service's rollout that daemons share."""

from __future__ import annotations

from enum import IntEnum
from typing import Any, Final

from attrs import evolve, field, frozen
from attrs.validators import ge, in_

from acaciayard_logservice import era_of

__all__ = [
    "ROLLOUT_MESSAGES",
    "Phase",
    "ReportRow",
    "Rollout",
    "RolloutQuery",
    "RolloutReport",
    "RolloutUpdate",
    "Side",
    "Stage",
]


class Phase(IntEnum):
    """Phase of a rollout; when merging states of one order, the later phase in this list wins.

    A success is assumed only once the store holds it, where the two final phases exclude each
    other. It therefore overrides a rollback that a daemon has announced before it is in the store.
    """

    #: Calls are being moved.
    RUNNING = 0
    #: The new version gets no calls any more.
    ROLLED_BACK = 1
    #: The new version gets all calls.
    SUCCEEDED = 2


class Stage(IntEnum):
    """Stage of a running rollout; it never goes back."""

    #: A small share of calls goes to the new version.
    TRIAL = 0
    #: All calls go to the new version as far as the exposure allows; none to the old one.
    FULL = 1


class Side(IntEnum):
    """The two versions of a rollout."""

    #: The version that ran before.
    BASE = 0
    #: The version that the order names.
    NEW = 1


@frozen
class Rollout:
    """A service that moves, or has moved, to another version.

    Example:
        rollout = Rollout("quotes", version="v2", base="v1", order=17, duration_s=14.0)
        rollout.with_changes(phase=Phase.ROLLED_BACK).rank > rollout.rank    # True
    """

    #: Name of the service.
    service: str
    #: The version that the order names.
    version: str
    #: The version that ran when the order arrived; empty if unknown.
    base: str
    #: Position of the order in the store; later orders have greater positions.
    order: int = field(validator=ge(0))
    #: Seconds within which the operator wants a decision.
    duration_s: float = field(validator=ge(0))
    #: Phase of the rollout, a `Phase`.
    phase: int = field(default=Phase.RUNNING, validator=in_(frozenset(Phase)))
    #: Stage of the rollout, a `Stage`.
    stage: int = field(default=Stage.TRIAL, validator=in_(frozenset(Stage)))
    #: Seconds between the first sight of the order and the creation of this object.
    age_s: float = field(default=0.0, validator=ge(0))
    #: Position of the preceding order as far as the sender knows; 0 for none.
    follows: int = field(default=0, validator=ge(0))

    def with_changes(self, **changes: Any) -> Rollout:
        """Return a copy with some attributes changed."""
        return evolve(self, **changes)

    @property
    def rank(self) -> tuple[int, int, int]:
        """Sort key of all states of one service's rollouts; the greatest wins."""
        return (self.order, self.phase, self.stage)

    @property
    def is_running(self) -> bool:
        """Whether it is not decided yet."""
        return self.phase == Phase.RUNNING

    def is_rewrite_of(self, other: Rollout) -> bool:
        """Whether both orders have the same content and were read in different eras of the store.

        An order that is rewritten after the store was restored from an older copy has another
        position. Two orders of the same content in one era are different orders.
        """
        return (
            era_of(self.order) != era_of(other.order)
            and (self.service, self.version) == (other.service, other.version)
            and self.duration_s == other.duration_s
        )


@frozen
class RolloutUpdate:
    """Datagram to all daemons with the state of rollouts; it renews their leases."""

    #: The rollouts.
    rollouts: tuple[Rollout, ...]


@frozen
class ReportRow:
    """Cumulative results of one daemon's calls to one version on one route since the order."""

    #: Name of the route; empty for those beyond the separately counted ones.
    route: str
    #: The version, a `Side`.
    side: int = field(validator=in_(frozenset(Side)))
    #: Calls that ended at a target.
    answers: int = field(validator=ge(0))
    #: Calls that failed: error responses, broken responses and missing ones.
    bad: int = field(validator=ge(0))
    #: Successful calls by latency bucket, see `bucket_of`.
    times: list[int]
    #: Running calls by the bucket of their age.
    running: list[int]


@frozen
class RolloutReport:
    """Datagram to the leading daemon with the results of one daemon's calls."""

    #: Name of the host.
    host: str
    #: Incarnation of its daemon; counts start from zero with each.
    incarnation: int
    #: Name of the service.
    service: str
    #: Position of the order.
    order: int
    #: The latest stage known to this daemon; from `FULL` on it sends no calls to the old version.
    stage: int
    #: Calls of this daemon that ended at a target of either version.
    total: int
    #: Calls of this daemon that were sent to the new version.
    spent: int
    #: Calls of this daemon that run at the old version.
    base_running: int
    #: Results by route and version.
    rows: tuple[ReportRow, ...]
    #: Targets of the new version that have failed a call, as short hashes of their hosts' names.
    bad_hosts: list[int]


@frozen
class RolloutQuery:
    """Datagram of a starting daemon that requests the state of rollouts."""

    #: Name of the host that sends the request.
    host: str


ROLLOUT_MESSAGES: Final[dict[int, type]] = {
    70: RolloutUpdate,
    71: RolloutReport,
    72: RolloutQuery,
}
