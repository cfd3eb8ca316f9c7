"""The tokens that one seat grants, with delayed, duplicated and lost messages."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciayard_quotas import CapRules, SeatLimit, TokenBucket, limit_of
from acaciayard_resources import Workspace

#: Events at one seat: requests with their delays and the times at which tokens are spent, passing
#: time, returned tokens, duplicated messages and changed limits.
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("ask"),
            st.integers(0, 3),  # holder
            st.integers(1, 9),  # wanted
            st.floats(0, 0.3),  # seconds that the request takes
            st.floats(0, 0.7),  # seconds that the response takes
            st.lists(st.floats(0, 0.6), max_size=9),  # when tokens are spent, after the request
            st.booleans(),  # whether unspent tokens are returned
            st.booleans(),  # whether the request is duplicated
        ),
        st.tuples(st.just("wait"), st.floats(0, 3)),
        st.tuples(st.just("change"), st.floats(0.2, 30), st.floats(1, 20)),
    ),
    max_size=60,
)
WINDOW = 5.0


class Seat:
    """A seat whose messages are delayed."""

    def __init__(self, limit: SeatLimit) -> None:
        self.bucket = TokenBucket(limit, refill_from=0.0)
        self.now = 0.0
        self.numbers = 0
        self.due: list[tuple[float, int, Any]] = []
        self.spent: list[float] = []

    def schedule(self, when: float, action: Any) -> None:
        self.numbers += 1
        self.due.append((when, self.numbers, action))

    def run_until(self, end: float) -> None:
        while self.due and min(self.due)[0] <= end:
            first = min(self.due, key=lambda each: each[:2])
            self.due.remove(first)
            self.now = max(self.now, first[0])
            first[2]()
        self.now = max(self.now, end)

    def request(
        self,
        holder: int,
        wanted: int,
        request_delay: float,
        response_delay: float,
        spend_times: list[float],
        returns: bool,
        is_duplicated: bool,
    ) -> None:
        self.numbers += 1
        request_key = (f"h{holder}", self.numbers)
        sent_at = self.now
        ttl = self.bucket.limit.ttl

        def arrive(is_first: bool) -> None:
            granted = self.bucket.grant(request_key, wanted=wanted, now=self.now, share=1.0)
            if not is_first or sent_at + request_delay + response_delay >= sent_at + ttl:
                return  # a duplicate or late response is ignored
            times = [
                sent_at + t
                for t in sorted(spend_times)[:granted]
                if request_delay + response_delay <= t < ttl
            ]
            self.spent.extend(times)
            unspent = granted - len(times)
            if returns and unspent:
                when = max([sent_at + request_delay + response_delay, *times])
                self.schedule(
                    when + request_delay,
                    lambda: self.bucket.take_back(request_key, unspent, now=self.now),
                )

        self.schedule(sent_at + request_delay, lambda: arrive(True))
        if is_duplicated:
            self.schedule(sent_at + request_delay + 0.1, lambda: arrive(False))

    def set_limit(self, rate: float, depth: float) -> None:
        limit = SeatLimit(1, rate, depth, self.bucket.limit.ttl)
        self.bucket.set_limit(limit, now=self.now, share=1.0)


class TokenBucketTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(STEPS, st.floats(0.5, 30), st.floats(1, 20))
    def test_window_is_bounded_by_depth_and_rate(
        self, steps: list[Any], rate: float, depth: float
    ) -> None:
        seat = Seat(SeatLimit(1, rate, depth, 0.5))
        max_rate, max_depth = rate, depth
        seat.run_until(depth / rate)  # the bucket is full
        for step in steps:
            match step:
                case ("wait", seconds):
                    seat.run_until(seat.now + seconds)
                case ("change", rate, depth):
                    seat.set_limit(rate, depth)
                    max_rate, max_depth = max(max_rate, rate), max(max_depth, depth)
                case ("ask", *rest):
                    seat.request(*rest)
        seat.run_until(seat.now + 5.0)
        spent = sorted(seat.spent)
        for request_key, start in enumerate(spent):
            count = sum(start <= time < start + WINDOW for time in spent[request_key:])
            self.assertLessEqual(count, max_depth + max_rate * WINDOW + 1e-6)

    def test_held_tokens_count_towards_the_depth(self) -> None:
        bucket = TokenBucket(SeatLimit(1, 100.0, 8.0, 0.5), refill_from=0.0)
        self.assertEqual(bucket.grant(("a", 1), wanted=8, now=1.0, share=1.0), 2)  # a quarter
        self.assertEqual(bucket.tokens(now=1.4, share=1.0), 6.0)
        self.assertEqual(bucket.held_elsewhere, 2)
        self.assertEqual(bucket.tokens(now=1.6, share=1.0), 8.0)

    def test_tokens_are_returned_once_and_before_expiry_only(self) -> None:
        bucket = TokenBucket(SeatLimit(1, 0.001, 8.0, 0.5), refill_from=-1e6)
        self.assertEqual(bucket.grant(("a", 1), wanted=2, now=1.0, share=1.0), 2)
        for _ in range(3):
            bucket.take_back(("a", 1), 2, now=1.1)
        self.assertAlmostEqual(bucket.tokens(now=1.1, share=1.0), 8.0, places=2)
        self.assertEqual(bucket.grant(("a", 2), wanted=2, now=1.2, share=1.0), 2)
        bucket.take_back(("a", 2), 2, now=1.8)
        self.assertAlmostEqual(bucket.tokens(now=1.8, share=1.0), 6.0, places=2)

    def test_lowered_limit_removes_tokens_and_raised_limit_adds_none(self) -> None:
        bucket = TokenBucket(SeatLimit(1, 1.0, 20.0, 0.5), refill_from=-100.0)
        bucket.set_limit(SeatLimit(1, 1.0, 5.0, 0.5), now=0.0, share=1.0)
        self.assertEqual(bucket.tokens(now=0.0, share=1.0), 5.0)
        bucket.set_limit(SeatLimit(1, 1.0, 20.0, 0.5), now=0.0, share=1.0)
        self.assertEqual(bucket.tokens(now=0.0, share=1.0), 5.0)

    def test_bucket_refills_at_a_share_of_the_rate(self) -> None:
        bucket = TokenBucket(SeatLimit(1, 10.0, 20.0, 0.5), refill_from=0.0)
        self.assertAlmostEqual(bucket.tokens(now=1.0, share=0.25), 2.5)

    def test_retry_delay_grows_with_each_refused_caller(self) -> None:
        bucket = TokenBucket(SeatLimit(1, 10.0, 20.0, 0.5), refill_from=0.0)
        waits = [bucket.retry_after(1, now=0.0, share=1.0) for _ in range(3)]
        self.assertEqual([round(wait, 3) for wait in waits], [0.1, 0.2, 0.3])
        self.assertAlmostEqual(bucket.retry_after(1, now=0.2, share=1.0), 0.2)


class LimitTest(unittest.TestCase):
    @given(
        st.floats(0.01, 10_000),
        st.integers(0, 10_000),
        st.floats(0.5, 20),
        st.floats(0, 0.5),
        st.floats(0, 100),
    )
    def test_seats_together_stay_below_the_bound(
        self, rate: float, burst: int, window: float, overshoot: float, slack: float
    ) -> None:
        workspace = Workspace(name="a", calls_per_second=rate, burst=burst)
        rules = CapRules(window, overshoot, slack)
        limit = limit_of(workspace, rules)
        most = limit.seats * (limit.depth + limit.rate * window)
        # A cap below one call allows one all the same, or nothing would ever be allowed.
        self.assertLessEqual(most, max(rules.bound(workspace), 1.0) + 1e-6)
        self.assertGreaterEqual(most, rate * window + burst - 1e-6)
        self.assertGreaterEqual(limit.depth, 1.0)

    def test_seats_refill_the_whole_window_at_a_steady_rate(self) -> None:
        for rate, burst in ((303, 303), (12, 12), (2, 2), (50, 0), (1, 20)):
            workspace = Workspace(name="a", calls_per_second=rate, burst=burst)
            limit = limit_of(workspace, CapRules())
            self.assertGreaterEqual(limit.seats * limit.rate, (rate * 5 + burst) / 5 - 1e-6)

    def test_ttl_lets_a_seat_grant_its_whole_rate(self) -> None:
        for workspace in (
            Workspace(name="a", calls_per_second=303, burst=303),
            Workspace(name="b", calls_per_second=303, burst=0),
            Workspace(name="c", calls_per_second=2, burst=2),
        ):
            limit = limit_of(workspace, CapRules())
            self.assertGreater(limit.depth / limit.ttl, limit.rate, workspace.name)


if __name__ == "__main__":
    unittest.main()
