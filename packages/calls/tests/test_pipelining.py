"""HTTP/1.1 pipelining over real sockets."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

import anyio
import anyio.abc
from call_harness import DIALECT, IP, CallHarness, Host, ScriptedTarget, answer, router

from acaciayard_callmodel import CallEnded, CallEvents, NotRun
from acaciayard_calls import EntryServer, ServiceLevels
from acaciayard_calls._identity import ANYONE, Identity
from acaciayard_calls._intake import RejectedError
from acaciayard_calls._turns import (
    MAX_BUFFERED_BYTES,
    MAX_PIPELINED_REQUESTS,
    CallerRequest,
    RequestPipeline,
)
from acaciayard_http1 import Framing, RequestHead
from acaciayard_resources import EntryLimits, Route, Service
from acaciayard_routing import Router
from acaciayard_wire import ByteStream, Traffic

#: Timeout of the conditions that a test waits for.
WAIT_TIMEOUT_S = 5.0
#: Time without new data after which no more is expected.
QUIESCENCE_S = 0.15

ROUTES = router(
    Service(name="a"),
    Route(name="safe", service="a", path="/safe", idempotent=True),
    Route(name="once", service="a", path="/once"),
)


def get(path: str, *more: str) -> bytes:
    """Returns a GET request whose id is its path."""
    lines = [f"GET {path} HTTP/1.1", "host: h", f"x-request: {path}", *more]
    return "\r\n".join([*lines, "", ""]).encode()


def post(path: str, body: str = "b") -> bytes:
    """Returns a POST request whose id is its path."""
    lines = [f"POST {path} HTTP/1.1", "host: h", f"x-request: {path}"]
    return "\r\n".join([*lines, f"content-length: {len(body)}", "", body]).encode()


class BlockingTarget(ScriptedTarget):
    """A target that delays the responses to some paths until the test releases them."""

    def __init__(self, *blocked_paths: str) -> None:
        super().__init__(self._answer)
        self._blocked = {path: anyio.Event() for path in blocked_paths}
        self.bodies: dict[str, bytes] = {}
        self.raw_responses: dict[str, bytes] = {}

    async def _answer(self, head: RequestHead, stream: ByteStream) -> None:
        path = head.target.decode()
        if path in self._blocked:
            await self._blocked[path].wait()
        if path in self.raw_responses:
            await stream.send(self.raw_responses[path])
            stream.close()
            return
        await stream.send(answer(head, body=self.bodies.get(path, path.encode())))

    def release(self, path: str) -> None:
        """Lets the target respond to the request of a path."""
        self._blocked[path].set()

    @property
    def received(self) -> list[str]:
        """Paths of the received requests, in order."""
        return [head.target.decode() for head in self.request_heads]


class RecordedEvents(CallEvents):
    """Records the events of ended calls."""

    def __init__(self) -> None:
        self.ended: list[CallEnded] = []

    def call_ended(self, ended: CallEnded) -> None:
        self.ended.append(ended)


class Caller:
    """The connection of one caller."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self.received = b""
        self.is_closed = False

    async def send(self, *data: bytes) -> None:
        await self._stream.send(b"".join(data))

    async def read(self) -> None:
        """Reads until the entry closes the connection."""
        try:
            while True:
                self.received += await self._stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.is_closed = True

    async def disconnect(self) -> None:
        await self._stream.aclose()

    @property
    def answers(self) -> list[str]:
        """Status and body of each response, without the bodies of errors."""
        parsed = []
        for part in self.received.split(b"HTTP/1.1 ")[1:]:
            head, _, body = part.partition(b"\r\n\r\n")
            status = head[:3].decode()
            parsed.append(f"{status} {body.decode()}" if status == "200" else status)
        return parsed

    @property
    def close_flags(self) -> list[bool]:
        """Whether each response announces the close of the connection."""
        heads = [part.partition(b"\r\n\r\n")[0] for part in self.received.split(b"HTTP/1.1 ")[1:]]
        return [b"connection: close" in head for head in heads]


class PipelineScene:
    """An entry with a target on the same host, and a caller."""

    def __init__(
        self, entry: EntryServer, target: BlockingTarget, host: Host, events: RecordedEvents
    ) -> None:
        self.entry = entry
        self.target = target
        self.host = host
        self.events = events
        self.caller: Caller

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                if condition():
                    return
                await anyio.sleep(0.005)

    async def wait_for_requests(self, *paths: str) -> None:
        """Waits until exactly these requests have reached the target, and no more follow."""
        await self.wait_until(lambda: set(self.target.received) >= set(paths))
        await anyio.sleep(QUIESCENCE_S)
        assert sorted(self.target.received) == sorted(paths), self.target.received

    async def wait_for_answers(self, *answers: str) -> None:
        """Waits for exactly these responses in this order."""
        await self.wait_until(lambda: len(self.caller.answers) >= len(answers))
        await anyio.sleep(QUIESCENCE_S)
        assert self.caller.answers == list(answers), self.caller.received

    async def wait_until_closed(self) -> None:
        await self.wait_until(lambda: self.caller.is_closed)


SceneBody = Callable[[PipelineScene], Awaitable[None]]


def run_scene(
    target: BlockingTarget, body: SceneBody, *, slots: int = 8, routes: Router = ROUTES
) -> None:
    """Runs the body of a test over real sockets."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            host = Host("near", target)
            await host.open(tasks, slots=slots)
            harness = CallHarness(host, [], tasks)
            events = RecordedEvents()
            entry = EntryServer(
                dispatcher=harness.dispatcher,
                claimer=None,
                levels=ServiceLevels(host.timers),
                targets=host.targets,
                timers=host.timers,
                traffic=Traffic(),
                bodies=host.bodies,
                not_serving=lambda: "",
                dialect=DIALECT,
                events=events,
            )
            entry.use(routes.configuration)
            await entry.open(IP, 0, tasks)
            scene = PipelineScene(entry, target, host, events)
            async with await anyio.connect_tcp(IP, entry.port) as stream:
                scene.caller = Caller(stream)
                tasks.start_soon(scene.caller.read)
                await body(scene)
            tasks.cancel_scope.cancel()

    anyio.run(run)


class HeadTimeTest(unittest.TestCase):
    # Guards against connections that are held by heads which do not end.
    def test_a_head_that_does_not_end_is_answered_408(self) -> None:
        async def body(scene: PipelineScene) -> None:
            tasks = scene.entry._context.tasks
            assert tasks is not None
            tasks.start_soon(scene.entry.run)
            await scene.caller.send(get("/safe/1"))
            await scene.wait_for_answers("200 /safe/1")
            await scene.caller.send(get("/safe/2")[:-2])
            await scene.wait_until_closed()
            self.assertEqual(scene.caller.answers, ["200 /safe/1", "408"])
            self.assertEqual(scene.target.received, ["/safe/1"])

        routes = router(
            EntryLimits(name="default", head_s=0.2),
            Service(name="a"),
            Route(name="safe", service="a", path="/safe", idempotent=True),
        )
        run_scene(BlockingTarget(), body, routes=routes)


class ResponseOrderTest(unittest.TestCase):
    def test_later_requests_run_concurrently_with_the_first(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"))
            await scene.wait_for_requests("/safe/1")
            await scene.caller.send(get("/safe/2"), get("/safe/3"))
            await scene.wait_for_requests("/safe/1", "/safe/2", "/safe/3")
            self.assertEqual(scene.entry.running, 3)
            self.assertEqual(scene.caller.answers, [])  # ready responses wait for the first
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "200 /safe/2", "200 /safe/3")
            self.assertEqual(scene.entry.running, 0)

        run_scene(BlockingTarget("/safe/1"), body)

    def test_connection_is_usable_after_a_pipeline(self) -> None:
        async def body(scene: PipelineScene) -> None:
            expected: list[str] = []
            for batch in range(3):
                paths = [f"/safe/{batch}/{number}" for number in range(3)]
                await scene.caller.send(*(get(path) for path in paths))
                expected += [f"200 {path}" for path in paths]
                await scene.wait_for_answers(*expected)
            await scene.caller.send(post("/once/1"))
            await scene.wait_for_answers(*expected, "200 /once/1")

        run_scene(BlockingTarget(), body)

    def test_concurrent_requests_are_bounded_and_none_is_dropped(self) -> None:
        paths = [f"/safe/{number}" for number in range(3 * MAX_PIPELINED_REQUESTS)]

        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(*(get(path) for path in paths))
            await scene.wait_for_requests(*paths[:MAX_PIPELINED_REQUESTS])
            for done, path in enumerate(paths):
                scene.target.release(path)
                await scene.wait_until(lambda done=done: len(scene.caller.answers) > done)  # type: ignore[misc]
                most = min(len(paths), done + 1 + MAX_PIPELINED_REQUESTS)
                await scene.wait_until(lambda most=most: len(scene.target.received) >= most)  # type: ignore[misc]
                self.assertEqual(len(scene.target.received), most)
            await scene.wait_for_answers(*(f"200 {path}" for path in paths))

        run_scene(BlockingTarget(*paths), body, slots=3 * MAX_PIPELINED_REQUESTS)

    def test_slow_request_delays_only_its_own_connection(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            async with await anyio.connect_tcp(IP, scene.entry.port) as stream:
                await stream.send(get("/safe/other"))
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    self.assertIn(b"/safe/other", await stream.receive())
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "200 /safe/2")

        run_scene(BlockingTarget("/safe/1"), body)

    def test_large_response_is_delayed_and_complete(self) -> None:
        target = BlockingTarget("/safe/1")
        target.bodies["/safe/2"] = b"x" * 1_000_000

        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), get("/safe/3"))
            await scene.wait_for_requests("/safe/1", "/safe/2", "/safe/3")
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "200 " + "x" * 1_000_000, "200 /safe/3")

        run_scene(target, body)

    def test_connection_that_never_pipelines_starts_no_task(self) -> None:
        async def body(scene: PipelineScene) -> None:
            tasks = scene.entry._context.tasks
            assert tasks is not None
            with patch.object(tasks, "start_soon", wraps=tasks.start_soon) as started:
                for number in range(5):
                    await scene.caller.send(get(f"/safe/{number}"))
                    await scene.wait_until(lambda n=number: len(scene.caller.answers) > n)  # type: ignore[misc]
            connection_tasks = [call for call in started.mock_calls if "CallerConn" in repr(call)]
            self.assertEqual(connection_tasks, [])

        run_scene(BlockingTarget(), body)

    def test_delay_behind_earlier_responses_is_reported(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.wait_until(lambda: len(scene.events.ended) == 2)
            first, second = scene.events.ended
            self.assertEqual((first.behind, second.behind), (0, 1))
            self.assertEqual(first.held_ms, 0.0)
            self.assertGreaterEqual(second.held_ms, QUIESCENCE_S * 500)
            self.assertGreaterEqual(second.ms, second.held_ms)

        run_scene(BlockingTarget("/safe/1"), body)


class UnsafeRequestTest(unittest.TestCase):
    def test_unsafe_request_waits_and_blocks_later_requests(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), post("/once/2"), get("/safe/3"))
            await scene.wait_for_requests("/safe/1")
            scene.target.release("/safe/1")
            await scene.wait_for_requests("/safe/1", "/once/2")
            scene.target.release("/once/2")
            await scene.wait_for_answers("200 /safe/1", "200 /once/2", "200 /safe/3")

        run_scene(BlockingTarget("/safe/1", "/once/2"), body)

    def test_request_with_a_body_waits_on_a_safe_route(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), post("/safe/2"), get("/safe/3"))
            await scene.wait_for_requests("/safe/1")
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "200 /safe/2", "200 /safe/3")

        run_scene(BlockingTarget("/safe/1"), body)

    def test_unsafe_request_uses_the_routes_in_force_when_it_starts(self) -> None:
        """It may wait for seconds, and must not be dispatched by the routes of its arrival."""

        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/once/2"))
            await scene.wait_for_requests("/safe/1")
            fewer_routes = router(
                Service(name="a"), Route(name="safe", service="a", path="/safe", idempotent=True)
            )
            scene.entry.use(fewer_routes.configuration)
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "404")
            self.assertEqual(scene.target.received, ["/safe/1"])

        run_scene(BlockingTarget("/safe/1"), body)


class ConnectionCloseTest(unittest.TestCase):
    """Requests after a response that closes count as unread, so that unsafe ones must not run."""

    def test_nothing_is_read_after_a_request_that_closes(self) -> None:
        async def body(scene: PipelineScene) -> None:
            last = get("/safe/2", "connection: close")
            await scene.caller.send(get("/safe/1"), last, get("/safe/3"), post("/once/4"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.wait_until_closed()
            await scene.wait_for_answers("200 /safe/1", "200 /safe/2")
            self.assertEqual(scene.caller.close_flags, [False, True])
            self.assertEqual(scene.target.received, ["/safe/1", "/safe/2"])

        run_scene(BlockingTarget("/safe/1"), body)

    def test_response_that_ends_by_close(self) -> None:
        target = BlockingTarget("/safe/1")
        target.raw_responses["/safe/1"] = (
            b"HTTP/1.1 200 S\r\nx-request: /safe/1\r\nx-seal: 1\r\n\r\nhalf"
        )

        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), post("/once/3"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.wait_until_closed()
            self.assertEqual(scene.caller.answers, ["200 half"])
            self.assertEqual(scene.target.received, ["/safe/1", "/safe/2"])
            await scene.wait_until(lambda: scene.entry.running == 0)

        run_scene(target, body)

    def test_unsafe_request_after_a_response_that_ends_by_close(self) -> None:
        target = BlockingTarget("/safe/1")
        target.raw_responses["/safe/1"] = (
            b"HTTP/1.1 200 S\r\nx-request: /safe/1\r\nx-seal: 1\r\n\r\nhalf"
        )

        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), post("/once/2"))
            await scene.wait_for_requests("/safe/1")
            scene.target.release("/safe/1")
            await scene.wait_until_closed()
            await anyio.sleep(QUIESCENCE_S)
            self.assertEqual(scene.caller.answers, ["200 half"])
            self.assertEqual(scene.target.received, ["/safe/1"])

        run_scene(target, body)

    def test_truncated_response(self) -> None:
        target = BlockingTarget("/safe/1")
        head = (
            b"HTTP/1.1 200 S\r\nx-request: /safe/1\r\nx-seal: 1\r\ncontent-length: 900000\r\n\r\n"
        )
        target.raw_responses["/safe/1"] = head + b"x" * 200_000

        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), post("/once/3"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.wait_until_closed()
            await anyio.sleep(QUIESCENCE_S)
            self.assertNotIn(b"/safe/2", scene.caller.received)
            self.assertEqual(scene.target.received, ["/safe/1", "/safe/2"])
            await scene.wait_until(lambda: scene.entry.running == 0)

        run_scene(target, body)

    def test_malformed_request_is_answered_in_order(self) -> None:
        for malformed in (b"NONSENSE\r\n\r\n", get("/safe/3", "x-deadline-ms: soon")):
            with self.subTest(malformed):

                async def body(scene: PipelineScene, malformed: bytes = malformed) -> None:
                    sent = [get("/safe/1"), get("/safe/2"), malformed, post("/once/4")]
                    await scene.caller.send(*sent)
                    await scene.wait_for_requests("/safe/1", "/safe/2")
                    self.assertEqual(scene.caller.answers, [])
                    scene.target.release("/safe/1")
                    await scene.wait_for_answers("200 /safe/1", "200 /safe/2", "400")
                    self.assertIn(b"x-outcome: not_run", scene.caller.received)
                    self.assertEqual(scene.caller.close_flags, [False, False, True])
                    self.assertEqual(scene.target.received, ["/safe/1", "/safe/2"])
                    await scene.wait_until_closed()

                run_scene(BlockingTarget("/safe/1"), body)

    def test_drain_answers_running_requests_and_starts_no_more(self) -> None:
        for method in ("announced", "stopped"):
            with self.subTest(method):

                async def body(scene: PipelineScene, method: str = method) -> None:
                    await scene.caller.send(get("/safe/1"), get("/safe/2"))
                    await scene.wait_for_requests("/safe/1", "/safe/2")
                    stop = scene.entry.announce_stop if method == "announced" else scene.entry.stop
                    stop()
                    await scene.caller.send(get("/safe/3"), post("/once/4"))
                    await anyio.sleep(QUIESCENCE_S)
                    scene.target.release("/safe/1")
                    await scene.wait_until_closed()
                    self.assertEqual(scene.caller.answers, ["200 /safe/1", "200 /safe/2"])
                    self.assertEqual(scene.caller.close_flags, [False, True])
                    self.assertEqual(scene.target.received, ["/safe/1", "/safe/2"])

                run_scene(BlockingTarget("/safe/1"), body)

    def test_drain_while_a_request_head_is_read(self) -> None:
        async def body(scene: PipelineScene) -> None:
            third = get("/safe/3")
            await scene.caller.send(get("/safe/1"), get("/safe/2"), third[:9])
            await scene.wait_for_requests("/safe/1", "/safe/2")
            scene.entry.stop()
            await scene.caller.send(third[9:], post("/once/4"))
            await anyio.sleep(QUIESCENCE_S)
            scene.target.release("/safe/1")
            await scene.wait_until_closed()
            self.assertEqual(scene.caller.answers, ["200 /safe/1", "200 /safe/2"])
            self.assertEqual(scene.caller.close_flags, [False, True])
            self.assertEqual(scene.target.received, ["/safe/1", "/safe/2"])

        run_scene(BlockingTarget("/safe/1"), body)

    def test_drain_while_an_unsafe_request_waits(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), post("/once/2"))
            await scene.wait_for_requests("/safe/1")
            scene.entry.stop()
            scene.target.release("/safe/1")
            await scene.wait_until_closed()
            self.assertEqual(scene.caller.answers, ["200 /safe/1"])
            self.assertEqual(scene.caller.close_flags, [True])
            self.assertEqual(scene.target.received, ["/safe/1"])
            refused = scene.events.ended[-1]
            self.assertEqual((refused.outcome, refused.status), ("not_run", 0))

        run_scene(BlockingTarget("/safe/1"), body)

    def test_caller_that_disconnects_cancels_all_its_calls(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), post("/once/3"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            await scene.caller.disconnect()
            await scene.wait_until(lambda: scene.entry.running == 0)
            (target,) = scene.host.targets.all
            await scene.wait_until(lambda: target.gate.running == 0)
            await anyio.sleep(QUIESCENCE_S)
            self.assertEqual(sorted(scene.target.received), ["/safe/1", "/safe/2"])
            self.assertEqual({e.outcome for e in scene.events.ended}, {"caller_gone"})

        run_scene(BlockingTarget("/safe/1", "/safe/2"), body)


class LocalResponseTest(unittest.TestCase):
    """Responses that the entry itself creates keep the order of the requests."""

    def test_unknown_route(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/none"), get("/safe/3"))
            await scene.wait_for_requests("/safe/1")
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "404", "200 /safe/3")

        run_scene(BlockingTarget("/safe/1"), body)

    def test_revoked_key(self) -> None:
        def identity(head: RequestHead, _plan: Any, _router: Any, **_parts: Any) -> Identity:
            if head.target == b"/safe/2":
                raise RejectedError(401, NotRun("no workspace has this key", 60.0))
            return ANYONE

        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), get("/safe/3"))
            await scene.wait_for_requests("/safe/1")
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "401", "200 /safe/3")
            self.assertNotIn("/safe/2", scene.target.received)

        with patch("acaciayard_calls._request_runs.identity_of", identity):
            run_scene(BlockingTarget("/safe/1"), body)

    def test_ready_response_follows_one_that_timed_out(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1", "x-deadline-ms: 300"), get("/safe/2"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            await scene.wait_for_answers("504", "200 /safe/2")

        run_scene(BlockingTarget("/safe/1"), body)

    def test_request_that_timed_out_is_answered_in_order(self) -> None:
        async def body(scene: PipelineScene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2", "x-deadline-ms: 100"))
            await scene.wait_for_requests("/safe/1", "/safe/2")
            await anyio.sleep(QUIESCENCE_S)
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.wait_for_answers("200 /safe/1", "504")

        run_scene(BlockingTarget("/safe/1", "/safe/2"), body)

    def test_unexpected_exception_closes_the_connection_and_is_reported(self) -> None:
        def identity(head: RequestHead, _plan: Any, _router: Any, **_parts: Any) -> Identity:
            if head.target == b"/safe/2":
                raise KeyError("a fault")
            return ANYONE

        async def body(scene: PipelineScene) -> None:
            reported: list[Exception] = []
            scene.events.connection_failed = reported.append  # type: ignore[method-assign]
            await scene.caller.send(get("/safe/1"), get("/safe/2"))
            await scene.wait_until_closed()
            await scene.wait_until(lambda: len(reported) == 1)
            self.assertIsInstance(reported[0], KeyError)

        with patch("acaciayard_calls._request_runs.identity_of", identity):
            run_scene(BlockingTarget("/safe/1"), body)


class TurnsTest(unittest.TestCase):
    def request(self, *, runs_concurrently: bool = True) -> CallerRequest:
        head = RequestHead(b"GET", b"/x", (), Framing.NONE)
        return CallerRequest(head, 0.0, runs_concurrently=runs_concurrently)

    def test_reading_stops_at_the_limit_of_buffered_bytes(self) -> None:
        pipeline = RequestPipeline()
        for _ in range(2):
            pipeline.begin(self.request())
        self.assertTrue(pipeline.may_read_ahead)
        pipeline.hold(pipeline.first, MAX_BUFFERED_BYTES)
        self.assertFalse(pipeline.may_read_ahead)

    def test_large_heads_count_as_buffered_bytes(self) -> None:
        pipeline = RequestPipeline()
        large = RequestHead(b"GET", b"/x" * MAX_BUFFERED_BYTES, (), Framing.NONE)
        pipeline.begin(self.request())
        pipeline.begin(CallerRequest(large, 0.0, runs_concurrently=True))
        self.assertFalse(pipeline.may_read_ahead)

    def test_nothing_is_read_after_a_request_that_runs_alone(self) -> None:
        pipeline = RequestPipeline()
        pipeline.begin(self.request())
        pipeline.begin(self.request(runs_concurrently=False))
        self.assertFalse(pipeline.may_read_ahead)
        self.assertFalse(pipeline.has_concurrent_request)

    def test_nothing_is_read_after_a_request_that_closes(self) -> None:
        pipeline = RequestPipeline()
        head = RequestHead(b"GET", b"/x", (), Framing.NONE, keep_alive=False)
        pipeline.begin(CallerRequest(head, 0.0, runs_concurrently=True))
        self.assertFalse(pipeline.may_read_ahead)
