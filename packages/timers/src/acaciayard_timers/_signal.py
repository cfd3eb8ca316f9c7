"""Notifies waiting tasks of changes."""

from __future__ import annotations

import anyio

__all__ = ["Signal"]


class Signal:
    """A counter of changes that tasks can wait on.

    A task keeps the count that it has handled, so that a change between two waits is not lost.

    Example:

        seen = signal.count
        handle_current_state()
        await signal.wait_beyond(seen)
    """

    def __init__(self) -> None:
        self._count = 0
        self._event = anyio.Event()

    @property
    def count(self) -> int:
        """Number of changes so far."""
        return self._count

    def notify(self) -> None:
        """Count a change and wake all waiting tasks."""
        self._count += 1
        self._event.set()
        self._event = anyio.Event()

    async def wait_beyond(self, seen: int) -> int:
        """Wait until the count is greater than `seen` and return it."""
        while self._count <= seen:
            await self._event.wait()
        return self._count
