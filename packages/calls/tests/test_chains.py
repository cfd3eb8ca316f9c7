"""Loads on chains of services: a call that runs holds its slot while the calls that it makes wait.

Three services at a fourth of their size.  Reads of the largest make two calls, one after the other,
to a second one, where bookings of 0.36 s run too; bookings make two at once to a small third one,
where uploads run.  Slots are enough for the usual rates, with a fifth to spare at the tightest.
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
    work=0.28,
    spread=0.5,
    goal=1.075,
    deadline=3.2,
    priority=0,
    idempotent=True,
    nested_share=0.7,
    nested="look",
    nested_times=2,
    repeats=1,
)
BOOK: Final = CallClass(
    name="book",
    rate=47.0,
    work=0.36,
    spread=0.8,
    goal=1.275,
    deadline=4.25,
    service="second",
    priority=1,
    nested_share=0.7,
    nested="detail",
    nested_times=2,
    nested_together=True,
    repeats=1,
)
UPLOAD: Final = CallClass(
    name="upload",
    rate=15.2,
    work=0.34,
    spread=0.3,
    goal=2.7,
    deadline=5.4,
    service="third",
    priority=2,
    repeats=1,
)
LOOK: Final = CallClass(
    name="look",
    rate=0.0,
    work=0.07,
    spread=0.5,
    goal=0.375,
    deadline=1.0,
    service="second",
    priority=1,
    idempotent=True,
    repeats=0,
)
DETAIL: Final = evolve(LOOK, name="detail", service="third", priority=2)
DOMAINS: Final = ("a", "b", "c")
#: How many times as long as usual the work of targets takes, in turn.
SLOWNESS: Final = {"first": (0.7, 0.7, 1.6), "second": (0.6, 1.0, 1.4), "third": (1.0,)}
COUNTS: Final = {"first": 10, "second": 5, "third": 1}
SLOTS: Final = {"first": 9, "second": 9, "third": 11}


def chain_load(share: float, *, only: str = "") -> Load:
    """The load at `share` of its usual rates, or with one class alone at that."""
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
    asked = [
        evolve(kind, rate=kind.rate * (share if only in ("", kind.name) else 1.0))
        for kind in (READ, BOOK, UPLOAD)
    ]
    return Load(targets=tuple(targets), classes=(*asked, LOOK, DETAIL), seconds=5.0)


def in_goal(outcome: Outcome, name: str) -> float:
    tally = outcome.of(name)
    return tally.in_goal / tally.asked


class ChainTest(unittest.TestCase):
    def test_slots_that_are_held_for_inner_calls_are_not_held_up_by_other_classes(self) -> None:
        """Four tenths more calls than usual, 1.1 times what the slots can do.

        Inner calls that waited by turns behind bookings five times as long kept the slots of the
        first service standing: 22 of 100 reads were in their goal there, and 73 bookings.
        """
        for seed in (1, 2):
            outcome = run_load(chain_load(1.4), seed=seed)
            self.assertGreater(in_goal(outcome, "read"), 0.85)
            self.assertGreater(in_goal(outcome, "book"), 0.85)

    def test_a_crowd_of_a_less_urgent_class_does_not_push_out_the_more_urgent_one(self) -> None:
        """Bookings at 1.7 times their usual rate, at the service that reads call."""
        for seed in (1, 2):
            outcome = run_load(chain_load(1.7, only="book"), seed=seed)
            self.assertGreater(in_goal(outcome, "read"), in_goal(outcome, "book") - 0.05)
            self.assertGreater(in_goal(outcome, "read"), 0.9)

    def test_a_crowd_of_uploads_leaves_the_calls_that_bookings_hang_on(self) -> None:
        """Uploads at 2.2 times their usual rate fill the third service 1.4 times."""
        outcome = run_load(chain_load(2.2, only="upload"), seed=1)
        self.assertGreater(in_goal(outcome, "book"), 0.9)
        self.assertGreater(in_goal(outcome, "upload"), 0.5)

    def test_first_calls_are_not_starved_by_inner_ones(self) -> None:
        """Reads at twice their usual rate: what they call leaves bookings a quarter of all."""
        outcome = run_load(chain_load(2.0, only="read"), seed=1)
        everyone = [outcome.of(name) for name in ("read", "book", "upload")]
        served = sum(t.in_goal + t.late for t in everyone) / sum(t.asked for t in everyone)
        book = outcome.of("book")
        self.assertGreater((book.in_goal + book.late) / book.asked, served / 4)

    def test_inner_calls_need_a_part_of_their_own(self) -> None:
        """With a part no larger than that of bookings, reads are lost for the calls they make."""
        without = GatePolicy(lowest_share=1.0, middle_spare=0, weights=(4, 3, 1), inner_weight=1)
        init = Gate.__init__

        def narrow(self: Gate, **named: object) -> None:
            init(self, **{**named, "policy": without})  # type: ignore[arg-type]

        with mock.patch.object(Gate, "__init__", narrow):
            outcome = run_load(chain_load(1.7, only="book"), seed=1)
        self.assertLess(in_goal(outcome, "read"), 0.9)


if __name__ == "__main__":
    unittest.main()
