"""The timer service: one place that tells the time and wakes its subscribers.

No other part reads a clock or sleeps by itself.  A daemon runs on the `EventLoopTimers`; a test
hands the same parts a `ManualTimers` and moves the time by hand.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from typing import Final

import anyio
import anyio.lowlevel
from attrs import define, field, frozen

__all__ = [
    "SLEEP_NOTICED_WITHIN",
    "EventLoopTimers",
    "ManualTimers",
    "Subscription",
    "Tick",
    "TimerService",
]

#: How late a tick may be, in periods, before it counts as late.
_LATE_PERIODS: Final = 1.0
#: Seconds after waking within which a suspension of the host is noticed: the period of the detector
#: of pauses, whose ticks ask for a wake-up each time.
SLEEP_NOTICED_WITHIN: Final = 0.25
#: Seconds by which the two clocks must have moved apart for the host to have slept.  They are read
#: within microseconds of each other, but a process may be switched off in between.
_LEAST_SLEEP: Final = 0.05


@frozen
class Tick:
    """One wake-up of a periodic subscription."""

    #: Running number of the tick, from 0.
    number: int
    #: Time at which the tick was due, in seconds of the service's clock.
    due: float
    #: How late the tick came, in seconds; a large value means that the process was paused.
    late_by: float


@define(eq=False)
class Subscription:
    """A wake-up that was asked for and may still be cancelled."""

    #: Called once when the time has come, unless cancelled before.
    _callback: Callable[[], None]
    #: Withdraws the wake-up from the service.
    _withdraw: Callable[[], None] = field(default=lambda: None)
    #: Whether the wake-up was cancelled or has happened.
    _done: bool = False
    #: Whether it has happened.
    _fired: bool = False

    @property
    def is_done(self) -> bool:
        """Whether the wake-up has happened or was cancelled."""
        return self._done

    @property
    def has_fired(self) -> bool:
        """Whether the wake-up has happened."""
        return self._fired

    def cancel(self) -> None:
        """Withdraw the wake-up; harmless when it has already happened."""
        if not self._done:
            self._done = True
            self._withdraw()

    def fire(self) -> None:
        """Run the callback, once."""
        if not self._done:
            self._done = True
            self._fired = True
            self._callback()


class TimerService(ABC):
    """What every part may ask of time.

    Example:

        async for tick in timers.ticks(1.0):
            await probe_next_member()
    """

    @abstractmethod
    def now(self) -> float:
        """Monotonic time in seconds; only differences have a meaning."""

    @abstractmethod
    def wall(self) -> float:
        """Seconds since the Unix epoch, for people to read; never compared between hosts."""

    @abstractmethod
    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        """Call `callback` once the clock has reached `when`."""

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds`; at once for zero or less."""
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

        With `jitter` 0.2 each gap is drawn from 0.8 to 1.2 periods by `seed`.  Ticks that were
        missed while the process was paused are not made up for.
        """
        source = seed if seed is not None else random.Random(0)
        due = self.now()
        for number in itertools.count():
            due += period * (1 + jitter * source.uniform(-1, 1))
            await self.sleep(due - self.now())
            late_by = self.now() - due
            yield Tick(number=number, due=due, late_by=late_by)
            if late_by > period * _LATE_PERIODS:
                due = self.now()

    @contextmanager
    def timeout(self, seconds: float) -> Iterator[anyio.CancelScope]:
        """Cancel the body after `seconds`; `scope.cancelled_caught` then tells so."""
        with anyio.CancelScope() as scope:
            subscription = self.call_at(self.now() + seconds, scope.cancel)
            try:
                yield scope
            finally:
                subscription.cancel()


class _LoopTimer(Subscription):
    """A wake-up that waits on the event loop."""

    __slots__ = ("_handle", "_waiting", "when")

    def __init__(self, callback: Callable[[], None], when: float, waiting: set[_LoopTimer]) -> None:
        super().__init__(callback)
        self.when = when
        self._waiting = waiting
        self._handle: asyncio.TimerHandle | None = None

    def arm(self, seconds: float) -> None:
        """Wake up after so long by the clock of the loop, and not when it was set before."""
        if self._handle is not None:
            self._handle.cancel()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(seconds if seconds > 0 else 0.0, self.fire)

    def cancel(self) -> None:
        if not self._done and self._handle is not None:
            self._done = True
            self._waiting.discard(self)
            self._handle.cancel()

    def fire(self) -> None:
        self._waiting.discard(self)
        super().fire()


class EventLoopTimers(TimerService):
    """The real clock, on the timers of the running event loop.

    The time is read from the system and not from the loop, whose clock stands still while it works
    through what is ready.

    It is the clock that counts the time for which the host was suspended: leases ended meanwhile,
    and callers waited.  The steady clock, by which the loop wakes, does not count it.  So each new
    wake-up compares both, and where the host has slept all that wait are set anew.  The detector of
    pauses asks for one each quarter of a second, so that what came due in the sleep happens within
    `SLEEP_NOTICED_WITHIN` of waking, also in an idle process.  A `timerfd` on that clock would wake
    at once and cost a descriptor and a system call for each wake-up.

    Where a system has no such clock the steady one is used, and a suspension is not noticed.
    """

    def __init__(self) -> None:
        self._clock: int = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
        self._waiting: set[_LoopTimer] = set()
        self._ahead = self.now() - time.monotonic()

    def now(self) -> float:
        return time.clock_gettime(self._clock)

    def wall(self) -> float:
        return time.time()

    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        now = time.clock_gettime(self._clock)
        if now - time.monotonic() > self._ahead + _LEAST_SLEEP:
            self._set_anew()
        timer = _LoopTimer(callback, when, self._waiting)
        timer.arm(when - now)
        self._waiting.add(timer)
        return timer

    def _set_anew(self) -> None:
        """The host has slept: the loop would wake all that wait too late by that."""
        now = self.now()
        self._ahead = now - time.monotonic()
        for timer in self._waiting:
            timer.arm(timer.when - now)


class ManualTimers(TimerService):
    """A clock that stands still until a test moves it.

    Example:

        timers = ManualTimers()
        timers.call_at(5.0, lambda: print("five"))
        await timers.advance(6.0)       # prints: five
    """

    def __init__(self, *, start: float = 0.0) -> None:
        self._now = start
        self._order = itertools.count()
        self._waiting: list[tuple[float, int, Subscription]] = []

    def now(self) -> float:
        return self._now

    def wall(self) -> float:
        return self._now

    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        subscription = Subscription(callback)
        heapq.heappush(self._waiting, (when, next(self._order), subscription))
        return subscription

    async def advance(self, seconds: float) -> None:
        """Move the clock by `seconds`, waking each subscriber at its own time and in order."""
        end = self._now + seconds
        await _let_tasks_run()
        while self._waiting and self._waiting[0][0] <= end:
            when, _, subscription = heapq.heappop(self._waiting)
            self._now = max(self._now, when)
            subscription.fire()
            await _let_tasks_run()
        self._now = end
        await _let_tasks_run()


async def _let_tasks_run(rounds: int = 20) -> None:
    """Give woken tasks the chance to run up to their next wait."""
    for _ in range(rounds):
        await anyio.lowlevel.checkpoint()
