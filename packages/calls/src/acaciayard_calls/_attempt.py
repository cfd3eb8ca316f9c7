"""One attempt of a call at one host, and the dependencies that all calls of a daemon share."""

from __future__ import annotations

import random
from typing import Final

import anyio.abc
from attrs import define, frozen

from acaciayard_admission import LocalExchange, LocalTargets, RetryBudgets, Suspects
from acaciayard_callmodel import Answer, Call, Dialect, NotRun, OutcomeUnknown
from acaciayard_handover import RemoteExchange, StreamPool
from acaciayard_resources import Invariants
from acaciayard_rollouts import NO_ROLLOUTS, RolloutBook, RolloutRun
from acaciayard_routing import Candidate, Picker
from acaciayard_timers import TimerService

__all__ = ["Answered", "Attempt", "DispatchContext"]


@define(eq=False)
class Attempt:
    """A call that is offered to or runs at one host."""

    candidate: Candidate
    #: Carries the request to the host and the response back.
    exchange: LocalExchange | RemoteExchange
    #: Selects hosts and is informed of the outcome.
    _picker: Picker
    #: Start time on the clock of the timer service.
    started: float
    #: Why the attempt was aborted, empty if it was not.
    abort_reason: str = ""
    #: Whether it was aborted because its response is no longer needed.
    was_given_up: bool = False
    #: Whether the host did not acknowledge the call in time.
    is_silent: bool = False
    #: Receives the outcome for the rollout of the service; `None` if no rollout is in progress.
    _run: RolloutRun | None = None
    _ended: bool = False

    @property
    def version_suffix(self) -> str:
        """Version of the attempt's target as a suffix for logs; empty without a rollout."""
        return f" by {self.candidate.version}" if self._run is not None else ""

    def end(self, outcome: Answer | NotRun | OutcomeUnknown) -> None:
        """Report the outcome to the picker and to the rollout; later calls have no effect."""
        if not self._ended:
            self._ended = True
            exchange = self.exchange
            if exchange.notices:
                self._picker.hear(self.candidate, exchange.notices, asked_at=self.started)
            self._picker.end(self.candidate, outcome, exchange.load, exchange.mean_seconds)
            if self._run is not None:
                self._end_run(self._run, outcome)

    def _end_run(self, run: RolloutRun, outcome: Answer | NotRun | OutcomeUnknown) -> None:
        """Report the outcome to the rollout as success, failure, refusal or no evidence."""
        match outcome:
            case Answer(is_nested_failure=True):
                run.end_unknown()  # caused by the failure of another service
            case Answer(status=status):
                run.end(is_bad=status >= 500)
            case OutcomeUnknown(is_silent=is_silent) if self.was_given_up or is_silent:
                run.end_unknown()  # the caller or the host was lost: no evidence on the version
            case OutcomeUnknown():
                run.end(is_bad=True)
            case NotRun(is_by_target=True):
                run.end_unknown()
            case _ if outcome is _GIVEN_UP and self.exchange.was_sent:
                run.end_unknown()
            case _:
                run.end_refused()

    def abort(self, reason: str, *, is_given_up: bool = False) -> None:
        """Abort the attempt before its response; `is_given_up` if that is no longer needed."""
        self.abort_reason = reason
        self.was_given_up = is_given_up
        self.exchange.abort()

    def close(self) -> None:
        """Release all resources; cancels the call if it has not ended."""
        self.end(_GIVEN_UP)
        self.exchange.close()


#: Outcome of an attempt that the caller abandoned; it is not counted against the host.
_GIVEN_UP: Final = NotRun("given up", 0.0, is_overload=True)


@frozen
class Answered:
    """A target's response; the attempt must be closed once the response was relayed."""

    answer: Answer
    #: Source of the rest of the response body.
    attempt: Attempt


@frozen
class DispatchContext:
    """The dependencies that all calls of a daemon share."""

    #: Name of this host.
    host: str
    #: Selects hosts for calls.
    picker: Picker
    #: Targets on this host.
    targets: LocalTargets
    #: Pooled streams to other daemons.
    pool: StreamPool
    timers: TimerService
    #: Source of random numbers.
    seed: random.Random
    #: Invariants that are checked at run time.
    invariants: Invariants
    #: Names of the header fields.
    dialect: Dialect
    #: Requests that are suspected of crashing targets.
    suspects: Suspects
    #: Retry budgets of the services.
    budgets: RetryBudgets
    #: Runs hedged requests.
    tasks: anyio.abc.TaskGroup
    #: Which versions of a service may get calls during a rollout.
    rollouts: RolloutBook = NO_ROLLOUTS

    def attempt(self, call: Call, candidate: Candidate, *, route: str) -> Attempt:
        """Create an attempt of a call at `candidate`; it has not started yet."""
        self.picker.begin(candidate)
        run = self.rollouts.begin(
            call.service,
            route,
            version=candidate.version,
            host=candidate.host,
            is_cold=self.timers.now() < candidate.cold_until,
        )
        forwarded = self.picker.notices_of(candidate.host)
        exchange: LocalExchange | RemoteExchange
        if candidate.host == self.host:
            self.targets.adopt(forwarded)
            exchange = LocalExchange(
                call,
                targets=self.targets,
                timers=self.timers,
                dialect=self.dialect,
                is_streamed=not call.is_whole,
            )
        else:
            exchange = RemoteExchange(
                call,
                address=candidate.address,
                pool=self.pool,
                timers=self.timers,
                forwarded=forwarded,
            )
        return Attempt(candidate, exchange, self.picker, self.timers.now(), run=run)
