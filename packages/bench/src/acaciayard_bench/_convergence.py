"""Convergence and control cost of real daemons, against every daemon polling the log."""

from __future__ import annotations

import time
from typing import Any, Final

import click
import httpx

from acaciayard_standins import LocalMesh, MeshHost, StandInProcess, several_domains

from ._crowd import DOMAINS
from ._results import write_results
from ._sampling import DaemonSample, guard_machine, sample_daemon
from ._statistics import fit_line, percentile

__all__ = ["measure_convergence"]

_SETTLE: Final = 5.0
_MB_PER_DAEMON: Final = 60
_IN_FORCE_WITHIN: Final = 30.0


def _samples(hosts: list[MeshHost]) -> list[DaemonSample]:
    return [sample_daemon(host.daemon.pid, host.api) for host in hosts]


def _mean_rates(before: list[DaemonSample], after: list[DaemonSample]) -> dict[str, float]:
    pairs = list(zip(before, after, strict=True))
    count = len(pairs)
    return {
        "cpu_percent": sum((b.cpu - a.cpu) / (b.time - a.time) for a, b in pairs) / count * 100,
        "bytes_per_second": sum(
            (b.control_bytes - a.control_bytes) / (b.time - a.time) for a, b in pairs
        )
        / count,
        "rss_mb": sum(b.rss for _, b in pairs) / count / 1e6,
    }


def _propose(api: str, name: str) -> tuple[int, float]:
    body = {"author": "bench", "puts": [{"kind": "service", "spec": {"name": name}}]}
    asked = time.monotonic()
    answer = httpx.post(f"{api}/v1/changes", json=body, timeout=20.0, trust_env=False)
    answer.raise_for_status()
    return int(answer.json()["version"]), asked


def _in_force_at(process: StandInProcess, version: int) -> float:
    line = process.wait_for(
        lambda line: line.event == "in_force" and int(line.pairs["version"]) >= version,
        within=_IN_FORCE_WITHIN,
    )
    return float(line.pairs["monotonic"])


def _measure_one(size: int, *, idle: float, changes: int) -> dict[str, Any]:
    guard_machine(processes=size + 3, megabytes=size * _MB_PER_DAEMON)
    with LocalMesh(several_domains(size, DOMAINS[:4])) as mesh:
        mesh.start()
        pollers = StandInProcess(
            "pollers", ["-m", "acaciayard_bench", "pollers", str(size), mesh.log_url]
        )
        time.sleep(_SETTLE)
        reads = mesh.log_counters()["reads"]
        before = _samples(mesh.hosts)
        time.sleep(idle)
        after = _samples(mesh.hosts)
        figures: dict[str, Any] = {"size": size, **_mean_rates(before, after)}
        figures["log_reads_per_second"] = (mesh.log_counters()["reads"] - reads) / idle
        pollers.start()
        pollers.wait_ready()
        try:
            _change_all(mesh, pollers, changes, figures)
        finally:
            pollers.stop()
        ended = (
            pollers.wait_for(lambda line: line.event == "ended", within=5.0)
            if (pollers.is_running)
            else next(line for line in pollers.lines if line.event == "ended")
        )
        figures["polling_bytes_per_daemon"] = int(ended.pairs["bytes"]) / size
    return figures


def _change_all(
    mesh: LocalMesh, pollers: StandInProcess, changes: int, figures: dict[str, Any]
) -> None:
    """One change a second; fills in convergence, with the baseline in the same run."""
    ours = []
    polled = []
    before = _samples(mesh.hosts)
    for number in range(changes):
        version, asked = _propose(mesh.hosts[number % len(mesh.hosts)].api, f"s{number}")
        ours.append(max(_in_force_at(host.daemon, version) for host in mesh.hosts) - asked)
        polled.append(_in_force_at(pollers, version) - asked)
        time.sleep(max(0.0, asked + 1.0 - time.monotonic()))
    after = _samples(mesh.hosts)
    busy = _mean_rates(before, after)
    seconds = after[0].time - before[0].time
    for name, values in (("convergence_s", ours), ("polling_convergence_s", polled)):
        figures[name] = {p: percentile(values, float(p)) for p in ("50", "99")}
        figures[name]["max"] = max(values)
    extra = busy["bytes_per_second"] - figures["bytes_per_second"]
    figures["bytes_per_change"] = extra * seconds / changes
    extra = busy["cpu_percent"] - figures["cpu_percent"]
    figures["cpu_ms_per_change"] = extra * seconds / changes * 10
    figures["violations"] = sum(sum(sample.status["violations"].values()) for sample in after)


def measure_convergence(sizes: list[int], *, idle: float, changes: int, out: str) -> None:
    """Measure real daemons at several sizes and print a table."""
    rows = []
    with click.progressbar(sizes, label="daemons") as bar:
        for size in bar:
            rows.append(_measure_one(size, idle=idle, changes=changes))
    click.echo(
        f"{'daemons':>8}{'p50 s':>8}{'p99 s':>8}{'max s':>8}{'poll p50':>9}{'poll max':>9}"
        f"{'cpu %':>7}{'B/s':>7}{'RSS MB':>8}{'B/change':>9}{'ms/change':>10}{'reads/s':>8}"
    )
    for row in rows:
        ours, polled = row["convergence_s"], row["polling_convergence_s"]
        click.echo(
            f"{row['size']:>8}{ours['50']:>8.3f}{ours['99']:>8.3f}{ours['max']:>8.3f}"
            f"{polled['50']:>9.3f}{polled['max']:>9.3f}"
            f"{row['cpu_percent']:>7.2f}{row['bytes_per_second']:>7.0f}{row['rss_mb']:>8.1f}"
            f"{row['bytes_per_change']:>9.0f}{row['cpu_ms_per_change']:>10.2f}"
            f"{row['log_reads_per_second']:>8.2f}"
        )
    broken = sum(row["violations"] for row in rows)
    click.echo(f"violations counted by all daemons: {broken}")
    lines = {}
    if len(sizes) > 1:
        for key in ("cpu_percent", "bytes_per_second", "rss_mb", "log_reads_per_second"):
            line = fit_line([float(s) for s in sizes], [row[key] for row in rows])
            lines[key] = {"slope": line.slope, "error": line.slope_error}
            click.echo(f"{key}: {line.slope:.5f} ± {line.slope_error:.5f} a daemon")
    write_results(out, "convergence", {"rows": rows, "lines": lines})
