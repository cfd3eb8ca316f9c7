"""Counts the bytes that pass the sockets, by purpose."""

from __future__ import annotations

from enum import Enum

from attrs import define, frozen

__all__ = ["Purpose", "Traffic", "TrafficTotals"]


class Purpose(Enum):
    """What a socket carries."""

    #: Probes, gossip and exchanges of members.
    MEMBERSHIP = "membership"
    #: Configuration records and snapshots between daemons.
    SPREAD = "spread"
    #: Requests to the log service and their answers.
    LOG = "log"
    #: Claims of idempotency keys.
    CLAIMS = "claims"
    #: Callers' calls; not control traffic.
    CALLS = "calls"


@frozen
class TrafficTotals:
    """Bytes counted so far for one purpose."""

    #: Bytes handed to sockets.
    sent: int
    #: Bytes taken from sockets.
    received: int


@define
class _Counter:
    sent: int = 0
    received: int = 0


class Traffic:
    """The counters of one daemon.

    Headers of the network below are not counted: a TCP byte is a byte of payload.
    """

    def __init__(self) -> None:
        self._counters = {purpose: _Counter() for purpose in Purpose}

    def sent(self, purpose: Purpose, count: int) -> None:
        """Add `count` bytes that were handed to a socket."""
        self._counters[purpose].sent += count

    def received(self, purpose: Purpose, count: int) -> None:
        """Add `count` bytes that were taken from a socket."""
        self._counters[purpose].received += count

    def totals(self) -> dict[Purpose, TrafficTotals]:
        """All counters as they stand."""
        return {
            purpose: TrafficTotals(sent=counter.sent, received=counter.received)
            for purpose, counter in self._counters.items()
        }

    def control_bytes(self) -> int:
        """Bytes in both directions for everything but callers' calls."""
        return sum(
            counter.sent + counter.received
            for purpose, counter in self._counters.items()
            if purpose is not Purpose.CALLS
        )
