"""The table of all members that a daemon knows of."""

from __future__ import annotations

import hashlib
import random
import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Final

from attrs import define, frozen

from acaciayard_timers import TimerService
from acaciayard_wire import MessageError

from ._member import Member, MemberState, Suspicion, TargetInfo
from ._messages import MEMBER_CODEC

__all__ = ["BUCKETS", "MemberTable", "Neighbourhood"]

#: Buckets into which members are sorted for exchanges.
BUCKETS: Final = 64
#: Seconds for which a failed or departed member is remembered, so that old news of it stays old.
_REMEMBERED_FOR: Final = 600.0


@define
class _Entry:
    member: Member
    packed: bytes
    digest: int
    #: When the present state was learnt, by the timer service.
    since: float


@frozen
class Neighbourhood:
    """The other members as seen from one failure domain."""

    #: Members in the own failure domain.
    near: tuple[Member, ...]
    #: Members of each other failure domain that has any.
    far: tuple[tuple[Member, ...], ...]

    def choose_far(self, seed: random.Random) -> Member | None:
        """A member of another failure domain, each domain being as likely; `None` without one."""
        return seed.choice(seed.choice(self.far)) if self.far else None


def _bucket_of(host: str) -> int:
    return zlib.crc32(host.encode()) % BUCKETS


class MemberTable:
    """Merges records of members; the newest of each wins.

    Listeners are told every change, in order: the record before (or `None`) and the one now.

    Example:

        table.merge(packed)         # True when it was news
        table.present()             # members that count as running
    """

    def __init__(self, own: Member, timers: TimerService) -> None:
        self._timers = timers
        self._started = timers.now()
        self._entries: dict[str, _Entry] = {}
        self._digests = [0] * BUCKETS
        self._known: dict[bytes, str] = {}
        self._present_count = 0
        self._listeners: list[Callable[[Member | None, Member], None]] = []
        self._past_listeners: list[Callable[[Member], None]] = []
        self._own_host = own.host
        self._present: tuple[Member, ...] | None = None
        self._neighbourhood: Neighbourhood | None = None
        self._domains: Counter[str] = Counter()
        self._store(own, MEMBER_CODEC.encode(own))

    # --- reading ------------------------------------------------------------------------------

    @property
    def own(self) -> Member:
        """The record of this daemon."""
        return self._entries[self._own_host].member

    def find(self, host: str) -> Member | None:
        """The record of a host, or `None`."""
        entry = self._entries.get(host)
        return entry.member if entry is not None else None

    def present(self) -> tuple[Member, ...]:
        """Members that count as running, this daemon included, by host."""
        if self._present is None:
            members = (entry.member for entry in self._entries.values())
            present = (member for member in members if member.is_present)
            self._present = tuple(sorted(present, key=lambda member: member.host))
        return self._present

    @property
    def present_count(self) -> int:
        """How many members count as running, this daemon included."""
        return self._present_count

    def host_of(self, packed: bytes) -> str | None:
        """The host whose present record is `packed`, `None` when it is no present record."""
        return self._known.get(packed)

    def others(self) -> Iterator[Member]:
        """Members that count as running, without this daemon."""
        return (member for member in self.present() if member.host != self._own_host)

    @property
    def domain_count(self) -> int:
        """Failure domains that have members that count as running."""
        return len(self._domains)

    def count_in(self, domain: str) -> int:
        """How many members of a failure domain count as running."""
        return self._domains[domain]

    def neighbourhood(self) -> Neighbourhood:
        """The other members that count as running, parted by failure domain."""
        if self._neighbourhood is None:
            domains: dict[str, list[Member]] = {}
            for member in self.others():
                domains.setdefault(member.domain, []).append(member)
            near = domains.pop(self.own.domain, [])
            self._neighbourhood = Neighbourhood(tuple(near), tuple(map(tuple, domains.values())))
        return self._neighbourhood

    def lost(self) -> tuple[Member, ...]:
        """Members that count as failed."""
        entries = self._entries.values()
        return tuple(e.member for e in entries if e.member.state == MemberState.DEAD)

    def lost_since(self, when: float) -> tuple[Member, ...]:
        """Members that have been taken for failed since `when`."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.state == MemberState.DEAD and entry.since >= when
        )

    def gone_since(self, when: float) -> tuple[Member, ...]:
        """Members that have failed or left since `when`; a daemon that was restarted is among them.

        Where the platform's store is out, a restarted daemon knows nobody and cannot ask.
        """
        return tuple(
            entry.member
            for entry in self._entries.values()
            if not entry.member.is_present and entry.since >= when
        )

    def digests(self) -> list[int]:
        """One number per bucket; equal numbers mean equal records."""
        return list(self._digests)

    @property
    def summary(self) -> int:
        """One number for all that is known; equal numbers mean equal records."""
        whole = 0
        for digest in self._digests:
            whole ^= digest
        return whole

    def packed_in(self, buckets: Iterable[int]) -> list[bytes]:
        """Packed records in some buckets."""
        wanted = set(buckets)
        return [e.packed for host, e in self._entries.items() if _bucket_of(host) in wanted]

    def packed(self, host: str) -> bytes:
        """The packed record of a host that is known."""
        return self._entries[host].packed

    # --- changing -----------------------------------------------------------------------------

    def subscribe(self, listener: Callable[[Member | None, Member], None]) -> None:
        """Call `listener` with every change from now on."""
        self._listeners.append(listener)

    def on_own_past(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with records of this host from before its start, as others have them.

        What a daemon promised before it was restarted is known only to the others.
        """
        self._past_listeners.append(listener)

    def merge(self, packed: bytes) -> bool:
        """Take a record that came from elsewhere; true when it was news."""
        if packed in self._known:
            return False
        try:
            member = MEMBER_CODEC.decode(packed)
        except MessageError:
            return False
        assert isinstance(member, Member)
        if member.host == self._own_host:
            return self._refute(member)
        entry = self._entries.get(member.host)
        if entry is not None and entry.member.age >= member.age:
            return False
        if entry is None and not member.is_present and self._remembers_all():
            return False
        self._store(member, packed)
        return True

    def _remembers_all(self) -> bool:
        """Whether a gone member that is unknown here must have been forgotten on purpose."""
        return self._timers.now() - self._started > _REMEMBERED_FOR

    def _refute(self, rumour: Member) -> bool:
        """Answer a record of this daemon that it did not make by a newer one."""
        own = self.own
        if rumour.incarnation < own.incarnation:
            for listener in self._past_listeners:
                listener(rumour)
        if rumour.age <= own.age:
            return False
        self._change_own(
            own.with_changes(
                incarnation=max(own.incarnation, rumour.incarnation),
                sequence=max(own.sequence, rumour.sequence) + 1,
            )
        )
        return True

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Tell the others of a change of the targets on this host."""
        if targets != self.own.targets:
            own = self.own
            self._change_own(own.with_changes(targets=targets, sequence=own.sequence + 1))

    def set_fed(self, is_fed: bool) -> None:
        """Tell the others whether the platform's store answers this daemon."""
        own = self.own
        self._change_own(own.with_changes(is_fed=is_fed, sequence=own.sequence + 1))

    def set_listed(self) -> None:
        """Tell the others that the platform's store says where this daemon can be met."""
        own = self.own
        if not own.is_listed:
            self._change_own(own.with_changes(is_listed=True, sequence=own.sequence + 1))

    def set_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Tell the others what was found out here of requests that end targets."""
        own = self.own
        if suspicions != own.suspicions:
            changed = own.with_changes(suspicions=suspicions, sequence=own.sequence + 1)
            self._change_own(changed)

    def leave(self) -> None:
        """Tell the others that this daemon leaves."""
        own = self.own
        self._change_own(own.with_changes(state=MemberState.LEFT, sequence=own.sequence + 1))

    def believe(self, member: Member, state: MemberState) -> bool:
        """Change what is believed of a member, unless newer news has come; true when changed."""
        entry = self._entries.get(member.host)
        if entry is None or entry.member != member or state <= member.state:
            return False
        changed = member.with_changes(state=int(state))
        self._store(changed, MEMBER_CODEC.encode(changed))
        return True

    def forget_old(self) -> None:
        """Drop members that have been gone for long."""
        horizon = self._timers.now() - _REMEMBERED_FOR
        gone = [
            host
            for host, entry in self._entries.items()
            if not entry.member.is_present and entry.since < horizon and host != self._own_host
        ]
        for host in gone:
            self._remove(host)

    def _change_own(self, own: Member) -> None:
        self._store(own, MEMBER_CODEC.encode(own))

    def _remove(self, host: str) -> None:
        entry = self._entries.pop(host, None)
        if entry is not None:
            self._digests[_bucket_of(host)] ^= entry.digest
            self._known.pop(entry.packed, None)
            self._count(entry.member, -1)
            self._present = None
            self._neighbourhood = None

    def _count(self, member: Member, step: int) -> None:
        if member.is_present:
            self._present_count += step
            self._domains[member.domain] += step
            if not self._domains[member.domain]:
                del self._domains[member.domain]

    def _store(self, member: Member, packed: bytes) -> None:
        before = self.find(member.host)
        self._remove(member.host)
        digest = int.from_bytes(hashlib.blake2b(packed, digest_size=7).digest(), "big")
        self._entries[member.host] = _Entry(member, packed, digest, self._timers.now())
        self._digests[_bucket_of(member.host)] ^= digest
        self._known[packed] = member.host
        self._count(member, 1)
        self._present = None
        self._neighbourhood = None
        for listener in self._listeners:
            listener(before, member)
