"""Limits on the connections and the calls of callers, together for a process."""

from __future__ import annotations

from typing import Final

from attrs import define, frozen

from acaciayard_wire import memory_shares

__all__ = ["CallsInProgress", "ConnectionLimits", "connection_limits"]

#: Memory, in megabytes, of a process whose settings do not say how much it may use.
_MEMORY_MB: Final = 300.0
#: Descriptors of a process whose settings do not say how many it may have open.
_DESCRIPTORS: Final = 4096
#: Share of the descriptors for connections of callers.
_CONNECTIONS_SHARE: Final = 0.6
#: Share of the descriptors that gives the calls in progress, each of which may use two connections
#: to other daemons.
_CALLS_SHARE: Final = 0.125
#: Divisor of the calls in progress that gives those of connections that have others.
_FURTHER_CALLS_DIVISOR: Final = 2
#: Largest number of connections that the kernel accepts ahead of the process, and its share of the
#: descriptors: so many come at once, before connections are closed for them.
_MAX_BACKLOG: Final = 512
_BACKLOG_SHARE: Final = 0.125


@frozen
class ConnectionLimits:
    """Limits on the connections and the calls of callers, together for a process."""

    #: Bytes that they may hold: received and not read, written and not sent, and those of pipelined
    #: requests that wait for their turn.
    held_bytes: int = memory_shares(_MEMORY_MB).connections
    #: Number of connections.
    count: int = int(_DESCRIPTORS * _CONNECTIONS_SHARE)
    #: Number of connections that the kernel accepts ahead of the process.
    backlog: int = _MAX_BACKLOG
    #: Number of calls in progress.
    calls: int = int(_DESCRIPTORS * _CALLS_SHARE)


def connection_limits(*, memory_mb: float, max_descriptors: int) -> ConnectionLimits:
    """Return the limits in a process with that much memory and so many descriptors.

    The rest of the descriptors is for files, targets, other daemons and the store.
    """
    return ConnectionLimits(
        held_bytes=memory_shares(memory_mb).connections,
        count=max(1, int(max_descriptors * _CONNECTIONS_SHARE)),
        backlog=max(1, min(_MAX_BACKLOG, int(max_descriptors * _BACKLOG_SHARE))),
        calls=max(2, int(max_descriptors * _CALLS_SHARE)),
    )


@define
class CallsInProgress:
    """The calls that callers have in progress, and their limit.

    Callers that have further requests in progress, or sent ahead, leave half of it to others.

    Example:
        if calls.enter(is_further=False):
            try:
                ...
            finally:
                calls.leave()
    """

    #: Largest number of calls.
    limit: int
    #: Number of calls.
    count: int = 0

    def enter(self, *, is_further: bool) -> bool:
        """Count a call; return false, and do not, if there are as many as allowed."""
        limit = self.limit // _FURTHER_CALLS_DIVISOR if is_further else self.limit
        if self.count >= limit:
            return False
        self.count += 1
        return True

    def enter_nested(self) -> None:
        """Count a nested call, whose refusal would waste the work for its parent."""
        self.count += 1

    def leave(self) -> None:
        """Record that a call has ended."""
        self.count -= 1
