"""Tests of the gate of a target."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import anyio

from acaciayard_admission import Gate, HeldSlot, Reservation
from acaciayard_admission._target_answers import refused_by_target
from acaciayard_callmodel import NotRun
from acaciayard_timers import ManualTimers

INTERACTIVE, NORMAL, BULK = range(3)


class GateTest(unittest.TestCase):
    def run_gate(
        self,
        body: Callable[[Gate, ManualTimers, anyio.abc.TaskGroup], Awaitable[None]],
        slots: int = 6,
        queue_length: int = 4,
    ) -> None:
        async def run() -> None:
            timers = ManualTimers()
            gate = Gate(slots=slots, queue_length=queue_length, timers=timers)
            async with anyio.create_task_group() as tasks:
                await body(gate, timers, tasks)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def take(self, gate: Gate, priority: int, count: int) -> list[HeldSlot]:
        held = [gate.try_enter(priority, 100.0) for _ in range(count)]
        self.assertTrue(all(isinstance(slot, HeldSlot) for slot in held))
        return held  # type: ignore[return-value]

    def test_lower_classes_leave_slots_free_for_higher_ones(self) -> None:
        async def body(gate: Gate, _timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            self.take(gate, BULK, 4)
            self.assertIsNone(gate.try_enter(BULK, 100.0))
            self.take(gate, NORMAL, 1)
            self.assertIsNone(gate.try_enter(NORMAL, 100.0))
            self.take(gate, INTERACTIVE, 1)
            self.assertEqual(gate.running, 6)
            self.assertIsNone(gate.try_enter(INTERACTIVE, 100.0))

        self.run_gate(body)

    def test_failures_do_not_make_a_target_look_fast(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            (held,) = self.take(gate, INTERACTIVE, 1)
            await timers.advance(1.0)
            held.release()
            before = gate.mean_seconds
            for _ in range(20):
                (held,) = self.take(gate, INTERACTIVE, 1)
                held.release(is_good=False)
            self.assertEqual(gate.mean_seconds, before)

        self.run_gate(body)

    def test_a_target_that_refuses_with_slots_free_is_not_overloaded(self) -> None:
        async def body(gate: Gate, _timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            self.take(gate, INTERACTIVE, 5)
            refusal = refused_by_target(503, gate)
            self.assertTrue(refusal.is_by_target)
            self.assertFalse(refusal.is_overload)
            self.assertLess(refusal.retry_after, 0.05)
            self.take(gate, INTERACTIVE, 1)
            self.assertTrue(refused_by_target(503, gate).is_overload)

        self.run_gate(body)

    def test_expected_wait_follows_the_weights_of_the_classes(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            self.take(gate, INTERACTIVE, 6)
            for _ in range(4):
                tasks.start_soon(gate.wait, INTERACTIVE, 1000.0)
            await timers.advance(0.001)
            # With weights of 16 and 4, all four calls of the higher class get their slots first.
            late = timers.now() + gate.mean_seconds * 4.5 / 6
            self.assertIsInstance(gate.try_enter(NORMAL, 100.0, late), NotRun)
            in_time = timers.now() + gate.mean_seconds * 5.5 / 6
            self.assertIsNone(gate.try_enter(NORMAL, 100.0, in_time))

        self.run_gate(body, queue_length=20)

    def test_reservation_occupies_no_slot(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            reserved = [gate.reserve(INTERACTIVE, 100.0, timers.now()) for _ in range(7)]
            self.assertTrue(all(isinstance(each, Reservation) for each in reserved[:6]))
            self.assertIsInstance(reserved[6], NotRun)
            self.take(gate, INTERACTIVE, 6)

        self.run_gate(body)

    def test_reservations_count_as_waiting_calls(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            self.take(gate, INTERACTIVE, 6)
            reserved = [gate.reserve(INTERACTIVE, 100.0) for _ in range(6)]
            late = timers.now() + gate.mean_seconds * 6.5 / 6
            self.assertIsInstance(gate.try_enter(INTERACTIVE, 100.0, late), NotRun)
            for each in reserved:
                assert isinstance(each, Reservation)
                each.end()
                each.end()
            self.assertIsNone(gate.try_enter(INTERACTIVE, 100.0, late))

        self.run_gate(body, queue_length=20)

    def test_expected_wait_uses_the_mean_duration_of_each_class(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            for priority, seconds in ((INTERACTIVE, 0.01), (BULK, 1.0)) * 60:
                (held,) = self.take(gate, priority, 1)
                await timers.advance(seconds)
                held.release()
            self.take(gate, INTERACTIVE, 6)
            soon = timers.now() + 0.01
            self.assertIsNone(gate.try_enter(INTERACTIVE, 1000.0, soon))

        self.run_gate(body, queue_length=20)

    def test_call_that_would_start_late_is_refused_at_once(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            self.take(gate, INTERACTIVE, 6)
            soon = timers.now() + gate.mean_seconds / 100
            self.assertIsInstance(gate.try_enter(INTERACTIVE, 100.0, soon), NotRun)
            self.assertIsNone(gate.try_enter(INTERACTIVE, 100.0, timers.now() + 10))

        self.run_gate(body)

    def test_a_workspace_with_many_calls_does_not_delay_the_others(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            self.take(gate, NORMAL, 5)
            for _ in range(12):
                tasks.start_soon(partial(gate.wait, NORMAL, 1000.0, workspace="hot"))
            await timers.advance(0.001)
            soon = timers.now() + gate.mean_seconds * 4.5 / 6
            entered = {
                name: gate.try_enter(NORMAL, 100.0, soon, workspace=name)
                for name in ("hot", "other")
            }
            self.assertIsInstance(entered["hot"], NotRun)
            self.assertIsNone(entered["other"])

        self.run_gate(body, queue_length=40)

    def test_nested_calls_go_first_and_leave_the_others_their_share(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            admitted: list[str] = []

            async def one(name: str, *, is_inner: bool) -> None:
                held = await gate.wait(BULK, 1000.0, is_inner=is_inner)
                assert isinstance(held, HeldSlot)
                admitted.append(name)
                await timers.sleep(0.1)
                held.release()

            (running,) = self.take(gate, BULK, 1)
            for _ in range(80):
                tasks.start_soon(partial(one, "bulk", is_inner=False))
                tasks.start_soon(partial(one, "inner", is_inner=True))
            await timers.advance(0.1)
            running.release()
            for _ in range(66):
                await timers.advance(0.1)
            self.assertEqual(admitted[:5].count("inner"), 4)
            # One of every 33 turns, and one at the start, when the virtual starts are equal.
            self.assertEqual(admitted[:66].count("bulk"), 3)

        self.run_gate(body, slots=1, queue_length=400)

    def test_waited_seconds_include_calls_that_get_no_slot(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            (running,) = self.take(gate, BULK, 1)
            tasks.start_soon(partial(gate.wait, BULK, 1000.0, workspace="north"))
            tasks.start_soon(partial(gate.wait, BULK, 0.2, workspace="south", is_inner=True))
            await timers.advance(0.1)
            self.assertEqual(gate.workspaces_waiting, 1)
            await timers.advance(0.2)
            running.release()
            await timers.advance(0.1)
            self.assertAlmostEqual(gate.inner_waited_seconds, 0.2, delta=0.101)
            self.assertAlmostEqual(gate.waited_seconds, 0.5, delta=0.101)

        self.run_gate(body, slots=1)

    def test_no_class_starves_while_all_wait(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            admitted: list[int] = []

            async def one(priority: int) -> None:
                held = await gate.wait(priority, 1000.0)
                assert isinstance(held, HeldSlot)
                admitted.append(priority)
                await timers.sleep(1.0)
                held.release()

            running = self.take(gate, INTERACTIVE, 6)
            for priority in (BULK, NORMAL, INTERACTIVE):
                for _ in range(40):
                    tasks.start_soon(one, priority)
            await timers.advance(0.1)
            for slot in running:
                slot.release()
            await timers.advance(6.0)
            first = admitted[:30]
            self.assertGreater(first.count(INTERACTIVE), first.count(NORMAL))
            self.assertGreater(first.count(NORMAL), 0)
            self.assertGreater(first.count(BULK), 0)

        self.run_gate(body, queue_length=200)

    def test_full_queue_refuses_at_once_and_higher_classes_evict_lower_ones(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            refused: list[NotRun] = []

            async def bulk() -> None:
                outcome = await gate.wait(BULK, 1000.0)
                assert isinstance(outcome, NotRun)
                refused.append(outcome)

            self.take(gate, INTERACTIVE, 6)
            for _ in range(4):
                tasks.start_soon(bulk)
            await timers.advance(0.01)
            self.assertIsInstance(gate.try_enter(BULK, 1000.0), NotRun)
            self.assertIsNone(gate.try_enter(INTERACTIVE, 1000.0))
            await timers.advance(0.01)
            self.assertEqual(len(refused), 1)
            self.assertTrue(refused[0].is_overload)
            self.assertGreater(refused[0].retry_after, 0)

        self.run_gate(body)

    def test_lower_class_keeps_its_reserved_places_in_a_full_queue(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            outcomes: list[object] = []

            async def wait(priority: int) -> None:
                if gate.try_enter(priority, 1000.0) is None:
                    outcomes.append(await gate.wait(priority, 1000.0))

            self.take(gate, INTERACTIVE, 6)
            for _ in range(2):
                tasks.start_soon(wait, BULK)
            await timers.advance(0.01)
            for _ in range(40):
                tasks.start_soon(wait, INTERACTIVE)
            await timers.advance(0.01)
            self.assertEqual(outcomes, [])
            self.assertEqual(gate.waiting, 16)
            self.assertIsInstance(gate.try_enter(BULK, 1000.0), NotRun)

        self.run_gate(body, queue_length=16)

    def test_wait_beyond_the_deadline_is_refused_before_it_starts(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            self.take(gate, INTERACTIVE, 6)
            refusal = gate.try_enter(INTERACTIVE, timers.now() + 0.001)
            assert isinstance(refusal, NotRun)
            self.assertIn("deadline", refusal.reason)

        self.run_gate(body)

    def test_closing_refuses_waiting_calls_and_keeps_running_ones(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            outcomes: list[object] = []

            async def one() -> None:
                outcomes.append(await gate.wait(INTERACTIVE, 1000.0))

            running = self.take(gate, INTERACTIVE, 6)
            tasks.start_soon(one)
            await timers.advance(0.01)
            gate.close("the target drains")
            await timers.advance(0.01)
            self.assertEqual([type(outcome) for outcome in outcomes], [NotRun])
            self.assertEqual(gate.running, 6)
            running[0].release()
            self.assertIsInstance(gate.try_enter(INTERACTIVE, 1000.0), NotRun)

        self.run_gate(body)

    def test_cancelled_waiter_leaks_no_slot(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            running = self.take(gate, INTERACTIVE, 6)
            with anyio.CancelScope() as scope:
                timers.call_at(1.0, scope.cancel)
                tasks.start_soon(timers.advance, 2.0)
                await gate.wait(INTERACTIVE, 1000.0)
            self.assertEqual(gate.waiting, 0)
            for slot in running:
                slot.release()
            self.assertEqual(gate.running, 0)
            self.take(gate, INTERACTIVE, 6)

        self.run_gate(body)

    # Guards against a limit that is forwarded to callers and obeyed by nobody.
    def test_calls_beyond_the_stated_limit_wait_or_are_refused_at_once(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            gate.limit(2.0)
            (first,) = self.take(gate, INTERACTIVE, 1)
            first.note_sent()
            self.assertAlmostEqual(gate.opens_in, 0.5)
            refusal = gate.try_enter(INTERACTIVE, 100.0, timers.now() + 0.4)
            assert isinstance(refusal, NotRun)
            self.assertTrue(refusal.is_overload)
            self.assertAlmostEqual(refusal.retry_after, 0.5)
            self.assertIsInstance(gate.try_enter(INTERACTIVE, timers.now() + 0.4), NotRun)
            self.assertIsNone(gate.try_enter(INTERACTIVE, 100.0))
            admitted: list[float] = []

            async def wait() -> None:
                held = await gate.wait(INTERACTIVE, 100.0)
                assert isinstance(held, HeldSlot)
                held.note_sent()
                admitted.append(timers.now())

            for _ in range(3):
                tasks.start_soon(wait)
            await timers.advance(2.0)
            for when, expected in zip(admitted, (0.5, 1.0, 1.5), strict=True):
                self.assertAlmostEqual(when, expected, delta=0.02)

        self.run_gate(body)

    def test_call_that_is_not_sent_does_not_count_against_the_limit(self) -> None:
        async def body(gate: Gate, _timers: ManualTimers, _tasks: anyio.abc.TaskGroup) -> None:
            gate.limit(2.0)
            (held,) = self.take(gate, INTERACTIVE, 1)
            self.assertGreater(gate.opens_in, 0.0)
            held.release()
            self.assertEqual(gate.opens_in, 0.0)

        self.run_gate(body)

    def test_limit_that_ends_lets_waiting_calls_run(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            gate.limit(0.0)
            self.take(gate, INTERACTIVE, 1)
            for _ in range(3):
                tasks.start_soon(gate.wait, INTERACTIVE, 100.0)
            await timers.advance(0.1)
            self.assertEqual((gate.running, gate.waiting), (1, 3))
            gate.limit(float("inf"))
            self.assertEqual((gate.running, gate.waiting), (4, 0))

        self.run_gate(body)

    def test_higher_classes_get_the_turns_of_a_limit_first(self) -> None:
        async def body(gate: Gate, timers: ManualTimers, tasks: anyio.abc.TaskGroup) -> None:
            gate.limit(1.0)
            self.take(gate, INTERACTIVE, 1)[0].note_sent()
            admitted: list[int] = []

            async def wait(priority: int) -> None:
                held = await gate.wait(priority, 100.0)
                assert isinstance(held, HeldSlot)
                held.note_sent()
                admitted.append(priority)

            for priority in (BULK, NORMAL, INTERACTIVE):
                tasks.start_soon(wait, priority)
            await timers.advance(3.5)
            self.assertEqual(admitted, [INTERACTIVE, NORMAL, BULK])

        self.run_gate(body)
