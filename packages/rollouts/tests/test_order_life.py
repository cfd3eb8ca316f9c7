"""A rollout order under leader changes, partitions, restarts and a failing store.

Whatever the sequence of events: the store never holds both final phases of one order; a version
gets no calls before its order or after its rollback; and once the store holds the success, no
daemon sends a call to the old version.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from acaciayard_rollouts import (
    Conductor,
    Fleet,
    MemberStart,
    Phase,
    RolloutBook,
    RolloutOrder,
    RolloutRun,
    RolloutStatus,
    StatusFound,
    StatusLost,
    StatusStore,
)
from acaciayard_timers import ManualTimers

SERVICE = "quotes"
DAEMONS = 4
NUMBERS = st.integers(0, DAEMONS - 1)


class Clock(ManualTimers):
    """A clock that the test advances; sleeping between attempts at the store takes no time."""

    def move(self, seconds: float) -> None:
        """Advance the clock."""
        self._now += seconds

    async def sleep(self, seconds: float) -> None:
        """Return at once."""


class Store(StatusStore):
    """Loses requests or responses, and delays requests."""

    def __init__(self) -> None:
        self.written: list[RolloutStatus] = []
        self.late: list[tuple[RolloutStatus, int]] = []
        self.fault = ""

    async def read(self, service: str) -> StatusFound | StatusLost:
        if self.fault == "down":
            return StatusLost("down")
        return StatusFound(self.written[-1] if self.written else None, len(self.written))

    async def write(self, status: RolloutStatus, *, position: int) -> bool | StatusLost:
        match self.fault:
            case "down":
                return StatusLost("down")
            case "late":
                self.late.append((status, position))
                return StatusLost("no answer")
        if position != len(self.written):
            return False
        self.written.append(status)
        return StatusLost("no answer") if self.fault == "silent" else True

    def final_phases(self) -> set[Phase]:
        """The final phases of the order that the store holds or has held."""
        return {each.phase for each in self.written} - {Phase.RUNNING}


class Daemon:
    """One daemon, with all state that it loses when restarted."""

    def __init__(self, machine: OrderLife, number: int, incarnation: int) -> None:
        self.start = MemberStart(f"h{number}", incarnation)
        self.is_cut = False
        self.runs: list[tuple[str, RolloutRun]] = []
        self.book = RolloutBook(
            timers=machine.clock, exposure_share=0.1, seed=random.Random(number)
        )
        self.conductor = Conductor(
            book=self.book,
            fleet=Fleet(
                present=machine.present,
                lost_within=machine.lost_within,
                slots=lambda _service: Counter({"v1": 8, "v2": 8}),
                hosts=lambda _service: Counter({"v1": 4, "v2": 4}),
                leads=lambda: machine.leads(self),
                has_majority=lambda: len(machine.present()) * 2 > DAEMONS,
            ),
            store=machine.store,
            timers=machine.clock,
            seed=random.Random(number),
        )


class OrderLife(RuleBasedStateMachine):
    """State machine of one order."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.store = Store()
        self.order: RolloutOrder | None = None
        self.gone: dict[MemberStart, float] = {}
        self.daemons = [Daemon(self, n, 1) for n in range(DAEMONS)]
        self.lead = 0

    def present(self) -> frozenset[MemberStart]:
        return frozenset(each.start for each in self.daemons if not each.is_cut)

    def lost_within(self, seconds: float) -> frozenset[MemberStart]:
        since = self.clock.now() - seconds
        return frozenset(start for start, when in self.gone.items() if when >= since)

    def leads(self, daemon: Daemon) -> bool:
        return daemon is self.daemons[self.lead] and not daemon.is_cut

    def send_updates(self) -> None:
        """The leader sends updates to the daemons that it reaches, and receives their reports."""
        lead = self.daemons[self.lead]
        if lead.is_cut:
            return
        for each in self.daemons:
            if not each.is_cut:
                each.book.merge(lead.book.all, source="member")
                for report in each.book.reports(each.start.host, each.start.incarnation):
                    lead.conductor.take_report(report)

    @rule()
    def gives_order(self) -> None:
        if self.order is None:
            self.order = RolloutOrder(SERVICE, "v2", 14.0, 1)
            self.daemons[self.lead].conductor.take_order(self.order)
            self.send_updates()

    @rule(number=NUMBERS, calls=st.integers(1, 60), is_bad=st.booleans())
    def calls(self, number: int, calls: int, is_bad: bool) -> None:
        """Send calls and answer them; the new version may fail them."""
        daemon = self.daemons[number]
        for _ in range(calls):
            version = self.version_of(daemon)
            if version:
                run = daemon.book.begin(SERVICE, "r", version=version, host=f"{version}-{number}")
                if run is not None:
                    run.end(is_bad=is_bad and version == "v2")

    @rule(number=NUMBERS)
    def begins_call(self, number: int) -> None:
        daemon = self.daemons[number]
        version = self.version_of(daemon)
        run = daemon.book.begin(SERVICE, "r", version=version, host="x") if version else None
        if run is not None:
            daemon.runs.append((version, run))

    @rule(number=NUMBERS)
    def ends_calls(self, number: int) -> None:
        for _, run in self.daemons[number].runs:
            run.end(is_bad=False)
        self.daemons[number].runs.clear()

    @staticmethod
    def version_of(daemon: Daemon) -> str:
        """The version that the daemon's next call may use; empty for none."""
        versions = daemon.book.versions(SERVICE)
        if daemon.book.find(SERVICE) is None:
            return "v1"
        return next((each for each in ("v2", "v1") if versions.admits(each)), "")

    @rule(seconds=st.sampled_from([0.1, 0.4, 1.0]))
    def time_passes(self, seconds: float) -> None:
        self.clock.move(seconds)

    @rule()
    def leader_acts(self) -> None:
        self.clock.move(0.2)
        self.send_updates()
        lead = self.daemons[self.lead]
        lead.conductor.look()
        self.send_updates()
        asyncio.run(lead.conductor.settle())
        self.send_updates()

    @initialize(is_late=st.booleans(), cut=st.sets(NUMBERS), running=st.sets(NUMBERS))
    def starts(self, is_late: bool, cut: set[int], running: set[int]) -> None:
        """In half of the runs most of the duration has passed without a fault.

        Some daemons have calls at the old version, and some are cut off just before all calls are
        moved.
        """
        if not is_late:
            return
        self.gives_order()
        for seconds in (3.8, 3.8, 3.2):
            self.clock.move(seconds)
            self.send_updates()
            for number in range(DAEMONS):
                self.calls(number, 200, False)
            if seconds == 3.2:
                for number in running:
                    self.begins_call(number)
                for number in cut:
                    self.is_partitioned(number)
            self.leader_acts()

    @rule(number=NUMBERS)
    def leader_changes(self, number: int) -> None:
        self.lead = number

    @rule(number=NUMBERS)
    def is_partitioned(self, number: int) -> None:
        daemon = self.daemons[number]
        if not daemon.is_cut:
            daemon.is_cut = True
            self.gone[daemon.start] = self.clock.now()

    @rule(number=NUMBERS)
    def reconnects(self, number: int) -> None:
        self.daemons[number].is_cut = False
        self.gone.pop(self.daemons[number].start, None)
        self.send_updates()

    @rule(number=NUMBERS)
    def restarts(self, number: int) -> None:
        """A restarted daemon queries another one or reads the store before it sends any call."""
        before = self.daemons[number]
        daemon = Daemon(self, number, before.start.incarnation + 1)
        self.gone.pop(before.start, None)
        self.daemons[number] = daemon
        others = [each for each in self.daemons if each is not daemon and not each.is_cut]
        if others:
            daemon.book.merge(others[0].book.all, source="member")
        elif self.order is not None:
            daemon.conductor.take_order(self.order)

    @rule(fault=st.sampled_from(["", "", "down", "silent", "late"]))
    def store_changes(self, fault: str) -> None:
        self.store.fault = fault

    @rule()
    def delayed_writes_arrive(self) -> None:
        for status, position in self.store.late:
            if position == len(self.store.written):
                self.store.written.append(status)
        self.store.late.clear()

    @invariant()
    def final_phases_exclude_each_other(self) -> None:
        assert len(self.store.final_phases()) <= 1, self.store.written

    @invariant()
    def new_version_needs_an_order(self) -> None:
        for each in self.daemons:
            rollout = each.book.find(SERVICE)
            if rollout is None or rollout.phase == Phase.ROLLED_BACK:
                assert self.version_of(each) != "v2"

    @invariant()
    def old_version_gets_no_calls_after_the_success(self) -> None:
        if Phase.SUCCEEDED not in self.store.final_phases():
            return
        for each in self.daemons:
            if each.book.find(SERVICE) is not None:
                assert self.version_of(each) != "v1", each.book.all
                assert each.is_cut or not any(version == "v1" for version, _ in each.runs)


OrderLifeTest = OrderLife.TestCase
OrderLifeTest.settings = settings(max_examples=150, stateful_step_count=30)


if __name__ == "__main__":
    unittest.main()
