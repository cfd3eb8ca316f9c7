"""The limits of an attempt come in their order, on one timer."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_calls._attempt_timer import AttemptTimer, TimedAction
from acaciayard_timers import ManualTimers


class AttemptTimerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.came: list[str] = []

    def limit(self, at: float, name: str) -> TimedAction:
        return TimedAction(at, lambda: self.came.append(name))

    def advance(self, seconds: float) -> None:
        anyio.run(self.timers.advance, seconds)

    def test_each_comes_once_and_in_order(self) -> None:
        AttemptTimer(self.timers, [self.limit(3.0, "end"), self.limit(1.0, "sign")])
        self.advance(2.0)
        self.assertEqual(self.came, ["sign"])
        self.advance(5.0)
        self.assertEqual(self.came, ["sign", "end"])

    def test_dropped_one_does_not_come_and_the_others_do(self) -> None:
        limits = [self.limit(number, str(number)) for number in (1.0, 2.0, 3.0)]
        timer = AttemptTimer(self.timers, limits)
        timer.drop(limits[0].act)
        timer.drop(limits[1].act)
        self.advance(2.9)
        self.assertEqual(self.came, [])
        self.advance(2.0)
        self.assertEqual(self.came, ["3.0"])
        timer.drop(limits[2].act)

    def test_later_one_that_is_dropped_leaves_the_next(self) -> None:
        limits = [self.limit(number, str(number)) for number in (1.0, 2.0)]
        AttemptTimer(self.timers, limits).drop(limits[1].act)
        self.advance(5.0)
        self.assertEqual(self.came, ["1.0"])

    def test_nothing_comes_after_the_end(self) -> None:
        timer = AttemptTimer(self.timers, [self.limit(1.0, "a"), self.limit(2.0, "b")])
        self.advance(1.5)
        timer.cancel()
        self.advance(5.0)
        self.assertEqual(self.came, ["a"])

    def test_end_within_a_limit(self) -> None:
        timer = AttemptTimer(
            self.timers, [TimedAction(1.0, lambda: timer.cancel()), self.limit(2, "b")]
        )
        self.advance(5.0)
        self.assertEqual(self.came, [])


if __name__ == "__main__":
    unittest.main()
