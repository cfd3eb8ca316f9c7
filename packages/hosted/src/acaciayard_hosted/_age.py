"""The age of a daemon's configuration: the time since the store last confirmed it."""

from __future__ import annotations

from typing import Final

from acaciayard_timers import TimerService

__all__ = ["UNKNOWN_AGE", "ConfigurationAge"]

#: Age before the first answer of the store, in seconds.
UNKNOWN_AGE: Final = -1.0


class ConfigurationAge:
    """Tells how long ago the store gave the answer on which this daemon's configuration rests.

    The answer is one that this daemon got, or one that another daemon got and passed on. A daemon
    that hears of an answer later than of a newer one keeps the newer one.

    Example:
        age = ConfigurationAge(timers)
        age.note_answer("store")
        age.note_answer("host-7", age_s=0.4)      # ignored, since the own answer is newer
        age.seconds                               # 0.0
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._answered_at: float | None = None
        self._source = ""

    @property
    def seconds(self) -> float:
        """Seconds since the answer, `UNKNOWN_AGE` before the first one."""
        if self._answered_at is None:
            return UNKNOWN_AGE
        return self._timers.now() - self._answered_at

    @property
    def source(self) -> str:
        """Who got the answer: `"store"` for this daemon, or the daemon that passed it on."""
        return self._source

    def note_answer(self, source: str, *, age_s: float = 0.0) -> None:
        """Record an answer that was given `age_s` seconds ago; a negative age is unknown."""
        if age_s < 0:
            return
        answered_at = self._timers.now() - age_s
        if self._answered_at is None or answered_at > self._answered_at:
            self._answered_at = answered_at
            self._source = source
