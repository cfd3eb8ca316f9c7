"""The main job, shown on embedded stand-ins: a manifest comes into force and calls are answered."""

from __future__ import annotations

import hashlib
import secrets
import subprocess
import sys
import time
from pathlib import Path
from typing import Final

import click
import httpx
from attrs import frozen

from acaciayard_standins import LocalMesh, riga_plan

__all__ = ["Shown", "apply_manifest", "run_demo", "show"]

_FORWARD_WITHIN: Final = 5.0
_CALL_WITHIN: Final = 10.0


@frozen
class Shown:
    """What a demonstration has found."""

    #: Lines for people.
    lines: tuple[str, ...]
    #: What went wrong; empty for success.
    faults: tuple[str, ...]


@frozen
class _Answer:
    entry: str
    route: str
    status: int
    target: str
    milliseconds: float
    is_whole: bool


def apply_manifest(mesh: LocalMesh, manifest: Path) -> str:
    """Apply a manifest with the command line; returns what that printed."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "acaciayard_cli",
            "--api",
            mesh.hosts[0].api,
            "apply",
            str(manifest),
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    if done.returncode != 0:
        raise click.ClickException(f"apply ended with {done.returncode}:\n{done.stderr}")
    return done.stdout


def _call(client: httpx.Client, entry: str, method: str, path: str, **headers: str) -> _Answer:
    token = secrets.token_hex(4)
    body = secrets.token_bytes(100) if method == "POST" else b""
    started = time.perf_counter()
    answer = client.request(
        method, f"{entry}{path}", content=body, headers={"x-token": token, **headers}
    )
    took = (time.perf_counter() - started) * 1000
    is_whole = (
        answer.headers.get("x-token") == token
        and answer.headers.get("x-body-digest") == hashlib.sha256(body).hexdigest()
        and answer.headers.get("x-digest") == hashlib.sha256(answer.content).hexdigest()
    )
    target = answer.headers.get("x-target", "-")
    return _Answer(entry, path.partition("?")[0], answer.status_code, target, took, is_whole)


def show(mesh: LocalMesh) -> Shown:
    """Make calls through every daemon and read both measures."""
    lines = []
    faults = []
    with httpx.Client(timeout=_CALL_WITHIN, trust_env=False) as client:
        for host in mesh.hosts:
            for answer in (
                _call(client, host.entry, "GET", "/histories?bytes=500"),
                _call(client, host.entry, "POST", "/corrections", **{"idempotency-key": host.name}),
                _call(client, host.entry, "POST", "/uploads?bytes=20"),
            ):
                verdict = "whole" if answer.is_whole else "NOT WHOLE"
                lines.append(
                    f"{host.name:<12}{answer.route:<14}{answer.status:<5}{answer.target:<20}"
                    f"{answer.milliseconds:8.2f} ms  {verdict}"
                )
                if answer.status != 200 or not answer.is_whole:
                    faults.append(lines[-1])
    for host in mesh.hosts:
        status = host.status()
        broken = {name: count for name, count in status["violations"].items() if count}
        if broken:
            faults.append(f"{host.name} counts violations: {broken}")
    return Shown(tuple(lines), tuple(faults))


def _wait_for_targets(mesh: LocalMesh) -> None:
    """Wait until every daemon knows every target."""
    wanted = sum(host.has_target for host in mesh.hosts)
    deadline = time.monotonic() + _FORWARD_WITHIN
    for host in mesh.hosts:
        while time.monotonic() < deadline:
            members = httpx.get(f"{host.api}/v1/members", trust_env=False).json()
            if sum(len(member["targets"]) for member in members) >= wanted:
                break
            time.sleep(0.05)


def run_demo(manifest: Path, *, stay: bool) -> int:
    """Show the main job; returns an exit status."""
    started = time.monotonic()
    with LocalMesh(riga_plan()) as mesh:
        click.echo(f"starting {len(mesh.hosts)} daemons in 4 failure domains, targets and the log")
        mesh.start()
        click.echo(apply_manifest(mesh, manifest))
        _wait_for_targets(mesh)
        shown = show(mesh)
        click.echo("daemon      route         code target               took         answer")
        for line in shown.lines:
            click.echo(line)
        _print_convergence(mesh)
        for fault in shown.faults:
            click.echo(f"FAULT: {fault}", err=True)
        click.echo(
            f"verdict: {'failed' if shown.faults else 'ok'}"
            f" after {time.monotonic() - started:.1f} s"
        )
        if stay and not shown.faults:
            _stay(mesh)
    return 1 if shown.faults else 0


def _print_convergence(mesh: LocalMesh) -> None:
    status = mesh.hosts[0].status()
    convergence = status["convergence"]
    click.echo(
        f"\nconvergence: {convergence['max_ms']:.0f} ms from accepted to in force on all"
        f" {sum(status['members'].values())} daemons"
    )
    total = sum(host.status()["control_bytes"] for host in mesh.hosts)
    click.echo(f"control bytes so far, all daemons: {total}")


def _stay(mesh: LocalMesh) -> None:
    click.echo(f"\nAPI      {mesh.hosts[0].api}")
    click.echo(f"callers  {mesh.hosts[0].entry}")
    click.echo(f"try:     acaciayard --api {mesh.hosts[0].api} status --all")
    click.echo("Ctrl-C ends everything.")
    try:
        mesh.log.wait_end(within=float(10**9))
    except KeyboardInterrupt:
        click.echo("stopping")
