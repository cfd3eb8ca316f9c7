"""Many memberships that know each other from the start, on a network that counts bytes."""

from __future__ import annotations

import random
from collections import Counter

import anyio
import anyio.abc

from acaciayard_membership import (
    MEMBERSHIP_MESSAGES,
    DetectorSettings,
    Member,
    Membership,
    MemberState,
    TargetInfo,
    membership,
)
from acaciayard_membership._messages import MEMBER_CODEC
from acaciayard_standins import FakeNetwork, FakePort
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import Address, MessageCodec

__all__ = ["CountingNetwork", "GossipMesh"]


class CountingNetwork(FakeNetwork):
    """Counts the bytes of datagrams within failure domains and between them."""

    def __init__(self, timers: ManualTimers) -> None:
        super().__init__(timers)
        self.domains: dict[str, str] = {}
        self.bytes: Counter[str] = Counter()

    def send(self, sender: FakePort, data: bytes, to: Address) -> None:
        is_local = self.domains.get(sender.ip) == self.domains.get(to.ip)
        self.bytes["inside" if is_local else "across"] += len(data)
        super().send(sender, data, to)


class GossipMesh:
    """A mesh of `count` daemons in `domains` failure domains, in which each knows all others.

    Example:
        mesh = GossipMesh(tasks, count=195, domains=6, seed=1)
        mesh.change("h7")
        seconds = await mesh.time_to_spread("h7", 5.0)
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, *, count: int, domains: int, seed: int) -> None:
        self.timers = ManualTimers()
        self.network = CountingNetwork(self.timers)
        self.members: dict[str, Membership] = {}
        codec = MessageCodec(dict(MEMBERSHIP_MESSAGES))
        seeds = random.Random(seed)
        records = [self._record(number, domains) for number in range(count)]
        for own in records:
            port = FakePort(self.network, codec=codec, ip=own.ip)
            self.network.domains[own.ip] = own.domain
            self.members[own.host] = membership(
                own,
                port=port,
                timers=self.timers,
                pause=PauseDetector(self.timers, threshold=5.0),
                seeds=(),
                seed=random.Random(seeds.random()),
                position=lambda: 0,
                detector=DetectorSettings(),
            )
            tasks.start_soon(port.open, 0, tasks)
        for daemon in self.members.values():
            for record in records:
                daemon.table.merge(MEMBER_CODEC.encode(record))
            daemon.discard_updates()
            tasks.start_soon(daemon.run)

    @staticmethod
    def _record(number: int, domains: int) -> Member:
        return Member(
            host=f"sidecar-domain-{number % domains}-{number}",
            incarnation=1_780_000_000_000,
            sequence=1,
            state=MemberState.ALIVE,
            domain=f"domain-{number % domains}",
            ip=f"10.{number % domains}.0.{number // domains + 1}",
            control_port=7660,
            call_port=8145,
            api_port=0,
            targets=(TargetInfo("yeny99a", f"i-{number:010x}", 4),),
            link_mbps=10.0,
        )

    def change(self, host: str) -> None:
        """Publish a further target on a host."""
        table = self.members[host].table
        targets = tuple(t for t in table.own.targets)
        table.set_targets((*targets, TargetInfo("yeny99a", "i-more", 4)))

    def count_informed(self, host: str) -> int:
        """Number of daemons that know the newest record of a host."""
        newest = self.members[host].table.own
        return sum(m.table.find(host) == newest for m in self.members.values())

    async def time_to_spread(self, host: str, limit: float) -> float:
        """Seconds until all daemons know the newest record of a host, at most about `limit`."""
        started = self.timers.now()
        while self.timers.now() - started < limit:
            if self.count_informed(host) == len(self.members):
                break
            await self.timers.advance(0.05)
        return self.timers.now() - started
