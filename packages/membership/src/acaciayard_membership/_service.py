"""The membership service of one daemon, composed of its parts."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import anyio

from acaciayard_timers import PauseDetector, ProcessorAccount, ProcessorPart, TimerService
from acaciayard_wire import Address, ControlPort

from ._detector import DetectorSettings, FailureDetector
from ._exchange import Exchanger, Joined, JoinFailed
from ._gossip import GossipQueue, GossipSender
from ._member import Member
from ._table import MemberTable

__all__ = ["Membership", "membership"]


class Membership:
    """The members of the mesh as this daemon knows them.

    Example:

        await members.join(within=5.0)
        for member in members.table.present(): ...
    """

    def __init__(
        self,
        table: MemberTable,
        detector: FailureDetector,
        gossip: GossipSender,
        exchanger: Exchanger,
        account: ProcessorAccount,
    ) -> None:
        self._account = account
        self._table = table
        self._detector = detector
        self._gossip = gossip
        self._exchanger = exchanger
        detector.on_table_mismatch(exchanger.request_exchange)

    @property
    def table(self) -> MemberTable:
        """The table of all known members."""
        return self._table

    def on_position(self, listener: Callable[[str, int], None]) -> None:
        """Call `listener` with the host and log position of every probe and ack received."""
        self._detector.on_position(listener)

    def probe_some(self, count: int) -> None:
        """Probe some members now, to hear of anybody."""
        self._detector.probe_some(count)

    async def join(self, *, within: float) -> Joined | JoinFailed:
        """Join the mesh through the seeds; retries for `within` seconds."""
        return await self._exchanger.join(within=within)

    async def exchange_with(self, addresses: Iterable[Address]) -> int:
        """Exchange tables with the daemons at `addresses`; returns how many answered."""
        return await self._exchanger.exchange_with(addresses)

    def on_unknown_sender(self, listener: Callable[[Address], None]) -> None:
        """Call `listener` with the sender's address of every probe from an unknown daemon."""
        self._detector.on_unknown_sender(listener)

    async def run(self) -> None:
        """Keep the table up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            for part in (self._detector.run, self._gossip.run, self._exchanger.run):
                tasks.start_soon(self._account.run, ProcessorPart.EXCHANGE, part)

    def discard_updates(self) -> None:
        """Drop all pending updates, for a mesh in which all members know them already."""
        self._gossip.forget()

    def flush(self) -> None:
        """Send pending updates now, to more members than a gossip round does."""
        self._gossip.flush()

    async def leave(self) -> None:
        """Announce to the other members that this daemon leaves."""
        self._table.leave()
        self._gossip.flush()


def membership(
    own: Member,
    *,
    port: ControlPort,
    timers: TimerService,
    pause: PauseDetector,
    seeds: tuple[Address, ...],
    seed: random.Random,
    position: Callable[[], int],
    detector: DetectorSettings,
) -> Membership:
    """Build the membership of the daemon `own`; `position` returns the log position it holds."""
    table = MemberTable(own, timers)
    queue = GossipQueue(table, seed)
    return Membership(
        table,
        FailureDetector(
            settings=detector,
            table=table,
            gossip=queue,
            port=port,
            timers=timers,
            pause=pause,
            seed=seed,
            position=position,
        ),
        GossipSender(queue=queue, table=table, port=port, timers=timers, seed=seed),
        Exchanger(table=table, port=port, timers=timers, seeds=seeds, seed=seed),
        timers.account,
    )
