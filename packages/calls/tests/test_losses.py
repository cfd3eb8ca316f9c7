"""Classification of lost calls by cause."""

from __future__ import annotations

import unittest

from acaciayard_callmodel import CallEnded, Try
from acaciayard_calls import Loss, loss_of

REFUSED = Try("h1", "refused: it would wait 0.1 s for a slot", 60.0)
LOST_RESPONSE = Try("h1", "unknown: the target gave no whole answer", 120.0)
ANSWERED = Try("h2", "answer 200", 50.0)


def answered(*tries: Try, ms: float, age_ms: float = 0.0, status: int = 200) -> CallEnded:
    """Returns a call with a latency goal of 100 ms that a target answered."""
    return CallEnded(
        outcome="answered", status=status, ms=ms, age_ms=age_ms, goal_ms=100.0, tries=list(tries)
    )


#: Ended calls with the expected cause of the loss, or None where the call is not lost.
CASES = (
    (answered(ANSWERED, ms=60.0), None),
    (CallEnded(outcome="answered", status=200, ms=900.0), None),
    (answered(ANSWERED, ms=60.0, age_ms=150.0), Loss.LATE_REPEAT),
    (answered(ANSWERED, ms=150.0), Loss.LATE_AT_TARGET),
    (answered(REFUSED, ANSWERED, ms=111.0), Loss.LATE_AFTER_OFFERS),
    (answered(LOST_RESPONSE, ANSWERED, ms=171.0), Loss.LATE_AFTER_TRY),
    (answered(ANSWERED, ms=60.0, status=500), Loss.FAILED),
    (CallEnded(outcome="not_run", status=503, is_overload=True), Loss.NO_SLOT),
    (
        CallEnded(outcome="not_run", status=503, is_overload=True, is_by_target=True),
        Loss.BY_TARGET,
    ),
    (CallEnded(outcome="not_run", status=503), Loss.NOT_TAKEN),
    (CallEnded(outcome="not_run", status=503, is_barred=True), Loss.BARRED),
    (CallEnded(outcome="rejected", status=404), Loss.NOT_TAKEN),
    (CallEnded(outcome="unknown", status=504), Loss.UNKNOWN),
    (CallEnded(), Loss.CALLER_GONE),
)


class LossTest(unittest.TestCase):
    def test_cause_of_each_loss(self) -> None:
        for ended, expected in CASES:
            with self.subTest(ended=ended):
                self.assertEqual(loss_of(ended), expected)


if __name__ == "__main__":
    unittest.main()
