"""The commands of the load and experiment tool."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from ._demo import run_demo

__all__ = ["main"]

_manifest = click.option(
    "--manifest",
    type=click.Path(exists=True, path_type=Path),
    default=Path("examples/riga/manifest.toml"),
    show_default=True,
    help="Manifest to apply.",
)


@click.group()
def main() -> None:
    """Start meshes of plain processes on loopback addresses, load them and measure."""


@main.command()
@_manifest
def run(manifest: Path) -> None:
    """Show the main job and stay up until Ctrl-C."""
    sys.exit(run_demo(manifest, stay=True))


@main.command()
@_manifest
def smoke(manifest: Path) -> None:
    """Show the main job once; the exit status is the verdict."""
    sys.exit(run_demo(manifest, stay=False))
