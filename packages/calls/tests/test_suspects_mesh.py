"""Targets that a fatal request terminates in a whole mesh, and the effect on other calls."""

from __future__ import annotations

import unittest

from attrs import evolve
from suspects_model import Load, Outcome, simulate

from acaciayard_admission import ENDS_TO_BAR

#: Seconds after the third end of a target within which all daemons must bar the request.
DETECTION_S = 3.0
#: Number of times that the request may still be sent to targets after that.
MAX_LATE_SENDS = 3
SEEDS = range(12)


def late_sends(outcome: Outcome) -> int:
    """Returns the largest number of sends of a fatal request after it had to be barred."""
    counts = [0]
    for path, sent in outcome.sent.items():
        ends = sorted(outcome.ends.get(path, ()))
        if len(ends) >= ENDS_TO_BAR:
            detected_by = ends[ENDS_TO_BAR - 1] + DETECTION_S
            counts.append(sum(at > detected_by for at in sent))
    return max(counts)


def max_ends(outcome: Outcome) -> int:
    """Returns the largest number of targets that a fatal request terminated."""
    return max((len(ends) for ends in outcome.ends.values()), default=0)


class SuspectsMeshTest(unittest.TestCase):
    """Gossip takes up to 0.4 s between any two daemons."""

    def simulate_seeds(self, load: Load) -> list[Outcome]:
        return [simulate(load, seed=seed) for seed in SEEDS]

    def test_single_copies_of_a_fatal_request(self) -> None:
        for outcome in self.simulate_seeds(Load(copies=1)):
            self.assertEqual(late_sends(outcome), 0)
            self.assertEqual(max_ends(outcome), ENDS_TO_BAR)

    def test_simultaneous_copies_at_many_entries(self) -> None:
        """The worst case: copies arrive faster than gossip spreads.

        The first copies run concurrently, and each may terminate a target; later ones run one per
        trial.
        """
        for outcome in self.simulate_seeds(Load(copies=6, interval=0.1)):
            self.assertLessEqual(late_sends(outcome), MAX_LATE_SENDS)
            self.assertLessEqual(max_ends(outcome), 13)

    def test_several_concurrent_fatal_requests(self) -> None:
        for outcome in self.simulate_seeds(Load(fatal_requests=3, copies=2)):
            self.assertEqual(late_sends(outcome), 0)
            self.assertLessEqual(max_ends(outcome), ENDS_TO_BAR + 1)

    def test_infrequent_fatal_requests(self) -> None:
        for outcome in self.simulate_seeds(Load(copies=1, interval=4.0, seconds=60.0)):
            self.assertEqual(late_sends(outcome), 0)
            self.assertEqual(max_ends(outcome), ENDS_TO_BAR)

    def test_a_large_mesh(self) -> None:
        outcome = simulate(Load(hosts=195, copies=4, good_rate=30.0, seconds=8.0), seed=1)
        self.assertLessEqual(late_sends(outcome), MAX_LATE_SENDS)

    def test_good_calls_are_served_meanwhile(self) -> None:
        """Half of the good calls request one of five paths, so that many ends affect some paths."""
        load = Load(fatal_requests=2, copies=3, interval=0.3)
        outcomes = self.simulate_seeds(load)
        issued = sum(outcome.good["issued"] for outcome in outcomes)
        refused = sum(outcome.good["trial"] + outcome.good["barred"] for outcome in outcomes)
        self.assertLess(refused, issued * 0.01, "expected about 0.5 %")
        self.assertEqual(sum(outcome.good["barred"] for outcome in outcomes), 0)

    def test_external_ends_bar_no_calls(self) -> None:
        load = Load(fatal_requests=0, external_ends=(3.0, 3.2, 9.0, 9.1, 15.0))
        outcomes = self.simulate_seeds(evolve(load, popular_share=0.8))
        issued = sum(outcome.good["issued"] for outcome in outcomes)
        refused_for_trial = sum(outcome.good["trial"] for outcome in outcomes)
        self.assertEqual(sum(outcome.good["barred"] for outcome in outcomes), 0)
        self.assertLess(refused_for_trial, issued * 0.03, "expected about 2 %")


if __name__ == "__main__":
    unittest.main()
