"""Request bodies that share the memory of a process, over real sockets."""

from __future__ import annotations

import contextlib
import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
from attrs import frozen
from call_harness import DIALECT, IP, CallHarness, Host, ScriptedTarget, answer, router

from acaciayard_callmodel import CallWatch, NotRun, OutcomeUnknown
from acaciayard_calls import Answered, EntryServer, ServiceLevels
from acaciayard_http1 import BodyPart, Limits, RequestHead, RequestReader
from acaciayard_resources import Resource, Route, Service, TimeoutPolicy
from acaciayard_wire import ByteStream, StreamLostError

#: Longest wait for an answer.
ANSWER_TIMEOUT_S = 5.0
#: Time for which a body stands still before others come.
STILL_S = 0.4
LARGE = 3_900_000
#: Bytes of a body that are buffered, and of a chunk.
BUFFERED = 4 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
CHUNKED_HEAD = b"POST /x HTTP/1.1\r\nhost: h\r\nx-request: r\r\ntransfer-encoding: chunked\r\n\r\n"
ROUTES: tuple[Resource, ...] = (
    Service(name="a"),
    Route(name="all", service="a", path="/", idempotent=True),
)
TIMED_ROUTE = Route(name="all", service="a", path="/", idempotent=True, timeout="t")


def head(length: int) -> bytes:
    """Returns the head of a request with a body."""
    return (
        f"POST /x HTTP/1.1\r\nhost: h\r\nx-request: r\r\ncontent-length: {length}\r\n\r\n".encode()
    )


class ReadingTarget(ScriptedTarget):
    """A target that answers a request once it has read its body, and keeps that."""

    received = b""

    async def _serve(self, stream: ByteStream) -> None:
        reader = RequestReader(stream, Limits())
        with contextlib.suppress(StreamLostError):
            head = await reader.next_head()
            assert head is not None
            self.request_heads.append(head)
            while isinstance(part := await reader.next_part(), BodyPart):
                self.received += part.data
            await self.script(head, stream)


@frozen
class BodyScene:
    """An entry with a target on its host."""

    host: Host
    target: ScriptedTarget
    entry: EntryServer
    harness: CallHarness

    async def connect(self) -> anyio.abc.SocketStream:
        return await anyio.connect_tcp(IP, self.entry.port)

    async def send_incomplete(self, size: int) -> anyio.abc.SocketStream:
        """Sends a body but for its last byte, and waits until it is held."""
        stream = await self.connect()
        before = self.host.bodies.held
        await stream.send(head(size) + bytes(size - 1))
        await eventually(lambda: self.host.bodies.held >= before + size - 1)
        return stream

    async def answer_to(self, size: int) -> bytes:
        """Sends a request with a whole body, and returns the answer."""
        stream = await self.connect()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, stream, head(size) + bytes(size))
            data = await read_answer(stream)
            tasks.cancel_scope.cancel()
        return data

    @staticmethod
    async def _send(stream: anyio.abc.SocketStream, data: bytes) -> None:
        with contextlib.suppress(anyio.BrokenResourceError):  # refused, and closed before the end
            await stream.send(data)


async def eventually(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    with anyio.fail_after(ANSWER_TIMEOUT_S):
        while True:
            if condition():
                return
            await anyio.sleep(0.01)


async def read_answer(stream: anyio.abc.SocketStream) -> bytes:
    """Reads the head of an answer and what came with it."""
    data = b""
    with anyio.fail_after(ANSWER_TIMEOUT_S):
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
    return data


SceneBody = Callable[[BodyScene], Awaitable[None]]


def run_scene(
    body: SceneBody,
    *,
    routes: tuple[Resource, ...] = ROUTES,
    slots: int = 4,
    target_type: type[ScriptedTarget] = ScriptedTarget,
) -> None:
    """Runs the body of a test over real sockets."""

    async def respond(request: RequestHead, stream: ByteStream) -> None:
        await stream.send(answer(request))

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            target = target_type(respond)
            host = Host("near", target)
            await host.open(tasks, slots=slots)
            harness = CallHarness(host, [], tasks)
            entry = EntryServer(
                dispatcher=harness.dispatcher,
                claimer=None,
                levels=ServiceLevels(host.timers),
                targets=host.targets,
                timers=host.timers,
                traffic=host.traffic,
                bodies=host.bodies,
                not_serving=lambda: "",
                dialect=DIALECT,
                max_buffered_body=BUFFERED,
                buffers_chunked=True,
            )
            entry.use(router(*routes).configuration)
            await entry.open(IP, 0, tasks)
            await body(BodyScene(host, target, entry, harness))
            tasks.cancel_scope.cancel()

    anyio.run(run)


class BodyRoomTest(unittest.TestCase):
    # Guards against bodies without a bound of their sum.
    def test_bodies_beyond_the_room_are_refused_at_once(self) -> None:
        async def body(scene: BodyScene) -> None:
            incomplete = await scene.send_incomplete(LARGE)
            data = await scene.answer_to(LARGE)
            self.assertTrue(data.startswith(b"HTTP/1.1 503 "), data[:200])
            for line in (b"x-outcome: not_run", b"retry-after: ", b"connection: close"):
                self.assertIn(line, data)
            self.assertEqual(scene.target.request_heads, [])
            data = await scene.answer_to(60_000)
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data[:200])
            await incomplete.aclose()

        run_scene(body)

    # Guards against bodies that stand still and keep out those that go on.
    def test_a_body_that_stands_still_gives_way(self) -> None:
        async def body(scene: BodyScene) -> None:
            still = await scene.send_incomplete(LARGE)
            await anyio.sleep(STILL_S)
            data = await scene.answer_to(LARGE)
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data[:200])
            data = await read_answer(still)
            self.assertTrue(data.startswith(b"HTTP/1.1 408 "), data[:200])
            self.assertIn(b"x-outcome: not_run", data)
            self.assertEqual(len(scene.target.request_heads), 1)

        run_scene(body)

    # Guards against room that is not given back.
    def test_room_is_given_back_after_each_end(self) -> None:
        async def body(scene: BodyScene) -> None:
            for _ in range(4):
                data = await scene.answer_to(LARGE)
                self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data[:200])
            stream = await scene.send_incomplete(LARGE)
            await stream.aclose()
            await eventually(lambda: scene.host.bodies.held == 0)

        run_scene(body)


class ChunkedBodyTest(unittest.TestCase):
    # Guards against a body in chunks that is refused since it is larger than what is buffered.
    def test_a_body_larger_than_what_is_buffered_is_streamed(self) -> None:
        async def body(scene: BodyScene) -> None:
            target = scene.target
            assert isinstance(target, ReadingTarget)
            stream = await scene.connect()
            pieces = [
                bytes([number]) * CHUNK_BYTES for number in range(BUFFERED // CHUNK_BYTES + 4)
            ]
            await stream.send(CHUNKED_HEAD)
            for piece in pieces[:-1]:
                await stream.send(b"%x\r\n%s\r\n" % (CHUNK_BYTES, piece))
            await eventually(lambda: len(target.received) > BUFFERED)
            self.assertEqual(scene.host.bodies.held, 0)
            await stream.send(b"%x\r\n%s\r\n0\r\n\r\n" % (CHUNK_BYTES, pieces[-1]))
            data = await read_answer(stream)
            self.assertTrue(data.startswith(b"HTTP/1.1 200 "), data[:200])
            self.assertEqual(target.received, b"".join(pieces))

        run_scene(body, target_type=ReadingTarget)

    # Guards against a target that gets the beginning of a body for which there is no room.
    def test_a_body_without_room_is_not_run(self) -> None:
        async def body(scene: BodyScene) -> None:
            incomplete = await scene.send_incomplete(LARGE)
            stream = await scene.connect()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(CHUNKED_HEAD)
                for _ in range(BUFFERED // CHUNK_BYTES + 4):
                    await stream.send(b"%x\r\n%s\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES)))
            data = await read_answer(stream)
            self.assertTrue(data.startswith(b"HTTP/1.1 503 "), data[:200])
            self.assertIn(b"x-outcome: not_run", data)
            self.assertEqual(scene.target.request_heads, [])
            await incomplete.aclose()

        run_scene(body)


class BodyTimeTest(unittest.TestCase):
    # Guards against bodies that are waited for after the deadline of their calls.
    def test_a_body_has_until_the_deadline_of_its_call(self) -> None:
        async def body(scene: BodyScene) -> None:
            stream = await scene.send_incomplete(LARGE)
            data = await read_answer(stream)
            self.assertTrue(data.startswith(b"HTTP/1.1 408 "), data[:200])
            self.assertIn(b"x-outcome: not_run", data)
            self.assertEqual(scene.host.bodies.held, 0)
            self.assertEqual(scene.target.request_heads, [])

        run_scene(body, routes=(*ROUTES[:1], TimeoutPolicy(name="t", total_s=0.5), TIMED_ROUTE))

    # Guards against streamed bodies that stand still and keep a slot, and against a status that
    # says not run of a request whose head a target has.
    def test_a_streamed_body_that_stands_still_gives_its_slot_back(self) -> None:
        async def wait(_request: RequestHead, _stream: ByteStream) -> None:
            await anyio.sleep_forever()

        async def body(scene: BodyScene) -> None:
            scene.target.script = wait
            stream = await scene.connect()
            await stream.send(head(60_000_000) + bytes(100_000))
            (target,) = scene.host.targets.all
            await eventually(lambda: target.gate.running == 1)
            await eventually(lambda: target.gate.running == 0)
            data = await read_answer(stream)
            self.assertTrue(data.startswith(b"HTTP/1.1 504 "), data[:200])

        policy = TimeoutPolicy(name="t", total_s=20, idle_s=0.5)
        run_scene(body, routes=(*ROUTES[:1], policy, TIMED_ROUTE))


class HandedOverBodyTest(unittest.TestCase):
    # Guards against a daemon that takes bodies of other daemons for which it has no room.
    def test_a_host_without_room_refuses_and_another_one_runs_the_call(self) -> None:
        async def respond(request: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(request))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                full, free = (Host(name, ScriptedTarget(respond)) for name in ("full", "free"))
                entry = Host("entry", None)
                for host in (full, free, entry):
                    await host.open(tasks, slots=4)
                assert full.target is not None
                room = full.bodies.open()
                self.assertTrue(room.grow(7_000_000))
                room.complete()
                harness = CallHarness(entry, [full], tasks)
                routes = router(*ROUTES)
                plan = routes.match(host="h", path="/x", method="POST")
                assert plan is not None

                async def run_call(size: int) -> Answered | NotRun | OutcomeUnknown:
                    call = harness.call(method=b"POST", body=bytes(size), length=size)
                    outcome = await harness.dispatcher.run(
                        call, plan, routes, CallWatch(), may_retry=False
                    )
                    if isinstance(outcome, Answered):
                        outcome.attempt.close()
                    return outcome

                for size in (100, 60_000):
                    self.assertIsInstance(await run_call(size), Answered)
                refusal = await run_call(LARGE)
                assert isinstance(refusal, NotRun)
                self.assertTrue(refusal.is_overload)
                self.assertEqual(len(full.target.request_heads), 2)
                harness.add_member(free)
                for size in (100, LARGE, LARGE):
                    self.assertIsInstance(await run_call(size), Answered)
                await eventually(lambda: (full.bodies.held, free.bodies.held) == (7_000_000, 0))
                tasks.cancel_scope.cancel()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
