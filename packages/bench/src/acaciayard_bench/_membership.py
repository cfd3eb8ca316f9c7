"""Slopes by the number of members, and what a herd and churn cost."""

from __future__ import annotations

import signal
import time
from typing import Any, Final

import click
import httpx

from ._crowd import PEERS_PER_PROCESS, Crowd, crowd
from ._results import write_results
from ._sampling import DaemonSample, sample_daemon
from ._statistics import fit_line, percentile

__all__ = ["measure_churn", "measure_membership"]

#: Seconds for members to settle before anything is measured.
_SETTLE: Final = 15.0
_TARGET_SIZE: Final = 810
_HERD_WITHIN: Final = 60.0


def _sample(running: Crowd) -> DaemonSample:
    return sample_daemon(running.daemon.daemon.pid, running.daemon.api)


def _rates(before: DaemonSample, after: DaemonSample) -> dict[str, float]:
    """Use per second between two samples."""
    seconds = after.time - before.time
    return {
        "cpu_percent": (after.cpu - before.cpu) / seconds * 100,
        "bytes_per_second": (after.control_bytes - before.control_bytes) / seconds,
        "log_reads_per_second": (after.log_reads - before.log_reads) / seconds,
        "rss_mb": after.rss / 1e6,
    }


def _measure_one(size: int, *, idle: float, changes: int, seed: int) -> dict[str, Any]:
    with crowd(size, seed=seed) as running:
        time.sleep(_SETTLE)
        log_before = running.mesh.log_counters()["reads"]
        before = _sample(running)
        time.sleep(idle)
        after = _sample(running)
        log_after = running.mesh.log_counters()["reads"]
        figures: dict[str, Any] = _rates(before, after)
        figures["all_log_reads_per_second"] = (log_after - log_before) / (after.time - before.time)
        took = []
        before = _sample(running)
        log_before = running.mesh.log_counters()["reads"]
        for number in range(changes):
            version, asked = running.propose(f"change-{number}")
            took.append(running.wait_in_force(version, asked))
            time.sleep(max(0.0, asked + 1.0 - time.monotonic()))
        after = _sample(running)
        busy = _rates(before, after)
        log_reads = running.mesh.log_counters()["reads"] - log_before
    figures["size"] = size
    figures["convergence_s"] = {
        "p50": percentile(took, 50),
        "p99": percentile(took, 99),
        "max": max(took),
    }
    seconds = after.time - before.time
    extra = busy["bytes_per_second"] - figures["bytes_per_second"]
    figures["bytes_per_change"] = extra * seconds / changes
    extra = busy["cpu_percent"] - figures["cpu_percent"]
    figures["cpu_ms_per_change"] = extra * seconds / changes * 10
    figures["log_reads_per_change"] = log_reads / changes
    return figures


def measure_membership(sizes: list[int], *, idle: float, changes: int, seed: int, out: str) -> None:
    """Measure one real daemon among ever more members, and fit lines."""
    rows = []
    with click.progressbar(sizes, label="members") as bar:
        for size in bar:
            rows.append(_measure_one(size, idle=idle, changes=changes, seed=seed))
    click.echo(
        f"{'members':>8}{'cpu %':>8}{'B/s':>9}{'RSS MB':>8}{'log reads/s':>12}"
        f"{'conv p50':>10}{'conv max':>10}{'B/change':>10}{'ms/change':>10}{'reads/ch':>9}"
    )
    for row in rows:
        convergence = row["convergence_s"]
        click.echo(
            f"{row['size']:>8}{row['cpu_percent']:>8.2f}{row['bytes_per_second']:>9.0f}"
            f"{row['rss_mb']:>8.1f}{row['all_log_reads_per_second']:>12.2f}"
            f"{convergence['p50']:>10.3f}{convergence['max']:>10.3f}"
            f"{row['bytes_per_change']:>10.0f}{row['cpu_ms_per_change']:>10.2f}"
            f"{row['log_reads_per_change']:>9.1f}"
        )
    lines = {}
    if len(sizes) >= 2:
        for key in ("cpu_percent", "bytes_per_second", "rss_mb", "all_log_reads_per_second"):
            line = fit_line([float(s) for s in sizes], [row[key] for row in rows])
            lines[key] = {
                "slope": line.slope,
                "slope_error": line.slope_error,
                "intercept": line.intercept,
                "at_810": line.at(_TARGET_SIZE),
                "error_at_810": line.error_at(_TARGET_SIZE),
            }
            click.echo(
                f"{key}: {line.slope:.6f} ± {line.slope_error:.6f} a member; at"
                f" {_TARGET_SIZE}: {line.at(_TARGET_SIZE):.3f} ± {line.error_at(_TARGET_SIZE):.3f}"
            )
    write_results(out, "membership", {"rows": rows, "lines": lines, "idle_s": idle})


def measure_churn(size: int, *, per_day: float, seconds: float, seed: int, out: str) -> bool:
    """One real daemon among members that restart, then all of one process at once.

    Returns whether the budgets for control hold.
    """
    with crowd(size, seed=seed, churn=per_day / 86_400) as running:
        time.sleep(_SETTLE)
        before = _sample(running)
        time.sleep(seconds)
        after = _sample(running)
        rates = _rates(before, after)
        herd = running.processes[0]
        reads_before = running.mesh.log_counters()["reads"]
        herd_before = _sample(running)
        known = _incarnations(running)
        hosts = [f"peer-{number:04}" for number in range(min(PEERS_PER_PROCESS, size - 1))]
        herd.signal(signal.SIGUSR1)
        agreed = _wait_for_herd(running, known, hosts)
        herd_after = _sample(running)
        reads = running.mesh.log_counters()["reads"] - reads_before
    figures = {
        "size": size,
        "restarts_per_day": per_day,
        "seconds": seconds,
        **rates,
        "herd": {
            "members": len(hosts),
            "agreed_after_s": agreed,
            "log_reads": reads,
            "control_bytes": herd_after.control_bytes - herd_before.control_bytes,
            "cpu_ms": (herd_after.cpu - herd_before.cpu) * 1000,
        },
        "violations": herd_after.status["violations"],
    }
    for key, value in figures.items():
        click.echo(f"{key}: {value}")
    write_results(out, "churn", figures)
    within = rates["cpu_percent"] <= 2.1 and rates["bytes_per_second"] <= 23_000
    return within and rates["rss_mb"] <= 128


def _incarnations(running: Crowd) -> dict[str, int]:
    """Incarnations of the members that the real daemon knows as running."""
    answer = httpx.get(f"{running.daemon.api}/v1/members", timeout=10.0, trust_env=False)
    return {member["host"]: member["incarnation"] for member in answer.json()}


def _wait_for_herd(running: Crowd, before: dict[str, int], herd: list[str]) -> float:
    """Seconds until the real daemon knows all restarted peers by their new incarnations."""
    started = time.monotonic()
    while time.monotonic() - started < _HERD_WITHIN:
        now = _incarnations(running)
        if all(now.get(host, 0) > before[host] for host in herd):
            return time.monotonic() - started
        time.sleep(0.1)
    raise TimeoutError(f"the herd was not known after {_HERD_WITHIN:g} s")
