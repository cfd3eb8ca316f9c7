"""Light peers: the control plane of many daemons in one process, over real sockets.

A light peer has the membership and the spreading of a daemon, the same code and the same protocol
on a loopback address of its own; it has no calls and no API.
"""

from __future__ import annotations

import random
import signal
import time
from typing import Final

import anyio
import anyio.abc
import click
from attrs import frozen

from acaciayard_logservice import HttpLogService, http_log_service
from acaciayard_membership import (
    MEMBERSHIP_MESSAGES,
    DetectorSettings,
    Member,
    MemberState,
    TargetInfo,
    membership,
)
from acaciayard_resources import Configuration, Invariants
from acaciayard_spread import SPREAD_MESSAGES, SnapshotSettings, spread
from acaciayard_timers import EventLoopTimers, PauseDetector
from acaciayard_wire import Address, ControlPort, MessageCodec, Traffic

__all__ = ["PeerPlan", "run_peers"]

#: Peers of all processes that start in one second.
_STARTS_PER_SECOND: Final = 45


@frozen
class PeerPlan:
    """The peers of one process."""

    #: Number of the first one.
    first: int
    #: How many.
    count: int
    #: Peers of all processes.
    of: int
    #: Start of the loopback addresses, such as `"127.40"`.
    network: str
    #: Control port of all of them.
    port: int
    #: Where the log is.
    log_url: str
    #: Failure domains.
    domains: tuple[str, ...]
    #: Services that their targets answer for, in turn.
    services: int
    #: Control ports of the seeds.
    seeds: tuple[str, ...]
    #: Seed of all that is random.
    seed: int

    def ip(self, number: int) -> str:
        """Address of a peer."""
        return f"{self.network}.{number // 250}.{number % 250 + 1}"


class _Report:
    """Logs when the peers of this process have a version in force."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._reached: dict[int, int] = {}

    def note(self, configuration: Configuration) -> None:
        version = configuration.version
        self._reached[version] = self._reached.get(version, 0) + 1
        if self._reached[version] == self._count:
            now = EventLoopTimers().now()
            click.echo(f"event=peers_in_force version={version} monotonic={now:.6f}")


class _Peers:
    """The peers of one process, started, stopped and started again one by one."""

    def __init__(self, plan: PeerPlan, tasks: anyio.abc.TaskGroup) -> None:
        self._plan = plan
        self._tasks = tasks
        self._timers = EventLoopTimers()
        self._random = random.Random(plan.seed + plan.first)
        self._log: HttpLogService = http_log_service(plan.log_url, count=lambda _s, _r: None)
        self._report = _Report(plan.count)
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._incarnation = int(time.time() * 1000)

    async def start_all(self) -> None:
        for number in range(self._plan.first, self._plan.first + self._plan.count):
            self.start(number)
            await anyio.sleep(self._plan.of / self._plan.count / _STARTS_PER_SECOND)

    def start(self, number: int) -> None:
        self._scopes[number] = anyio.CancelScope()
        self._tasks.start_soon(self._run, number, self._scopes[number])

    async def restart_all(self) -> None:
        """End all peers at once and start them again at once."""
        for scope in self._scopes.values():
            scope.cancel()
        await anyio.sleep(0.2)
        for number in list(self._scopes):
            self.start(number)

    async def churn(self, per_second: float) -> None:
        """Restart random peers at a rate, for ever."""
        while True:
            await anyio.sleep(1 / per_second)
            number = self._random.choice(list(self._scopes))
            self._scopes[number].cancel()
            await anyio.sleep(0.05)
            self.start(number)

    async def _run(self, number: int, scope: anyio.CancelScope) -> None:
        plan = self._plan
        ip = plan.ip(number)
        seed = random.Random(self._random.random())
        codec = MessageCodec({**MEMBERSHIP_MESSAGES, **SPREAD_MESSAGES})
        port = ControlPort(codec=codec, traffic=Traffic(), address=ip)
        self._incarnation += 1
        own = Member(
            host=f"peer-{number:04}",
            incarnation=self._incarnation,
            sequence=0,
            state=MemberState.ALIVE,
            domain=plan.domains[number % len(plan.domains)],
            ip=ip,
            control_port=plan.port,
            call_port=1,
            api_port=1,
            targets=(TargetInfo(f"service-{number % plan.services}", f"t{number}", 9),),
        )
        members = membership(
            own,
            port=port,
            timers=self._timers,
            pause=PauseDetector(self._timers, threshold=1.0),
            seeds=tuple(Address.parse(text) for text in plan.seeds),
            seed=seed,
            position=lambda: spreading.holder.position,
            detector=DetectorSettings(),
        )
        spreading = spread(
            members=members,
            log=self._log,
            port=port,
            timers=self._timers,
            seed=seed,
            invariants=Invariants(),
            snapshots=SnapshotSettings(),
        )
        spreading.holder.on_in_force(self._report.note)
        with scope:
            try:
                async with anyio.create_task_group() as tasks:
                    await port.open(plan.port, tasks)
                    tasks.start_soon(members.run)
                    tasks.start_soon(spreading.run)
            finally:
                port.close()


async def run_peers(plan: PeerPlan, churn: float) -> None:
    """Run peers until SIGTERM; SIGUSR1 restarts all of them at once."""
    async with anyio.create_task_group() as tasks:
        peers = _Peers(plan, tasks)
        wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)
        with anyio.open_signal_receiver(*wanted) as signals:
            await peers.start_all()
            click.echo(f"event=ready peers={plan.count}")
            if churn > 0:
                tasks.start_soon(peers.churn, churn)
            async for number in signals:
                if number is not signal.SIGUSR1:
                    break
                await peers.restart_all()
        tasks.cancel_scope.cancel()
