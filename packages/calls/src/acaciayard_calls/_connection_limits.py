"""Limits on the connections of callers, together for a process."""

from __future__ import annotations

from typing import Final

from attrs import frozen

from acaciayard_wire import memory_shares

__all__ = ["ConnectionLimits", "connection_limits"]

#: Memory, in megabytes, of a process whose settings do not say how much it may use.
_MEMORY_MB: Final = 300.0
#: Descriptors of a process whose settings do not say how many it may have open.
_DESCRIPTORS: Final = 4096
#: Share of the descriptors for connections of callers.
_CONNECTIONS_SHARE: Final = 0.6
#: Largest number of connections that the kernel accepts ahead of the process, and its share of the
#: descriptors: so many come at once, before connections are closed for them.
_MAX_BACKLOG: Final = 512
_BACKLOG_SHARE: Final = 0.125


@frozen
class ConnectionLimits:
    """Limits on the connections of callers, together for a process."""

    #: Bytes that they may hold: received and not read, written and not sent, and those of pipelined
    #: requests that wait for their turn.
    held_bytes: int = memory_shares(_MEMORY_MB).connections
    #: Number of connections.
    count: int = int(_DESCRIPTORS * _CONNECTIONS_SHARE)
    #: Number of connections that the kernel accepts ahead of the process.
    backlog: int = _MAX_BACKLOG


def connection_limits(*, memory_mb: float, max_descriptors: int) -> ConnectionLimits:
    """Return the limits in a process with that much memory and so many descriptors.

    The rest of the descriptors is for files, targets, other daemons and the store.
    """
    return ConnectionLimits(
        held_bytes=memory_shares(memory_mb).connections,
        count=max(1, int(max_descriptors * _CONNECTIONS_SHARE)),
        backlog=max(1, min(_MAX_BACKLOG, int(max_descriptors * _BACKLOG_SHARE))),
    )
