"""Tells waiting tasks that something has changed."""

from __future__ import annotations

import anyio

__all__ = ["Signal"]


class Signal:
    """A counter of changes that tasks wait on.

    A task remembers the count it has dealt with, so that a change between two waits is not lost.

    Example:

        seen = signal.count
        deal_with_present_state()
        await signal.wait_beyond(seen)
    """

    def __init__(self) -> None:
        self._count = 0
        self._event = anyio.Event()

    @property
    def count(self) -> int:
        """Changes so far."""
        return self._count

    def notify(self) -> None:
        """Count a change and wake all who wait."""
        self._count += 1
        self._event.set()
        self._event = anyio.Event()

    async def wait_beyond(self, seen: int) -> int:
        """Return the count as soon as it is greater than `seen`."""
        while self._count <= seen:
            await self._event.wait()
        return self._count
