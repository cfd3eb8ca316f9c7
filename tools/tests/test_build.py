"""Tests of the build of the daemon for the operators' platform."""

from __future__ import annotations

import os
import subprocess
import tempfile
import unittest
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[2]
#: An interpreter that tells a machine and counts how often libraries are installed.
INTERPRETER: Final = """#!/bin/sh
case "$1 $2" in
    "-m pip") echo x >> installed; mkdir -p target/deps ;;
    "-c "*) echo "$MACHINE" ;;
esac
"""


class BuildTest(unittest.TestCase):
    def test_libraries_of_another_machine_are_installed_anew(self) -> None:
        """Guards against compiled libraries of another architecture or Python that are kept."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            for part in ("packages", "platform", "deploy", "requirements"):
                (folder / part).symlink_to(ROOT / part)
            interpreter = folder / "bin" / "python3"
            interpreter.parent.mkdir()
            interpreter.write_text(INTERPRETER)
            interpreter.chmod(0o755)
            installed = []
            for machine in ("linux-x86_64", "linux-x86_64", "linux-aarch64"):
                path = f"{interpreter.parent}:{os.environ['PATH']}"
                subprocess.run(
                    ["sh", "deploy/build.sh"],
                    cwd=folder,
                    env={"PATH": path, "MACHINE": machine},
                    check=True,
                )
                installed.append(len((folder / "installed").read_text().split()))
            self.assertEqual(installed, [1, 1, 2])


if __name__ == "__main__":
    unittest.main()
