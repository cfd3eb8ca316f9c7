"""Leads rollouts: accepts orders, aggregates reports, decides, and writes the status.

Each daemon has a conductor, and only that of the leading daemon acts. A conductor can be lost
without harm: all daemons know the rollouts, counts only grow and are reported again, and
conditional writes to the store exclude conflicting decisions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

from acaciayard_logservice import offset_of
from acaciayard_timers import TimerService

from ._book import BASE_LEASE, RolloutBook
from ._case import RolloutCase
from ._evidence import Evidence, evidence_of
from ._fleet import Fleet, MemberStart
from ._held_orders import HeldOrders
from ._judges import Judge, SequentialJudge, slow_after
from ._orders import RolloutOrder, RolloutStatus, StatusFound, StatusLost, StatusStore, rollout_of
from ._states import Phase, Rollout, RolloutReport, Stage

__all__ = ["Conductor"]

#: Share of an order's duration after which all calls are moved if nothing speaks against the new
#: version. Each daemon may then send it a tenth of all its calls so far, less those of the trial.
#: With a duration of 14 s these are all its calls of 0.9 s, about as long as the last calls at the
#: old version take.
_FULL_STAGE_START_SHARE: Final = 0.78
#: Share of an order's duration after which an undecided rollout is rolled back.
_DECISION_DEADLINE_SHARE: Final = 0.97
#: Answers of the new version required before all calls are moved. With odds of 1,000 a version that
#: fails one call in four is detected after 12 to 20 answers.
_MIN_ANSWERS: Final = 20
#: With fewer calls of the service than this, fewer answers suffice.
_LOW_TRAFFIC_CALLS: Final = 300
#: Share of an order's duration after which few answers suffice for a service with little traffic.
#: The exposure limit bounds the damage that such a version can do.
_LATE_TRIAL_SHARE: Final = 0.85
_MIN_LATE_ANSWERS: Final = 5
#: Seconds for which the new version serves all calls before its success is written, in addition to
#: the time in which nine of ten calls are answered. This reveals a version that is bad under load.
_FULL_STAGE_SECONDS: Final = 0.4
#: Slots of the new version, as a share of the old version's, that suffice for the full load.
_MIN_SLOTS_RATIO: Final = 0.8
#: Seconds between two attempts to access the store.
_RETRY_DELAY: Final = 0.2
#: Attempts to write one decision before the rollout is evaluated again.
_MAX_ATTEMPTS: Final = 5
#: Most writes that move the end of the statuses past the positions of an earlier era; a copy that
#: is some seconds old lacks two or three.
_MAX_FENCING_WRITES: Final = 8


class Conductor:
    """Decides on rollouts while this daemon leads."""

    def __init__(
        self,
        *,
        book: RolloutBook,
        fleet: Fleet,
        store: StatusStore,
        timers: TimerService,
        seed: random.Random,
        judge: Judge | None = None,
        note: Callable[[str, dict[str, object]], None] = lambda _event, _fields: None,
    ) -> None:
        self._book = book
        self._fleet = fleet
        self._store = store
        self._timers = timers
        self._seed = seed
        self._judge = judge or SequentialJudge()
        self._note = note
        self._cases: dict[tuple[str, int], RolloutCase] = {}
        self._held = HeldOrders(
            book=book,
            fleet=fleet,
            store=store,
            timers=timers,
            begin=lambda order, known, age: self._begin(order, known, age=age),
            note=note,
        )
        #: Position of the end of the statuses, as far as is known.
        self._statuses_end = 0
        #: The greatest offset that a conditional write of an earlier era may name.
        self._fence = 0

    # --- input ------------------------------------------------------------------------------------

    def take_order(self, order: RolloutOrder) -> None:
        """Accept an order read from the store; a known order has no effect."""
        known = self._book.find(order.service)
        if known is not None and known.order >= order.order:
            return
        if known is not None and self._held.may_be_older(order, known):
            self._held.hold(order)
            return
        self._held.drop(order.service)
        self._begin(order, known)

    def _begin(self, order: RolloutOrder, known: Rollout | None, *, age: float = 0.0) -> None:
        rollout = rollout_of(order, base=self._base_for(order, known), age=age)
        if known is not None:
            rollout = rollout.with_changes(follows=known.order)
        self._book.merge([rollout], source="store")

    def note_era(self) -> None:
        """Note that the store was restored from another copy.

        Conditions of writes before that must not hold by accident. Operators rewrite the orders
        that the copy lacks. Each gets a position in the new era, for which no status is known, so
        its status is written again.
        """
        self._fence = max(self._fence, offset_of(self._statuses_end))

    def _base_for(self, order: RolloutOrder, known: Rollout | None) -> str:
        """The version that runs now: the result of the last rollout, or that of most targets."""
        if known is not None:
            base = known.version if known.phase == Phase.SUCCEEDED else known.base
            return base if base != order.version else ""
        hosts = self._fleet.hosts(order.service)
        del hosts[order.version]
        return min(hosts, key=lambda version: (-hosts[version], version), default="")

    def take_report(self, report: RolloutReport) -> None:
        """Record a daemon's report; the one with the greatest counts of each start is kept."""
        case = self._case(report.service, report.order)
        start = MemberStart(report.host, report.incarnation)
        case.record_report(start, report)
        if report.stage == Stage.FULL and report.base_running == 0:
            case.drained[start] = self._timers.now()

    def _case(self, service: str, order: int) -> RolloutCase:
        case = self._cases.setdefault((service, order), RolloutCase())
        for former in self._book.former_positions(service, order):
            earlier = self._cases.pop((service, former), None)
            if earlier is not None:
                case.adopt(earlier)
        return case

    def evidence(self, rollout: Rollout) -> Evidence:
        """Aggregate all reports on a rollout."""
        case = self._case(rollout.service, rollout.order)
        hosts = self._fleet.hosts(rollout.service)[rollout.version]
        return evidence_of(case.reports.values(), new_hosts=hosts)

    @property
    def newest_order(self) -> int:
        """Position of the newest order that is known or held, 0 if there is none."""
        return max(self._held.newest, *(each.order for each in self._book.all), 0)

    # --- decisions --------------------------------------------------------------------------------

    def look(self) -> None:
        """Make all decisions that are due if this daemon leads, without accessing the store."""
        self._held.recheck()
        if self._fleet.leads():
            for rollout in self._book.all:
                if rollout.is_running:
                    self._decide(rollout)

    @property
    def is_settled(self) -> bool:
        """Whether the store has the current phase of all rollouts, as far as this daemon knows."""
        return not self._held.has_any and all(
            self._case(each.service, each.order).written == each.phase for each in self._book.all
        )

    async def settle(self) -> None:
        """Write the current phase of all rollouts to the store if this daemon leads."""
        await self._held.release()
        for rollout in self._book.all:
            if self._fleet.leads():
                await self._write(rollout)

    def _decide(self, rollout: Rollout) -> None:
        """Advance a rollout to its next stage, or roll it back."""
        evidence = self.evidence(rollout)
        regression = self._judge.regression(evidence)
        if regression is not None:
            self._move(rollout, phase=Phase.ROLLED_BACK, reason=str(regression))
        elif rollout.age_s >= rollout.duration_s * _DECISION_DEADLINE_SHARE:
            reason = f"its time was over; {self._blocker(rollout, evidence) or 'calls still ran'}"
            self._move(rollout, phase=Phase.ROLLED_BACK, reason=reason)
        elif rollout.stage == Stage.TRIAL and not self._blocker(rollout, evidence):
            self._move(rollout, stage=Stage.FULL, reason=f"{evidence.new_answers} answers")
            self._case(rollout.service, rollout.order).full_since = self._timers.now()

    def _move(
        self,
        rollout: Rollout,
        *,
        reason: str,
        phase: Phase = Phase.RUNNING,
        stage: Stage | None = None,
    ) -> None:
        moved = rollout.with_changes(
            phase=int(phase), stage=int(stage if stage is not None else rollout.stage)
        )
        self._book.merge([moved], source="verdict", reason=reason)

    def _blocker(self, rollout: Rollout, evidence: Evidence) -> str:
        """Why the new version may not take all calls yet; empty if it may."""
        if rollout.stage == Stage.FULL:
            return ""
        if rollout.age_s < rollout.duration_s * _FULL_STAGE_START_SHARE:
            return "its trial lasts"
        is_late = rollout.age_s >= rollout.duration_s * _LATE_TRIAL_SHARE
        least = _MIN_LATE_ANSWERS if is_late else _MIN_ANSWERS
        if evidence.all_answers < _LOW_TRAFFIC_CALLS:
            least = 1
        if evidence.new_answers < least:
            return f"{evidence.new_answers} answers of it"
        slots = self._fleet.slots(rollout.service)
        new = slots[rollout.version]
        base = sum(slots.values()) - new
        return "" if new >= _MIN_SLOTS_RATIO * base else f"{new} slots of it against {base}"

    def _is_complete(self, rollout: Rollout) -> bool:
        """Whether no call can run at the old version and the new one handles the full load."""
        case = self._case(rollout.service, rollout.order)
        if not case.full_since:
            case.full_since = self._timers.now()  # another daemon led when all calls were moved
        usual = slow_after(self.evidence(rollout).routes[""].base)
        earliest_success = case.full_since + _FULL_STAGE_SECONDS + usual
        if self._timers.now() < earliest_success:
            return False
        if not self._fleet.has_majority():
            return False
        # A daemon lost recently may only be partitioned, and sends calls until its lease expires.
        expected = self._fleet.present() | self._fleet.lost_within(BASE_LEASE)
        return all(case.drained.get(start, -math.inf) >= earliest_success for start in expected)

    # --- store access -----------------------------------------------------------------------------

    async def _write(self, rollout: Rollout) -> None:
        """Write the rollout's phase to the store, with retries."""
        case = self._case(rollout.service, rollout.order)
        if case.written in (self._expected_phase(rollout), Phase.SUCCEEDED):
            return
        for _ in range(_MAX_ATTEMPTS):
            if await self._try_to_write(rollout, case):
                return
            await self._timers.sleep(_RETRY_DELAY * self._seed.uniform(0.5, 1.0))

    def _expected_phase(self, rollout: Rollout) -> Phase:
        """The phase that the store should hold now."""
        phase = Phase(rollout.phase)
        is_full = phase is Phase.RUNNING and rollout.stage == Stage.FULL
        return Phase.SUCCEEDED if is_full and self._is_complete(rollout) else phase

    async def _try_to_write(self, rollout: Rollout, case: RolloutCase) -> bool:
        """Read the status, then write on the condition that it hasn't changed.

        If the result of a write is unknown, the next read shows it, and the conditional write that
        follows makes a delayed one fail.
        """
        found = await self._store.read(rollout.service)
        if isinstance(found, StatusLost):
            self._note("rollout_status_not_read", {"reason": found.reason})
            return False
        self._statuses_end = found.position
        if self._apply_final_status(found, rollout, case):
            return True
        now = self._book.find(rollout.service)
        if now is None or now.order != rollout.order:
            return True
        expected = self._expected_phase(now)  # includes changes made while the store was read
        if case.written is expected:
            return True
        if not await self._is_past_fence(rollout, found):
            return False
        return await self._write_phase(rollout, expected, case, found.position)

    async def _is_past_fence(self, rollout: Rollout, found: StatusFound) -> bool:
        """Whether no condition of an earlier era can hold any more.

        A delayed write of that era could succeed if its offset were assigned again. Therefore the
        current status is written until the end has passed all such offsets.
        """
        if offset_of(found.position) >= self._fence:
            return True
        status = found.status
        if status is None or not status.is_about(rollout):
            status = RolloutStatus(rollout.service, rollout.version, Phase.RUNNING, rollout.order)
        position = found.position
        for _ in range(_MAX_FENCING_WRITES):
            if offset_of(position) >= self._fence:
                break
            if await self._store.write(status, position=position) is not True:
                return False
            position += 1
        self._statuses_end = position
        self._note("rollout_status_fenced", {"service": rollout.service, "past": self._fence})
        return False

    async def _write_phase(
        self, rollout: Rollout, phase: Phase, case: RolloutCase, position: int
    ) -> bool:
        """Write a phase at `position`; return `False` if it is not known to be written."""
        status = RolloutStatus(rollout.service, rollout.version, phase, rollout.order)
        written = await self._store.write(status, position=position)
        if isinstance(written, StatusLost):
            self._note("rollout_status_not_written", {"reason": written.reason})
            return False
        if not written:
            return False
        self._statuses_end = position + 1
        case.written = phase
        if phase is not Phase.RUNNING:
            case.acknowledged = phase
        self._note(
            "rollout_status",
            {"service": rollout.service, "version": rollout.version, "state": phase.name.lower()},
        )
        if phase is Phase.SUCCEEDED:
            self._book.merge([rollout.with_changes(phase=int(phase))], source="store")
        return True

    def _apply_final_status(self, found: StatusFound, rollout: Rollout, case: RolloutCase) -> bool:
        """Whether the store has this order's final phase, which is applied, or a later order."""
        status = found.status
        if status is None:
            return False
        if not status.is_about(rollout):
            return status.order > rollout.order
        if self._contradicts_acknowledged(status.phase, rollout, case):
            return False
        case.written = status.phase
        if status.phase is Phase.RUNNING:
            return False
        case.acknowledged = status.phase
        self._book.merge([rollout.with_changes(phase=int(status.phase))], source="store")
        return True

    @staticmethod
    def _contradicts_acknowledged(phase: Phase, rollout: Rollout, case: RolloutCase) -> bool:
        """Whether the store holds a different final phase than it acknowledged.

        Only a delayed write of an earlier era causes this. The acknowledged phase, on which daemons
        have acted, prevails and is written again. No daemon assumes a success before the store
        holds it.
        """
        if phase is Phase.RUNNING:
            return False
        if case.acknowledged is not None:
            return phase is not case.acknowledged
        return phase is Phase.ROLLED_BACK and rollout.phase == Phase.SUCCEEDED
