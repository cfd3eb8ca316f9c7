"""Loads on chains of services: a running call holds its slot while its nested calls wait.

The load has three services at a quarter of their size.  Reads of the largest one make two
sequential calls to the second, which also serves bookings of 0.36 s.  Bookings make two concurrent
calls to a small third service, which also serves uploads.  At the usual rates a fifth of the slots
of the most loaded service are free.
"""

from __future__ import annotations

import unittest
from typing import Final
from unittest import mock

from attrs import evolve
from load import CallClass, Load, Outcome, Target
from load_model import run_load

from acaciayard_admission import Gate, GatePolicy

READ: Final = CallClass(
    name="read",
    rate=169.0,
    service_time=0.28,
    sigma=0.5,
    latency_goal=1.075,
    deadline=3.2,
    priority=0,
    idempotent=True,
    nested_share=0.7,
    nested="look",
    nested_count=2,
    retries=1,
)
BOOK: Final = CallClass(
    name="book",
    rate=47.0,
    service_time=0.36,
    sigma=0.8,
    latency_goal=1.275,
    deadline=4.25,
    service="second",
    priority=1,
    nested_share=0.7,
    nested="detail",
    nested_count=2,
    nested_concurrently=True,
    retries=1,
)
UPLOAD: Final = CallClass(
    name="upload",
    rate=15.2,
    service_time=0.34,
    sigma=0.3,
    latency_goal=2.7,
    deadline=5.4,
    service="third",
    priority=2,
    retries=1,
)
LOOK: Final = CallClass(
    name="look",
    rate=0.0,
    service_time=0.07,
    sigma=0.5,
    latency_goal=0.375,
    deadline=1.0,
    service="second",
    priority=1,
    idempotent=True,
    retries=0,
)
DETAIL: Final = evolve(LOOK, name="detail", service="third", priority=2)
DOMAINS: Final = ("a", "b", "c")
#: Factors on the service time, assigned to the targets in turn.
SLOWNESS: Final = {"first": (0.7, 0.7, 1.6), "second": (0.6, 1.0, 1.4), "third": (1.0,)}
COUNTS: Final = {"first": 10, "second": 5, "third": 1}
SLOTS: Final = {"first": 9, "second": 9, "third": 11}


def chain_load(share: float, *, only: str = "") -> Load:
    """Returns the load at `share` of its usual rates, or with only one class scaled."""
    targets = [
        Target(
            f"{name}-{n}",
            DOMAINS[n % 3],
            name,
            SLOTS[name],
            SLOWNESS[name][n % len(SLOWNESS[name])],
        )
        for name, count in COUNTS.items()
        for n in range(count)
    ]
    issued = [
        evolve(call_class, rate=call_class.rate * (share if only in ("", call_class.name) else 1.0))
        for call_class in (READ, BOOK, UPLOAD)
    ]
    return Load(targets=tuple(targets), classes=(*issued, LOOK, DETAIL), seconds=5.0)


def share_within_goal(outcome: Outcome, name: str) -> float:
    tally = outcome.tally_of(name)
    return tally.within_goal / tally.issued


class ChainTest(unittest.TestCase):
    def test_nested_calls_do_not_wait_behind_other_classes(self) -> None:
        """The rates are 1.4 times the usual ones, 1.1 times the capacity of the slots.

        When nested calls took turns with bookings, which run five times as long, the slots of the
        first service were held idle: 22 % of the reads and 73 % of the bookings met their goal.
        """
        for seed in (1, 2):
            outcome = run_load(chain_load(1.4), seed=seed)
            self.assertGreater(share_within_goal(outcome, "read"), 0.85)
            self.assertGreater(share_within_goal(outcome, "book"), 0.85)

    def test_overload_of_a_less_urgent_class_does_not_displace_a_more_urgent_one(self) -> None:
        """Bookings at 1.7 times their usual rate overload the service that reads call."""
        for seed in (1, 2):
            outcome = run_load(chain_load(1.7, only="book"), seed=seed)
            self.assertGreater(
                share_within_goal(outcome, "read"), share_within_goal(outcome, "book") - 0.05
            )
            self.assertGreater(share_within_goal(outcome, "read"), 0.9)

    def test_overload_of_uploads_does_not_displace_nested_calls_of_bookings(self) -> None:
        """Uploads at 2.2 times their usual rate need 1.4 times the slots of the third service."""
        outcome = run_load(chain_load(2.2, only="upload"), seed=1)
        self.assertGreater(share_within_goal(outcome, "book"), 0.9)
        self.assertGreater(share_within_goal(outcome, "upload"), 0.5)

    def test_first_calls_are_not_starved_by_nested_calls(self) -> None:
        """Reads at twice their usual rate leave bookings a quarter of the overall served share."""
        outcome = run_load(chain_load(2.0, only="read"), seed=1)
        tallies = [outcome.tally_of(name) for name in ("read", "book", "upload")]
        served = sum(t.within_goal + t.late for t in tallies) / sum(t.issued for t in tallies)
        book = outcome.tally_of("book")
        self.assertGreater((book.within_goal + book.late) / book.issued, served / 4)

    def test_nested_calls_need_a_share_of_their_own(self) -> None:
        """With no larger share than bookings, nested calls fail and their reads with them."""
        policy = GatePolicy(lowest_share=1.0, middle_spare=0, weights=(4, 3, 1), inner_weight=1)
        init = Gate.__init__

        def init_without_inner_part(self: Gate, **named: object) -> None:
            init(self, **{**named, "policy": policy})  # type: ignore[arg-type]

        with mock.patch.object(Gate, "__init__", init_without_inner_part):
            outcome = run_load(chain_load(1.7, only="book"), seed=1)
        self.assertLess(share_within_goal(outcome, "read"), 0.9)


if __name__ == "__main__":
    unittest.main()
