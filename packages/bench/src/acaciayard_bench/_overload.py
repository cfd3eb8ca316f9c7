"""Goodput and times by class beyond capacity, and what retries add while half the targets fail."""

from __future__ import annotations

import functools
import random
from typing import Any, Final

import anyio
import click
import httpx

from acaciayard_standins import HostPlan, LocalMesh

from ._latency import wait_for_target
from ._open_load import Asked, Done, open_load
from ._results import write_results
from ._statistics import percentile

__all__ = ["measure_amplification", "measure_overload"]

_SLOTS: Final = 4
_CALL_MS: Final = 50
_DEADLINE_MS: Final = 1000
_CLASSES: Final = ("interactive", "normal", "bulk")
_SHARES: Final = (0.4, 0.4, 0.2)
_OPTIONS: Final = {"use_uvloop": True}
_GOODPUT_BOUND: Final = 0.95
_AMPLIFICATION_BOUND: Final = 1.2


def _plans(targets: int) -> list[HostPlan]:
    domains = ("riga-a", "riga-b")
    return [
        HostPlan(f"near-{n}", domains[n % 2], "near", slots=_SLOTS) for n in range(1, targets + 1)
    ] + [HostPlan("entry-1", "riga-a")]


def _publish(mesh: LocalMesh, *puts: dict[str, Any]) -> None:
    body = {"author": "bench", "puts": list(puts)}
    answer = httpx.post(f"{mesh.hosts[0].api}/v1/changes", json=body, trust_env=False)
    answer.raise_for_status()
    for host in mesh.hosts:
        host.wait_in_force(answer.json()["version"])
        wait_for_target(host.api)


def _is_good(done: Done) -> bool:
    return done.result.status == 200 and done.result.seconds * 1000 <= _DEADLINE_MS


def _summary(results: list[Done], seconds: float) -> dict[str, Any]:
    good = [done for done in results if _is_good(done)]
    refused = [done.result.seconds for done in results if done.result.outcome == "not_run"]
    figures: dict[str, Any] = {
        "asked_per_second": len(results) / seconds,
        "good_per_second": len(good) / seconds,
        "refused_p99_ms": percentile(refused, 99) * 1000 if refused else 0.0,
    }
    for label in _CLASSES:
        mine = [done for done in results if done.asked.label == label]
        times = [done.result.seconds * 1000 for done in mine if _is_good(done)]
        figures[f"{label}_good_share"] = len(times) / max(1, len(mine))
        figures[f"{label}_p99_ms"] = percentile(times, 99) if times else 0.0
    return figures


def measure_overload(*, seconds: float, seed: int, out: str) -> bool:
    """Load a small mesh at 1, 2 and 3 times its capacity; whether goodput holds."""

    def ask(source: random.Random) -> Asked:
        (label,) = source.choices(_CLASSES, _SHARES)
        return Asked(label, f"/{label}?ms={_CALL_MS}", _DEADLINE_MS)

    rows = []
    with LocalMesh(_plans(2)) as mesh:
        mesh.start()
        routes = [
            {"name": label, "service": "near", "path": f"/{label}", "priority": label}
            for label in _CLASSES
        ]
        service = {"name": "near", "queue_length": 16, "warm_up_s": 0}
        _publish(
            mesh,
            {"kind": "service", "spec": service},
            *({"kind": "route", "spec": route} for route in routes),
        )
        entries = [host.entry_address for host in mesh.hosts]
        capacity = 2 * _SLOTS * 1000 / _CALL_MS
        for factor in (1, 2, 3):
            load = functools.partial(
                open_load, entries, rate=capacity * factor, seconds=seconds, seed=seed, ask=ask
            )
            results = anyio.run(load, backend_options=_OPTIONS)
            rows.append({"factor": factor, **_summary(results, seconds)})
        most: int = max(host.journal()["most_running"] for host in mesh.hosts if host.has_target)
    for row in rows:
        click.echo("  ".join(f"{key}={value:.3g}" for key, value in row.items()))
    ratio = float(rows[2]["good_per_second"] / rows[0]["good_per_second"])
    click.echo(f"goodput at 3x over 1x: {ratio:.3f} (bound {_GOODPUT_BOUND})")
    click.echo(f"most calls at once at a target: {most} (slots {_SLOTS})")
    write_results(out, "overload", {"rows": rows, "ratio": ratio, "most_running": most})
    return ratio >= _GOODPUT_BOUND and most <= _SLOTS


def measure_amplification(*, seconds: float, seed: int, out: str) -> bool:
    """Have half the targets fail every call, and count runs per call; whether the bound holds."""

    def ask(_source: random.Random) -> Asked:
        return Asked("read", "/reads?ms=5", _DEADLINE_MS)

    with LocalMesh(_plans(4)) as mesh:
        mesh.start()
        retry = {"name": "reads", "attempts": 3, "per_try_s": 1, "budget_percent": 10}
        route = {"name": "reads", "service": "near", "path": "/reads", "idempotent": True}
        _publish(
            mesh,
            {"kind": "service", "spec": {"name": "near", "warm_up_s": 0}},
            {"kind": "retry_policy", "spec": retry},
            {"kind": "route", "spec": {**route, "retry": "reads"}},
        )
        for host in mesh.hosts[:2]:
            host.tell_target("fail/503")
        entries = [host.entry_address for host in mesh.hosts]
        load = functools.partial(
            open_load, entries, rate=100.0, seconds=seconds, seed=seed, ask=ask
        )
        results = anyio.run(load, backend_options=_OPTIONS)
        runs = sum(
            sum(host.journal()["started"].values()) for host in mesh.hosts if host.has_target
        )
    good = sum(_is_good(done) for done in results)
    factor = runs / len(results)
    click.echo(
        f"{len(results)} calls, {runs} runs: amplification {factor:.3f}"
        f" (bound {_AMPLIFICATION_BOUND}); {100 * good / len(results):.1f}% answered well"
    )
    write_results(
        out, "amplification", {"calls": len(results), "runs": runs, "factor": factor, "good": good}
    )
    return factor <= _AMPLIFICATION_BOUND
