"""Finds the other daemons through the platform's store, and keeps finding them when alone.

An entry is `"10.1.0.35:7660 riga-a"`: where a daemon is met, and its failure domain.  Not all
daemons have one: a quarter are enough to be found by, and each entry is a call to the store.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final

import anyio
import anyio.abc
import structlog
from attrs import frozen

from acaciayard_logservice import (
    Appended,
    KeyedLog,
    KeyedRecord,
    KeyedSlice,
    Unavailable,
    era_of,
)
from acaciayard_membership import Member, Membership, rendezvous
from acaciayard_timers import TimerService
from acaciayard_wire import Address, ControlPort

from ._eras import EraChange
from ._relay import VersionRelay
from ._rollouts import HostedRollouts

__all__ = ["DIRECTORY_MESSAGES", "HostDirectory"]

#: The keyed stream in which every daemon says where it is met; the key is the host's name.
STREAM: Final = "keyed.hosts"
_PURPOSE: Final = "is listed"
#: Seconds between two looks while no other daemon is known.
_ALONE: Final = 1.0
#: Daemons of the own failure domain, and of others, that a start meets; gossip finds the rest.
#: Each sends its whole table, some 27 KB where there are 195 hosts (reckoned).
_MET_NEAR: Final = 2
_MET_FAR: Final = 1
#: Share of the daemons that are to be listed, and how many at least.  A start reads the list; an
#: entry is written once: 195 first starts take 390 calls where all write, reckoned, and some 250.
#: Where all start at once, each of a quarter of them has 12 exchanges.
_LISTED_SHARE: Final = 0.25
_LEAST_LISTED: Final = 12
#: Seconds after the start from which nothing more is to be heard of the time before it.  Daemons
#: answer within milliseconds; where all have started at once, nobody remembers anything.
_SETTLED_AFTER: Final = 0.6
#: Seconds for which a start waits for the others' version before it reads the store itself.  Where
#: all hosts had lost their power, a wait of 0.27 s for them was most of the 0.3 to 0.45 s from the
#: power's return to the configuration in force.
_LOOK_WITHIN: Final = 0.1
#: Seconds for meeting the daemons that were found: those that have lost their power never answer,
#: and a start must not wait for them.
_MEET_WITHIN: Final = 0.25
#: Characters of an entry and of what is wrong with it that a log line repeats.
_SHOWN: Final = 80
#: Seconds over which those spread that find nobody listed.  Hosts that start for the first time do
#: so within 0.3 s of each other, some ten seconds before they are needed.
_FIRST_STARTS: Final = 0.5
#: Seconds between two tries to write the own record.
_PUT_EVERY: Final = 0.5
#: Looks at the list after the store came back from an older copy.  Word to a daemon whose entry is
#: lost may be lost too, and so may its write; who is still missing then is found by gossip.
_REPAIRS: Final = 4
#: Seconds between two of them.
_REPAIR_EVERY: Final = 2.0


@frozen(order=True)
class _Entry:
    """What is written down of a daemon."""

    #: Where it is met.
    address: Address
    #: Its failure domain, empty where it is not told.
    domain: str


@frozen
class EntryLost:
    """A datagram: the store no longer has your entry, though you are to be listed."""

    #: Name of the host whose entry it is.
    host: str


DIRECTORY_MESSAGES: Final[dict[int, type]] = {
    63: EntryLost,
}


def _read_entry(value: bytes) -> _Entry:
    """The entry in a record; raises `ValueError`."""
    address, _, domain = value.decode().partition(" ")
    return _Entry(Address.parse(address), domain)


def _entry_of(own: Member) -> str:
    return f"{own.control} {own.domain}"


def _has_entry(records: Iterable[KeyedRecord], member: Member) -> bool:
    """Whether the list says where a daemon is met now; an earlier address of its host is none."""
    entry = _entry_of(member).encode()
    return any(record.key == member.host and record.value == entry for record in records)


class HostDirectory:
    """Meets daemons that are written down, and writes this one down where too few are.

    One call to the store at a start, and one a second while nobody is found; everything else goes
    from daemon to daemon.  Who is listed travels with the records of members, so that others take
    the place of those that go.  One that finds nobody writes itself down whatever others did.

    Where the store has come back from an older copy, entries may be gone that records of members
    tell of.  The daemon that leads reads the list and tells those whose entry is not there; each
    writes its own again.  So a daemon that starts finds the mesh, and one entry costs one write.
    """

    def __init__(
        self,
        *,
        store: KeyedLog,
        members: Membership,
        timers: TimerService,
        seed: random.Random,
        log: structlog.typing.FilteringBoundLogger,
        relay: VersionRelay | None = None,
        rollouts: HostedRollouts | None = None,
        port: ControlPort | None = None,
        leads: Callable[[], bool] = lambda: False,
        on_met: Callable[[], None] = lambda: None,
    ) -> None:
        self._relay = relay
        self._rollouts = rollouts
        self._has_looked = anyio.Event()
        self._has_met = anyio.Event()
        self._is_first_start = False
        self._on_met = on_met
        self._store = store
        self._members = members
        self._timers = timers
        self._seed = seed
        self._log = log
        self._tasks: anyio.abc.TaskGroup | None = None
        self._meeting: set[Address] = set()
        self._port = port
        self._leads = leads
        self._is_entry_lost = False
        #: Whether the store has come back from another copy since the list was found whole.
        self._is_in_doubt = False
        self._repairs = 0
        self._repair_at = 0.0
        members.on_unknown_sender(self._on_stranger)
        if port is not None:
            port.on_datagram(EntryLost, self._take_lost)

    async def first_look(self) -> None:
        """Return once the others were looked for, or that has taken long enough."""
        with self._timers.timeout(_LOOK_WITHIN):
            await self._has_looked.wait()
        if self._is_first_start:
            with self._timers.timeout(_FIRST_STARTS + _LOOK_WITHIN):
                await self._has_met.wait()

    async def run(self) -> None:
        """Be found and find, for ever."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._timers.call_at(self._timers.now() + _SETTLED_AFTER, self._on_met)
            while True:
                await self._look()
                self._has_looked.set()
                if self._is_first_start:
                    # A few entries will do for all that start now.
                    await self._timers.sleep(self._seed.uniform(0, _FIRST_STARTS))
                    await self._look()
                    self._has_met.set()
                    self._is_first_start = False
                if self._members.table.present_count == 1:
                    await self._write_down()
                while self._members.table.present_count > 1:
                    await self._timers.sleep(_ALONE)
                    if self._is_wanted() or self._is_entry_lost:
                        await self._write_down()
                    await self._repair()
                await self._timers.sleep(_ALONE * self._seed.uniform(0.5, 1.0))

    def _is_wanted(self) -> bool:
        """Whether too few daemons are listed, and this one is among the next in line."""
        table = self._members.table
        if table.own.is_listed:
            return False
        present = table.present()
        listed = sum(member.is_listed for member in present)
        wanted = max(_LEAST_LISTED, round(len(present) * _LISTED_SHARE)) - listed
        others = [member for member in present if not member.is_listed]
        return wanted > 0 and table.own in rendezvous(_PURPOSE, others, count=wanted)

    async def _write_down(self) -> None:
        """Write the own entry unless it is there; tries once, since the next look tries again."""
        own = self._members.table.own
        if own.is_listed and not self._is_entry_lost:
            return
        result = await self._store.put(STREAM, own.host, _entry_of(own).encode())
        if isinstance(result, Appended):
            self._members.table.set_listed()
            self._log.info(
                "directory_written", address=str(own.control), again=self._is_entry_lost or None
            )
            self._is_entry_lost = False
            return
        self._log.warning("directory_not_written", reason=result.reason)
        await self._timers.sleep(_PUT_EVERY * self._seed.uniform(0.5, 1.5))

    async def _look(self) -> None:
        """Read the list and meet some that stand there."""
        match await self._store.newest(STREAM):
            case KeyedSlice(records, unreadable=unreadable):
                own = self._members.table.own
                self._is_entry_lost = own.is_listed and not _has_entry(records, own)
                self._is_first_start = not records and not self._has_looked.is_set()
                chosen = self._choose(self._strangers(records))
                met = 0
                with self._timers.timeout(_MEET_WITHIN):
                    met = await self._members.exchange_with(chosen)
                self._on_met()
                await self._ask_a_member()
                self._log.info(
                    "directory_read",
                    listed=len(records),
                    unreadable=unreadable or None,
                    asked=len(chosen),
                    met=met,
                    members=self._members.table.present_count,
                )
            case Unavailable(reason):
                self._log.warning("directory_not_read", reason=reason)

    # --- a store that came back older ---------------------------------------------------------

    def note_era(self, _change: EraChange) -> None:
        """The store has come back from another copy, which may lack entries."""
        self._is_in_doubt = True
        self._repairs = 0
        self._repair_at = self._timers.now()

    def _take_lost(self, lost: EntryLost, _sender: Address) -> None:
        own = self._members.table.own
        if lost.host == own.host and own.is_listed and not self._is_entry_lost:
            self._is_entry_lost = True
            self._log.info("directory_entry_lost")

    async def _repair(self) -> None:
        """Where this daemon leads, have entries written again that the store has lost."""
        if not self._is_in_doubt or not self._leads() or self._timers.now() < self._repair_at:
            return
        found = await self._store.newest(STREAM)
        if isinstance(found, Unavailable):
            self._log.warning("directory_not_read", reason=found.reason)
            return
        self._repairs += 1
        self._repair_at = self._timers.now() + _REPAIR_EVERY
        lost = [member for member in self._listed() if not _has_entry(found.records, member)]
        for member in lost:
            if member.host == self._members.table.own.host:
                self._is_entry_lost = True
            elif self._port is not None:
                self._port.send_datagram(EntryLost(member.host), member.control)
        self._log.info(
            "directory_checked", era=era_of(found.next_offset), lost=len(lost), look=self._repairs
        )
        if not lost or self._repairs >= _REPAIRS:
            self._is_in_doubt = False

    def _listed(self) -> list[Member]:
        return [member for member in self._members.table.present() if member.is_listed]

    def _choose(self, strangers: list[_Entry]) -> list[Address]:
        """Some to meet, in the own failure domain first: tables are sent whole."""
        own = self._members.table.own.domain
        near = [entry.address for entry in strangers if entry.domain == own]
        far = [entry.address for entry in strangers if entry.domain != own]
        chosen = self._seed.sample(near, min(_MET_NEAR, len(near)))
        count = _MET_NEAR + _MET_FAR - len(chosen)
        return [*chosen, *self._seed.sample(far, min(count, len(far)))]

    async def _ask_a_member(self) -> None:
        """Take over the version of a daemon that was met, which comes compressed."""
        there = self._members.table.peers_by_domain()
        others = there.local or tuple(self._members.table.others())
        if others and self._relay is not None:
            asked = self._seed.choice(others).control
            if self._rollouts is not None:
                # Answered before the version, without which this daemon serves nothing.
                self._rollouts.ask(asked)
            with self._timers.timeout(_MEET_WITHIN):
                await self._relay.ask(asked)

    def _strangers(self, records: Iterable[KeyedRecord]) -> list[_Entry]:
        """Where daemons that are not known here say that they are met.

        An entry that cannot be read, or that others have written in the name of this host, names
        nobody; the others hold.
        """
        table = self._members.table
        known = {member.control for member in table.present()}
        found = set()
        unreadable = []
        for record in records:
            try:
                entry = _read_entry(record.value)
            except ValueError as error:
                unreadable.append(f"{record.key[:_SHOWN]}: {str(error)[:_SHOWN]}")
                continue
            if record.key != table.own.host and entry.address not in known:
                found.add(entry)
            elif record.key == table.own.host and entry.address == table.own.control:
                table.set_listed()
        if unreadable:
            self._log.warning(
                "directory_entries_unreadable", count=len(unreadable), first=unreadable[0]
            )
        return sorted(found)

    def _on_stranger(self, address: Address) -> None:
        """A daemon that is not known here has probed this one: meet it."""
        if self._tasks is not None and address not in self._meeting:
            self._meeting.add(address)
            self._tasks.start_soon(self._meet_stranger, address)

    async def _meet_stranger(self, address: Address) -> None:
        try:
            if await self._members.exchange_with([address]):
                self._on_met()
        finally:
            self._meeting.discard(address)
