"""One attempt of a call at one host, and what all attempts of a daemon share."""

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

__all__ = ["Answered", "Attempt", "CallParts"]


@define(eq=False)
class Attempt:
    """A call on its way to one host."""

    #: The host.
    candidate: Candidate
    #: The conversation with it.
    exchange: LocalExchange | RemoteExchange
    #: Picks hosts; told how the attempt ends.
    _picker: Picker
    #: When it began, by the timer service.
    started: float
    #: Why this attempt was cut, empty where it was not.
    cut_because: str = ""
    #: Whether it was cut because nobody wanted its answer any more.
    was_given_up: bool = False
    #: Whether the host gave no sign of life in time.
    is_silent: bool = False
    #: What the rollout of the service is told, `None` where it is not moving.
    _run: RolloutRun | None = None
    _ended: bool = False

    @property
    def told_version(self) -> str:
        """Which version has the call, as logs tell it; empty where the service is not moving."""
        return f" by {self.candidate.version}" if self._run is not None else ""

    def end(self, outcome: Answer | NotRun | OutcomeUnknown) -> None:
        """Tell how the attempt has ended; only the first word counts."""
        if not self._ended:
            self._ended = True
            exchange = self.exchange
            self._picker.end(self.candidate, outcome, exchange.load, exchange.pace)
            if self._run is not None:
                self._end_run(self._run, outcome)

    def _end_run(self, run: RolloutRun, outcome: Answer | NotRun | OutcomeUnknown) -> None:
        """Tell a rollout what its version has done with the call."""
        match outcome:
            case Answer(lacks_inner=True):
                run.end_unknown()  # another service has failed the call
            case Answer(status=status):
                run.end(is_bad=status >= 500)
            case OutcomeUnknown(is_silent=is_silent) if self.was_given_up or is_silent:
                run.end_unknown()  # the caller or the whole host has gone: no word on a version
            case OutcomeUnknown():
                run.end(is_bad=True)
            case NotRun(is_by_target=True):
                run.end_unknown()
            case _ if outcome is _GIVEN_UP and self.exchange.was_sent:
                run.end_unknown()
            case _:
                run.end_refused()

    def cut(self, reason: str, *, is_given_up: bool = False) -> None:
        """End the attempt before its answer has come; `is_given_up` where nobody wants that."""
        self.cut_because = reason
        self.was_given_up = is_given_up
        self.exchange.abort()

    def close(self) -> None:
        """Release everything, cancelling the call where it has not ended."""
        self.end(_GIVEN_UP)
        self.exchange.close()


#: How an attempt counts that the caller has given up; no fault of the host.
_GIVEN_UP: Final = NotRun("given up", 0.0, is_overload=True)


@frozen
class Answered:
    """A target has answered; the attempt must be closed when the answer has been relayed."""

    #: What it said.
    answer: Answer
    #: Where the rest of its body comes from.
    attempt: Attempt


@frozen
class CallParts:
    """What all calls of a daemon share."""

    #: Name of this host.
    host: str
    #: Picks hosts.
    picker: Picker
    #: Targets on this host.
    targets: LocalTargets
    #: Streams to other daemons.
    pool: StreamPool
    #: Time.
    timers: TimerService
    #: Randomness.
    seed: random.Random
    #: Promises that are checked.
    invariants: Invariants
    #: Names of header fields.
    dialect: Dialect
    #: Requests that are suspected of ending targets.
    suspects: Suspects
    #: How many tries beyond the first are allowed.
    budgets: RetryBudgets
    #: Where second tries beside a slow first one run.
    tasks: anyio.abc.TaskGroup
    #: Which versions of a service may get calls while it moves to another one.
    rollouts: RolloutBook = NO_ROLLOUTS

    def attempt(self, call: Call, candidate: Candidate, *, route: str) -> Attempt:
        """An attempt of a call of a route that has not started yet."""
        self.picker.begin(candidate)
        run = self.rollouts.begin(
            call.service,
            route,
            version=candidate.version,
            host=candidate.host,
            is_cold=self.timers.now() < candidate.cold_until,
        )
        exchange: LocalExchange | RemoteExchange
        if candidate.host == self.host:
            exchange = LocalExchange(
                call, targets=self.targets, timers=self.timers, dialect=self.dialect
            )
        else:
            exchange = RemoteExchange(
                call, address=candidate.address, pool=self.pool, timers=self.timers
            )
        return Attempt(candidate, exchange, self.picker, self.timers.now(), run=run)
