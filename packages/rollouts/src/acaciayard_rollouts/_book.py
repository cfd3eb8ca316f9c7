"""The rollout state of one daemon: versions that calls may use, and results of both."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final

from attrs import define, field, frozen

from acaciayard_logservice import era_of, offset_of
from acaciayard_timers import EventLoopTimers, TimerService

from ._evidence import Tally
from ._exposure import ExposureBudget
from ._states import Phase, Rollout, RolloutReport, Side, Stage

__all__ = [
    "ANY_VERSION",
    "BASE_LEASE",
    "ORDER_HOLD_SECONDS",
    "NEW_LEASE",
    "NO_ROLLOUTS",
    "RolloutBook",
    "RolloutChange",
    "RolloutRun",
    "Versions",
]

#: Seconds after the last update on a rollout for which calls may still go to the new version.
#: Updates come every 0.4 s; a version found to be bad must get no calls after 5 s, even from a
#: daemon that doesn't receive the rollback.
NEW_LEASE: Final = 1.5
#: The same for the old version: an unreachable daemon must have stopped using it before the old
#: targets are told to stop. A failed leader is replaced within about 2 s.
BASE_LEASE: Final = 4.0
#: Seconds for which an order first seen in a new era of the store waits for the known order.
#: Operators rewrite what a restored copy lacks, and until then the copy shows an earlier order.
ORDER_HOLD_SECONDS: Final = 4.0
#: Share of the allowed exposure that a version on trial uses. It is small so that most of the
#: exposure is left for the moment at which the new version must take all calls.
_TRIAL_SHARE: Final = 0.2
#: Retry delay, in seconds, of a caller whose call neither version may take for a moment; the next
#: update on the rollout arrives within this time.
_RETRY_AFTER: Final = 0.4


@frozen
class Versions:
    """The versions of a service that a call may use.

    `ANY_VERSION` allows all running versions.
    """

    #: The only version allowed; empty if all but `excluded` are.
    only: str = ""
    #: A version that is not allowed; empty for none.
    excluded: str = ""
    #: The side of a rollout that these versions are on; `None` without a running rollout.
    side: Side | None = None
    #: Why no version is allowed at present; empty if one is.
    refusal: str = ""
    #: Seconds after which a refused caller should retry.
    retry_after: float = _RETRY_AFTER

    def admits(self, version: str) -> bool:
        """Whether a call may go to a target of this version."""
        if self.refusal:
            return False
        if self.only:
            return version == self.only
        return not version or version != self.excluded


#: No rollout of the service is known.
ANY_VERSION: Final = Versions()


@frozen
class RolloutChange:
    """A change of a rollout as this daemon knows it, for logs."""

    #: The rollout after the change.
    rollout: Rollout
    #: Origin of the change: `store`, `member` or `verdict`.
    source: str
    #: Why this daemon decided so; empty if another one did.
    reason: str = ""


@define(eq=False)
class _Entry:
    """Local state of one rollout."""

    #: The rollout as this daemon knows it.
    rollout: Rollout
    #: Limits the calls that this daemon sends to the new version.
    budget: ExposureBudget
    #: When the order was given, as far as is known, on the clock of the timer service.
    started: float
    #: When the last update arrived, on the clock of the timer service.
    updated_at: float
    #: Results of calls to both versions.
    tally: Tally = field(factory=Tally)
    #: Calls from this daemon that run at the old version.
    base_running: int = 0
    #: Positions of the order in earlier eras of the store.
    earlier_positions: set[int] = field(factory=set)
    #: Whether this daemon knew an order before this one. An update that names an earlier position
    #: not in `earlier_positions` is then about that order.
    is_successor: bool = False

    def is_about(self, rollout: Rollout) -> bool:
        """Whether an update that names an earlier position is still about this order."""
        if rollout.order in self.earlier_positions:
            return True
        return not self.is_successor and self.rollout.is_rewrite_of(rollout)

    def set_position(self, position: int) -> None:
        """Set the order's position to a later one and keep all other state."""
        self.earlier_positions.add(self.rollout.order)
        self.rollout = self.rollout.with_changes(order=position)


class RolloutRun:
    """A call that runs at a target of one of the two versions."""

    def __init__(
        self,
        entry: _Entry,
        side: Side,
        route: str,
        host: str,
        timers: TimerService,
        *,
        is_cold: bool,
    ) -> None:
        self._is_cold = is_cold
        self._timers = timers
        self._started = timers.now()
        self._entry = entry
        self._side = side
        self._route = route
        self._host = host
        self._is_over = False
        if not is_cold:
            entry.tally.begin(self, route, side, self._started)
        if side is Side.NEW:
            entry.budget.spend()
        else:
            entry.base_running += 1

    def end_refused(self) -> None:
        """End a call that no target has received."""
        if self._finish() and self._side is Side.NEW:
            self._entry.budget.give_back()

    def end_unknown(self) -> None:
        """End a call that a target may have received, without a result for its version."""
        self._finish()

    def end(self, *, is_bad: bool) -> None:
        """End a call that a target has answered or failed to answer."""
        if self._finish():
            seconds = None if self._is_cold else self._timers.now() - self._started
            self._entry.budget.note_answer()
            self._entry.tally.note(
                self._route, self._side, host=self._host, seconds=seconds, is_bad=is_bad
            )

    def _finish(self) -> bool:
        """Mark the call as ended and return whether it was still running."""
        if self._is_over:
            return False
        self._is_over = True
        self._entry.tally.end(self)
        if self._side is Side.BASE:
            self._entry.base_running -= 1
        return True


class RolloutBook:
    """The rollouts as this daemon knows them, and the state of its own calls.

    Example:
        versions = book.versions("quotes")          # ANY_VERSION without a rollout
        if versions.admits(target.version): ...
        run = book.begin("quotes", "quote-lookup", version="v2", host="near-1")
        ...
        if run is not None:
            run.end(is_bad=False)
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        exposure_share: float,
        seed: random.Random | None = None,
        tell: Callable[[RolloutChange], None] = lambda _news: None,
    ) -> None:
        self._timers = timers
        self._share = exposure_share
        self._seed = seed or random.Random()
        self._tell = tell
        self._entries: dict[str, _Entry] = {}
        #: Possibly older orders of a new era that a member has sent, with the time of the first
        #: update.
        self._unconfirmed: dict[str, tuple[int, float]] = {}
        #: Service, offset and version of orders that were followed by another order.
        self._superseded: set[tuple[str, int, str]] = set()

    # --- rollout state ----------------------------------------------------------------------------

    @property
    def all(self) -> tuple[Rollout, ...]:
        """All known rollouts with their present age."""
        now = self._timers.now()
        return tuple(
            entry.rollout.with_changes(age_s=max(0.0, now - entry.started))
            for entry in self._entries.values()
        )

    def find(self, service: str) -> Rollout | None:
        """Return the newest rollout of a service, or `None` if none is known."""
        entry = self._entries.get(service)
        if entry is None:
            return None
        age = max(0.0, self._timers.now() - entry.started)
        return entry.rollout.with_changes(age_s=age)

    @property
    def knows_orders(self) -> bool:
        """Whether operators give rollout orders on this platform; if not, versions are ignored."""
        return self._share > 0

    @property
    def running(self) -> int:
        """Number of undecided rollouts."""
        return sum(entry.rollout.is_running for entry in self._entries.values())

    @property
    def exposed(self) -> int:
        """Calls that this daemon sent to new versions, over the newest order of each service."""
        return sum(entry.budget.spent for entry in self._entries.values())

    def merge(self, rollouts: Iterable[Rollout], *, source: str, reason: str = "") -> None:
        """Merge updates on rollouts; an outdated one changes nothing and renews no lease."""
        for rollout in rollouts:
            entry = self._entries.get(rollout.service)
            if entry is not None and self._is_stale_order(rollout, entry):
                continue
            if entry is not None and self._is_unconfirmed(rollout, entry):
                continue
            self._unconfirmed.pop(rollout.service, None)
            if entry is None or self._is_later(rollout, entry):
                self._begin_order(rollout, source, reason)
            else:
                self._merge_known(entry, rollout, source, reason)

    @staticmethod
    def _is_later(rollout: Rollout, entry: _Entry) -> bool:
        """Whether an update is about an order later than the known one."""
        known = entry.rollout
        return rollout.order > known.order and not rollout.is_rewrite_of(known)

    def _is_stale_order(self, rollout: Rollout, entry: _Entry) -> bool:
        """Whether an update is about a superseded order that a restored store shows again."""
        known = entry.rollout
        return (
            era_of(rollout.order) != era_of(known.order)
            and not rollout.is_rewrite_of(known)
            and self.is_superseded(rollout.service, rollout.order, rollout.version)
        )

    def _is_unconfirmed(self, rollout: Rollout, entry: _Entry) -> bool:
        """Whether the sender may have read an older order from a copy without knowing a later one.

        An update whose sender knows the order that is known here names it in `follows`, and applies
        at once.
        """
        known = entry.rollout
        if era_of(rollout.order) == era_of(known.order) or not self._is_later(rollout, entry):
            return False
        if rollout.follows >= known.order or rollout.follows in entry.earlier_positions:
            return False
        now = self._timers.now()
        order, since = self._unconfirmed.setdefault(rollout.service, (rollout.order, now))
        if order != rollout.order:
            self._unconfirmed[rollout.service] = (rollout.order, now)
            return True
        return now - since < ORDER_HOLD_SECONDS

    def _begin_order(self, rollout: Rollout, source: str, reason: str) -> None:
        now = self._timers.now()
        before = self._entries.get(rollout.service)
        if before is not None:
            positions = before.earlier_positions | {before.rollout.order}
            self._superseded |= {
                (rollout.service, offset_of(p), before.rollout.version) for p in positions
            }
        self._entries[rollout.service] = _Entry(
            rollout,
            ExposureBudget(self._share),
            started=now - rollout.age_s,
            updated_at=now,
            is_successor=before is not None,
        )
        self._tell(RolloutChange(rollout, source, reason))

    def _merge_known(self, entry: _Entry, rollout: Rollout, source: str, reason: str) -> None:
        """Merge an update on a known order, whichever position of the order the sender uses."""
        now = self._timers.now()
        if rollout.order > entry.rollout.order:
            before = entry.rollout
            entry.set_position(rollout.order)
            rewrite_reason = f"written again in era {era_of(rollout.order)} of the store"
            if rollout.rank <= before.with_changes(order=rollout.order).rank:
                self._tell(RolloutChange(entry.rollout, source, rewrite_reason))
        elif rollout.order < entry.rollout.order and entry.is_about(rollout):
            entry.earlier_positions.add(rollout.order)
            rollout = rollout.with_changes(order=entry.rollout.order)
        if rollout.rank < entry.rollout.rank:
            return
        entry.updated_at = now
        entry.started = min(entry.started, now - rollout.age_s)
        if rollout.rank > entry.rollout.rank:
            base = entry.rollout.base or rollout.base
            entry.rollout = rollout.with_changes(base=base)
            self._tell(RolloutChange(rollout, source, reason))

    def is_superseded(self, service: str, order: int, version: str) -> bool:
        """Whether an order of this version at this offset was followed by another one, in any era.

        Records that a store keeps when its era changes stay at their offsets.
        """
        return (service, offset_of(order), version) in self._superseded

    def former_positions(self, service: str, order: int) -> frozenset[int]:
        """Positions in earlier eras of a service's newest order, if that is `order`."""
        entry = self._entries.get(service)
        if entry is None or entry.rollout.order != order:
            return frozenset()
        return frozenset(entry.earlier_positions)

    # --- calls ------------------------------------------------------------------------------------

    def versions(self, service: str) -> Versions:
        """The versions that the next call to a service may use.

        A call that may go to the version on trial falls back to the old version if no target is
        found.
        """
        if not self._entries:
            return ANY_VERSION
        entry = self._entries.get(service)
        if entry is None:
            return ANY_VERSION
        rollout = entry.rollout
        match rollout.phase:
            case Phase.SUCCEEDED:
                return Versions(only=rollout.version)
            case Phase.ROLLED_BACK:
                return _base_of(rollout)
        since_update = self._timers.now() - entry.updated_at
        if since_update > BASE_LEASE:
            return Versions(refusal="this daemon has no word of the rollout of the service")
        may_use_new = since_update <= NEW_LEASE and entry.budget.has_room
        if rollout.stage == Stage.FULL:
            if may_use_new:
                return Versions(only=rollout.version, side=Side.NEW)
            return Versions(refusal="the rollout of the service is about to be decided")
        if may_use_new and self._seed.random() < _TRIAL_SHARE * self._share:
            return Versions(only=rollout.version, side=Side.NEW)
        return _base_of(rollout)

    def base_versions(self, service: str) -> Versions:
        """The versions for a call that found no target of the version on trial."""
        entry = self._entries.get(service)
        if entry is None or entry.rollout.stage == Stage.FULL:
            return self.versions(service)
        return _base_of(entry.rollout)

    def begin(
        self, service: str, route: str, *, version: str, host: str, is_cold: bool = False
    ) -> RolloutRun | None:
        """Register a call to a target; return `None` if no rollout of its service is running.

        All exposure is counted here, including retries and repeated calls. With `is_cold`, set for
        a target that has just started, the latency of the call is not counted.
        """
        entry = self._entries.get(service)
        if entry is None or not entry.rollout.is_running:
            return None
        side = Side.NEW if version == entry.rollout.version else Side.BASE
        return RolloutRun(entry, side, route, host, self._timers, is_cold=is_cold)

    # --- reports ----------------------------------------------------------------------------------

    def reports(self, host: str, incarnation: int) -> tuple[RolloutReport, ...]:
        """Reports of this daemon on all running rollouts."""
        return tuple(
            RolloutReport(
                host=host,
                incarnation=incarnation,
                service=service,
                order=entry.rollout.order,
                stage=entry.rollout.stage,
                total=entry.budget.total,
                spent=entry.budget.spent,
                base_running=entry.base_running,
                rows=entry.tally.rows(self._timers.now()),
                bad_hosts=entry.tally.bad_hosts,
            )
            for service, entry in self._entries.items()
            if entry.rollout.is_running
        )


#: For daemons on platforms without rollouts.
NO_ROLLOUTS: Final = RolloutBook(timers=EventLoopTimers(), exposure_share=0.0)


def _base_of(rollout: Rollout) -> Versions:
    """The version that ran before; if that is unknown, all but the version of the order."""
    side = Side.BASE if rollout.is_running else None
    return Versions(only=rollout.base, excluded=rollout.version, side=side)
