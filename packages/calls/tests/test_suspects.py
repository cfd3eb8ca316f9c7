"""Requests that are suspected of ending targets: evidence, what clears it, how long it holds."""

from __future__ import annotations

import itertools
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from acaciayard_admission import ENDS_TO_BAR, SuspectEvent, Suspects
from acaciayard_callmodel import Call, Dialect
from acaciayard_callmodel._fingerprints import fingerprint_of
from acaciayard_membership import Suspicion
from acaciayard_timers import ManualTimers

DIALECT = Dialect(request_id=b"x-request", origin=b"x-origin")
TEN_MINUTES = 600.0


def call(
    path: bytes = b"/x", *, request: bytes = b"r1", origin: bytes = b"a", body: bytes = b""
) -> Call:
    """A call with the given path, caller and body."""
    return Call(
        service="a",
        method=b"GET",
        target=path,
        fields=b"host: h\r\nx-request: %s\r\nx-origin: %s\r\n" % (request, origin),
        body=body,
        is_whole=True,
        length=len(body),
        priority=0,
        deadline=1.0,
        request_id=request,
    )


class FingerprintTest(unittest.TestCase):
    def test_what_a_call_asks_for_is_the_same_whatever_attempt_brings_it(self) -> None:
        first = fingerprint_of(call(request=b"r1"), DIALECT)
        again = fingerprint_of(call(request=b"r2").with_changes(service="b", deadline=9.0), DIALECT)
        self.assertEqual(first, again)

    def test_path_caller_and_body_tell_calls_apart(self) -> None:
        calls = [
            call(),
            call(b"/y"),
            call(b"/x?q=1"),
            call(origin=b"b"),
            call(body=b"1"),
            call(body=b"2"),
            call().with_changes(method=b"HEAD"),
            call().with_changes(fields=b"host: other\r\nx-origin: a\r\n"),
        ]
        self.assertEqual(len({fingerprint_of(each, DIALECT) for each in calls}), len(calls))


class SuspectsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.news: list[SuspectEvent] = []
        self.suspects = self.new_daemon()

    def new_daemon(self) -> Suspects:
        return Suspects(timers=self.timers, dialect=DIALECT, on_event=self.news.append)

    def end_under(self, each: Call, times: int = 1) -> None:
        for _ in range(times):
            self.suspects.note_end(each, self.suspects.of(each))

    def is_barred(self, each: Call) -> bool:
        suspicion = self.suspects.of(each)
        return suspicion is not None and self.suspects.is_barred(suspicion)

    def test_the_third_end_in_a_row_bars(self) -> None:
        for ends in range(1, ENDS_TO_BAR + 1):
            self.assertFalse(self.is_barred(call()))
            self.end_under(call())
            suspicion = self.suspects.of(call())
            assert suspicion is not None
            self.assertEqual(suspicion.ends, ends)
        self.assertTrue(self.is_barred(call()))
        self.assertEqual([n.what for n in self.news], ["suspected", "suspected", "barred"])
        self.assertIsNone(self.suspects.of(call(b"/other")))

    def test_a_good_answer_clears_and_the_count_begins_anew(self) -> None:
        self.end_under(call(), 2)
        self.suspects.note_success(call())
        self.assertIsNone(self.suspects.of(call()))
        self.end_under(call(), 2)
        self.assertFalse(self.is_barred(call()))
        self.end_under(call())
        self.assertTrue(self.is_barred(call()))

    def test_ends_that_did_not_know_of_each_other_count_once(self) -> None:
        """Seven targets that end in one moment bar nothing that happened to run on all of them."""
        known = self.suspects.of(call())
        for _ in range(7):
            self.suspects.note_end(call(), known)
        suspicion = self.suspects.of(call())
        assert suspicion is not None
        self.assertEqual(suspicion.ends, 1)

    def test_what_daemons_tell_each_other_agrees_in_any_order(self) -> None:
        other = self.new_daemon()
        self.end_under(call(), 2)
        other.merge(self.suspects.published())
        other.note_success(call())
        told = (*self.suspects.published(), *other.published())
        for order in itertools.permutations(told):
            third = self.new_daemon()
            third.merge(order)
            self.assertIsNone(third.of(call()))

    def test_a_barred_call_gets_one_careful_trial_after_long(self) -> None:
        self.end_under(call(), ENDS_TO_BAR)
        self.timers._now += TEN_MINUTES - 1
        self.assertTrue(self.is_barred(call()))
        self.timers._now += 2
        self.assertFalse(self.is_barred(call()))
        self.end_under(call())
        self.timers._now += TEN_MINUTES + 1
        self.assertTrue(self.is_barred(call()), "the next one comes after twice as long")
        self.timers._now += TEN_MINUTES
        self.assertFalse(self.is_barred(call()))

    def test_suspicion_expires(self) -> None:
        self.end_under(call())
        self.timers._now += TEN_MINUTES + 1
        self.suspects.forget_old()
        self.assertIsNone(self.suspects.of(call()))
        self.assertEqual(self.suspects.published(), ())
        self.assertEqual(self.news[-1].what, "expired")

    def test_an_operator_lifts_it(self) -> None:
        self.end_under(call(), ENDS_TO_BAR)
        self.assertTrue(self.suspects.lift(self.suspects.fingerprint_of(call())))
        self.assertIsNone(self.suspects.of(call()))
        self.assertFalse(self.suspects.lift(self.suspects.fingerprint_of(call(b"/never"))))

    def test_a_flood_of_suspects_drops_neither_what_is_barred_nor_the_bounds(self) -> None:
        self.end_under(call(), ENDS_TO_BAR)
        for number in range(2000):
            self.end_under(call(b"/%d" % number))
        self.assertTrue(self.is_barred(call()))
        self.assertLessEqual(self.suspects.suspected, 1024)
        told = self.suspects.published()
        self.assertLessEqual(len(told), 24)
        self.assertEqual(told[0].ends, ENDS_TO_BAR)

    def test_what_a_restarted_daemon_had_found_out_is_told_again(self) -> None:
        self.end_under(call(), ENDS_TO_BAR)
        restarted = self.new_daemon()
        restarted.restore(self.suspects.published())
        self.assertEqual(restarted.published(), self.suspects.published())

    def test_a_refusal_says_why_and_when_to_come_back(self) -> None:
        self.end_under(call(), ENDS_TO_BAR)
        self.timers._now += 100.0
        suspicion = self.suspects.of(call())
        assert suspicion is not None
        refusal = self.suspects.refusal(suspicion)
        self.assertIn(suspicion.fingerprint.hex(), refusal.reason)
        self.assertEqual(refusal.retry_after, TEN_MINUTES - 100.0)
        self.assertFalse(refusal.is_overload)


class ConvergenceTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(["end", "good", "swap"]), max_size=30), st.integers(0, 1000))
    def test_daemons_that_have_told_each_other_all_believe_the_same(
        self, history: list[str], seed: int
    ) -> None:
        """Whatever they found out, and whenever they told it."""
        source = random.Random(seed)
        timers = ManualTimers()
        daemons = [Suspects(timers=timers, dialect=DIALECT) for _ in range(3)]
        for what in history:
            daemon, other = source.sample(daemons, 2)
            match what:
                case "end":
                    daemon.note_end(call(), daemon.of(call()))
                case "good":
                    daemon.note_success(call())
                case _:
                    other.merge(daemon.published())
        for _ in range(2):
            for daemon, other in itertools.permutations(daemons, 2):
                other.merge(daemon.published())
        self.assertEqual(len({_held(daemon.of(call())) for daemon in daemons}), 1)


def _held(suspicion: Suspicion | None) -> tuple[int, int]:
    return (0, 0) if suspicion is None else suspicion.age


if __name__ == "__main__":
    unittest.main()
