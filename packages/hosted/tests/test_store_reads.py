"""Tests of reads of the store that are overdue, refused, broken off or on their way."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
import structlog
from keyed_standin import KeyedStandIn

from acaciayard_hosted._answer_times import AnswerTimes
from acaciayard_hosted._store_reads import ReadAnswer, StoreReads
from acaciayard_logservice import KeyedSlice, Unavailable
from acaciayard_timers import ManualTimers

#: Seconds that the polls of these tests wait.
WAIT = 0.5


class OneRead(KeyedStandIn):
    """A store whose first read is treated as a test says; all later ones are answered."""

    def __init__(self, timers: ManualTimers, first: Callable[[], Awaitable[ReadAnswer]]) -> None:
        super().__init__(timers)
        self._treatment: Callable[[], Awaitable[ReadAnswer]] | None = first
        self.is_arriving = False
        self.fresh: list[bool] = []

    @property
    def received_at(self) -> float:
        return self._timers.now() if self.is_arriving else super().received_at

    async def changes(
        self, stream: str, *, start: int, wait: float, is_fresh: bool = False
    ) -> ReadAnswer:
        self.fresh.append(is_fresh)
        first, self._treatment = self._treatment, None
        if first is not None:
            return await first()
        return await super().changes(stream, start=start, wait=wait, is_fresh=is_fresh)


class StoreReadsTest(unittest.TestCase):
    def read(
        self,
        first: Callable[[ManualTimers], Awaitable[ReadAnswer]],
        *,
        is_fresh: bool = False,
        is_arriving: bool = False,
    ) -> tuple[ReadAnswer, float, list[bool]]:
        """The answer to a poll, the seconds it took, and which reads used new connections."""
        found: list[tuple[ReadAnswer, float]] = []
        stores: list[OneRead] = []

        async def run() -> None:
            timers = ManualTimers()
            store = OneRead(timers, lambda: first(timers))
            store.is_arriving = is_arriving
            stores.append(store)
            log = structlog.wrap_logger(structlog.testing.CapturingLogger())
            reads = StoreReads(store, "s", timers=timers, log=log)

            async def poll() -> None:
                answer = await reads.poll(0, wait=WAIT, is_fresh=is_fresh)
                found.append((answer, timers.now()))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(poll)
                await timers.advance(10.0)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        return *found[0], stores[0].fresh

    @staticmethod
    async def silent(timers: ManualTimers) -> ReadAnswer:
        await timers.sleep(9.0)
        return Unavailable("no answer")

    @staticmethod
    async def broken(timers: ManualTimers) -> ReadAnswer:
        await timers.sleep(0.01)
        return Unavailable("connection reset")

    @staticmethod
    async def refused(timers: ManualTimers) -> ReadAnswer:
        await timers.sleep(0.01)
        return Unavailable("the store answered 503", is_refusal=True)

    @staticmethod
    async def long_document(timers: ManualTimers) -> ReadAnswer:
        await timers.sleep(WAIT + 2.0)
        return KeyedSlice((), 1)

    def test_overdue_read_is_won_by_a_second_one_on_a_new_connection(self) -> None:
        answer, seconds, fresh = self.read(self.silent)
        self.assertIsInstance(answer, KeyedSlice)
        self.assertLess(seconds, WAIT + 0.3)
        self.assertEqual(fresh, [False, True])

    def test_read_that_is_broken_off_is_repeated_once(self) -> None:
        answer, seconds, fresh = self.read(self.broken)
        self.assertIsInstance(answer, KeyedSlice)
        self.assertLess(seconds, 0.1)
        self.assertEqual(fresh, [False, True])

    def test_refusal_and_failure_on_a_new_connection_are_not_repeated(self) -> None:
        for first, is_fresh in ((self.refused, False), (self.broken, True)):
            answer, _, fresh = self.read(first, is_fresh=is_fresh)
            self.assertIsInstance(answer, Unavailable)
            self.assertEqual(fresh, [is_fresh])

    def test_answer_that_is_arriving_is_not_doubted(self) -> None:
        """Guards against a document on a thin link that is read twice at the same time."""
        answer, _, fresh = self.read(self.long_document, is_arriving=True)
        self.assertEqual(answer, KeyedSlice((), 1))
        self.assertEqual(fresh, [False])


class AnswerTimesTest(unittest.TestCase):
    def test_follows_the_store(self) -> None:
        times = AnswerTimes()
        for seconds in [0.004] * 20:
            times.note(seconds)
        self.assertEqual(times.overdue_after, 0.1)
        for seconds in [0.4] * 30:
            times.note(seconds)
        self.assertGreater(times.overdue_after, 0.4)
        self.assertLess(times.overdue_after, 0.8)
        self.assertLess(AnswerTimes().overdue_after, 0.5)


if __name__ == "__main__":
    unittest.main()
