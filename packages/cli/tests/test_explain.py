"""From log lines to causes."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from acaciayard_cli import main
from acaciayard_cli._explain import explain, summarize
from acaciayard_cli._log_lines import read_lines

LINES = r"""
time=2026-01-01T00:00:03Z level=info event=call_ended host=h1 request=r1 route=r service=a version=6 outcome=not_run status=503 reason="it would wait 0.054 s for a slot, and 0.046 s are worth waiting" retry_after_s=0.065 ms=6.8 tries="h2 0.5ms refused: it would wait 0.058 s for a slot, and 0.050 s are worth waiting; h3 3.2ms refused: the target drains"
time=2026-01-01T00:00:02Z level=info event=offer_ended host=h3 request=r1 service=a outcome=not_run reason="the target drains" load=1.7 ms=0.0
time=2026-01-01T00:00:04Z level=info event=call_ended host=h1 request=r2 route=r service=a version=6 outcome=unknown status=504 reason="the target gave no whole answer: \"cut\"" ms=381.2 tries="h2 381.2ms unknown: the target gave no whole answer"
time=2026-01-01T00:00:05Z level=info event=call_ended host=h1 request=r3 route=r service=a version=6 outcome=answered status=200 ms=191.5 tries="h2 188.1ms unknown: another host answered first; h3 68.6ms answer 200"
time=2026-01-01T00:00:04Z level=info event=call_ended host=h1 request=r5 route=r service=a version=6 outcome=not_run status=503 reason="it would wait 0.292 s for a turn at 2.7 calls a second, and 0.100 s are worth waiting" retry_after_s=0.292 ms=3.1 tries="h2 0.5ms refused: it would wait 0.292 s for a turn at 2.7 calls a second, and 0.100 s are worth waiting; h3 0.2ms refused: it would wait 0.058 s for a slot, and 0.050 s are worth waiting"
time=2026-01-01T00:00:06Z level=info event=call_ended host=h2 request=r4.1 route=q service=b version=6 outcome=not_run status=503 reason="9 calls wait already" ms=0.2
time=2026-01-01T00:00:07Z level=info event=call_ended host=h1 request=r4 route=r service=a version=6 outcome=answered status=500 ms=80.0 tries="h2 80ms answer 500"
time=2026-01-01T00:00:01Z level=warning event=store_lost host=h2 reason="no answer" version=6 lines_dropped_before=12
Traceback (most recent call last):
"""  # noqa: E501 - lines as daemons write them


def _lines() -> list[str]:
    return LINES.splitlines()


class ExplainTest(unittest.TestCase):
    def cause(self, request: str) -> str:
        return explain(request, read_lines(_lines())).cause

    def test_quotes_inside_of_values_are_read(self) -> None:
        lines = [line for line in read_lines(_lines()) if line["request"] == "r2"]
        self.assertEqual(lines[0]["reason"], 'the target gave no whole answer: "cut"')

    def test_causes(self) -> None:
        for request, parts in (
            ("r1", ("not run", "2 hosts were asked, 1 had no slot", "come back in 0.065 s")),
            ("r2", ("unknown outcome", "sent to h2", '"cut"')),
            ("r3", ("answered 200", "2 tries", "188.1 ms at h2")),
            ("r4", ("answered 500", "to b failed: 9 calls wait already")),
            ("r5", ("1 had no slot in time, 1 kept to a limit", "come back in 0.292 s")),
            ("r9", ("no line tells of this request",)),
        ):
            with self.subTest(request=request):
                cause = self.cause(request)
                for part in parts:
                    self.assertIn(part, cause)

    def test_lines_are_ordered_over_hosts_and_calls(self) -> None:
        told = explain("r1", read_lines(_lines())).lines
        self.assertEqual([line.host for line in told], ["h3", "h1"])
        told = explain("r4", read_lines(_lines())).lines
        self.assertEqual([line["request"] for line in told], ["r4.1", "r4"])

    def test_the_end_of_a_target_belongs_to_the_requests_that_it_ran(self) -> None:
        end = (
            "time=2026-01-01T00:00:03Z level=info event=target host=h2 target=t1 what=ended"
            ' at_work="r8 1869a57c2a95e02b blamed; r2 b452e24e0721881a blamed"'
        )
        told = explain("r2", read_lines([*_lines(), end])).lines
        self.assertEqual([line.event for line in told], ["target", "call_ended"])

    def test_summary(self) -> None:
        summary = summarize(read_lines(_lines()))
        reason = "it would wait # s for a slot, and # s are worth waiting"
        self.assertEqual(summary.causes[("not_run", reason)], 1)
        self.assertEqual([line.event for line in summary.beliefs], ["store_lost"])
        self.assertEqual(summary.dropped, 12)

    def test_commands_read_files_and_standard_input(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "h.log"
            log.write_text(LINES)
            told = CliRunner().invoke(main, ["--output", "json", "explain", "r1", str(log)])
            self.assertEqual(len(json.loads(told.output)["lines"]), 2)
        self.assertEqual(told.exit_code, 0)
        told = CliRunner().invoke(main, ["events"], input=LINES)
        self.assertIn("12 lines were dropped", told.output)
        told = CliRunner().invoke(main, ["explain", "r9"], input=LINES)
        self.assertEqual(told.exit_code, 2)

    def test_losses_are_counted_by_second_and_cause(self) -> None:
        line = (
            "time=2026-01-01T00:00:0{}.5Z level=info event=call_ended host=h1 request=r route=q"
            " service=b version=6 outcome=not_run status=503 loss={}"
        )
        lines = [line.format(*each) for each in ((3, "no_slot"), (3, "no_slot"), (4, "unknown"))]
        told = CliRunner().invoke(main, ["events", "--losses"], input="\n".join(lines))
        self.assertRegex(told.output, r"00:00:03 +q +2 +no_slot 2")
        self.assertRegex(told.output, r"00:00:04 +q +1 +unknown 1")
        asked = ["--output", "json", "events", "--losses"]
        told = CliRunner().invoke(main, asked, input="\n".join(lines))
        found = json.loads(told.output)["losses"]
        self.assertEqual(found[0], ["2026-01-01T00:00:03", "q", "no_slot", 2])


if __name__ == "__main__":
    unittest.main()
