"""Time that the system adds to a call, against direct calls and two baselines, interleaved."""

from __future__ import annotations

import random
import time
from typing import Any, Final

import anyio
import click
import httpx
from attrs import frozen

from acaciayard_standins import Caller, HostPlan, LocalMesh, StandInProcess

from ._results import write_results
from ._statistics import percentile

__all__ = ["measure_latency", "publish_route", "wait_for_target"]

#: The users' bound: milliseconds added for 99 calls in 100.
BOUND_MS: Final = 0.62
RATIO_BOUND: Final = 1.8
_ANSWER_BYTES: Final = 200
_WARM_UP: Final = 100
_PERCENTILES: Final = (50.0, 99.0, 99.9)


@frozen
class Path:
    """One way from the caller to the target."""

    #: Name for people.
    name: str
    #: Where the caller connects.
    address: tuple[str, int]


def _manifest() -> dict[str, Any]:
    service = {"name": "near", "queue_length": 1000}
    route = {"name": "work", "service": "near", "path": "/work", "idempotent": True}
    return {
        "author": "bench",
        "puts": [{"kind": "service", "spec": service}, {"kind": "route", "spec": route}],
    }


async def _run(paths: list[Path], calls: int, rate: float, seed: int) -> dict[str, list[float]]:
    """Call over all paths in turn, in a random order each round; milliseconds by path."""
    order = list(paths)
    source = random.Random(seed)
    callers = {path.name: Caller(path.address) for path in paths}
    took: dict[str, list[float]] = {path.name: [] for path in paths}
    period = 1 / rate
    due = time.perf_counter()
    for number in range(calls + _WARM_UP):
        source.shuffle(order)
        for path in order:
            result = await callers[path.name].call(
                f"/work?bytes={_ANSWER_BYTES}", token=f"t{number}"
            )
            if result.status != 200:
                raise click.ClickException(f"{path.name} answered {result.status}: {result.body!r}")
            if number >= _WARM_UP:
                took[path.name].append(result.seconds * 1000)
        due += period
        await anyio.sleep(max(0.0, due - time.perf_counter()))
    return took


def measure_latency(*, calls: int, rate: float, seed: int, out: str) -> bool:
    """Measure and print; whether the bounds hold."""
    plans = [HostPlan("near-1", "riga-a", "near", slots=64), HostPlan("entry-1", "riga-a")]
    with LocalMesh(plans) as mesh:
        mesh.start()
        near, entry = mesh.hosts
        publish_route(mesh)
        target = httpx.URL(near.target_url)
        direct = (target.host, target.port or 0)
        baselines = [
            StandInProcess(name, ["-m", "acaciayard_bench", name, f"{direct[0]}:{direct[1]}"])
            for name in ("bare-relay", "library-relay")
        ]
        try:
            ports = []
            for baseline in baselines:
                baseline.start()
                ports.append(int(baseline.wait_ready().pairs["port"]))
            paths = [
                Path("direct", direct),
                Path("bare relay", ("127.0.0.1", ports[0])),
                Path("hypercorn + httpx", ("127.0.0.1", ports[1])),
                Path("own host", near.entry_address),
                Path("other host", entry.entry_address),
            ]
            wait_for_target(entry.api)
            took = anyio.run(_run, paths, calls, rate, seed, backend_options={"use_uvloop": True})
        finally:
            for baseline in baselines:
                baseline.kill()
    return _report(took, calls=calls, rate=rate, out=out)


def publish_route(mesh: LocalMesh) -> None:
    """Publish a route to the service `near` and wait until it is in force everywhere."""
    answer = httpx.post(f"{mesh.hosts[0].api}/v1/changes", json=_manifest(), trust_env=False)
    answer.raise_for_status()
    for host in mesh.hosts:
        host.wait_in_force(answer.json()["version"])


def wait_for_target(api: str) -> None:
    """Wait until a daemon knows of a target."""
    deadline = time.monotonic() + 10
    while time.monotonic() < deadline:
        members = httpx.get(f"{api}/v1/members", trust_env=False).json()
        if any(member["targets"] for member in members):
            return
        time.sleep(0.05)
    raise click.ClickException("the target did not become known")


def _report(took: dict[str, list[float]], *, calls: int, rate: float, out: str) -> bool:
    direct = {p: percentile(took["direct"], p) for p in _PERCENTILES}
    added = {
        name: {p: percentile(values, p) - direct[p] for p in _PERCENTILES}
        for name, values in took.items()
    }
    click.echo(f"{calls} calls over each path at {rate:g} calls/s, interleaved; ms")
    header = "".join(f"{f'p{p:g}':>9}{f'p{p:g} +':>9}" for p in _PERCENTILES)
    click.echo(f"{'path':<20}{header}")
    for name, values in took.items():
        cells = "".join(f"{percentile(values, p):9.3f}{added[name][p]:9.3f}" for p in _PERCENTILES)
        click.echo(f"{name:<20}{cells}")
    ratio = added["other host"][50.0] / added["bare relay"][50.0]
    worst = added["other host"][99.0]
    click.echo(f"added at p99 over another host: {worst:.3f} ms (bound {BOUND_MS} ms)")
    click.echo(f"ratio to the bare relay at p50: {ratio:.2f} (bound {RATIO_BOUND})")
    noise = direct[99.0] - direct[50.0]
    click.echo(f"noise: direct calls differ by {noise:.3f} ms between p50 and p99")
    write_results(
        out,
        "latency",
        {"calls": calls, "rate": rate, "added_ms": added, "direct_ms": direct, "ratio": ratio},
    )
    return worst <= BOUND_MS
