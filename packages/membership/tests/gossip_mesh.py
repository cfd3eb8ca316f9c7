"""Many memberships that know each other from the start, on a network that counts its bytes."""

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
    """Counts the bytes of datagrams that leave a failure domain, and of those that do not."""

    def __init__(self, timers: ManualTimers) -> None:
        super().__init__(timers)
        self.domains: dict[str, str] = {}
        self.bytes: Counter[str] = Counter()

    def send(self, sender: FakePort, data: bytes, to: Address) -> None:
        inside = self.domains.get(sender.ip) == self.domains.get(to.ip)
        self.bytes["inside" if inside else "across"] += len(data)
        super().send(sender, data, to)


class GossipMesh:
    """`count` daemons in `domains` failure domains, each of which knows all others.

    Example:
        mesh = GossipMesh(tasks, count=195, domains=6, seed=1)
        mesh.change("h7")
        seconds = await mesh.spread_within(5.0)
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
        for known in self.members.values():
            for record in records:
                known.table.merge(MEMBER_CODEC.encode(record))
            known.forget_news()
            tasks.start_soon(known.run)

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
        """The target of a host drains."""
        table = self.members[host].table
        targets = tuple(t for t in table.own.targets)
        table.set_targets((*targets, TargetInfo("yeny99a", "i-more", 4)))

    def knowing(self, host: str) -> int:
        """Daemons that know the newest record of a host."""
        newest = self.members[host].table.own
        return sum(m.table.find(host) == newest for m in self.members.values())

    async def spread_within(self, host: str, most: float) -> float:
        """Seconds until all daemons know the newest record of a host, `most` if longer."""
        started = self.timers.now()
        while self.timers.now() - started < most:
            if self.knowing(host) == len(self.members):
                break
            await self.timers.advance(0.05)
        return self.timers.now() - started
