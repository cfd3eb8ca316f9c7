"""Calls on their way over two daemons: silence, slow targets, refusals."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
from call_rig import IP, Host, Rig, ScriptedTarget, answer, router

from acaciayard_admission import AnnouncementResult, HeldSlot
from acaciayard_callmodel import CallWatch, NotRun, OutcomeUnknown
from acaciayard_calls import Answered
from acaciayard_handover._messages import CALL_CODEC, Admitted, Ask
from acaciayard_http1 import RequestHead
from acaciayard_resources import RetryPolicy, Route, Service
from acaciayard_routing import Router
from acaciayard_wire import ByteStream, Purpose, Traffic, listen

SAFE = router(
    Service(name="a"),
    RetryPolicy(name="again", attempts=2, per_try_s=0.15, backoff_ms=0),
    Route(name="r", service="a", idempotent=True, retry="again"),
)
ONCE = router(Service(name="a"), Route(name="r", service="a"))

Outcome = Answered | NotRun | OutcomeUnknown
Run = Callable[[Router, bool], Awaitable[Outcome]]


def answering(text: bytes, *, after: float = 0.0) -> ScriptedTarget:
    """A target that answers `text` after some seconds."""

    async def script(head: RequestHead, stream: ByteStream) -> None:
        await anyio.sleep(after)
        await stream.send(answer(head, body=text))

    return ScriptedTarget(script)


class SilentPort:
    """A port that takes connections and never says anything, like a host that lost its power."""

    def __enter__(self) -> int:
        self._socket = socket.socket()
        self._socket.bind((IP, 0))
        self._socket.listen(50)
        return int(self._socket.getsockname()[1])

    def __exit__(self, *_: object) -> None:
        self._socket.close()


class CallRunTest(unittest.TestCase):
    def run_rig(
        self,
        hosts: list[Host],
        body: Callable[[Rig, Run], Awaitable[None]],
        *,
        slots: int = 4,
        silent: int | None = None,
    ) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                entry = Host("entry", None)
                await entry.open(tasks, slots=1)
                for host in hosts:
                    await host.open(tasks, slots=slots)
                rig = Rig(entry, [], tasks)
                for host in hosts:
                    is_silent = host.name == "silent"
                    rig.meet(host, silent if is_silent else None)

                async def call(routes: Router, is_idempotent: bool) -> Outcome:
                    plan = routes.match(host="h", path="/x", method="GET")
                    assert plan is not None
                    made = rig.call(is_idempotent=is_idempotent)
                    outcome = await rig.dispatcher.run(
                        made, plan, routes, CallWatch(), may_retry=True
                    )
                    if isinstance(outcome, Answered):
                        outcome.attempt.close()
                    return outcome

                await body(rig, call)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_call_goes_over_two_daemons(self) -> None:
        async def body(_rig: Rig, run: Run) -> None:
            for routes, is_idempotent in ((SAFE, True), (ONCE, False)):
                outcome = await run(routes, is_idempotent)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"one")

        self.run_rig([Host("one", answering(b"one"))], body)

    def test_silent_host_costs_little_and_nothing_runs_twice(self) -> None:
        live = answering(b"live")

        async def body(rig: Rig, run: Run) -> None:
            started = rig.timers.now()
            for routes, is_idempotent in ((ONCE, False), (SAFE, True)):
                for _ in range(4):
                    outcome = await run(routes, is_idempotent)
                    assert isinstance(outcome, Answered), outcome
                    self.assertEqual(outcome.answer.body, b"live")
            self.assertLess(rig.timers.now() - started, 1.0)
            self.assertEqual(len(live.heads), 8)

        with SilentPort() as port:
            hosts = [Host("silent", answering(b"never")), Host("live", live)]
            self.run_rig(hosts, body, silent=port)

    def test_a_call_at_a_start_that_is_over_ends_as_unknown_at_once(self) -> None:
        """The connection of the old process stays silent, and the caller's deadline is 2 s away."""
        host = Host("one", answering(b"never", after=60.0))

        async def body(rig: Rig, run: Run) -> None:
            (target,) = host.targets.all

            def start_again() -> None:
                again = attrs.evolve(target.announcement, born=2_000_000)
                self.assertIs(host.targets.announce(again), AnnouncementResult.ACCEPTED)

            rig.timers.call_at(rig.timers.now() + 0.2, start_again)
            started = rig.timers.now()
            self.assertIsInstance(await run(ONCE, False), OutcomeUnknown)
            self.assertLess(rig.timers.now() - started, 1.0)
            (newer,) = host.targets.all
            self.assertEqual((newer.gate.running, target.gate.running), (0, 0))

        self.run_rig([host], body)

    def test_call_that_no_daemon_took_has_not_run(self) -> None:
        async def body(_rig: Rig, run: Run) -> None:
            self.assertIsInstance(await run(ONCE, False), NotRun)

        with SilentPort() as port:
            self.run_rig([Host("silent", answering(b"never"))], body, silent=port)

    def test_slow_first_try_gets_a_second_one_beside_it(self) -> None:
        slow = answering(b"slow", after=1.0)
        quick = answering(b"quick")

        async def body(rig: Rig, run: Run) -> None:
            for _ in range(6):
                started = rig.timers.now()
                outcome = await run(SAFE, True)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"quick")
                self.assertLess(rig.timers.now() - started, 0.6)

        self.run_rig([Host("slow", slow), Host("quick", quick)], body)

    def test_call_goes_where_a_slot_is_free_before_it_waits(self) -> None:
        async def body(rig: Rig, run: Run) -> None:
            gate = busy.targets.all[0].gate
            held = [gate.try_enter(0, rig.timers.now() + 9) for _ in range(gate.slots)]
            started = rig.timers.now()
            for _ in range(6):
                outcome = await run(ONCE, False)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"free")
                rig.meet(busy)  # its load is forgotten: it looks as free as the other one
            self.assertLess(rig.timers.now() - started, 0.5)
            self.assertEqual(len(held), gate.running)

        busy = Host("busy", answering(b"busy"))
        self.run_rig([busy, Host("free", answering(b"free"))], body)

    def test_call_waits_where_the_wait_is_short_when_nobody_has_a_slot_free(self) -> None:
        async def body(rig: Rig, run: Run) -> None:
            for host, seconds in ((crowded, 5.0), (calm, 0.2)):
                gate = host.targets.all[0].gate
                for _ in range(gate.slots):
                    held = gate.try_enter(0, rig.timers.now() + 9)
                    assert isinstance(held, HeldSlot)
                    rig.timers.call_at(rig.timers.now() + seconds, held.release)
            for _ in range(8):  # calls that wait at one of them
                rig.tasks.start_soon(crowded.targets.all[0].gate.wait, 0, rig.timers.now() + 9)
            outcome = await run(ONCE, False)
            assert isinstance(outcome, Answered), outcome
            self.assertEqual(outcome.answer.body, b"calm")

        crowded, calm = Host("crowded", answering(b"crowded")), Host("calm", answering(b"calm"))
        self.run_rig([crowded, calm], body)

    def test_large_body_comes_as_it_is_asked_for_and_takes_its_slot_last(self) -> None:
        async def swallow(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, body=b"whole"))

        async def body(rig: Rig, _run: Run) -> None:
            plan = ONCE.match(host="h", path="/x", method="GET")
            assert plan is not None
            gate = host.targets.all[0].gate
            held = [gate.try_enter(0, rig.timers.now() + 9) for _ in range(gate.slots)]
            outcomes: list[object] = []

            async def call() -> None:
                made = rig.call(
                    is_idempotent=False, method=b"POST", body=b"x" * 90_000, length=90_000
                )
                outcomes.append(
                    await rig.dispatcher.run(made, plan, ONCE, CallWatch(), may_retry=True)
                )

            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(call)
                await anyio.sleep(0.3)
                self.assertEqual(outcomes, [])
                for each in held:
                    assert isinstance(each, HeldSlot)
                    each.release()
            for outcome in outcomes:
                assert isinstance(outcome, Answered), outcome
                outcome.attempt.close()
            self.assertEqual(gate.running, 0)

        host = Host("one", ScriptedTarget(swallow))
        self.run_rig([host], body)

    def test_daemon_lost_in_the_middle_of_a_body_has_not_run_the_call(self) -> None:
        async def body(rig: Rig, _run: Run) -> None:
            plan = ONCE.match(host="h", path="/x", method="GET")
            assert plan is not None
            made = rig.call(is_idempotent=False, method=b"POST", body=b"x" * 90_000, length=90_000)
            outcome = await rig.dispatcher.run(made, plan, ONCE, CallWatch(), may_retry=True)
            self.assertIsInstance(outcome, NotRun)

        async def admit_and_hang_up(stream: ByteStream) -> None:
            await stream.receive()
            for message in (Admitted(), Ask(4096)):
                await stream.send(CALL_CODEC.encode(message))
            await stream.receive()
            stream.abort()

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                listener = await listen(
                    IP,
                    0,
                    traffic=Traffic(),
                    purpose=Purpose.CALLS,
                    on_stream=lambda stream: tasks.start_soon(admit_and_hang_up, stream),
                )
                entry = Host("entry", None)
                await entry.open(tasks, slots=1)
                far = Host("far", answering(b"never"))
                await far.open(tasks, slots=1)
                rig = Rig(entry, [], tasks)
                rig.meet(far, listener.port)
                await body(rig, None)  # type: ignore[arg-type]
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_caller_that_leaves_ends_both_tries(self) -> None:
        async def lose(_head: RequestHead, stream: ByteStream) -> None:
            await anyio.sleep(0.3)
            stream.abort()

        async def body(rig: Rig, _run: Run) -> None:
            plan = SAFE.match(host="h", path="/x", method="GET")
            assert plan is not None
            for _ in range(4):
                watch = CallWatch()
                rig.timers.call_at(rig.timers.now() + 0.5, watch.give_up)
                started = rig.timers.now()
                await rig.dispatcher.run(rig.call(), plan, SAFE, watch, may_retry=True)
                self.assertLess(rig.timers.now() - started, 0.7)

        hosts = [Host("lossy", ScriptedTarget(lose)), Host("slow", answering(b"x", after=5.0))]
        self.run_rig(hosts, body)

    def test_slow_try_is_not_broken_off_where_nobody_else_has_room(self) -> None:
        async def body(_rig: Rig, run: Run) -> None:
            outcome = await run(SAFE, True)
            assert isinstance(outcome, Answered)
            self.assertEqual(outcome.answer.body, b"slow")

        self.run_rig([Host("slow", answering(b"slow", after=0.6))], body)

    def test_call_that_must_not_run_twice_waits_for_its_only_try(self) -> None:
        slow = answering(b"slow", after=0.5)

        async def body(_rig: Rig, run: Run) -> None:
            outcome = await run(ONCE, False)
            assert isinstance(outcome, Answered)
            self.assertEqual(len(slow.heads), 1)

        self.run_rig([Host("slow", slow)], body)

    def test_refusal_by_a_target_is_offered_to_another(self) -> None:
        async def refuse(_head: RequestHead, stream: ByteStream) -> None:
            await stream.send(b"HTTP/1.1 503 S\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")

        async def body(_rig: Rig, run: Run) -> None:
            for _ in range(3):
                outcome = await run(ONCE, False)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"live")

        hosts = [Host("full", ScriptedTarget(refuse)), Host("live", answering(b"live"))]
        self.run_rig(hosts, body)

    def test_lost_answer_of_a_call_that_must_not_run_twice_is_unknown(self) -> None:
        async def lose(_head: RequestHead, stream: ByteStream) -> None:
            stream.abort()

        async def body(_rig: Rig, run: Run) -> None:
            self.assertIsInstance(await run(ONCE, False), OutcomeUnknown)

        self.run_rig([Host("lossy", ScriptedTarget(lose))], body)
