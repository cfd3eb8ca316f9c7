"""What calls cost a daemon, by their rate."""

from __future__ import annotations

import random
import time
from typing import Any, Final

import anyio
import click

from acaciayard_standins import Caller, HostPlan, LocalMesh

from ._latency import publish_route, wait_for_target
from ._results import write_results
from ._sampling import cpu_seconds
from ._statistics import fit_line, percentile

__all__ = ["measure_call_cost"]

_CALLERS: Final = 16
_WARM_UP: Final = 2.0


async def _load(address: tuple[str, int], rate: float, seconds: float, seed: int) -> list[float]:
    """Open-loop load from several connections; times of calls in seconds."""
    took: list[float] = []
    source = random.Random(seed)

    async def one(number: int) -> None:
        caller = Caller(address)
        end = time.monotonic() + seconds
        due = time.monotonic() + source.random() * _CALLERS / rate
        while due < end:
            await anyio.sleep(max(0.0, due - time.monotonic()))
            result = await caller.call("/work?bytes=200", token=f"{number}-{len(took)}")
            if result.status != 200:
                raise click.ClickException(f"a call was answered {result.status}: {result.body!r}")
            took.append(result.seconds)
            due += source.expovariate(rate / _CALLERS)
        caller.close()

    async with anyio.create_task_group() as tasks:
        for number in range(_CALLERS):
            tasks.start_soon(one, number)
    return took


def measure_call_cost(rates: list[float], *, seconds: float, seed: int, out: str) -> None:
    """Measure processor time of an entry daemon and of a target's daemon by calls a second."""
    rows: list[dict[str, Any]] = []
    plans = [HostPlan("near-1", "riga-a", "near", slots=64), HostPlan("entry-1", "riga-a")]
    with LocalMesh(plans) as mesh:
        mesh.start()
        near, entry = mesh.hosts
        publish_route(mesh)
        wait_for_target(entry.api)
        options = {"use_uvloop": True}
        anyio.run(_load, entry.entry_address, 100.0, _WARM_UP, seed, backend_options=options)
        with click.progressbar(rates, label="calls/s") as bar:
            for rate in bar:
                before = [cpu_seconds(host.daemon.pid) for host in (entry, near)]
                took = anyio.run(
                    _load, entry.entry_address, rate, seconds, seed, backend_options=options
                )
                after = [cpu_seconds(host.daemon.pid) for host in (entry, near)]
                rows.append(
                    {
                        "rate": len(took) / seconds,
                        "entry_percent": (after[0] - before[0]) / seconds * 100,
                        "target_side_percent": (after[1] - before[1]) / seconds * 100,
                        "p50_ms": percentile(took, 50) * 1000,
                        "p99_ms": percentile(took, 99) * 1000,
                    }
                )
    keys = ("rate", "entry_percent", "target_side_percent", "p50_ms", "p99_ms")
    click.echo("".join(f"{key:>21}" for key in keys))
    for row in rows:
        click.echo("".join(f"{row[key]:>21.3f}" for key in keys))
    lines = {}
    for key in ("entry_percent", "target_side_percent"):
        line = fit_line([row["rate"] for row in rows], [row[key] for row in rows])
        lines[key] = {"slope": line.slope, "error": line.slope_error, "intercept": line.intercept}
        click.echo(f"{key}: {line.slope * 10:.4f} ± {line.slope_error * 10:.4f} ms a call")
    write_results(out, "calls", {"rows": rows, "lines": lines})
