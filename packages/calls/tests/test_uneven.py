"""Periodic demand peaks, and targets with short slow intervals.

The load has three services at a third of their size.  Each view makes two concurrent calls to a
second service, and each filing makes one call to a small third one.  The demand of the three
failure domains rises and falls by half with shifted phases, so that one has twice the usual demand
while another has half of it.  Targets are 2.5 times slower in one of seven intervals of 0.6 s.  The
slots suffice for nearly twice the usual rates.
"""

from __future__ import annotations

import math
import unittest
from typing import Any, Final
from unittest import mock

from attrs import evolve
from load import CallClass, Load, Outcome, Target
from load_model import run_load

from acaciayard_routing import Picker

VIEW: Final = CallClass(
    name="view",
    rate=144.0,
    service_time=0.19,
    sigma=0.5,
    latency_goal=0.675,
    deadline=3.375,
    service="map",
    idempotent=True,
    nested_share=0.7,
    nested="look",
    nested_count=2,
    nested_concurrently=True,
    retries=1,
)
FILE: Final = CallClass(
    name="file",
    rate=55.0,
    service_time=0.25,
    latency_goal=0.883,
    deadline=3.3,
    service="records",
    priority=1,
    nested_share=0.7,
    nested="tile",
    retries=1,
)
UPLOAD: Final = CallClass(
    name="upload",
    rate=14.6,
    service_time=0.22,
    sigma=0.4,
    latency_goal=1.195,
    deadline=4.78,
    service="images",
    priority=2,
    retries=1,
)
LOOK: Final = CallClass(
    name="look",
    rate=0.0,
    service_time=0.055,
    sigma=0.5,
    latency_goal=0.266,
    deadline=0.8,
    service="records",
    priority=1,
    idempotent=True,
    retries=0,
)
TILE: Final = evolve(LOOK, name="tile", service="images", priority=2)
DOMAINS: Final = ("a", "b", "c")
#: Factors on the service time, assigned to the targets in turn.
SLOWNESS: Final = {"map": (0.6, 1.0, 1.6), "records": (0.7, 0.7, 1.6), "images": (0.7, 1.6)}
COUNTS: Final = {"map": 11, "records": 7, "images": 2}
#: Period of the demand of a failure domain, and amplitude relative to the mean.
_PERIOD_S: Final = 13.0
_AMPLITUDE: Final = 0.55


def demand_wave(now: float, domain: str) -> float:
    phase = now / _PERIOD_S + DOMAINS.index(domain) / len(DOMAINS)
    return 1 + _AMPLITUDE * math.sin(2 * math.pi * phase)


def uneven_load(share: float) -> Load:
    """Returns the load at `share` of its usual rates."""
    targets = [
        Target(
            f"{name}-{n}",
            DOMAINS[(n + n // 3) % 3],
            name,
            6,
            SLOWNESS[name][n % len(SLOWNESS[name])],
            noise_factor=2.5,
            noisy_share=0.0 if name == "images" else 0.15,
        )
        for name, count in COUNTS.items()
        for n in range(count)
    ]
    issued = [
        evolve(call_class, rate=call_class.rate * share) for call_class in (VIEW, FILE, UPLOAD)
    ]
    classes = (*issued, LOOK, TILE)
    return Load(targets=tuple(targets), classes=classes, seconds=7.0, demand_factor=demand_wave)


def min_share_within_goal(outcome: Outcome) -> float:
    tallies = [outcome.tally_of(name) for name in ("view", "file", "upload")]
    return min(tally.within_goal / tally.issued for tally in tallies)


def _choose_any(picker: Any, pool: Any, _now: float, _warm_up: float) -> Any:
    return picker._seed.choice(pool)


class UnevenTest(unittest.TestCase):
    def test_all_classes_meet_their_goal_through_peaks_and_slow_intervals(self) -> None:
        for seed in (1, 2):
            self.assertGreater(min_share_within_goal(run_load(uneven_load(1.0), seed=seed)), 0.95)

    def test_a_third_more_calls_still_meet_their_goal(self) -> None:
        self.assertGreater(min_share_within_goal(run_load(uneven_load(1.3), seed=1)), 0.93)

    def test_random_choice_of_targets_misses_goals(self) -> None:
        with mock.patch.object(Picker, "_best_of_sample", _choose_any):
            outcome = run_load(uneven_load(1.3), seed=1)
        self.assertLess(min_share_within_goal(outcome), 0.93)


if __name__ == "__main__":
    unittest.main()
