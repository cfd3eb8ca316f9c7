"""Peer discovery through the platform's store, repeated while no other daemon is reachable.

An entry is `"10.1.0.35:7660 riga-a"`: the control address of a daemon and its failure domain. Only
a quarter of the daemons are listed, which is enough for discovery: each entry costs a call to the
store.
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

#: The keyed stream of the daemons' control addresses; the key is the host's name.
STREAM: Final = "keyed.hosts"
_PURPOSE: Final = "is listed"
#: Seconds between two discovery attempts while no other daemon is known.
_ALONE_RETRY_INTERVAL: Final = 1.0
#: Number of daemons in the own failure domain, and in others, that a starting daemon contacts;
#: gossip finds the rest. Each contact sends its whole member table, an estimated 27 KB with 195
#: hosts.
_MAX_CONTACTS_IN_DOMAIN: Final = 2
_MAX_CONTACTS_ELSEWHERE: Final = 1
#: Share of the daemons to list, and the minimum number. A starting daemon reads the list, and an
#: entry is written once: 195 first starts take an estimated 390 calls to the store if all daemons
#: write an entry, and 250 with this share. When all start at once, each listed daemon, a quarter of
#: them, has 12 exchanges.
_LISTED_SHARE: Final = 0.25
_MIN_LISTED: Final = 12
#: Seconds after the start from which no more caps from before the start are expected. Daemons
#: answer within milliseconds; when all have started at once, none has any such state.
_SETTLE_DELAY: Final = 0.6
#: Seconds that a starting daemon waits for a version from its peers before it reads the store
#: itself. After a power failure of all hosts, a wait of 0.27 s was most of the 0.3 to 0.45 s
#: between the return of power and the configuration in force.
_DISCOVERY_TIMEOUT: Final = 0.1
#: Timeout, in seconds, for contacting the daemons found in the list: those without power never
#: answer, and a start must not wait for them.
_CONTACT_TIMEOUT: Final = 0.25
#: Characters of a key and of its error that a log line includes.
_MAX_LOGGED_CHARS: Final = 80
#: Seconds over which daemons spread their writes when they find an empty list. Hosts that start for
#: the first time do so within 0.3 s of each other, some ten seconds before they are needed.
_FIRST_START_SPREAD: Final = 0.5
#: Mean seconds between two attempts to write the own entry.
_PUT_RETRY_INTERVAL: Final = 0.5
#: First and longest interval, in seconds, between two checks of the list by the lead daemon. The
#: interval doubles while an entry stays missing: the datagram that tells a daemon of its lost entry
#: may itself be lost, and the store may not answer that daemon for minutes.
_CHECK_INTERVALS: Final = (2.0, 8.0)


@frozen(order=True)
class _Entry:
    """The entry of a daemon in the list."""

    #: Its control address.
    address: Address
    #: Its failure domain, empty if unknown.
    domain: str


@frozen
class EntryLost:
    """A datagram that tells a listed daemon that the store has lost its entry."""

    #: Name of the host whose entry it is.
    host: str


DIRECTORY_MESSAGES: Final[dict[int, type]] = {
    63: EntryLost,
}


def _read_entry(value: bytes) -> _Entry:
    """Parse the entry in a record; raises `ValueError`."""
    address, _, domain = value.decode().partition(" ")
    return _Entry(Address.parse(address), domain)


def _entry_of(own: Member) -> str:
    return f"{own.control} {own.domain}"


def _has_entry(records: Iterable[KeyedRecord], member: Member) -> bool:
    """Whether the list has the current address of a daemon; an earlier address does not count."""
    entry = _entry_of(member).encode()
    return any(record.key == member.host and record.value == entry for record in records)


class HostDirectory:
    """Contacts listed daemons, and lists this one if too few are.

    A start takes one call to the store, and one a second while no daemon is found; everything else
    goes from daemon to daemon. Member records carry whether a daemon is listed, so that others take
    the place of those that leave. A daemon that finds no other lists itself, whatever others did.

    After the store was restored from an older copy, entries that member records announce may be
    missing. The lead daemon reads the list until it has found the entries of all listed members in
    the present era of the store, and notifies the daemons whose entries are missing; each writes
    its own again. So a starting daemon finds the mesh, and one entry costs one write. Each new lead
    checks for itself, since it may not have noticed that the store was restored, and the daemon
    that did may be gone.
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
        self._has_discovered = anyio.Event()
        self._has_contacted = anyio.Event()
        self._is_first_start = False
        self._on_met = on_met
        self._store = store
        self._members = members
        self._timers = timers
        self._random = seed
        self._log = log
        self._tasks: anyio.abc.TaskGroup | None = None
        self._contacts_in_progress: set[Address] = set()
        self._port = port
        self._leads = leads
        self._is_entry_lost = False
        #: Entries that this daemon has seen in the present era of the store, by host.
        self._found: dict[str, str] = {}
        #: Checks in a row that missed an entry.
        self._failed_checks = 0
        self._next_check_at = timers.now() + _CHECK_INTERVALS[0]
        members.on_unknown_sender(self._on_stranger)
        if port is not None:
            port.on_datagram(EntryLost, self._on_entry_lost)

    async def first_look(self) -> None:
        """Return once discovery was tried or has timed out."""
        with self._timers.timeout(_DISCOVERY_TIMEOUT):
            await self._has_discovered.wait()
        if self._is_first_start:
            with self._timers.timeout(_FIRST_START_SPREAD + _DISCOVERY_TIMEOUT):
                await self._has_contacted.wait()

    async def run(self) -> None:
        """Discover daemons and stay discoverable; never returns."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._timers.call_at(self._timers.now() + _SETTLE_DELAY, self._on_met)
            while True:
                await self._discover()
                self._has_discovered.set()
                if self._is_first_start:
                    # A few entries are enough for all that start at this time.
                    await self._timers.sleep(self._random.uniform(0, _FIRST_START_SPREAD))
                    await self._discover()
                    self._has_contacted.set()
                    self._is_first_start = False
                if self._members.table.present_count == 1:
                    await self._write_entry()
                while self._members.table.present_count > 1:
                    await self._timers.sleep(_ALONE_RETRY_INTERVAL)
                    if self._should_be_listed() or self._is_entry_lost:
                        await self._write_entry()
                    await self._check_list()
                await self._timers.sleep(_ALONE_RETRY_INTERVAL * self._random.uniform(0.5, 1.0))

    def _should_be_listed(self) -> bool:
        """Whether too few daemons are listed and this one ranks among the next candidates."""
        table = self._members.table
        if table.own.is_listed:
            return False
        present = table.present()
        listed = sum(member.is_listed for member in present)
        wanted = max(_MIN_LISTED, round(len(present) * _LISTED_SHARE)) - listed
        others = [member for member in present if not member.is_listed]
        return wanted > 0 and table.own in rendezvous(_PURPOSE, others, count=wanted)

    async def _write_entry(self) -> None:
        """Write the own entry unless it is listed; tries once, since the caller's loop retries."""
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
        await self._timers.sleep(_PUT_RETRY_INTERVAL * self._random.uniform(0.5, 1.5))

    async def _discover(self) -> None:
        """Read the list and contact some of the daemons in it."""
        match await self._store.newest(STREAM):
            case KeyedSlice(records, unreadable=unreadable):
                own = self._members.table.own
                self._is_entry_lost = own.is_listed and not _has_entry(records, own)
                self._is_first_start = not records and not self._has_discovered.is_set()
                chosen = self._choose_contacts(self._unknown_entries(records))
                met = 0
                with self._timers.timeout(_CONTACT_TIMEOUT):
                    met = await self._members.exchange_with(chosen)
                self._on_met()
                await self._ask_member()
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

    # --- a store restored from an older copy --------------------------------------------------

    def note_era(self, _change: EraChange) -> None:
        """Check the list again: the store was restored from a copy that may lack entries."""
        self._found.clear()
        self._failed_checks = 0
        self._next_check_at = self._timers.now()

    def _on_entry_lost(self, lost: EntryLost, _sender: Address) -> None:
        own = self._members.table.own
        if lost.host == own.host and own.is_listed and not self._is_entry_lost:
            self._is_entry_lost = True
            self._log.info("directory_entry_lost")

    async def _check_list(self) -> None:
        """If this daemon leads, have daemons rewrite entries that the store has lost."""
        if not self._leads() or self._timers.now() < self._next_check_at or not self._unseen():
            return
        result = await self._store.newest(STREAM)
        if isinstance(result, Unavailable):
            self._log.warning("directory_not_read", reason=result.reason)
            return
        self._found = {
            member.host: _entry_of(member)
            for member in self._listed()
            if _has_entry(result.records, member)
        }
        lost = self._unseen()
        for member in lost:
            if member.host == self._members.table.own.host:
                self._is_entry_lost = True
            elif self._port is not None:
                self._port.send_datagram(EntryLost(member.host), member.control)
        self._schedule_check(is_complete=not lost)
        self._log.info(
            "directory_checked",
            era=era_of(result.next_offset),
            lost=len(lost),
            look=self._failed_checks,
        )

    def _schedule_check(self, *, is_complete: bool) -> None:
        """Set when the list may be read again; the interval doubles while an entry is missing."""
        first, longest = _CHECK_INTERVALS
        self._failed_checks = 0 if is_complete else self._failed_checks + 1
        interval = first * 2 ** max(0, self._failed_checks - 1)
        self._next_check_at = self._timers.now() + min(longest, interval)

    def _unseen(self) -> list[Member]:
        """Listed members whose entries were not seen in the present era of the store."""
        return [m for m in self._listed() if self._found.get(m.host) != _entry_of(m)]

    def _listed(self) -> list[Member]:
        return [member for member in self._members.table.present() if member.is_listed]

    def _choose_contacts(self, strangers: list[_Entry]) -> list[Address]:
        """Choose addresses to contact, a few only, since each exchange sends whole member tables.

        Those in the own failure domain come first.
        """
        own = self._members.table.own.domain
        local_addresses = [entry.address for entry in strangers if entry.domain == own]
        remote_addresses = [entry.address for entry in strangers if entry.domain != own]
        chosen = self._random.sample(
            local_addresses, min(_MAX_CONTACTS_IN_DOMAIN, len(local_addresses))
        )
        count = _MAX_CONTACTS_IN_DOMAIN + _MAX_CONTACTS_ELSEWHERE - len(chosen)
        return [*chosen, *self._random.sample(remote_addresses, min(count, len(remote_addresses)))]

    async def _ask_member(self) -> None:
        """Ask a member for its version, which is sent compressed."""
        there = self._members.table.peers_by_domain()
        others = there.local or tuple(self._members.table.others())
        if others and self._relay is not None:
            asked = self._random.choice(others).control
            if self._rollouts is not None:
                # Answered before the version, without which this daemon serves nothing.
                self._rollouts.ask(asked)
            with self._timers.timeout(_CONTACT_TIMEOUT):
                await self._relay.ask(asked)

    def _unknown_entries(self, records: Iterable[KeyedRecord]) -> list[_Entry]:
        """Return the entries of daemons that are not known here.

        Entries that cannot be parsed are skipped and logged, and one under this host's own name is
        never returned; the other entries remain valid.
        """
        table = self._members.table
        known = {member.control for member in table.present()}
        found = set()
        unreadable = []
        for record in records:
            try:
                entry = _read_entry(record.value)
            except ValueError as error:
                unreadable.append(
                    f"{record.key[:_MAX_LOGGED_CHARS]}: {str(error)[:_MAX_LOGGED_CHARS]}"
                )
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
        """Contact an unknown daemon that has probed this one."""
        if self._tasks is not None and address not in self._contacts_in_progress:
            self._contacts_in_progress.add(address)
            self._tasks.start_soon(self._contact_stranger, address)

    async def _contact_stranger(self, address: Address) -> None:
        try:
            if await self._members.exchange_with([address]):
                self._on_met()
        finally:
            self._contacts_in_progress.discard(address)
