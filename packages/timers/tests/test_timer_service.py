"""The timer service by hand."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_timers import ManualTimers, PauseDetector, Signal


class ManualTimersTest(unittest.TestCase):
    def test_subscribers_are_woken_in_order(self) -> None:
        async def run() -> list[tuple[str, float]]:
            timers = ManualTimers()
            woken: list[tuple[str, float]] = []
            for name, when in (("b", 2.0), ("a", 1.0), ("c", 2.0)):
                timers.call_at(when, lambda name=name: woken.append((name, timers.now())))
            timers.call_at(1.5, lambda: woken.append(("cancelled", 0.0))).cancel()
            await timers.advance(3.0)
            return woken

        self.assertEqual(anyio.run(run), [("a", 1.0), ("b", 2.0), ("c", 2.0)])

    def test_timeout_cancels_at_its_time(self) -> None:
        async def run() -> bool:
            timers = ManualTimers()
            caught = []

            async def wait() -> None:
                with timers.timeout(5.0) as scope:
                    await anyio.sleep_forever()
                caught.append(scope.cancelled_caught)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await timers.advance(4.9)
                assert not caught
                await timers.advance(0.2)
            return caught[0]

        self.assertTrue(anyio.run(run))

    def test_ticks_come_once_a_period(self) -> None:
        async def run() -> list[float]:
            timers = ManualTimers()
            seen: list[float] = []

            async def count() -> None:
                async for _ in timers.ticks(1.0):
                    seen.append(timers.now())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(count)
                await timers.advance(3.5)
                tasks.cancel_scope.cancel()
            return seen

        self.assertEqual(anyio.run(run), [1.0, 2.0, 3.0])


class PauseDetectorTest(unittest.TestCase):
    def test_only_long_standstills_count(self) -> None:
        timers = ManualTimers()
        detector = PauseDetector(timers, threshold=1.0)
        told: list[float] = []
        detector.subscribe(told.append)
        for seconds, expected in ((0.25, False), (1.0, False), (3.0, True), (0.1, False)):
            timers._now += seconds
            self.assertEqual(detector.check(), expected, seconds)
        self.assertEqual(told, [2.75])


class SignalTest(unittest.TestCase):
    def test_change_before_the_wait_is_not_lost(self) -> None:
        async def run() -> int:
            signal = Signal()
            seen = signal.count
            signal.notify()
            with anyio.fail_after(1):
                return await signal.wait_beyond(seen)

        self.assertEqual(anyio.run(run), 1)
