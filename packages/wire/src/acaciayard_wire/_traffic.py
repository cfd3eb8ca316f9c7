"""Counts the bytes sent and received on sockets, by purpose."""

from __future__ import annotations

from enum import Enum
from typing import Final

from attrs import define, frozen

__all__ = ["PeerTraffic", "Purpose", "Traffic", "TrafficCounter", "TrafficTotals"]

#: Maximum of pairs of peer and purpose with a counter of their own; further peers share one.
_MAX_PEERS: Final = 4096
_OTHER_PEERS: Final = "others"


class Purpose(Enum):
    """What a socket carries."""

    #: `Enum.__hash__` is Python code, and a member is looked up for every chunk that is read.
    __hash__ = object.__hash__

    #: Probes, gossip and exchanges of member tables.
    MEMBERSHIP = "membership"
    #: Configuration records and snapshots between daemons.
    SPREAD = "spread"
    #: Requests to the log service and their answers.
    LOG = "log"
    #: Claims of idempotency keys.
    CLAIMS = "claims"
    #: Calls of callers; not control traffic.
    CALLS = "calls"


@frozen
class TrafficTotals:
    """Snapshot of the byte counters of one purpose."""

    #: Bytes written to sockets.
    sent: int
    #: Bytes read from sockets.
    received: int


@frozen
class PeerTraffic:
    """Control bytes exchanged with one peer for one purpose."""

    #: IP address of the peer, or `"others"` for peers without a counter of their own.
    peer: str
    #: Purpose of the traffic.
    purpose: Purpose
    #: Bytes sent and received.
    count: int


@define
class TrafficCounter:
    """Byte counters of one purpose; streams may update them directly."""

    #: Bytes written to sockets.
    sent: int = 0
    #: Bytes read from sockets.
    received: int = 0


class Traffic:
    """The byte counters of one daemon.

    Only payload is counted, without the headers of TCP, UDP and the layers below.
    """

    def __init__(self) -> None:
        self._counters = {purpose: TrafficCounter() for purpose in Purpose}
        self._peers: dict[tuple[str, Purpose], int] = {}

    def counter(self, purpose: Purpose) -> TrafficCounter:
        """The counter of a purpose, to be updated directly where peers are not counted."""
        return self._counters[purpose]

    def sent(self, purpose: Purpose, count: int, peer: str = "") -> None:
        """Add `count` bytes written to a socket; `peer` is the IP address, if known."""
        self._counters[purpose].sent += count
        if peer and purpose is not Purpose.CALLS:
            self._count_peer(purpose, count, peer)

    def received(self, purpose: Purpose, count: int, peer: str = "") -> None:
        """Add `count` bytes read from a socket; `peer` is the IP address, if known."""
        self._counters[purpose].received += count
        if peer and purpose is not Purpose.CALLS:
            self._count_peer(purpose, count, peer)

    def _count_peer(self, purpose: Purpose, count: int, peer: str) -> None:
        key = (peer, purpose)
        if key not in self._peers and len(self._peers) >= _MAX_PEERS:
            key = (_OTHER_PEERS, purpose)
        self._peers[key] = self._peers.get(key, 0) + count

    def busiest_peers(self, count: int) -> list[PeerTraffic]:
        """The `count` pairs of peer and purpose with the most control bytes, largest first."""
        ordered = sorted(self._peers.items(), key=lambda item: item[1], reverse=True)
        return [PeerTraffic(peer, purpose, size) for (peer, purpose), size in ordered[:count]]

    def totals(self) -> dict[Purpose, TrafficTotals]:
        """Current values of all counters."""
        return {
            purpose: TrafficTotals(sent=counter.sent, received=counter.received)
            for purpose, counter in self._counters.items()
        }

    def control_bytes(self) -> int:
        """Bytes in both directions for all purposes except calls."""
        return sum(
            counter.sent + counter.received
            for purpose, counter in self._counters.items()
            if purpose is not Purpose.CALLS
        )
