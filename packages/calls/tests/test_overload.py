"""Overload and degraded targets: which calls wait, which are refused, and where calls are sent.

Each load is a pattern of its own: ten seconds of a real mesh at a third of its size.  The first of
two services calls the second, the speed of the targets of a service differs by more than a factor
of two, and the most urgent of three classes of calls goes to the second service.  Service times are
40 to 80 ms with latency goals of 150 to 250 ms, so that a call that waits for the service time of
another one still meets its goal.
"""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Iterator
from typing import Any, Final
from unittest import mock

from attrs import evolve
from load import CallClass, Load, Outcome, Target
from load_exchange import ModelParts
from load_model import run_load

from acaciayard_routing import Picker

BROWSE: Final = CallClass(
    name="browse",
    rate=390.0,
    service_time=0.060,
    sigma=0.7,
    latency_goal=0.2,
    deadline=1.2,
    priority=2,
    idempotent=True,
    nested_share=0.7,
    nested="peek",
)
PAY: Final = CallClass(
    name="pay",
    rate=140.0,
    service_time=0.078,
    sigma=0.5,
    latency_goal=0.25,
    deadline=1.5,
    priority=1,
    value=2.0,
)
PUBLISH: Final = CallClass(
    name="publish",
    rate=83.0,
    service_time=0.042,
    latency_goal=0.15,
    deadline=1.0,
    service="second",
    value=3.0,
)
PEEK: Final = CallClass(
    name="peek",
    rate=0.0,
    service_time=0.015,
    latency_goal=0.06,
    deadline=0.2,
    service="second",
    priority=1,
    idempotent=True,
    retries=0,
)
#: Factors on the service time, assigned to the targets in turn.
SLOWNESS: Final = (0.6, 1.0, 1.4)
DOMAINS: Final = ("a", "b", "c")


def mesh_load(count: int, *, share: float = 1.0, seconds: float = 5.0) -> Load:
    """Returns a load on `count` targets of the first service and two of the second.

    The full load occupies 40 slots of average speed; `share` scales the rates.
    """
    first = [
        Target(f"first-{n}", DOMAINS[n % 3], "first", 9, SLOWNESS[n % 3]) for n in range(count)
    ]
    second = [Target(f"second-{n}", DOMAINS[n], "second", 9, (0.6, 1.4)[n]) for n in range(2)]
    issued = [
        evolve(call_class, rate=call_class.rate * share) for call_class in (BROWSE, PAY, PUBLISH)
    ]
    return Load(targets=(*first, *second), classes=(*issued, PEEK), seconds=seconds)


def with_targets(load: Load, count: int, **changes: float) -> Load:
    """Returns the load with the first `count` targets of the first service changed."""
    changed = [evolve(t, **changes) for t in load.targets[:count]]
    return evolve(load, targets=(*changed, *load.targets[count:]))


@contextlib.contextmanager
def counted_attempts() -> Iterator[list[int]]:
    """Counts the attempts within the context."""
    count = [0]
    attempt = ModelParts.attempt

    def counting_attempt(self: ModelParts, *arguments: Any, **named: Any) -> Any:
        count[0] += 1
        return attempt(self, *arguments, **named)

    with mock.patch.object(ModelParts, "attempt", counting_attempt):
        yield count


class OverloadTest(unittest.TestCase):
    def run_seeds(self, load: Load, *classes: str) -> list[tuple[float, Outcome]]:
        """Returns the joint utility of the classes and the outcome for each of two seeds."""
        results = []
        for seed in (1, 2):
            outcome = run_load(load, seed=seed)
            tallies = [outcome.tally_of(name) for name in classes]
            issued = sum(t.issued for t in tallies)
            results.append((sum(t.utility * t.issued for t in tallies) / issued, outcome))
        return results

    def test_slots_go_to_calls_that_can_meet_their_goal(self) -> None:
        """Slots suffice for two thirds of the calls, and refused callers retry at once.

        When retries were queued without regard to their age, they took the slots of first calls and
        were late themselves: 34 % of the calls of the lowest class met their goal and 38 % were
        late.  The slots suffice for 68 %.
        """
        for utility, outcome in self.run_seeds(mesh_load(3), "browse"):
            browse = outcome.tally_of("browse")
            self.assertGreater(browse.within_goal / browse.issued, 0.55)
            self.assertLess(browse.late / browse.issued, 0.15)
            self.assertGreater(utility, 0.58)
            self.assertGreater(outcome.tally_of("pay").utility, 0.93)

    def test_more_urgent_classes_keep_precedence_under_overload(self) -> None:
        """Slots suffice for less than half of the calls, and the less urgent class gives way.

        The slots that the more urgent class leaves suffice for 28 % of the other calls.
        """
        load = mesh_load(3, share=1.6, seconds=4.0)
        for _, outcome in self.run_seeds(load, "browse"):
            self.assertGreater(outcome.tally_of("pay").utility, outcome.tally_of("browse").utility)
            self.assertGreater(
                outcome.tally_of("browse").within_goal / outcome.tally_of("browse").issued, 0.2
            )

    def test_callers_of_shedding_targets_retry_within_their_goal(self) -> None:
        """All targets of a service refuse 55 % of the calls despite free slots.

        With the retry-after delay of a lack of slots, 47 % of the calls met their goal.
        """
        load = with_targets(mesh_load(5), 5, shed_share=0.55, shed_from=1.0)
        for utility, _ in self.run_seeds(load, "browse", "pay"):
            self.assertGreater(utility, 0.68)

    def test_non_idempotent_calls_avoid_targets_that_lose_responses(self) -> None:
        """Three of five targets lose two responses in five; the others have slots for most calls.

        When lost responses only counted as slowness of the target, 18 % of such calls were lost.
        """
        load = with_targets(mesh_load(5, share=0.75), 3, loss_share=0.4, loss_from=1.0)
        for _, outcome in self.run_seeds(load, "pay"):
            pay = outcome.tally_of("pay")
            self.assertLess(pay.failed / pay.issued, 0.14)

    def test_calls_are_offered_to_fewer_hosts_when_all_are_full(self) -> None:
        """A refused offer costs both daemons half a millisecond and serves no call.

        On three targets instead of five, calls must make at least a fifth fewer offers than without
        the knowledge that a host is full, at the same utility.
        """
        load = mesh_load(3, seconds=3.0)
        with counted_attempts() as offers:
            with_knowledge = run_load(load, seed=5).tallies
        with (
            counted_attempts() as offers_without,
            mock.patch.object(Picker, "is_full", lambda _self, _candidate: False),
        ):
            without = run_load(load, seed=5).tallies
        self.assertLess(offers[0], 0.8 * offers_without[0])
        for name, tally in without.items():
            self.assertGreater(with_knowledge[name].utility, tally.utility - 0.05, name)

    def test_same_seed_gives_same_outcome(self) -> None:
        load = mesh_load(3, seconds=2.0)
        first, second = (run_load(load, seed=7) for _ in range(2))
        self.assertEqual(first, second)


if __name__ == "__main__":
    unittest.main()
