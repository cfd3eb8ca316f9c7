"""Runs one call at a target: offers to hosts, retries and hedged requests."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import anyio
from attrs import define, evolve

from acaciayard_admission import LocalExchange
from acaciayard_callmodel import Answer, Call, CallWatch, NotRun, OutcomeUnknown, Try
from acaciayard_membership import Suspicion
from acaciayard_resources import Invariant
from acaciayard_rollouts import RolloutBook
from acaciayard_routing import Offer, Offers, Plan, Router
from acaciayard_timers import ProcessorPart

from ._attempt import Answered, Attempt, DispatchContext
from ._attempt_timer import AttemptTimer, TimedAction, on_overdue
from ._waits import with_spread_retry

__all__ = ["CallRun", "no_target", "over_retry_budget"]

#: Statuses of a target after which an idempotent call is retried.
_RETRIED_STATUSES: Final = (500, 502, 503, 504)
#: Hosts to which a hedged request is offered.  They accept it only with a free slot, and if two of
#: them have none, the mesh is too busy for hedged requests.
_HEDGE_OFFERS: Final = 2
#: Retry-After in seconds if no host accepts calls for the service.  A daemon that has just started
#: learns of the other hosts within this time.
_NO_TARGET_RETRY_AFTER_S: Final = 0.2
#: Retry-After in seconds of a nested call for which the retry budget has no room.
_OVER_BUDGET_RETRY_AFTER_S: Final = 1.0
#: Seconds within which a daemon acknowledges a call.  Between failure domains this takes 3 ms, and
#: somewhat longer if a daemon is busy; waiting longer costs the caller more than a second offer.
_ACKNOWLEDGE_TIMEOUT_S: Final = 0.06


@define(eq=False)
class _Hedge:
    """A hedged request: a second attempt that runs concurrently with a slow first one."""

    #: Set when it has ended.
    done: anyio.Event
    #: Its current attempt.
    attempt: Attempt | None = None
    #: Its response, if that came before the one of the first attempt.
    answered: Answered | None = None
    #: Whether a target may have received the call through it.
    was_sent: bool = False
    #: Whether its result is no longer needed.
    is_over: bool = False

    def give_up(self) -> None:
        """Abort it, as its result is no longer needed."""
        self.is_over = True
        if self.attempt is not None and not self.done.is_set():
            self.attempt.abort("the first try was answered", is_given_up=True)


class CallRun:
    """Runs one call whose body is complete.

    A call that is refused without having run is offered to further hosts.  A call that may have run
    is retried only if it is idempotent, within its retry policy and the retry budget of its
    service.  A slow first attempt is not aborted: a hedged request runs concurrently, at a host
    with a free slot, and the first successful response is used.
    """

    def __init__(
        self,
        parts: DispatchContext,
        call: Call,
        plan: Plan,
        router: Router,
        watch: CallWatch,
        *,
        attempts: int,
    ) -> None:
        self._parts = parts
        self._timers = parts.timers
        self._call = call
        self._plan = plan
        self._router = router
        self._watch = watch
        self._attempts = attempts
        self._suspects = parts.suspects
        self._suspicion: Suspicion | None = None
        self._tried = 0
        self._offers = Offers(
            parts.picker,
            plan,
            router,
            is_late=call.start_by <= parts.timers.now(),
            prefers_fastest=call.prefers_fastest,
        )
        self._current: Attempt | None = None
        self._hedge: _Hedge | None = None
        #: Whether a retry was taken from the budget that no attempt has used yet; for a nested call
        #: of a retry, already the first attempt uses one.
        self._has_pending_retry = call.is_repeat

    @property
    def tried(self) -> int:
        """Number of attempts by which the call may have run."""
        return self._tried

    async def run(self) -> Answered | NotRun | OutcomeUnknown:
        """Run the call until it has a final outcome, and return that."""
        try:
            outcome = await self._run()
        except BaseException:
            self._end_retry(was_made=True)  # its attempt may have reached a target
            raise
        self._end_retry(was_made=False)
        if isinstance(outcome, NotRun) and outcome.is_overload:
            remaining = self._call.deadline - self._timers.now()
            return with_spread_retry(outcome, remaining=remaining, seed=self._parts.seed)
        return outcome

    async def _run(self) -> Answered | NotRun | OutcomeUnknown:
        last: Answered | NotRun | OutcomeUnknown = no_target(self._plan, self._parts.rollouts)
        while True:
            self._suspicion = self._suspects.of(self._call)
            refusal = self._suspects.refusal_of(self._suspicion)
            if refusal is not None:
                return refusal if isinstance(last, NotRun) else last
            offer = self._next_offer()
            if offer is None:
                return last
            attempt = self._parts.attempt(
                self._call_for_offer(offer), offer.candidate, route=self._plan.route.name
            )
            outcome = await self._try(attempt)
            if not isinstance(outcome, NotRun) or outcome.is_by_target:
                self._end_retry(was_made=True)
            hedge_result = await self._result_of_hedge(outcome)
            if hedge_result is not None:
                attempt.exchange.close()
                return hedge_result
            match outcome:
                case Answer() if self._is_final(outcome):
                    return Answered(outcome, attempt)
                case NotRun():
                    attempt.exchange.close()
                    last = outcome if isinstance(last, NotRun) else last
                    self._offers.note_refused(offer, outcome)
                    is_trial_refused = self._suspicion is not None and outcome.is_overload
                    if is_trial_refused or outcome.is_barred or not self._may_offer_again(outcome):
                        return last
                    continue
                case OutcomeUnknown():
                    attempt.exchange.close()
                    last = outcome
                case Answer():
                    last = _fallback_outcome(outcome, attempt)
            self._tried += 1
            if not await self._may_try_again():
                return Answered(outcome, attempt) if isinstance(outcome, Answer) else last
            attempt.exchange.close()
            self._offers.exclude(offer.candidate.host)

    def _next_offer(self) -> Offer | None:
        """The next host; a suspected call is offered only to the host of its trial."""
        if self._suspicion is None:
            return self._offers.next()
        key = self._suspicion.fingerprint
        avoid = self._offers.failed
        candidate = self._parts.picker.pick_for_trial(
            self._plan, self._router, key=key, avoid=avoid
        )
        return None if candidate is None else Offer(candidate, may_wait=True)

    def _is_final(self, answer: Answer) -> bool:
        return self._tried + 1 >= self._attempts or answer.status not in _RETRIED_STATUSES

    def _call_for_offer(self, offer: Offer) -> Call:
        """The call as it is offered to a host, with its suspicion and its limit for queueing."""
        call = self._with_attempt_number()
        start_by = call.start_by if offer.may_wait else self._timers.now()
        if start_by == call.start_by and call.suspicion is self._suspicion:
            return call
        return call.with_changes(start_by=start_by, suspicion=self._suspicion)

    def _with_attempt_number(self) -> Call:
        """The call with its attempt number as a header, so that services behind do not retry it."""
        name = self._parts.dialect.attempt
        if self._tried == 0:
            # A target may have rejected it, so that the next one gets a retry.
            is_repeat = self._has_pending_retry
            return self._call.with_changes(is_repeat=True) if is_repeat else self._call
        line = b"%s: %d\r\n" % (name, self._tried + 1) if name else b""
        return self._call.with_changes(fields=self._call.fields + line, is_repeat=True)

    # --- one attempt --------------------------------------------------------------------------

    async def _try(self, attempt: Attempt) -> Answer | NotRun | OutcomeUnknown:
        """Make one attempt, with a hedged request beside it if it is slow or unacknowledged."""
        self._current = attempt
        self._watch.follow(attempt.exchange)
        actions = []
        if not attempt.exchange.is_acknowledged:
            wait = self._timers.reply_wait(_ACKNOWLEDGE_TIMEOUT_S)
            actions.append(on_overdue(wait, self._on_unacknowledged))
        slow_at = attempt.started + self._plan.retry.per_try_s
        if self._may_hedge() and slow_at < self._call.deadline:
            wait = self._timers.reply_wait(self._plan.retry.per_try_s)
            actions.append(on_overdue(wait, self._on_slow))
        return await self._finish(attempt, actions)

    async def _finish(
        self, attempt: Attempt, actions: Sequence[TimedAction] = ()
    ) -> Answer | NotRun | OutcomeUnknown:
        """Make one attempt and report its outcome."""
        known = self._suspects.of(self._call)
        expiry = TimedAction(
            self._call.deadline, lambda: attempt.abort("no answer before the deadline")
        )
        timer = AttemptTimer(self._timers, [*actions, expiry])
        attempt.exchange.on_acknowledged(lambda: timer.drop(self._on_unacknowledged))
        outcome: Answer | NotRun | OutcomeUnknown
        try:
            outcome = await attempt.exchange.start() or await attempt.exchange.answer()
        except BaseException:
            attempt.close()
            raise
        finally:
            timer.cancel()
        if attempt.abort_reason:
            outcome = _with_abort_reason(outcome, attempt)
        attempt.was_given_up = attempt.was_given_up or self._watch.is_given_up
        attempt.end(outcome)
        if isinstance(outcome, NotRun) and not outcome.is_by_target:
            self._check_not_run(attempt)
        if isinstance(outcome, OutcomeUnknown) and outcome.is_blamed:
            # The report that the target's daemon broadcasts arrives some milliseconds later.
            self._suspects.note_end(self._call, known, is_own=False)
        ms = round((self._timers.now() - attempt.started) * 1000, 1)
        description = _describe(outcome) + attempt.version_suffix
        self._watch.tries.append(Try(attempt.candidate.host, description, ms))
        return outcome

    def _check_not_run(self, attempt: Attempt) -> None:
        """Check the invariant that a local refusal precedes the first byte sent to the target."""
        if isinstance(attempt.exchange, LocalExchange):
            self._parts.invariants.expect(not attempt.exchange.was_sent, Invariant.NOT_RUN_IS_TRUE)

    def _may_offer_again(self, refusal: NotRun) -> bool:
        if self._watch.is_given_up:
            return False
        if self._timers.now() >= self._call.deadline:
            return False
        # A call that a gate refuses has not reached a target, so it does not use the retry budget.
        return not refusal.is_by_target or self._take_retry()

    async def _may_try_again(self) -> bool:
        """Wait for the backoff before a retry; false if the budget or deadline rules one out."""
        if self._watch.is_given_up or self._tried >= self._attempts:
            return False
        factor = 2 ** (self._tried - 1) * self._parts.seed.uniform(0.5, 1.5)
        delay = self._plan.retry.backoff_ms / 1000 * factor
        if self._timers.now() + delay >= self._call.deadline or not self._take_retry():
            return False
        if delay > 0:
            await self._timers.sleep(delay)
        return True

    def _take_retry(self) -> bool:
        """Take a retry for the next attempt that reaches a target; false if there is none."""
        self._has_pending_retry = self._parts.budgets.take(self._plan.service.name)
        self._watch.is_over_retry_budget |= not self._has_pending_retry
        return self._has_pending_retry

    def _end_retry(self, *, was_made: bool) -> None:
        """Record what became of the retry that was taken, if there is one."""
        if self._has_pending_retry:
            self._has_pending_retry = False
            self._parts.budgets.settle(self._plan.service.name, was_made=was_made)

    # --- hedged requests ----------------------------------------------------------------------

    def _may_hedge(self) -> bool:
        is_sole = self._hedge is None and self._suspicion is None
        return is_sole and self._tried + 1 < self._attempts

    def _on_unacknowledged(self) -> None:
        """Handle a host that has not acknowledged the call in time.

        A host that lost power or network access never responds.  A call that it cannot run without
        a further message is aborted and offered to another host; for a call that it may run, a
        hedged request is started.
        """
        attempt = self._current
        if attempt is None or attempt.exchange.is_acknowledged:
            return
        attempt.is_silent = True
        attempt.exchange.note_silent()
        if not attempt.exchange.is_committed:
            attempt.abort(f"no sign from the host within {_ACKNOWLEDGE_TIMEOUT_S:g} s")
            return
        self._parts.picker.note_silent(attempt.candidate)
        self._start_hedge(self._call)

    def _on_slow(self) -> None:
        """Start a hedged request that only a host with a free slot may accept, without queueing."""
        self._start_hedge(self._call.with_changes(start_by=self._timers.now()))

    def _start_hedge(self, call: Call) -> None:
        if not self._may_hedge() or self._current is None:
            return
        if not self._parts.budgets.take(self._plan.service.name, is_hedge=True):
            return
        self._hedge = _Hedge(anyio.Event())
        avoid = {*self._offers.tried, self._current.candidate.host}
        repeat = call.with_changes(is_repeat=True)
        work = (self._run_hedge, self._hedge, repeat, avoid)
        self._parts.tasks.start_soon(self._timers.account.run, ProcessorPart.ENTRY, *work)

    async def _run_hedge(self, hedge: _Hedge, call: Call, avoid: set[str]) -> None:
        try:
            for _ in range(_HEDGE_OFFERS):
                candidate = self._parts.picker.pick(self._plan, self._router, avoid=avoid)
                if candidate is None or hedge.is_over:
                    return
                hedge.attempt = self._parts.attempt(call, candidate, route=self._plan.route.name)
                self._watch.follow(hedge.attempt.exchange)
                outcome = await self._finish(hedge.attempt)
                if isinstance(outcome, Answer) and not hedge.is_over:
                    self._accept_hedge(hedge, outcome)
                    return
                hedge.attempt.exchange.close()
                if not isinstance(outcome, NotRun) or outcome.is_by_target:
                    hedge.was_sent = True
                    return
                avoid.add(candidate.host)
        finally:
            self._parts.budgets.settle(self._plan.service.name, was_made=hedge.was_sent)
            hedge.done.set()

    def _accept_hedge(self, hedge: _Hedge, answer: Answer) -> None:
        hedge.was_sent = True
        assert hedge.attempt is not None
        if answer.status in _RETRIED_STATUSES:
            hedge.attempt.exchange.close()
            return
        hedge.answered = Answered(answer, hedge.attempt)
        if self._current is not None:
            self._current.abort("another host answered first", is_given_up=True)

    async def _result_of_hedge(self, first: Answer | NotRun | OutcomeUnknown) -> Answered | None:
        """The response of the hedged request, if it came first or the first attempt failed."""
        hedge = self._hedge
        if hedge is None or hedge.is_over:
            return None
        is_good = isinstance(first, Answer) and first.status not in _RETRIED_STATUSES
        if (is_good and hedge.answered is None) or self._watch.is_given_up:
            hedge.give_up()
            return None
        await hedge.done.wait()
        hedge.is_over = True
        self._tried += hedge.was_sent
        return hedge.answered


def _with_abort_reason(
    outcome: Answer | NotRun | OutcomeUnknown, attempt: Attempt
) -> Answer | NotRun | OutcomeUnknown:
    """The outcome of an aborted attempt, with the reason why it was aborted."""
    match outcome:
        case OutcomeUnknown():
            return evolve(outcome, reason=attempt.abort_reason, is_silent=attempt.is_silent)
        case NotRun(reason=reason):
            return evolve(outcome, reason=f"{reason}: {attempt.abort_reason}")
        case Answer():
            return outcome


def _describe(outcome: Answer | NotRun | OutcomeUnknown) -> str:
    """An outcome as it appears in logs."""
    match outcome:
        case Answer(status=status):
            return f"answer {status}"
        case NotRun(reason=reason):
            return f"refused: {reason}"
        case OutcomeUnknown(reason=reason):
            return f"unknown: {reason}"


def _fallback_outcome(answer: Answer, attempt: Attempt) -> Answered | OutcomeUnknown:
    """The outcome that is reported for a failed attempt if no later attempt improves on it.

    The call has run, so that it must not be reported as not run if later offers are refused.
    """
    if answer.is_whole:
        return Answered(answer, attempt)
    return OutcomeUnknown(f"a target answered {answer.status} and no other host took the call")


def over_retry_budget(plan: Plan) -> NotRun:
    """The refusal of a nested call of a retry, for which the budget of its service has no room."""
    reason = f"made by a retry, and the retry budget of {plan.service.name!r} is used up"
    return NotRun(reason, _OVER_BUDGET_RETRY_AFTER_S)


def no_target(plan: Plan, rollouts: RolloutBook) -> NotRun:
    """The refusal for a service for which no host accepts calls."""
    versions = rollouts.versions(plan.service.name)
    if versions.refusal:
        return NotRun(versions.refusal, versions.retry_after)
    return NotRun(
        f"no target of service {plan.service.name!r} takes calls", _NO_TARGET_RETRY_AFTER_S
    )
