"""An order that its operator rewrites after the store was restored from an older copy."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter

from acaciayard_logservice import position_of
from acaciayard_rollouts import (
    Conductor,
    Fleet,
    MemberStart,
    Phase,
    Rollout,
    RolloutBook,
    RolloutChange,
    RolloutOrder,
    RolloutReport,
    RolloutStatus,
    StatusFound,
    StatusLost,
    StatusStore,
)
from acaciayard_timers import ManualTimers

SERVICE = "quotes"


def at(era: int, offset: int) -> int:
    return position_of(era=era, offset=offset)


def order(position: int, version: str = "v2") -> RolloutOrder:
    return RolloutOrder(SERVICE, version, 14.0, position)


class Clock(ManualTimers):
    """A clock that the test advances; sleeping between attempts at the store takes no time."""

    def move(self, seconds: float) -> None:
        """Advance the clock."""
        self._now += seconds

    async def sleep(self, seconds: float) -> None:
        """Return at once."""


class Store(StatusStore):
    """The statuses of one service, in a store that may be restored from an older copy."""

    def __init__(self) -> None:
        self.written: list[RolloutStatus] = []
        self.era = 1
        self.reads = 0

    async def read(self, service: str) -> StatusFound | StatusLost:
        self.reads += 1
        newest = self.written[-1] if self.written else None
        return StatusFound(newest, at(self.era, len(self.written)))

    async def write(self, status: RolloutStatus, *, position: int) -> bool | StatusLost:
        if position != at(self.era, len(self.written)):
            return False
        self.written.append(status)
        return True

    def rewind(self, length: int) -> None:
        """Restore a copy that holds the first statuses only."""
        del self.written[length:]
        self.era += 1

    def write_late(self, status: RolloutStatus, *, offset: int) -> None:
        """Apply a write of an earlier era, whose condition names an offset only."""
        if offset == len(self.written):
            self.written.append(status)

    @property
    def phases(self) -> list[Phase]:
        return [status.phase for status in self.written]


class RewrittenOrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.store = Store()
        self.news: list[RolloutChange] = []
        self.book, self.conductor = self.daemon()

    def daemon(self) -> tuple[RolloutBook, Conductor]:
        """Create a leader without any state."""
        book = RolloutBook(
            timers=self.clock, exposure_share=0.1, seed=random.Random(1), tell=self.news.append
        )
        conductor = Conductor(
            book=book,
            fleet=Fleet(
                present=lambda: frozenset({MemberStart("a", 1)}),
                lost_within=lambda _seconds: frozenset(),
                slots=lambda _service: Counter({"v1": 8, "v2": 8}),
                hosts=lambda _service: Counter({"v1": 4, "v2": 4}),
                leads=lambda: True,
                has_majority=lambda: True,
            ),
            store=self.store,
            timers=self.clock,
            seed=random.Random(1),
        )
        return book, conductor

    def settle(self) -> None:
        asyncio.run(self.conductor.settle())

    def end(self, phase: Phase) -> None:
        """End the order in a phase that the store acknowledges."""
        self.settle()
        rollout = self.now
        self.book.merge([rollout.with_changes(phase=int(phase))], source="verdict")
        self.settle()

    def rewind(self, length: int) -> None:
        self.store.rewind(length)
        self.conductor.note_era()

    @property
    def now(self) -> Rollout:
        found = self.book.find(SERVICE)
        assert found is not None
        return found

    # --- the order --------------------------------------------------------------------------------

    def test_rewritten_order_keeps_its_final_phase(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        self.end(Phase.ROLLED_BACK)
        self.rewind(0)
        self.conductor.take_order(order(at(2, 10)))
        self.assertEqual((self.now.order, self.now.phase), (at(2, 10), Phase.ROLLED_BACK))
        self.settle()
        self.assertEqual(self.store.phases[-1], Phase.ROLLED_BACK)
        self.assertEqual(self.store.written[-1].order, at(2, 10))

    def test_same_version_may_be_ordered_again_later(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        self.end(Phase.ROLLED_BACK)
        self.rewind(0)
        self.conductor.take_order(order(at(2, 10)))
        self.conductor.take_order(order(at(2, 12)))
        self.assertEqual((self.now.order, self.now.phase), (at(2, 12), Phase.RUNNING))

    def test_rewritten_order_keeps_its_age_exposure_and_results(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        for _ in range(300):
            run = self.book.begin(SERVICE, "r", version="v1", host="x")
            assert run is not None
            run.end(is_bad=False)
        (before,) = self.book.reports("a", 1)
        self.conductor.take_report(before)
        self.clock.move(5.0)
        self.rewind(0)
        self.conductor.take_order(order(at(2, 10)))
        (after,) = self.book.reports("a", 1)
        self.assertEqual((after.total, after.order), (before.total, at(2, 10)))
        self.assertEqual(self.now.age_s, 5.0)
        self.assertEqual(self.conductor.evidence(self.now).all_answers, 300)

    def test_reports_that_name_an_earlier_position_count(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        self.rewind(0)
        self.conductor.take_order(order(at(2, 10)))
        self.conductor.take_report(RolloutReport("b", 1, SERVICE, at(1, 17), 0, 50, 0, 0, (), []))
        case = self.conductor._case(SERVICE, at(2, 10))
        self.assertIn(MemberStart("b", 1), case.reports)

    # --- earlier orders ---------------------------------------------------------------------------

    def test_older_order_in_the_copy_has_no_effect(self) -> None:
        self.conductor.take_order(order(at(1, 5), "v1"))
        self.end(Phase.SUCCEEDED)
        self.conductor.take_order(order(at(1, 17)))
        self.end(Phase.SUCCEEDED)
        self.rewind(0)
        self.conductor.take_order(order(at(2, 5), "v1"))
        self.assertEqual(self.now.version, "v2")
        self.clock.move(30.0)  # however long the operator takes
        self.conductor.look()
        self.settle()
        self.assertEqual((self.now.version, self.now.phase), ("v2", Phase.SUCCEEDED))
        self.conductor.take_order(order(at(2, 6)))
        self.assertEqual((self.now.order, self.now.phase), (at(2, 6), Phase.SUCCEEDED))

    def test_unread_older_order_is_held_for_the_known_one(self) -> None:
        told = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0, phase=int(Phase.SUCCEEDED))
        self.book.merge([told], source="member")
        self.conductor.take_order(order(at(2, 5), "v1"))
        self.clock.move(2.0)
        self.conductor.look()
        self.assertEqual(self.now.version, "v2")
        self.conductor.take_order(order(at(2, 6)))
        self.clock.move(9.0)
        self.conductor.look()
        self.assertEqual((self.now.order, self.now.phase), (at(2, 6), Phase.SUCCEEDED))

    def test_order_with_a_status_is_older_however_long_the_operator_takes(self) -> None:
        """For a leader that has not read the order before."""
        told = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0, phase=int(Phase.SUCCEEDED))
        self.book.merge([told], source="member")
        self.store.era = 2
        self.store.written.append(RolloutStatus(SERVICE, "v1", Phase.SUCCEEDED, at(1, 5)))
        self.conductor.take_order(order(at(2, 5), "v1"))
        self.clock.move(30.0)
        self.settle()
        self.assertEqual((self.now.version, self.now.phase), ("v2", Phase.SUCCEEDED))

    def test_order_that_a_leader_without_state_has_begun_is_not_dropped(self) -> None:
        """Dropping it for that leader's status left daemons on different orders for ever."""
        for known_at, status_at in ((at(1, 17), at(2, 5)), (at(1, 4), at(1, 5))):
            with self.subTest(known=known_at, status=status_at):
                self.setUp()
                told = Rollout(SERVICE, "v2", "v1", known_at, 14.0, phase=int(Phase.ROLLED_BACK))
                self.book.merge([told], source="member")
                self.store.era = 2
                self.store.written.append(RolloutStatus(SERVICE, "v3", Phase.RUNNING, status_at))
                self.conductor.take_order(order(at(2, 5), "v3"))
                self.clock.move(4.5)
                self.settle()
                self.assertEqual((self.now.version, self.now.order), ("v3", at(2, 5)))

    def test_status_is_compared_with_the_position_of_its_own_era(self) -> None:
        """The known order has moved, so that its position says nothing of the era before."""
        known = Rollout(SERVICE, "v2", "v1", at(1, 4), 14.0, phase=int(Phase.ROLLED_BACK))
        for status_at, version in ((at(1, 5), "v3"), (at(1, 3), "v2")):
            with self.subTest(status=status_at):
                self.setUp()
                self.book.merge([known], source="member")
                self.book.merge([known.with_changes(order=at(2, 4))], source="member")
                self.store.era = 3
                self.store.written.append(RolloutStatus(SERVICE, "v3", Phase.RUNNING, status_at))
                self.conductor.take_order(order(at(3, status_at - at(1, 0)), "v3"))
                self.clock.move(4.5)
                self.settle()
                self.assertEqual(self.now.version, version)

    def test_new_order_of_the_new_era_begins_with_its_age(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        self.end(Phase.SUCCEEDED)
        self.rewind(0)
        self.conductor.take_order(order(at(2, 11), "v3"))
        self.conductor.take_order(order(at(2, 11), "v3"))  # read twice
        self.assertEqual(self.now.version, "v2")
        self.clock.move(4.5)
        self.settle()
        self.assertEqual((self.now.version, self.now.phase), ("v3", Phase.RUNNING))
        self.assertEqual((self.now.age_s, self.now.follows), (4.5, at(1, 17)))

    # --- other daemons ----------------------------------------------------------------------------

    def test_update_may_name_any_position_of_the_order(self) -> None:
        early = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0)
        late = early.with_changes(order=at(2, 10))
        for first, second in ((early, late), (late, early)):
            for phase in (Phase.ROLLED_BACK, Phase.SUCCEEDED):
                with self.subTest(first=first.order, phase=phase):
                    book, _ = self.daemon()
                    book.merge([first], source="member")
                    book.merge([second.with_changes(phase=int(phase))], source="member")
                    found = book.find(SERVICE)
                    assert found is not None
                    self.assertEqual((found.order, found.phase), (at(2, 10), phase))

    def test_update_that_names_an_earlier_position_of_a_successor_order(self) -> None:
        """From a leader that has not noticed the new era yet."""
        before = Rollout(SERVICE, "v1", "v0", at(1, 5), 14.0, phase=int(Phase.SUCCEEDED))
        known = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0)
        moved = known.with_changes(order=at(2, 10))
        for told in (before, known, moved, known.with_changes(phase=int(Phase.SUCCEEDED))):
            self.book.merge([told], source="member")
        self.assertEqual((self.now.order, self.now.phase), (at(2, 10), Phase.SUCCEEDED))

    def test_update_on_a_superseded_order_from_the_copy_is_ignored(self) -> None:
        """From a leader that started after the order was followed by another one."""
        older = Rollout(SERVICE, "v1", "v0", at(1, 5), 14.0, phase=int(Phase.SUCCEEDED))
        known = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0, phase=int(Phase.SUCCEEDED))
        back = older.with_changes(order=at(2, 5), phase=int(Phase.RUNNING))
        for told in (older, known, back):
            self.book.merge([told], source="member")
        self.assertEqual((self.now.order, self.now.phase), (at(1, 17), Phase.SUCCEEDED))
        self.book.merge([known.with_changes(order=at(2, 6))], source="member")
        self.assertEqual((self.now.order, self.now.phase), (at(2, 6), Phase.SUCCEEDED))

    def test_update_by_a_daemon_without_the_known_order_is_held(self) -> None:
        """The sender started behind a partition, and read an older order from the copy."""
        known = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0, phase=int(Phase.SUCCEEDED))
        back = Rollout(SERVICE, "v1", "v0", at(2, 5), 14.0)
        for told in (known, back):
            self.book.merge([told], source="member")
        self.clock.move(3.0)
        self.book.merge([back], source="member")
        self.assertEqual(self.now.version, "v2")
        self.clock.move(2.0)  # nothing was rewritten, so this is a new order
        self.book.merge([back], source="member")
        self.assertEqual((self.now.version, self.now.order), ("v1", at(2, 5)))

    def test_update_by_a_daemon_with_the_known_order_applies_at_once(self) -> None:
        known = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0, phase=int(Phase.SUCCEEDED))
        new = Rollout(SERVICE, "v3", "v2", at(2, 11), 14.0, follows=at(1, 17))
        for told in (known, new):
            self.book.merge([told], source="member")
        self.assertEqual((self.now.version, self.now.order), ("v3", at(2, 11)))

    def test_update_on_the_preceding_order_is_not_about_the_new_one(self) -> None:
        """The same version, ordered again in the new era after it was rolled back."""
        early = Rollout(SERVICE, "v2", "v1", at(1, 17), 14.0, phase=int(Phase.ROLLED_BACK))
        again = early.with_changes(order=at(2, 10))
        new = early.with_changes(order=at(2, 12), phase=int(Phase.RUNNING))
        for told in (early, again, new, early):
            self.book.merge([told], source="member")
        self.assertEqual((self.now.order, self.now.phase), (at(2, 12), Phase.RUNNING))

    # --- statuses ---------------------------------------------------------------------------------

    def test_lost_status_is_rewritten_once(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        self.end(Phase.SUCCEEDED)
        self.rewind(1)
        self.conductor.take_order(order(at(2, 17)))
        self.settle()
        self.settle()
        self.assertEqual(self.store.phases.count(Phase.SUCCEEDED), 1)
        reads = self.store.reads
        self.settle()
        self.assertEqual(self.store.reads, reads)

    def test_present_status_is_not_rewritten(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        self.end(Phase.ROLLED_BACK)
        self.rewind(2)
        self.conductor.take_order(order(at(2, 17)))
        self.settle()
        self.assertEqual(len(self.store.written), 2)

    def test_daemon_without_state_adopts_the_status_of_the_earlier_era(self) -> None:
        self.conductor.take_order(order(at(1, 17)))
        self.end(Phase.ROLLED_BACK)
        self.rewind(2)
        self.book, self.conductor = self.daemon()
        self.conductor.take_order(order(at(2, 17)))
        self.settle()
        self.assertEqual(self.now.phase, Phase.ROLLED_BACK)
        self.assertEqual(len(self.store.written), 2)

    def test_status_at_another_offset_or_of_another_version_is_about_another_order(self) -> None:
        rollout = Rollout(SERVICE, "v2", "v1", at(2, 17), 14.0)
        for version, position, is_about in (
            ("v2", at(2, 17), True),
            ("v2", at(1, 17), True),
            ("v2", at(1, 16), False),
            ("v1", at(1, 17), False),
            ("v2", at(3, 17), False),
            ("v2", -1, False),
        ):
            with self.subTest(version=version, position=position):
                status = RolloutStatus(SERVICE, version, Phase.RUNNING, position)
                self.assertEqual(status.is_about(rollout), is_about)

    def test_delayed_write_of_an_earlier_era_cannot_follow_the_final_phase(self) -> None:
        """Its offset is assigned again before a final phase is written."""
        self.conductor.take_order(order(at(1, 17)))
        for number in range(3):  # statuses of other services
            self.store.written.append(RolloutStatus(f"s{number}", "v2", Phase.RUNNING, at(1, 1)))
        self.settle()
        late = RolloutStatus(SERVICE, "v2", Phase.SUCCEEDED, at(1, 17))
        offset = len(self.store.written)
        self.rewind(1)
        self.conductor.take_order(order(at(2, 17)))
        self.book.merge([self.now.with_changes(phase=int(Phase.ROLLED_BACK))], source="verdict")
        self.settle()
        while len(self.store.written) < offset:  # other services have statuses, too
            self.store.written.append(RolloutStatus("s9", "v2", Phase.RUNNING, at(2, 1)))
        self.store.write_late(late, offset=offset)
        self.assertNotIn(Phase.SUCCEEDED, self.store.phases)
        self.assertEqual(self.store.phases[-1], Phase.ROLLED_BACK)

    def test_acknowledged_final_phase_overwrites_the_other_one(self) -> None:
        for mine, late in (
            (Phase.ROLLED_BACK, Phase.SUCCEEDED),
            (Phase.SUCCEEDED, Phase.ROLLED_BACK),
        ):
            with self.subTest(mine):
                self.setUp()
                self.conductor.take_order(order(at(1, 17)))
                self.end(mine)
                self.rewind(1)
                self.store.write_late(RolloutStatus(SERVICE, "v2", late, at(1, 17)), offset=1)
                self.conductor.take_order(order(at(2, 17)))
                self.settle()
                self.assertEqual((self.now.phase, self.store.phases[-1]), (mine, mine))

    def test_success_known_to_daemons_overwrites_a_delayed_final_phase(self) -> None:
        """By a later leader that doesn't know of the acknowledgement."""
        told = Rollout(SERVICE, "v2", "v1", at(2, 17), 14.0, phase=int(Phase.SUCCEEDED))
        self.book.merge([told], source="member")
        self.store.era = 2
        self.store.written.append(RolloutStatus(SERVICE, "v2", Phase.ROLLED_BACK, at(1, 17)))
        self.settle()
        self.assertEqual(self.store.phases[-1], Phase.SUCCEEDED)


if __name__ == "__main__":
    unittest.main()
