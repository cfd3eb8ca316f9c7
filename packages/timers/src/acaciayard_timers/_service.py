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

__all__ = ["EventLoopTimers", "ManualTimers", "Subscription", "Tick", "TimerService"]

#: How late a tick may be, in periods, before it counts as late.
_LATE_PERIODS: Final = 1.0


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


class EventLoopTimers(TimerService):
    """The real clock, on the timers of the running event loop.

    The time is read from the system and not from the loop, whose clock stands still while it works
    through what is ready.
    """

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    def call_at(self, when: float, callback: Callable[[], None]) -> Subscription:
        subscription = Subscription(callback)
        delay = max(0.0, when - time.monotonic())
        handle = asyncio.get_running_loop().call_later(delay, subscription.fire)
        subscription._withdraw = handle.cancel
        return subscription


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
