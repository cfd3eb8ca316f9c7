"""Finds the other daemons through the platform's store, and keeps finding them when alone."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final

import anyio
import anyio.abc
import structlog

from acaciayard_logservice import Appended, KeyedLog, KeyedRecord, KeyedSlice, Unavailable
from acaciayard_membership import Membership
from acaciayard_timers import TimerService
from acaciayard_wire import Address

from ._relay import VersionRelay

__all__ = ["HostDirectory"]

#: The keyed stream in which every daemon says where it is met; the key is the host's name.
STREAM: Final = "keyed.hosts"
#: Seconds between two looks while no other daemon is known.
_ALONE: Final = 1.0
#: Daemons that are met at once; gossip finds the rest.
_MOST_MET: Final = 6
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
#: Seconds between two tries to write the own record.
_PUT_EVERY: Final = 0.5


class HostDirectory:
    """Writes down where this daemon is, and meets those that others wrote down.

    Two calls to the store at a start, and one a second while nobody is found; everything else goes
    from daemon to daemon.
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
        on_met: Callable[[], None] = lambda: None,
    ) -> None:
        self._relay = relay
        self._has_looked = anyio.Event()
        self._on_met = on_met
        self._store = store
        self._members = members
        self._timers = timers
        self._seed = seed
        self._log = log
        self._tasks: anyio.abc.TaskGroup | None = None
        self._meeting: set[Address] = set()
        members.on_stranger(self._on_stranger)

    async def first_look(self) -> None:
        """Return once the others were looked for, or that has taken long enough."""
        with self._timers.timeout(_LOOK_WITHIN):
            await self._has_looked.wait()

    async def run(self) -> None:
        """Be found and find, for ever."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._timers.call_at(self._timers.now() + _SETTLED_AFTER, self._on_met)
            tasks.start_soon(self._write_down)
            while True:
                await self._look()
                self._has_looked.set()
                while self._members.table.present_count > 1:
                    await self._timers.sleep(_ALONE)
                await self._timers.sleep(_ALONE * self._seed.uniform(0.5, 1.0))

    async def _write_down(self) -> None:
        own = self._members.table.own
        while True:
            result = await self._store.put(STREAM, own.host, str(own.control).encode())
            if isinstance(result, Appended):
                return
            self._log.warning("directory_not_written", reason=result.reason)
            await self._timers.sleep(_PUT_EVERY * self._seed.uniform(0.5, 1.5))

    async def _look(self) -> None:
        match await self._store.newest(STREAM):
            case KeyedSlice(records, unreadable=unreadable):
                addresses = self._strangers(records)
                chosen = self._seed.sample(addresses, min(_MOST_MET, len(addresses)))
                met = 0
                with self._timers.timeout(_MEET_WITHIN):
                    met = await self._members.meet(chosen)
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

    async def _ask_a_member(self) -> None:
        """Take over the version of a daemon that was met, which comes compressed."""
        others = list(self._members.table.others())
        if others and self._relay is not None:
            with self._timers.timeout(_MEET_WITHIN):
                await self._relay.ask(self._seed.choice(others).control)

    def _strangers(self, records: Iterable[KeyedRecord]) -> list[Address]:
        """Where daemons that are not known here say that they are met.

        An entry that cannot be read, or that others have written in the name of this host, names
        nobody; the others hold.
        """
        table = self._members.table
        known = {member.control for member in table.present()}
        found = set()
        unreadable = []
        for record in records:
            if record.key == table.own.host:
                continue
            try:
                found.add(Address.parse(record.value.decode()))
            except ValueError as error:
                unreadable.append(f"{record.key[:_SHOWN]}: {str(error)[:_SHOWN]}")
        if unreadable:
            self._log.warning(
                "directory_entries_unreadable", count=len(unreadable), first=unreadable[0]
            )
        return sorted(found - known)

    def _on_stranger(self, address: Address) -> None:
        """A daemon that is not known here has probed this one: meet it."""
        if self._tasks is not None and address not in self._meeting:
            self._meeting.add(address)
            self._tasks.start_soon(self._meet_stranger, address)

    async def _meet_stranger(self, address: Address) -> None:
        try:
            if await self._members.meet([address]):
                self._on_met()
        finally:
            self._meeting.discard(address)
