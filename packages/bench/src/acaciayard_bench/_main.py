"""The commands of the load and experiment tool."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import anyio
import click

from acaciayard_standins import random_run
from acaciayard_wire import Address

from ._baselines import run_bare_relay, run_library_relay
from ._call_cost import measure_call_cost
from ._convergence import measure_convergence
from ._demo import run_demo
from ._fold_cost import measure_fold
from ._latency import measure_latency
from ._limits import measure_limits
from ._membership import measure_churn, measure_membership
from ._overload import measure_amplification, measure_overload
from ._peers import PeerPlan, run_peers
from ._pollers import run_pollers

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


def _numbers(text: str) -> list[int]:
    try:
        return [int(part) for part in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"{text!r} is no list of numbers such as 8,16") from error


@main.command()
@click.option("--sizes", default="8,16,32,64", show_default=True, help="Daemons.")
@click.option("--idle", default=10.0, show_default=True, help="Seconds without changes.")
@click.option("--changes", default=10, show_default=True, help="Changes, one a second.")
@_out
def convergence(sizes: str, idle: float, changes: int, out: str) -> None:
    """Measure real daemons against every daemon polling the log."""
    measure_convergence(_numbers(sizes), idle=idle, changes=changes, out=out)


@main.command()
@click.option("--sizes", default="100,200,400,810", show_default=True, help="Members.")
@click.option("--idle", default=20.0, show_default=True, help="Seconds without changes.")
@click.option("--changes", default=10, show_default=True, help="Changes, one a second.")
@_seed
@_out
def membership(sizes: str, idle: float, changes: int, seed: int, out: str) -> None:
    """Measure one real daemon among ever more light peers."""
    measure_membership(_numbers(sizes), idle=idle, changes=changes, seed=seed, out=out)


@main.command()
@click.option("--members", default=810, show_default=True, help="Members in all.")
@click.option("--per-day", default=1220.0, show_default=True, help="Restarts a day.")
@click.option("--seconds", default=600.0, show_default=True, help="Length of the run.")
@_seed
@_out
def churn(members: int, per_day: float, seconds: float, seed: int, out: str) -> None:
    """Measure one real daemon while members restart, then a herd; exit status by the budgets."""
    within = measure_churn(members, per_day=per_day, seconds=seconds, seed=seed, out=out)
    sys.exit(0 if within else 1)


@main.command()
@click.option("--sizes", default="50,100,200,350,500", show_default=True, help="Routes.")
@_out
def fold(sizes: str, out: str) -> None:
    """Measure what resources cost: time to fold, snapshot, memory."""
    measure_fold(_numbers(sizes), out=out)


@main.command()
@click.option("--rates", default="40,80,160,320,500", show_default=True, help="Calls a second.")
@click.option("--seconds", default=10.0, show_default=True, help="Seconds at each rate.")
@_seed
@_out
def calls(rates: str, seconds: float, seed: int, out: str) -> None:
    """Measure what calls cost an entry daemon and a target's daemon."""
    rate_list = [float(rate) for rate in _numbers(rates)]
    measure_call_cost(rate_list, seconds=seconds, seed=seed, out=out)


@main.command()
@_out
def limits(out: str) -> None:
    """Measure most calls a second, and memory with idle connections and large bodies."""
    measure_limits(out=out)


@main.command()
@click.option("--seconds", default=10.0, show_default=True, help="Seconds at each load.")
@_seed
@_out
def overload(seconds: float, seed: int, out: str) -> None:
    """Measure goodput at 1, 2 and 3 times capacity, and what retries add under failures."""
    holds = [
        measure_overload(seconds=seconds, seed=seed, out=out),
        measure_amplification(seconds=seconds, seed=seed, out=out),
    ]
    sys.exit(0 if all(holds) else 1)


@main.command()
@_seed
@click.option("--seconds", default=60.0, show_default=True, help="Seconds with faults.")
@click.option("--runs", default=1, show_default=True, help="Runs, each with the next seed.")
def random(seed: int, seconds: float, runs: int) -> None:
    """Make random calls under random faults and look for broken promises."""
    verdicts = [random_run(seed=seed + run, seconds=seconds) for run in range(runs)]
    sys.exit(1 if any(verdict.broken for verdict in verdicts) else 0)


@main.command(hidden=True)
@click.argument("count", type=int)
@click.argument("log_url")
def pollers(count: int, log_url: str) -> None:
    """Run the polling baseline."""
    anyio.run(run_pollers, count, log_url, backend_options={"use_uvloop": True})


@main.command(hidden=True)
@click.option("--first", type=int)
@click.option("--count", type=int)
@click.option("--of", type=int)
@click.option("--network")
@click.option("--port", type=int)
@click.option("--log-url")
@click.option("--domains")
@click.option("--services", type=int)
@click.option("--seeds")
@click.option("--seed", type=int)
@click.option("--churn", type=float)
def peers(churn: float, domains: str, seeds: str, **options: Any) -> None:
    """Run light peers."""
    plan = PeerPlan(domains=tuple(domains.split(",")), seeds=tuple(seeds.split(",")), **options)
    anyio.run(run_peers, plan, churn, backend_options={"use_uvloop": True})


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
