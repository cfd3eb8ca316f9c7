"""Manifests: what is read, and everything that is wrong with them with its line."""

from __future__ import annotations

import unittest
from pathlib import Path

from acaciayard_resources import (
    EMPTY,
    START,
    FindingsError,
    FoldState,
    changes_between,
    encode_record,
    fold,
    parse_manifest,
    proposal_for,
)

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"

FAULTY = """\
[[service]]
name = "novero"
objective_percent = 400

[[route]]
name = "Bad Name"
servise = "novero"
priority = "urgent"

[[servce]]
name = "x"

[[service]]
name = "novero2"
queue_length = 1.5

[[service]]
name = "novero2"
"""

EXPECTED = (
    ("m.toml:3: service.novero.objective_percent", "out of range"),
    ("m.toml:7: route.Bad Name.servise", "is not known"),
    ("m.toml:6: route.Bad Name.name", "is no name"),
    ("m.toml:5: route.Bad Name.service", "is missing"),
    ("m.toml:8: route.Bad Name.priority", "not one of them"),
    ("servce", "there is no kind"),
    ("m.toml:15: service.novero2.queue_length", "is not whole"),
)


class ManifestTest(unittest.TestCase):
    def test_all_findings_at_once_with_their_lines(self) -> None:
        with self.assertRaises(FindingsError) as caught:
            parse_manifest(FAULTY, source="m.toml")
        text = str(caught.exception)
        for place, message in EXPECTED:
            with self.subTest(place=place):
                self.assertRegex(text, f"{place}.*: .*{message}")
        self.assertIn("did you mean service?", text)
        self.assertEqual(len(caught.exception.items), len(EXPECTED))

    def test_resource_that_stands_twice(self) -> None:
        text = '[[service]]\nname = "a"\n\n[[service]]\nname = "a"\n'
        with self.assertRaises(FindingsError) as caught:
            parse_manifest(text, source="m.toml")
        self.assertIn("m.toml:4: service.a: stands already on line 1", str(caught.exception))

    def test_syntax_error_tells_its_line(self) -> None:
        with self.assertRaises(FindingsError) as caught:
            parse_manifest('[[service]]\nname = "a\n', source="m.toml")
        self.assertIn("m.toml:2", str(caught.exception))

    def test_examples_are_accepted(self) -> None:
        for path in sorted(EXAMPLES.glob("*/manifest.toml")):
            with self.subTest(path.parent.name):
                manifest = parse_manifest(path.read_text(), source=path.name)
                changes = changes_between(manifest, EMPTY, prune=True)
                record = encode_record(proposal_for(changes, change_id="x", author="t", time=0.0))
                state = fold(START, record)
                assert isinstance(state, FoldState)
                self.assertEqual(state.outcomes["x"].findings, ())
                again = changes_between(manifest, state.configuration, prune=True)
                self.assertEqual(again, ())
