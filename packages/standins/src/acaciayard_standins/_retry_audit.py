"""Counts the retries that reach targets against the retry budget of all daemons together."""

from __future__ import annotations

from bisect import bisect_left, bisect_right

from attrs import define, field, frozen

__all__ = ["RetryAudit", "RetryWindow"]


@frozen
class RetryWindow:
    """The retries of one window, and how many the budget allows in it."""

    #: Start of the window in seconds.
    started: float
    #: Arrivals at targets beyond the first of each request.
    retries: int
    #: Number of retries that the budget allows.
    allowed: float

    @property
    def share(self) -> float:
        """Retries as a share of what is allowed."""
        return self.retries / self.allowed


@define
class RetryAudit:
    """The requests for one service and their arrivals at its targets, as seen from outside.

    In every window, targets may get `ratio` retries for each request and `slack` additional ones.
    The requests are those of the window, of the one before or of the one half a window before,
    whichever has most.  An attempt that a target rejects counts as an arrival.  A call that a
    target makes while it runs a retry is no request, and counts as a retry from its first arrival.

    Example:
        audit = RetryAudit(ratio=0.2, slack=60, window=10)
        audit.note_request(at=0.1)
        audit.note_arrival("r1", at=0.2)
        audit.note_arrival("r1", at=0.4)        # a retry
        assert audit.worst().retries == 1
    """

    #: Retries allowed per request.
    ratio: float
    #: Additional retries allowed per window.
    slack: float
    #: Length of a window in seconds.
    window: float
    _requests: list[float] = field(factory=list, init=False)
    _retries: list[float] = field(factory=list, init=False)
    _arrived: set[str] = field(factory=set, init=False)

    def note_request(self, *, at: float) -> None:
        """Record that a request was sent, whether it arrives or not."""
        self._requests.append(at)

    def note_arrival(self, request: str, *, at: float, is_caused_by_retry: bool = False) -> bool:
        """Record that a target received a request; returns whether it counts as a retry.

        `is_caused_by_retry` tells that the request was made by a run that was itself a retry.
        """
        is_retry = is_caused_by_retry or request in self._arrived
        self._arrived.add(request)
        if is_retry:
            self._retries.append(at)
        return is_retry

    def worst(self, *, since: float = float("-inf")) -> RetryWindow:
        """Return the window, from `since` on, whose retries are the largest share of its budget."""
        requests = sorted(self._requests)
        retries = sorted(self._retries)
        starts = {at for at in retries} | {at - self.window + 1e-6 for at in retries}
        windows = [
            self._window(start, requests, retries) for start in sorted(starts) if start >= since
        ]
        none = RetryWindow(max(since, 0.0), 0, max(self.slack, 1e-9))
        return max(windows, key=lambda window: window.share, default=none)

    def _window(self, start: float, requests: list[float], retries: list[float]) -> RetryWindow:
        begins = (start, start - self.window / 2, start - self.window)
        most = max(_count(requests, begin, begin + self.window) for begin in begins)
        count = _count(retries, start, start + self.window)
        return RetryWindow(start, count, self.ratio * most + self.slack)


def _count(moments: list[float], start: float, end: float) -> int:
    return bisect_right(moments, end) - bisect_left(moments, start)
