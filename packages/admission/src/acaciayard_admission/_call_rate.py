"""Paces the calls that are sent to a target which states how many it takes a second."""

from __future__ import annotations

import math
from typing import Final

__all__ = ["CallRate"]

#: Lowest rate at which calls are sent, per second.  A target that states less still gets a call now
#: and then, since only its responses tell when its need has ended.
_MIN_RATE: Final = 0.25
#: Size of the bucket: one token, and the tokens that accrue in this many seconds.
_BURST_SECONDS: Final = 0.25


class CallRate:
    """A token bucket for the calls of one target, from the admission of a call to its sending.

    A call takes its token when it is admitted, which may be some time before it is sent.  Tokens
    accrue only up to the size of the bucket less the admitted calls that are not sent yet.  So no
    span of `t` seconds sees more than `size + rate * t` calls sent, however long admitted calls are
    held up in between, for example while this process is suspended.

    Example:
        rate = CallRate(now=0.0)            # no limit
        rate.limit(2.0, now=0.0)
        rate.wait(0.0)                      # 0.0: a call may be admitted
        rate.take(0.0)
        rate.note_sent(0.0)
        rate.wait(0.1)                      # 0.4: seconds until the next one may be
    """

    def __init__(self, *, now: float) -> None:
        self._rate = math.inf
        self._tokens = 0.0
        self._unsent = 0
        self._updated_at = now

    @property
    def max_rate(self) -> float:
        """The limit in calls per second; `inf` if there is none."""
        return self._rate

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self._rate < math.inf

    @property
    def _size(self) -> float:
        return 1.0 + _BURST_SECONDS * self._rate

    def limit(self, max_rate: float, *, now: float) -> None:
        """Change the limit; `inf` ends it.  A first limit starts with one token."""
        self._refill(now)
        if not self.is_limited:
            self._tokens = 1.0 - self._unsent
        self._rate = max(max_rate, _MIN_RATE)
        if self.is_limited:
            self._tokens = min(self._tokens, self._size - self._unsent)

    def _refill(self, now: float) -> None:
        if self.is_limited:
            accrued = self._tokens + max(0.0, now - self._updated_at) * self._rate
            self._tokens = min(accrued, self._size - self._unsent)
        self._updated_at = now

    def wait(self, now: float, *, ahead: float = 0.0) -> float:
        """Return the seconds until a call may be admitted, with `ahead` calls admitted before."""
        if not self.is_limited:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + 1.0 - self._tokens) / self._rate)

    def take(self, now: float) -> None:
        """Take the token of a call that is admitted; `note_sent` or `give_back` must follow."""
        self._refill(now)
        self._tokens -= 1.0
        self._unsent += 1

    def note_sent(self, now: float) -> None:
        """Record that an admitted call is sent."""
        self._refill(now)  # up to now the call kept tokens from accruing
        self._unsent -= 1

    def give_back(self, now: float) -> None:
        """Return the token of an admitted call that was not sent."""
        self._refill(now)
        self._unsent -= 1
        self._tokens += 1.0
