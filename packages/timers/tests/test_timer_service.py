"""Timer services, pause detection and signals."""

from __future__ import annotations

import asyncio
import unittest
import weakref

import anyio

from acaciayard_timers import EventLoopTimers, ManualTimers, PauseDetector, Signal


class EventLoopTimersTest(unittest.TestCase):
    def test_timers_fire_in_order_and_not_early(self) -> None:
        async def run() -> None:
            timers = EventLoopTimers()
            start = timers.now()
            fired: list[tuple[str, float]] = []
            for name, delay in (("c", 0.06), ("a", 0.02), ("b", 0.04)):
                timers.call_at(
                    start + delay, lambda name=name: fired.append((name, timers.now() - start))
                )
            timers.call_at(start + 0.03, lambda: fired.append(("cancelled", 0.0))).cancel()
            await timers.sleep(0.1)
            self.assertEqual([name for name, _ in fired], ["a", "b", "c"])
            for (_, at), due in zip(fired, (0.02, 0.04, 0.06), strict=True):
                self.assertGreaterEqual(at, due)

        anyio.run(run)
        anyio.run(run, backend_options={"use_uvloop": True})

    def test_loop_is_not_woken_for_cancelled_timers(self) -> None:
        async def run() -> int:
            timers = EventLoopTimers()
            wake_ups = []
            original_wake = timers._wake

            def wake() -> None:
                wake_ups.append(timers.now())
                original_wake()

            timers._wake = wake  # type: ignore[method-assign]
            later = timers.call_at(timers.now() + 0.12, lambda: None)
            for _ in range(5):
                timers.call_at(timers.now() + 0.01, lambda: None).cancel()
                await asyncio.sleep(0.015)
            self.assertFalse(later.is_done)
            await timers.sleep(0.1)
            self.assertTrue(later.has_fired)
            return len(wake_ups)

        self.assertEqual(anyio.run(run), 2)
        self.assertEqual(anyio.run(run, backend_options={"use_uvloop": True}), 2)

    def test_service_still_wakes_after_its_only_timer_was_cancelled(self) -> None:
        async def run() -> None:
            timers = EventLoopTimers()
            timers.call_at(timers.now() + 0.01, lambda: None).cancel()
            with anyio.fail_after(2):
                await timers.sleep(0.02)

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_failing_callback_does_not_delay_other_timers(self) -> None:
        async def run() -> list[str]:
            timers = EventLoopTimers()
            fired: list[str] = []

            def fail() -> None:
                raise ValueError("error of the callback")

            errors: list[object] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _loop, context: errors.append(context["exception"]))
            timers.call_at(timers.now(), fail)
            timers.call_at(timers.now(), lambda: fired.append("second"))
            timers.call_at(timers.now() + 0.02, lambda: fired.append("later"))
            await timers.sleep(0.1)
            self.assertEqual([type(error) for error in errors], [ValueError])
            return fired

        self.assertEqual(anyio.run(run), ["second", "later"])

    def test_cancelled_timer_releases_its_callback(self) -> None:
        async def run() -> None:
            timers = EventLoopTimers()
            events = [anyio.Event() for _ in range(1000)]
            alive = weakref.WeakSet(events)
            kept = timers.call_at(timers.now() + 0.05, lambda: None)
            for each in events:
                timers.call_at(timers.now() + 3600, each.set).cancel()
            del each
            events.clear()
            self.assertEqual(len(alive), 0)
            await timers.sleep(0.1)
            self.assertTrue(kept.has_fired)

        anyio.run(run)


class ManualTimersTest(unittest.TestCase):
    def test_timers_fire_in_order(self) -> None:
        async def run() -> list[tuple[str, float]]:
            timers = ManualTimers()
            fired: list[tuple[str, float]] = []
            for name, when in (("b", 2.0), ("a", 1.0), ("c", 2.0)):
                timers.call_at(when, lambda name=name: fired.append((name, timers.now())))
            timers.call_at(1.5, lambda: fired.append(("cancelled", 0.0))).cancel()
            await timers.advance(3.0)
            return fired

        self.assertEqual(anyio.run(run), [("a", 1.0), ("b", 2.0), ("c", 2.0)])

    def test_timeout_cancels_when_due(self) -> None:
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

    def test_ticks_come_once_per_period(self) -> None:
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
    def test_only_pauses_above_the_threshold_are_reported(self) -> None:
        timers = ManualTimers()
        detector = PauseDetector(timers, threshold=1.0)
        reported: list[float] = []
        detector.subscribe(reported.append)
        for seconds, expected in ((0.25, False), (1.0, False), (3.0, True), (0.1, False)):
            timers._now += seconds
            self.assertEqual(detector.check(), expected, seconds)
        self.assertEqual(reported, [2.75])


class SignalTest(unittest.TestCase):
    def test_change_before_the_wait_is_not_lost(self) -> None:
        async def run() -> int:
            signal = Signal()
            seen = signal.count
            signal.notify()
            with anyio.fail_after(1):
                return await signal.wait_beyond(seen)

        self.assertEqual(anyio.run(run), 1)
