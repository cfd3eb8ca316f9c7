"""Targets that state limits, on the modelled mesh: the bound holds and callers lose little."""

from __future__ import annotations

import math
import unittest

from attrs import evolve
from load import Load, Outcome
from load_model import run_load
from test_overload import mesh_load, with_targets

#: The bound of the platform: see `platform/tests/test_stated_limits.py`.
SETTLED_S = 3.0
SPAN_S = 4.0
FACTOR = 1.5
SLACK = 5
BOUND_AFTER_S = 0.5
#: Seconds for which callers issue calls.
LOAD_S = 8.5


def with_limits(load: Load, count: int, rate: float, **changes: object) -> Load:
    """Returns the load with limits stated by the first targets."""
    return with_targets(load, count, stated_rate=rate, **changes)  # type: ignore[arg-type]


def most_in_span(load: Load, outcome: Outcome, *, since: float) -> dict[str, int]:
    """Returns for each limited target the most calls of bound entries in any span of `SPAN_S`."""
    most = {}
    for target in load.targets:
        if target.stated_rate == math.inf:
            continue
        moments = [
            at
            for at, entry in outcome.arrivals[target.host]
            if at >= since
            and at >= outcome.told.get((entry, target.host), math.inf) + BOUND_AFTER_S
        ]
        most[target.host] = max(
            (sum(first <= at < first + SPAN_S for at in moments) for first in moments), default=0
        )
    return most


def utility(outcome: Outcome) -> float:
    """Returns the value of all callers' calls as a share of the attainable one."""
    tallies = [outcome.tally_of(name) for name in ("browse", "pay", "publish")]
    return sum(t.utility * t.issued for t in tallies) / sum(t.issued for t in tallies)


class StatedLimitsLoadTest(unittest.TestCase):
    def check_bound(self, load: Load, rate: float, *, since: float = SETTLED_S) -> None:
        allowed = FACTOR * SPAN_S * rate + SLACK
        for seed in (1, 2):
            outcome = run_load(load, seed=seed)
            for host, most in most_in_span(load, outcome, since=since).items():
                with self.subTest(rate=rate, seed=seed, host=host):
                    self.assertLessEqual(most, allowed)

    # Guards against entries that each keep to the limit and exceed it together.
    def test_bound_holds_over_all_entries(self) -> None:
        for rate in (0.0, 2.7, 20.0):
            load = with_limits(mesh_load(4, share=0.4, seconds=LOAD_S), 2, rate)
            self.check_bound(load, rate)

    # Guards against a bucket that starts full again and again.
    def test_bound_holds_while_daemons_beside_the_targets_restart(self) -> None:
        restarts = tuple(4.0 + 0.9 * number for number in range(7))
        for rate in (2.7, 20.0):
            base = mesh_load(4, share=0.4, seconds=LOAD_S)
            load = with_limits(base, 2, rate, daemon_restarts=restarts)
            self.check_bound(load, rate)

    def test_limit_that_ends_is_forgotten(self) -> None:
        base = mesh_load(5, share=0.8, seconds=LOAD_S)
        load = with_limits(base, 2, 2.7, stated_window=(0.0, 4.0))
        for seed in (1, 2):
            outcome = run_load(load, seed=seed)
            for target in load.targets[:2]:
                after = sum(6.0 <= at < 10.0 for at, _ in outcome.arrivals[target.host])
                self.assertGreater(after, 4 * 4.0 * 2.7)

    def test_limited_targets_cost_callers_no_more_than_their_absence(self) -> None:
        for share in (0.8, 1.0):
            base = mesh_load(6, share=share)
            absent = with_targets(base, 2, unavailable_window=(0.0, math.inf))
            for rate in (3.0, 20.0):
                limited = with_limits(base, 2, rate)
                for seed in (1, 2):
                    with self.subTest(share=share, rate=rate, seed=seed):
                        without = utility(run_load(absent, seed=seed))
                        self.assertGreaterEqual(
                            utility(run_load(limited, seed=seed)), without - 0.01
                        )

    def test_urgent_calls_get_the_turns_of_a_service_whose_targets_are_all_limited(self) -> None:
        base = mesh_load(5)
        targets = tuple(
            evolve(t, stated_rate=25.0) if t.service == "second" else t for t in base.targets
        )
        for seed in (1, 2):
            outcome = run_load(evolve(base, targets=targets), seed=seed)
            shares = {name: outcome.tally_of(name).utility for name in ("browse", "pay", "publish")}
            self.assertGreater(shares["pay"], shares["browse"])
            refused = outcome.tally_of("publish").refused
            self.assertGreater(refused, 0)


if __name__ == "__main__":
    unittest.main()
