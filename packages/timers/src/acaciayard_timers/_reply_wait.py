"""Waits for replies that don't count time in which this process could not have noticed one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Protocol

__all__ = ["ReplyWait"]

#: Last part of a wait, as a share of it, that must pass without a pause of this process.
_FINAL_SHARE: Final = 1 / 3
#: Delay of a timer, as a share of the final part, from which the process counts as paused.
_PAUSED_SHARE: Final = 0.5
#: Repetitions of the final part, so that a process that is always late gives up some time.
_MAX_EXTENSIONS: Final = 6


class _Clock(Protocol):
    """The part of a timer service that a wait needs."""

    def now(self) -> float:
        """Monotonic time in seconds."""


class ReplyWait:
    """Tells when a reply is overdue.

    A process that was paused, or was busy in one callback, finds its timers due before it has read
    what has arrived in the meantime, and would take its own pause for the silence of another host.
    So the last third of the wait is repeated until it passes without a pause, which leaves time to
    read what is there. A wait without a pause ends on time, and costs one more timer only if two
    thirds of it pass.

    Example:
        wait = ReplyWait(timers, 0.06)
        timers.call_at(wait.due, check)
        ...
        def check() -> None:
            if wait.has_expired():
                give_up()
            else:
                timers.call_at(wait.due, check)
    """

    def __init__(
        self, clock: _Clock, seconds: float, *, on_extended: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._final_s = seconds * _FINAL_SHARE
        self._due = clock.now() + seconds - self._final_s
        self._is_final = False
        self._extensions_left = _MAX_EXTENSIONS
        self._on_extended = on_extended

    @property
    def due(self) -> float:
        """When to call `has_expired` next, on the clock of the timer service."""
        return self._due

    def has_expired(self) -> bool:
        """Whether the reply is overdue; call this when `due` is reached, and again at the next."""
        now = self._clock.now()
        was_paused = now - self._due > self._final_s * _PAUSED_SHARE
        if self._is_final and (not was_paused or not self._extensions_left):
            return True
        if was_paused:
            self._extensions_left -= 1
            self._on_extended()
        self._is_final = True
        self._due = (now if was_paused else self._due) + self._final_s
        return False
