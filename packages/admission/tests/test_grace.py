"""Tests of the calls that are taken during a shutdown, by their deadlines and recent durations."""

from __future__ import annotations

import math
import unittest

import anyio

from acaciayard_admission import RecentDurations, RemainingGrace
from acaciayard_timers import ManualTimers


class RemainingGraceTest(unittest.TestCase):
    # Guards against requests that are taken late in the grace and cut at its end (LOST, REFUSED).
    def test_call_is_taken_if_it_can_end(self) -> None:
        cases = (
            ("the deadline fits", 5.0, math.inf, None),
            ("no deadline, and no duration known", math.inf, math.inf, 1.0),
            ("a deadline too late, and no duration known", 6.0, math.inf, 1.0),
            ("short ones", math.inf, 0.02, None),
            ("ones that may take longer than the last", math.inf, 3.9, 1.0),
        )
        for name, deadline, longest, retry_after in cases:
            with self.subTest(name):
                grace = RemainingGrace(ManualTimers())
                self.assertIsNone(grace.refusal_of(deadline, longest=longest))
                self.assertFalse(grace.is_limited)
                grace.end_by(5.6)
                refusal = grace.refusal_of(deadline, longest=longest)
                self.assertEqual(refusal and refusal.retry_after, retry_after)

    def test_durations_are_forgotten(self) -> None:
        async def body() -> None:
            timers = ManualTimers()
            durations = RecentDurations(timers)
            self.assertEqual(durations.longest("a"), math.inf)
            for seconds in (0.1, 2.5, 0.2):
                durations.note("a", seconds)
            for seconds, longest in ((29, 2.5), (30, 2.5), (30, math.inf)):
                await timers.advance(seconds)
                self.assertEqual(durations.longest("a"), longest)
            durations.note("a", 0.3)
            await timers.advance(70)
            self.assertEqual(durations.longest("a"), math.inf)

        anyio.run(body)


if __name__ == "__main__":
    unittest.main()
