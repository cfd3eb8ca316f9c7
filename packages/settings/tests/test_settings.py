"""Settings files."""

from __future__ import annotations

import unittest
from pathlib import Path

from acaciayard_resources import FindingsError
from acaciayard_settings import load_settings, parse_settings

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
GOOD = '[host]\nname = "a"\nfailure_domain = "d"\naddress = "127.0.0.1"\n[log]\nurl = "http://x"\n'

FAULTS = (
    ("", ("host: is missing", "log: is missing")),
    (GOOD + "[ports]\ncontrol = 70000\n", ("s.toml:8: ports.control: 70000 is out of range",)),
    (GOOD + "[ports]\ncontorl = 1\n", ("did you mean control?",)),
    (GOOD + '[mesh]\nseeds = ["x"]\n', ("mesh.seeds: 'x' is no address",)),
    (GOOD.replace("127.0.0.1", "localhost"), ("host.address: 'localhost' is no IP number",)),
    ("[host", ("is no TOML",)),
    (GOOD + "[shutdown]\ngrace_s = true\n", ("shutdown.grace_s: True is no number",)),
)


class SettingsTest(unittest.TestCase):
    def test_faults_are_told_with_their_places(self) -> None:
        for text, expected in FAULTS:
            with self.subTest(expected), self.assertRaises(FindingsError) as caught:
                parse_settings(text, source="s.toml")
            for part in expected:
                self.assertIn(part, str(caught.exception))

    def test_defaults(self) -> None:
        settings = parse_settings(GOOD)
        self.assertEqual(settings.ports.control, 7400)
        self.assertEqual(settings.detector.period_s, 1.0)

    def test_examples_are_valid(self) -> None:
        for path in EXAMPLES.glob("*/host.toml"):
            with self.subTest(path.parent.name):
                load_settings(path)
