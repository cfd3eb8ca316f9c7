"""Exposure stays within its bound under restarts, lost updates and any order of events."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from acaciayard_rollouts import (
    BASE_LEASE,
    NEW_LEASE,
    Phase,
    Rollout,
    RolloutBook,
    RolloutRun,
    Side,
    Stage,
)
from acaciayard_timers import ManualTimers

SHARE = 0.1
SERVICE = "quotes"
ORDER = Rollout(SERVICE, version="v2", base="v1", order=1, duration_s=14.0)

#: Events, each with the daemon that it happens to.
STEPS = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.sampled_from(["call", "call", "call", "answer", "refuse", "lose", "restart", "told"]),
        st.sampled_from([Stage.TRIAL, Stage.FULL]),
    ),
    max_size=300,
)


class Daemon:
    """One daemon, which loses its state when restarted."""

    def __init__(self, clock: ManualTimers, seed: int) -> None:
        self._clock = clock
        self._seed = random.Random(seed)
        self.answered = 0
        self.exposed = 0
        self.restart()

    def restart(self) -> None:
        """Drop all state; calls that were sent still count."""
        self.book = RolloutBook(timers=self._clock, exposure_share=SHARE, seed=self._seed)
        self.runs: list[tuple[Side, RolloutRun]] = []

    def call(self) -> None:
        """Send a call to the version that the book allows."""
        versions = self.book.versions(SERVICE)
        if versions.side is None:
            return
        version = "v2" if versions.admits("v2") else "v1"
        run = self.book.begin(SERVICE, "r", version=version, host="h")
        assert run is not None
        side = Side.NEW if version == "v2" else Side.BASE
        self.exposed += side is Side.NEW
        self.runs.append((side, run))


class ExposureTest(unittest.TestCase):
    @given(STEPS)
    def test_total_exposure_of_all_daemons_stays_within_the_share(
        self, steps: list[tuple[int, str, Stage]]
    ) -> None:
        clock = ManualTimers()
        daemons = [Daemon(clock, n) for n in range(5)]
        for number, what, stage in steps:
            daemon = daemons[number]
            match what:
                case "call":
                    daemon.call()
                case "restart":
                    daemon.restart()
                case "told":
                    daemon.book.merge([ORDER.with_changes(stage=int(stage))], source="member")
                case _ if daemon.runs:
                    side, run = daemon.runs.pop(0)
                    if what == "answer":
                        run.end(is_bad=False)
                        daemon.answered += 1
                    elif what == "refuse":
                        run.end_refused()
                        daemon.exposed -= side is Side.NEW
                    else:
                        run.end_unknown()
            answered = sum(each.answered for each in daemons)
            self.assertLessEqual(sum(each.exposed for each in daemons), SHARE * answered)

    def test_version_on_trial_gets_some_calls(self) -> None:
        daemon = Daemon(ManualTimers(), 1)
        daemon.book.merge([ORDER], source="member")
        for _ in range(2000):
            daemon.call()
            daemon.runs.pop()[1].end(is_bad=False)
        self.assertGreater(daemon.exposed, 20)
        self.assertLess(daemon.exposed, 80)


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualTimers()
        self.book = RolloutBook(timers=self.clock, exposure_share=1.0, seed=random.Random(1))
        self.book.merge([ORDER.with_changes(stage=int(Stage.FULL))], source="member")
        run = self.book.begin(SERVICE, "r", version="v1", host="h")
        assert run is not None
        run.end(is_bad=False)

    async def test_new_version_gets_no_calls_after_its_lease(self) -> None:
        self.assertTrue(self.book.versions(SERVICE).admits("v2"))
        await self.clock.advance(NEW_LEASE + 0.1)
        self.assertFalse(self.book.versions(SERVICE).admits("v2"))

    async def test_old_version_gets_no_calls_after_its_lease(self) -> None:
        book = RolloutBook(timers=self.clock, exposure_share=0.1)
        book.merge([ORDER], source="member")
        await self.clock.advance(BASE_LEASE - 0.1)
        self.assertTrue(book.versions(SERVICE).admits("v1"))
        await self.clock.advance(0.2)
        self.assertFalse(book.versions(SERVICE).admits("v1"))
        self.assertIn("no word", book.versions(SERVICE).refusal)
        book.merge([ORDER], source="member")
        self.assertTrue(book.versions(SERVICE).admits("v1"))

    async def test_old_version_gets_no_calls_in_the_full_stage(self) -> None:
        versions = self.book.versions(SERVICE)
        self.assertFalse(versions.admits("v1"))

    async def test_outdated_update_renews_no_lease(self) -> None:
        await self.clock.advance(NEW_LEASE + 0.1)
        self.book.merge([ORDER], source="member")
        self.assertFalse(self.book.versions(SERVICE).admits("v2"))


class UpdateTest(unittest.TestCase):
    """Merging updates on a rollout gives the same result in any order."""

    WORDS = (
        ORDER,
        ORDER.with_changes(stage=int(Stage.FULL)),
        ORDER.with_changes(phase=int(Phase.ROLLED_BACK)),
        ORDER.with_changes(phase=int(Phase.SUCCEEDED)),
        ORDER.with_changes(order=2, version="v3"),
    )

    @given(st.permutations(WORDS))
    def test_newest_order_wins(self, updates: list[Rollout]) -> None:
        book = RolloutBook(timers=ManualTimers(), exposure_share=0.1)
        for update in updates:
            book.merge([update], source="member")
        found = book.find(SERVICE)
        assert found is not None
        self.assertEqual((found.order, found.version), (2, "v3"))

    @given(st.permutations(WORDS[:3]))
    def test_rolled_back_version_stays_rolled_back(self, updates: list[Rollout]) -> None:
        book = RolloutBook(timers=ManualTimers(), exposure_share=1.0)
        for update in updates:
            book.merge([update], source="member")
        self.assertFalse(book.versions(SERVICE).admits("v2"))
        self.assertTrue(book.versions(SERVICE).admits("v1"))

    def test_old_version_gets_no_calls_after_the_success(self) -> None:
        book = RolloutBook(timers=ManualTimers(), exposure_share=0.1)
        book.merge([ORDER.with_changes(phase=int(Phase.SUCCEEDED))], source="store")
        self.assertFalse(book.versions(SERVICE).admits("v1"))
        self.assertTrue(book.versions(SERVICE).admits("v2"))

    def test_any_version_is_allowed_without_an_order(self) -> None:
        book = RolloutBook(timers=ManualTimers(), exposure_share=0.0)
        self.assertTrue(book.versions(SERVICE).admits("v7"))
        self.assertIsNone(book.begin(SERVICE, "r", version="v7", host="h"))


if __name__ == "__main__":
    unittest.main()
