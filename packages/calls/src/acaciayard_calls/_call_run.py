"""One call on its way to a target: offers, tries, and a second try beside a slow first one."""

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

from ._attempt import Answered, Attempt, CallParts
from ._attempt_timer import AttemptTimer, Limit

__all__ = ["CallRun", "no_target"]

#: Statuses of a target that an idempotent call is retried after.
_RETRIED_STATUSES: Final = (500, 502, 503, 504)
#: Hosts that a second try beside a slow first one is offered to; they take it only with a slot
#: free, and where two of them have none the mesh is too busy for second tries.
_HEDGE_OFFERS: Final = 2
#: Seconds that a caller is told to wait where no host takes calls for the service: a daemon that
#: has just started hears of the others within so long.
_NO_TARGET_RETRY_AFTER: Final = 0.2
#: Part of the time that a caller has left after which it is told to come back, from least to most:
#: when a short crowd is over, and spread so that those who are refused together do not come back
#: together.  Sooner they would stand before calls that can still be in time: from a tenth on, calls
#: in their goal fell from 92 to 91 in 100 where slots lack for one call in ten.
_COME_BACK: Final = (0.2, 0.33)
#: Seconds within which a daemon says that a call has come to it.  Between failure domains that
#: takes 3 ms, and some more where a daemon is busy; a call that waits longer costs its caller more
#: than a second offer does.
_SIGN_WITHIN: Final = 0.06


@define(eq=False)
class _Hedge:
    """A second try that runs beside a slow first one."""

    #: Set when it has ended.
    done: anyio.Event
    #: Its present attempt.
    attempt: Attempt | None = None
    #: The answer that it got first.
    answered: Answered | None = None
    #: Whether a target may have got the call by it.
    was_sent: bool = False
    #: Whether nobody waits for it any more.
    is_over: bool = False

    def give_up(self) -> None:
        """Nobody waits for it any more."""
        self.is_over = True
        if self.attempt is not None and not self.done.is_set():
            self.attempt.cut("the first try was answered", is_given_up=True)


class CallRun:
    """Runs one call whose body is whole.

    A call that is refused as not run is offered to further hosts.  A call that may have run is
    tried again only where that does no harm, within its policy and the budget of its service.  A
    slow first try is not broken off: a second one runs beside it, at a host with a slot free, and
    the first good answer counts.
    """

    def __init__(
        self,
        parts: CallParts,
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

    @property
    def tried(self) -> int:
        """Tries by which the call may have run."""
        return self._tried

    async def run(self) -> Answered | NotRun | OutcomeUnknown:
        """Run the call to its end."""
        outcome = await self._run()
        if isinstance(outcome, NotRun) and outcome.is_overload:
            return self._spread(outcome)
        return outcome

    def _spread(self, refusal: NotRun) -> NotRun:
        """Tell callers that are refused at one moment to come back at different ones.

        What a caller has left bounds it: it will not wait for more than a third of that.
        """
        left = max(0.0, self._call.deadline - self._timers.now())
        seconds = left * self._parts.seed.uniform(*_COME_BACK)
        return evolve(refusal, retry_after=max(refusal.retry_after, seconds))

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
                self._offered(offer), offer.candidate, route=self._plan.route.name
            )
            outcome = await self._try(attempt)
            hedged = await self._result_of_hedge(outcome)
            if hedged is not None:
                attempt.exchange.close()
                return hedged
            match outcome:
                case Answer() if self._is_final(outcome):
                    return Answered(outcome, attempt)
                case NotRun():
                    attempt.exchange.close()
                    last = outcome if isinstance(last, NotRun) else last
                    self._offers.note_refused(offer, outcome)
                    is_on_trial = self._suspicion is not None and outcome.is_overload
                    if is_on_trial or outcome.is_barred or not self._may_offer_again(outcome):
                        return last
                    continue
                case OutcomeUnknown():
                    attempt.exchange.close()
                    last = outcome
                case Answer():
                    last = _kept_for_later(outcome, attempt)
            self._tried += 1
            if not await self._may_try_again():
                return Answered(outcome, attempt) if isinstance(outcome, Answer) else last
            attempt.exchange.close()
            self._offers.exclude(offer.candidate.host)

    def _next_offer(self) -> Offer | None:
        """The next host; a call under suspicion goes to that of its trial and to no other."""
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

    def _offered(self, offer: Offer) -> Call:
        """The call as it is offered to a host."""
        call = self._numbered()
        start_by = call.start_by if offer.may_wait else self._timers.now()
        if start_by == call.start_by and call.suspicion is self._suspicion:
            return call
        return call.with_changes(start_by=start_by, suspicion=self._suspicion)

    def _numbered(self) -> Call:
        """The call with the number of its attempt, for the services behind not to retry as well."""
        name = self._parts.dialect.attempt
        if self._tried == 0:
            return self._call
        line = b"%s: %d\r\n" % (name, self._tried + 1) if name else b""
        return self._call.with_changes(fields=self._call.fields + line, is_repeat=True)

    # --- one attempt --------------------------------------------------------------------------

    async def _try(self, attempt: Attempt) -> Answer | NotRun | OutcomeUnknown:
        """Make one attempt."""
        self._current = attempt
        self._watch.follow(attempt.exchange)
        limits = []
        if not attempt.exchange.is_acknowledged:
            limits.append(Limit(attempt.started + _SIGN_WITHIN, self._on_no_sign))
        slow_at = attempt.started + self._plan.retry.per_try_s
        if self._may_hedge() and slow_at < self._call.deadline:
            limits.append(Limit(slow_at, self._on_slow))
        return await self._finish(attempt, limits)

    async def _finish(
        self, attempt: Attempt, limits: Sequence[Limit] = ()
    ) -> Answer | NotRun | OutcomeUnknown:
        """Make one attempt and tell how it has ended."""
        known = self._suspects.of(self._call)
        expiry = Limit(self._call.deadline, lambda: attempt.cut("no answer before the deadline"))
        timer = AttemptTimer(self._timers, [*limits, expiry])
        attempt.exchange.on_acknowledged(lambda: timer.drop(self._on_no_sign))
        outcome: Answer | NotRun | OutcomeUnknown
        try:
            outcome = await attempt.exchange.start() or await attempt.exchange.answer()
        except BaseException:
            attempt.close()
            raise
        finally:
            timer.cancel()
        if attempt.cut_because and isinstance(outcome, OutcomeUnknown):
            outcome = evolve(outcome, reason=attempt.cut_because, is_silent=attempt.is_silent)
        attempt.was_given_up = attempt.was_given_up or self._watch.is_given_up
        attempt.end(outcome)
        if isinstance(outcome, NotRun) and not outcome.is_by_target:
            self._check_not_run(attempt)
        if isinstance(outcome, OutcomeUnknown) and outcome.is_blamed:
            # What the target's daemon tells all comes some milliseconds later.
            self._suspects.note_end(self._call, known, is_own=False)
        ms = round((self._timers.now() - attempt.started) * 1000, 1)
        told = _told(outcome) + attempt.told_version
        self._watch.tries.append(Try(attempt.candidate.host, told, ms))
        return outcome

    def _check_not_run(self, attempt: Attempt) -> None:
        """A local refusal must come before the first byte to the target."""
        if isinstance(attempt.exchange, LocalExchange):
            self._parts.invariants.expect(not attempt.exchange.was_sent, Invariant.NOT_RUN_IS_TRUE)

    def _may_offer_again(self, refusal: NotRun) -> bool:
        if self._watch.is_given_up:
            return False
        if self._timers.now() >= self._call.deadline:
            return False
        # A gate's refusal is no arrival at a target, so it costs nothing of the retry budget.
        return not refusal.is_by_target or self._take_repeat()

    async def _may_try_again(self) -> bool:
        """Wait before a retry; false when the budget or the time does not allow one."""
        if self._watch.is_given_up or self._tried >= self._attempts:
            return False
        factor = 2 ** (self._tried - 1) * self._parts.seed.uniform(0.5, 1.5)
        pause = self._plan.retry.backoff_ms / 1000 * factor
        if self._timers.now() + pause >= self._call.deadline or not self._take_repeat():
            return False
        if pause > 0:
            await self._timers.sleep(pause)
        return True

    def _take_repeat(self) -> bool:
        return self._parts.budgets.take(self._plan.service.name)

    # --- a second try beside a slow first one -------------------------------------------------

    def _may_hedge(self) -> bool:
        is_sole = self._hedge is None and self._suspicion is None
        return is_sole and self._tried + 1 < self._attempts

    def _on_no_sign(self) -> None:
        """The host should have said by now that the call has come.

        A host that lost its power or its links stays silent for good.  A call that it never took
        goes elsewhere; one that it may run is tried elsewhere beside it.
        """
        attempt = self._current
        if attempt is None or attempt.exchange.is_acknowledged:
            return
        attempt.is_silent = True
        if not attempt.exchange.is_committed:
            attempt.cut(f"no sign from the host within {_SIGN_WITHIN:g} s")
            return
        self._parts.picker.note_silent(attempt.candidate)
        self._start_hedge(self._call)

    def _on_slow(self) -> None:
        """Only a host with a slot free may take the second try: it is not to wait for one."""
        self._start_hedge(self._call.with_changes(start_by=self._timers.now()))

    def _start_hedge(self, call: Call) -> None:
        if not self._may_hedge() or self._current is None or not self._take_repeat():
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
                    self._win(hedge, outcome)
                    return
                hedge.attempt.exchange.close()
                if not isinstance(outcome, NotRun) or outcome.is_by_target:
                    hedge.was_sent = True
                    return
                avoid.add(candidate.host)
        finally:
            if not hedge.was_sent:
                self._parts.budgets.give_back(self._plan.service.name)
            hedge.done.set()

    def _win(self, hedge: _Hedge, answer: Answer) -> None:
        hedge.was_sent = True
        assert hedge.attempt is not None
        if answer.status in _RETRIED_STATUSES:
            hedge.attempt.exchange.close()
            return
        hedge.answered = Answered(answer, hedge.attempt)
        if self._current is not None:
            self._current.cut("another host answered first", is_given_up=True)

    async def _result_of_hedge(self, first: Answer | NotRun | OutcomeUnknown) -> Answered | None:
        """The answer of the second try, where it came first or the first one failed."""
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


def _told(outcome: Answer | NotRun | OutcomeUnknown) -> str:
    """An outcome as logs tell it."""
    match outcome:
        case Answer(status=status):
            return f"answer {status}"
        case NotRun(reason=reason):
            return f"refused: {reason}"
        case OutcomeUnknown(reason=reason):
            return f"unknown: {reason}"


def _kept_for_later(answer: Answer, attempt: Attempt) -> Answered | OutcomeUnknown:
    """What is told of a failed attempt when none after it comes further.

    The call has run, so whatever refuses it later, it cannot be told as not run.
    """
    if answer.is_whole:
        return Answered(answer, attempt)
    return OutcomeUnknown(f"a target answered {answer.status} and no other host took the call")


def no_target(plan: Plan, rollouts: RolloutBook) -> NotRun:
    """The refusal where no host takes calls for the service."""
    versions = rollouts.versions(plan.service.name)
    if versions.refusal:
        return NotRun(versions.refusal, versions.retry_after)
    return NotRun(f"no target of service {plan.service.name!r} takes calls", _NO_TARGET_RETRY_AFTER)
