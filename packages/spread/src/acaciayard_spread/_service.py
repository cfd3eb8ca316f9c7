"""The replication service of one daemon, composed of its parts."""

from __future__ import annotations

import random

import anyio

from acaciayard_logservice import LogService
from acaciayard_membership import Membership
from acaciayard_resources import Invariants
from acaciayard_timers import TimerService
from acaciayard_wire import ControlPort

from ._census import StatusCollector
from ._feeder import Feeder, LogState
from ._holder import Holder
from ._links import SessionManager
from ._messages import StatusAnswer
from ._recovery import HeadReader, Recovery
from ._session import SessionContext
from ._snapshots import SnapshotSettings, SnapshotWriter
from ._witnesses import Witnesses

__all__ = ["Spread", "spread"]


class Spread:
    """Replicates accepted versions to this daemon and from it to others."""

    def __init__(
        self,
        *,
        holder: Holder,
        members: Membership,
        log: LogService,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
        snapshots: SnapshotSettings,
    ) -> None:
        self._holder = holder
        self._log_state = LogState(timers)
        table = members.table
        witnesses = Witnesses(holder, table, timers)
        self._context = SessionContext(table.own.host, holder, witnesses)
        self._links = SessionManager(
            context=self._context, members=members, port=port, timers=timers, seed=seed
        )
        self._feeder = Feeder(
            holder=holder,
            witnesses=witnesses,
            table=table,
            log=log,
            state=self._log_state,
            timers=timers,
            seed=seed,
        )
        self._status_collector = StatusCollector(port=port, timers=timers, answer=self._status)
        self._recovery = Recovery(
            holder=holder,
            members=members,
            status_collector=self._status_collector,
            heads=HeadReader(log, self._log_state, timers),
            port=port,
            timers=timers,
            seed=seed,
        )
        self._snapshots = SnapshotWriter(
            settings=snapshots, holder=holder, table=table, log=log, timers=timers
        )

    @property
    def holder(self) -> Holder:
        """The replica of the configuration stream on this daemon."""
        return self._holder

    @property
    def recovery(self) -> Recovery:
        """The recovery of this daemon after its start."""
        return self._recovery

    @property
    def status_collector(self) -> StatusCollector:
        """Queries the replication status of other daemons."""
        return self._status_collector

    @property
    def links(self) -> SessionManager:
        """The upstream sessions."""
        return self._links

    @property
    def peers(self) -> frozenset[str]:
        """Hosts with which a session is open, in either direction."""
        return frozenset(self._context.open)

    @property
    def is_feeder(self) -> bool:
        """Whether this daemon reads the log for its failure domain."""
        return self._feeder.is_active

    @property
    def log_age(self) -> float | None:
        """Seconds since the log last answered a read of this daemon, `None` if it never did."""
        return self._log_state.age

    @property
    def log_reason(self) -> str:
        """Why the log is unavailable, as far as this daemon knows; empty if it is available."""
        return self._log_state.reason

    async def run(self) -> None:
        """Replicate until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run)
            tasks.start_soon(self._recover_and_follow_log)
            tasks.start_soon(self._snapshots.run)

    async def _recover_and_follow_log(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._recovery.run)
            await self._recovery.joined.wait()
            tasks.start_soon(self._feeder.run)

    def _status(self, number: int) -> StatusAnswer:
        return StatusAnswer(
            number=number,
            host=self._context.host,
            position=self._holder.position,
            in_force=self._holder.in_force_version,
            recovered=self._recovery.state.is_done,
        )


def spread(
    *,
    members: Membership,
    log: LogService,
    port: ControlPort,
    timers: TimerService,
    seed: random.Random,
    invariants: Invariants,
    snapshots: SnapshotSettings,
) -> Spread:
    """Build the replication service of the daemon that `members` belongs to."""
    return Spread(
        holder=Holder(invariants),
        members=members,
        log=log,
        port=port,
        timers=timers,
        seed=seed,
        snapshots=snapshots,
    )
