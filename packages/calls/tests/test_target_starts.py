"""Targets that restart under the same name, and late messages of their earlier starts."""

from __future__ import annotations

import random
import unittest

import anyio
from call_harness import configuration

from acaciayard_admission import Announcement, AnnouncementResult, LocalTargets, TargetEvent
from acaciayard_admission._starts import DEPARTURE_RETENTION_SECONDS
from acaciayard_callmodel import Answer, NotRun, OutcomeUnknown
from acaciayard_membership import (
    MAX_DEPARTURES,
    Departure,
    Member,
    MemberState,
    MemberTable,
    TargetInfo,
    TargetState,
)
from acaciayard_membership._messages import MEMBER_CODEC
from acaciayard_resources import Service
from acaciayard_routing import Picker
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import Address, Traffic

ADDRESS = Address("127.0.0.1", 80)
#: Start times of a target, in Unix milliseconds.
FIRST_START_MS = 1_000_000
SECOND_START_MS = 1_005_000


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
        address=ADDRESS,
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
        self.departures: tuple[Departure, ...] = ()
        self.timers = ManualTimers()
        self.targets = self.new_daemon()

    def new_daemon(self) -> LocalTargets:
        return LocalTargets(
            timers=self.timers,
            pause=PauseDetector(self.timers, threshold=5.0),
            traffic=Traffic(),
            host="near-1",
            publish=self.store_published,
            on_event=self.news.append,
            on_departures=self.store_departures,
        )

    def store_departures(self, departures: tuple[Departure, ...]) -> None:
        self.departures = departures

    def store_published(self, published: tuple[TargetInfo, ...]) -> None:
        self.published = published

    def count_free_slots(self) -> int:
        """Counts the calls that are admitted without waiting."""
        target = self.targets.pick("a")
        if target is None:
            return 0
        admissions = [target.gate.try_enter(0, 100.0) for _ in range(20)]
        held = [slot for slot in admissions if slot is not None and not isinstance(slot, NotRun)]
        for slot in held:
            slot.release()
        return len(held)

    def test_new_start_takes_effect_with_its_first_announcement(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 40))
        self.targets.announce(announcement(SECOND_START_MS, 1, slots=5))
        self.assertEqual(self.count_free_slots(), 5)
        self.assertEqual(self.published, (TargetInfo("a", "t1", 5, born=SECOND_START_MS),))

    def test_new_start_begins_with_free_slots(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 40))
        first_target = self.targets.pick("a")
        assert first_target is not None
        first_target.gate.try_enter(0, 100.0)
        self.targets.announce(announcement(SECOND_START_MS, 1))
        self.assertEqual(self.count_free_slots(), 2)
        self.assertTrue(first_target.gate.is_closed)

    def test_announcements_of_an_older_start_are_ignored(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 40))
        self.targets.announce(announcement(SECOND_START_MS, 1))
        before = self.published
        for state in (TargetState.READY, TargetState.DRAINING):
            late_announcement = announcement(FIRST_START_MS, 41, slots=9, state=state)
            self.assertIs(self.targets.announce(late_announcement), AnnouncementResult.OLDER_START)
        self.targets.mark_left("t1", born=FIRST_START_MS)
        self.targets.leave("t1", born=FIRST_START_MS)
        self.assertEqual(self.published, before)
        self.assertEqual(self.count_free_slots(), 2)

    def test_older_sequence_number_of_the_same_start_is_ignored(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 40))
        late_announcement = announcement(FIRST_START_MS, 39, slots=9, state=TargetState.DRAINING)
        self.assertIs(self.targets.announce(late_announcement), AnnouncementResult.OLDER_REPORT)
        self.assertEqual(self.count_free_slots(), 2)

    def test_new_start_after_draining_accepts_calls(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 40, state=TargetState.DRAINING))
        self.targets.announce(announcement(FIRST_START_MS, 41))
        self.assertEqual(self.count_free_slots(), 0)
        self.targets.announce(announcement(SECOND_START_MS, 1))
        self.assertEqual(self.count_free_slots(), 2)

    def test_target_that_left_stays_out_after_a_daemon_restart(self) -> None:
        """Without a start time, the target's departure holds for all starts up to now."""
        anyio.run(self.timers.advance, FIRST_START_MS / 1000 + 1)
        for born in (0, FIRST_START_MS):
            with self.subTest(born=born):
                self.targets = self.new_daemon()
                self.targets.mark_left("t1", born=born)
                self.assertIs(
                    self.targets.announce(announcement(FIRST_START_MS, 40)), AnnouncementResult.LEFT
                )
                self.targets.announce(announcement(SECOND_START_MS, 1))
                self.assertEqual(self.count_free_slots(), 2)

    def test_restored_departures_hold_for_their_starts_and_for_the_next_process(self) -> None:
        anyio.run(self.timers.advance, FIRST_START_MS / 1000 + 1)
        for born in (0, FIRST_START_MS):
            with self.subTest(born=born):
                self.targets = self.new_daemon()
                self.targets.announce(announcement(born, 40))
                self.targets.leave("t1")
                for _ in range(2):
                    known = self.departures
                    self.targets = self.new_daemon()
                    self.targets.restore(known)
                    self.assertEqual(self.departures, known)
                    heard = self.targets.announce(announcement(born, 41))
                    self.assertIs(heard, AnnouncementResult.LEFT)
                self.targets.announce(announcement(SECOND_START_MS, 1))
                self.assertEqual(self.count_free_slots(), 2)

    def test_departures_expire_once_nothing_is_heard_of_their_targets(self) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.targets.run)
                self.targets.announce(announcement(FIRST_START_MS, 40))
                self.targets.leave("t1")
                self.targets.leave("t2", born=FIRST_START_MS)
                await self.timers.advance(DEPARTURE_RETENTION_SECONDS - 2)
                self.targets.announce(announcement(FIRST_START_MS, 41))
                await self.timers.advance(4)
                self.assertEqual(self.departures, (Departure("t1", FIRST_START_MS),))
                await self.timers.advance(DEPARTURE_RETENTION_SECONDS)
                self.assertEqual(self.departures, ())
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_departures_that_are_passed_on_are_bounded(self) -> None:
        for number in range(2 * MAX_DEPARTURES):
            self.targets.leave(f"t{number}", born=FIRST_START_MS)
        self.assertEqual(len(self.departures), MAX_DEPARTURES)
        self.assertIn(f"t{2 * MAX_DEPARTURES - 1}", {each.target for each in self.departures})

    def test_repeated_reports_of_leaving_change_nothing(self) -> None:
        self.targets.announce(announcement(0, 1))
        self.targets.announce(announcement(0, 2, state=TargetState.DRAINING))
        known = self.departures
        anyio.run(self.timers.advance, 1.0)
        self.targets.announce(announcement(0, 3, state=TargetState.DRAINING))
        self.assertEqual(self.departures, known)

    def test_target_that_left_is_published_as_draining(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 40))
        self.targets.leave("t1")
        self.assertEqual(self.count_free_slots(), 0)
        states = [info.state for info in self.published]
        self.assertEqual(states, [TargetState.DRAINING])
        self.targets.announce(announcement(FIRST_START_MS, 41))
        self.assertEqual(self.count_free_slots(), 0)

    def test_late_announcement_of_a_crashed_target_does_not_replace_the_one_at_its_address(
        self,
    ) -> None:
        self.targets.announce(announcement(SECOND_START_MS, 1, name="t2"))
        late_announcement = announcement(FIRST_START_MS, 40, name="t1")
        self.assertIs(self.targets.announce(late_announcement), AnnouncementResult.ADDRESS_TAKEN)
        self.assertEqual([info.name for info in self.published], ["t2"])
        self.assertEqual(self.count_free_slots(), 2)

    def test_announcement_without_a_start_is_rejected_once_starts_are_known(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 4))
        before = self.published
        for name in ("t1", "t2"):
            heard = self.targets.announce(announcement(0, 50, name=name))
            self.assertIs(heard, AnnouncementResult.WITHOUT_START)
        self.assertEqual(self.published, before)

    def test_announcement_of_an_unknown_service_replaces_no_target(self) -> None:
        self.targets.use(configuration(Service(name="a")))
        self.targets.announce(announcement(FIRST_START_MS, 4))
        before = self.published
        for name in ("t1", "t2"):
            with self.subTest(name=name):
                unknown_service = announcement(SECOND_START_MS, 1, name=name, service="nobody")
                self.assertIs(
                    self.targets.announce(unknown_service), AnnouncementResult.UNKNOWN_SERVICE
                )
                self.assertEqual(self.published, before)

    def test_start_after_a_backward_clock_step_is_accepted_after_the_lease(self) -> None:
        """The new start looks older, and is accepted once the lease of the other has expired."""
        self.targets.announce(announcement(SECOND_START_MS, 4))
        self.assertIs(
            self.targets.announce(announcement(FIRST_START_MS, 1)), AnnouncementResult.OLDER_START
        )
        self.targets.withdraw("t1", "the target no longer announces itself")
        self.assertIs(
            self.targets.announce(announcement(FIRST_START_MS, 2)), AnnouncementResult.ACCEPTED
        )

    def test_start_after_leaving_and_a_backward_clock_step_is_accepted_after_half_a_minute(
        self,
    ) -> None:
        self.targets.announce(announcement(SECOND_START_MS, 4))
        self.targets.leave("t1")
        self.targets.withdraw("t1", "the target no longer announces itself")
        self.assertIs(
            self.targets.announce(announcement(FIRST_START_MS, 1)), AnnouncementResult.LEFT
        )
        anyio.run(self.timers.advance, 31.0)
        self.assertIs(
            self.targets.announce(announcement(SECOND_START_MS, 5)), AnnouncementResult.LEFT
        )
        self.assertIs(
            self.targets.announce(announcement(FIRST_START_MS, 2)), AnnouncementResult.ACCEPTED
        )

    def test_each_change_of_a_target_is_reported(self) -> None:
        self.targets.announce(announcement(FIRST_START_MS, 40))
        self.targets.announce(announcement(SECOND_START_MS, 1))
        self.targets.announce(announcement(FIRST_START_MS, 41))
        reported = [(news.born, news.what, news.reason) for news in self.news]
        self.assertEqual(
            reported,
            [
                (FIRST_START_MS, "announced", ""),
                (FIRST_START_MS, "withdrawn", "the target has started again"),
                (SECOND_START_MS, "announced", ""),
                (FIRST_START_MS, "passed_over", "older start"),
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


class CandidateStatisticsTest(unittest.TestCase):
    def setUp(self) -> None:
        timers = ManualTimers()
        own = Member("near-1", 1, 0, MemberState.ALIVE, "near", "127.0.0.1", 1, 2, 3)
        self.table = MemberTable(own, timers)
        self.picker = Picker(table=self.table, timers=timers, seed=random.Random(1))

    def test_failures_and_pace_do_not_carry_over_to_the_next_start(self) -> None:
        self.table.merge(member(1, born=FIRST_START_MS))
        first_candidate = self.picker.candidate("a", "far-1")
        assert first_candidate is not None
        for _ in range(9):
            self.picker.begin(first_candidate)
            self.picker.end(first_candidate, OutcomeUnknown("reset"), load=2.0, mean_seconds=3.0)
        self.assertGreater(first_candidate.ejected_until, 0)
        self.table.merge(member(2, born=SECOND_START_MS))
        second_candidate = self.picker.candidate("a", "far-1")
        assert second_candidate is not None
        self.assertEqual(
            (
                second_candidate.ejected_until,
                second_candidate.mean_seconds,
                second_candidate.failure_share,
            ),
            (0, 0, 0),
        )

    def test_response_of_the_previous_start_is_not_counted_for_the_next(self) -> None:
        self.table.merge(member(1, born=FIRST_START_MS))
        first_candidate = self.picker.candidate("a", "far-1")
        assert first_candidate is not None
        self.picker.begin(first_candidate)
        self.table.merge(member(2, born=SECOND_START_MS))
        self.picker.end(first_candidate, Answer(200, b"", b"", True, 0), load=2.0, mean_seconds=3.0)
        second_candidate = self.picker.candidate("a", "far-1")
        assert second_candidate is not None
        self.assertEqual(
            (
                second_candidate.outstanding,
                second_candidate.mean_seconds,
                second_candidate.reported_load,
            ),
            (0, 0, 0),
        )

    def test_statistics_are_kept_within_a_start(self) -> None:
        self.table.merge(member(1, born=FIRST_START_MS))
        first_candidate = self.picker.candidate("a", "far-1")
        self.table.merge(member(2, born=FIRST_START_MS))
        self.assertIs(self.picker.candidate("a", "far-1"), first_candidate)


if __name__ == "__main__":
    unittest.main()
