"""Targets that start again under the name that they had, and what late news may not do."""

from __future__ import annotations

import random
import unittest

import anyio
from call_rig import configuration

from acaciayard_admission import Announcement, AnnouncementResult, LocalTargets, TargetEvent
from acaciayard_callmodel import Answer, NotRun, OutcomeUnknown
from acaciayard_membership import Member, MemberState, MemberTable, TargetInfo, TargetState
from acaciayard_membership._messages import MEMBER_CODEC
from acaciayard_resources import Service
from acaciayard_routing import Picker
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import Address, Traffic

HERE = Address("127.0.0.1", 80)
#: A start of a target, in Unix milliseconds.
FIRST = 1_000_000
SECOND = 1_005_000


def announcement(
    born: int,
    sequence: int,
    *,
    name: str = "t1",
    service: str = "a",
    slots: int = 2,
    state: TargetState = TargetState.READY,
) -> Announcement:
    return Announcement(
        service=service,
        name=name,
        address=HERE,
        slots=slots,
        connections=9,
        state=state,
        sequence=sequence,
        born=born,
    )


class TargetStartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.published: tuple[TargetInfo, ...] = ()
        self.news: list[TargetEvent] = []
        self.timers = ManualTimers()
        self.targets = self.new_daemon()

    def new_daemon(self) -> LocalTargets:
        return LocalTargets(
            timers=self.timers,
            pause=PauseDetector(self.timers, threshold=5.0),
            traffic=Traffic(),
            host="near-1",
            publish=self.take,
            on_event=self.news.append,
        )

    def take(self, published: tuple[TargetInfo, ...]) -> None:
        self.published = published

    def slots_free(self) -> int:
        """Calls that are admitted at once."""
        target = self.targets.pick("a")
        if target is None:
            return 0
        entered = [target.gate.try_enter(0, 100.0) for _ in range(20)]
        held = [slot for slot in entered if slot is not None and not isinstance(slot, NotRun)]
        for slot in held:
            slot.release()
        return len(held)

    def test_a_new_start_counts_from_its_first_announcement(self) -> None:
        self.targets.announce(announcement(FIRST, 40))
        self.targets.announce(announcement(SECOND, 1, slots=5))
        self.assertEqual(self.slots_free(), 5)
        self.assertEqual(self.published, (TargetInfo("a", "t1", 5, born=SECOND),))

    def test_slots_held_at_the_old_start_are_not_held_at_the_new_one(self) -> None:
        self.targets.announce(announcement(FIRST, 40))
        old = self.targets.pick("a")
        assert old is not None
        old.gate.try_enter(0, 100.0)
        self.targets.announce(announcement(SECOND, 1))
        self.assertEqual(self.slots_free(), 2)
        self.assertTrue(old.gate.is_closed)

    def test_what_an_older_start_says_changes_nothing(self) -> None:
        self.targets.announce(announcement(FIRST, 40))
        self.targets.announce(announcement(SECOND, 1))
        before = self.published
        for state in (TargetState.READY, TargetState.DRAINING):
            late = announcement(FIRST, 41, slots=9, state=state)
            self.assertIs(self.targets.announce(late), AnnouncementResult.OLDER_START)
        self.targets.mark_left("t1", born=FIRST)
        self.targets.leave("t1", born=FIRST)
        self.assertEqual(self.published, before)
        self.assertEqual(self.slots_free(), 2)

    def test_an_older_count_of_the_same_start_changes_nothing(self) -> None:
        self.targets.announce(announcement(FIRST, 40))
        late = announcement(FIRST, 39, slots=9, state=TargetState.DRAINING)
        self.assertIs(self.targets.announce(late), AnnouncementResult.OLDER_REPORT)
        self.assertEqual(self.slots_free(), 2)

    def test_a_start_after_a_leaving_takes_calls(self) -> None:
        self.targets.announce(announcement(FIRST, 40, state=TargetState.DRAINING))
        self.targets.announce(announcement(FIRST, 41))
        self.assertEqual(self.slots_free(), 0)
        self.targets.announce(announcement(SECOND, 1))
        self.assertEqual(self.slots_free(), 2)

    def test_a_leaving_holds_through_a_restart_of_the_daemon(self) -> None:
        """A leaving that does not say of which start holds for all that have begun."""
        anyio.run(self.timers.advance, FIRST / 1000 + 1)
        for born in (0, FIRST):
            with self.subTest(born=born):
                self.targets = self.new_daemon()
                self.targets.mark_left("t1", born=born)
                self.assertIs(
                    self.targets.announce(announcement(FIRST, 40)), AnnouncementResult.LEFT
                )
                self.targets.announce(announcement(SECOND, 1))
                self.assertEqual(self.slots_free(), 2)

    def test_a_leaving_is_published_while_its_target_may_still_announce_itself(self) -> None:
        self.targets.announce(announcement(FIRST, 40))
        self.targets.leave("t1")
        self.assertEqual(self.slots_free(), 0)
        states = [info.state for info in self.published]
        self.assertEqual(states, [TargetState.DRAINING])
        self.targets.announce(announcement(FIRST, 41))
        self.assertEqual(self.slots_free(), 0)

    def test_late_news_of_a_crashed_target_does_not_end_the_one_at_its_address(self) -> None:
        self.targets.announce(announcement(SECOND, 1, name="t2"))
        late = announcement(FIRST, 40, name="t1")
        self.assertIs(self.targets.announce(late), AnnouncementResult.ADDRESS_TAKEN)
        self.assertEqual([info.name for info in self.published], ["t2"])
        self.assertEqual(self.slots_free(), 2)

    def test_where_starts_are_told_one_that_is_not_names_no_target(self) -> None:
        self.targets.announce(announcement(FIRST, 4))
        before = self.published
        for name in ("t1", "t2"):
            heard = self.targets.announce(announcement(0, 50, name=name))
            self.assertIs(heard, AnnouncementResult.WITHOUT_START)
        self.assertEqual(self.published, before)

    def test_an_unknown_service_takes_no_place(self) -> None:
        self.targets.use(configuration(Service(name="a")))
        self.targets.announce(announcement(FIRST, 4))
        before = self.published
        for name in ("t1", "t2"):
            with self.subTest(name=name):
                strange = announcement(SECOND, 1, name=name, service="nobody")
                self.assertIs(self.targets.announce(strange), AnnouncementResult.UNKNOWN_SERVICE)
                self.assertEqual(self.published, before)

    def test_a_clock_that_stepped_back_costs_one_lease(self) -> None:
        """The start after the step looks older: it is heard once the other has lapsed."""
        self.targets.announce(announcement(SECOND, 4))
        self.assertIs(self.targets.announce(announcement(FIRST, 1)), AnnouncementResult.OLDER_START)
        self.targets.withdraw("t1", "the target no longer announces itself")
        self.assertIs(self.targets.announce(announcement(FIRST, 2)), AnnouncementResult.ACCEPTED)

    def test_a_clock_that_stepped_back_after_a_leaving_costs_half_a_minute(self) -> None:
        self.targets.announce(announcement(SECOND, 4))
        self.targets.leave("t1")
        self.targets.withdraw("t1", "the target no longer announces itself")
        self.assertIs(self.targets.announce(announcement(FIRST, 1)), AnnouncementResult.LEFT)
        anyio.run(self.timers.advance, 31.0)
        self.assertIs(self.targets.announce(announcement(SECOND, 5)), AnnouncementResult.LEFT)
        self.assertIs(self.targets.announce(announcement(FIRST, 2)), AnnouncementResult.ACCEPTED)

    def test_each_change_of_belief_is_told(self) -> None:
        self.targets.announce(announcement(FIRST, 40))
        self.targets.announce(announcement(SECOND, 1))
        self.targets.announce(announcement(FIRST, 41))
        told = [(news.born, news.what, news.reason) for news in self.news]
        self.assertEqual(
            told,
            [
                (FIRST, "announced", ""),
                (FIRST, "withdrawn", "the target has started again"),
                (SECOND, "announced", ""),
                (FIRST, "passed_over", "older start"),
            ],
        )


def member(sequence: int, *, born: int) -> bytes:
    return MEMBER_CODEC.encode(
        Member(
            host="far-1",
            incarnation=1,
            sequence=sequence,
            state=MemberState.ALIVE,
            domain="far",
            ip="127.0.0.2",
            control_port=1,
            call_port=2,
            api_port=3,
            targets=(TargetInfo("a", "t1", 4, born=born),),
        )
    )


class LearntOfAStartTest(unittest.TestCase):
    def setUp(self) -> None:
        timers = ManualTimers()
        own = Member("near-1", 1, 0, MemberState.ALIVE, "near", "127.0.0.1", 1, 2, 3)
        self.table = MemberTable(own, timers)
        self.picker = Picker(table=self.table, timers=timers, seed=random.Random(1))

    def test_failures_and_mean_seconds_of_a_start_say_nothing_of_the_next(self) -> None:
        self.table.merge(member(1, born=FIRST))
        first = self.picker.candidate("a", "far-1")
        assert first is not None
        for _ in range(9):
            self.picker.begin(first)
            self.picker.end(first, OutcomeUnknown("reset"), load=2.0, mean_seconds=3.0)
        self.assertGreater(first.ejected_until, 0)
        self.table.merge(member(2, born=SECOND))
        second = self.picker.candidate("a", "far-1")
        assert second is not None
        self.assertEqual(
            (second.ejected_until, second.mean_seconds, second.failure_share), (0, 0, 0)
        )

    def test_an_answer_of_the_start_before_is_not_counted_to_the_next(self) -> None:
        self.table.merge(member(1, born=FIRST))
        first = self.picker.candidate("a", "far-1")
        assert first is not None
        self.picker.begin(first)
        self.table.merge(member(2, born=SECOND))
        self.picker.end(first, Answer(200, b"", b"", True, 0), load=2.0, mean_seconds=3.0)
        second = self.picker.candidate("a", "far-1")
        assert second is not None
        self.assertEqual((second.outstanding, second.mean_seconds, second.reported_load), (0, 0, 0))

    def test_what_is_learnt_holds_while_the_start_does(self) -> None:
        self.table.merge(member(1, born=FIRST))
        first = self.picker.candidate("a", "far-1")
        self.table.merge(member(2, born=FIRST))
        self.assertIs(self.picker.candidate("a", "far-1"), first)


if __name__ == "__main__":
    unittest.main()
