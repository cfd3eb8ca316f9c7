"""Timers on a suspended host: the monotonic clock excludes the suspension, and timers must not.

The tests shift the clocks as a suspension does.  The process itself keeps running, so the delay
between resumption and the first check is that of an idle process.
"""

from __future__ import annotations

import time
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio

from acaciayard_timers import MAX_RESUME_DELAY, EventLoopTimers, PauseDetector

#: Additional seconds allowed on a busy machine.
TOLERANCE = 0.3


class Clocks:
    """The clocks of a host that can be suspended and whose wall clock can be set."""

    def __init__(self) -> None:
        self._gettime = time.clock_gettime
        self._time = time.time
        self._suspended = 0.0
        self._shifted = 0.0

    def suspend(self, seconds: float) -> None:
        """Shift the clocks as a suspension of `seconds` does."""
        self._suspended += seconds

    def shift_wall_clock(self, seconds: float) -> None:
        """Shift the wall clock only, as setting it does."""
        self._shifted += seconds

    def clock_gettime(self, clock: int) -> float:
        suspended = self._suspended if clock == time.CLOCK_BOOTTIME else 0.0
        return self._gettime(clock) + suspended

    def time(self) -> float:
        return self._time() + self._suspended + self._shifted


class SuspensionTest(unittest.TestCase):
    def run_with_clocks(
        self, body: Callable[[EventLoopTimers, Clocks, list[float]], Awaitable[None]]
    ) -> None:
        """Run `body` with timers, the clocks and the list of detected pauses."""

        async def run() -> None:
            clocks = Clocks()
            with (
                mock.patch("time.clock_gettime", clocks.clock_gettime),
                mock.patch("time.time", clocks.time),
            ):
                timers = EventLoopTimers()
                pauses: list[float] = []
                detector = PauseDetector(timers, threshold=1.0)
                detector.subscribe(pauses.append)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(detector.run)
                    await body(timers, clocks, pauses)
                    tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_timer_due_during_suspension_fires_on_resumption(self) -> None:
        async def body(timers: EventLoopTimers, clocks: Clocks, pauses: list[float]) -> None:
            before = timers.now()
            due = timers.call_at(before + 5.0, lambda: None)
            later = timers.call_at(before + 60.0, lambda: None)
            await anyio.sleep(0.1)
            clocks.suspend(10.0)
            self.assertGreaterEqual(timers.now() - before, 10.0)
            await anyio.sleep(MAX_RESUME_DELAY + TOLERANCE)
            self.assertTrue(due.has_fired)
            self.assertFalse(later.has_fired)
            self.assertEqual([round(pause) for pause in pauses], [10])

        self.run_with_clocks(body)

    def test_timeout_during_suspension_cancels_on_resumption(self) -> None:
        async def body(timers: EventLoopTimers, clocks: Clocks, _pauses: list[float]) -> None:
            started = time.monotonic()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._suspend_soon, clocks, 3.0)
                with timers.timeout(2.0) as scope:
                    await anyio.sleep_forever()
            self.assertTrue(scope.cancelled_caught)
            self.assertLess(time.monotonic() - started, 0.1 + MAX_RESUME_DELAY + TOLERANCE)

        self.run_with_clocks(body)

    @staticmethod
    async def _suspend_soon(clocks: Clocks, seconds: float) -> None:
        await anyio.sleep(0.1)
        clocks.suspend(seconds)

    def test_repeated_suspensions_with_changes_of_the_wall_clock(self) -> None:
        async def body(timers: EventLoopTimers, clocks: Clocks, pauses: list[float]) -> None:
            due = timers.call_at(timers.now() + 6.0, lambda: None)
            for seconds, shift in ((3.0, -20.0), (30.0, 5.0)):
                clocks.suspend(seconds)
                clocks.shift_wall_clock(shift)
                await anyio.sleep(MAX_RESUME_DELAY + TOLERANCE)
                self.assertEqual(due.has_fired, seconds == 30.0)
            self.assertEqual([round(pause) for pause in pauses], [3, 30])

        self.run_with_clocks(body)

    def test_bound_holds_without_a_pause_detector(self) -> None:
        async def run() -> None:
            clocks = Clocks()
            with mock.patch("time.clock_gettime", clocks.clock_gettime):
                timers = EventLoopTimers()
                due = timers.call_at(timers.now() + 5.0, lambda: None)
                await anyio.sleep(0.1)
                clocks.suspend(10.0)
                await anyio.sleep(MAX_RESUME_DELAY + TOLERANCE)
                self.assertTrue(due.has_fired)

        anyio.run(run)

    def test_change_of_the_wall_clock_is_not_a_suspension(self) -> None:
        async def body(timers: EventLoopTimers, clocks: Clocks, pauses: list[float]) -> None:
            due = timers.call_at(timers.now() + 5.0, lambda: None)
            for seconds in (30.0, -60.0):
                clocks.shift_wall_clock(seconds)
                await anyio.sleep(MAX_RESUME_DELAY + TOLERANCE)
            self.assertFalse(due.has_fired)
            self.assertEqual(pauses, [])

        self.run_with_clocks(body)

    def test_cancelled_timer_does_not_fire_after_a_suspension(self) -> None:
        async def body(timers: EventLoopTimers, clocks: Clocks, _pauses: list[float]) -> None:
            due = timers.call_at(timers.now() + 5.0, lambda: None)
            due.cancel()
            clocks.suspend(10.0)
            await anyio.sleep(MAX_RESUME_DELAY + TOLERANCE)
            self.assertFalse(due.has_fired)

        self.run_with_clocks(body)

    def test_monotonic_clock_is_used_without_boottime(self) -> None:
        with mock.patch.object(time, "CLOCK_BOOTTIME", create=True):
            del time.CLOCK_BOOTTIME
            timers = EventLoopTimers()
            self.assertLess(abs(timers.now() - time.monotonic()), 1.0)


if __name__ == "__main__":
    unittest.main()
