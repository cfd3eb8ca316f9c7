"""Admission control for a target: which calls it gets, when, and which are refused at once.

Only the daemon on the same host sends calls to a target, so it knows how many run.  A call that it
refuses has certainly not run.
"""

from __future__ import annotations

import math
from typing import Final

import anyio
from attrs import define

from acaciayard_callmodel import NotRun
from acaciayard_timers import Subscription, TimerService

from ._call_rate import CallRate
from ._fair_queue import FairQueue
from ._line_shares import INNER_LEVEL, LEVELS, GatePolicy, LevelShares, level_of

__all__ = ["Gate", "HeldSlot", "Reservation"]

#: Divisor of the queue length that gives the places reserved for each priority level.
_RESERVE_DIVISOR: Final = 8
#: Weight of the latest call in the moving average of call durations.
_SMOOTHING: Final = 0.1
#: Assumed mean duration of a call before any call has ended.
_INITIAL_MEAN_SECONDS: Final = 0.05
#: Bounds of the retry delay given to a refused caller.
_RETRY_AFTER_SECONDS: Final = (0.03, 30.0)
#: Shortest delay of the timer for the next call that the stated limit allows.
_MIN_TURN_DELAY_SECONDS: Final = 0.005
#: Retry delay when a target is closed; short, since another host can answer at once.
_CLOSED_RETRY_AFTER_SECONDS: Final = 0.1


@define(eq=False)
class _Waiter:
    """A call that waits in the queue for a slot."""

    level: int
    workspace: str
    deadline: float
    event: anyio.Event
    refusal: NotRun | None = None
    admitted: bool = False


@define(eq=False)
class HeldSlot:
    """A slot that a call occupies; the owner must release it."""

    #: Priority level of the call.
    level: int
    #: Workspace that the call is made for; empty for none.
    workspace: str
    #: When the slot was occupied.
    since: float
    _gate: Gate
    _is_sent: bool = False
    _released: bool = False

    def note_sent(self) -> None:
        """Record that the call is sent to the target; further calls have no effect."""
        if not self._is_sent:
            self._is_sent = True
            self._gate._rate.note_sent(self._gate._timers.now())

    def release(self, *, is_good: bool = True) -> None:
        """Release the slot; further calls have no effect.

        A call that was not sent does not count against the limit that the target states.

        `is_good` is false if the target refused or failed the call: the duration of such a call
        says nothing about how long its work takes.
        """
        if not self._released:
            self._released = True
            if not self._is_sent:
                self._gate._rate.give_back(self._gate._timers.now())
            self._gate._release(self, is_good=is_good)


@define(eq=False)
class Reservation:
    """A reserved place for a call whose body is still arriving; the owner must end it."""

    #: Priority level of the call.
    level: int
    _gate: Gate
    _ended: bool = False

    def end(self) -> None:
        """End the reservation, once the body has arrived or is lost; idempotent."""
        if not self._ended:
            self._ended = True
            self._gate._reserved[self.level] -= 1


class Gate:
    """The slots and the bounded queue of one target.

    Priority classes share the slots: by default the lowest class may occupy two thirds of them and
    the middle class all but one, so that a call of a higher class never finds all slots occupied
    for long.  While calls of several levels wait, slot time is divided among the levels by fixed
    weights, so that no level starves.  It is divided by time and not by number of calls, since one
    kind of call may take five times as long as another.  Within a level, workspaces take turns.

    While the target states a limit of calls per second, a call needs a token besides its slot.
    """

    def __init__(
        self,
        *,
        slots: int,
        queue_length: int,
        timers: TimerService,
        policy: GatePolicy = GatePolicy(),  # noqa: B008 - frozen
    ) -> None:
        self._policy = policy
        self._slots = slots
        self._queue_length = queue_length
        self._timers = timers
        self._rate = CallRate(now=timers.now())
        self._next_turn: Subscription | None = None
        self._running = [0] * LEVELS
        self._running_count = 0
        self._waiting: tuple[FairQueue[_Waiter], ...] = tuple(FairQueue() for _ in range(LEVELS))
        self._shares = LevelShares(policy)
        self._mean_seconds = _INITIAL_MEAN_SECONDS
        self._level_seconds: list[float | None] = [None] * LEVELS
        self._reserved = [0] * LEVELS
        self._close_reason = ""
        self._busy_seconds = 0.0
        self._waited_seconds = [0.0] * LEVELS

    @property
    def busy_seconds(self) -> float:
        """Total seconds for which slots were occupied by calls that have ended."""
        return self._busy_seconds

    @property
    def waited_seconds(self) -> float:
        """Total seconds that calls have waited for slots, including calls that got none."""
        return sum(self._waited_seconds)

    @property
    def inner_waited_seconds(self) -> float:
        """The part of `waited_seconds` spent by nested calls."""
        return self._waited_seconds[INNER_LEVEL]

    @property
    def workspaces_waiting(self) -> int:
        """Number of workspaces with waiting calls, as the maximum over the priority levels.

        Calls without a workspace count as one workspace.
        """
        return max(queue.workspaces for queue in self._waiting)

    @property
    def slots(self) -> int:
        """Maximum number of calls that run at once."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of calls that run."""
        return self._running_count

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return sum(len(queue) for queue in self._waiting)

    @property
    def load(self) -> float:
        """Running and waiting calls per slot."""
        return (self.running + self.waiting) / max(1, self._slots)

    @property
    def max_rate(self) -> float:
        """Calls per second that the target states to take; `inf` if it states no limit."""
        return self._rate.max_rate

    @property
    def opens_in(self) -> float:
        """Seconds until the stated limit allows another call, behind those that wait."""
        if not self._rate.is_limited:
            return 0.0
        return self._rate.wait(self._timers.now(), ahead=self.waiting)

    @property
    def mean_seconds(self) -> float:
        """Moving average of the seconds for which a call occupies a slot."""
        return self._mean_seconds

    @property
    def is_closed(self) -> bool:
        """Whether the gate refuses all new calls."""
        return bool(self._close_reason)

    def resize(self, *, slots: int, queue_length: int) -> None:
        """Change the limits; calls that already run are not affected."""
        self._slots = slots
        self._queue_length = queue_length
        self._admit_waiting()

    def limit(self, max_rate: float) -> None:
        """Change the limit in calls per second that the target states; `inf` ends it."""
        self._rate.limit(max_rate, now=self._timers.now())
        self._admit_waiting()

    def close(self, reason: str) -> None:
        """Refuse waiting and new calls; calls that already run are not affected."""
        self._close_reason = reason
        self.refuse_waiting(reason)

    def reopen(self) -> None:
        """Admit calls again."""
        self._close_reason = ""

    def refuse_waiting(self, reason: str) -> None:
        """Refuse all calls that wait at present."""
        for queue in self._waiting:
            while queue:
                self._refuse(queue.pop(), NotRun(reason, _CLOSED_RETRY_AFTER_SECONDS))

    def try_enter(
        self,
        priority: int,
        deadline: float,
        start_by: float = math.inf,
        *,
        workspace: str = "",
        is_inner: bool = False,
    ) -> HeldSlot | NotRun | None:
        """Return a slot or a refusal at once, or `None` if the call may `wait`.

        `is_inner` marks a nested call, which a target makes for a call that it runs.

        A call that would get its slot only after `start_by` is refused while its caller still has
        time to try another host.
        """
        if self._close_reason:
            return NotRun(self._close_reason, _CLOSED_RETRY_AFTER_SECONDS)
        level = level_of(priority, is_inner=is_inner)
        if self._may_run(level) and not self._waiting[level] and self._has_turn():
            return self._occupy(level, workspace)
        return self._refusal_for(level, workspace, deadline, start_by)

    def reserve(
        self, priority: int, deadline: float, start_by: float = math.inf, *, workspace: str = ""
    ) -> Reservation | NotRun:
        """Reserve a place for a call whose body is still arriving, or return the refusal.

        The call occupies no slot until its body is complete: a body of 60 KB takes 0.1 to 0.2 s
        over a link of 5 Mbit/s, and occupying slots for that long halves the throughput of targets
        behind such links.
        """
        if self._close_reason:
            return NotRun(self._close_reason, _CLOSED_RETRY_AFTER_SECONDS)
        level = level_of(priority)
        is_full = not self._may_run(level) or self.running + sum(self._reserved) >= self._slots
        if is_full or not self._has_turn(ahead=sum(self._reserved)):
            refusal = self._refusal_for(level, workspace, deadline, start_by)
            if refusal is not None:
                return refusal
        self._reserved[level] += 1
        return Reservation(level, self)

    async def wait(
        self, priority: int, deadline: float, *, workspace: str = "", is_inner: bool = False
    ) -> HeldSlot | NotRun:
        """Wait in the queue; return a slot or the refusal."""
        level = level_of(priority, is_inner=is_inner)
        waiter = _Waiter(level, workspace, deadline, anyio.Event())
        since = self._timers.now()
        self._enqueue(waiter)
        try:
            with self._timers.timeout(waiter.deadline - self._timers.now()):
                await waiter.event.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        finally:
            self._waited_seconds[level] += self._timers.now() - since
        if waiter.admitted:
            return self._new_slot(level, workspace)
        if waiter.refusal is None:
            self._waiting[level].remove(waiter)
            return self._overload("its deadline passed while it waited for a slot")
        return waiter.refusal

    def _abandon(self, waiter: _Waiter) -> None:
        """Clean up after a call that was cancelled while it waited."""
        if waiter.admitted:
            self._new_slot(waiter.level, waiter.workspace).release()
        elif waiter in self._waiting[waiter.level]:
            self._waiting[waiter.level].remove(waiter)

    def _enqueue(self, waiter: _Waiter) -> None:
        level = waiter.level
        if not self._waiting[level]:
            self._shares.activate(level)
        self._waiting[level].append(waiter)
        self._schedule_turn()

    # --- the limit of the target --------------------------------------------------------------

    def _has_turn(self, *, ahead: float = 0.0) -> bool:
        """Return whether the limit allows a call now, besides those `ahead` of it."""
        return not self._rate.is_limited or not self._rate.wait(self._timers.now(), ahead=ahead)

    def _schedule_turn(self) -> None:
        """Wake the queue when the limit allows the next call, if only that keeps calls waiting."""
        if not self._rate.is_limited or self._next_turn is not None:
            return
        if not self.waiting or self._running_count >= self._slots:
            return
        now = self._timers.now()
        delay = max(_MIN_TURN_DELAY_SECONDS, self._rate.wait(now))
        self._next_turn = self._timers.call_at(now + delay, self._take_turn)

    def _take_turn(self) -> None:
        self._next_turn = None
        self._admit_waiting()

    # --- slots --------------------------------------------------------------------------------

    def _may_run(self, level: int) -> bool:
        if self.running >= self._slots:
            return False
        return sum(self._running[level:]) < self._slot_limit(level)

    def _slot_limit(self, level: int) -> int:
        """Return how many slots this level and those below it may occupy together."""
        match LEVELS - 1 - level:
            case 0:
                return max(1, math.floor(self._slots * self._policy.lowest_share))
            case 1:
                return max(1, self._slots - self._policy.middle_spare)
            case _:
                return self._slots

    def _occupy(self, level: int, workspace: str) -> HeldSlot:
        self._running[level] += 1
        self._running_count += 1
        self._rate.take(self._timers.now())
        return self._new_slot(level, workspace)

    def _new_slot(self, level: int, workspace: str) -> HeldSlot:
        return HeldSlot(level, workspace, self._timers.now(), self)

    def _release(self, held: HeldSlot, *, is_good: bool) -> None:
        level = held.level
        self._running[level] -= 1
        self._running_count -= 1
        duration = self._timers.now() - held.since
        self._busy_seconds += duration
        if is_good or duration > self._mean_seconds:
            self._mean_seconds += _SMOOTHING * (duration - self._mean_seconds)
            previous_mean = self._mean_seconds_of(level)
            self._level_seconds[level] = previous_mean + _SMOOTHING * (duration - previous_mean)
            self._waiting[level].note_duration(held.workspace, duration)
        self._admit_waiting()

    def _mean_seconds_of(self, level: int) -> float:
        """Return the moving average of the seconds for which a call of a level occupies a slot."""
        seconds = self._level_seconds[level]
        return self._mean_seconds if seconds is None else seconds

    def _admit_waiting(self) -> None:
        while (waiter := self._next_waiter()) is not None:
            self._running[waiter.level] += 1
            self._running_count += 1
            self._rate.take(self._timers.now())
            waiter.admitted = True
            waiter.event.set()
        self._schedule_turn()

    def _next_waiter(self) -> _Waiter | None:
        """Remove and return the next waiter, or return `None` if no waiting call may run."""
        if self._running_count >= self._slots or not self._has_turn():
            return None
        ready = [each for each in range(LEVELS) if self._waiting[each] and self._may_run(each)]
        if not ready:
            return None
        level = self._shares.next(ready)
        seconds = self._mean_seconds_of(level)
        self._shares.charge(level, seconds)
        return self._waiting[level].popleft(seconds=seconds)

    # --- refusals -----------------------------------------------------------------------------

    def _refusal_for(
        self, level: int, workspace: str, deadline: float, start_by: float
    ) -> NotRun | None:
        """Return the refusal of a call that may not wait, or `None` if it may."""
        expected = self._expected_wait(level, workspace)
        awaited = f"a turn at {self._rate.max_rate:g} calls a second"
        awaited = awaited if self._rate.is_limited else "a slot"
        if self._timers.now() + expected >= deadline:
            return self._overload(f"it would wait for {awaited} beyond its deadline")
        if self._timers.now() + expected >= start_by:
            left = max(0.0, start_by - self._timers.now())
            return self._overload(
                f"it would wait {expected:.3f} s for {awaited}, and {left:.3f} s are worth waiting"
            )
        if self.waiting < self._queue_length or len(self._waiting[level]) < self._reserved_places:
            return None
        if not self._evict_below(level):
            return self._overload(f"{self.waiting} calls wait already")
        return None

    def _expected_wait(self, level: int, workspace: str) -> float:
        """Return the expected seconds until another call of a workspace and level is admitted.

        Each level counts with its own mean duration: those differ by up to ten times at targets
        that serve both large bodies and small lookups.
        """
        ahead = self._ahead_of(level, workspace)
        turn = self._rate.wait(self._timers.now(), ahead=sum(ahead))
        running = self._running_count
        if turn and running < self._slots:
            return turn
        next_free = self._mean_seconds
        if running:
            counts = enumerate(self._running)
            next_free = sum(count * self._mean_seconds_of(each) for each, count in counts) / running
        queued = sum(count * self._mean_seconds_of(each) for each, count in enumerate(ahead))
        return max(turn, (queued + next_free) / max(1, self._slots))

    def _ahead_of(self, level: int, workspace: str) -> list[float]:
        """Return, for each level, how many calls get a slot before another call of this level.

        For the own level these are the calls with an earlier turn.  Another level gets its weighted
        share of the slot time until then, limited to its waiting calls and reservations.
        """
        own_level_ahead = self._waiting[level].ahead_of(workspace) + self._reserved[level]
        span = (own_level_ahead + 1) * self._mean_seconds_of(level) / self._shares.weight_of(level)
        return [
            (
                float(own_level_ahead)
                if other == level
                else min(
                    len(self._waiting[other]) + self._reserved[other],
                    span * self._shares.weight_of(other) / self._mean_seconds_of(other),
                )
            )
            for other in range(LEVELS)
        ]

    @property
    def _reserved_places(self) -> int:
        """Queue places reserved for each level, so that none is kept out for long."""
        return self._queue_length // _RESERVE_DIVISOR

    def _evict_below(self, level: int) -> bool:
        """Evict the last waiter of the lowest level below `level`; return whether there was one."""
        for lower_level in range(LEVELS - 1, level, -1):
            if len(self._waiting[lower_level]) > self._reserved_places:
                waiter = self._waiting[lower_level].pop()
                self._refuse(waiter, self._overload("calls of a higher class came"))
                return True
        return False

    def _overload(self, reason: str) -> NotRun:
        wait = max(self._mean_seconds * (self.waiting + 1) / max(1, self._slots), self.opens_in)
        shortest, longest = _RETRY_AFTER_SECONDS
        return NotRun(reason, min(max(wait, shortest), longest), is_overload=True)

    def _refuse(self, waiter: _Waiter, refusal: NotRun) -> None:
        waiter.refusal = refusal
        waiter.event.set()
