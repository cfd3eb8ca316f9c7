"""Targets that leave, come late, or take another one's place; and shared retry budgets."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_admission import Announcement, LocalTargets, SharedRetryBudgets
from acaciayard_callmodel import NotRun
from acaciayard_membership import TargetInfo, TargetState
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import Address, Traffic

HERE = Address("127.0.0.1", 80)


def announcement(name: str, sequence: int, state: TargetState = TargetState.READY) -> Announcement:
    return Announcement(
        service="a",
        name=name,
        address=HERE,
        slots=2,
        connections=9,
        state=state,
        sequence=sequence,
    )


class TargetIdentityTest(unittest.TestCase):
    def setUp(self) -> None:
        self.published: list[tuple[TargetInfo, ...]] = []
        timers = ManualTimers()
        self.targets = LocalTargets(
            timers=timers,
            pause=PauseDetector(timers, threshold=5.0),
            traffic=Traffic(),
            host="near-1",
            publish=self.published.append,
            is_settled=False,
        )
        self.targets.settle()

    def admits(self) -> bool:
        target = self.targets.pick("a")
        if target is None:
            return False
        entered = target.gate.try_enter(0, 100.0)
        if entered is None or isinstance(entered, NotRun):
            return False
        entered.release()
        return True

    def test_leaving_is_not_undone_by_a_late_announcement(self) -> None:
        self.targets.announce(announcement("t1", 5))
        self.assertTrue(self.admits())
        self.targets.announce(announcement("t1", 7, TargetState.DRAINING))
        self.targets.announce(announcement("t1", 6))
        self.assertFalse(self.admits())
        self.targets.announce(announcement("t1", 8))
        self.assertFalse(self.admits())

    def test_target_that_was_told_gone_does_not_come_back(self) -> None:
        self.targets.announce(announcement("t1", 5))
        self.targets.mark_left("t1")
        self.targets.withdraw("t1", "gone")
        self.targets.announce(announcement("t1", 9))
        self.assertFalse(self.admits())

    def test_leaving_that_was_heard_of_elsewhere_counts(self) -> None:
        self.targets.mark_left("t1")
        self.targets.announce(announcement("t1", 5))
        self.assertFalse(self.admits())

    def test_others_learn_whether_a_target_leaves_or_its_daemon_does(self) -> None:
        self.targets.announce(announcement("t1", 5))
        self.targets.stop()
        self.assertEqual(self.published[-1][0].state, TargetState.CLOSED)
        self.targets.announce(announcement("t1", 6, TargetState.DRAINING))
        self.assertEqual(self.published[-1][0].state, TargetState.DRAINING)

    def test_nothing_is_admitted_before_the_others_were_heard(self) -> None:
        timers = ManualTimers()
        self.targets = LocalTargets(
            timers=timers,
            pause=PauseDetector(timers, threshold=5.0),
            traffic=Traffic(),
            host="near-1",
            publish=self.published.append,
            is_settled=False,
        )
        self.targets.announce(announcement("t1", 5))
        self.assertFalse(self.admits())
        self.targets.settle()
        self.assertTrue(self.admits())

    def test_new_target_takes_the_address_over(self) -> None:
        self.targets.announce(announcement("t1", 5))
        self.targets.announce(announcement("t2", 1))
        self.targets.announce(announcement("t1", 6))
        self.assertEqual([info.name for info in self.published[-1]], ["t2"])
        self.assertTrue(self.admits())


class SharedRetryBudgetsTest(unittest.TestCase):
    def run_window(self, *, calls: int, members: int) -> int:
        """Repeats that one daemon makes in a window in which all of its calls fail."""

        async def run() -> int:
            timers = ManualTimers()
            budgets = SharedRetryBudgets(
                ratio=0.2, slack=60, window=10, members=lambda: members, timers=timers
            )
            made = 0
            for _ in range(calls):
                budgets.deposit("a", 100.0)
                made += budgets.take("a")
                await timers.advance(10 / calls)
            return made

        return anyio.run(run)

    def test_all_daemons_together_keep_the_budget(self) -> None:
        for members, calls in ((1, 500), (10, 50), (10, 2)):
            with self.subTest(members=members, calls=calls):
                together = members * self.run_window(calls=calls, members=members)
                self.assertLessEqual(together, 0.2 * calls * members + 60)
        self.assertGreater(self.run_window(calls=500, members=1), 80)

    def test_calls_made_by_repeats_use_the_budget_up(self) -> None:
        budgets = SharedRetryBudgets(
            ratio=0.2, slack=10, window=10, members=lambda: 1, timers=ManualTimers()
        )
        for _ in range(4):
            budgets.charge("a")
        self.assertFalse(budgets.take("a"))
        for _ in range(40):
            budgets.deposit("a", 100.0)
        self.assertTrue(budgets.take("a"))

    def test_what_was_not_used_is_returned(self) -> None:
        budgets = SharedRetryBudgets(
            ratio=0.2, slack=20, window=10, members=lambda: 1, timers=ManualTimers()
        )
        while budgets.take("a"):
            pass
        budgets.give_back("a")
        self.assertTrue(budgets.take("a"))
        self.assertFalse(budgets.take("a"))
