"""Membership and spreading of several daemons in one process, on a clock moved by hand."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

import anyio
import anyio.abc
from attrs import define

from acaciayard_membership import (
    MEMBERSHIP_MESSAGES,
    DetectorSettings,
    Member,
    Membership,
    MemberState,
    membership,
)
from acaciayard_resources import Invariants, Proposal, encode_record
from acaciayard_spread import (
    CONFIGURATION_STREAM,
    SPREAD_MESSAGES,
    SnapshotSettings,
    Spread,
    spread,
)
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import Address, MessageCodec

from ._fake_log import FakeLog, FakeLogView
from ._fake_network import FakeNetwork, FakePort

__all__ = ["FakeDaemon", "FakeMesh"]

_SEEDS = 3


@define(eq=False)
class FakeDaemon:
    """One daemon without its calls and its API."""

    #: Name of the host.
    host: str
    #: Its control port.
    port: FakePort
    #: Who else is there.
    members: Membership
    #: What it holds and has in force.
    spread: Spread
    #: What it finds broken.
    invariants: Invariants
    #: Ends it.
    scope: anyio.CancelScope

    @property
    def version(self) -> int:
        """Version in force, -1 for none."""
        return self.spread.holder.in_force_version

    @property
    def position(self) -> int:
        """Log position held."""
        return self.spread.holder.position


class FakeMesh:
    """Daemons on a fake network with a fake log.

    Example:

        async with anyio.create_task_group() as tasks:
            mesh = FakeMesh(tasks, {"a": "riga-a", "b": "riga-b"}, seed=1)
            mesh.start("a", "b")
            await mesh.advance(2)
            tasks.cancel_scope.cancel()
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        hosts: dict[str, str],
        *,
        seed: int,
        snapshots: SnapshotSettings | None = None,
    ) -> None:
        self._tasks = tasks
        self._domains = hosts
        self._ips = {host: f"10.0.{i // 250}.{i % 250 + 1}" for i, host in enumerate(hosts)}
        self._random = random.Random(seed)
        self._snapshots = snapshots or SnapshotSettings()
        self._incarnation = 0
        self._ever: dict[str, int] = {}
        self.timers = ManualTimers()
        self.network = FakeNetwork(self.timers)
        self.log = FakeLog(self.timers)
        self.daemons: dict[str, FakeDaemon] = {}

    def start(self, *hosts: str) -> None:
        """Start daemons, all at once; without names, all that do not run."""
        for host in hosts or [h for h in self._domains if h not in self.daemons]:
            self._start_one(host)

    def _start_one(self, host: str) -> None:
        self._incarnation += 1
        seed = random.Random(self._random.random())
        codec = MessageCodec({**MEMBERSHIP_MESSAGES, **SPREAD_MESSAGES})
        port = FakePort(self.network, codec=codec, ip=self._ips[host])
        own = Member(
            host=host,
            incarnation=self._incarnation,
            sequence=0,
            state=MemberState.ALIVE,
            domain=self._domains[host],
            ip=port.ip,
            control_port=port.address.port,
            call_port=0,
            api_port=0,
        )
        invariants = Invariants()
        members = membership(
            own,
            port=port,
            timers=self.timers,
            pause=PauseDetector(self.timers, threshold=1e9),
            seeds=tuple(Address(self._ips[h], 7400) for h in list(self._domains)[:_SEEDS]),
            seed=seed,
            position=lambda: daemon.position,
            detector=DetectorSettings(),
        )
        spreading = spread(
            members=members,
            log=FakeLogView(self.log, host),
            port=port,
            timers=self.timers,
            seed=seed,
            invariants=invariants,
            snapshots=self._snapshots,
        )
        daemon = FakeDaemon(host, port, members, spreading, invariants, anyio.CancelScope())
        spreading.holder.on_in_force(lambda c: self._note(host, c.version))
        self.daemons[host] = daemon
        self._tasks.start_soon(self._run, daemon)

    async def _run(self, daemon: FakeDaemon) -> None:
        with daemon.scope:
            async with anyio.create_task_group() as tasks:
                await daemon.port.open(0, tasks)
                tasks.start_soon(daemon.members.run)
                tasks.start_soon(daemon.spread.run)

    def _note(self, host: str, version: int) -> None:
        """Check across restarts what a daemon checks only while it runs."""
        earlier = self._ever.get(host, -1)
        if version < earlier:
            raise AssertionError(f"{host} went back from version {earlier} to {version}")
        self._ever[host] = version

    def kill(self, *hosts: str) -> None:
        """End daemons at once."""
        for host in hosts:
            daemon = self.daemons.pop(host)
            daemon.scope.cancel()
            daemon.port.close()

    def cut_off(self, hosts: Iterable[str]) -> None:
        """Cut hosts off from all others; each still reaches the log."""
        self.network.cut_off({self._ips[host] for host in hosts})

    def heal(self) -> None:
        """End the cut."""
        self.network.heal()

    async def advance(self, seconds: float) -> None:
        """Let time pass."""
        await self.timers.advance(seconds)

    def propose(self, change_id: str, **parts: Any) -> int:
        """Append a proposal; returns its offset."""
        proposal = Proposal(change_id, "tester", 0.0, **parts)
        return self.log.put(CONFIGURATION_STREAM, encode_record(proposal))

    def versions(self) -> dict[str, int]:
        """Version in force by host."""
        return {host: daemon.version for host, daemon in sorted(self.daemons.items())}

    def violations(self) -> dict[str, dict[str, int]]:
        """Broken promises by host; empty when all hold."""
        found = {}
        for host, daemon in self.daemons.items():
            broken = {k: v for k, v in daemon.invariants.violations.items() if v}
            if broken:
                found[host] = broken
        return found
