"""`acaciayard-daemon --config host.toml`."""

from __future__ import annotations

import functools
import sys
from pathlib import Path
from typing import Final

import anyio
import click

from acaciayard_resources import FindingsError
from acaciayard_settings import load_settings

from ._logs import configure_logs
from ._run import run_daemon

__all__ = ["main"]

#: Exit status for settings that are not valid.
_INVALID: Final = 2


@click.command()
@click.option(
    "--config",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings of this host, as TOML.",
)
def main(path: Path) -> None:
    """Run the daemon of this host until SIGTERM."""
    try:
        settings = load_settings(path)
    except FindingsError as findings:
        click.echo(str(findings), err=True)
        sys.exit(_INVALID)
    logger = configure_logs(settings.host.name)
    anyio.run(functools.partial(run_daemon, settings, logger), backend_options={"use_uvloop": True})
