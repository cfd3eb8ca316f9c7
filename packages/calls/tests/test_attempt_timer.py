"""The limits of an attempt fire in order of their times, on a single timer."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_calls._attempt_timer import AttemptTimer, TimedAction
from acaciayard_timers import ManualTimers


class AttemptTimerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.fired: list[str] = []

    def limit(self, at: float, name: str) -> TimedAction:
        return TimedAction(at, lambda: self.fired.append(name))

    def advance(self, seconds: float) -> None:
        anyio.run(self.timers.advance, seconds)

    def test_each_limit_fires_once_and_in_order(self) -> None:
        AttemptTimer(self.timers, [self.limit(3.0, "end"), self.limit(1.0, "acknowledged")])
        self.advance(2.0)
        self.assertEqual(self.fired, ["acknowledged"])
        self.advance(5.0)
        self.assertEqual(self.fired, ["acknowledged", "end"])

    def test_dropped_limit_does_not_fire_and_the_others_do(self) -> None:
        limits = [self.limit(number, str(number)) for number in (1.0, 2.0, 3.0)]
        timer = AttemptTimer(self.timers, limits)
        timer.drop(limits[0].act)
        timer.drop(limits[1].act)
        self.advance(2.9)
        self.assertEqual(self.fired, [])
        self.advance(2.0)
        self.assertEqual(self.fired, ["3.0"])
        timer.drop(limits[2].act)

    def test_dropping_a_later_limit_keeps_the_next_one(self) -> None:
        limits = [self.limit(number, str(number)) for number in (1.0, 2.0)]
        AttemptTimer(self.timers, limits).drop(limits[1].act)
        self.advance(5.0)
        self.assertEqual(self.fired, ["1.0"])

    def test_no_limit_fires_after_cancel(self) -> None:
        timer = AttemptTimer(self.timers, [self.limit(1.0, "a"), self.limit(2.0, "b")])
        self.advance(1.5)
        timer.cancel()
        self.advance(5.0)
        self.assertEqual(self.fired, ["a"])

    def test_cancel_within_the_callback_of_a_limit(self) -> None:
        timer = AttemptTimer(
            self.timers, [TimedAction(1.0, lambda: timer.cancel()), self.limit(2, "b")]
        )
        self.advance(5.0)
        self.assertEqual(self.fired, [])


if __name__ == "__main__":
    unittest.main()
