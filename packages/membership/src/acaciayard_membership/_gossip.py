"""Passes news on to random members until most have it."""

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

#: Times that a piece of news is passed on inside a failure domain, per power of ten of its members.
_REPEATS_PER_DECADE: Final = 4
#: Times that all members of a failure domain together pass a piece of news on to each other domain.
#: Bytes between domains are what a large mesh pays for: among 195 hosts in six domains a piece took
#: 132 KB between them when members were told at random, and takes 12 KB; all know it after 1.0 s in
#: the middle of 40 changes, 0.75 before (modelled network).
_COPIES_PER_DOMAIN: Final = 2
#: Times that the daemon with which a piece of news begins passes it on to other domains at least.
_FIRST_COPIES: Final = 3
#: Bytes of news in one datagram.
_DATAGRAM_BYTES: Final = 1200
#: Pieces of news in one datagram.
_MOST_ITEMS: Final = 24
#: Seconds between two rounds while there is news.
_ROUND: Final = 0.2
#: Members of the own failure domain that are told in one round, and in a flush.
_FAN_OUT: Final = 3
_FLUSHED: Final = 12
#: Members of other failure domains that are told in one round.
_FAR_FAN_OUT: Final = 2


@define
class _Copies:
    """How often a piece of news is still to be passed on."""

    #: Inside the own failure domain.
    near: int
    #: To other failure domains.
    far: int


class GossipQueue:
    """News that is still to be passed on, what was passed on least first."""

    def __init__(self, table: MemberTable, seed: random.Random) -> None:
        self._table = table
        self._seed = seed
        self._left: dict[str, _Copies] = {}
        table.subscribe(self._take)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to pass on."""
        return not self._left

    @property
    def has_far(self) -> bool:
        """Whether there is anything to pass on to other failure domains."""
        return any(copies.far > 0 for copies in self._left.values())

    def _take(self, before: Member | None, now: Member) -> None:
        own = self._table.own
        members = max(1, self._table.count_in(own.domain))
        other_domains = self._table.domain_count - (self._table.count_in(own.domain) > 0)
        decades = max(1, math.ceil(math.log10(members + 1)))
        near = _REPEATS_PER_DECADE * decades if members > 1 else 0
        far = self._share(_COPIES_PER_DOMAIN * other_domains / members)
        is_first = now.host == own.host
        if other_domains and (is_first or (before is not None and now.state != before.state)):
            far = max(far, _FIRST_COPIES)
        self._left.pop(now.host, None)
        if near or far:
            self._left[now.host] = _Copies(near, far)

    def _share(self, copies: float) -> int:
        """A whole number whose mean is `copies`, so that all members together make the whole."""
        return int(copies) + (self._seed.random() < copies % 1)

    def clear(self) -> None:
        """Pass nothing more on of what is known by now."""
        self._left.clear()

    def heard(self, packed: bytes) -> None:
        """Another daemon has told what is known here: so far is the news already."""
        host = self._table.host_of(packed)
        if host is not None and host in self._left:
            self._spend(host, is_near=True)

    def _spend(self, host: str, *, is_near: bool) -> None:
        """Count a piece of news as passed on once more."""
        copies = self._left[host]
        if is_near:
            copies.near -= 1
        else:
            copies.far -= 1
        if copies.near <= 0 and copies.far <= 0:
            del self._left[host]

    def next_updates(self, to: Member | None, room: int = _DATAGRAM_BYTES) -> list[bytes]:
        """Packed news for one datagram; each item counts as passed on once more.

        For a receiver that is not known, as for one in another failure domain.
        """
        is_near = to is not None and to.domain == self._table.own.domain
        left = {h: c.near if is_near else c.far for h, c in self._left.items()}
        chosen: list[bytes] = []
        for host in heapq.nlargest(_MOST_ITEMS, left, key=left.__getitem__):
            if self._table.find(host) is None:
                del self._left[host]
                continue
            packed = self._table.packed(host)
            if left[host] <= 0 or len(packed) > room:
                break
            room -= len(packed)
            chosen.append(packed)
            self._spend(host, is_near=is_near)
        return chosen


class GossipSender:
    """Sends news in rounds of its own, beyond what rides on probes."""

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
        """Send for ever; rounds without news send nothing."""
        async for _ in self._timers.ticks(_ROUND, jitter=0.2, seed=self._seed):
            if not self._queue.is_empty:
                self._send_round()

    def forget(self) -> None:
        """Pass nothing more on of what is known by now."""
        self._queue.clear()

    def flush(self) -> None:
        """Send news now, to more members than a round does; for what must outlive this process."""
        self._send_round(near=_FLUSHED, far=_FAR_FAN_OUT * 2)

    def _send_round(self, *, near: int = _FAN_OUT, far: int = _FAR_FAN_OUT) -> None:
        there = self._table.neighbourhood()
        chosen = self._seed.sample(there.near, min(near, len(there.near)))
        if self._queue.has_far:
            others = (there.choose_far(self._seed) for _ in range(far))
            chosen.extend(member for member in others if member is not None)
        for member in chosen:
            updates = self._queue.next_updates(member)
            if updates:
                self._port.send_datagram(Gossip(updates), member.control)
