"""Decisions on a rollout and writes of its status, by successive leaders."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from collections.abc import Coroutine
from typing import Any

from acaciayard_rollouts import (
    BASE_LEASE,
    Conductor,
    Fleet,
    MemberStart,
    Phase,
    ReportRow,
    RolloutBook,
    RolloutOrder,
    RolloutReport,
    RolloutStatus,
    Side,
    Stage,
    StatusFound,
    StatusLost,
    StatusStore,
)
from acaciayard_timers import ManualTimers

SERVICE = "quotes"
ORDER = RolloutOrder(SERVICE, "v2", 14.0, 7)
HOSTS = ("a", "b", "c")


class Store(StatusStore):
    """A store that may lose writes, or the responses to writes."""

    def __init__(self) -> None:
        self.written: list[RolloutStatus] = []
        self.is_down = False
        self.loses_answers = False
        #: Delayed writes with their conditions.
        self.late: list[tuple[RolloutStatus, int]] = []
        self.holds_writes = False

    async def read(self, service: str) -> StatusFound | StatusLost:
        if self.is_down:
            return StatusLost("down")
        return StatusFound(self.written[-1] if self.written else None, len(self.written))

    async def write(self, status: RolloutStatus, *, position: int) -> bool | StatusLost:
        if self.is_down:
            return StatusLost("down")
        if self.holds_writes:
            self.late.append((status, position))
            return StatusLost("no answer")
        if position != len(self.written):
            return False
        self.written.append(status)
        return StatusLost("no answer") if self.loses_answers else True

    def deliver_late(self) -> None:
        """Apply the delayed writes."""
        for status, position in self.late:
            if position == len(self.written):
                self.written.append(status)
        self.late.clear()

    @property
    def phases(self) -> list[Phase]:
        return [status.phase for status in self.written]


class Mesh:
    """Three daemons, any of which may lead."""

    def __init__(self) -> None:
        self.clock = ManualTimers()
        self.store = Store()
        self.present = frozenset(MemberStart(host, 1) for host in HOSTS)
        self.gone: frozenset[MemberStart] = frozenset()
        self.slots = Counter({"v1": 24, "v2": 24})
        self.has_majority = True
        self.leads = True
        self.book, self.conductor = self.lead()

    def lead(self) -> tuple[RolloutBook, Conductor]:
        """Create a leader without any state."""
        book = RolloutBook(timers=self.clock, exposure_share=0.1, seed=random.Random(1))
        conductor = Conductor(
            book=book,
            fleet=Fleet(
                present=lambda: self.present,
                lost_within=lambda _seconds: self.gone,
                slots=lambda _service: Counter(self.slots),
                hosts=lambda _service: Counter({"v1": 3, "v2": 3}),
                leads=lambda: self.leads,
                has_majority=lambda: self.has_majority,
            ),
            store=self.store,
            timers=self.clock,
            seed=random.Random(1),
        )
        return book, conductor

    def report(
        self, *, stage: Stage = Stage.TRIAL, bad: int = 0, running: int = 0, hosts: int = 2
    ) -> None:
        """Report from all daemons: 400 calls of the old version in time, 40 of the new one."""
        times = [0] * 16
        times[8] = 400
        few = [0] * 16
        few[8] = 40 - bad
        for host in HOSTS:
            self.conductor.take_report(
                RolloutReport(
                    host=host,
                    incarnation=1,
                    service=SERVICE,
                    order=ORDER.order,
                    stage=int(stage),
                    total=440,
                    spent=40,
                    base_running=running,
                    rows=(
                        ReportRow("r", int(Side.BASE), 400, 0, times, []),
                        ReportRow("r", int(Side.NEW), 40, bad, few, []),
                    ),
                    bad_hosts=list(range(hosts)) if bad else [],
                )
            )

    async def look(self) -> None:
        """Run one round of the leader."""
        self.conductor.look()
        await self.conductor.settle()

    @property
    def phase(self) -> Phase:
        found = self.book.find(SERVICE)
        assert found is not None
        return Phase(found.phase)

    @property
    def stage(self) -> Stage:
        found = self.book.find(SERVICE)
        assert found is not None
        return Stage(found.stage)


class ConductorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.mesh = Mesh()
        self.mesh.conductor.take_order(ORDER)
        await self.mesh.look()

    async def to_full(self) -> None:
        """Advance until all calls are moved."""
        await self.mesh.clock.advance(11.5)
        self.mesh.report()
        await self.mesh.look()
        self.assertEqual(self.mesh.stage, Stage.FULL)

    async def test_good_version_succeeds_once_no_call_runs_at_the_old_one(self) -> None:
        self.assertEqual(self.mesh.store.phases, [Phase.RUNNING])
        await self.to_full()
        self.mesh.report(stage=Stage.FULL, running=1)
        await self.mesh.clock.advance(1.0)
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.RUNNING)
        self.mesh.report(stage=Stage.FULL)
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.SUCCEEDED)
        self.assertEqual(self.mesh.store.phases, [Phase.RUNNING, Phase.SUCCEEDED])

    async def test_reports_from_before_the_full_stage_do_not_count(
        self,
    ) -> None:
        await self.to_full()
        self.mesh.report(stage=Stage.FULL)
        await self.mesh.clock.advance(1.0)
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.RUNNING)

    async def test_calls_are_not_moved_without_enough_slots(self) -> None:
        self.mesh.slots["v2"] = 8
        await self.mesh.clock.advance(11.5)
        self.mesh.report()
        await self.mesh.look()
        self.assertEqual(self.mesh.stage, Stage.TRIAL)

    async def test_success_waits_for_the_report_of_each_daemon(self) -> None:
        await self.to_full()
        await self.mesh.clock.advance(1.0)
        self.mesh.report(stage=Stage.FULL)
        self.mesh.gone = frozenset({MemberStart("cut-off", 3)})
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.RUNNING)
        self.mesh.gone = frozenset()  # it has been gone for longer than its lease
        self.assertLess(BASE_LEASE, 14.0 - 11.5 + 2)
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.SUCCEEDED)

    async def test_partitioned_minority_decides_no_success(self) -> None:
        await self.to_full()
        await self.mesh.clock.advance(1.0)
        self.mesh.report(stage=Stage.FULL)
        self.mesh.has_majority = False
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.RUNNING)

    async def test_bad_version_is_rolled_back_at_once_while_the_store_is_down(self) -> None:
        self.mesh.store.is_down = True
        self.mesh.report(bad=12)
        self.mesh.conductor.look()
        self.assertEqual(self.mesh.phase, Phase.ROLLED_BACK)
        self.assertFalse(self.mesh.conductor.is_settled)
        self.mesh.store.is_down = False
        await self.mesh.look()
        self.assertEqual(self.mesh.store.phases, [Phase.RUNNING, Phase.ROLLED_BACK])
        self.assertTrue(self.mesh.conductor.is_settled)

    async def test_failures_of_one_target_do_not_condemn_the_version(self) -> None:
        self.mesh.report(bad=12, hosts=1)
        self.mesh.conductor.look()
        self.assertEqual(self.mesh.phase, Phase.RUNNING)

    async def test_version_that_never_starts_is_rolled_back_in_time(self) -> None:
        await self.mesh.clock.advance(13.7)
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.ROLLED_BACK)
        self.assertEqual(self.mesh.store.phases[-1], Phase.ROLLED_BACK)

    async def test_new_leader_continues_from_shared_state(self) -> None:
        await self.to_full()
        known = self.mesh.book.all
        self.mesh.book, self.mesh.conductor = self.mesh.lead()
        self.mesh.book.merge(known, source="member")
        await self.mesh.look()
        await self.mesh.clock.advance(1.0)
        self.mesh.report(stage=Stage.FULL)
        await self.mesh.look()
        self.assertEqual(self.mesh.store.phases, [Phase.RUNNING, Phase.SUCCEEDED])

    async def test_final_phases_exclude_each_other(self) -> None:
        await self.to_full()
        await self.mesh.clock.advance(1.0)
        self.mesh.report(stage=Stage.FULL)
        known = self.mesh.book.all
        other_book, other = self.mesh.lead()
        other_book.merge(known, source="member")
        await self.mesh.look()
        self.assertEqual(self.mesh.store.phases[-1], Phase.SUCCEEDED)
        other_book.merge([known[0].with_changes(phase=int(Phase.ROLLED_BACK))], source="verdict")
        await other.settle()
        self.assertEqual(self.mesh.store.phases, [Phase.RUNNING, Phase.SUCCEEDED])
        found = other_book.find(SERVICE)
        assert found is not None
        self.assertEqual(found.phase, Phase.SUCCEEDED)

    async def test_status_is_read_again_after_a_lost_response(self) -> None:
        await self.to_full()
        await self.mesh.clock.advance(1.0)
        self.mesh.report(stage=Stage.FULL)
        self.mesh.store.loses_answers = True
        self.mesh.conductor.look()
        settle = self.mesh.conductor.settle()
        await self._run_with_clock(settle)
        self.assertEqual(self.mesh.store.phases, [Phase.RUNNING, Phase.SUCCEEDED])
        self.assertEqual(self.mesh.phase, Phase.SUCCEEDED)

    async def test_delayed_write_has_no_effect(self) -> None:
        await self.to_full()
        await self.mesh.clock.advance(0.8)
        self.mesh.report(stage=Stage.FULL)
        self.mesh.store.holds_writes = True
        self.mesh.conductor.look()
        await self._run_with_clock(self.mesh.conductor.settle())
        self.assertTrue(self.mesh.store.late)
        self.mesh.store.holds_writes = False
        self.mesh.report(stage=Stage.FULL, bad=30)
        await self.mesh.look()
        self.assertEqual(self.mesh.store.phases[-1], Phase.ROLLED_BACK)
        self.mesh.store.deliver_late()
        self.assertEqual(self.mesh.store.phases, [Phase.RUNNING, Phase.ROLLED_BACK])

    async def test_later_order_replaces_the_first(self) -> None:
        self.mesh.conductor.take_order(RolloutOrder(SERVICE, "v3", 10.0, 9))
        await self.mesh.look()
        found = self.mesh.book.find(SERVICE)
        assert found is not None
        self.assertEqual((found.version, found.base, found.phase), ("v3", "v1", Phase.RUNNING))
        self.assertFalse(self.mesh.book.versions(SERVICE).admits("v2"))
        self.mesh.conductor.take_order(ORDER)  # the order is read again, late
        self.assertEqual(found.version, "v3")

    async def test_daemon_that_does_not_lead_decides_nothing(self) -> None:
        self.mesh.leads = False
        self.mesh.report(bad=20)
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.RUNNING)

    async def test_started_daemon_adopts_the_final_phase_from_the_store(self) -> None:
        self.mesh.store.written.append(RolloutStatus(SERVICE, "v2", Phase.ROLLED_BACK, 7))
        self.mesh.book, self.mesh.conductor = self.mesh.lead()
        self.mesh.conductor.take_order(ORDER)
        await self.mesh.look()
        self.assertEqual(self.mesh.phase, Phase.ROLLED_BACK)

    async def _run_with_clock(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine that sleeps between its attempts."""
        task = asyncio.ensure_future(work)
        while not task.done():
            await self.mesh.clock.advance(0.05)
        await task


if __name__ == "__main__":
    unittest.main()
