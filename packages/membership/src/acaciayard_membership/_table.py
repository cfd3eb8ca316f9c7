"""The table of all members that a daemon knows."""

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

from ._member import MAX_COUNT, Departure, Member, MemberState, Suspicion, TargetInfo
from ._messages import MEMBER_CODEC

__all__ = ["BUCKETS", "MemberTable", "PeersByDomain"]

#: Number of buckets into which hosts are hashed for exchanges.
BUCKETS: Final = 64
#: Seconds for which the record of a dead or departed member is kept, so that older records of it
#: that still circulate are recognised as outdated.
_ABSENT_RETENTION: Final = 600.0


@define
class _Entry:
    member: Member
    packed: bytes
    digest: int
    #: Time at which this record was stored, by the clock of the timer service.
    stored_at: float


@frozen
class PeersByDomain:
    """The other members that count as running, grouped by failure domain."""

    #: Members of the own failure domain.
    local: tuple[Member, ...]
    #: Members of each other failure domain.
    remote: tuple[tuple[Member, ...], ...]

    def choose_remote(self, seed: random.Random) -> Member | None:
        """A random member of another failure domain, or `None` when there is none.

        Each domain is equally likely.
        """
        return seed.choice(seed.choice(self.remote)) if self.remote else None


def _bucket_of(host: str) -> int:
    return zlib.crc32(host.encode()) % BUCKETS


class MemberTable:
    """Merges records of members; the newest record of each one wins.

    Listeners are called for every change, in order, with the previous record (or `None`) and the
    new one.

    Example:

        table.merge(packed)         # True if the record was new
        table.present()             # members that count as running
    """

    def __init__(self, own: Member, timers: TimerService) -> None:
        self._timers = timers
        self._started = timers.now()
        self._entries: dict[str, _Entry] = {}
        self._digests = [0] * BUCKETS
        self._hosts_by_record: dict[bytes, str] = {}
        self._present_count = 0
        self._expected_count = 0
        self._listeners: list[Callable[[Member | None, Member], None]] = []
        self._previous_incarnation_listeners: list[Callable[[Member], None]] = []
        self._own_host = own.host
        self._present: tuple[Member, ...] | None = None
        self._peers_by_domain: PeersByDomain | None = None
        self._domains: Counter[str] = Counter()
        self._store(own, MEMBER_CODEC.encode(own))

    # --- reading ------------------------------------------------------------------------------

    @property
    def own(self) -> Member:
        """The record of this daemon."""
        return self._entries[self._own_host].member

    def find(self, host: str) -> Member | None:
        """The record of a host, or `None` if it is unknown."""
        entry = self._entries.get(host)
        return entry.member if entry is not None else None

    def present(self) -> tuple[Member, ...]:
        """Members that count as running, this daemon included, sorted by host."""
        if self._present is None:
            members = (entry.member for entry in self._entries.values())
            present = (member for member in members if member.is_present)
            self._present = tuple(sorted(present, key=lambda member: member.host))
        return self._present

    @property
    def present_count(self) -> int:
        """Number of members that count as running, this daemon included."""
        return self._present_count

    @property
    def expected_count(self) -> int:
        """Number of members that run or may run, this daemon included.

        A member that counts as dead may only be out of reach, and one that has left does not run.
        """
        return self._expected_count

    def host_of(self, packed: bytes) -> str | None:
        """The host whose current record is `packed`, or `None` if it is no current record."""
        return self._hosts_by_record.get(packed)

    def others(self) -> Iterator[Member]:
        """Members that count as running, without this daemon."""
        return (member for member in self.present() if member.host != self._own_host)

    @property
    def domain_count(self) -> int:
        """Number of failure domains with members that count as running."""
        return len(self._domains)

    def count_in(self, domain: str) -> int:
        """Number of members of a failure domain that count as running."""
        return self._domains[domain]

    def peers_by_domain(self) -> PeersByDomain:
        """The other members that count as running, grouped by failure domain."""
        if self._peers_by_domain is None:
            domains: dict[str, list[Member]] = {}
            for member in self.others():
                domains.setdefault(member.domain, []).append(member)
            local = domains.pop(self.own.domain, [])
            self._peers_by_domain = PeersByDomain(tuple(local), tuple(map(tuple, domains.values())))
        return self._peers_by_domain

    def lost(self) -> tuple[Member, ...]:
        """Members whose state is dead."""
        entries = self._entries.values()
        return tuple(e.member for e in entries if e.member.state == MemberState.DEAD)

    def lost_since(self, when: float) -> tuple[Member, ...]:
        """Members whose state has become dead since `when`."""
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.member.state == MemberState.DEAD and entry.stored_at >= when
        )

    def absent_since(self, when: float) -> tuple[Member, ...]:
        """Members that have failed or left since `when`, daemons that are restarting included.

        While the platform's store is unavailable, a restarted daemon knows no other daemon and has
        no way to look one up.
        """
        return tuple(
            entry.member
            for entry in self._entries.values()
            if not entry.member.is_present and entry.stored_at >= when
        )

    def digests(self) -> list[int]:
        """One digest per bucket; equal digests mean equal records."""
        return list(self._digests)

    @property
    def summary(self) -> int:
        """Digest of the whole table; equal digests mean equal records."""
        combined = 0
        for digest in self._digests:
            combined ^= digest
        return combined

    def records_in(self, buckets: Iterable[int]) -> list[bytes]:
        """Packed records in the given buckets."""
        wanted_buckets = set(buckets)
        return [e.packed for host, e in self._entries.items() if _bucket_of(host) in wanted_buckets]

    def packed(self, host: str) -> bytes:
        """The packed record of a known host."""
        return self._entries[host].packed

    # --- changing -----------------------------------------------------------------------------

    def subscribe(self, listener: Callable[[Member | None, Member], None]) -> None:
        """Call `listener` with the previous and the new record of every change from now on."""
        self._listeners.append(listener)

    def on_previous_incarnation(self, listener: Callable[[Member], None]) -> None:
        """Call `listener` with records of this host's earlier incarnations that others still hold.

        After a restart, only the other daemons know what this one had published before.
        """
        self._previous_incarnation_listeners.append(listener)

    def merge(self, packed: bytes) -> bool:
        """Merge a packed record from another daemon; returns true if the table has changed."""
        if packed in self._hosts_by_record:
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
        if entry is None and not member.is_present and self._may_have_dropped():
            return False
        self._store(member, packed)
        return True

    def _may_have_dropped(self) -> bool:
        """Whether this daemon has run long enough for records of absent members to expire.

        An absent member that is unknown then has been dropped before, and is not stored again.
        """
        return self._timers.now() - self._started > _ABSENT_RETENTION

    def _refute(self, record: Member) -> bool:
        """Supersede a record of this daemon that it did not publish itself by a newer one."""
        own = self.own
        # An earlier incarnation may have the later number, if the clock has been set back since.
        if record.incarnation < own.incarnation or record.age > own.age:
            for listener in self._previous_incarnation_listeners:
                listener(record)
        if record.age <= own.age:
            return False
        incarnation = max(own.incarnation, record.incarnation)
        sequence = max(own.sequence, record.sequence)
        self._update_own(own.with_changes(incarnation=incarnation, sequence=sequence))
        return True

    def set_targets(self, targets: tuple[TargetInfo, ...]) -> None:
        """Publish the targets on this host if they have changed."""
        if targets != self.own.targets:
            self._update_own(self.own.with_changes(targets=targets))

    def set_departures(
        self, departures: tuple[Departure, ...], *, is_complete: bool = False
    ) -> None:
        """Publish which starts of targets on this host must not be sent calls again.

        `is_complete` tells whether they include what earlier processes on this host knew.
        """
        if (departures, is_complete) != (self.own.departures, self.own.knows_departures):
            self._update_own(
                self.own.with_changes(departures=departures, knows_departures=is_complete)
            )

    def set_store_access(self, has_store_access: bool) -> None:
        """Publish whether the platform's store answers this daemon."""
        self._update_own(self.own.with_changes(has_store_access=has_store_access))

    def set_listed(self) -> None:
        """Publish that the platform's store holds the address of this daemon."""
        if not self.own.is_listed:
            self._update_own(self.own.with_changes(is_listed=True))

    def set_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Publish this daemon's observations of requests that end targets."""
        if suspicions != self.own.suspicions:
            self._update_own(self.own.with_changes(suspicions=suspicions))

    def leave(self) -> None:
        """Publish that this daemon leaves."""
        self._update_own(self.own.with_changes(state=MemberState.LEFT))

    def set_state(self, member: Member, state: MemberState) -> bool:
        """Set the state of a member; returns true if it was changed.

        Nothing is changed if `member` is no longer the current record, or if `state` does not
        supersede its state.
        """
        entry = self._entries.get(member.host)
        if entry is None or entry.member != member or state <= member.state:
            return False
        changed = member.with_changes(state=int(state))
        self._store(changed, MEMBER_CODEC.encode(changed))
        return True

    def drop_expired(self) -> None:
        """Drop the records of members that have been absent for long enough."""
        oldest = self._timers.now() - _ABSENT_RETENTION
        expired = [
            host
            for host, entry in self._entries.items()
            if not entry.member.is_present and entry.stored_at < oldest and host != self._own_host
        ]
        for host in expired:
            self._remove(host)

    def _update_own(self, changed: Member) -> None:
        """Publish a changed record of this daemon with the next sequence number.

        A record of another writer may hold any number for this host.  After the last sequence
        number comes the next incarnation; after the last of both, the age stays as it is.
        """
        incarnation, sequence = changed.incarnation, changed.sequence + 1
        if sequence > MAX_COUNT:
            incarnation, sequence = incarnation + 1, 0
        if incarnation <= MAX_COUNT:
            changed = changed.with_changes(incarnation=incarnation, sequence=sequence)
        self._store(changed, MEMBER_CODEC.encode(changed))

    def _remove(self, host: str) -> None:
        entry = self._entries.pop(host, None)
        if entry is not None:
            self._digests[_bucket_of(host)] ^= entry.digest
            self._hosts_by_record.pop(entry.packed, None)
            self._count_live(entry.member, -1)
            self._present = None
            self._peers_by_domain = None

    def _count_live(self, member: Member, delta: int) -> None:
        if member.state != MemberState.LEFT:
            self._expected_count += delta
        if member.is_present:
            self._present_count += delta
            self._domains[member.domain] += delta
            if not self._domains[member.domain]:
                del self._domains[member.domain]

    def _store(self, member: Member, packed: bytes) -> None:
        before = self.find(member.host)
        self._remove(member.host)
        digest = int.from_bytes(hashlib.blake2b(packed, digest_size=7).digest(), "big")
        self._entries[member.host] = _Entry(member, packed, digest, self._timers.now())
        self._digests[_bucket_of(member.host)] ^= digest
        self._hosts_by_record[packed] = member.host
        self._count_live(member, 1)
        self._present = None
        self._peers_by_domain = None
        for listener in self._listeners:
            listener(before, member)
