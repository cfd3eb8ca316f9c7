"""Dispatches calls to targets."""

from __future__ import annotations

from acaciayard_callmodel import Call, CallWatch, NotRun, OutcomeUnknown
from acaciayard_membership import Suspicion
from acaciayard_routing import MAX_OFFERS, Candidate, Plan, Router

from ._attempt import Answered, Attempt, DispatchContext
from ._call_run import CallRun, no_target, over_retry_budget
from ._waits import with_spread_retry

__all__ = ["Dispatcher"]


class Dispatcher:
    """Runs calls according to their plans, with retries and hedged requests.

    Example:
        outcome = await dispatcher.run(call, plan, router, CallWatch(), may_retry=True)
    """

    def __init__(self, parts: DispatchContext) -> None:
        self._parts = parts
        self._timers = parts.timers
        self._retries = 0

    @property
    def retries(self) -> int:
        """Number of attempts beyond the first of a call, if the first one may have run."""
        return self._retries

    async def run(
        self, call: Call, plan: Plan, router: Router, watch: CallWatch, *, may_retry: bool
    ) -> Answered | NotRun | OutcomeUnknown:
        """Run a call whose body is complete; `watch` cancels it when its caller disconnects."""
        attempts = plan.retry.attempts if may_retry and plan.route.idempotent else 1
        if not self._enter_budget(call, plan):
            return over_retry_budget(plan)
        run = CallRun(self._parts, call, plan, router, watch, attempts=attempts)
        outcome = await run.run()
        self._retries += max(0, run.tried - 1)
        return outcome

    def spread_retry(self, refusal: NotRun, deadline: float) -> NotRun:
        """A refusal for overload with a random retry delay, as `run` returns them."""
        remaining = deadline - self._timers.now()
        return with_spread_retry(refusal, remaining=remaining, seed=self._parts.seed)

    def _enter_budget(self, call: Call, plan: Plan) -> bool:
        """Count a call for the retry budget of its service.

        The nested call of a retry takes a retry instead; returns false if there is none.
        """
        budgets = self._parts.budgets
        if call.is_repeat:
            return budgets.take(plan.service.name)
        budgets.deposit(plan.service.name, plan.retry.budget_percent)
        return True

    # --- calls with a streamed body -----------------------------------------------------------

    async def admit(
        self, call: Call, plan: Plan, router: Router
    ) -> Attempt | NotRun | OutcomeUnknown:
        """Offer a call whose body is not read yet until a host admits it.

        Returns the admitted attempt, or the last refusal.
        """
        if not self._enter_budget(call, plan):
            return over_retry_budget(plan)
        was_made = True
        try:
            admitted = await self._admit(call, plan, router)
            was_made = not isinstance(admitted, NotRun)
            return admitted
        finally:
            if call.is_repeat:
                self._parts.budgets.settle(plan.service.name, was_made=was_made)

    async def _admit(
        self, call: Call, plan: Plan, router: Router
    ) -> Attempt | NotRun | OutcomeUnknown:
        refused: set[str] = set()
        last = no_target(plan, self._parts.rollouts)
        suspects = self._parts.suspects
        while True:
            suspicion = suspects.of(call)
            barred = suspects.refusal_of(suspicion)
            if barred is not None:
                return barred
            candidate = self._candidate(suspicion, plan, router, refused)
            if candidate is None:
                return last
            offered = call.with_changes(suspicion=suspicion)
            attempt = self._parts.attempt(offered, candidate, route=plan.route.name)
            refusal = await self._await_admission(attempt, call)
            if refusal is None:
                return attempt
            attempt.end(refusal)
            attempt.exchange.close()
            if isinstance(refusal, OutcomeUnknown):
                return refusal
            last = refusal
            refused.add(candidate.host)
            if suspicion is not None or len(refused) >= MAX_OFFERS:
                return last

    def _candidate(
        self, suspicion: Suspicion | None, plan: Plan, router: Router, refused: set[str]
    ) -> Candidate | None:
        picker = self._parts.picker
        if suspicion is None:
            return picker.pick(plan, router, avoid=refused)
        return picker.pick_for_trial(plan, router, key=suspicion.fingerprint, avoid=refused)

    async def _await_admission(
        self, attempt: Attempt, call: Call
    ) -> NotRun | OutcomeUnknown | None:
        try:
            with self._timers.timeout(call.deadline - self._timers.now()):
                return await attempt.exchange.start() or await attempt.exchange.wait_admitted()
        except BaseException:
            attempt.close()
            raise
        if attempt.exchange.was_sent:
            return OutcomeUnknown(
                "the target's daemon did not say in time whether it runs the call"
            )
        return NotRun("no host admitted the call before its deadline", 1.0, is_overload=True)
