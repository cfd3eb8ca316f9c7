"""Rate and concurrency limits per caller."""

from __future__ import annotations

import math
from typing import Final

from attrs import define

from acaciayard_callmodel import NotRun
from acaciayard_resources import CallerLimit, Configuration
from acaciayard_timers import TimerService

__all__ = ["CallerLimiter", "retry_after_header"]

#: Number of callers above which those without calls in flight are forgotten.
_MAX_REMEMBERED_CALLERS: Final = 10_000
#: Bounds of the retry delay given to a refused caller.
_RETRY_AFTER_SECONDS: Final = (0.05, 60.0)


@define
class _CallerBucket:
    tokens: float
    refilled_at: float
    concurrent: int = 0


class CallerLimiter:
    """Limits the call rate, by token buckets, and the concurrent calls of each caller."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._buckets: dict[str, _CallerBucket] = {}

    def enter(self, caller: str, configuration: Configuration) -> NotRun | None:
        """Admit or refuse a call; `leave` must follow unless the call was refused."""
        limit = configuration.find(CallerLimit, caller)
        if limit is None:
            return None
        bucket = self._bucket(limit)
        shortest, longest = _RETRY_AFTER_SECONDS
        if bucket.concurrent >= limit.concurrent:
            reason = f"{caller!r} has {limit.concurrent} calls open already"
            return NotRun(reason, shortest, is_overload=True)
        if bucket.tokens < 1:
            wait = (1 - bucket.tokens) / limit.calls_per_second
            reason = f"{caller!r} asks for more than {limit.calls_per_second:g} calls a second"
            return NotRun(reason, min(max(wait, shortest), longest), is_overload=True)
        bucket.tokens -= 1
        bucket.concurrent += 1
        return None

    def leave(self, caller: str) -> None:
        """Record that an admitted call has ended."""
        bucket = self._buckets.get(caller)
        if bucket is not None:
            bucket.concurrent = max(0, bucket.concurrent - 1)

    def _bucket(self, limit: CallerLimit) -> _CallerBucket:
        now = self._timers.now()
        bucket = self._buckets.get(limit.name)
        if bucket is None:
            if len(self._buckets) >= _MAX_REMEMBERED_CALLERS:
                self._forget_idle()
            bucket = self._buckets[limit.name] = _CallerBucket(limit.burst, now)
        refill = (now - bucket.refilled_at) * limit.calls_per_second
        bucket.tokens = min(limit.burst, bucket.tokens + refill)
        bucket.refilled_at = now
        return bucket

    def _forget_idle(self) -> None:
        busy = {name: a for name, a in self._buckets.items() if a.concurrent}
        self._buckets = busy


def retry_after_header(seconds: float) -> bytes:
    """Return the value of a `Retry-After` header, which has a resolution of one second."""
    return b"%d" % max(1, math.ceil(seconds))
