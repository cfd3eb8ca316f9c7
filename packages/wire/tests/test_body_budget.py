"""The bound of the request bodies that a process holds."""

from __future__ import annotations

import gc
import unittest
import weakref

from acaciayard_timers import ManualTimers
from acaciayard_wire import BodyBudget

KILOBYTE = 1024
SIZE = 8000 * KILOBYTE
SMALL = 64 * KILOBYTE
#: Bytes for bodies that are not small.
LARGE_ROOM = 7000 * KILOBYTE


class BodyBudgetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.budget = BodyBudget(SIZE, small_body=SMALL, timers=self.timers)
        self.dropped: list[str] = []

    def grown(self, name: str, size: int) -> bool:
        """Opens a body of some size; returns whether there was room."""
        body = self.budget.open()
        body.on_dropped = lambda: self.dropped.append(name)
        return body.grow(size)

    # Guards against bodies whose sum nothing bounds.
    async def test_bodies_that_go_on_keep_newcomers_out(self) -> None:
        self.assertTrue(self.grown("a", LARGE_ROOM - KILOBYTE))
        self.assertFalse(self.grown("b", SMALL + KILOBYTE))
        self.assertEqual((self.dropped, self.budget.refused), ([], 1))
        self.assertEqual(self.budget.held, LARGE_ROOM - KILOBYTE)

    # Guards against large bodies that keep out ordinary requests.
    async def test_small_bodies_have_a_part_of_their_own(self) -> None:
        self.assertTrue(self.grown("a", LARGE_ROOM))
        self.assertFalse(self.grown("b", SMALL + 1))
        self.assertTrue(self.grown("c", SMALL))

    # Guards against bodies that stand still and keep their room.
    async def test_bodies_that_stand_still_are_displaced_longest_first(self) -> None:
        self.grown("first", LARGE_ROOM // 2)
        await self.timers.advance(0.1)
        self.grown("second", LARGE_ROOM // 2)
        await self.timers.advance(0.25)
        self.assertTrue(self.grown("new", 100 * KILOBYTE))
        self.assertEqual(self.dropped, ["first"])
        self.assertFalse(self.grown("newer", LARGE_ROOM // 2))
        self.assertEqual((self.dropped, self.budget.dropped), (["first"], 1))

    # Guards against bodies that keep their room with a byte now and then.
    async def test_single_bytes_are_no_progress(self) -> None:
        slow, quick = self.budget.open(), self.budget.open()
        for body, name in ((slow, "slow"), (quick, "quick")):
            body.on_dropped = lambda name=name: self.dropped.append(name)
            body.grow(LARGE_ROOM // 2 - 100 * KILOBYTE)
        for _ in range(8):
            await self.timers.advance(0.1)
            slow.grow(1)
            quick.grow(4 * KILOBYTE)
        self.assertTrue(self.grown("new", 300 * KILOBYTE))
        self.assertEqual(self.dropped, ["slow"])
        self.assertTrue(slow.is_dropped)
        self.assertFalse(slow.grow(1))

    # Guards against the loss of bodies whose calls run, and against room that is not given back.
    async def test_complete_bodies_are_kept_until_they_are_released(self) -> None:
        body = self.budget.open()
        body.grow(LARGE_ROOM)
        body.complete()
        await self.timers.advance(60)
        self.assertFalse(self.grown("new", SMALL + 1))
        body.release()
        body.release()
        self.assertEqual(self.budget.held, 0)
        self.assertTrue(self.grown("new", LARGE_ROOM))

    # Guards against bodies of ended calls that stay in memory as part of reference cycles.
    async def test_garbage_is_collected_by_the_bytes_of_released_bodies(self) -> None:
        class Cycle:
            def __init__(self) -> None:
                self.own = self

        gc.disable()
        self.addCleanup(gc.enable)
        ended = weakref.ref(Cycle())
        for size, is_collected in ((SMALL, False), (LARGE_ROOM // 2, False), (LARGE_ROOM, True)):
            body = self.budget.open()
            body.grow(size)
            body.release()
            self.assertEqual(ended() is None, is_collected, size)


if __name__ == "__main__":
    unittest.main()
