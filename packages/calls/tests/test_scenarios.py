"""Runs every file in `scenarios/` against real daemons."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from pathlib import Path

from acaciayard_standins import ScenarioError, read_scenario, run_scenario

FOLDER = Path(__file__).parent / "scenarios"


class ScenarioTest(unittest.TestCase):
    """One test per scenario file; the methods are added below."""

    def test_invalid_line_is_reported(self) -> None:
        invalid_file = Path(self.enterContext(_folder())) / "invalid.scenario"
        invalid_file.write_text("host a in b\nexplode a\n")
        with self.assertRaisesRegex(ScenarioError, "invalid.scenario:2"):
            read_scenario(invalid_file)


def _folder():  # type: ignore[no-untyped-def]
    import tempfile

    return tempfile.TemporaryDirectory()


def _test_of(path: Path) -> Callable[[unittest.TestCase], None]:
    def test(_self: unittest.TestCase) -> None:
        run_scenario(read_scenario(path))

    test.__doc__ = path.read_text().splitlines()[0].lstrip("# ")
    return test


for _path in sorted(FOLDER.glob("*.scenario")):
    setattr(ScenarioTest, f"test_{_path.stem}", _test_of(_path))
