"""Shares of the memory of a process for what its clients send and for what they are sent."""

from __future__ import annotations

from typing import Final

from attrs import frozen

__all__ = ["MemoryShares", "memory_shares"]

_MEGABYTE: Final = 1024 * 1024
#: Memory that a process needs without clients.
_BASE_BYTES: Final = 64 * _MEGABYTE
#: Share of the rest for bodies, which the kernel's queue and the parser may hold a second time.
_BODIES_SHARE: Final = 0.25
#: Share of the rest for the buffers of connections.
_CONNECTIONS_SHARE: Final = 0.2
#: Smallest shares: two bodies of the largest size that is buffered, and some full connections.
_MIN_BODIES_BYTES: Final = 8 * _MEGABYTE
_MIN_CONNECTIONS_BYTES: Final = 4 * _MEGABYTE


@frozen
class MemoryShares:
    """Bytes that may be held for clients at a time, by all parts of a process together."""

    #: Bodies of requests, from their first byte until their calls have ended.
    bodies: int
    #: Bytes of connections that were received and not read, or written and not sent.
    connections: int


def memory_shares(memory_mb: float) -> MemoryShares:
    """Return the shares of a process that may use `memory_mb` megabytes.

    Example:
        shares = memory_shares(settings.memory_mb)
    """
    rest = max(0.0, memory_mb * _MEGABYTE - _BASE_BYTES)
    return MemoryShares(
        bodies=max(_MIN_BODIES_BYTES, int(rest * _BODIES_SHARE)),
        connections=max(_MIN_CONNECTIONS_BYTES, int(rest * _CONNECTIONS_SHARE)),
    )
