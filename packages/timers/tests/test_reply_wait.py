"""Waits for replies, on a clock that the test moves past the times at which timers are due."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_timers import ManualTimers, ReplyWait

WAIT_S = 0.06


class Clock:
    """A clock that only the test moves."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        return self.time


class ReplyWaitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.extensions = 0
        self.wait = ReplyWait(self.clock, WAIT_S, on_extended=self.note_extended)

    def note_extended(self) -> None:
        self.extensions += 1

    def fire(self, *, late_by: float = 0.0) -> bool:
        """Move the clock to the time that is due or later, and check."""
        self.clock.time = self.wait.due + late_by
        return self.wait.has_expired()

    def elapsed(self) -> float:
        return self.clock.time - 100.0

    def test_wait_without_a_pause_ends_on_time(self) -> None:
        self.assertFalse(self.fire(late_by=0.002))
        self.assertTrue(self.fire(late_by=0.002))
        self.assertAlmostEqual(self.elapsed(), WAIT_S + 0.002)
        self.assertEqual(self.extensions, 0)

    def test_time_to_read_what_is_there_follows_each_pause(self) -> None:
        """A reply that had arrived during a pause counted as missing."""
        for pauses in ((0.05,), (0.0, 0.05), (0.05, 0.5, 3.0)):
            with self.subTest(pauses=pauses):
                self.setUp()
                for pause in pauses:
                    self.assertFalse(self.fire(late_by=pause))
                paused_until = self.clock.time
                while not self.fire():
                    pass
                self.assertGreaterEqual(self.clock.time - paused_until, WAIT_S / 3 - 1e-9)
                self.assertEqual(self.extensions, sum(pause > 0 for pause in pauses))

    def test_process_that_is_always_late_gives_up_some_time(self) -> None:
        checks = 1
        while not self.fire(late_by=0.05):
            checks += 1
        self.assertLessEqual(checks, 8)

    def test_timeout_cancels_its_body_on_time(self) -> None:
        async def run() -> None:
            timers = ManualTimers()
            ended_at = []

            async def wait() -> None:
                with timers.reply_timeout(WAIT_S) as scope:
                    await anyio.sleep_forever()
                ended_at.append((round(timers.now(), 9), scope.cancelled_caught))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(wait)
                await timers.advance(WAIT_S - 0.001)
                self.assertEqual(ended_at, [])
                await timers.advance(0.001)
                self.assertEqual(ended_at, [(WAIT_S, True)])

        anyio.run(run)

    def test_timeout_leaves_no_timer_behind(self) -> None:
        async def run() -> None:
            timers = ManualTimers()
            with timers.reply_timeout(WAIT_S) as scope:
                pass
            await timers.advance(1.0)
            self.assertFalse(scope.cancel_called)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
