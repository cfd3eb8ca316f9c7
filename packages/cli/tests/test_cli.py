"""The command line against a small mesh."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from hdrh.histogram import HdrHistogram

from acaciayard_cli._report import burn_rate, merge_levels, write_html
from acaciayard_standins import LocalMesh, several_domains

MANIFEST = """\
[[service]]
name = "novero"

[[route]]
name = "all"
path = "/"
service = "novero"
"""


class CommandTest(unittest.TestCase):
    mesh: LocalMesh

    @classmethod
    def setUpClass(cls) -> None:
        cls.mesh = LocalMesh(several_domains(3, ("riga-a", "riga-b")))
        cls.addClassCleanup(cls.mesh.stop)
        cls.mesh.start()

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def run_cli(self, *words: str, status: int = 0) -> subprocess.CompletedProcess[str]:
        done = subprocess.run(
            [sys.executable, "-m", "acaciayard_cli", "--api", self.mesh.hosts[0].api, *words],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(done.returncode, status, done.stdout + done.stderr)
        return done

    def manifest(self, text: str) -> str:
        path = self.folder / "m.toml"
        path.write_text(text)
        return str(path)

    def test_apply_plan_get_history_and_drain(self) -> None:
        path = self.manifest(MANIFEST)
        self.assertIn("create", self.run_cli("plan", path).stdout)
        applied = self.run_cli("apply", path).stdout
        self.assertIn("in force on 3 of 3", applied)
        self.assertIn("nothing to change", self.run_cli("apply", path).stdout)
        self.assertIn("route", self.run_cli("get").stdout)
        one = json.loads(self.run_cli("get", "route", "all").stdout)
        self.assertEqual(one["spec"]["service"], "novero")
        self.assertIn("route/all", self.run_cli("history").stdout)
        self.run_cli("drain", "host-1")
        self.assertIn("drained already", self.run_cli("drain", "host-1").stdout)
        self.run_cli("drain", "host-1", "--undo")
        status = json.loads(self.run_cli("--output", "json", "status").stdout)
        self.assertEqual(sum(status["violations"].values()), 0)
        self.assertIn("host-2", self.run_cli("status", "--all").stdout)

    def test_manifest_with_a_dangling_route_is_told_with_its_line_and_not_sent(self) -> None:
        before = json.loads(self.run_cli("--output", "json", "get").stdout)["version"]
        text = '[[route]]\nname = "lost"\npath = "/lost"\nservice = "nowhere"\n'
        done = self.run_cli("apply", self.manifest(text), status=2)
        self.assertRegex(done.stderr, r"m\.toml:1: route\.lost\.service: there is no service")
        after = json.loads(self.run_cli("--output", "json", "get").stdout)["version"]
        self.assertEqual(after, before)

    def test_faulty_inputs_end_with_status_2(self) -> None:
        for words in (
            ("plan", str(self.folder / "absent.toml")),
            ("apply", self.manifest("[[servce]]\n")),
            ("settings", "check", str(self.folder / "absent.toml")),
            ("get", "nothing"),
        ):
            with self.subTest(words):
                self.run_cli(*words, status=2)

    def test_absent_daemon_ends_with_status_3(self) -> None:
        self.run_cli("--api", "http://127.0.0.1:9", "status", status=3)

    def test_log_down_ends_with_status_3(self) -> None:
        self.mesh.set_log_fault("down")
        text = '[[service]]\nname = "refused"\n'
        self.run_cli("apply", self.manifest(text), status=3)
        self.mesh.set_log_fault("none")

    def test_report_and_completion(self) -> None:
        page = self.folder / "report.html"
        self.assertIn("burn", self.run_cli("report", "--html", str(page)).stdout)
        self.assertIn("<h1>Service levels</h1>", page.read_text())
        self.assertIn("_ACACIAYARD_COMPLETE", self.run_cli("completion", "bash").stdout)


class ReportTest(unittest.TestCase):
    def report(self, good: int, bad: int, micros: int) -> dict[str, object]:
        histogram = HdrHistogram(1, 3_600_000_000, 2)
        for _ in range(good + bad):
            histogram.record_value(micros)
        return {
            "service": "novero",
            "objective_percent": 99.0,
            "good": good,
            "bad": bad,
            "windows": {"5": [good, bad], "60": [good, bad]},
            "histogram": histogram.encode().decode(),
        }

    def test_levels_of_daemons_are_merged(self) -> None:
        hosts = {"a": [self.report(90, 10, 1000)], "b": [self.report(100, 0, 5000)]}
        (level,) = merge_levels(hosts)
        self.assertEqual((level.good, level.bad), (190, 10))
        self.assertEqual(level.histogram.get_total_count(), 200)
        self.assertAlmostEqual(level.burns[0].rate, 5.0)
        self.assertEqual(level.verdict, "look")
        self.assertAlmostEqual(level.percentile_ms(99), 5.0, delta=0.1)

    def test_verdicts(self) -> None:
        for bad, verdict in ((0, "ok"), (2, "ok"), (4, "look"), (20, "act")):
            with self.subTest(bad=bad):
                (level,) = merge_levels({"a": [self.report(100 - bad, bad, 1000)]})
                self.assertEqual(level.verdict, verdict)

    def test_page_with_plots(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "report.html"
            write_html(merge_levels({"a": [self.report(90, 10, 1000)]}), path)
            text = path.read_text()
        self.assertIn("<svg", text)
        self.assertIn('class="look"', text)

    def test_burn_rate(self) -> None:
        for good, bad, objective, expected in (
            (98, 2, 99.0, 2.0),
            (100, 0, 99.0, 0.0),
            (0, 0, 99.0, 0.0),
            (999, 1, 99.9, 1.0),
        ):
            with self.subTest(good=good, bad=bad):
                self.assertAlmostEqual(burn_rate(good, bad, objective), expected)
