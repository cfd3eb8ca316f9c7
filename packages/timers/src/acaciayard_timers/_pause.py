"""Notices that the whole process stood still for a while (stopped, swapped out, starved)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ._service import SLEEP_NOTICED_WITHIN, TimerService

__all__ = ["PauseDetector"]

#: Seconds between two looks at the clock.
_PERIOD: Final = SLEEP_NOTICED_WITHIN


class PauseDetector:
    """Tells its listeners when the process was paused for longer than a threshold.

    What a process held before a pause may be out of date without its knowing; the parts that
    hold leases or queued work subscribe here and let go of them.
    """

    def __init__(self, timers: TimerService, *, threshold: float) -> None:
        self._timers = timers
        self._threshold = threshold
        self._listeners: list[Callable[[float], None]] = []
        self._pauses = 0
        self._last_seen = timers.now()

    @property
    def pauses(self) -> int:
        """How many pauses were noticed so far."""
        return self._pauses

    def subscribe(self, listener: Callable[[float], None]) -> None:
        """Call `listener` with the length in seconds of every pause noticed from now on."""
        self._listeners.append(listener)

    def check(self) -> bool:
        """Look at the clock now; true when a pause was noticed since the last look."""
        now = self._timers.now()
        stood_still = now - self._last_seen - _PERIOD
        self._last_seen = now
        if stood_still < self._threshold:
            return False
        self._pauses += 1
        for listener in self._listeners:
            listener(stood_still)
        return True

    async def run(self) -> None:
        """Look at the clock for ever."""
        async for _ in self._timers.ticks(_PERIOD):
            self.check()
