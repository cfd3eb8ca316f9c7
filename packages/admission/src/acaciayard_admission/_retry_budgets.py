"""Retry budgets per service: of one daemon alone, or shared by all daemons of a mesh."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Final

from attrs import define

from acaciayard_timers import TimerService

__all__ = ["RetryBudgets", "RetryDecision", "SharedRetryBudgets"]

#: Maximum number of saved retries of a service.
_MAX_SAVED_RETRIES: Final = 10.0
#: Initial number of saved retries of a service.
_INITIAL_SAVED_RETRIES: Final = 3.0
#: Share of a shared budget that the daemons use.  The rest is a margin for retries that reach their
#: targets after this daemon has lost the connection over which it sent them.
_USED_SHARE: Final = 0.95
#: Share of a shared budget that hedged requests may use.  The rest is left to calls that have
#: failed, and hedged requests of a whole budget would slow down a mesh that is short of slots.
_HEDGED_SHARE: Final = 0.6
#: Share of its unused retries that a daemon lends to one that has none left.
_LENT_SHARE: Final = 0.67
#: Seconds after its request in which a daemon may make retries that it has borrowed.  Shorter times
#: let most of them expire unused.
_LOAN_SECONDS: Final = 5.0
#: Number of windows for which a lender counts what it has lent: the borrower may take it almost at
#: the end of the loan, and it may wait in a queue before it reaches a target.
_LOAN_WINDOWS: Final = 2
#: Unused retries below which a daemon tells that it will need more.
_LOW_ROOM: Final = 2.0
#: Number of services for which a daemon keeps budgets because others ask it for loans.
_MAX_SERVICES: Final = 500
#: Number of steps into which the window of a shared budget is divided.
_STEPS_PER_WINDOW: Final = 40


class RetryDecision(Enum):
    """What a retry budget decided, or what became of a retry that it allowed."""

    ALLOWED = "allowed"
    REFUSED = "refused"
    #: Allowed, but not made.
    RETURNED = "returned"
    LENT = "lent"
    BORROWED = "borrowed"


class RetryBudgets:
    """Retry budgets of one daemon alone, as token buckets by service.

    Every call to a service adds a fraction of a token, and a retry takes a whole token.  While most
    calls succeed, retries are always possible; when most fail, they add at most the share of calls
    set by the policy.
    """

    def __init__(self) -> None:
        self._saved: dict[str, float] = {}
        self._decisions: Counter[tuple[str, str]] = Counter()

    @property
    def decisions(self) -> Mapping[tuple[str, str], int]:
        """Number of decisions by service and kind."""
        return self._decisions

    def _note(self, service: str, decision: RetryDecision, count: int = 1) -> None:
        self._decisions[service, decision.value] += count

    def room(self, service: str) -> float:
        """Return how many retries the budget allows now."""
        return self._saved.get(service, _INITIAL_SAVED_RETRIES)

    def deposit(self, service: str, percent: float) -> None:
        """Count a call, which earns `percent` hundredths of a retry."""
        saved = self._saved.get(service, _INITIAL_SAVED_RETRIES)
        self._saved[service] = min(_MAX_SAVED_RETRIES, saved + percent / 100)

    def take(self, service: str, *, is_hedge: bool = False) -> bool:
        """Take one retry from the budget; return false if it is used up.

        `is_hedge` tells that the call has not failed but is slow.  `settle` must follow.
        """
        saved = self.room(service)
        if saved < 1:
            self._note(service, RetryDecision.REFUSED)
            return False
        self._saved[service] = saved - 1
        self._note(service, RetryDecision.ALLOWED)
        return True

    def settle(self, service: str, *, was_made: bool) -> None:
        """Record whether a retry that was taken has reached a target, or may have."""
        if was_made:
            self.note_made(service)
        else:
            self.give_back(service)

    def note_made(self, service: str) -> None:
        """Record that a retry that was taken has reached a target, or may have."""

    def give_back(self, service: str) -> None:
        """Put back a retry that was taken and not made."""
        self._note(service, RetryDecision.RETURNED)
        saved = self._saved.get(service, _INITIAL_SAVED_RETRIES)
        self._saved[service] = min(_MAX_SAVED_RETRIES, saved + 1)


class _StepCounts:
    """Amounts by step of time, for the last few steps."""

    def __init__(self, steps: int) -> None:
        self._amounts = [0.0] * steps
        self._last = 0

    def add(self, amount: float, *, step: int) -> None:
        """Add an amount in a step, which is not before that of an earlier amount."""
        self._advance(step)
        self._amounts[step % len(self._amounts)] += amount

    def until(self, step: int) -> list[float]:
        """Return the amounts of the last steps, the oldest first and `step` last."""
        self._advance(step)
        newest = step % len(self._amounts) + 1
        return self._amounts[newest:] + self._amounts[:newest]

    def _advance(self, step: int) -> None:
        size = len(self._amounts)
        for each in range(max(self._last + 1, step - size + 1), step + 1):
            self._amounts[each % size] = 0.0
        self._last = max(self._last, step)


@define
class _Use:
    """This daemon's part of the budget of one service."""

    #: Retries earned by calls in the last two windows.
    earned: _StepCounts
    #: Own retries that have reached a target in the last window.
    made: _StepCounts
    #: Retries lent to other daemons, which may reach a target in later windows.
    lent: _StepCounts
    #: Result of `_most_earned` at the step for which it was last computed.
    most_earned: list[float]
    most_earned_at: int = -1
    #: Retries earned since then.
    earned_since: float = 0.0
    #: Own retries that were taken and are neither made nor given back.
    pending: int = 0
    #: Borrowed retries that were taken and are neither made nor given back.
    pending_borrowed: int = 0
    #: Borrowed retries that have not been taken yet, and until when they may be.
    loan: int = 0
    loan_until: float = 0.0


def _most_earned(earned: list[float]) -> list[float]:
    """Return the most that calls have earned for a window, by the step in which it starts.

    The windows are those that contain the present moment.  The calls are those of the window, of
    the one before or of the one half a window before.  A window starts anywhere in its step, so
    that only the steps that lie wholly in it count.  `earned` holds two windows; the result begins
    with a window that starts a window ago.
    """
    sums = [0.0, *itertools.accumulate(earned)]
    newest = len(earned) - 1
    whole = _STEPS_PER_WINDOW - 1
    half = _STEPS_PER_WINDOW // 2 - 1

    def between(first: int, last: int) -> float:
        return sums[min(newest, last) + 1] - sums[max(0, first)]

    return [
        max(
            between(start - whole, start - 1),
            between(start - half, start + half),
            between(start + 1, newest),
        )
        for start in range(newest - _STEPS_PER_WINDOW, newest + 1)
    ]


class SharedRetryBudgets(RetryBudgets):
    """One daemon's part of retry budgets that all daemons of a mesh share.

    In any `window` seconds all daemons together may make `ratio` retries per call of a service and
    `slack` additional ones; the nested calls of a retry are retries, and no calls.  The calls are
    those of the window, of the one before or of the one half a window before, whichever has most.
    Each daemon may make what its own calls have earned, and an equal part of the slack.  A
    retry counts from the moment at which it is taken until a window after its attempt has ended,
    since it may wait in a queue before it reaches a target.

    A daemon that has none left may borrow from others.  A lender counts what it has lent for longer
    than the borrower may make it, so that a lost message costs retries and never allows more.

    A daemon that starts in a running mesh does not know what its former start has used, so it
    allows no retry of its own in its first window.  `members` returns how many daemons run or may
    run.  A lower number counts only after a window, in which those that are gone may have used
    their parts.

    Example:
        budgets = SharedRetryBudgets(ratio=0.2, slack=50, window=10, members=count, timers=timers)
        budgets.deposit("a", 100.0)
        if budgets.take("a"):
            ...                         # make the retry
            budgets.settle("a", was_made=True)
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window: float,
        members: Callable[[], int],
        timers: TimerService,
        may_have_run_before: bool = False,
    ) -> None:
        super().__init__()
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._step_length = window / _STEPS_PER_WINDOW
        self._members = members
        self._timers = timers
        now = timers.now()
        self._usable_from = now + window if may_have_run_before else now
        self._sharers = 1
        self._sharers_seen_at = now
        self._uses: dict[str, _Use] = {}
        self._shortage_listeners: list[Callable[[str], None]] = []

    def on_shortage(self, listener: Callable[[str], None]) -> None:
        """Call `listener` with the name of a service whose budget is used up, or almost."""
        self._shortage_listeners.append(listener)

    def _use_of(self, service: str) -> _Use:
        use = self._uses.get(service)
        if use is None:
            use = self._uses[service] = _Use(
                earned=_StepCounts(2 * _STEPS_PER_WINDOW + 1),
                made=_StepCounts(_STEPS_PER_WINDOW + 1),
                lent=_StepCounts(_LOAN_WINDOWS * _STEPS_PER_WINDOW + 1),
                most_earned=[],
            )
        return use

    def _step(self) -> int:
        return int(self._timers.now() / self._step_length)

    def _count_sharers(self) -> int:
        """Return among how many daemons the slack is divided."""
        now = self._timers.now()
        members = max(1, self._members())
        if members >= self._sharers or now - self._sharers_seen_at > self._window:
            self._sharers = members
            self._sharers_seen_at = now
        return self._sharers

    def room(self, service: str) -> float:
        room = self.remaining(service)
        self._tell_if_short(service, room)
        return room

    def _tell_if_short(self, service: str, room: float) -> None:
        if room < _LOW_ROOM:
            for listener in self._shortage_listeners:
                listener(service)

    def remaining(self, service: str) -> float:
        """Return how many more retries this daemon may make now, and tell nobody of a shortage."""
        return self._own_room(service, _USED_SHARE) + self._loan_of(service)

    def _own_room(self, service: str, share: float) -> float:
        """Return how many more retries fit in a share of this daemon's part of the budget.

        They have to fit in every window that contains this moment, whatever calls follow.
        """
        if self._timers.now() < self._usable_from:
            return 0.0
        use = self._use_of(service)
        step = self._step()
        part = self._slack / self._count_sharers()
        if use.most_earned_at != step or use.earned_since >= 1:
            use.most_earned = _most_earned(use.earned.until(step))
            use.most_earned_at = step
            use.earned_since = 0.0
        made_since = itertools.accumulate(reversed(use.made.until(step)))
        least = min(
            share * (earned + part) - made
            for earned, made in zip(reversed(use.most_earned), made_since, strict=True)
        )
        return least - use.pending - sum(use.lent.until(step))

    def _loan_of(self, service: str) -> int:
        """Return how many borrowed retries may still be taken."""
        use = self._use_of(service)
        return use.loan if self._timers.now() < use.loan_until else 0

    def lend(self, service: str, wanted: int) -> int:
        """Lend up to `wanted` retries to another daemon; returns how many."""
        if service not in self._uses and len(self._uses) >= _MAX_SERVICES:
            return 0
        lent = min(wanted, int(self._own_room(service, _USED_SHARE) * _LENT_SHARE))
        if lent <= 0:
            return 0
        self._use_of(service).lent.add(lent, step=self._step())
        self._note(service, RetryDecision.LENT, lent)
        return lent

    def borrow(self, service: str, count: int, *, asked_at: float) -> None:
        """Add retries that another daemon has lent after a request that was sent at `asked_at`."""
        until = asked_at + _LOAN_SECONDS
        if self._timers.now() >= until:
            return
        use = self._use_of(service)
        # The earlier one of two loans' ends holds for both.
        use.loan_until = min(until, use.loan_until) if self._loan_of(service) else until
        use.loan = self._loan_of(service) + count
        self._note(service, RetryDecision.BORROWED, count)

    def deposit(self, service: str, percent: float) -> None:
        """Count a call; `percent` is the policy of its route, which may allow fewer retries."""
        self._count_sharers()
        earned = min(self._ratio, percent / 100)
        use = self._use_of(service)
        use.earned.add(earned, step=self._step())
        use.earned_since += earned

    def take(self, service: str, *, is_hedge: bool = False) -> bool:
        room = self._own_room(service, _HEDGED_SHARE if is_hedge else _USED_SHARE)
        is_allowed = True
        if room >= 1:
            self._use_of(service).pending += 1
        else:
            is_allowed = not is_hedge and self._take_loan(service)
        self._note(service, RetryDecision.ALLOWED if is_allowed else RetryDecision.REFUSED)
        if not is_hedge:
            self._tell_if_short(service, room - 1 + self._loan_of(service))
        return is_allowed

    def _take_loan(self, service: str) -> bool:
        if not self._loan_of(service):
            return False
        use = self._use_of(service)
        use.loan -= 1
        use.pending_borrowed += 1
        return True

    def note_made(self, service: str) -> None:
        use = self._use_of(service)
        if use.pending_borrowed:
            use.pending_borrowed -= 1  # its lender counts it
            return
        use.pending -= 1
        use.made.add(1, step=self._step())

    def give_back(self, service: str) -> None:
        self._note(service, RetryDecision.RETURNED)
        use = self._use_of(service)
        if use.pending_borrowed:
            use.pending_borrowed -= 1  # it is lost, since its lender counts it for a limited time
        else:
            use.pending -= 1
