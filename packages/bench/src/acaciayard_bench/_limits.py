"""How far one entry daemon goes: calls a second, idle connections, large bodies."""

from __future__ import annotations

import time
from typing import Final

import anyio
import click

from acaciayard_standins import Caller, HostPlan, LocalMesh, MeshHost

from ._latency import publish_route, wait_for_target
from ._results import write_results
from ._sampling import cpu_seconds, rss_bytes

__all__ = ["measure_limits"]

_CALLERS: Final = 32
_SECONDS: Final = 6.0
_CONNECTIONS: Final = 1000
_LARGE: Final = 500_000_000
_OPTIONS: Final = {"use_uvloop": True}


async def _saturate(address: tuple[str, int]) -> int:
    """Calls made in a few seconds by callers that make one after the other."""
    end = time.monotonic() + _SECONDS
    made = 0

    async def one(number: int) -> None:
        nonlocal made
        caller = Caller(address)
        while time.monotonic() < end:
            result = await caller.call("/work?bytes=200", token=f"{number}-{made}")
            if result.status != 200:
                raise click.ClickException(f"a call was answered {result.status}")
            made += 1
        caller.close()

    async with anyio.create_task_group() as tasks:
        for number in range(_CALLERS):
            tasks.start_soon(one, number)
    return made


async def _hold_idle(address: tuple[str, int], host: MeshHost) -> int:
    """Memory of the daemon while many connections stand idle."""
    streams = [await anyio.connect_tcp(*address) for _ in range(_CONNECTIONS)]
    await anyio.sleep(1.0)
    size = rss_bytes(host.daemon.pid)
    for stream in streams:
        await stream.aclose()
    return size


async def _stream_large(address: tuple[str, int], hosts: list[MeshHost]) -> list[int]:
    """Most memory of each daemon while a large answer passes."""
    most = [0 for _ in hosts]
    received = 0
    async with await anyio.connect_tcp(*address) as stream:
        await stream.send(b"GET /work?bytes=%d HTTP/1.1\r\nhost: x\r\n\r\n" % _LARGE)
        while received < _LARGE:
            received += len(await stream.receive(1 << 20))
            if received % 50 == 0 or received >= _LARGE:
                most = [max(m, rss_bytes(h.daemon.pid)) for m, h in zip(most, hosts, strict=True)]
    return most


def measure_limits(*, out: str) -> None:
    """Measure and print."""
    plans = [HostPlan("near-1", "riga-a", "near", slots=64), HostPlan("entry-1", "riga-a")]
    with LocalMesh(plans) as mesh:
        mesh.start()
        near, entry = mesh.hosts
        publish_route(mesh)
        wait_for_target(entry.api)
        address = entry.entry_address
        before = [cpu_seconds(host.daemon.pid) for host in (entry, near)]
        made = anyio.run(_saturate, address, backend_options=_OPTIONS)
        busy = [
            (cpu_seconds(host.daemon.pid) - earlier) / _SECONDS
            for host, earlier in zip((entry, near), before, strict=True)
        ]
        bare = rss_bytes(entry.daemon.pid)
        idle = anyio.run(_hold_idle, address, entry, backend_options=_OPTIONS)
        started = time.monotonic()
        most = anyio.run(_stream_large, address, [entry, near], backend_options=_OPTIONS)
        took = time.monotonic() - started
    figures = {
        "calls_per_second": made / _SECONDS,
        "entry_cores": busy[0],
        "target_side_cores": busy[1],
        "rss_mb": bare / 1e6,
        "rss_mb_at_1000_idle_connections": idle / 1e6,
        "rss_mb_while_streaming": [size / 1e6 for size in most],
        "streamed_mb_per_second": _LARGE / took / 1e6,
    }
    for key, value in figures.items():
        click.echo(f"{key}: {value}")
    write_results(out, "limits", figures)
