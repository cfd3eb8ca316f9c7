"""Limits on the connections of callers, together for a process."""

from __future__ import annotations

from typing import Final

from attrs import frozen

from acaciayard_wire import memory_shares

__all__ = ["ConnectionLimits"]

#: Memory, in megabytes, of a process whose settings do not say how much it may use.
_MEMORY_MB: Final = 300.0


@frozen
class ConnectionLimits:
    """Limits on the connections of callers, together for a process."""

    #: Bytes that they may hold: received and not read, written and not sent, and those of pipelined
    #: requests that wait for their turn.
    held_bytes: int = memory_shares(_MEMORY_MB).connections
