"""Anti-entropy: exchanges of whole tables over a stream.

They serve to join, to merge partitions, and to repair what gossip missed.
"""

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

#: Timeout of one exchange, in seconds.
_EXCHANGE_TIMEOUT: Final = 3.0
#: Seconds between two periodic exchanges.
_EXCHANGE_PERIOD: Final = 10.0
#: Share of the periodic exchanges that go to members of other failure domains.
_REMOTE_EXCHANGE_SHARE: Final = 0.25
#: Seconds between two attempts to reach a member that became absent recently.
_REJOIN_PERIOD: Final = 1.0
#: Seconds for which an absent member counts as recent.
_REJOIN_WINDOW: Final = 60.0
#: Timeout of one such attempt, in seconds.  A host that has lost power never answers, and the other
#: absent members are tried only after it.
_REJOIN_TIMEOUT: Final = 0.5
#: Mean seconds between two rounds over the seeds while joining.
_JOIN_RETRY_PERIOD: Final = 0.3


@frozen
class Joined:
    """An exchange with at least one seed has completed, or there are no other seeds."""

    #: Members that count as running, this daemon included.
    members: int


@frozen
class JoinFailed:
    """No seed answered in time."""

    #: Description of the failure, for people.
    reason: str


class Exchanger:
    """Exchanges tables with the seeds while joining, and with random members afterwards.

    Periodically it also tries a dead member or a seed that is not a live member, so that the two
    sides of a partition find each other again.
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
        self._requested_address: Address | None = None
        self._exchange_requested = Signal()
        port.on_stream(DigestOffer, Purpose.MEMBERSHIP, self._serve_exchange)

    async def join(self, *, within: float) -> Joined | JoinFailed:
        """Exchange tables with a seed; retries for `within` seconds until one answers."""
        others = sorted(address for address in self._seeds if address != self._table.own.control)
        if not others:
            return Joined(1)
        with self._timers.timeout(within):
            while True:
                for address in self._seed.sample(others, len(others)):
                    if await self.exchange(address):
                        return Joined(len(self._table.present()))
                await self._timers.sleep(_JOIN_RETRY_PERIOD * self._seed.uniform(0.5, 1.5))
        return JoinFailed(f"none of {len(others)} seeds answered in {within:g} s")

    async def run(self) -> None:
        """Exchange tables until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_rejoining)
            tasks.start_soon(self._run_requested)
            await self._run_periodic()

    async def _run_rejoining(self) -> None:
        """Try to reach members that failed or left recently.

        After a partition each side considers the other one dead.  As every member tries one absent
        member a second, two halves of a mesh of any size merge again within about a second.
        """
        async for _ in self._timers.ticks(_REJOIN_PERIOD, jitter=0.3, seed=self._seed):
            horizon = self._timers.now() - _REJOIN_WINDOW
            absent = self._table.absent_since(horizon)
            if absent:
                with self._timers.timeout(_REJOIN_TIMEOUT):
                    await self.exchange(self._seed.choice(absent).control)

    def request_exchange(self, address: Address) -> None:
        """Request an exchange with a daemon whose table differs."""
        self._requested_address = address
        self._exchange_requested.notify()

    async def _run_requested(self) -> None:
        while True:
            seen = self._exchange_requested.count
            await self._exchange_requested.wait_beyond(seen)
            if self._requested_address is not None:
                await self.exchange(self._requested_address)

    async def _run_periodic(self) -> None:
        async for _ in self._timers.ticks(_EXCHANGE_PERIOD, jitter=0.3, seed=self._seed):
            self._table.drop_expired()
            member = self._choose_member()
            if member is not None:
                await self.exchange(member.control)
            absent = self._absent_addresses()
            if absent:
                await self.exchange(self._seed.choice(absent))

    def _choose_member(self) -> Member | None:
        """A random member, mostly of the own failure domain.

        Whole buckets are sent where tables differ, and traffic between domains is the costly one.
        """
        peers = self._table.peers_by_domain()
        if peers.local and self._seed.random() >= _REMOTE_EXCHANGE_SHARE:
            return self._seed.choice(peers.local)
        return peers.choose_remote(self._seed)

    def _absent_addresses(self) -> list[Address]:
        """Addresses of dead members and of seeds that are not live members."""
        present = {member.control for member in self._table.present()}
        lost = {member.control for member in self._table.lost()}
        return sorted((lost | self._seeds) - present)

    def add_seeds(self, seeds: Iterable[Address]) -> None:
        """Add addresses at which other daemons may be reached."""
        self._seeds.update(seeds)

    async def exchange_with(self, addresses: Iterable[Address]) -> int:
        """Exchange tables with all of `addresses` concurrently; returns how many answered."""
        answered = 0

        async def exchange_one(address: Address) -> None:
            nonlocal answered
            answered += await self.exchange(address)

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(exchange_one, address)
        return answered

    async def exchange(self, address: Address) -> bool:
        """Exchange tables with the daemon at `address`; returns false when the exchange fails."""
        with self._timers.timeout(_EXCHANGE_TIMEOUT):
            try:
                stream = await self._port.connect(address, Purpose.MEMBERSHIP)
            except StreamLostError:
                return False
            try:
                await self._send_offer(stream)
                return True
            except (StreamLostError, MessageError):
                return False
            finally:
                stream.close()
        return False

    async def _send_offer(self, stream: MessageStream) -> None:
        await stream.send(DigestOffer(self._table.digests()))
        reply = await stream.receive()
        if not isinstance(reply, DigestReply):
            raise MessageError(f"unexpected {type(reply).__name__}")
        own_records = self._table.records_in(reply.buckets)
        received = set(reply.updates)
        for packed in reply.updates:
            self._table.merge(packed)
        await stream.send(Records([packed for packed in own_records if packed not in received]))

    async def _serve_exchange(self, offer: DigestOffer, stream: MessageStream) -> None:
        own = self._table.digests()
        differing = [
            bucket
            for bucket, digest in enumerate(own)
            if bucket >= len(offer.digests) or offer.digests[bucket] != digest
        ]
        await stream.send(DigestReply(differing, self._table.records_in(differing)))
        with self._timers.timeout(_EXCHANGE_TIMEOUT):
            records = await stream.receive()
            if isinstance(records, Records):
                for packed in records.updates:
                    self._table.merge(packed)
