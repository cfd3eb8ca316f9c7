"""Runs with random calls and random faults, repeatable by seed, that look for broken promises."""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from typing import Any, Final

import anyio
import click
import httpx
from attrs import define, field, frozen

from ._caller import Caller, CallResult
from ._mesh import HostPlan, LocalMesh, MeshHost

__all__ = ["RandomRun", "Verdict", "random_run"]

#: Detector settings that find a failure in about two seconds.
_QUICK: Final = "[detector]\nperiod_s = 0.3\ndirect_s = 0.2\nindirect_s = 0.3\nsuspicion_s = 1.0\n"
_PLANS: Final = (
    HostPlan("near-1", "riga-a", "near", 4),
    HostPlan("near-2", "riga-b", "near", 4),
    HostPlan("near-3", "riga-a", "near", 4),
    HostPlan("entry-1", "riga-b"),
    HostPlan("entry-2", "jelgava"),
)
_CALLERS: Final = 12
#: Seconds between two faults, and for which one lasts, at most.
_FAULT_EVERY: Final = 1.5
_FAULT_LASTS: Final = 3.0
_SETTLE: Final = 8.0
_FAULTS: Final = ("kill", "freeze", "stop", "log_down", "log_lose_answers", "change", "drain")
_CHANGE_WITHIN: Final = 15.0


@frozen
class _Made:
    """A call that was made."""

    token: str
    key: str
    result: CallResult


@frozen
class Verdict:
    """What a run has found."""

    #: Calls by what they ended with.
    outcomes: dict[str, int]
    #: Faults by kind.
    faults: dict[str, int]
    #: Broken promises; empty when all held.
    broken: tuple[str, ...]


@define
class RandomRun:
    """One run."""

    #: Seed of calls and faults.
    seed: int
    #: Seconds with faults.
    seconds: float
    _made: list[_Made] = field(factory=list)
    _faults: Counter[str] = field(factory=Counter)
    _versions: dict[str, list[int]] = field(factory=dict)
    _over: threading.Event = field(factory=threading.Event)
    _changes: int = 0

    def run(self) -> Verdict:
        """Start a mesh, load it, break it, and look."""
        with LocalMesh(_PLANS, extra_settings=_QUICK) as mesh:
            mesh.start()
            self._publish(mesh)
            threads = [
                threading.Thread(target=anyio.run, args=(self._call, mesh, number), daemon=True)
                for number in range(_CALLERS)
            ]
            for thread in threads:
                thread.start()
            self._break(mesh)
            self._heal(mesh)
            time.sleep(_SETTLE)
            self._over.set()
            for thread in threads:
                thread.join(30.0)
            return Verdict(
                outcomes=dict(Counter(_outcome(made.result) for made in self._made)),
                faults=dict(self._faults),
                broken=tuple(self._broken(mesh)),
            )

    def _publish(self, mesh: LocalMesh) -> None:
        retry = {"name": "reads", "attempts": 3, "per_try_s": 1.5}
        timeout = {"name": "short", "total_s": 4.0}
        reads = {"name": "reads", "service": "near", "path": "/reads", "idempotent": True}
        writes = {"name": "writes", "service": "near", "path": "/writes", "timeout": "short"}
        body = {
            "author": "random",
            "puts": [
                {"kind": "service", "spec": {"name": "near"}},
                {"kind": "retry_policy", "spec": retry},
                {"kind": "timeout_policy", "spec": timeout},
                {"kind": "route", "spec": {**reads, "retry": "reads", "timeout": "short"}},
                {"kind": "route", "spec": writes},
            ],
        }
        url = f"{mesh.hosts[0].api}/v1/changes"
        httpx.post(url, json=body, timeout=_CHANGE_WITHIN, trust_env=False).raise_for_status()
        for host in mesh.hosts:
            host.wait_in_force(1)

    # --- load ---------------------------------------------------------------------------------

    async def _call(self, mesh: LocalMesh, number: int) -> None:
        source = random.Random(f"{self.seed}/{number}")
        count = 0
        key = ""
        while not self._over.is_set():
            count += 1
            token = f"{number}-{count}"
            host = source.choice(mesh.hosts)
            kind = source.random()
            ms = source.choice((0, 0, 5, 20, 80))
            size = source.choice((10, 1000, 30_000, 150_000))
            caller = Caller(host.entry_address, name=f"caller-{number}")
            if kind < 0.4:
                result = await caller.call(f"/reads?ms={ms}&bytes={size}", token=token)
                key = ""
            else:
                key = "" if kind < 0.7 else (key if key and kind > 0.85 else f"key-{token}")
                headers = ((b"idempotency-key", key.encode()),) if key else ()
                result = await caller.call(
                    f"/writes?ms={ms}&bytes={size}",
                    token=token,
                    method="POST",
                    body=source.randbytes(source.choice((1, 500, 90_000))) if not key else b"k",
                    headers=headers,
                )
            caller.close()
            self._made.append(_Made(token, key, result))
            await anyio.sleep(source.uniform(0, 0.03))

    # --- faults -------------------------------------------------------------------------------

    def _break(self, mesh: LocalMesh) -> None:
        source = random.Random(self.seed)
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            fault = source.choice(_FAULTS)
            self._faults[fault] += 1
            host = source.choice(mesh.hosts)
            lasts = source.uniform(0.2, _FAULT_LASTS)
            self._one_fault(mesh, fault, host, lasts)
            time.sleep(source.uniform(0.1, _FAULT_EVERY))

    def _one_fault(self, mesh: LocalMesh, fault: str, host: MeshHost, lasts: float) -> None:
        match fault:
            case "kill" | "stop":
                if not host.daemon.is_running:
                    return
                self._note_versions(host)
                host.daemon.kill() if fault == "kill" else host.daemon.stop()
                self._note_versions(host)
                time.sleep(lasts / 3)
                host.daemon.start()
            case "freeze":
                host.daemon.freeze()
                time.sleep(lasts)
                host.daemon.thaw()
            case "log_down" | "log_lose_answers":
                mesh.set_log_fault(fault.removeprefix("log_"))
                time.sleep(lasts)
                mesh.set_log_fault("none")
            case "change" | "drain":
                self._change(mesh, host, fault)

    def _change(self, mesh: LocalMesh, host: MeshHost, fault: str) -> None:
        self._changes += 1
        name = f"extra-{self._changes}"
        put: dict[str, Any] = {"kind": "service", "spec": {"name": name}}
        if fault == "drain":
            put = {"kind": "drain_order", "spec": {"name": name, "host": "near-3"}}
        try:
            httpx.post(
                f"{host.api}/v1/changes",
                json={"author": "random", "puts": [put]},
                timeout=_CHANGE_WITHIN,
                trust_env=False,
            )
        except httpx.HTTPError:
            return  # the daemon is down; nothing was asked of the others

    def _heal(self, mesh: LocalMesh) -> None:
        mesh.set_log_fault("none")
        for host in mesh.hosts:
            host.daemon.thaw()
            if not host.daemon.is_running:
                host.daemon.start()

    def _note_versions(self, host: MeshHost) -> None:
        versions = [int(x.pairs["version"]) for x in host.daemon.lines if x.event == "in_force"]
        known = self._versions.setdefault(host.name, [])
        known.extend(versions[-1:])

    # --- promises -----------------------------------------------------------------------------

    def _broken(self, mesh: LocalMesh) -> list[str]:
        journals = {h.name: h.journal() for h in mesh.hosts if h.has_target}
        found = [text for made in self._made if (text := _broken_by(made, journals))]
        keys: Counter[str] = Counter()
        for journal in journals.values():
            keys.update(journal["keys"])
        found += [f"key {key} ran {runs} times" for key, runs in keys.items() if runs > 1]
        for name, journal in journals.items():
            if journal["most_running"] > mesh.host(name).plan.slots:
                found.append(f"{name} ran {journal['most_running']} calls at once")
        for host in mesh.hosts:
            found += self._broken_on(host)
        return found

    def _broken_on(self, host: MeshHost) -> list[str]:
        if not host.daemon.is_running:
            return [f"{host.name} has ended by itself: {host.daemon.lines[-20:]}"]
        self._note_versions(host)
        versions = self._versions[host.name]
        found = []
        if versions != sorted(versions):
            found.append(f"{host.name} went back: {versions}")
        status = host.status()
        found += [f"{host.name}: {k} {v}" for k, v in status["violations"].items() if v]
        if not status["recovered"]:
            found.append(f"{host.name} has not recovered: {status['recovery']}")
        return found


def _outcome(result: CallResult) -> str:
    if result.status == 0:
        return "cut"
    return result.outcome or "answer"


def _broken_by(made: _Made, journals: dict[str, dict[str, Any]]) -> str:
    """Which promise a call has found broken, empty for none."""
    result = made.result
    runs = sum(journal["started"].get(made.token, 0) for journal in journals.values())
    if result.outcome == "not_run" and runs:
        return f"call {made.token} was told not_run and started {runs} times"
    is_kept = result.is_replayed and bool(made.key)
    is_answer = _outcome(result) == "answer" and result.status == 200
    if is_answer and not result.is_whole and not is_kept:
        return f"call {made.token} got an answer that is not its own, or not whole"
    return ""


def random_run(*, seed: int, seconds: float) -> Verdict:
    """Run and print; the verdict."""
    verdict = RandomRun(seed=seed, seconds=seconds).run()
    click.echo(f"seed {seed}: calls {verdict.outcomes}, faults {verdict.faults}")
    for text in verdict.broken:
        click.echo(f"BROKEN: {text}")
    return verdict
