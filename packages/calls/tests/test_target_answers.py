"""Responses of targets, valid and invalid, and their outcomes for the caller."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
from call_harness import DIALECT, CallHarness, Host, ScriptedTarget, answer

from acaciayard_admission import LocalExchange
from acaciayard_callmodel import Answer, Call, NotRun, OutcomeUnknown
from acaciayard_http1 import RequestHead
from acaciayard_wire import ByteStream

Outcome = Answer | NotRun | OutcomeUnknown
SendCall = Callable[[Call], Awaitable[Outcome]]


async def respond(head: RequestHead, stream: ByteStream) -> None:
    await stream.send(answer(head))


class TargetAnswerTest(unittest.TestCase):
    def run_target(
        self,
        script: Callable[[RequestHead, ByteStream], Awaitable[None]],
        body: Callable[[CallHarness, ScriptedTarget, SendCall], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                target = ScriptedTarget(script)
                host = Host("near", target)
                await host.open(tasks, slots=4)

                async def send_call(call: Call) -> Outcome:
                    exchange = LocalExchange(
                        call, targets=host.targets, timers=host.timers, dialect=DIALECT
                    )
                    outcome = await exchange.start() or await exchange.answer()
                    exchange.close()
                    return outcome

                await body(CallHarness(host, [], tasks), target, send_call)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def outcome_of(
        self, script: Callable[[RequestHead, ByteStream], Awaitable[None]], **changes: object
    ) -> Outcome:
        outcomes: list[Outcome] = []

        async def body(harness: CallHarness, _target: ScriptedTarget, send_call: SendCall) -> None:
            outcomes.append(await send_call(harness.call(**changes)))

        self.run_target(script, body)
        return outcomes[0]

    def test_valid_response(self) -> None:
        outcome = self.outcome_of(respond)
        assert isinstance(outcome, Answer)
        self.assertEqual((outcome.status, outcome.body), (200, b"ok"))

    def test_request_names_the_expected_target(self) -> None:
        async def body(harness: CallHarness, target: ScriptedTarget, send_call: SendCall) -> None:
            await send_call(harness.call())
            self.assertEqual(dict(target.request_heads[0].headers)[b"x-for"], b"target-near")

        self.run_target(respond, body)

    def test_refusal_by_the_target(self) -> None:
        async def script(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, status=503, extra_headers="x-not-run: 1\r\n"))

        outcome = self.outcome_of(script, is_idempotent=False)
        assert isinstance(outcome, NotRun)
        self.assertTrue(outcome.is_by_target)

    # Guards against a call that runs twice, as a refusal of another request was taken for its own.
    def test_answers_that_name_no_request_are_not_believed(self) -> None:
        for status in (200, 421, 500, 503):
            for not_run in (b"", b"x-not-run: 1\r\n"):

                async def script(
                    _head: RequestHead,
                    stream: ByteStream,
                    line: bytes = b"HTTP/1.1 %d S\r\nx-seal: 1\r\n%s" % (status, not_run),
                ) -> None:
                    await stream.send(line + b"content-length: 0\r\n\r\n")

                with self.subTest(status, not_run=not_run):
                    self.assertIsInstance(self.outcome_of(script), OutcomeUnknown)

    def test_503_without_the_not_run_header_may_have_run(self) -> None:
        async def script(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, status=503))

        self.assertIsInstance(self.outcome_of(script, is_idempotent=False), OutcomeUnknown)
        self.assertIsInstance(self.outcome_of(script, is_idempotent=True), Answer)

    def test_success_without_seal_is_unknown(self) -> None:
        async def script(_head: RequestHead, stream: ByteStream) -> None:
            await stream.send(b"HTTP/1.1 200 S\r\nx-request: r1\r\ncontent-length: 2\r\n\r\nok")

        self.assertIsInstance(self.outcome_of(script), OutcomeUnknown)

    # Guards against many calls of unknown outcome at a target that answers twice, the second time
    # late, if their connections are used again.
    def test_unsafe_calls_use_no_connection_of_a_target_that_answers_twice(self) -> None:
        answered: dict[ByteStream, RequestHead] = {}

        async def script(head: RequestHead, stream: ByteStream) -> None:
            if stream in answered:
                await stream.send(answer(answered[stream]))
            answered[stream] = head
            await stream.send(answer(head))

        async def body(harness: CallHarness, target: ScriptedTarget, send_call: SendCall) -> None:
            outcomes = []
            for number in range(10):
                request_id = b"r%d" % number
                fields = b"host: h\r\nx-request: %s\r\n" % request_id
                call = harness.call(request_id=request_id, fields=fields, is_idempotent=False)
                outcomes.append(isinstance(await send_call(call), OutcomeUnknown))
            self.assertEqual(outcomes.count(True), 1)
            self.assertEqual(len(target.request_heads), 10)

        self.run_target(script, body)

    # Guards against a response that is taken from behind one to another request, where it may begin
    # inside that one.
    def test_response_to_another_request_ends_its_connection(self) -> None:
        async def script(head: RequestHead, stream: ByteStream) -> None:
            unrelated = answer(head, body=b"stray").replace(b"x-request: r1", b"x-request: r0")
            await stream.send(unrelated + answer(head))

        async def body(harness: CallHarness, target: ScriptedTarget, send_call: SendCall) -> None:
            self.assertIsInstance(await send_call(harness.call()), OutcomeUnknown)
            target.script = respond
            outcome = await send_call(harness.call())
            assert isinstance(outcome, Answer)
            self.assertEqual(outcome.body, b"ok")
            self.assertEqual(target.accepted_connections, 2)

        self.run_target(script, body)

    # Guards against bodies that do not go on and hold all slots of a target.
    def test_streamed_bodies_leave_slots_for_others(self) -> None:
        async def body(harness: CallHarness, target: ScriptedTarget, send_call: SendCall) -> None:
            streams = []
            for number in range(3):
                exchange = LocalExchange(
                    harness.call(is_whole=False, length=5_000_000, method=b"POST"),
                    targets=harness.entry.targets,
                    timers=harness.entry.timers,
                    dialect=DIALECT,
                    is_streamed=True,
                )
                refusal = await exchange.start()
                self.assertEqual(isinstance(refusal, NotRun), number == 2, refusal)
                streams.append(exchange)
            self.assertIsInstance(await send_call(harness.call()), Answer)
            for exchange in streams:
                exchange.close()
            self.assertEqual(harness.entry.targets.all[0].gate.running, 0)
            self.assertTrue(harness.entry.targets.all[0].enter_stream())

        self.run_target(respond, body)

    # Guards against a call that runs although it was given up, and one that reaches a target that
    # has left, on a connection opened in place of a lost one.
    def test_call_that_has_ended_is_not_sent(self) -> None:
        async def body(harness: CallHarness, target: ScriptedTarget, _send: SendCall) -> None:
            for is_aborted in (True, False):
                exchange = LocalExchange(
                    harness.call(is_idempotent=False),
                    targets=harness.entry.targets,
                    timers=harness.entry.timers,
                    dialect=DIALECT,
                )
                self.assertIsNone(await exchange.enter())
                if is_aborted:
                    exchange.abort()
                else:
                    harness.entry.targets.withdraw("target-near", "it left")
                    connection = exchange._connection
                    assert connection is not None
                    connection.stream.abort()
                await anyio.sleep(0.02)
                self.assertIsInstance(await exchange.send_head(), NotRun)
                exchange.close()
            self.assertEqual(target.request_heads, [])

        self.run_target(respond, body)

    def test_malformed_and_truncated_responses(self) -> None:
        async def malformed(_head: RequestHead, stream: ByteStream) -> None:
            await stream.send(b"\x00\x01 no answer\r\n\r\n")

        async def truncated(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, body=b"0123456789")[:-3])
            stream.close()

        async def bad_chunk(_head: RequestHead, stream: ByteStream) -> None:
            head = b"HTTP/1.1 200 S\r\nx-request: r1\r\nx-seal: 1\r\n"
            await stream.send(head + b"transfer-encoding: chunked\r\n\r\nxyz\r\n")

        async def half_of_the_chunks(_head: RequestHead, stream: ByteStream) -> None:
            head = b"HTTP/1.1 200 S\r\nx-request: r1\r\nx-seal: 1\r\n"
            await stream.send(head + b"transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")
            stream.close()

        for script in (malformed, truncated, bad_chunk, half_of_the_chunks):
            with self.subTest(script.__name__):
                self.assertIsInstance(self.outcome_of(script), OutcomeUnknown)

    def test_short_response_in_chunks_is_whole(self) -> None:
        async def script(_head: RequestHead, stream: ByteStream) -> None:
            head = b"HTTP/1.1 200 S\r\nx-request: r1\r\nx-seal: 1\r\n"
            body = b"3\r\nall\r\n2\r\n o\r\n0\r\nsum: 1\r\n\r\n"
            await stream.send(head + b"transfer-encoding: chunked\r\n\r\n" + body)

        outcome = self.outcome_of(script)
        assert isinstance(outcome, Answer)
        self.assertEqual((outcome.body, outcome.is_whole), (b"all o", True))
        self.assertEqual(outcome.trailers, ((b"sum", b"1"),))

    def test_response_without_length_ends_by_close(self) -> None:
        async def script(_head: RequestHead, stream: ByteStream) -> None:
            await stream.send(b"HTTP/1.1 200 S\r\nx-request: r1\r\nx-seal: 1\r\n\r\nall of it")
            stream.close()

        outcome = self.outcome_of(script)
        assert isinstance(outcome, Answer)
        self.assertEqual((outcome.body, outcome.ends_by_close), (b"all of it", True))

    def test_connection_is_reused_only_after_a_clean_end(self) -> None:
        async def respond_twice(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head) + b"HTTP/1.1 200 S\r\ncontent-length: 0\r\n\r\n")

        async def respond_early(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, status=500))

        async def send_twice(
            harness: CallHarness, target: ScriptedTarget, send_call: SendCall
        ) -> None:
            for _ in range(2):
                await send_call(harness.call())
            self.assertEqual(target.accepted_connections, self.expected)

        async def send_long_bodies(
            harness: CallHarness, target: ScriptedTarget, send_call: SendCall
        ) -> None:
            for _ in range(2):
                body = b"x" * 60_000
                await send_call(harness.call(method=b"POST", body=body, length=len(body)))
            self.assertEqual(target.accepted_connections, 2)

        self.expected = 1
        self.run_target(respond, send_twice)
        self.expected = 2
        self.run_target(respond_twice, send_twice)
        self.run_target(respond_early, send_long_bodies)

    def test_nested_calls_are_attributed_to_a_running_call(self) -> None:
        found_parents: list[tuple[bool, bool]] = []

        async def body(harness: CallHarness, _target: ScriptedTarget, send_call: SendCall) -> None:
            targets = harness.entry.targets

            async def script(head: RequestHead, stream: ByteStream) -> None:
                parent, unrelated_parent = targets.parent_of(b"r1.7"), targets.parent_of(b"r2.7")
                found_parents.append((parent is not None, unrelated_parent is not None))
                await stream.send(answer(head))

            _target.script = script
            await send_call(harness.call())
            found_parents.append((targets.parent_of(b"r1.7") is not None, False))

        self.run_target(respond, body)
        self.assertEqual(found_parents, [(True, False), (False, False)])

    # Guards against a connection that is reused when its target is about to close it.
    def test_idle_timeout_that_the_target_states(self) -> None:
        for stated, connections in (("timeout=1", 2), ("timeout=30, max=9", 1), ("timeout=x", 1)):

            async def script(head: RequestHead, stream: ByteStream, stated: str = stated) -> None:
                await stream.send(answer(head, extra_headers=f"keep-alive: {stated}\r\n"))

            async def body(
                harness: CallHarness,
                target: ScriptedTarget,
                send_call: SendCall,
                connections: int = connections,
            ) -> None:
                await send_call(harness.call())
                await anyio.sleep(0.7)
                await send_call(harness.call())
                self.assertEqual(target.accepted_connections, connections)

            with self.subTest(stated):
                self.run_target(script, body)

    # Guards against calls that go on to an address at which another target answers.
    def test_target_whose_address_another_one_has_is_withdrawn(self) -> None:
        async def script(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head, status=421, extra_headers="x-not-run: 1\r\n"))

        async def body(harness: CallHarness, target: ScriptedTarget, send_call: SendCall) -> None:
            for _ in range(2):
                self.assertIsInstance(await send_call(harness.call()), NotRun)
            self.assertEqual(len(target.request_heads), 1)

        self.run_target(script, body)
