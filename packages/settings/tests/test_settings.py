"""Tests of reading and validating settings files."""

from __future__ import annotations

import unittest
from pathlib import Path

from acaciayard_resources import FindingsError
from acaciayard_settings import load_settings, parse_settings

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
VALID_SETTINGS = (
    '[host]\nname = "a"\nfailure_domain = "d"\naddress = "127.0.0.1"\n[log]\nurl = "http://x"\n'
)

INVALID_SETTINGS = (
    ("", ("host: is missing", "log: is missing")),
    (
        VALID_SETTINGS + "[ports]\ncontrol = 70000\n",
        ("s.toml:8: ports.control: 70000 is out of range",),
    ),
    (VALID_SETTINGS + "[ports]\ncontorl = 1\n", ("did you mean control?",)),
    (VALID_SETTINGS + '[mesh]\nseeds = ["x"]\n', ("mesh.seeds: 'x' is not a socket address",)),
    (
        VALID_SETTINGS.replace("127.0.0.1", "localhost"),
        ("host.address: 'localhost' is not an IP address",),
    ),
    ("[host", ("is not valid TOML",)),
    (VALID_SETTINGS + "[shutdown]\ngrace_s = true\n", ("shutdown.grace_s: True is no number",)),
)


class SettingsTest(unittest.TestCase):
    def test_errors_are_reported_with_their_locations(self) -> None:
        for text, expected_messages in INVALID_SETTINGS:
            with self.subTest(expected_messages), self.assertRaises(FindingsError) as context:
                parse_settings(text, source="s.toml")
            for message in expected_messages:
                self.assertIn(message, str(context.exception))

    def test_omitted_settings_take_defaults(self) -> None:
        settings = parse_settings(VALID_SETTINGS)
        self.assertEqual(settings.ports.control, 7400)
        self.assertEqual(settings.detector.period_s, 1.0)

    def test_examples_are_valid(self) -> None:
        for path in EXAMPLES.glob("*/host.toml"):
            with self.subTest(path.parent.name):
                load_settings(path)
