"""Accounting of processor time: each moment is charged once, to the part that runs."""

from __future__ import annotations

import asyncio
import gc
import unittest
import weakref

import anyio

from acaciayard_timers import EventLoopTimers, ProcessorAccount, ProcessorPart


class _Clock:
    """Processor clocks that a test advances, by seconds."""

    def __init__(self) -> None:
        self.thread = 0
        self.other_threads = 0

    def advance(self, seconds: int) -> None:
        self.thread += seconds * 10**9

    def account(self) -> ProcessorAccount:
        return ProcessorAccount(lambda: self.thread, lambda: self.thread + self.other_threads)


class ProcessorAccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = _Clock()
        self.account = self.clock.account()

    def check_seconds(self, **expected: float) -> None:
        spent = {part.value: seconds for part, seconds in self.account.seconds().items()}
        self.assertEqual({part: count for part, count in spent.items() if count}, expected)

    def test_inner_part_is_not_charged_to_the_outer_one(self) -> None:
        self.clock.advance(1)
        outer = self.account.switch(ProcessorPart.ENTRY)
        self.clock.advance(2)
        inner = self.account.switch(ProcessorPart.LOGS)
        self.clock.advance(4)
        self.account.switch(inner)
        self.clock.advance(8)
        self.account.switch(outer)
        self.check_seconds(start=1, entry=10, logs=4)

    def test_other_threads_are_charged_to_the_rest(self) -> None:
        self.clock.advance(1)
        self.clock.other_threads = 3 * 10**9
        self.check_seconds(start=1, rest=3)

    def test_steps_of_tasks_are_charged_without_their_waits(self) -> None:
        async def work(seconds: int) -> int:
            self.clock.advance(seconds)
            await asyncio.sleep(0)
            self.clock.advance(seconds)
            return seconds

        async def run() -> None:
            self.account.switch(ProcessorPart.REST)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.account.run, ProcessorPart.ENTRY, work, 1)
                tasks.start_soon(self.account.run, ProcessorPart.TARGET, work, 10)
            self.assertEqual(await self.account.run(ProcessorPart.ENTRY, work, 100), 100)

        anyio.run(run)
        self.check_seconds(entry=202, target=20)

    def test_move_charges_one_call_as_a_whole(self) -> None:
        async def refused() -> None:
            self.clock.advance(1)
            self.account.begin(ProcessorPart.TARGET)
            self.clock.advance(2)
            before = self.account.switch(ProcessorPart.LOGS)
            self.clock.advance(4)
            self.account.switch(before)
            await asyncio.sleep(0)
            self.clock.advance(8)
            self.account.move(ProcessorPart.REFUSED)
            self.clock.advance(16)
            self.account.begin(ProcessorPart.TARGET)
            self.clock.advance(32)

        async def run() -> None:
            self.account.switch(ProcessorPart.REST)
            await self.account.run(ProcessorPart.TARGET, refused)

        anyio.run(run)
        self.check_seconds(target=33, refused=26, logs=4)

    def test_cancellation_and_errors_reach_the_work(self) -> None:
        received: list[str] = []

        async def work() -> None:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                received.append("cancelled")
                raise

        async def fail() -> None:
            await asyncio.sleep(0)
            raise ValueError("error of the work")

        async def run() -> None:
            with anyio.move_on_after(0.01) as scope:
                await self.account.run(ProcessorPart.ENTRY, work)
            self.assertTrue(scope.cancelled_caught)
            with self.assertRaises(ValueError):
                await self.account.run(ProcessorPart.ENTRY, fail)

        for options in ({}, {"use_uvloop": True}):
            anyio.run(run, backend_options=options)
        self.assertEqual(received, ["cancelled"] * 2)

    def test_cancelled_work_is_freed_without_the_collector(self) -> None:
        class Held:
            pass

        async def work(_held: Held) -> None:
            await asyncio.sleep(60)

        async def hold(held: Held) -> None:
            await self.account.run(ProcessorPart.ENTRY, work, held)

        async def run() -> bool:
            held = Held()
            gone = weakref.ref(held)
            task = asyncio.ensure_future(hold(held))
            del held
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait([task])
            del task
            await asyncio.sleep(0)
            return gone() is None

        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        self.assertTrue(anyio.run(run))

    def test_timer_callbacks_are_charged_to_timers(self) -> None:
        async def run() -> None:
            timers = EventLoopTimers(self.account)
            self.account.switch(ProcessorPart.REST)
            timers.call_at(timers.now() + 0.01, lambda: self.clock.advance(5))
            await timers.sleep(0.02)

        anyio.run(run)
        self.check_seconds(timers=5)


class RealClocksTest(unittest.TestCase):
    def test_parts_add_up_to_the_process_time(self) -> None:
        import time

        account = ProcessorAccount()
        account.switch(ProcessorPart.ENTRY)
        sum(range(300_000))
        spent = account.seconds()
        self.assertGreater(spent[ProcessorPart.ENTRY], 0)
        self.assertAlmostEqual(sum(spent.values()), time.process_time(), delta=0.02)


if __name__ == "__main__":
    unittest.main()
