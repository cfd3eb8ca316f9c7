"""Tests of the pacing of calls to a target that states a limit."""

from __future__ import annotations

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from acaciayard_admission._call_rate import _BURST_SECONDS, _MIN_RATE, CallRate


class CallRateTest(unittest.TestCase):
    def test_no_limit(self) -> None:
        rate = CallRate(now=0.0)
        for _ in range(100):
            self.assertEqual(rate.wait(0.0), 0.0)
            rate.take(0.0)

    def test_first_limit_starts_with_one_token_less_the_admitted_calls(self) -> None:
        rate = CallRate(now=0.0)
        rate.take(0.0)
        rate.limit(2.0, now=100.0)
        self.assertAlmostEqual(rate.wait(100.0), 0.5)
        rate.note_sent(100.0)
        self.assertEqual(rate.wait(100.5), 0.0)

    def test_unsent_call_returns_its_token(self) -> None:
        rate = CallRate(now=0.0)
        rate.limit(2.0, now=0.0)
        rate.take(0.0)
        self.assertAlmostEqual(rate.wait(0.0), 0.5)
        rate.give_back(0.0)
        self.assertEqual(rate.wait(0.0), 0.0)

    def test_target_that_takes_nothing_gets_a_call_now_and_then(self) -> None:
        rate = CallRate(now=0.0)
        rate.limit(0.0, now=0.0)
        rate.take(0.0)
        rate.note_sent(0.0)
        self.assertAlmostEqual(rate.wait(0.0), 1 / _MIN_RATE)

    # Guards against calls that were admitted before a standstill and are sent together after it.
    @given(st.integers(0, 2**32), st.floats(0.0, 50.0))
    def test_no_span_sees_more_than_the_limit_and_the_bucket(
        self, seed: int, stated: float
    ) -> None:
        rng = random.Random(seed)
        now = 0.0
        rate = CallRate(now=now)
        for _ in range(rng.randrange(4)):
            rate.take(now)  # admitted before the limit was stated
        before = rate._unsent
        rate.limit(stated, now=now)
        unsent = before
        sent: list[float] = []
        for _ in range(200):
            now += rng.choice((0.0, 0.01, 0.1, rng.expovariate(max(stated, 1.0)), 3.0))
            while rng.random() < 0.8 and not rate.wait(now):
                rate.take(now)
                unsent += 1
            while unsent and rng.random() < 0.7:
                unsent -= 1
                if rng.random() < 0.2:
                    rate.give_back(now)
                else:
                    rate.note_sent(now)
                    sent.append(now)
        in_force = max(stated, _MIN_RATE)
        size = max(1.0 + _BURST_SECONDS * in_force, before)
        for index, first in enumerate(sent):
            for count, last in enumerate(sent[index:], start=1):
                self.assertLessEqual(count, size + in_force * (last - first) + 1e-6)

    def test_bound_of_a_span_holds_also_when_the_bucket_starts_anew(self) -> None:
        """A daemon that restarts has a new bucket; one restart in a span of 4 s is allowed for."""
        for stated in (0.0, 0.5, 2.7, 40.0, 1000.0):
            in_force = max(stated, _MIN_RATE)
            size = 1.0 + _BURST_SECONDS * in_force
            self.assertLessEqual(2 * size + 4 * in_force, 1.5 * 4 * stated + 5)

    def test_limit_that_ends(self) -> None:
        rate = CallRate(now=0.0)
        rate.limit(1.0, now=0.0)
        rate.take(0.0)
        rate.limit(math.inf, now=0.0)
        self.assertFalse(rate.is_limited)
        self.assertEqual(rate.wait(0.0), 0.0)


if __name__ == "__main__":
    unittest.main()
