"""Tests of fair queueing by workspace."""

from __future__ import annotations

import unittest

from attrs import define
from hypothesis import given
from hypothesis import strategies as st

from acaciayard_admission._fair_queue import FairQueue


@define(eq=False)
class Waiter:
    workspace: str
    number: int = 0


def served(queue: FairQueue[Waiter], count: int, seconds: float = 0.1) -> list[str]:
    return [queue.popleft(seconds=seconds).workspace for _ in range(count)]


class FairQueueTest(unittest.TestCase):
    def test_one_workspace_is_served_in_order(self) -> None:
        queue: FairQueue[Waiter] = FairQueue()
        for number in range(5):
            queue.append(Waiter("", number))
        self.assertEqual([queue.popleft(seconds=1.0).number for _ in range(5)], [0, 1, 2, 3, 4])

    def test_a_workspace_with_many_calls_does_not_delay_the_others(self) -> None:
        """One workspace sends calls at many times its usual rate, and 74 others as usual.

        Calls of the others must be among the next few to be served, however many calls the one has
        waiting.
        """
        queue: FairQueue[Waiter] = FairQueue()
        for _ in range(40):
            queue.append(Waiter("hot"))
        for name in ("a", "b", "c"):
            queue.append(Waiter(name))
        self.assertEqual(sorted(served(queue, 4)), ["a", "b", "c", "hot"])

    def test_turns_are_shared_by_work(self) -> None:
        """A workspace whose calls take four times as long gets a quarter of the turns."""
        queue: FairQueue[Waiter] = FairQueue()
        for _ in range(50):
            queue.append(Waiter("long"))
            queue.append(Waiter("short"))
        for _ in range(30):
            queue.note_duration("long", 0.4)
            queue.note_duration("short", 0.1)
        turns = served(queue, 40)
        self.assertLess(abs(turns.count("long") - 8), 2)

    def test_idle_workspace_gains_no_turns(self) -> None:
        queue: FairQueue[Waiter] = FairQueue()
        for _ in range(30):
            queue.append(Waiter("early"))
        served(queue, 20)
        for _ in range(10):
            queue.append(Waiter("late"))
        turns = served(queue, 10)
        self.assertLessEqual(abs(turns.count("late") - turns.count("early")), 1)

    def test_emptying_the_flow_repeatedly_gains_no_turns(self) -> None:
        """A workspace with one waiting call at a time gets no more turns than one with many."""
        queue: FairQueue[Waiter] = FairQueue()
        for _ in range(40):
            queue.append(Waiter("many"))
        turns = []
        for _ in range(20):
            queue.append(Waiter("one"))
            turns += served(queue, 2)
        self.assertLessEqual(turns.count("one"), turns.count("many") + 1)

    def test_pop_evicts_the_last_call_of_the_workspace_with_the_most_calls(self) -> None:
        queue: FairQueue[Waiter] = FairQueue()
        queue.append(Waiter("few"))
        for number in range(3):
            queue.append(Waiter("many", number))
        evicted = queue.pop()
        self.assertEqual((evicted.workspace, evicted.number), ("many", 2))

    def test_ahead_of_counts_calls_by_turns(self) -> None:
        queue: FairQueue[Waiter] = FairQueue()
        for _ in range(20):
            queue.append(Waiter("many"))
        self.assertEqual(queue.ahead_of("many"), 20)
        self.assertEqual(queue.ahead_of("new"), 1)

    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from(("put", "take", "drop", "evict"))),
            max_size=60,
        )
    )
    def test_every_call_is_removed_once_and_in_order_of_its_workspace(
        self, steps: list[tuple[str, str]]
    ) -> None:
        queue: FairQueue[Waiter] = FairQueue()
        waiting: list[Waiter] = []
        for number, (name, step) in enumerate(steps):
            if step == "put":
                waiting.append(Waiter(name, number))
                queue.append(waiting[-1])
            elif waiting:
                removed = self.remove_one(queue, waiting, step)
                waiting.remove(removed)
            self.assertEqual(len(queue), len(waiting))
            self.assertTrue(all(each in queue for each in waiting))

    def remove_one(self, queue: FairQueue[Waiter], waiting: list[Waiter], step: str) -> Waiter:
        if step == "drop":
            queue.remove(waiting[0])
            return waiting[0]
        if step == "evict":
            return queue.pop()
        taken = queue.popleft(seconds=0.1)
        own = [each for each in waiting if each.workspace == taken.workspace]
        self.assertIs(taken, own[0])
        return taken


if __name__ == "__main__":
    unittest.main()
