"""Which calls can still end before the daemon does, while it shuts down."""

from __future__ import annotations

import math
from typing import Final

from acaciayard_callmodel import NotRun
from acaciayard_timers import TimerService

__all__ = ["RecentDurations", "RemainingGrace"]

#: Seconds after which the longest durations are renewed; they are kept for one more such period.
_PERIOD_SECONDS: Final = 30.0
#: Margin for a call that is expected to take as long as the longest recent one: a factor, and
#: seconds.
_DURATION_FACTOR: Final = 1.5
_DURATION_MARGIN_SECONDS: Final = 0.25
#: Seconds from the deadline of a call until its answer is written.
_ANSWER_SECONDS: Final = 0.2
#: Bounds of the retry delay in seconds given to a refused caller: until this daemon has ended,
#: unless that takes so long that another host serves sooner.
_RETRY_AFTER_SECONDS: Final = (0.2, 1.0)


class RecentDurations:
    """The longest duration of recent calls, by name of their route or service."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._renewed_at = timers.now()

    def note(self, name: str, seconds: float) -> None:
        """Record the duration of a call that a target has run."""
        self._renew()
        if seconds > self._current.get(name, 0.0):
            self._current[name] = seconds

    def longest(self, name: str) -> float:
        """The longest recent duration in seconds, `inf` if none is known."""
        self._renew()
        longest = max(self._current.get(name, 0.0), self._previous.get(name, 0.0))
        return longest or math.inf

    def _renew(self) -> None:
        now = self._timers.now()
        age = now - self._renewed_at
        if age >= _PERIOD_SECONDS:
            self._previous = self._current if age < 2 * _PERIOD_SECONDS else {}
            self._current = {}
            self._renewed_at = now


class RemainingGrace:
    """The time left for calls in progress during a shutdown; without limit until then.

    It bounds which calls are taken, and not the time that a taken call may use.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._ends = math.inf

    @property
    def is_limited(self) -> bool:
        """Whether a shutdown has begun."""
        return self._ends < math.inf

    def end_by(self, ends: float) -> None:
        """Set when calls in progress are cut, on the clock of the timer service."""
        self._ends = ends

    def refusal_of(self, deadline: float, *, longest: float) -> NotRun | None:
        """The refusal of a call that may be cut, or `None`.

        A call is taken if its deadline lies within the grace, or if it is expected to end within
        it, as calls like it took at most `longest` seconds recently.
        """
        if deadline + _ANSWER_SECONDS <= self._ends:
            return None
        expected = longest * _DURATION_FACTOR + _DURATION_MARGIN_SECONDS
        if self._timers.now() + expected <= self._ends:
            return None
        return self.refusal()

    def refusal(self) -> NotRun:
        """The refusal of a call because this daemon ends."""
        shortest, longest = _RETRY_AFTER_SECONDS
        remaining = self._ends - self._timers.now()
        return NotRun("this daemon is shutting down", min(max(remaining, shortest), longest))
