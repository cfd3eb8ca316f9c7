"""Whole exchanges of tables over a stream: to join, to heal, and against what gossip missed."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

import anyio
from attrs import frozen

from acaciayard_timers import Signal, TimerService
from acaciayard_wire import (
    Address,
    ControlPort,
    MessageError,
    MessageStream,
    Purpose,
    StreamLostError,
)

from ._member import Member
from ._messages import DigestOffer, DigestReply, Records
from ._table import MemberTable

__all__ = ["Exchanger", "JoinFailed", "Joined"]

#: Seconds for one whole exchange.
_EXCHANGE_WITHIN: Final = 3.0
#: Seconds between two exchanges once joined.
_PERIOD: Final = 10.0
#: Share of them with members of other failure domains.
_HEALED_FAR: Final = 0.25
#: Seconds between two looks for a member that was lost within the last so many seconds.
_REJOIN_PERIOD: Final = 1.0
_REJOIN_FOR: Final = 60.0
#: Seconds for one such look; a host without power never answers, and the others wait their turn.
_REJOIN_WITHIN: Final = 0.5
#: Seconds between two rounds over the seeds while nobody is known.
_JOIN_PERIOD: Final = 0.3


@frozen
class Joined:
    """An exchange with at least one other daemon has taken place."""

    #: Members that count as running, this daemon included.
    members: int


@frozen
class JoinFailed:
    """No seed has answered."""

    #: Why.
    reason: str


class Exchanger:
    """Exchanges tables with seeds at first and with random members later.

    Each tenth of the exchanges or so goes to a member that counts as failed or to a seed, so that
    two halves of a partition find each other again.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        port: ControlPort,
        timers: TimerService,
        seeds: tuple[Address, ...],
        seed: random.Random,
    ) -> None:
        self._table = table
        self._port = port
        self._timers = timers
        self._seeds = set(seeds)
        self._seed = seed
        self._differing: Address | None = None
        self._has_differing = Signal()
        port.on_stream(DigestOffer, Purpose.MEMBERSHIP, self._serve)

    async def join(self, *, within: float) -> Joined | JoinFailed:
        """Exchange with a seed; tries again until one answers or the time is over."""
        others = sorted(address for address in self._seeds if address != self._table.own.control)
        if not others:
            return Joined(1)
        with self._timers.timeout(within):
            while True:
                for address in self._seed.sample(others, len(others)):
                    if await self.exchange(address):
                        return Joined(len(self._table.present()))
                await self._timers.sleep(_JOIN_PERIOD * self._seed.uniform(0.5, 1.5))
        return JoinFailed(f"none of {len(others)} seeds answered in {within:g} s")

    async def run(self) -> None:
        """Exchange for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_rejoining)
            tasks.start_soon(self._run_settling)
            await self._run_healing()

    async def _run_rejoining(self) -> None:
        """Look again for members that were lost, or left, a short while ago.

        After a cut both sides take each other for failed; with one look a second at one member,
        by every member, two halves of a mesh of any size meet again within about a second.
        """
        async for _ in self._timers.ticks(_REJOIN_PERIOD, jitter=0.3, seed=self._seed):
            horizon = self._timers.now() - _REJOIN_FOR
            gone = self._table.gone_since(horizon)
            if gone:
                with self._timers.timeout(_REJOIN_WITHIN):
                    await self.exchange(self._seed.choice(gone).control)

    def settle_with(self, address: Address) -> None:
        """Exchange soon with a daemon that knows something else."""
        self._differing = address
        self._has_differing.notify()

    async def _run_settling(self) -> None:
        while True:
            seen = self._has_differing.count
            await self._has_differing.wait_beyond(seen)
            if self._differing is not None:
                await self.exchange(self._differing)

    async def _run_healing(self) -> None:
        async for _ in self._timers.ticks(_PERIOD, jitter=0.3, seed=self._seed):
            self._table.forget_old()
            member = self._to_heal_with()
            if member is not None:
                await self.exchange(member.control)
            strangers = self._strangers()
            if strangers:
                await self.exchange(self._seed.choice(strangers))

    def _to_heal_with(self) -> Member | None:
        """Mostly one in the own failure domain, since what differs is sent whole."""
        there = self._table.neighbourhood()
        if there.near and self._seed.random() >= _HEALED_FAR:
            return self._seed.choice(there.near)
        return there.choose_far(self._seed)

    def _strangers(self) -> list[Address]:
        """Addresses where a daemon may be that does not count as running."""
        present = {member.control for member in self._table.present()}
        lost = {member.control for member in self._table.lost()}
        return sorted((lost | self._seeds) - present)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Take further addresses at which daemons may be met."""
        self._seeds.update(seeds)

    async def meet(self, addresses: Iterable[Address]) -> int:
        """Exchange with each of these at once; how many answered."""
        answered = 0

        async def one(address: Address) -> None:
            nonlocal answered
            answered += await self.exchange(address)

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(one, address)
        return answered

    async def exchange(self, address: Address) -> bool:
        """One exchange with the daemon at `address`; false when it did not answer."""
        with self._timers.timeout(_EXCHANGE_WITHIN):
            try:
                stream = await self._port.connect(address, Purpose.MEMBERSHIP)
            except StreamLostError:
                return False
            try:
                await self._offer(stream)
                return True
            except (StreamLostError, MessageError):
                return False
            finally:
                stream.close()
        return False

    async def _offer(self, stream: MessageStream) -> None:
        await stream.send(DigestOffer(self._table.digests()))
        reply = await stream.receive()
        if not isinstance(reply, DigestReply):
            raise MessageError(f"unexpected {type(reply).__name__}")
        mine = self._table.packed_in(reply.buckets)
        theirs = set(reply.updates)
        for packed in reply.updates:
            self._table.merge(packed)
        await stream.send(Records([packed for packed in mine if packed not in theirs]))

    async def _serve(self, offer: DigestOffer, stream: MessageStream) -> None:
        own = self._table.digests()
        differing = [
            bucket
            for bucket, digest in enumerate(own)
            if bucket >= len(offer.digests) or offer.digests[bucket] != digest
        ]
        await stream.send(DigestReply(differing, self._table.packed_in(differing)))
        with self._timers.timeout(_EXCHANGE_WITHIN):
            records = await stream.receive()
            if isinstance(records, Records):
                for packed in records.updates:
                    self._table.merge(packed)
