"""Command line that runs the `main()` of a package or writes the cache for its startup."""

from __future__ import annotations

import gc
import importlib
import sys
from pathlib import Path
from typing import Final

from ._prepared import load_prepared, save_prepared

__all__ = ["main"]

_USAGE: Final = "usage: python3 -m acaciayard_start [--prepare] PACKAGE"
#: Exit status for invalid command line arguments.
_EXIT_INVALID_ARGUMENTS: Final = 2


def _cache_path(package: str) -> Path:
    """Return the path of the cache file of `package`, which is stored inside this package."""
    return Path(__file__).with_name(f"{package}.prepared")


def main() -> None:
    """Run the program named on the command line, or with `--prepare` write its cache file."""
    arguments = sys.argv[1:]
    is_prepare = arguments[:1] == ["--prepare"]
    if len(arguments) != 1 + is_prepare:
        print(_USAGE, file=sys.stderr)
        sys.exit(_EXIT_INVALID_ARGUMENTS)
    package = arguments[-1]
    path = _cache_path(package)
    if is_prepare:
        path.unlink(missing_ok=True)
    prepared = load_prepared(path)
    missing = prepared.install()
    if missing:
        # The program starts nevertheless.  The logger is not loaded yet, hence `print`.
        print(f"level=warning event=methods_not_prepared libraries={','.join(missing)}", flush=True)
    # Objects created by imports live as long as the process; repeated garbage collection over
    # them took 8 % of the CPU time of a start.
    gc.disable()
    program = importlib.import_module(package)
    gc.enable()
    if is_prepare:
        save_prepared(path, prepared.methods)
        return
    program.main()
