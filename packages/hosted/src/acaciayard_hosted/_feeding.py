"""Which daemons read the store: one in each failure domain, and any that hears of no other."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import anyio
import structlog

from acaciayard_membership import Member, Membership, MemberState, rendezvous
from acaciayard_timers import TimerService

__all__ = ["Feeding"]

_PURPOSE: Final = "reads the store"
#: Seconds without a word from any other daemon after which one reads for itself.  Each hears of
#: others several times a second; a host that is cut off from them may still reach the store.
_ALONE_AFTER: Final = 2.0
#: Seconds between two looks at who is there.
_LOOK_EVERY: Final = 0.25


class Feeding:
    """Tells this daemon whether it is to read the store for its failure domain.

    One of those that read leads: it asks often, so that a read which a silent store or a cut has
    swallowed is noticed soon.  The others have one long read pending, which the store answers at
    once with news, and hand on what they get to the readers of the other domains.

    The choice follows from the members that are known, so two daemons may both feed for a moment,
    which costs a few calls, or none may, which the versions that travel with every probe make up
    for within a second.  A daemon that the store turns away says so in its record, and the next
    one in line takes over; the first in line keeps trying.
    """

    def __init__(
        self,
        *,
        members: Membership,
        timers: TimerService,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._members = members
        self._timers = timers
        self._log = log
        self._heard_at = timers.now()
        self._is_feeder = True
        self._is_lead = True
        self._heads: tuple[Member, ...] = ()
        self._line_of_own: set[str] = set()
        self._lead = ""
        self._is_outdated = True
        self._changed = anyio.Event()
        members.table.subscribe(self._note_member)
        members.on_position(lambda _host, _position: self._note_heard())

    @property
    def is_feeder(self) -> bool:
        """Whether this daemon reads the store."""
        return self._is_feeder

    @property
    def is_lead(self) -> bool:
        """Whether this daemon is the one that asks the store often."""
        return self._is_feeder and self._is_lead

    @property
    def lead(self) -> Member | None:
        """The daemon that asks the store often, `None` where none is known."""
        return self._members.table.find(self._lead)

    @property
    def is_alone(self) -> bool:
        """Whether no other daemon has been heard of for a while."""
        return self._is_alone()

    @property
    def is_relieved(self) -> bool:
        """Whether another daemon, which the store serves, reads it for this failure domain."""
        own = self._members.table.own
        return any(m.domain == own.domain and m.host != own.host for m in self._heads)

    @property
    def changed(self) -> anyio.Event:
        """Set with the next change of what this daemon is to do."""
        return self._changed

    def _note_member(self, _before: Member | None, _now: Member) -> None:
        self._is_outdated = True

    def _note_heard(self) -> None:
        self._heard_at = self._timers.now()

    async def wait_until_feeder(self) -> None:
        """Return once this daemon is to read the store."""
        while not self._is_feeder:
            await self._changed.wait()

    def note_store(self, *, is_served: bool) -> None:
        """The store has answered this daemon, or turned it away."""
        table = self._members.table
        if table.own.has_store_access != is_served:
            table.set_store_access(is_served)
            self._members.flush()

    def audience(self) -> list[Member]:
        """The daemons that this one passes new versions on to."""
        own = self._members.table.own
        return [m for m in self._members.table.others() if m.domain == own.domain]

    def other_heads(self) -> list[Member]:
        """The daemons that read the store for the other failure domains."""
        own = self._members.table.own
        return [member for member in self._heads if member.domain != own.domain]

    async def run(self) -> None:
        """Look again and again who is there, for ever."""
        async for _ in self._timers.ticks(_LOOK_EVERY):
            self.look()

    def look(self) -> None:
        """Decide anew."""
        before = (self._is_feeder, self._is_lead)
        is_alone = self._is_alone()
        if self._is_outdated:
            self._is_outdated = False
            self._choose()
        own = self._members.table.own
        self._is_feeder = is_alone or own.host in self._line_of_own
        self._is_lead = is_alone or own.host == self._lead
        if before != (self._is_feeder, self._is_lead):
            self._log.info(
                "feeder", reads_store=self._is_feeder, leads=self.is_lead, alone=is_alone
            )
            self._changed.set()
            self._changed = anyio.Event()

    def _is_alone(self) -> bool:
        return self._timers.now() - self._heard_at > _ALONE_AFTER

    def _choose(self) -> None:
        """Who reads the store, for each failure domain, and who of these leads."""
        table = self._members.table
        domains: dict[str, list[Member]] = {table.own.domain: []}
        for member in table.present():
            if _is_sound(member):
                domains.setdefault(member.domain, []).append(member)
        heads = {domain: _heads_of(members) for domain, members in domains.items()}
        self._line_of_own = {member.host for member in heads[table.own.domain]}
        self._heads = tuple(each[-1] for each in heads.values() if each)
        served = [member for member in self._heads if member.has_store_access]
        line = _in_line(served or self._heads)
        self._lead = line[0].host if line else ""


def _in_line(members: Sequence[Member]) -> list[Member]:
    return sorted(rendezvous(_PURPOSE, members, count=len(members)), key=_thinness)


def _heads_of(members: Sequence[Member]) -> tuple[Member, ...]:
    """The first in line, and the first that the store serves where that is another one."""
    line = _in_line(members)
    served = next((member for member in line if member.has_store_access), None)
    if not line or served is None or served is line[0]:
        return tuple(line[:1])
    return (line[0], served)


def _thinness(member: Member) -> int:
    """Hosts with the widest links come first, in steps of a factor of two.

    A feeder reads every version whole: four versions of 250 KB take 3.2 s on a link of 2.5 Mbit/s
    and 0.2 s on one of 50.
    """
    return -int(member.link_mbps).bit_length()


def _is_sound(member: Member) -> bool:
    return member.state == MemberState.ALIVE
