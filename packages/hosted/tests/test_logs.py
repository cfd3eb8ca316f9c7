"""Tests that logging never blocks the daemon."""

from __future__ import annotations

import os
import unittest

from hdrh.histogram import HdrHistogram

from acaciayard_callmodel import CallEnded, Try
from acaciayard_hosted import BoundedLines, CallLog, bounded_logger
from acaciayard_hosted._metrics import _buckets
from acaciayard_timers import ManualTimers


class BucketsTest(unittest.TestCase):
    def test_counts_up_to_each_bound(self) -> None:
        histogram = HdrHistogram(100, 600_000_000, 2)
        for ms in (1, 4, 8, 40, 40, 90_000):
            histogram.record_value(ms * 1000)
        counts = dict(_buckets(histogram))
        self.assertEqual([counts[bound] for bound in ("5", "10", "20", "50")], [2, 3, 3, 5])
        self.assertEqual((counts["5000"], counts["+Inf"]), (5, 6))


class BoundedLinesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.timers = ManualTimers()
        self.lines = BoundedLines(self.writer, timers=self.timers)

    def read(self) -> list[str]:
        return os.read(self.reader, 1 << 20).decode().splitlines()

    def test_lines_beyond_the_rate_are_counted(self) -> None:
        for number in range(1000):
            self.lines.info(f"line {number}")
        self.assertEqual(len(self.read()), 200)
        self.assertEqual(self.lines.dropped, 800)

    def test_warnings_bypass_the_rate_limit_and_report_dropped_lines(self) -> None:
        for _ in range(300):
            self.lines.info("x")
        self.lines.warning("lost")
        self.assertEqual(self.read()[-1], "lost lines_dropped_before=100")

    def test_stalled_reader_blocks_nothing(self) -> None:
        for _ in range(20_000):
            self.lines.warning("y" * 100)
        self.assertGreater(self.lines.dropped, 10_000)

    def test_lines_beyond_the_rate_are_not_rendered(self) -> None:
        """Rendering a line takes 45 us, and under load most lines are dropped."""

        class Costly:
            rendered = 0

            def __str__(self) -> str:
                Costly.rendered += 1
                return "x"

        log = bounded_logger("near-1", self.lines)
        for _ in range(1000):
            log.info("event", value=Costly())
        log.warning("event", value=Costly())
        self.assertEqual((len(self.read()), self.lines.dropped), (201, 800))
        self.assertLessEqual(Costly.rendered, 201)

    def test_failed_call_is_logged_with_its_cause(self) -> None:
        log = CallLog(bounded_logger("near-1", self.lines))
        ended = CallEnded(
            request_id="7f3a",
            route="quotes",
            service="perizia",
            version=12,
            outcome="not_run",
            status=503,
            reason="full",
            retry_after=0.2,
            ms=3.5,
            tries=[Try("near-1", "refused: full", 0.1)],
        )
        log.call_ended(ended)
        (line,) = self.read()
        for part in ("request=7f3a", "version=12", "reason=full", "retry_after_s=0.2", "near-1"):
            self.assertIn(part, line)

    def test_lines_render_booleans_and_omit_none(self) -> None:
        log = bounded_logger("near-1", self.lines)
        log.info("feeder", reads_store=False, alone=True, reason=None)
        (line,) = self.read()
        self.assertTrue(line.endswith("host=near-1 reads_store=false alone=true"), line)

    def test_ordinary_calls_are_sampled(self) -> None:
        log = CallLog(bounded_logger("near-1", self.lines))
        for number in range(640):
            log.call_ended(CallEnded(request_id=f"{number}", outcome="answered", status=200, ms=1))
        self.assertLess(len(self.read()), 40)
        self.assertEqual(log.histograms()[""].get_total_count(), 640)
