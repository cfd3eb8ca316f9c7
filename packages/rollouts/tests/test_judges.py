"""Bad versions are found within their exposure, and good ones are not rolled back.

The model is an order on 80 daemons and 140 targets with 14 calls a second per daemon: the shape and
the times of the first deployment with rollout orders.
"""

from __future__ import annotations

import random
import unittest

from rollout_model import Model
from rollout_troubles import BACKGROUNDS, BAD

from acaciayard_rollouts import (
    Evidence,
    Phase,
    RouteEvidence,
    SequentialJudge,
    SideCounts,
    bucket_of,
)


def counts(answers: int, bad: int, seconds: float = 0.2) -> SideCounts:
    """Counts of `answers` calls of which `bad` failed; the others took `seconds` each."""
    found = SideCounts()
    for number in range(answers):
        found.note(seconds, is_bad=number < bad)
    return found


def evidence(base: SideCounts, new: SideCounts, *, hosts: int = 10) -> Evidence:
    routes = {"": RouteEvidence(base, new)}
    return Evidence(routes, frozenset({1, 2} if new.bad else ()), hosts)


class SequentialJudgeTest(unittest.TestCase):
    def test_more_failures_than_the_old_version_condemn(self) -> None:
        judge = SequentialJudge()
        self.assertIsNone(judge.regression(evidence(counts(400, 2), counts(40, 1))))
        found = judge.regression(evidence(counts(400, 2), counts(40, 12)))
        assert found is not None
        self.assertEqual((found.what, found.bad, found.answers), ("failures", 12, 40))

    def test_faults_of_both_versions_condemn_neither(self) -> None:
        self.assertIsNone(SequentialJudge().regression(evidence(counts(400, 60), counts(40, 8))))

    def test_slow_answers_condemn_once_the_old_latencies_are_known(self) -> None:
        judge = SequentialJudge()
        slow = counts(30, 0, seconds=1.0)
        found = judge.regression(evidence(counts(400, 0), slow))
        assert found is not None
        self.assertEqual(found.what, "slow")
        self.assertIsNone(judge.regression(evidence(counts(20, 0), slow)))

    def test_unanswered_calls_count_as_slow(self) -> None:
        new = counts(10, 0)
        new.running[bucket_of(1.0)] = 25
        found = SequentialJudge().regression(evidence(counts(400, 0), new))
        assert found is not None
        self.assertEqual(found.what, "slow")

    def test_good_version_is_rolled_back_in_at_most_one_trial_of_a_thousand(self) -> None:
        """Checked after each answer, for as long as a trial may last."""
        seed = random.Random(1)
        judge = SequentialJudge()
        turned_back = 0
        for _ in range(400):
            base, new = counts(1500, 60), SideCounts()
            for _ in range(150):
                new.note(0.2, is_bad=seed.random() < 0.04)
                if judge.regression(evidence(base, new)):
                    turned_back += 1
                    break
        self.assertLessEqual(turned_back, 1)


class SimulatedOrderTest(unittest.TestCase):
    def test_bad_versions_fail_within_their_exposure(self) -> None:
        for name, version in BAD.items():
            for seed in range(2):
                with self.subTest(name, seed=seed):
                    outcome = Model(version, BACKGROUNDS["nothing"], seed=seed).run()
                    self.assertEqual(outcome.phase, Phase.ROLLED_BACK)
                    self.assertTrue(outcome.is_within_exposure)

    def test_good_versions_succeed_despite_faults_of_both(self) -> None:
        for name, background in BACKGROUNDS.items():
            with self.subTest(name):
                outcome = Model(BACKGROUNDS["nothing"], background, seed=3).run()
                self.assertEqual(outcome.phase, Phase.SUCCEEDED)
                self.assertEqual(outcome.old_version_calls, 0)


if __name__ == "__main__":
    unittest.main()
