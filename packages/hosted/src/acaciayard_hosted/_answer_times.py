"""Estimates how long the store usually takes to answer, and from when an answer is overdue."""

from __future__ import annotations

from typing import Final

__all__ = ["AnswerTimes"]

#: Weights of a new sample in the mean and in the mean deviation, as in RFC 6298.
_MEAN_WEIGHT: Final = 1 / 8
_DEVIATION_WEIGHT: Final = 1 / 4
#: Mean deviations above the mean from which an answer is overdue.
_DEVIATIONS: Final = 4
#: Limits of the time after which an answer is overdue, in seconds. A process that shares a core is
#: late by tens of milliseconds at any time.
_OVERDUE_LIMITS: Final = (0.1, 1.0)
#: The same before the first sample.
_FIRST_OVERDUE: Final = 0.25


class AnswerTimes:
    """Smoothed answer times of the store, without the time that a long poll asked it to wait.

    Example:
        times = AnswerTimes()
        times.note(0.004)
        times.overdue_after       # 0.1, the least
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    @property
    def mean(self) -> float:
        """Smoothed answer time in seconds, 0 before the first sample."""
        return self._mean or 0.0

    @property
    def overdue_after(self) -> float:
        """Seconds without an answer after which it is overdue."""
        if self._mean is None:
            return _FIRST_OVERDUE
        least, most = _OVERDUE_LIMITS
        return min(most, max(least, self._mean + _DEVIATIONS * self._deviation))

    @property
    def slowness(self) -> float:
        """Seconds by which the news of a fast store would come earlier."""
        return 2 * self.mean + self.overdue_after - _OVERDUE_LIMITS[0]

    def note(self, seconds: float) -> None:
        """Add the time that one answer took."""
        seconds = max(0.0, seconds)
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        error = abs(seconds - self._mean)
        self._deviation += _DEVIATION_WEIGHT * (error - self._deviation)
        self._mean += _MEAN_WEIGHT * (seconds - self._mean)
