"""What targets state in responses, as known to the daemons beside them and to those of callers."""

from __future__ import annotations

import math
import random
import unittest

import anyio
from call_harness import DIALECT, CallHarness, Host, ScriptedTarget, answer, configuration

from acaciayard_admission import Announcement, AnnouncementResult, LocalTargets, TargetEvent
from acaciayard_callmodel import NO_NOTICE, Answer, StartNotice, TargetNotice
from acaciayard_handover import RemoteExchange, call_pool
from acaciayard_http1 import RequestHead
from acaciayard_membership import Member, MemberState, MemberTable, TargetInfo, TargetState
from acaciayard_membership._messages import MEMBER_CODEC
from acaciayard_resources import Route, Service
from acaciayard_routing import Picker, Router
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import Address, ByteStream, MessageError, Traffic

ADDRESS = Address("127.0.0.1", 80)
LIMITED = TargetNotice(max_rate=2.0)
LEAVING = TargetNotice(is_leaving=True)


def announcement(name: str = "t1", sequence: int = 1) -> Announcement:
    return Announcement(
        service="a", name=name, address=ADDRESS, slots=4, connections=9, sequence=sequence
    )


def forwarded(name: str = "t1", *, rate: float = math.inf, leaving: bool = False) -> StartNotice:
    return StartNotice(target=name, born=0, max_rate=rate, is_leaving=leaving)


class LocalNoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.published: tuple[TargetInfo, ...] = ()
        self.news: list[TargetEvent] = []
        self.timers = ManualTimers()
        self.targets = LocalTargets(
            timers=self.timers,
            pause=PauseDetector(self.timers, threshold=5.0),
            traffic=Traffic(),
            host="near-1",
            publish=self.store_published,
            on_event=self.news.append,
        )
        self.targets.announce(announcement())

    def store_published(self, published: tuple[TargetInfo, ...]) -> None:
        self.published = published

    def hear(self, notice: TargetNotice, *, asked_at: float = 0.0) -> None:
        target = self.targets.pick("a")
        assert target is not None
        self.targets.hear(target, notice, asked_at=asked_at)

    def max_rate(self) -> float:
        target = self.targets.pick("a")
        assert target is not None
        return target.gate.max_rate

    def test_limit_of_a_target_applies_and_ends(self) -> None:
        self.hear(LIMITED)
        self.assertEqual((self.max_rate(), self.targets.limited), (2.0, 1))
        self.hear(NO_NOTICE, asked_at=1.0)
        self.assertEqual((self.max_rate(), self.targets.limited), (math.inf, 0))
        self.assertEqual([n.what for n in self.news], ["announced", "limited", "unlimited"])

    def test_other_daemons_are_told_that_a_limit_has_ended(self) -> None:
        target = self.targets.pick("a")
        assert target is not None
        self.assertEqual(self.targets.stated(target), ())
        self.hear(LIMITED)
        self.hear(NO_NOTICE, asked_at=1.0)
        self.assertEqual(self.targets.stated(target), (forwarded(),))

    def test_unreadable_limit_is_reported_once_and_changes_nothing(self) -> None:
        self.hear(LIMITED)
        for _ in range(3):
            self.hear(TargetNotice(fault="x-rate: no number"), asked_at=1.0)
        self.assertEqual(self.max_rate(), 2.0)
        reported = [n.reason for n in self.news if n.what == "limit_unreadable"]
        self.assertEqual(reported, ["x-rate: no number"])

    # Guards against a limit that is forgotten while the target's announcements are held up.
    def test_limit_outlives_the_registration_of_the_target(self) -> None:
        self.hear(LIMITED)
        self.targets.withdraw("t1", "the target no longer announces itself")
        self.targets.announce(announcement(sequence=2))
        self.assertEqual(self.max_rate(), math.inf)
        self.targets.adopt([forwarded(rate=2.0)])
        self.assertEqual(self.max_rate(), 2.0)

    # Guards against a limit that a call brings which began before the target was lost and found.
    def test_response_counts_for_the_target_that_was_found_again(self) -> None:
        lost = self.targets.pick("a")
        assert lost is not None
        self.targets.withdraw("t1", "the target no longer announces itself")
        self.targets.announce(announcement(sequence=2))
        self.hear(NO_NOTICE)
        self.targets.hear(lost, LIMITED, asked_at=0.0)
        self.assertEqual(self.max_rate(), 2.0)
        self.assertEqual([n.max_rate for n in self.targets.stated(lost)], [2.0])

    def test_target_itself_is_believed_rather_than_other_daemons(self) -> None:
        self.hear(NO_NOTICE)
        self.targets.adopt([forwarded(rate=2.0)])
        self.assertEqual(self.max_rate(), math.inf)

    def test_next_start_is_not_bound(self) -> None:
        self.hear(LIMITED)
        self.targets.adopt([forwarded("t2", rate=3.0)])
        self.targets.announce(announcement("t2"))
        self.assertEqual(self.max_rate(), math.inf)

    # Guards against a target that states its leaving, reports that it is ready and gets calls.
    def test_leaving_target_is_closed_whatever_it_announces(self) -> None:
        self.hear(LEAVING)
        self.targets.announce(announcement(sequence=2))
        target = self.targets.pick("a")
        assert target is not None
        self.assertTrue(target.gate.is_closed)
        self.assertEqual([t.state for t in self.published], [TargetState.DRAINING])

    # Guards against a leaving that only daemons of callers know after a restart.
    def test_leaving_that_another_daemon_forwarded(self) -> None:
        self.targets.adopt([forwarded(leaving=True), forwarded("t2", leaving=True)])
        target = self.targets.pick("a")
        assert target is not None
        self.assertTrue(target.gate.is_closed)
        self.assertIs(self.targets.announce(announcement("t2")), AnnouncementResult.LEFT)


def member(incarnation: int, *names: str) -> Member:
    return Member(
        host="far-1",
        incarnation=incarnation,
        sequence=0,
        state=MemberState.ALIVE,
        domain="near",
        ip="127.0.0.2",
        control_port=1,
        call_port=2,
        api_port=3,
        targets=tuple(TargetInfo("a", name, 4) for name in names),
    )


class PickerNoticesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        own = Member("near-1", 1, 0, MemberState.ALIVE, "near", "127.0.0.1", 1, 2, 3)
        own = own.with_changes(targets=(TargetInfo("a", "t0", 4),))
        self.table = MemberTable(own, self.timers)
        self.picker = Picker(table=self.table, timers=self.timers, seed=random.Random(1))
        self.router = Router(
            configuration(Service(name="a", warm_up_s=0), Route(name="r", service="a"))
        )
        plan = self.router.match(host="x", path="/", method="GET")
        assert plan is not None
        self.plan = plan
        self.merge(member(1, "t1"))

    def merge(self, added: Member) -> None:
        self.table.merge(MEMBER_CODEC.encode(added))

    def hear(self, *notices: StartNotice) -> None:
        candidate = self.picker.candidate("a", "far-1")
        assert candidate is not None
        self.picker.hear(candidate, notices, asked_at=self.timers.now())

    def picked_hosts(self) -> set[str]:
        candidates = [self.picker.pick(self.plan, self.router, avoid=()) for _ in range(100)]
        return {candidate.host for candidate in candidates if candidate is not None}

    def test_host_whose_limit_allows_no_call_yet_is_not_preferred(self) -> None:
        self.hear(StartNotice("t1", 0, max_rate=2.0, opens_in=0.5))
        candidate = self.picker.candidate("a", "far-1")
        assert candidate is not None
        self.assertTrue(self.picker.is_full(candidate))
        self.assertEqual(self.picked_hosts(), {"near-1"})

    def test_host_is_used_again_when_its_limit_allows_a_call(self) -> None:
        async def run() -> None:
            self.hear(StartNotice("t1", 0, max_rate=2.0, opens_in=0.5))
            await self.timers.advance(0.6)
            self.assertEqual(self.picked_hosts(), {"near-1", "far-1"})

        anyio.run(run)

    # Guards against a limit or a leaving that a caller's daemon forgets when the daemon beside the
    # target restarts.
    def test_notices_outlive_the_daemon_beside_the_target(self) -> None:
        self.hear(forwarded("t1", rate=2.0, leaving=True))
        self.merge(member(2, "t1"))
        self.assertEqual(self.picked_hosts(), {"near-1"})
        told = self.picker.notices_of("far-1")
        self.assertEqual(told, (forwarded("t1", rate=2.0, leaving=True),))
        candidate = self.picker.candidate("a", "far-1")
        assert candidate is not None
        self.assertEqual(candidate.max_rate, 2.0)

    def test_other_start_of_the_host_gets_calls(self) -> None:
        self.hear(forwarded("t1", leaving=True))
        self.merge(member(1, "t1").with_changes(sequence=1, targets=member(1, "t2").targets))
        self.assertEqual(self.picked_hosts(), {"near-1", "far-1"})

    def test_second_target_of_the_host_gets_calls(self) -> None:
        self.merge(member(2, "t1", "t2"))
        self.hear(forwarded("t1", leaving=True))
        candidate = self.picker.candidate("a", "far-1")
        assert candidate is not None
        self.assertEqual((candidate.slots, candidate.max_rate), (4, math.inf))

    def test_notices_that_no_longer_apply_are_dropped(self) -> None:
        self.hear(forwarded("t1", rate=2.0))
        self.hear(forwarded("t1"))
        self.assertEqual(self.picker.notices_of("far-1"), ())


class ForwardedCallTest(unittest.TestCase):
    def run_calls(self, script_headers: str, told: tuple[StartNotice, ...]) -> None:
        """Send a call to a daemon that knows nothing, and keep what both ends know then."""

        async def respond(head: RequestHead, stream: ByteStream) -> None:
            self.rate_at_target = self.far.targets.all[0].gate.max_rate
            await stream.send(answer(head, extra_headers=script_headers))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                self.far = Host("far", ScriptedTarget(respond))
                self.far.server._dialect = DIALECT.with_changes(rate_limit=b"x-rate")
                await self.far.open(tasks, slots=4)
                near = Host("near", None)
                await near.open(tasks, slots=1)
                harness = CallHarness(near, [self.far], tasks)
                exchange = RemoteExchange(
                    harness.call(),
                    address=Address("127.0.0.1", self.far.server.port),
                    pool=call_pool(traffic=near.traffic, timers=near.timers, connect_within=0.5),
                    timers=near.timers,
                    forwarded=told,
                )
                outcome = await exchange.start() or await exchange.answer()
                self.assertIsInstance(outcome, Answer)
                self.notices = exchange.notices
                exchange.close()
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_limit_is_told_with_the_answer(self) -> None:
        self.run_calls("x-rate: 2.5\r\n", ())
        (notice,) = self.notices
        self.assertEqual((notice.target, notice.max_rate), ("target-far", 2.5))
        self.assertEqual(notice.opens_in, 0.0)  # a first limit starts with one token

    # Guards against a restarted daemon that learns of a limit only after it has let calls through.
    def test_limit_is_told_with_the_call_before_it_is_sent(self) -> None:
        self.run_calls("", (StartNotice("target-far", 0, max_rate=3.0),))
        self.assertEqual(self.rate_at_target, 3.0)
        self.assertEqual([notice.max_rate for notice in self.notices], [math.inf])

    def test_answer_of_a_target_that_states_nothing_carries_nothing(self) -> None:
        self.run_calls("", ())
        self.assertEqual(self.notices, ())

    def test_notices_that_make_no_sense_end_the_connection(self) -> None:
        from acaciayard_handover._notices import pack_notices, unpack_notices

        for notice in (forwarded(rate=-1.0), forwarded(rate=math.nan), forwarded("x" * 300)):
            with self.subTest(notice), self.assertRaises(MessageError):
                unpack_notices(pack_notices([notice]))
        with self.assertRaises(MessageError):
            unpack_notices([b"\x01"])


if __name__ == "__main__":
    unittest.main()
