"""Detects pauses of the whole process, such as when it is stopped, swapped out or starved."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ._service import MAX_RESUME_DELAY, TimerService

__all__ = ["PauseDetector"]

#: Seconds between two checks of the clock.
_CHECK_PERIOD: Final = MAX_RESUME_DELAY


class PauseDetector:
    """Calls its listeners when the process was paused for longer than a threshold.

    State from before a pause may be outdated: components that hold leases or queued work subscribe
    and release them.
    """

    def __init__(self, timers: TimerService, *, threshold: float) -> None:
        self._timers = timers
        self._threshold = threshold
        self._listeners: list[Callable[[float], None]] = []
        self._pauses = 0
        self._last_check = timers.now()

    @property
    def pauses(self) -> int:
        """Number of pauses detected so far."""
        return self._pauses

    def subscribe(self, listener: Callable[[float], None]) -> None:
        """Call `listener` with the length in seconds of every pause detected from now on."""
        self._listeners.append(listener)

    def check(self) -> bool:
        """Check the clock now; returns true if there was a pause since the last check."""
        now = self._timers.now()
        pause_length = now - self._last_check - _CHECK_PERIOD
        self._last_check = now
        if pause_length < self._threshold:
            return False
        self._pauses += 1
        for listener in self._listeners:
            listener(pause_length)
        return True

    async def run(self) -> None:
        """Check the clock periodically until cancelled."""
        async for _ in self._timers.ticks(_CHECK_PERIOD):
            self.check()
