"""An event loop whose clock jumps to whatever is due next, and the timer service on it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

from acaciayard_timers import Subscription, TimerService

__all__ = ["JumpingLoop", "LoopTimers"]


class _JumpingSelector(selectors.DefaultSelector):
    """Waits for nothing: it moves the loop's clock instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout:
            self.now += timeout
        return []


class JumpingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


class LoopTimers(TimerService):
    """The timer service on the clock of a `JumpingLoop`."""

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
