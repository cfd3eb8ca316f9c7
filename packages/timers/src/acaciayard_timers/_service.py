"""The timer service, which provides the clock and all timers of a daemon.

Other components neither read a clock nor sleep by other means.  A daemon uses `EventLoopTimers`; in
tests the same components use `ManualTimers`, whose clock the test advances.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import math
import random
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from typing import Final

import anyio
import anyio.lowlevel
from attrs import define, field, frozen

from ._account import NO_ACCOUNT, ProcessorAccount, ProcessorPart
from ._reply_wait import ReplyWait

__all__ = [
    "MAX_RESUME_DELAY",
    "EventLoopTimers",
    "ManualTimers",
    "Subscription",
    "Tick",
    "TimerService",
]

#: Delay of a tick, in periods, above which the next ticks are scheduled from the current time.
_MAX_LATE_PERIODS: Final = 1.0
#: Maximum delay, in seconds after the host resumes from suspension, of timers that came due in the
#: meantime.  The pause detector checks the clock as often, so that the bound adds no wake-ups.
MAX_RESUME_DELAY: Final = 0.25
#: Minimum of seconds by which a wake-up must be postponed for the loop's timer to be replaced.
_MIN_POSTPONEMENT: Final = 0.001
#: Cancelled timers that may stay in the heap even if they are the majority; 100 take 20 KB.
_COMPACTION_THRESHOLD: Final = 100


@frozen
class Tick:
    """One tick of a periodic timer."""

    #: Number of the tick, starting at 0.
    number: int
    #: Time at which the tick was due, in seconds by the clock of the service.
    due: float
    #: Delay of the tick in seconds; a large value means that the process was paused.
    late_by: float


@define(eq=False)
class Subscription:
    """A timer that was set and may still be cancelled."""

    #: Called once when the timer is due, unless it was cancelled before.
    _callback: Callable[[], None]
    #: Notifies the service that the timer was cancelled.
    _on_cancel: Callable[[], None] = field(default=lambda: None)
    #: Whether the timer has fired or was cancelled.
    _done: bool = False
    #: Whether the timer has fired.
    _fired: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the timer has fired or was cancelled."""
        return self._done

    @property
    def has_fired(self) -> bool:
        """Whether the timer has fired."""
        return self._fired

    def cancel(self) -> None:
        """Cancel the timer; does nothing if it has already fired."""
        if not self._done:
            self._done = True
            self._on_cancel()

    def fire(self) -> None:
        """Run the callback unless the timer has fired or was cancelled."""
        if not self._done:
            self._done = True
            self._fired = True
            self._callback()


class TimerService(ABC):
    """Interface of the clock and timers that components use.

    Example:

        async for tick in timers.ticks(1.0):
            await probe_next_member()
    """

    #: Number of times that a wait for a reply was extended; counted by `reply_wait`.
    _extended_waits = 0

    @property
    def account(self) -> ProcessorAccount:
        """Account of the processor time of this process; counts nothing unless overridden."""
        return NO_ACCOUNT

    @property
    def extended_waits(self) -> int:
        """Number of times so far that a wait for a reply was extended for a pause."""
        return self._extended_waits

    @abstractmethod
    def now(self) -> float:
        """Monotonic time in seconds; only differences are meaningful."""

    @abstractmethod
    def wall(self) -> float:
        """Seconds since the Unix epoch, for display; not to be compared between hosts."""

    @abstractmethod
    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        """Call `callback` once when the clock has reached `when`."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for `seconds`; only a checkpoint if that is zero or less."""
        if seconds <= 0:
            await anyio.lowlevel.checkpoint()
            return
        woken = anyio.Event()
        subscription = self.call_at(self.now() + seconds, woken.set)
        try:
            await woken.wait()
        finally:
            subscription.cancel()

    async def ticks(
        self, period: float, *, jitter: float = 0.0, seed: random.Random | None = None
    ) -> AsyncIterator[Tick]:
        """Yield a `Tick` every `period` seconds, the first one a period from now.

        With a `jitter` of 0.2, `seed` draws each interval between 0.8 and 1.2 periods.  Ticks
        missed while the process was paused are skipped.
        """
        rng = seed if seed is not None else random.Random(0)
        due = self.now()
        for number in itertools.count():
            due += period * (1 + jitter * rng.uniform(-1, 1))
            await self.sleep(due - self.now())
            late_by = self.now() - due
            yield Tick(number=number, due=due, late_by=late_by)
            if late_by > period * _MAX_LATE_PERIODS:
                due = self.now()

    @contextmanager
    def timeout(self, seconds: float) -> Iterator[anyio.CancelScope]:
        """Cancel the body after `seconds`; `scope.cancelled_caught` is then true."""
        with anyio.CancelScope() as scope:
            subscription = self.call_at(self.now() + seconds, scope.cancel)
            try:
                yield scope
            finally:
                subscription.cancel()

    def reply_wait(self, seconds: float) -> ReplyWait:
        """Begin to wait `seconds` for a reply, without the time in which this process is paused."""
        return ReplyWait(self, seconds, on_extended=self._note_extended_wait)

    @contextmanager
    def reply_timeout(self, seconds: float) -> Iterator[anyio.CancelScope]:
        """Like `timeout`, for a body that waits for another process: see `ReplyWait`."""
        wait = self.reply_wait(seconds)
        subscription: Subscription
        with anyio.CancelScope() as scope:

            def check() -> None:
                nonlocal subscription
                if wait.has_expired():
                    scope.cancel()
                else:
                    subscription = self.call_at(wait.due, check)

            subscription = self.call_at(wait.due, check)
            try:
                yield scope
            finally:
                subscription.cancel()

    def _note_extended_wait(self) -> None:
        self._extended_waits += 1


class _HeapTimer(Subscription):
    """A timer in the heap of an `EventLoopTimers`."""

    __slots__ = ()

    def cancel(self) -> None:
        if not self._done:
            self._done = True
            # Release the callback and what it refers to now; the heap entry may stay for a while.
            self._callback = _no_operation
            self._on_cancel()


def _no_operation() -> None:
    """Replaces the callback of a cancelled timer."""


class EventLoopTimers(TimerService):
    """The system clock, with all timers multiplexed on one timer of the running event loop.

    The time is read from the system and not from the loop, whose clock does not advance while the
    loop runs callbacks that are ready.

    A call sets nine timers, mostly timeouts, and nearly all of them are cancelled.  So timers are
    kept in a heap of this service, where setting and cancelling one takes 1.3 us instead of 4.3 us
    with a loop timer for each, and the loop gets a timer for the earliest one only.

    The clock is `CLOCK_BOOTTIME`, which includes the time for which the host was suspended: leases
    expire and callers wait in the meantime.  The loop uses `CLOCK_MONOTONIC`, which excludes it.
    Therefore loop timers are never longer than `MAX_RESUME_DELAY`, so that timers that came due
    during a suspension fire within that time after the host resumes.  A `timerfd` on
    `CLOCK_BOOTTIME` would fire at once, but cost a descriptor and a system call for each wake-up.

    On systems without `CLOCK_BOOTTIME` the monotonic clock is used and suspensions go unnoticed.
    """

    def __init__(self, account: ProcessorAccount = NO_ACCOUNT) -> None:
        self._account = account
        self._timers_set = 0
        self._clock: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, _HeapTimer]] = []
        self._cancelled = 0
        self._wake_up: asyncio.TimerHandle | None = None
        self._wakes_at = math.inf

    @property
    def account(self) -> ProcessorAccount:
        return self._account

    @property
    def timers_set(self) -> int:
        """Number of timers set so far."""
        return self._timers_set

    def now(self) -> float:
        return time.clock_gettime(self._clock)

    def wall(self) -> float:
        return time.time()

    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        self._timers_set += 1
        timer = _HeapTimer(callback, self._note_cancelled)
        heapq.heappush(self._waiting, (when, next(self._sequence), timer))
        if when < self._wakes_at:
            self._arm(when)
        return timer

    def _note_cancelled(self) -> None:
        """Remove cancelled timers: those at the top at once, others when they are the majority."""
        self._cancelled += 1
        if self._waiting[0][2].is_done:
            self._drop_cancelled_top()
        if self._cancelled > _COMPACTION_THRESHOLD and self._cancelled * 2 > len(self._waiting):
            self._waiting = [each for each in self._waiting if not each[2].is_done]
            heapq.heapify(self._waiting)
            self._cancelled = 0

    def _drop_cancelled_top(self) -> None:
        """Remove cancelled timers from the top of the heap, so that the loop is not woken for them.

        For an idle daemon a useless wake-up costs far more than replacing the loop's timer.
        """
        was_armed = self._waiting[0][0] <= self._wakes_at + _MIN_POSTPONEMENT
        while self._waiting and self._waiting[0][2].is_done:
            heapq.heappop(self._waiting)
            self._cancelled -= 1
        if not was_armed or self._wake_up is None:
            return
        if self._waiting:
            self._arm(self._waiting[0][0])
        else:
            self._wake_up.cancel()
            self._wake_up = None
            self._wakes_at = math.inf

    def _arm(self, when: float) -> None:
        """Schedule the wake-up of this service by the loop at `when` or earlier."""
        if self._wake_up is not None:
            self._wake_up.cancel()
        now = self.now()
        seconds = min(max(0.0, when - now), MAX_RESUME_DELAY)
        self._wakes_at = now + seconds
        # Event loops wait for whole milliseconds, counted from before the current callbacks ran.
        # Without the extra millisecond they would often wake up too early and in vain.
        loop_delay = (math.ceil(seconds * 1000) + 1) / 1000
        self._wake_up = asyncio.get_running_loop().call_later(loop_delay, self._wake)

    def _wake(self) -> None:
        """Fire all timers that are due."""
        self._wake_up = None
        self._wakes_at = -math.inf  # new timers need not arm the loop until all due ones have fired
        before = self._account.switch(ProcessorPart.TIMERS)
        try:
            now = self.now()
            while self._waiting and self._waiting[0][0] <= now:
                _, _, timer = heapq.heappop(self._waiting)
                if timer.is_done:
                    self._cancelled -= 1
                timer.fire()
        finally:  # the loop reports a failing callback; the other timers still fire
            self._wakes_at = math.inf
            if self._waiting:
                self._arm(self._waiting[0][0])
            self._account.switch(before)


class ManualTimers(TimerService):
    """A clock for tests, which advances only when the test calls `advance`.

    Example:

        timers = ManualTimers()
        timers.call_at(5.0, lambda: print("five"))
        await timers.advance(6.0)       # prints: five
    """

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, Subscription]] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        subscription = Subscription(callback)
        heapq.heappush(self._waiting, (when, next(self._sequence), subscription))
        return subscription

    async def advance(self, seconds: float) -> None:
        """Advance the clock by `seconds` and fire the timers due, in order and at their times."""
        end = self._now + seconds
        await _run_ready_tasks()
        while self._waiting and self._waiting[0][0] <= end:
            when, _, subscription = heapq.heappop(self._waiting)
            self._now = max(self._now, when)
            subscription.fire()
            await _run_ready_tasks()
        self._now = end
        await _run_ready_tasks()


async def _run_ready_tasks(rounds: int = 20) -> None:
    """Let tasks that are ready run up to their next wait."""
    for _ in range(rounds):
        await anyio.lowlevel.checkpoint()
