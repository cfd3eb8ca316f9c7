"""Distinction of first calls and retries by the deadlines that callers send."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_calls._first_asked import FirstRequestEstimator
from acaciayard_timers import ManualTimers

#: Deadlines of first calls in seconds; they differ between callers by up to a sixth.
FIRST_DEADLINES = (0.85, 0.88, 0.91, 0.94, 0.97, 1.0)
#: Seconds for which a route keeps its callers waiting at most.
LONGEST = 4000.0


class FirstAskedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.first_asked = FirstRequestEstimator(self.timers)

    def age(self, deadline: float, route: str = "r") -> float:
        first_sent = self.first_asked.of(route, timeout=deadline, longest=LONGEST)
        return self.timers.now() - first_sent

    def advance(self, seconds: float) -> None:
        anyio.run(self.timers.advance, seconds)

    def observe_first_calls(self) -> None:
        for number in range(60):
            self.assertEqual(self.age(FIRST_DEADLINES[number % len(FIRST_DEADLINES)]), 0)

    def test_shorter_deadline_than_that_of_first_calls_is_a_retry(self) -> None:
        self.observe_first_calls()
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.86), 0)
        self.assertAlmostEqual(self.age(0.64), 0.3, places=6)

    def test_no_call_is_a_retry_before_any_refusal(self) -> None:
        self.observe_first_calls()
        self.assertEqual(self.age(0.4), 0)

    def test_deadlines_of_first_calls_may_become_shorter(self) -> None:
        self.observe_first_calls()
        self.first_asked.note_failure("r")
        self.advance(1.1)
        for number in range(120):
            self.assertEqual(self.age(FIRST_DEADLINES[number % len(FIRST_DEADLINES)] / 2), 0)
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.45), 0)
        self.assertGreater(self.age(0.3), 0.1)

    def test_a_very_long_deadline_does_not_affect_other_callers(self) -> None:
        self.age(3600.0)
        self.observe_first_calls()
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.9), 0)
        self.assertAlmostEqual(self.age(0.64), 0.3, places=6)

    def test_a_very_long_deadline_does_not_affect_a_new_route(self) -> None:
        self.first_asked.note_failure("r")
        self.age(3600.0)
        for deadline in FIRST_DEADLINES * 2:
            self.age(deadline)
        self.assertEqual(self.age(0.9), 0)
        self.assertGreater(self.age(0.64), 0.2)

    # Guards against many callers with long deadlines, beside which no others may wait.
    def test_long_deadlines_count_as_what_the_route_allows(self) -> None:
        def age(deadline: float) -> float:
            first_sent = self.first_asked.of("r", timeout=deadline, longest=2.0)
            return self.timers.now() - first_sent

        for _ in range(200):
            self.assertEqual(age(30.0), 0)
        self.first_asked.note_failure("r")
        self.assertEqual(age(2.0), 0)
        self.assertAlmostEqual(age(1.5), 0.5, places=6)

    def test_on_a_new_route_a_deadline_shorter_by_a_fifth_is_a_retry(self) -> None:
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(1.0), 0)
        self.assertEqual(self.age(0.85), 0)
        self.assertAlmostEqual(self.age(0.7), 0.3, places=6)

    def test_routes_are_independent(self) -> None:
        self.observe_first_calls()
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.4, route="other"), 0)

    def test_calls_without_a_deadline_are_first_calls(self) -> None:
        self.first_asked.note_failure("r")
        self.assertEqual(self.age(0.0), 0)


if __name__ == "__main__":
    unittest.main()
