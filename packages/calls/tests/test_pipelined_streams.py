"""Pipelined streams get the same responses as from a server that handles one request at a time."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from typing import Any

import anyio.lowlevel
from attrs import frozen
from call_harness import router
from hypothesis import example, given, settings
from hypothesis import strategies as st

from acaciayard_admission import CallerLimiter
from acaciayard_callmodel import LARGEST_WHOLE_BODY, Answer, Call, CallWatch
from acaciayard_calls import Answered, ServiceLevels
from acaciayard_calls._caller import CallerConnection
from acaciayard_calls._first_asked import FirstRequestEstimator
from acaciayard_calls._intake import EntryContext
from acaciayard_calls._turns import MAX_PIPELINED_REQUESTS
from acaciayard_http1 import Limits
from acaciayard_resources import Route, Service
from acaciayard_routing import Plan, Router
from acaciayard_timers import EventLoopTimers
from acaciayard_wire import BodyBudget, ByteStream, Purpose, Traffic

ROUTES = router(
    Service(name="a"),
    Route(name="safe", service="a", path="/safe", idempotent=True),
    Route(name="last", service="a", path="/last", idempotent=True),
    Route(name="once", service="a", path="/once"),
)
#: Body that looks like a request, for the detection of request smuggling.
SMUGGLED = b"GET /once/smuggled HTTP/1.1\r\nhost: h\r\n\r\n"
#: Iterations of the event loop without progress after which the connection counts as idle.
IDLE_ITERATIONS = 60


@frozen
class RequestStream:
    """The bytes that a caller sends, split into segments."""

    data: bytes
    segments: tuple[bytes, ...]
    #: Iterations of the event loop that each request takes, assigned in turn.
    delays: tuple[int, ...]


def request(number: int, kind: str, path: str, *, closes: bool) -> bytes:
    """Returns one request of the stream."""
    if kind == "nonsense":
        return b"NONSENSE\r\n\r\n"
    target = b"/%s/%d" % (path.encode(), number)
    fields = b"connection: close\r\n" if closes else b""
    if kind != "no_host":
        fields += b"host: h\r\n"
    match kind:
        case "sized":
            length = b"content-length: %d\r\n" % len(SMUGGLED)
            return b"POST %s HTTP/1.1\r\n%s%s\r\n%s" % (target, fields, length, SMUGGLED)
        case "chunked":
            coded = b"transfer-encoding: chunked\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(SMUGGLED), SMUGGLED)
            return b"POST %s HTTP/1.1\r\n%s%s\r\n%s" % (target, fields, coded, body)
    return b"GET %s HTTP/1.1\r\n%s\r\n" % (target, fields)


@st.composite
def streams(draw: st.DrawFn) -> RequestStream:
    """Draws a stream of requests, split at any byte; its last request may be truncated."""
    kinds = st.sampled_from(["plain"] * 8 + ["sized", "chunked", "no_host", "nonsense"])
    paths = st.sampled_from(["safe"] * 8 + ["once", "once", "none", "none", "last"])
    closes = st.sampled_from([False] * 9 + [True])
    requests = draw(st.lists(st.tuples(kinds, paths, closes), min_size=1, max_size=9))
    parts = [request(n, kind, path, closes=c) for n, (kind, path, c) in enumerate(requests)]
    if requests[-1][0] != "nonsense":
        parts[-1] = parts[-1][: draw(st.integers(1, len(parts[-1])))]
    data = b"".join(parts)
    cuts = sorted(draw(st.sets(st.integers(1, max(1, len(data) - 1)), max_size=6)))
    boundaries = [0, *cuts, len(data)]
    segments = tuple(data[a:b] for a, b in itertools.pairwise(boundaries) if a < b)
    delays = draw(st.lists(st.integers(0, 12), min_size=1, max_size=9))
    return RequestStream(data, segments, tuple(delays))


def expected_answers_of(data: bytes) -> list[bytes]:
    """Returns the answers of a sequential server: echoed requests, and statuses of errors."""
    answers: list[bytes] = []
    while data:
        head, end, rest = data.partition(b"\r\n\r\n")
        if head == b"NONSENSE":
            return [*answers, b"400"]
        if not end:
            return answers
        first, *lines = head.split(b"\r\n")
        _, target, _ = first.split(b" ")
        fields = dict(line.split(b": ") for line in lines)
        if b"host" not in fields:
            return [*answers, b"400"]
        length = int(fields.get(b"content-length", 0))
        if b"transfer-encoding" in fields:
            size, has_line_end, rest = rest.partition(b"\r\n")
            length = int(size, 16) if has_line_end else 0
            is_whole = has_line_end and rest[length:].startswith(b"\r\n0\r\n\r\n")
            body, data = rest[:length], rest[length + 7 :]
        else:
            is_whole = len(rest) >= length
            body, data = rest[:length], rest[length:]
        has_body = b"content-length" in fields or b"transfer-encoding" in fields
        if target.startswith(b"/none"):
            answers.append(b"404")
            if has_body:
                return answers
        elif not is_whole:
            return answers
        else:
            answers.append(target + b"|" + body)
        if b"connection" in fields or target.startswith(b"/last"):
            return answers
    return answers


class RecordingTransport(asyncio.Transport):
    """The transport of the entry's connection, which records the written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.data = b""
        self._is_closing = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return ("127.0.0.1", 1) if name == "peername" else default

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def write(self, data: Any) -> None:
        self.data += data

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        self._is_closing = True

    def abort(self) -> None:
        self._is_closing = True

    @property
    def answers(self) -> list[bytes]:
        """Bodies of successful responses, and statuses of errors, in order."""
        parsed = []
        rest = self.data
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            fields = dict(line.split(b": ") for line in head.split(b"\r\n")[1:])
            length = int(fields.get(b"content-length", len(rest)))
            status = head.split(b" ")[1]
            parsed.append(rest[:length] if status == b"200" else status)
            rest = rest[length:]
        return parsed


class EchoAttempt:
    """An attempt that holds no resources."""

    def close(self) -> None:
        pass


class EchoDispatcher:
    """Echoes the path and body of each call, and checks which calls run concurrently."""

    def __init__(self, transport: RecordingTransport, delays: tuple[int, ...]) -> None:
        self._transport = transport
        self._delays = delays
        self._running: list[Call] = []
        self.executed: list[bytes] = []

    async def run(
        self, call: Call, _plan: Plan, _router: Router, _watch: CallWatch, *, may_retry: bool
    ) -> Answered:
        assert may_retry
        assert len(self._running) < MAX_PIPELINED_REQUESTS, "too many concurrent calls"
        assert all(each.is_idempotent for each in self._running), "overtook an unsafe request"
        number = int(call.target.rpartition(b"/")[2])
        if not call.is_idempotent or call.body:
            assert len(self._transport.answers) == number, "started before its turn"
        self.executed.append(call.target)
        self._running.append(call)
        for _ in range(self._delays[number % len(self._delays)]):
            await anyio.lowlevel.checkpoint()
        self._running.remove(call)
        body = call.target + b"|" + call.body
        answer = Answer(
            status=200,
            fields=b"",
            body=body,
            is_whole=True,
            length=len(body),
            ends_by_close=call.target.startswith(b"/last"),
        )
        return Answered(answer, EchoAttempt())  # type: ignore[arg-type]


async def serve_stream(request_stream: RequestStream) -> tuple[list[bytes], list[bytes]]:
    """Serves a stream, and returns the answers and the executed calls."""
    timers = EventLoopTimers()
    transport = RecordingTransport()
    stream = ByteStream(traffic=Traffic(), purpose=Purpose.CALLS)
    stream.connection_made(transport)
    dispatcher = EchoDispatcher(transport, request_stream.delays)
    async with anyio.create_task_group() as tasks:
        context = EntryContext(
            dispatcher=dispatcher,  # type: ignore[arg-type]
            claimer=None,
            limiter=CallerLimiter(timers),
            levels=ServiceLevels(timers),
            targets=NoTargets(),  # type: ignore[arg-type]
            timers=timers,
            bodies=BodyBudget(8_000_000, small_body=LARGEST_WHOLE_BODY, timers=timers),
            first_request_estimator=FirstRequestEstimator(timers),
            limits=Limits(),
            not_serving=lambda: "",
            buffers_chunked=True,
            tasks=tasks,
        )
        context.router = ROUTES
        tasks.start_soon(CallerConnection(stream, context).run)
        for segment in request_stream.segments:
            stream.data_received(segment)
            await anyio.lowlevel.checkpoint()
        await wait_until_idle(transport, dispatcher)
        stream.eof_received()
        stream.connection_lost(None)
    return transport.answers, dispatcher.executed


async def wait_until_idle(transport: RecordingTransport, dispatcher: EchoDispatcher) -> None:
    """Waits until no more data is written and no more calls start."""
    idle_iterations = 0
    previous = (0, 0)
    while idle_iterations < IDLE_ITERATIONS:
        await anyio.lowlevel.checkpoint()
        current = (len(transport.data), len(dispatcher.executed))
        idle_iterations = idle_iterations + 1 if current == previous else 0
        previous = current


class NoTargets:
    """Local targets without running calls, so that no call is nested."""

    def parent_of(self, _request_id: bytes) -> None:
        return None


def single_segment(*requests: tuple[str, str]) -> RequestStream:
    """Returns a stream of valid requests in a single segment."""
    parts = [request(n, kind, path, closes=False) for n, (kind, path) in enumerate(requests)]
    data = b"".join(parts)
    return RequestStream(data, (data,), (5,))


class PipelinedStreamTest(unittest.TestCase):
    @settings(max_examples=400, deadline=None)
    @given(streams())
    @example(single_segment(("plain", "safe"), ("plain", "last"), ("plain", "once")))
    @example(single_segment(("plain", "last"), ("plain", "safe"), ("sized", "once")))
    @example(single_segment(("plain", "last"), ("plain", "last"), ("plain", "last")))
    def test_any_stream_is_served_like_by_a_sequential_server(
        self, request_stream: RequestStream
    ) -> None:
        answers, executed = anyio.run(serve_stream, request_stream)
        expected_answers = expected_answers_of(request_stream.data)
        self.assertEqual(answers, expected_answers)
        answered = [each.partition(b"|")[0] for each in expected_answers if each.startswith(b"/")]
        self.assertLessEqual(set(answered), set(executed))
        self.assertEqual(len(executed), len(set(executed)))
        # Only safe requests may have been executed after a response that closes the connection.
        executed_unanswered = [each for each in executed if each not in answered]
        self.assertEqual([each for each in executed_unanswered if each.startswith(b"/once")], [])
        if not any(each.startswith(b"/last") for each in answered):
            self.assertEqual(executed_unanswered, [])
