"""Selects the feeders, the daemons that read the store: one per domain, and any isolated one."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import anyio
import structlog

from acaciayard_membership import Member, Membership, MemberState, rendezvous
from acaciayard_timers import TimerService

__all__ = ["Feeding"]

_PURPOSE: Final = "reads the store"
#: Seconds without contact to any other daemon after which a daemon reads the store for itself. Each
#: normally receives several messages a second; a host that is cut off from the others may still
#: reach the store.
_ISOLATED_AFTER: Final = 2.0
#: Seconds between two selections.
_SELECT_INTERVAL: Final = 0.25


class Feeding:
    """Decides whether this daemon reads the store for its failure domain.

    One of the feeders is the lead: it polls often, so that a read that an unresponsive store or a
    network partition has swallowed is noticed soon. Each of the others has one long poll pending,
    which the store answers at once when there are new records, and forwards the result to the
    feeders of the other domains.

    The selection is a function of the known members, so for a moment two daemons may both be
    feeders, which costs a few calls, or none may be, which the versions carried by every probe make
    up for within a second. A daemon that the store does not answer announces this in its member
    record, and the next candidate takes over; the first one keeps trying.
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
        self._own_candidates: set[str] = set()
        self._lead = ""
        self._needs_selection = True
        self._changed = anyio.Event()
        members.table.subscribe(self._note_member)
        members.on_position(lambda _host, _position: self._note_heard())

    @property
    def is_feeder(self) -> bool:
        """Whether this daemon reads the store."""
        return self._is_feeder

    @property
    def is_lead(self) -> bool:
        """Whether this daemon is the feeder that polls the store often."""
        return self._is_feeder and self._is_lead

    @property
    def lead(self) -> Member | None:
        """The feeder that polls the store often, `None` if none is known."""
        return self._members.table.find(self._lead)

    @property
    def is_alone(self) -> bool:
        """Whether no other daemon has been in contact for a while."""
        return self._is_alone()

    @property
    def is_relieved(self) -> bool:
        """Whether another daemon that the store serves reads it for this failure domain."""
        own = self._members.table.own
        return any(m.domain == own.domain and m.host != own.host for m in self._heads)

    @property
    def changed(self) -> anyio.Event:
        """Set at the next change of this daemon's role."""
        return self._changed

    def _note_member(self, _before: Member | None, _now: Member) -> None:
        self._needs_selection = True

    def _note_heard(self) -> None:
        self._heard_at = self._timers.now()

    async def wait_until_feeder(self) -> None:
        """Return once this daemon is to read the store."""
        while not self._is_feeder:
            await self._changed.wait()

    def note_store(self, *, is_served: bool) -> None:
        """Record whether the store answers this daemon, and announce a change to the members."""
        table = self._members.table
        if table.own.has_store_access != is_served:
            table.set_store_access(is_served)
            self._members.flush()

    def audience(self) -> list[Member]:
        """The daemons of the own failure domain, to which this one pushes new versions."""
        own = self._members.table.own
        return [m for m in self._members.table.others() if m.domain == own.domain]

    def other_heads(self) -> list[Member]:
        """The feeders of the other failure domains."""
        own = self._members.table.own
        return [member for member in self._heads if member.domain != own.domain]

    async def run(self) -> None:
        """Repeat the selection periodically; never returns."""
        async for _ in self._timers.ticks(_SELECT_INTERVAL):
            self.look()

    def look(self) -> None:
        """Redo the selection."""
        before = (self._is_feeder, self._is_lead)
        is_alone = self._is_alone()
        if self._needs_selection:
            self._needs_selection = False
            self._select()
        own = self._members.table.own
        self._is_feeder = is_alone or own.host in self._own_candidates
        self._is_lead = is_alone or own.host == self._lead
        if before != (self._is_feeder, self._is_lead):
            self._log.info(
                "feeder", reads_store=self._is_feeder, leads=self.is_lead, alone=is_alone
            )
            self._changed.set()
            self._changed = anyio.Event()

    def _is_alone(self) -> bool:
        return self._timers.now() - self._heard_at > _ISOLATED_AFTER

    def _select(self) -> None:
        """Choose the feeders of each failure domain, and the lead among them."""
        table = self._members.table
        domains: dict[str, list[Member]] = {table.own.domain: []}
        for member in table.present():
            if _is_alive(member):
                domains.setdefault(member.domain, []).append(member)
        heads = {domain: _select_heads(members) for domain, members in domains.items()}
        self._own_candidates = {member.host for member in heads[table.own.domain]}
        self._heads = tuple(each[-1] for each in heads.values() if each)
        served = [member for member in self._heads if member.has_store_access]
        candidates = _rank(served or self._heads)
        self._lead = candidates[0].host if candidates else ""


def _rank(members: Sequence[Member]) -> list[Member]:
    return sorted(rendezvous(_PURPOSE, members, count=len(members)), key=_by_link_width)


def _select_heads(members: Sequence[Member]) -> tuple[Member, ...]:
    """Return the first candidate, and the first one that the store serves if it is another."""
    candidates = _rank(members)
    served = next((member for member in candidates if member.has_store_access), None)
    if not candidates or served is None or served is candidates[0]:
        return tuple(candidates[:1])
    return (candidates[0], served)


def _by_link_width(member: Member) -> int:
    """Sort key that puts hosts with the widest links first, in steps of a factor of two.

    A feeder receives each version whole: four versions of 250 KB take 3.2 s on a link of 2.5 Mbit/s
    and 0.2 s on one of 50.
    """
    return -int(member.link_mbps).bit_length()


def _is_alive(member: Member) -> bool:
    return member.state == MemberState.ALIVE
