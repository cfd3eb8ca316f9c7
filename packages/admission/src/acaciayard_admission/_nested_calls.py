"""Forecasts the nested calls of retries, which use the retry budgets of the services they go to."""

from __future__ import annotations

from collections import Counter
from typing import Final

from attrs import define, field

from acaciayard_callmodel import Call, NotRun

from ._retry_budgets import RetryBudgets

__all__ = ["NestedCalls"]

#: Number of runs after which those before count half, so that the mean follows the callers.
_RUNS_PER_HALVING: Final = 512
#: Mean number of nested calls per run below which they are not forecast.
_MIN_MEAN: Final = 0.01
#: Seconds after which a caller may retry if the budget of a nested service is used up.
_RETRY_AFTER_SECONDS: Final = 1.0


@define
class _Runs:
    """Runs of one kind of call at the targets of this host."""

    #: Number of runs that have ended, the older ones weighted less.
    ended: float = 0.0
    #: Nested calls of those runs by service, weighted alike.
    nested: Counter[str] = field(factory=Counter)
    #: Number of retries that run now.
    retries: int = 0

    def halve(self) -> None:
        self.ended /= 2
        for service in self.nested:
            self.nested[service] /= 2  # type: ignore[assignment]


class NestedCalls:
    """Keeps retries from runs whose nested calls the retry budgets would not allow.

    The nested calls of a retry count as retries at their service.  If they were refused, the run
    would fail for lack of them, so the retry is refused before its target gets it.  All nested
    calls of the targets on this host pass through this daemon, which therefore knows how many a run
    makes on average, and has its own part of the budgets that they use.

    Example:
        refusal = nested_calls.refusal_of(call)
        if refusal is None:
            nested_calls.note_run(call)         # the call is sent to its target
    """

    def __init__(self, budgets: RetryBudgets) -> None:
        self._budgets = budgets
        self._runs: dict[tuple[str, bool], _Runs] = {}

    def _runs_of(self, call: Call) -> _Runs:
        key = (call.service, call.is_idempotent)
        runs = self._runs.get(key)
        if runs is None:
            runs = self._runs[key] = _Runs()
        return runs

    def note_run(self, call: Call) -> None:
        """Record that a call is sent to a target; `note_ended` must follow."""
        self._runs_of(call).retries += call.is_repeat

    def note_ended(self, call: Call) -> None:
        """Record that the run of a call has ended."""
        runs = self._runs_of(call)
        runs.retries -= call.is_repeat
        runs.ended += 1
        if runs.ended >= _RUNS_PER_HALVING:
            runs.halve()

    def note_nested(self, parent: Call, service: str) -> None:
        """Record that the run of `parent` makes a call to `service`."""
        self._runs_of(parent).nested[service] += 1

    def refusal_of(self, call: Call) -> NotRun | None:
        """Return the refusal of a retry whose nested calls would exceed a budget, or `None`."""
        if not call.is_repeat:
            return None
        runs = self._runs_of(call)
        for service, count in runs.nested.items():
            mean = count / max(1.0, runs.ended)
            needed = max(1.0, mean) + mean * runs.retries
            if mean >= _MIN_MEAN and self._budgets.room(service) < needed:
                reason = (
                    f"the calls that a retry makes would exceed the retry budget of {service!r}"
                )
                return NotRun(reason, _RETRY_AFTER_SECONDS, is_overload=True)
        return None
