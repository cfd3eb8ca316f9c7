"""The daemon that runs beside each target."""

from ._daemon import Daemon
from ._main import main
from ._run import run_daemon

__all__ = ["Daemon", "main", "run_daemon"]
