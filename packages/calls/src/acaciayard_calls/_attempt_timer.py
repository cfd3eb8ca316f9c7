"""A single timer for all time limits of an attempt."""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable

from attrs import define

from acaciayard_timers import ReplyWait, Subscription, TimerService

__all__ = ["AttemptTimer", "TimedAction", "on_overdue"]


@define(eq=False)
class TimedAction:
    """A callback that runs at a given time unless the attempt has ended before."""

    #: Time on the clock of the timer service.
    at: float
    #: The callback, by which `AttemptTimer.drop` also finds the action.
    act: Callable[[], None]
    #: The wait for a reply at whose end it runs, which may move `at`.
    wait: ReplyWait | None = None


def on_overdue(wait: ReplyWait, act: Callable[[], None]) -> TimedAction:
    """An action that runs when a reply is overdue."""
    return TimedAction(wait.due, act, wait)


def _latest_first(action: TimedAction) -> float:
    return -action.at


class AttemptTimer:
    """Runs the timed actions of an attempt in order of time, on one timer that is rescheduled.

    Nearly all attempts end before most of their limits, so that one timer for each limit would
    nearly always be set and cancelled without firing.

    Example:
        actions = [TimedAction(unacknowledged_at, on_unacknowledged), TimedAction(deadline, abort)]
        timer = AttemptTimer(timers, actions)
        timer.drop(on_unacknowledged)   # the host has acknowledged the call
        timer.cancel()                  # the attempt has ended
    """

    def __init__(self, timers: TimerService, actions: list[TimedAction]) -> None:
        self._timers = timers
        self._actions = sorted(actions, key=_latest_first)
        self._subscription: Subscription | None = None
        self._schedule()

    def drop(self, act: Callable[[], None]) -> None:
        """Remove an action; has no effect if it has already run."""
        is_next = bool(self._actions) and self._actions[-1].act == act
        self._actions = [action for action in self._actions if action.act != act]
        if is_next and self._subscription is not None:
            self._subscription.cancel()
            self._schedule()

    def cancel(self) -> None:
        """Remove all actions."""
        self._actions.clear()
        if self._subscription is not None:
            self._subscription.cancel()
            self._subscription = None

    def _schedule(self) -> None:
        self._subscription = None
        if self._actions:
            self._subscription = self._timers.call_at(self._actions[-1].at, self._fire)

    def _fire(self) -> None:
        action = self._actions.pop()
        if action.wait is not None and not action.wait.has_expired():
            action.at = action.wait.due
            insort(self._actions, action, key=_latest_first)
            self._schedule()
            return
        self._schedule()
        action.act()
