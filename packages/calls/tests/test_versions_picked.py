"""Choice between the versions of a service before, during and after a rollout."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from acaciayard_membership import MEMBER_CODEC, Member, MemberState, MemberTable, TargetInfo
from acaciayard_resources import Configuration, Route, Service, Stored, TimeoutPolicy, key_of
from acaciayard_rollouts import Phase, Rollout, RolloutBook, Stage
from acaciayard_routing import Picker, Plan, Router
from acaciayard_timers import ManualTimers

ROLLOUT = Rollout("a", version="v2", base="v1", order=1, duration_s=14.0)


def configuration() -> Configuration:
    resources = (
        Service(name="a"),
        TimeoutPolicy(name="t", total_s=1.0),
        Route(name="r", service="a", host="x", path="/", timeout="t"),
    )
    stored = {key_of(each): Stored(each, 1, "", 0.0) for each in resources}
    return Configuration(version=1, stored=stored)


class VersionsPickedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        own_member = Member("own", 1, 1, int(MemberState.ALIVE), "d", "127.0.0.1", 1, 2, 0)
        self.table = MemberTable(own_member, self.timers)
        self.router = Router(configuration())
        plan = self.router.match(host="x", path="/", method="GET")
        assert isinstance(plan, Plan)
        self.plan = plan

    def add_hosts(self, version: str, count: int) -> None:
        """Adds hosts whose targets run the given version."""
        for number in range(count):
            target = TargetInfo("a", f"{version}-{number}", 4, version=version)
            member = Member(
                f"{version}-host-{number}",
                1,
                1,
                int(MemberState.ALIVE),
                "d",
                "127.0.0.1",
                1,
                2,
                0,
                (target,),
            )
            self.table.merge(MEMBER_CODEC.encode(member))

    def count_picks(self, book: RolloutBook) -> Counter[str]:
        """Counts the picked versions of 300 calls, each of which succeeds at once."""
        rng = random.Random(1)
        picker = Picker(table=self.table, timers=self.timers, seed=rng, rollouts=book)
        picks: Counter[str] = Counter()
        for _ in range(300):
            candidate = picker.pick(self.plan, self.router, avoid=())
            if candidate is None:
                picks["none"] += 1
                continue
            picks[candidate.version] += 1
            run = book.begin("a", "r", version=candidate.version, host=candidate.host)
            if run is not None:
                run.end(is_bad=False)
        return picks

    def book(self, *rollouts: Rollout, share: float = 0.1) -> RolloutBook:
        book = RolloutBook(timers=self.timers, exposure_share=share, seed=random.Random(2))
        book.merge(rollouts, source="member")
        return book

    def test_versions_are_ignored_without_rollouts(self) -> None:
        self.add_hosts("v1", 4)
        self.add_hosts("v2", 2)
        picks = self.count_picks(self.book(share=0.0))
        self.assertEqual(set(picks), {"v1", "v2"})

    def test_version_without_a_rollout_gets_no_calls(self) -> None:
        self.add_hosts("v1", 4)
        self.add_hosts("v2", 4)
        self.assertEqual(set(self.count_picks(self.book())), {"v1"})

    def test_version_on_trial_gets_few_calls(self) -> None:
        self.add_hosts("v1", 4)
        self.add_hosts("v2", 4)
        picks = self.count_picks(self.book(ROLLOUT))
        self.assertGreater(picks["v2"], 0)
        self.assertLess(picks["v2"], 30)

    def test_trial_without_a_target_leaves_all_calls_to_the_base_version(self) -> None:
        self.add_hosts("v1", 4)
        self.assertEqual(self.count_picks(self.book(ROLLOUT)), {"v1": 300})

    def test_each_outcome_leaves_one_version(self) -> None:
        self.add_hosts("v1", 4)
        self.add_hosts("v2", 4)
        for phase, remaining in ((Phase.SUCCEEDED, "v2"), (Phase.ROLLED_BACK, "v1")):
            with self.subTest(remaining):
                book = self.book(ROLLOUT.with_changes(phase=int(phase)))
                self.assertEqual(self.count_picks(book), {remaining: 300})

    def test_full_stage_sends_no_calls_to_the_base_version(self) -> None:
        self.add_hosts("v1", 4)
        self.add_hosts("v2", 4)
        picks = self.count_picks(self.book(ROLLOUT.with_changes(stage=int(Stage.FULL)), share=1.0))
        self.assertEqual(picks["v1"], 0)


if __name__ == "__main__":
    unittest.main()
