"""Requests suspected of terminating targets: evidence, reset, and expiry of suspicions."""

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
TEN_MINUTES_S = 600.0
#: Largest number that a record may hold.
LARGEST = 2**63 - 1


def call(
    path: bytes = b"/x", *, request: bytes = b"r1", origin: bytes = b"a", body: bytes = b""
) -> Call:
    """Returns a call with the given path, request id, caller and body."""
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
    def test_attempts_of_a_call_have_the_same_fingerprint(self) -> None:
        first = fingerprint_of(call(request=b"r1"), DIALECT)
        again = fingerprint_of(call(request=b"r2").with_changes(service="b", deadline=9.0), DIALECT)
        self.assertEqual(first, again)

    def test_calls_differ_by_method_path_host_caller_and_body(self) -> None:
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

    def note_ends(self, each: Call, times: int = 1) -> None:
        for _ in range(times):
            self.suspects.note_end(each, self.suspects.of(each))

    def is_barred(self, each: Call) -> bool:
        suspicion = self.suspects.of(each)
        return suspicion is not None and self.suspects.is_barred(suspicion)

    def test_third_consecutive_end_bars_a_call(self) -> None:
        for ends in range(1, ENDS_TO_BAR + 1):
            self.assertFalse(self.is_barred(call()))
            self.note_ends(call())
            suspicion = self.suspects.of(call())
            assert suspicion is not None
            self.assertEqual(suspicion.ends, ends)
        self.assertTrue(self.is_barred(call()))
        self.assertEqual([n.what for n in self.news], ["suspected", "suspected", "barred"])
        self.assertIsNone(self.suspects.of(call(b"/other")))

    def test_successful_response_resets_the_count(self) -> None:
        self.note_ends(call(), 2)
        self.suspects.note_success(call())
        self.assertIsNone(self.suspects.of(call()))
        self.note_ends(call(), 2)
        self.assertFalse(self.is_barred(call()))
        self.note_ends(call())
        self.assertTrue(self.is_barred(call()))

    def test_concurrent_ends_count_once(self) -> None:
        """Seven simultaneous ends do not bar a call that happened to run on all of the targets."""
        known = self.suspects.of(call())
        for _ in range(7):
            self.suspects.note_end(call(), known)
        suspicion = self.suspects.of(call())
        assert suspicion is not None
        self.assertEqual(suspicion.ends, 1)

    def test_merge_order_does_not_matter(self) -> None:
        other = self.new_daemon()
        self.note_ends(call(), 2)
        other.merge(self.suspects.published())
        other.note_success(call())
        reported = (*self.suspects.published(), *other.published())
        for order in itertools.permutations(reported):
            third = self.new_daemon()
            third.merge(order)
            self.assertIsNone(third.of(call()))

    # Guards against a suspicion of another writer after which no further one is valid.
    def test_end_of_a_target_is_noted_whatever_is_known(self) -> None:
        fingerprint = fingerprint_of(call(), DIALECT)
        for sequence, ends in ((LARGEST, 1), (1, LARGEST), (LARGEST, LARGEST)):
            with self.subTest(sequence=sequence, ends=ends):
                self.suspects = self.new_daemon()
                self.suspects.merge([Suspicion(fingerprint, sequence, ends)])
                self.note_ends(call())
                self.suspects.lift(fingerprint)

    def test_barred_call_gets_a_trial_after_a_growing_delay(self) -> None:
        self.note_ends(call(), ENDS_TO_BAR)
        self.timers._now += TEN_MINUTES_S - 1
        self.assertTrue(self.is_barred(call()))
        self.timers._now += 2
        self.assertFalse(self.is_barred(call()))
        self.note_ends(call())
        self.timers._now += TEN_MINUTES_S + 1
        self.assertTrue(self.is_barred(call()), "the delay until the next trial doubles")
        self.timers._now += TEN_MINUTES_S
        self.assertFalse(self.is_barred(call()))

    def test_suspicion_expires(self) -> None:
        self.note_ends(call())
        self.timers._now += TEN_MINUTES_S + 1
        self.suspects.forget_old()
        self.assertIsNone(self.suspects.of(call()))
        self.assertEqual(self.suspects.published(), ())
        self.assertEqual(self.news[-1].what, "expired")

    def test_operator_lifts_a_suspicion(self) -> None:
        self.note_ends(call(), ENDS_TO_BAR)
        self.assertTrue(self.suspects.lift(self.suspects.fingerprint_of(call())))
        self.assertIsNone(self.suspects.of(call()))
        self.assertFalse(self.suspects.lift(self.suspects.fingerprint_of(call(b"/never"))))

    def test_many_suspects_stay_bounded_and_keep_barred_calls(self) -> None:
        self.note_ends(call(), ENDS_TO_BAR)
        for number in range(2000):
            self.note_ends(call(b"/%d" % number))
        self.assertTrue(self.is_barred(call()))
        self.assertLessEqual(self.suspects.suspected, 1024)
        reported = self.suspects.published()
        self.assertLessEqual(len(reported), 24)
        self.assertEqual(reported[0].ends, ENDS_TO_BAR)

    def test_restarted_daemon_recalls_its_suspicions(self) -> None:
        self.note_ends(call(), ENDS_TO_BAR)
        restarted = self.new_daemon()
        restarted.restore(self.suspects.published())
        self.assertEqual(restarted.published(), self.suspects.published())

    def test_refusal_has_reason_and_retry_after(self) -> None:
        self.note_ends(call(), ENDS_TO_BAR)
        self.timers._now += 100.0
        suspicion = self.suspects.of(call())
        assert suspicion is not None
        refusal = self.suspects.refusal(suspicion)
        self.assertIn(suspicion.fingerprint.hex(), refusal.reason)
        self.assertEqual(refusal.retry_after, TEN_MINUTES_S - 100.0)
        self.assertFalse(refusal.is_overload)


class ConvergenceTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(["end", "good", "swap"]), max_size=30), st.integers(0, 1000))
    def test_daemons_converge_after_gossip(self, events: list[str], seed: int) -> None:
        """Holds for any sequence of ends, successes and partial exchanges."""
        source = random.Random(seed)
        timers = ManualTimers()
        daemons = [Suspects(timers=timers, dialect=DIALECT) for _ in range(3)]
        for event in events:
            daemon, other = source.sample(daemons, 2)
            match event:
                case "end":
                    daemon.note_end(call(), daemon.of(call()))
                case "good":
                    daemon.note_success(call())
                case _:
                    other.merge(daemon.published())
        for _ in range(2):
            for daemon, other in itertools.permutations(daemons, 2):
                other.merge(daemon.published())
        self.assertEqual(len({_age_of(daemon.of(call())) for daemon in daemons}), 1)


def _age_of(suspicion: Suspicion | None) -> tuple[int, int]:
    return (0, 0) if suspicion is None else suspicion.age


if __name__ == "__main__":
    unittest.main()
