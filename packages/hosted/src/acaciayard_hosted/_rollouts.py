"""Connects the rollouts of a daemon with the other daemons and with the store."""

from __future__ import annotations

import random
from typing import Final

import anyio
import structlog

from acaciayard_logservice import (
    Appended,
    KeyedLog,
    KeyedRecord,
    Outrun,
    Unavailable,
    era_of,
    offset_of,
)
from acaciayard_membership import Member, Membership
from acaciayard_resources import FindingsError
from acaciayard_rollouts import (
    Conductor,
    Fleet,
    MemberStart,
    Phase,
    RolloutBook,
    RolloutChange,
    RolloutQuery,
    RolloutReport,
    RolloutStatus,
    RolloutUpdate,
    Stage,
    StatusFound,
    StatusLost,
    StatusStore,
)
from acaciayard_routing import Picker
from acaciayard_timers import TimerService
from acaciayard_wire import Address, ControlPort

from ._eras import EraChange
from ._feeding import Feeding
from ._platform import RolloutWords

__all__ = ["HostedRollouts"]

#: Seconds between two messages of the lead daemon about a running rollout; each costs a datagram of
#: 80 bytes per daemon. Three may be lost before the others send no more calls to the new version.
_TELL_INTERVAL: Final = 0.4
#: The same if all rollouts are decided; a daemon that joins is told at once.
_IDLE_INTERVAL: Final = 5.0
#: Seconds between two reports to the lead daemon.
_REPORT_INTERVAL: Final = 0.4
#: The same while all daemons wait for the last calls at the old version.
_FULL_STAGE_REPORT_INTERVAL: Final = 0.15
#: Seconds between two evaluations of the evidence. A version that fails every third call is
#: detected after about ten calls, which have been made half a second into its trial.
_EVALUATE_INTERVAL: Final = 0.1
#: Seconds between two checks that the store holds the current status.
_SETTLE_INTERVAL: Final = 0.2


class _KeyedStatusStore(StatusStore):
    """Stores the status of rollouts in the platform's store."""

    def __init__(self, store: KeyedLog, words: RolloutWords) -> None:
        self._store = store
        self._codec = words

    async def read(self, service: str) -> StatusFound | StatusLost:
        found = await self._store.newest(self._codec.status_stream)
        if isinstance(found, Unavailable):
            return StatusLost(found.reason)
        key = self._codec.status_key(service)
        records = [record for record in found.records if record.key == key]
        status = self._codec.read_status(records[-1]) if records else None
        return StatusFound(status, found.next_offset)

    async def write(self, status: RolloutStatus, *, position: int) -> bool | StatusLost:
        result = await self._store.put(
            self._codec.status_stream,
            self._codec.status_key(status.service),
            self._codec.write_status(status),
            at=position,
        )
        match result:
            case Appended():
                return True
            case Outrun():
                return False
        return StatusLost(result.reason)


class HostedRollouts:
    """Connects the rollout book and the conductor with the other daemons and the store."""

    def __init__(
        self,
        *,
        book: RolloutBook,
        picker: Picker,
        members: Membership,
        feeding: Feeding,
        port: ControlPort,
        store: KeyedLog,
        words: RolloutWords,
        timers: TimerService,
        seed: random.Random,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._book = book
        self._members = members
        self._feeding = feeding
        self._port = port
        self._codec = words
        self._timers = timers
        self._log = log
        self._has_rollouts = anyio.Event()
        self._rejected: set[tuple[str, int]] = set()
        self._changes = 0
        self._conductor = Conductor(
            book=book,
            fleet=Fleet(
                present=self._present,
                lost_within=self._lost_within,
                slots=picker.slots_by_version,
                hosts=picker.hosts_by_version,
                leads=lambda: feeding.is_lead,
                has_majority=self._sees_majority,
            ),
            store=_KeyedStatusStore(store, words),
            timers=timers,
            seed=seed,
            note=lambda event, fields: log.info(event, **fields),
        )
        members.table.subscribe(self._on_member)
        port.on_datagram(RolloutUpdate, self._on_told)
        port.on_datagram(RolloutReport, lambda report, _sender: self._on_report(report))
        port.on_datagram(RolloutQuery, lambda _ask, sender: self._tell([sender]))

    @property
    def newest_order(self) -> int:
        """Position of the newest order that this daemon knows or holds, 0 if there is none."""
        return self._conductor.newest_order

    # --- members ------------------------------------------------------------------------------

    def _present(self) -> frozenset[MemberStart]:
        return frozenset(_start_of(member) for member in self._members.table.present())

    def _lost_within(self, seconds: float) -> frozenset[MemberStart]:
        lost = self._members.table.lost_since(self._timers.now() - seconds)
        return frozenset(_start_of(member) for member in lost)

    def _sees_majority(self) -> bool:
        return self._members.table.present_count > len(self._members.table.lost())

    def _on_member(self, before: Member | None, now: Member) -> None:
        """Tell a daemon that has joined the state of rollouts, before it sends any calls."""
        is_new = before is None or before.incarnation != now.incarnation
        if is_new and now.is_present and self._feeding.is_lead:
            self._tell([now.control])

    def ask(self, address: Address) -> None:
        """Ask a daemon for the state of rollouts."""
        self._port.send_datagram(RolloutQuery(self._members.table.own.host), address)

    # --- receiving ----------------------------------------------------------------------------

    def take_record(self, record: KeyedRecord) -> None:
        """Process a record other than the configuration; ignore it if it is no rollout order."""
        try:
            order = self._codec.read_order(record)
        except FindingsError as findings:
            if (record.key, record.offset) not in self._rejected:
                self._rejected.add((record.key, record.offset))
                self._log.warning("rollout_order_rejected", key=record.key, reason=str(findings))
            return
        if order is not None:
            self._conductor.take_order(order)

    def _on_told(self, told: RolloutUpdate, _sender: Address) -> None:
        self._book.merge(told.rollouts, source="member")

    def _on_report(self, report: RolloutReport) -> None:
        self._conductor.take_report(report)

    def note(self, news: RolloutChange) -> None:
        """Log a change of a rollout and, if this daemon leads, tell all others at once."""
        self._has_rollouts.set()
        self._changes += 1
        rollout = news.rollout
        self._log.info(
            "rollout",
            service=rollout.service,
            version=rollout.version,
            base=rollout.base or None,
            order=offset_of(rollout.order),
            era=era_of(rollout.order) or None,
            phase=Phase(rollout.phase).name.lower(),
            stage=Stage(rollout.stage).name.lower(),
            age_s=round(rollout.age_s, 2),
            source=news.source,
            reason=news.reason or None,
        )
        if self._feeding.is_lead:
            self._tell_all()

    def note_era(self, change: EraChange) -> None:
        """Check the store's record of rollouts again after it was restored from another copy."""
        self._conductor.note_era()
        self._changes += 1
        if self._book.all:
            self._log.info("rollouts_checked", era=change.now, rollouts=len(self._book.all))

    # --- sending ------------------------------------------------------------------------------

    def _tell(self, addresses: list[Address]) -> None:
        rollouts = self._book.all
        if rollouts:
            told = RolloutUpdate(rollouts)
            for address in addresses:
                self._port.send_datagram(told, address)

    def _tell_all(self) -> None:
        self._tell([member.control for member in self._members.table.others()])

    def _report(self) -> None:
        """Report to the lead daemon."""
        own = self._members.table.own
        lead = self._feeding.lead
        for report in self._book.reports(own.host, own.incarnation):
            if self._feeding.is_lead:
                self._on_report(report)
            elif lead is not None:
                self._port.send_datagram(report, lead.control)

    async def run(self) -> None:
        """Take part in rollouts; never returns, and stays idle until the first order arrives."""
        await self._has_rollouts.wait()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_telling)
            tasks.start_soon(self._run_reporting)
            tasks.start_soon(self._run_evaluating)
            tasks.start_soon(self._run_settling)

    def _is_any_running(self) -> bool:
        return any(rollout.is_running for rollout in self._book.all)

    async def _run_telling(self) -> None:
        while True:
            if self._feeding.is_lead:
                self._tell_all()
                if not self._feeding.is_alone or self._is_sole_member():
                    self._book.merge(self._book.all, source="own")
            await self._pause(_TELL_INTERVAL, _IDLE_INTERVAL)

    def _is_sole_member(self) -> bool:
        table = self._members.table
        return table.present_count == 1 and not table.lost()

    async def _run_reporting(self) -> None:
        while True:
            self._report()
            is_full = any(r.is_running and r.stage == Stage.FULL for r in self._book.all)
            await self._pause(
                _FULL_STAGE_REPORT_INTERVAL if is_full else _REPORT_INTERVAL, _IDLE_INTERVAL
            )

    async def _run_evaluating(self) -> None:
        while True:
            self._conductor.look()
            await self._pause(_EVALUATE_INTERVAL, _IDLE_INTERVAL)

    async def _run_settling(self) -> None:
        while True:
            await self._conductor.settle()
            is_due = self._feeding.is_lead and not self._conductor.is_settled
            await self._pause(_SETTLE_INTERVAL, _SETTLE_INTERVAL if is_due else _IDLE_INTERVAL)

    async def _pause(self, seconds: float, idle: float) -> None:
        """Wait for `seconds`, and up to `idle` in total while no rollout runs and none changes."""
        ends = self._timers.now() + idle
        seen = self._changes
        await self._timers.sleep(seconds)
        while seen == self._changes and self._timers.now() < ends:
            if self._is_any_running():
                return
            await self._timers.sleep(_TELL_INTERVAL)


def _start_of(member: Member) -> MemberStart:
    return MemberStart(member.host, member.incarnation)
