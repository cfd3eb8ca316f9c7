"""Demand that comes in crests, and targets with short slow spans.

Three services at a third of their size.  Each view makes two calls at once to a second service,
each filing one to a small third one.  Demand of the three failure domains rises and falls by half,
one after the other, so that one has twice its usual while another has half; targets are 2.5 times
slower in one of seven spans of 0.6 s.  Slots are enough for nearly twice the usual rates.
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
    work=0.19,
    spread=0.5,
    goal=0.675,
    deadline=3.375,
    service="map",
    idempotent=True,
    nested_share=0.7,
    nested="look",
    nested_times=2,
    nested_together=True,
    repeats=1,
)
FILE: Final = CallClass(
    name="file",
    rate=55.0,
    work=0.25,
    goal=0.883,
    deadline=3.3,
    service="records",
    priority=1,
    nested_share=0.7,
    nested="tile",
    repeats=1,
)
UPLOAD: Final = CallClass(
    name="upload",
    rate=14.6,
    work=0.22,
    spread=0.4,
    goal=1.195,
    deadline=4.78,
    service="images",
    priority=2,
    repeats=1,
)
LOOK: Final = CallClass(
    name="look",
    rate=0.0,
    work=0.055,
    spread=0.5,
    goal=0.266,
    deadline=0.8,
    service="records",
    priority=1,
    idempotent=True,
    repeats=0,
)
TILE: Final = evolve(LOOK, name="tile", service="images", priority=2)
DOMAINS: Final = ("a", "b", "c")
#: How many times as long as usual the work of targets takes, in turn.
SLOWNESS: Final = {"map": (0.6, 1.0, 1.6), "records": (0.7, 0.7, 1.6), "images": (0.7, 1.6)}
COUNTS: Final = {"map": 11, "records": 7, "images": 2}
#: Seconds from one crest of a failure domain to its next one, and by how much demand swings.
_PERIOD: Final = 13.0
_SWING: Final = 0.55


def crests(now: float, domain: str) -> float:
    turn = now / _PERIOD + DOMAINS.index(domain) / len(DOMAINS)
    return 1 + _SWING * math.sin(2 * math.pi * turn)


def uneven_load(share: float) -> Load:
    """The load at `share` of its usual rates."""
    targets = [
        Target(
            f"{name}-{n}",
            DOMAINS[(n + n // 3) % 3],
            name,
            6,
            SLOWNESS[name][n % len(SLOWNESS[name])],
            noise=2.5,
            noisy_share=0.0 if name == "images" else 0.15,
        )
        for name, count in COUNTS.items()
        for n in range(count)
    ]
    asked = [evolve(kind, rate=kind.rate * share) for kind in (VIEW, FILE, UPLOAD)]
    classes = (*asked, LOOK, TILE)
    return Load(targets=tuple(targets), classes=classes, seconds=7.0, swell=crests)


def least_in_goal(outcome: Outcome) -> float:
    tallies = [outcome.of(name) for name in ("view", "file", "upload")]
    return min(tally.in_goal / tally.asked for tally in tallies)


def _any_of_pool(picker: Any, pool: Any, _now: float, _warm_up: float) -> Any:
    return picker._seed.choice(pool)


class UnevenTest(unittest.TestCase):
    def test_crests_and_slow_spans_cost_no_class_its_goal(self) -> None:
        for seed in (1, 2):
            self.assertGreater(least_in_goal(run_load(uneven_load(1.0), seed=seed)), 0.95)

    def test_a_third_more_is_served_as_well(self) -> None:
        self.assertGreater(least_in_goal(run_load(uneven_load(1.3), seed=1)), 0.93)

    def test_a_choice_that_knows_nothing_of_targets_is_not_enough(self) -> None:
        with mock.patch.object(Picker, "_best_of_sample", _any_of_pool):
            outcome = run_load(uneven_load(1.3), seed=1)
        self.assertLess(least_in_goal(outcome), 0.93)


if __name__ == "__main__":
    unittest.main()
