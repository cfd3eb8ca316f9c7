#!/bin/sh
# Checks the stand-ins that the scripts start.  They use Python's standard library alone, so that
# nothing has to be built or installed; the daemon comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast
import pathlib

for path in [pathlib.Path("standins.py"), *sorted(pathlib.Path(".").glob("[0-9]/case.py"))]:
    ast.parse(path.read_text(), str(path))
END
