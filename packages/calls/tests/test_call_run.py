"""Calls that pass through two daemons: silent hosts, slow targets and refusals."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import attrs
from call_harness import IP, CallHarness, Host, ScriptedTarget, answer, router

from acaciayard_admission import AnnouncementResult, HeldSlot
from acaciayard_callmodel import CallWatch, NotRun, OutcomeUnknown
from acaciayard_calls import Answered
from acaciayard_handover._messages import CALL_CODEC, Admitted, Ask
from acaciayard_http1 import RequestHead
from acaciayard_resources import RetryPolicy, Route, Service
from acaciayard_routing import Router
from acaciayard_wire import ByteStream, Purpose, Traffic, listen

IDEMPOTENT = router(
    Service(name="a"),
    RetryPolicy(name="again", attempts=2, per_try_s=0.15, backoff_ms=0),
    Route(name="r", service="a", idempotent=True, retry="again"),
)
NON_IDEMPOTENT = router(Service(name="a"), Route(name="r", service="a"))

Outcome = Answered | NotRun | OutcomeUnknown
RunCall = Callable[[Router, bool], Awaitable[Outcome]]


def responder(body: bytes, *, after: float = 0.0) -> ScriptedTarget:
    """Returns a target that responds with `body` after some seconds."""

    async def script(head: RequestHead, stream: ByteStream) -> None:
        await anyio.sleep(after)
        await stream.send(answer(head, body=body))

    return ScriptedTarget(script)


class SilentPort:
    """A port that accepts connections and never sends data, like a host that lost power."""

    def __enter__(self) -> int:
        self._socket = socket.socket()
        self._socket.bind((IP, 0))
        self._socket.listen(50)
        return int(self._socket.getsockname()[1])

    def __exit__(self, *_: object) -> None:
        self._socket.close()


class CallRunTest(unittest.TestCase):
    def run_harness(
        self,
        hosts: list[Host],
        body: Callable[[CallHarness, RunCall], Awaitable[None]],
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
                harness = CallHarness(entry, [], tasks)
                for host in hosts:
                    is_silent = host.name == "silent"
                    harness.add_member(host, silent if is_silent else None)

                async def run_call(routes: Router, is_idempotent: bool) -> Outcome:
                    plan = routes.match(host="h", path="/x", method="GET")
                    assert plan is not None
                    call = harness.call(is_idempotent=is_idempotent)
                    outcome = await harness.dispatcher.run(
                        call, plan, routes, CallWatch(), may_retry=True
                    )
                    if isinstance(outcome, Answered):
                        outcome.attempt.close()
                    return outcome

                await body(harness, run_call)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_call_through_two_daemons_is_answered(self) -> None:
        async def body(_harness: CallHarness, run: RunCall) -> None:
            for routes, is_idempotent in ((IDEMPOTENT, True), (NON_IDEMPOTENT, False)):
                outcome = await run(routes, is_idempotent)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"one")

        self.run_harness([Host("one", responder(b"one"))], body)

    def test_pause_of_the_own_daemon_is_not_taken_for_silence_of_a_host(self) -> None:
        """Calls ended as given up before they were sent, and their hosts were ejected."""

        async def body(harness: CallHarness, run: RunCall) -> None:
            loop = asyncio.get_running_loop()
            for pause_s in (0.07, 0.3):
                for routes, is_idempotent in ((NON_IDEMPOTENT, False), (IDEMPOTENT, True)):
                    loop.call_soon(time.sleep, pause_s)
                    outcome = await run(routes, is_idempotent)
                    assert isinstance(outcome, Answered), outcome
                    self.assertEqual(outcome.answer.body, b"one")
            self.assertGreater(harness.timers.extended_waits, 0)

        target = responder(b"one")
        self.run_harness([Host("one", target)], body)
        self.assertEqual(len(target.request_heads), 4)

    def test_silent_host_adds_little_latency_and_no_duplicate_execution(self) -> None:
        live = responder(b"live")

        async def body(harness: CallHarness, run: RunCall) -> None:
            started = harness.timers.now()
            for routes, is_idempotent in ((NON_IDEMPOTENT, False), (IDEMPOTENT, True)):
                for _ in range(4):
                    outcome = await run(routes, is_idempotent)
                    assert isinstance(outcome, Answered), outcome
                    self.assertEqual(outcome.answer.body, b"live")
            self.assertLess(harness.timers.now() - started, 1.0)
            self.assertEqual(len(live.request_heads), 8)

        with SilentPort() as port:
            hosts = [Host("silent", responder(b"never")), Host("live", live)]
            self.run_harness(hosts, body, silent=port)

    def test_restart_of_the_target_ends_its_calls_as_unknown_at_once(self) -> None:
        """The old connection stays silent, and the caller's deadline is 2 s away."""
        host = Host("one", responder(b"never", after=60.0))

        async def body(harness: CallHarness, run: RunCall) -> None:
            (target,) = host.targets.all

            def restart_target() -> None:
                restarted = attrs.evolve(target.announcement, born=2_000_000)
                self.assertIs(host.targets.announce(restarted), AnnouncementResult.ACCEPTED)

            harness.timers.call_at(harness.timers.now() + 0.2, restart_target)
            started = harness.timers.now()
            self.assertIsInstance(await run(NON_IDEMPOTENT, False), OutcomeUnknown)
            self.assertLess(harness.timers.now() - started, 1.0)
            (newer,) = host.targets.all
            self.assertEqual((newer.gate.running, target.gate.running), (0, 0))

        self.run_harness([host], body)

    def test_call_that_no_daemon_accepted_has_not_run(self) -> None:
        async def body(_harness: CallHarness, run: RunCall) -> None:
            self.assertIsInstance(await run(NON_IDEMPOTENT, False), NotRun)

        with SilentPort() as port:
            self.run_harness([Host("silent", responder(b"never"))], body, silent=port)

    def test_slow_first_attempt_is_hedged(self) -> None:
        slow = responder(b"slow", after=1.0)
        fast = responder(b"quick")

        async def body(harness: CallHarness, run: RunCall) -> None:
            for _ in range(6):
                started = harness.timers.now()
                outcome = await run(IDEMPOTENT, True)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"quick")
                self.assertLess(harness.timers.now() - started, 0.6)

        self.run_harness([Host("slow", slow), Host("quick", fast)], body)

    def test_call_prefers_a_free_slot_to_a_queue(self) -> None:
        async def body(harness: CallHarness, run: RunCall) -> None:
            gate = busy.targets.all[0].gate
            held = [gate.try_enter(0, harness.timers.now() + 9) for _ in range(gate.slots)]
            started = harness.timers.now()
            for _ in range(6):
                outcome = await run(NON_IDEMPOTENT, False)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"free")
                harness.add_member(busy)  # resets its known load to that of the other host
            self.assertLess(harness.timers.now() - started, 0.5)
            self.assertEqual(len(held), gate.running)

        busy = Host("busy", responder(b"busy"))
        self.run_harness([busy, Host("free", responder(b"free"))], body)

    def test_call_waits_in_the_shortest_queue_without_a_free_slot(self) -> None:
        async def body(harness: CallHarness, run: RunCall) -> None:
            for host, seconds in ((crowded, 5.0), (calm, 0.2)):
                gate = host.targets.all[0].gate
                for _ in range(gate.slots):
                    held = gate.try_enter(0, harness.timers.now() + 9)
                    assert isinstance(held, HeldSlot)
                    harness.timers.call_at(harness.timers.now() + seconds, held.release)
            for _ in range(8):  # calls that wait in one of the queues
                harness.tasks.start_soon(
                    crowded.targets.all[0].gate.wait, 0, harness.timers.now() + 9
                )
            outcome = await run(NON_IDEMPOTENT, False)
            assert isinstance(outcome, Answered), outcome
            self.assertEqual(outcome.answer.body, b"calm")

        crowded, calm = Host("crowded", responder(b"crowded")), Host("calm", responder(b"calm"))
        self.run_harness([crowded, calm], body)

    def test_large_body_is_sent_on_demand_after_admission(self) -> None:
        async def respond_early(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, body=b"whole"))

        async def body(harness: CallHarness, _run: RunCall) -> None:
            plan = NON_IDEMPOTENT.match(host="h", path="/x", method="GET")
            assert plan is not None
            gate = host.targets.all[0].gate
            held = [gate.try_enter(0, harness.timers.now() + 9) for _ in range(gate.slots)]
            outcomes: list[object] = []

            async def run_call() -> None:
                call = harness.call(
                    is_idempotent=False, method=b"POST", body=b"x" * 90_000, length=90_000
                )
                outcomes.append(
                    await harness.dispatcher.run(
                        call, plan, NON_IDEMPOTENT, CallWatch(), may_retry=True
                    )
                )

            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(run_call)
                await anyio.sleep(0.3)
                self.assertEqual(outcomes, [])
                for each in held:
                    assert isinstance(each, HeldSlot)
                    each.release()
            for outcome in outcomes:
                assert isinstance(outcome, Answered), outcome
                outcome.attempt.close()
            self.assertEqual(gate.running, 0)

        host = Host("one", ScriptedTarget(respond_early))
        self.run_harness([host], body)

    def test_call_has_not_run_if_its_daemon_is_lost_during_the_body(self) -> None:
        async def body(harness: CallHarness, _run: RunCall) -> None:
            plan = NON_IDEMPOTENT.match(host="h", path="/x", method="GET")
            assert plan is not None
            call = harness.call(
                is_idempotent=False, method=b"POST", body=b"x" * 90_000, length=90_000
            )
            outcome = await harness.dispatcher.run(
                call, plan, NON_IDEMPOTENT, CallWatch(), may_retry=True
            )
            self.assertIsInstance(outcome, NotRun)

        async def admit_and_reset(stream: ByteStream) -> None:
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
                    on_stream=lambda stream: tasks.start_soon(admit_and_reset, stream),
                )
                entry = Host("entry", None)
                await entry.open(tasks, slots=1)
                remote = Host("far", responder(b"never"))
                await remote.open(tasks, slots=1)
                harness = CallHarness(entry, [], tasks)
                harness.add_member(remote, listener.port)
                await body(harness, None)  # type: ignore[arg-type]
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_caller_that_disconnects_cancels_both_attempts(self) -> None:
        async def reset_connection(_head: RequestHead, stream: ByteStream) -> None:
            await anyio.sleep(0.3)
            stream.abort()

        async def body(harness: CallHarness, _run: RunCall) -> None:
            plan = IDEMPOTENT.match(host="h", path="/x", method="GET")
            assert plan is not None
            for _ in range(4):
                watch = CallWatch()
                harness.timers.call_at(harness.timers.now() + 0.5, watch.give_up)
                started = harness.timers.now()
                await harness.dispatcher.run(
                    harness.call(), plan, IDEMPOTENT, watch, may_retry=True
                )
                self.assertLess(harness.timers.now() - started, 0.7)

        hosts = [
            Host("lossy", ScriptedTarget(reset_connection)),
            Host("slow", responder(b"x", after=5.0)),
        ]
        self.run_harness(hosts, body)

    def test_slow_attempt_is_kept_without_an_alternative_host(self) -> None:
        async def body(_harness: CallHarness, run: RunCall) -> None:
            outcome = await run(IDEMPOTENT, True)
            assert isinstance(outcome, Answered)
            self.assertEqual(outcome.answer.body, b"slow")

        self.run_harness([Host("slow", responder(b"slow", after=0.6))], body)

    def test_non_idempotent_call_is_not_hedged(self) -> None:
        slow = responder(b"slow", after=0.5)

        async def body(_harness: CallHarness, run: RunCall) -> None:
            outcome = await run(NON_IDEMPOTENT, False)
            assert isinstance(outcome, Answered)
            self.assertEqual(len(slow.request_heads), 1)

        self.run_harness([Host("slow", slow)], body)

    def test_call_refused_by_a_target_is_offered_to_another(self) -> None:
        async def refuse(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, status=503, extra_headers="x-not-run: 1\r\n"))

        async def body(_harness: CallHarness, run: RunCall) -> None:
            for _ in range(3):
                outcome = await run(NON_IDEMPOTENT, False)
                assert isinstance(outcome, Answered)
                self.assertEqual(outcome.answer.body, b"live")

        hosts = [Host("full", ScriptedTarget(refuse)), Host("live", responder(b"live"))]
        self.run_harness(hosts, body)

    def test_lost_response_of_a_non_idempotent_call_is_unknown(self) -> None:
        async def reset_connection(_head: RequestHead, stream: ByteStream) -> None:
            stream.abort()

        async def body(_harness: CallHarness, run: RunCall) -> None:
            self.assertIsInstance(await run(NON_IDEMPOTENT, False), OutcomeUnknown)

        self.run_harness([Host("lossy", ScriptedTarget(reset_connection))], body)
