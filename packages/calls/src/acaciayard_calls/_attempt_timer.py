"""The one timer of an attempt, for whatever it must not do without for too long."""

from __future__ import annotations

from collections.abc import Callable
from operator import attrgetter

from attrs import define

from acaciayard_timers import Subscription, TimerService

__all__ = ["AttemptTimer", "TimedAction"]


@define(eq=False)
class TimedAction:
    """Something that happens to an attempt at a moment, unless it has ended before."""

    #: When, by the timer service.
    at: float
    #: What happens.
    act: Callable[[], None]


_BY_TIME = attrgetter("at")


class AttemptTimer:
    """Has the limits of an attempt happen in their order, on one timer that is set anew.

    Nearly all attempts end before most of their limits, so a timer for each would be set and
    cancelled for nothing.

    Example:
        timer = AttemptTimer(timers, [Limit(no_sign_at, on_no_sign), Limit(deadline, give_up)])
        timer.drop(on_no_sign)      # the sign has come
        timer.cancel()              # the attempt has ended
    """

    def __init__(self, timers: TimerService, limits: list[TimedAction]) -> None:
        self._timers = timers
        self._limits = sorted(limits, key=_BY_TIME, reverse=True)
        self._set: Subscription | None = None
        self._wait()

    def drop(self, act: Callable[[], None]) -> None:
        """Do without a limit; harmless where it has come already."""
        is_next = bool(self._limits) and self._limits[-1].act == act
        self._limits = [limit for limit in self._limits if limit.act != act]
        if is_next and self._set is not None:
            self._set.cancel()
            self._wait()

    def cancel(self) -> None:
        """Nothing happens any more."""
        self._limits.clear()
        if self._set is not None:
            self._set.cancel()
            self._set = None

    def _wait(self) -> None:
        self._set = None
        if self._limits:
            self._set = self._timers.call_at(self._limits[-1].at, self._come)

    def _come(self) -> None:
        limit = self._limits.pop()
        self._wait()
        limit.act()
