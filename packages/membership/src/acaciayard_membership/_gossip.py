"""Gossip: passes updates of members on to random members until most have received them."""

from __future__ import annotations

import heapq
import math
import random
from typing import Final

from attrs import define

from acaciayard_timers import TimerService
from acaciayard_wire import ControlPort

from ._member import Member
from ._messages import Gossip
from ._table import MemberTable

__all__ = ["GossipQueue", "GossipSender"]

#: Transmissions of an update inside the own failure domain, per power of ten of its members.
_TRANSMISSIONS_PER_DECADE: Final = 4
#: Transmissions of an update to each other failure domain, by all members of a domain together.
#: Traffic between domains dominates the cost of a large mesh.  On a modelled network of 195 hosts
#: in six domains an update takes 12 KB between domains and reaches all hosts after 1.0 s (median of
#: 40 changes); with receivers chosen at random over all domains it took 132 KB and 0.75 s.
_TRANSMISSIONS_PER_DOMAIN: Final = 2
#: Minimum of transmissions to other domains by the daemon at which an update originates.
_MIN_ORIGIN_TRANSMISSIONS: Final = 3
#: Bytes of updates in one datagram.
_DATAGRAM_BYTES: Final = 1200
#: Bytes of the largest update that is sent, in a datagram of its own if it exceeds the above.
#: Larger ones are left to the exchanges of whole tables: datagrams of many fragments get lost.
_MAX_UPDATE_BYTES: Final = 8 * 1024
#: Updates in one datagram.
_MAX_UPDATES: Final = 24
#: Seconds between two rounds.
_ROUND_PERIOD: Final = 0.2
#: Members of the own failure domain that one round sends to.
_FAN_OUT: Final = 3
#: Members of the own failure domain that a flush sends to.
_FLUSH_FAN_OUT: Final = 12
#: Members of other failure domains that one round sends to.
_REMOTE_FAN_OUT: Final = 2


@define
class _Remaining:
    """Remaining transmissions of one update."""

    #: To members of the own failure domain.
    local: int
    #: To members of other failure domains.
    remote: int


class GossipQueue:
    """Updates to pass on; those with the most remaining transmissions go first."""

    def __init__(self, table: MemberTable, seed: random.Random) -> None:
        self._table = table
        self._seed = seed
        self._remaining: dict[str, _Remaining] = {}
        table.subscribe(self._enqueue)

    @property
    def is_empty(self) -> bool:
        """Whether no update is pending."""
        return not self._remaining

    @property
    def has_remote(self) -> bool:
        """Whether an update is pending for other failure domains."""
        return any(remaining.remote > 0 for remaining in self._remaining.values())

    def _enqueue(self, before: Member | None, now: Member) -> None:
        own = self._table.own
        members = max(1, self._table.count_in(own.domain))
        other_domains = self._table.domain_count - (self._table.count_in(own.domain) > 0)
        decades = max(1, math.ceil(math.log10(members + 1)))
        local = _TRANSMISSIONS_PER_DECADE * decades if members > 1 else 0
        remote = self._round_at_random(_TRANSMISSIONS_PER_DOMAIN * other_domains / members)
        is_origin = now.host == own.host
        if other_domains and (is_origin or (before is not None and now.state != before.state)):
            remote = max(remote, _MIN_ORIGIN_TRANSMISSIONS)
        self._remaining.pop(now.host, None)
        is_sendable = len(self._table.packed(now.host)) <= _MAX_UPDATE_BYTES
        if is_sendable and (local or remote):
            self._remaining[now.host] = _Remaining(local, remote)

    def _round_at_random(self, value: float) -> int:
        """Round `value` up or down at random, so that the mean over all members is exact."""
        return int(value) + (self._seed.random() < value % 1)

    def clear(self) -> None:
        """Drop all pending updates."""
        self._remaining.clear()

    def note_received(self, packed: bytes) -> None:
        """Note that another daemon sent a record that is known here.

        The update has spread that far already, so it counts as passed on once.
        """
        host = self._table.host_of(packed)
        if host is not None and host in self._remaining:
            self._count_transmission(host, is_local=True)

    def _count_transmission(self, host: str, *, is_local: bool) -> None:
        """Count one transmission of the update of `host`."""
        remaining = self._remaining[host]
        if is_local:
            remaining.local -= 1
        else:
            remaining.remote -= 1
        if remaining.local <= 0 and remaining.remote <= 0:
            del self._remaining[host]

    def next_updates(self, to: Member | None, room: int = _DATAGRAM_BYTES) -> list[bytes]:
        """Packed updates for one datagram; each of them counts as passed on once more.

        An update that does not fit is left for a later datagram, and does not hold up the others.
        One that fits into none is sent alone.  An unknown receiver (`None`) is treated as one in
        another failure domain.
        """
        is_local = to is not None and to.domain == self._table.own.domain
        remaining = {h: c.local if is_local else c.remote for h, c in self._remaining.items()}
        chosen: list[bytes] = []
        for host in heapq.nlargest(_MAX_UPDATES, remaining, key=remaining.__getitem__):
            if self._table.find(host) is None:
                del self._remaining[host]
                continue
            packed = self._table.packed(host)
            if remaining[host] <= 0:
                break
            is_alone = len(packed) > _DATAGRAM_BYTES and room == _DATAGRAM_BYTES
            if len(packed) > room and not is_alone:
                continue
            room -= len(packed)
            chosen.append(packed)
            self._count_transmission(host, is_local=is_local)
            if is_alone:
                break
        return chosen


class GossipSender:
    """Sends updates in gossip rounds, in addition to those piggybacked on probes."""

    def __init__(
        self,
        *,
        queue: GossipQueue,
        table: MemberTable,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
    ) -> None:
        self._queue = queue
        self._table = table
        self._port = port
        self._timers = timers
        self._seed = seed

    async def run(self) -> None:
        """Send in rounds until cancelled; a round without pending updates sends nothing."""
        async for _ in self._timers.ticks(_ROUND_PERIOD, jitter=0.2, seed=self._seed):
            if not self._queue.is_empty:
                self._send_round()

    def forget(self) -> None:
        """Drop all pending updates."""
        self._queue.clear()

    def flush(self) -> None:
        """Send updates now, to more members than a round does.

        Used before this process exits, so that its last update spreads.
        """
        self._send_round(local=_FLUSH_FAN_OUT, remote=_REMOTE_FAN_OUT * 2)

    def _send_round(self, *, local: int = _FAN_OUT, remote: int = _REMOTE_FAN_OUT) -> None:
        peers = self._table.peers_by_domain()
        chosen = self._seed.sample(peers.local, min(local, len(peers.local)))
        if self._queue.has_remote:
            others = (peers.choose_remote(self._seed) for _ in range(remote))
            chosen.extend(member for member in others if member is not None)
        for member in chosen:
            updates = self._queue.next_updates(member)
            if updates:
                self._port.send_datagram(Gossip(updates), member.control)
