"""Reads the configuration stream of the log on the daemons that are feeders."""

from __future__ import annotations

import random
from typing import Final

import anyio

from acaciayard_logservice import Bounds, Expired, LogService, Slice, Unavailable
from acaciayard_membership import Member, MemberTable
from acaciayard_resources import Record, SnapshotRecord, decode_record
from acaciayard_timers import Signal, TimerService

from ._holder import Holder
from ._topology import is_feeder
from ._witnesses import Witnesses

__all__ = ["CONFIGURATION_STREAM", "Feeder", "LogState"]

#: Name of the log stream that holds proposals and snapshots.
CONFIGURATION_STREAM: Final = "configuration"
#: Maximum of records per read.
_MAX_RECORDS: Final = 512
#: Seconds that a long poll may wait for a new record.
_LONG_POLL: Final = 10.0
#: Seconds to wait after a membership change before the role is evaluated again, so that further
#: changes are handled together.
_SETTLE_DELAY: Final = 0.2
#: Mean seconds before a retry while the log does not answer.
_RETRY_DELAY: Final = 0.5


class LogState:
    """Outcome of this daemon's latest request to the log."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._reason = ""
        self._answered_at: float | None = None

    @property
    def reason(self) -> str:
        """Why the log is unavailable; empty if it is available."""
        return self._reason

    @property
    def age(self) -> float | None:
        """Seconds since the log last answered a read of this daemon, `None` if it never did."""
        return None if self._answered_at is None else self._timers.now() - self._answered_at

    def note_answer(self) -> None:
        """Record that the log has answered a read."""
        self._answered_at = self._timers.now()

    def set_reason(self, reason: str) -> None:
        """Store the reason of a failed request, or an empty text after a success."""
        self._reason = reason


class Feeder:
    """Follows the log by long polling while this daemon is a feeder of its failure domain."""

    def __init__(
        self,
        *,
        holder: Holder,
        witnesses: Witnesses,
        table: MemberTable,
        log: LogService,
        state: LogState,
        timers: TimerService,
        seed: random.Random,
    ) -> None:
        self._holder = holder
        self._witnesses = witnesses
        self._table = table
        self._log = log
        self._state = state
        self._timers = timers
        self._seed = seed
        self._members_changed = Signal()
        table.subscribe(self._on_member)

    @property
    def is_active(self) -> bool:
        """Whether this daemon is a feeder at present."""
        return is_feeder(self._table.own, self._table.present())

    def _on_member(self, before: Member | None, now: Member) -> None:
        if before is None or before.is_present != now.is_present:
            self._members_changed.notify()

    async def run(self) -> None:
        """Read the log whenever this daemon is a feeder, until cancelled."""
        while True:
            seen = self._members_changed.count
            if self.is_active:
                await self._read_while_active()
            else:
                await self._members_changed.wait_beyond(seen)
                await self._timers.sleep(_SETTLE_DELAY)

    async def _read_while_active(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            seen = self._members_changed.count
            while self.is_active:
                seen = await self._members_changed.wait_beyond(seen)
                await self._timers.sleep(_SETTLE_DELAY)
            tasks.cancel_scope.cancel()

    async def _follow(self) -> None:
        while True:
            await self._read_once()

    async def _read_once(self) -> None:
        position = self._holder.position
        match await self._log.read(
            CONFIGURATION_STREAM, start=position, limit=_MAX_RECORDS, wait=_LONG_POLL
        ):
            case Slice(records, bounds):
                self._state.note_answer()
                self._state.set_reason(self._describe_mismatch(bounds))
                folded = self._holder.fold_records(position, [r.payload for r in records])
                self._witnesses.evaluate()
                if records and not folded and self._holder.position <= position:
                    await self._timers.sleep(_RETRY_DELAY)
                if bounds.head < position:
                    await self._timers.sleep(_RETRY_DELAY)
            case Expired(bounds):
                self._state.note_answer()
                await self._bootstrap(bounds)
            case Unavailable(reason):
                self._state.set_reason(reason)
                await self._timers.sleep(_RETRY_DELAY * self._seed.uniform(0.5, 1.5))

    def _describe_mismatch(self, bounds: Bounds) -> str:
        if bounds.head < self._holder.position:
            return f"the log ends at {bounds.head}, but {self._holder.position} is held already"
        return ""

    async def _bootstrap(self, bounds: Bounds) -> None:
        """Install the newest snapshot in the log that no missing record follows."""
        newest: SnapshotRecord | None = None
        offset = bounds.first
        while offset < bounds.head:
            match await self._log.read(
                CONFIGURATION_STREAM, start=offset, limit=_MAX_RECORDS, wait=0.0
            ):
                case Slice(records, _) if records:
                    for record in records:
                        newest = _newer_snapshot(newest, decode_record(record.payload), bounds)
                    offset = records[-1].offset + 1
                case _:
                    break
        if newest is not None and self._holder.install_snapshot(newest):
            self._state.set_reason("")
            self._witnesses.evaluate()
            return
        self._state.set_reason(
            f"records {self._holder.position} to {bounds.first} have expired and no snapshot"
            " in the log covers them; waiting for a daemon that holds them"
        )
        await self._timers.sleep(_RETRY_DELAY)


def _newer_snapshot(
    newest: SnapshotRecord | None, found: Record, bounds: Bounds
) -> SnapshotRecord | None:
    """The newer one of two snapshots; ignores records that leave a gap or are no snapshots."""
    if not isinstance(found, SnapshotRecord) or found.position < bounds.first:
        return newest
    return found if newest is None or found.position > newest.position else newest
