"""Selects the feeders, the daemons that read the store: one per domain, and any isolated one."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

import anyio
import structlog

from acaciayard_membership import Member, Membership, MemberState, rendezvous
from acaciayard_timers import Signal, TimerService

__all__ = ["Feeding"]

_PURPOSE: Final = "reads the store"
#: Seconds without contact to any other daemon after which a daemon reads the store for itself. Each
#: normally receives several messages a second; a host that is cut off from the others may still
#: reach the store.
_ISOLATED_AFTER: Final = 2.0
#: Least number of daemons that watch whether the store answers the lead.
_MIN_WATCHERS: Final = 2
#: Seconds for which daemons that led or watched are still told of answers of the store.
_FORMER_SECONDS: Final = 3.0
#: Seconds between two selections.
_SELECT_INTERVAL: Final = 0.25


class Feeding:
    """Decides whether this daemon reads the store for its failure domain.

    One of the feeders is the lead: it polls often, so that a read that an unresponsive store or a
    network partition has swallowed is noticed soon. Each of the others has one long poll pending,
    which the store answers at once when there are new records, and forwards the result to the
    feeders of the other domains.

    Some daemons, the feeders among them, watch the lead (`StoreWatch`). A daemon that they have
    found to be served while the lead is not reads in its place as a substitute, until a lead is
    served.

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
        self._watchers: tuple[Member, ...] = ()
        #: When daemons that led or watched were last selected, by host.
        self._selected_at: dict[str, float] = {}
        self._selections = Signal()
        self._is_substitute = False
        self._roles = (True, True, False)
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
    def polls_often(self) -> bool:
        """Whether other daemons rely on the reads of this one: it leads, or is a substitute."""
        return self._is_feeder and (self._is_lead or self._is_substitute)

    @property
    def role(self) -> str:
        """Role in which this daemon reads the store, for logs and metrics."""
        if self._is_alone():
            return "alone"
        if self.is_lead:
            return "lead"
        if self._is_substitute:
            return "substitute"
        return "reader" if self._is_feeder else "other"

    @property
    def reader_count(self) -> int:
        """Number of failure domains with a daemon that reads the store."""
        return max(1, len(self._heads))

    @property
    def watchers(self) -> tuple[Member, ...]:
        """The daemons that watch whether the store answers the lead, in the order of their turns.

        The feeders of the other failure domains come first.
        """
        return self._watchers

    @property
    def lead(self) -> Member | None:
        """The feeder that polls the store often, `None` if none is known."""
        return self._members.table.find(self._lead)

    @property
    def is_alone(self) -> bool:
        """Whether no other daemon has been in contact for a while."""
        return self._is_alone()

    @property
    def heard_at(self) -> float:
        """When another daemon was heard last, on the clock of the timer service."""
        return self._heard_at

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
        if not is_served and self._is_substitute:
            self._is_substitute = False
            self.look()
        if table.own.has_store_access != is_served:
            table.set_store_access(is_served)
            self._members.flush()

    def audience(self) -> list[Member]:
        """The daemons of the own failure domain, to which this one pushes new versions."""
        own = self._members.table.own
        return [m for m in self._members.table.others() if m.domain == own.domain]

    @property
    def selections(self) -> Signal:
        """Notified with each selection."""
        return self._selections

    def watch_audience(self) -> list[Member]:
        """The other daemons that lead or watch, or did a moment ago."""
        own = self._members.table.own
        found = (self._members.table.find(host) for host in self._selected_at)
        return [m for m in found if m is not None and m.is_present and m.host != own.host]

    def other_heads(self) -> list[Member]:
        """The feeders of the other failure domains."""
        own = self._members.table.own
        return [member for member in self._heads if member.domain != own.domain]

    async def run(self) -> None:
        """Repeat the selection periodically; never returns."""
        async for _ in self._timers.ticks(_SELECT_INTERVAL):
            self.look()

    def substitute(self) -> None:
        """Read the store in place of a lead that it does not answer."""
        if not self.is_lead and not self._is_substitute:
            self._is_substitute = True
            self.look()

    def note_lead_served(self, host: str) -> None:
        """Record that the store has answered `host`; the lead needs no substitute then."""
        if self._is_substitute and host == self._lead:
            self._is_substitute = False
            self.look()

    def look(self) -> None:
        """Redo the selection."""
        is_alone = self._is_alone()
        has_selected = self._needs_selection
        if self._needs_selection:
            self._needs_selection = False
            self._select()
        now = self._timers.now()
        recent = {h: at for h, at in self._selected_at.items() if at >= now - _FORMER_SECONDS}
        selected = (self._lead, *(member.host for member in self._watchers))
        self._selected_at = recent | dict.fromkeys(selected, now)
        own = self._members.table.own
        self._is_lead = is_alone or own.host == self._lead
        self._is_substitute &= not self._is_lead
        self._is_feeder = is_alone or own.host in self._own_candidates or self._is_substitute
        roles = (self._is_feeder, self._is_lead, self._is_substitute)
        if self._roles != roles:
            self._roles = roles
            self._log.info(
                "feeder",
                reads_store=self._is_feeder,
                leads=self.is_lead,
                alone=is_alone,
                substitute=self._is_substitute or None,
            )
            self._changed.set()
            self._changed = anyio.Event()
        if has_selected:
            self._selections.notify()

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
        self._watchers = self._select_watchers(domains)

    def _select_watchers(self, domains: Mapping[str, Sequence[Member]]) -> tuple[Member, ...]:
        """The other feeders, and further daemons if these are few; other failure domains first."""
        chosen = [head for head in self._heads if head.host != self._lead]
        if len(chosen) < _MIN_WATCHERS:
            taken = {self._lead, *(member.host for member in chosen)}
            lead = self.lead
            others = [m for members in domains.values() for m in members if m.host not in taken]
            others = _rank([m for m in others if m.has_store_access] or others)
            others.sort(key=lambda member: lead is not None and member.domain == lead.domain)
            chosen.extend(others[: _MIN_WATCHERS - len(chosen)])
        return tuple(chosen)


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
