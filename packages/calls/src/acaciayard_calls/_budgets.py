"""Budgets: how many retries a service stands, and how much one caller may ask for."""

from __future__ import annotations

import math
from typing import Final

from attrs import define

from acaciayard_resources import CallerLimit, Configuration
from acaciayard_timers import TimerService

from ._call import NotRun

__all__ = ["CallerLimiter", "RetryBudgets", "retry_after_header"]

#: Retries that a service may have saved up.
_MOST_SAVED: Final = 10.0
#: Retries that a service may make before any call has paid for them.
_SAVED_AT_FIRST: Final = 3.0
#: Callers without calls under way that are remembered.
_IDLE_CALLERS: Final = 10_000
#: Bounds of what a refused caller is told to wait, in seconds.
_RETRY_AFTER: Final = (0.05, 60.0)


class RetryBudgets:
    """Every call to a service pays a part of a retry; a retry costs a whole one.

    While most calls succeed there is always enough; when most fail, retries add no more than the
    share set by the policy.
    """

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}

    def pay_in(self, service: str, percent: float) -> None:
        """Count a call, of which `percent` of a retry may be made."""
        saved = self._saved.get(service, _SAVED_AT_FIRST)
        self._saved[service] = min(_MOST_SAVED, saved + percent / 100)

    def take(self, service: str) -> bool:
        """Take one retry; false when there is none."""
        saved = self._saved.get(service, _SAVED_AT_FIRST)
        if saved < 1:
            return False
        self._saved[service] = saved - 1
        return True


@define
class _Account:
    tokens: float
    counted_at: float
    concurrent: int = 0


class CallerLimiter:
    """Token buckets and counts of open calls, by caller."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._accounts: dict[str, _Account] = {}

    def enter(self, caller: str, configuration: Configuration) -> NotRun | None:
        """Count a call in, or refuse it; `leave` must follow unless it was refused."""
        limit = configuration.find(CallerLimit, caller)
        if limit is None:
            return None
        account = self._account(limit)
        least, most = _RETRY_AFTER
        if account.concurrent >= limit.concurrent:
            reason = f"{caller!r} has {limit.concurrent} calls open already"
            return NotRun(reason, least, is_overload=True)
        if account.tokens < 1:
            wait = (1 - account.tokens) / limit.calls_per_second
            reason = f"{caller!r} asks for more than {limit.calls_per_second:g} calls a second"
            return NotRun(reason, min(max(wait, least), most), is_overload=True)
        account.tokens -= 1
        account.concurrent += 1
        return None

    def leave(self, caller: str) -> None:
        """Count a call out."""
        account = self._accounts.get(caller)
        if account is not None:
            account.concurrent = max(0, account.concurrent - 1)

    def _account(self, limit: CallerLimit) -> _Account:
        now = self._timers.now()
        account = self._accounts.get(limit.name)
        if account is None:
            if len(self._accounts) >= _IDLE_CALLERS:
                self._forget_idle()
            account = self._accounts[limit.name] = _Account(limit.burst, now)
        earned = (now - account.counted_at) * limit.calls_per_second
        account.tokens = min(limit.burst, account.tokens + earned)
        account.counted_at = now
        return account

    def _forget_idle(self) -> None:
        busy = {name: a for name, a in self._accounts.items() if a.concurrent}
        self._accounts = busy


def retry_after_header(seconds: float) -> bytes:
    """The value of `Retry-After`, which knows whole seconds only."""
    return b"%d" % max(1, math.ceil(seconds))
