"""Passes news on to random members until most have it."""

from __future__ import annotations

import heapq
import math
import random
from typing import Final

from acaciayard_timers import TimerService
from acaciayard_wire import ControlPort

from ._member import Member
from ._messages import Gossip
from ._table import MemberTable

__all__ = ["GossipQueue", "GossipSender"]

#: Times that a piece of news is passed on, per power of ten of the members.
_REPEATS_PER_DECADE: Final = 4
#: Bytes of news in one datagram.
_DATAGRAM_BYTES: Final = 1200
#: Pieces of news in one datagram.
_MOST_ITEMS: Final = 24
#: Seconds between two rounds while there is news.
_ROUND: Final = 0.2
#: Members that are told in one round.
_FAN_OUT: Final = 3


class GossipQueue:
    """News that is still to be passed on, what was passed on least first."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._left: dict[str, int] = {}
        table.subscribe(self._take)

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to pass on."""
        return not self._left

    def _take(self, _before: Member | None, now: Member) -> None:
        decades = max(1, math.ceil(math.log10(self._table.present_count + 1)))
        self._left[now.host] = _REPEATS_PER_DECADE * decades

    def heard(self, packed: bytes) -> None:
        """Another daemon has told what is known here: so far is the news already."""
        host = self._table.host_of(packed)
        if host is not None and host in self._left:
            self._spend(host)

    def _spend(self, host: str) -> None:
        """Count a piece of news as passed on once more."""
        self._left[host] -= 1
        if self._left[host] <= 0:
            del self._left[host]

    def next_updates(self, room: int = _DATAGRAM_BYTES) -> list[bytes]:
        """Packed news for one datagram; each item counts as passed on once more."""
        chosen: list[bytes] = []
        for host in heapq.nlargest(_MOST_ITEMS, self._left, key=self._left.__getitem__):
            if self._table.find(host) is None:
                del self._left[host]
                continue
            packed = self._table.packed(host)
            if len(packed) > room:
                break
            room -= len(packed)
            chosen.append(packed)
            self._spend(host)
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

    def flush(self) -> None:
        """Send news now, to more members than a round does; for a daemon about to leave."""
        self._send_round(fan_out=_FAN_OUT * 4)

    def _send_round(self, fan_out: int = _FAN_OUT) -> None:
        others = list(self._table.others())
        for member in self._seed.sample(others, min(fan_out, len(others))):
            updates = self._queue.next_updates()
            if updates:
                self._port.send_datagram(Gossip(updates), member.control)
