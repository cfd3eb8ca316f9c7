"""Operators' changes: appended to the log, decided by its order, followed until in force."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Final

import anyio
import anyio.abc
from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from acaciayard_logservice import Appended, AppendUnknown, LogService, NotAppended
from acaciayard_membership import MemberTable
from acaciayard_resources import Outcome, Proposal, encode_record
from acaciayard_spread import CONFIGURATION_STREAM, Spread
from acaciayard_timers import Signal, TimerService

__all__ = ["ChangeService", "NotProposed", "Progress", "Unsure"]

#: Seconds for a change to be appended and decided.
_DECIDE_WITHIN: Final = 5.0
#: Seconds before an append is tried again, at first.
_APPEND_AGAIN: Final = 0.1
#: Seconds between two looks at how far a change has spread.
_LOOK_EVERY: Final = 0.1
#: Seconds for which a change is followed.
_FOLLOW_FOR: Final = 30.0
_CENSUS_WITHIN: Final = 0.3
#: Changes that are followed or remembered.
_CHANGES_KEPT: Final = 256
#: Hosts that are named in a progress report.
_MOST_NAMED: Final = 20
#: Range of recorded convergence times, in microseconds, and digits kept.
_LEAST_US: Final = 1
_MOST_US: Final = 600_000_000
_DIGITS: Final = 2


@frozen
class NotProposed:
    """The change is not in the log."""

    #: Why.
    reason: str


@frozen
class Unsure:
    """The change may be in the log or not; repeat it with the same identity to find out."""

    #: What happened.
    reason: str


@frozen
class Progress:
    """How far an accepted change has spread."""

    #: Version that it made.
    version: int
    #: Daemons that count as running.
    members: int
    #: Daemons that hold the version.
    held: int
    #: Daemons that have it, or a later one, in force.
    in_force: int
    #: Hosts that lack it; the first few.
    lacking: tuple[str, ...]
    #: Seconds since this daemon saw it accepted.
    seconds: float

    @property
    def is_everywhere(self) -> bool:
        """Whether it is in force on every daemon."""
        return self.in_force >= self.members


@define
class _Followed:
    version: int
    accepted_at: float
    progress: Progress
    changed: Signal = field(factory=Signal)
    is_over: bool = False


def _histogram() -> Any:
    return HdrHistogram(_LEAST_US, _MOST_US, _DIGITS)


class ChangeService:
    """Submits changes and follows them."""

    def __init__(
        self,
        *,
        spread: Spread,
        table: MemberTable,
        log: LogService,
        timers: TimerService,
        seed: random.Random,
        on_everywhere: Callable[[str, Progress], None],
    ) -> None:
        self._spread = spread
        self._table = table
        self._log = log
        self._timers = timers
        self._seed = seed
        self._on_everywhere = on_everywhere
        self._followed: OrderedDict[str, _Followed] = OrderedDict()
        self._convergence = _histogram()
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def convergence(self) -> Any:
        """Histogram of the microseconds from acceptance until in force everywhere."""
        return self._convergence

    async def run(self) -> None:
        """Follow changes for ever."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    def outcome(self, change_id: str) -> Outcome | None:
        """What became of a change, `None` when it is not known here."""
        return self._spread.holder.state.outcomes.get(change_id)

    # --- submitting ---------------------------------------------------------------------------

    async def submit(self, proposal: Proposal) -> Outcome | NotProposed | Unsure:
        """Append a change and wait for its outcome.

        Submitting the same change again, here or at another daemon, is harmless.
        """
        reason = self._spread.recovery.state.reason
        if not self._spread.recovery.state.is_done:
            return NotProposed(f"this daemon has not recovered yet: {reason}")
        result: Outcome | NotProposed | Unsure
        result = Unsure(f"no outcome within {_DECIDE_WITHIN:g} s")
        with self._timers.timeout(_DECIDE_WITHIN):
            result = await self._append_and_wait(proposal)
        if isinstance(result, Outcome) and result.is_accepted:
            self._follow(result)
        return result

    async def _append_and_wait(self, proposal: Proposal) -> Outcome | NotProposed | Unsure:
        payload = encode_record(proposal)
        pause = _APPEND_AGAIN
        may_be_in_log = False
        while True:
            known = self.outcome(proposal.change_id)
            if known is not None:
                return known
            match await self._log.append(CONFIGURATION_STREAM, payload):
                case Appended(offset):
                    return await self._wait_for(proposal.change_id, offset)
                case NotAppended(reason) if not may_be_in_log and pause > 1.0:
                    return NotProposed(reason)
                case NotAppended():
                    pass
                case AppendUnknown():
                    may_be_in_log = True
            await self._timers.sleep(pause * self._seed.uniform(0.5, 1.5))
            pause *= 2

    async def _wait_for(self, change_id: str, offset: int) -> Outcome | Unsure:
        holder = self._spread.holder
        while holder.position <= offset:
            seen = holder.changed.count
            if holder.position <= offset:
                await holder.changed.wait_beyond(seen)
        return self.outcome(change_id) or Unsure("its outcome is no longer kept")

    # --- following ----------------------------------------------------------------------------

    def progress(self, change_id: str) -> Progress | None:
        """How far a change has spread, `None` when it is not followed here."""
        followed = self._followed.get(change_id)
        return followed.progress if followed is not None else None

    def _follow(self, outcome: Outcome) -> None:
        if outcome.change_id in self._followed or self._tasks is None:
            return
        members = len(self._table.present())
        progress = Progress(outcome.version, members, 0, 0, (), 0.0)
        followed = _Followed(outcome.version, self._timers.now(), progress)
        self._followed[outcome.change_id] = followed
        while len(self._followed) > _CHANGES_KEPT:
            self._followed.popitem(last=False)
        self._tasks.start_soon(self._look_on, outcome.change_id, followed)

    async def _look_on(self, change_id: str, followed: _Followed) -> None:
        with self._timers.timeout(_FOLLOW_FOR):
            while not followed.progress.is_everywhere:
                await self._look(followed)
                followed.changed.notify()
                if not followed.progress.is_everywhere:
                    await self._timers.sleep(_LOOK_EVERY)
            seconds = followed.progress.seconds
            self._convergence.record_value(max(_LEAST_US, int(seconds * 1_000_000)))
            self._on_everywhere(change_id, followed.progress)
        followed.is_over = True
        followed.changed.notify()

    async def _look(self, followed: _Followed) -> None:
        members = self._table.present()
        others = [m for m in members if m.host != self._table.own.host]
        answers = await self._spread.status_collector.collect(others, within=_CENSUS_WITHIN)
        version = followed.version
        holder = self._spread.holder
        held = {host for host, answer in answers.items() if answer.position >= version}
        running = {host for host, answer in answers.items() if answer.in_force >= version}
        if holder.position >= version:
            held.add(self._table.own.host)
        if holder.in_force_version >= version:
            running.add(self._table.own.host)
        lacking = [member.host for member in members if member.host not in running]
        followed.progress = Progress(
            version=version,
            members=len(members),
            held=len(held),
            in_force=len(members) - len(lacking),
            lacking=tuple(lacking[:_MOST_NAMED]),
            seconds=self._timers.now() - followed.accepted_at,
        )

    async def next_progress(self, change_id: str, seen: int) -> tuple[Progress, int, bool] | None:
        """The progress after the `seen`th look, the number of looks, and whether it is over."""
        followed = self._followed.get(change_id)
        if followed is None:
            return None
        if not followed.is_over:
            seen = await followed.changed.wait_beyond(seen)
        return followed.progress, seen, followed.is_over or followed.progress.is_everywhere
