"""An event loop on virtual time, and a timer service that uses its clock.

Whenever no callback is ready, the clock advances to the next timer at once instead of waiting.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

from acaciayard_timers import Subscription, TimerService

__all__ = ["JumpingLoop", "LoopTimers"]


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the loop's virtual clock by the timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout:
            self.now += timeout
        return []


class JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop whose virtual clock advances to the next timer without waiting."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


class LoopTimers(TimerService):
    """A timer service on the virtual clock of a `JumpingLoop`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return self._loop.time()

    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        handles: list[asyncio.TimerHandle] = []
        subscription = Subscription(callback, lambda: handles[0].cancel())
        handles.append(self._loop.call_at(when, subscription.fire))
        return subscription
