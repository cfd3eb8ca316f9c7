"""Telling first calls from repeats by the deadlines that callers tell."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_calls._first_asked import FirstRequestEstimator
from acaciayard_timers import ManualTimers

#: Deadlines of first calls in seconds: callers differ by a sixth.
PATIENCE = (0.85, 0.88, 0.91, 0.94, 0.97, 1.0)


class FirstAskedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.first_asked = FirstRequestEstimator(self.timers)

    def age(self, told: float, route: str = "r") -> float:
        return self.timers.now() - self.first_asked.of(route, timeout=told)

    def pass_time(self, seconds: float) -> None:
        anyio.run(self.timers.advance, seconds)

    def watch_calm(self) -> None:
        for number in range(60):
            self.assertEqual(self.age(PATIENCE[number % len(PATIENCE)]), 0)

    def test_what_tells_less_than_first_calls_is_a_repeat(self) -> None:
        self.watch_calm()
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.86), 0)
        self.assertAlmostEqual(self.age(0.64), 0.3, places=6)

    def test_nothing_is_a_repeat_while_nobody_was_sent_back(self) -> None:
        self.watch_calm()
        self.assertEqual(self.age(0.4), 0)

    def test_callers_may_become_less_patient(self) -> None:
        self.watch_calm()
        self.first_asked.note_failure("r")
        self.pass_time(1.1)
        for number in range(120):
            self.assertEqual(self.age(PATIENCE[number % len(PATIENCE)] / 2), 0)
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.45), 0)
        self.assertGreater(self.age(0.3), 0.1)

    def test_a_caller_that_waits_for_very_long_changes_nothing_for_the_others(self) -> None:
        self.age(3600.0)
        self.watch_calm()
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.9), 0)
        self.assertAlmostEqual(self.age(0.64), 0.3, places=6)

    def test_nor_before_callers_are_known(self) -> None:
        self.first_asked.note_failure("r")
        self.age(3600.0)
        for told in PATIENCE * 2:
            self.age(told)
        self.assertEqual(self.age(0.9), 0)
        self.assertGreater(self.age(0.64), 0.2)

    def test_before_callers_are_known_a_fifth_less_is_a_repeat(self) -> None:
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(1.0), 0)
        self.assertEqual(self.age(0.85), 0)
        self.assertAlmostEqual(self.age(0.7), 0.3, places=6)

    def test_routes_are_told_apart(self) -> None:
        self.watch_calm()
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.4, route="other"), 0)

    def test_callers_that_tell_no_deadline_are_first_ones(self) -> None:
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.0), 0)


if __name__ == "__main__":
    unittest.main()
