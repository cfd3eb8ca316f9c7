"""Callers that send further requests before the first is answered, over real sockets."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

import anyio
import anyio.abc
from call_rig import DIALECT, IP, Host, Rig, ScriptedTarget, answer, router

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
from acaciayard_resources import Route, Service
from acaciayard_routing import Router
from acaciayard_wire import ByteStream, Traffic

#: Seconds within which what a test waits for must have come.
PATIENCE = 5.0
#: Seconds after which what has not come will not come.
QUIET = 0.15

ROUTES = router(
    Service(name="a"),
    Route(name="safe", service="a", path="/safe", idempotent=True),
    Route(name="once", service="a", path="/once"),
)


def get(path: str, *more: str) -> bytes:
    """A request without a body, named by its path."""
    lines = [f"GET {path} HTTP/1.1", "host: h", f"x-request: {path}", *more]
    return "\r\n".join([*lines, "", ""]).encode()


def post(path: str, body: str = "b") -> bytes:
    """A request with a body, named by its path."""
    lines = [f"POST {path} HTTP/1.1", "host: h", f"x-request: {path}"]
    return "\r\n".join([*lines, f"content-length: {len(body)}", "", body]).encode()


class HeldTarget(ScriptedTarget):
    """A target that answers some paths only when it is told to."""

    def __init__(self, *held: str) -> None:
        super().__init__(self._answer)
        self._held = {path: anyio.Event() for path in held}
        self.bodies: dict[str, bytes] = {}
        self.raw: dict[str, bytes] = {}

    async def _answer(self, head: RequestHead, stream: ByteStream) -> None:
        path = head.target.decode()
        if path in self._held:
            await self._held[path].wait()
        if path in self.raw:
            await stream.send(self.raw[path])
            stream.close()
            return
        await stream.send(answer(head, body=self.bodies.get(path, path.encode())))

    def release(self, path: str) -> None:
        """Answer the request for a path."""
        self._held[path].set()

    @property
    def got(self) -> list[str]:
        """Paths of the requests that came, in order."""
        return [head.target.decode() for head in self.heads]


class Noted(CallEvents):
    """Remembers how calls ended."""

    def __init__(self) -> None:
        self.ended: list[CallEnded] = []

    def call_ended(self, ended: CallEnded) -> None:
        self.ended.append(ended)


class Caller:
    """One caller's connection."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self._stream = stream
        self.got = b""
        self.is_closed = False

    async def send(self, *data: bytes) -> None:
        await self._stream.send(b"".join(data))

    async def read(self) -> None:
        """Take what comes until the entry closes."""
        try:
            while True:
                self.got += await self._stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.is_closed = True

    async def leave(self) -> None:
        await self._stream.aclose()

    @property
    def answers(self) -> list[str]:
        """Status and body of each answer, bodies of refusals left out."""
        found = []
        for part in self.got.split(b"HTTP/1.1 ")[1:]:
            head, _, body = part.partition(b"\r\n\r\n")
            status = head[:3].decode()
            found.append(f"{status} {body.decode()}" if status == "200" else status)
        return found

    @property
    def closing(self) -> list[bool]:
        """For each answer, whether it says that the connection closes."""
        heads = [part.partition(b"\r\n\r\n")[0] for part in self.got.split(b"HTTP/1.1 ")[1:]]
        return [b"connection: close" in head for head in heads]


class Scene:
    """An entry with a target beside it, and a caller."""

    def __init__(self, entry: EntryServer, target: HeldTarget, host: Host, events: Noted) -> None:
        self.entry = entry
        self.target = target
        self.host = host
        self.events = events
        self.caller: Caller

    async def until(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(PATIENCE):
            while True:
                if condition():
                    return
                await anyio.sleep(0.005)

    async def until_got(self, *paths: str) -> None:
        """Wait until just these requests have come to the target, and no more follow."""
        await self.until(lambda: set(self.target.got) >= set(paths))
        await anyio.sleep(QUIET)
        assert sorted(self.target.got) == sorted(paths), self.target.got

    async def until_answered(self, *answers: str) -> None:
        """Wait for just these answers in this order."""
        await self.until(lambda: len(self.caller.answers) >= len(answers))
        await anyio.sleep(QUIET)
        assert self.caller.answers == list(answers), self.caller.got

    async def until_closed(self) -> None:
        await self.until(lambda: self.caller.is_closed)


Play = Callable[[Scene], Awaitable[None]]


def play(target: HeldTarget, body: Play, *, slots: int = 8, routes: Router = ROUTES) -> None:
    """Run a scene over real sockets."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            host = Host("near", target)
            await host.open(tasks, slots=slots)
            rig = Rig(host, [], tasks)
            events = Noted()
            entry = EntryServer(
                dispatcher=rig.dispatcher,
                claimer=None,
                levels=ServiceLevels(host.timers),
                targets=host.targets,
                timers=host.timers,
                traffic=Traffic(),
                not_serving=lambda: "",
                dialect=DIALECT,
                events=events,
            )
            entry.use(routes.configuration)
            await entry.open(IP, 0, tasks)
            scene = Scene(entry, target, host, events)
            async with await anyio.connect_tcp(IP, entry.port) as stream:
                scene.caller = Caller(stream)
                tasks.start_soon(scene.caller.read)
                await body(scene)
            tasks.cancel_scope.cancel()

    anyio.run(run)


class OrderTest(unittest.TestCase):
    def test_requests_behind_run_while_the_first_does(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"))
            await scene.until_got("/safe/1")
            await scene.caller.send(get("/safe/2"), get("/safe/3"))
            await scene.until_got("/safe/1", "/safe/2", "/safe/3")
            self.assertEqual(scene.entry.running, 3)
            self.assertEqual(scene.caller.answers, [])  # ready ones wait for the first
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "200 /safe/2", "200 /safe/3")
            self.assertEqual(scene.entry.running, 0)

        play(HeldTarget("/safe/1"), body)

    def test_connection_goes_on_after_a_pipeline(self) -> None:
        async def body(scene: Scene) -> None:
            expected: list[str] = []
            for turn in range(3):
                paths = [f"/safe/{turn}/{number}" for number in range(3)]
                await scene.caller.send(*(get(path) for path in paths))
                expected += [f"200 {path}" for path in paths]
                await scene.until_answered(*expected)
            await scene.caller.send(post("/once/1"))
            await scene.until_answered(*expected, "200 /once/1")

        play(HeldTarget(), body)

    def test_what_is_under_way_is_bounded_and_nothing_is_dropped(self) -> None:
        paths = [f"/safe/{number}" for number in range(3 * MAX_PIPELINED_REQUESTS)]

        async def body(scene: Scene) -> None:
            await scene.caller.send(*(get(path) for path in paths))
            await scene.until_got(*paths[:MAX_PIPELINED_REQUESTS])
            for done, path in enumerate(paths):
                scene.target.release(path)
                await scene.until(lambda done=done: len(scene.caller.answers) > done)  # type: ignore[misc]
                room = min(len(paths), done + 1 + MAX_PIPELINED_REQUESTS)
                await scene.until(lambda room=room: len(scene.target.got) >= room)  # type: ignore[misc]
                self.assertEqual(len(scene.target.got), room)
            await scene.until_answered(*(f"200 {path}" for path in paths))

        play(HeldTarget(*paths), body, slots=3 * MAX_PIPELINED_REQUESTS)

    def test_slow_request_holds_its_own_connection_alone(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"))
            await scene.until_got("/safe/1", "/safe/2")
            async with await anyio.connect_tcp(IP, scene.entry.port) as stream:
                await stream.send(get("/safe/other"))
                with anyio.fail_after(PATIENCE):
                    self.assertIn(b"/safe/other", await stream.receive())
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "200 /safe/2")

        play(HeldTarget("/safe/1"), body)

    def test_large_answer_waits_and_comes_whole(self) -> None:
        target = HeldTarget("/safe/1")
        target.bodies["/safe/2"] = b"x" * 1_000_000

        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), get("/safe/3"))
            await scene.until_got("/safe/1", "/safe/2", "/safe/3")
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "200 " + "x" * 1_000_000, "200 /safe/3")

        play(target, body)

    def test_connection_that_never_pipelines_starts_no_task(self) -> None:
        async def body(scene: Scene) -> None:
            tasks = scene.entry._context.tasks
            assert tasks is not None
            with patch.object(tasks, "start_soon", wraps=tasks.start_soon) as started:
                for number in range(5):
                    await scene.caller.send(get(f"/safe/{number}"))
                    await scene.until(lambda n=number: len(scene.caller.answers) > n)  # type: ignore[misc]
            entry_starts = [call for call in started.mock_calls if "CallerConn" in repr(call)]
            self.assertEqual(entry_starts, [])

        play(HeldTarget(), body)

    def test_wait_for_a_turn_is_told(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"))
            await scene.until_got("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.until(lambda: len(scene.events.ended) == 2)
            first, second = scene.events.ended
            self.assertEqual((first.behind, second.behind), (0, 1))
            self.assertEqual(first.held_ms, 0.0)
            self.assertGreaterEqual(second.held_ms, QUIET * 500)
            self.assertGreaterEqual(second.ms, second.held_ms)

        play(HeldTarget("/safe/1"), body)


class UnsafeTest(unittest.TestCase):
    def test_unsafe_request_waits_and_nothing_passes_it(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), post("/once/2"), get("/safe/3"))
            await scene.until_got("/safe/1")
            scene.target.release("/safe/1")
            await scene.until_got("/safe/1", "/once/2")
            scene.target.release("/once/2")
            await scene.until_answered("200 /safe/1", "200 /once/2", "200 /safe/3")

        play(HeldTarget("/safe/1", "/once/2"), body)

    def test_body_waits_though_its_route_is_safe(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), post("/safe/2"), get("/safe/3"))
            await scene.until_got("/safe/1")
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "200 /safe/2", "200 /safe/3")

        play(HeldTarget("/safe/1"), body)

    def test_unsafe_request_uses_the_routes_in_force_when_its_turn_comes(self) -> None:
        """It may have waited for seconds, and what it is sent by then must not be an older one."""

        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/once/2"))
            await scene.until_got("/safe/1")
            without = router(
                Service(name="a"), Route(name="safe", service="a", path="/safe", idempotent=True)
            )
            scene.entry.use(without.configuration)
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "404")
            self.assertEqual(scene.target.got, ["/safe/1"])

        play(HeldTarget("/safe/1"), body)


class ClosingTest(unittest.TestCase):
    """What lies behind an answer that closes counts as not read, so it must not have run."""

    def test_nothing_is_read_behind_a_request_that_closes(self) -> None:
        async def body(scene: Scene) -> None:
            last = get("/safe/2", "connection: close")
            await scene.caller.send(get("/safe/1"), last, get("/safe/3"), post("/once/4"))
            await scene.until_got("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.until_closed()
            await scene.until_answered("200 /safe/1", "200 /safe/2")
            self.assertEqual(scene.caller.closing, [False, True])
            self.assertEqual(scene.target.got, ["/safe/1", "/safe/2"])

        play(HeldTarget("/safe/1"), body)

    def test_answer_that_ends_by_closing(self) -> None:
        target = HeldTarget("/safe/1")
        target.raw["/safe/1"] = b"HTTP/1.1 200 S\r\nx-request: /safe/1\r\nx-seal: 1\r\n\r\nhalf"

        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), post("/once/3"))
            await scene.until_got("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.until_closed()
            self.assertEqual(scene.caller.answers, ["200 half"])
            self.assertEqual(scene.target.got, ["/safe/1", "/safe/2"])
            await scene.until(lambda: scene.entry.running == 0)

        play(target, body)

    def test_unsafe_request_behind_an_answer_that_ends_by_closing(self) -> None:
        target = HeldTarget("/safe/1")
        target.raw["/safe/1"] = b"HTTP/1.1 200 S\r\nx-request: /safe/1\r\nx-seal: 1\r\n\r\nhalf"

        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), post("/once/2"))
            await scene.until_got("/safe/1")
            scene.target.release("/safe/1")
            await scene.until_closed()
            await anyio.sleep(QUIET)
            self.assertEqual(scene.caller.answers, ["200 half"])
            self.assertEqual(scene.target.got, ["/safe/1"])

        play(target, body)

    def test_answer_that_is_cut(self) -> None:
        target = HeldTarget("/safe/1")
        cut = b"HTTP/1.1 200 S\r\nx-request: /safe/1\r\nx-seal: 1\r\ncontent-length: 900000\r\n\r\n"
        target.raw["/safe/1"] = cut + b"x" * 200_000

        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), post("/once/3"))
            await scene.until_got("/safe/1", "/safe/2")
            scene.target.release("/safe/1")
            await scene.until_closed()
            await anyio.sleep(QUIET)
            self.assertNotIn(b"/safe/2", scene.caller.got)
            self.assertEqual(scene.target.got, ["/safe/1", "/safe/2"])
            await scene.until(lambda: scene.entry.running == 0)

        play(target, body)

    def test_nonsense_is_told_in_its_turn(self) -> None:
        for nonsense in (b"NONSENSE\r\n\r\n", get("/safe/3", "x-deadline-ms: soon")):
            with self.subTest(nonsense):

                async def body(scene: Scene, nonsense: bytes = nonsense) -> None:
                    sent = [get("/safe/1"), get("/safe/2"), nonsense, post("/once/4")]
                    await scene.caller.send(*sent)
                    await scene.until_got("/safe/1", "/safe/2")
                    self.assertEqual(scene.caller.answers, [])
                    scene.target.release("/safe/1")
                    await scene.until_answered("200 /safe/1", "200 /safe/2", "400")
                    self.assertIn(b"x-outcome: not_run", scene.caller.got)
                    self.assertEqual(scene.caller.closing, [False, False, True])
                    self.assertEqual(scene.target.got, ["/safe/1", "/safe/2"])
                    await scene.until_closed()

                play(HeldTarget("/safe/1"), body)

    def test_drain_answers_what_runs_and_starts_nothing_more(self) -> None:
        for title in ("announced", "stopped"):
            with self.subTest(title):

                async def body(scene: Scene, title: str = title) -> None:
                    await scene.caller.send(get("/safe/1"), get("/safe/2"))
                    await scene.until_got("/safe/1", "/safe/2")
                    stop = scene.entry.announce_stop if title == "announced" else scene.entry.stop
                    stop()
                    await scene.caller.send(get("/safe/3"), post("/once/4"))
                    await anyio.sleep(QUIET)
                    scene.target.release("/safe/1")
                    await scene.until_closed()
                    self.assertEqual(scene.caller.answers, ["200 /safe/1", "200 /safe/2"])
                    self.assertEqual(scene.caller.closing, [False, True])
                    self.assertEqual(scene.target.got, ["/safe/1", "/safe/2"])

                play(HeldTarget("/safe/1"), body)

    def test_drain_while_a_head_is_read(self) -> None:
        async def body(scene: Scene) -> None:
            third = get("/safe/3")
            await scene.caller.send(get("/safe/1"), get("/safe/2"), third[:9])
            await scene.until_got("/safe/1", "/safe/2")
            scene.entry.stop()
            await scene.caller.send(third[9:], post("/once/4"))
            await anyio.sleep(QUIET)
            scene.target.release("/safe/1")
            await scene.until_closed()
            self.assertEqual(scene.caller.answers, ["200 /safe/1", "200 /safe/2"])
            self.assertEqual(scene.caller.closing, [False, True])
            self.assertEqual(scene.target.got, ["/safe/1", "/safe/2"])

        play(HeldTarget("/safe/1"), body)

    def test_drain_while_an_unsafe_request_waits(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), post("/once/2"))
            await scene.until_got("/safe/1")
            scene.entry.stop()
            scene.target.release("/safe/1")
            await scene.until_closed()
            self.assertEqual(scene.caller.answers, ["200 /safe/1"])
            self.assertEqual(scene.caller.closing, [True])
            self.assertEqual(scene.target.got, ["/safe/1"])
            waiting = scene.events.ended[-1]
            self.assertEqual((waiting.outcome, waiting.status), ("not_run", 0))

        play(HeldTarget("/safe/1"), body)

    def test_caller_that_leaves_gives_up_all_its_calls(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), post("/once/3"))
            await scene.until_got("/safe/1", "/safe/2")
            await scene.caller.leave()
            await scene.until(lambda: scene.entry.running == 0)
            (target,) = scene.host.targets.all
            await scene.until(lambda: target.gate.running == 0)
            await anyio.sleep(QUIET)
            self.assertEqual(sorted(scene.target.got), ["/safe/1", "/safe/2"])
            self.assertEqual({e.outcome for e in scene.events.ended}, {"caller_gone"})

        play(HeldTarget("/safe/1", "/safe/2"), body)


class InTheMiddleTest(unittest.TestCase):
    """Requests that are not answered by a target are answered in their turn."""

    def test_unknown_route(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/none"), get("/safe/3"))
            await scene.until_got("/safe/1")
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "404", "200 /safe/3")

        play(HeldTarget("/safe/1"), body)

    def test_key_that_is_revoked(self) -> None:
        def identity(head: RequestHead, _plan: Any, _router: Any, **_parts: Any) -> Identity:
            if head.target == b"/safe/2":
                raise RejectedError(401, NotRun("no workspace has this key", 60.0))
            return ANYONE

        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2"), get("/safe/3"))
            await scene.until_got("/safe/1")
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "401", "200 /safe/3")
            self.assertNotIn("/safe/2", scene.target.got)

        with patch("acaciayard_calls._request_runs.identity_of", identity):
            play(HeldTarget("/safe/1"), body)

    def test_ready_answer_comes_after_one_that_is_given_up(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1", "x-deadline-ms: 300"), get("/safe/2"))
            await scene.until_got("/safe/1", "/safe/2")
            await scene.until_answered("504", "200 /safe/2")

        play(HeldTarget("/safe/1"), body)

    def test_request_that_is_given_up_is_answered_in_its_turn(self) -> None:
        async def body(scene: Scene) -> None:
            await scene.caller.send(get("/safe/1"), get("/safe/2", "x-deadline-ms: 100"))
            await scene.until_got("/safe/1", "/safe/2")
            await anyio.sleep(QUIET)
            self.assertEqual(scene.caller.answers, [])
            scene.target.release("/safe/1")
            await scene.until_answered("200 /safe/1", "504")

        play(HeldTarget("/safe/1", "/safe/2"), body)

    def test_fault_of_the_program_ends_the_connection_and_is_told(self) -> None:
        def identity(head: RequestHead, _plan: Any, _router: Any, **_parts: Any) -> Identity:
            if head.target == b"/safe/2":
                raise KeyError("a fault")
            return ANYONE

        async def body(scene: Scene) -> None:
            told: list[Exception] = []
            scene.events.connection_failed = told.append  # type: ignore[method-assign]
            await scene.caller.send(get("/safe/1"), get("/safe/2"))
            await scene.until_closed()
            await scene.until(lambda: len(told) == 1)
            self.assertIsInstance(told[0], KeyError)

        with patch("acaciayard_calls._request_runs.identity_of", identity):
            play(HeldTarget("/safe/1"), body)


class TurnsTest(unittest.TestCase):
    def request(self, *, runs_concurrently: bool = True) -> CallerRequest:
        head = RequestHead(b"GET", b"/x", (), Framing.NONE)
        return CallerRequest(head, 0.0, runs_concurrently=runs_concurrently)

    def test_bytes_that_are_held_end_reading(self) -> None:
        pipeline = RequestPipeline()
        for _ in range(2):
            pipeline.begin(self.request())
        self.assertTrue(pipeline.may_read_ahead)
        pipeline.first.buffered_bytes = MAX_BUFFERED_BYTES
        self.assertFalse(pipeline.may_read_ahead)

    def test_large_heads_count(self) -> None:
        pipeline = RequestPipeline()
        large = RequestHead(b"GET", b"/x" * MAX_BUFFERED_BYTES, (), Framing.NONE)
        pipeline.begin(self.request())
        pipeline.begin(CallerRequest(large, 0.0, runs_concurrently=True))
        self.assertFalse(pipeline.may_read_ahead)

    def test_nothing_is_read_behind_what_lets_nothing_pass(self) -> None:
        pipeline = RequestPipeline()
        pipeline.begin(self.request())
        pipeline.begin(self.request(runs_concurrently=False))
        self.assertFalse(pipeline.may_read_ahead)
        self.assertFalse(pipeline.has_concurrent_request)

    def test_nothing_is_read_behind_a_request_that_closes(self) -> None:
        pipeline = RequestPipeline()
        head = RequestHead(b"GET", b"/x", (), Framing.NONE, keep_alive=False)
        pipeline.begin(CallerRequest(head, 0.0, runs_concurrently=True))
        self.assertFalse(pipeline.may_read_ahead)
