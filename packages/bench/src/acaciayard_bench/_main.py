"""The commands of the load and experiment tool."""

from __future__ import annotations

import sys
from pathlib import Path

import anyio
import click

from acaciayard_wire import Address

from ._baselines import run_bare_relay, run_library_relay
from ._demo import run_demo
from ._latency import measure_latency

__all__ = ["main"]

_manifest = click.option(
    "--manifest",
    type=click.Path(exists=True, path_type=Path),
    default=Path("examples/riga/manifest.toml"),
    show_default=True,
    help="Manifest to apply.",
)
_out = click.option("--out", default="out", show_default=True, help="Folder for results.")
_seed = click.option("--seed", default=1, show_default=True, help="Same seed, same inputs.")


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


@main.command()
@click.option("--calls", default=2000, show_default=True, help="Calls over each path.")
@click.option("--rate", default=80.0, show_default=True, help="Calls a second over each path.")
@_seed
@_out
def latency(calls: int, rate: float, seed: int, out: str) -> None:
    """Measure the time added to a call against direct calls and two baselines."""
    sys.exit(0 if measure_latency(calls=calls, rate=rate, seed=seed, out=out) else 1)


@main.command(name="bare-relay", hidden=True)
@click.argument("target")
def bare_relay(target: str) -> None:
    """Run the bare relay."""
    address = Address.parse(target)
    anyio.run(run_bare_relay, (address.ip, address.port), backend_options={"use_uvloop": True})


@main.command(name="library-relay", hidden=True)
@click.argument("target")
def library_relay(target: str) -> None:
    """Run the relay of hypercorn and httpx."""
    address = Address.parse(target)
    anyio.run(run_library_relay, (address.ip, address.port), backend_options={"use_uvloop": True})
