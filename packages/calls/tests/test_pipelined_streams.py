"""Any stream of requests in any pieces is served as a reader that takes one at a time reads it."""

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
from acaciayard_callmodel import Answer, Call, CallWatch
from acaciayard_calls import Answered, ServiceLevels
from acaciayard_calls._caller import CallerConnection
from acaciayard_calls._first_asked import FirstAsked
from acaciayard_calls._intake import EntryContext
from acaciayard_calls._turns import MOST_UNDER_WAY
from acaciayard_http1 import Limits
from acaciayard_resources import Route, Service
from acaciayard_routing import Plan, Router
from acaciayard_timers import EventLoopTimers
from acaciayard_wire import ByteStream, Purpose, Traffic

ROUTES = router(
    Service(name="a"),
    Route(name="safe", service="a", path="/safe", idempotent=True),
    Route(name="last", service="a", path="/last", idempotent=True),
    Route(name="once", service="a", path="/once"),
)
#: A body that looks like a request.
SMUGGLED = b"GET /once/smuggled HTTP/1.1\r\nhost: h\r\n\r\n"
#: Rounds of the event loop without news after which nothing more will come.
QUIET_ROUNDS = 60


@frozen
class Sent:
    """What a caller sends, in order."""

    data: bytes
    pieces: tuple[bytes, ...]
    #: Rounds of the loop that the target takes for each request, in turn.
    delays: tuple[int, ...]


def request(number: int, kind: str, path: str, *, closes: bool) -> bytes:
    """One request of the stream."""
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
def streams(draw: st.DrawFn) -> Sent:
    """A stream of requests, cut anywhere; its last request may be cut off."""
    kinds = st.sampled_from(["plain"] * 8 + ["sized", "chunked", "no_host", "nonsense"])
    paths = st.sampled_from(["safe"] * 8 + ["once", "once", "none", "none", "last"])
    closes = st.sampled_from([False] * 9 + [True])
    drawn = draw(st.lists(st.tuples(kinds, paths, closes), min_size=1, max_size=9))
    parts = [request(n, kind, path, closes=c) for n, (kind, path, c) in enumerate(drawn)]
    if drawn[-1][0] != "nonsense":
        parts[-1] = parts[-1][: draw(st.integers(1, len(parts[-1])))]
    data = b"".join(parts)
    cuts = sorted(draw(st.sets(st.integers(1, max(1, len(data) - 1)), max_size=6)))
    edges = [0, *cuts, len(data)]
    pieces = tuple(data[a:b] for a, b in itertools.pairwise(edges) if a < b)
    delays = draw(st.lists(st.integers(0, 12), min_size=1, max_size=9))
    return Sent(data, pieces, tuple(delays))


def expected(data: bytes) -> list[bytes]:
    """What a reader that takes one request at a time answers: echoes, and statuses of refusals."""
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
            size, found, rest = rest.partition(b"\r\n")
            length = int(size, 16) if found else 0
            is_whole = found and rest[length:].startswith(b"\r\n0\r\n\r\n")
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


class Written(asyncio.Transport):
    """The entry's end of a connection, which keeps what is written."""

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
        """Bodies of good answers, and statuses of refusals, in order."""
        found = []
        rest = self.data
        while rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            fields = dict(line.split(b": ") for line in head.split(b"\r\n")[1:])
            length = int(fields.get(b"content-length", len(rest)))
            status = head.split(b" ")[1]
            found.append(rest[:length] if status == b"200" else status)
            rest = rest[length:]
        return found


class EchoAttempt:
    """An attempt that needs no closing."""

    def close(self) -> None:
        pass


class EchoDispatcher:
    """Answers each call with its path and body, and checks what may run beside what."""

    def __init__(self, transport: Written, delays: tuple[int, ...]) -> None:
        self._transport = transport
        self._delays = delays
        self._running: list[Call] = []
        self.ran: list[bytes] = []

    async def run(
        self, call: Call, _plan: Plan, _router: Router, _watch: CallWatch, *, may_retry: bool
    ) -> Answered:
        assert may_retry
        assert len(self._running) < MOST_UNDER_WAY, "too many at once"
        assert all(each.is_idempotent for each in self._running), "passed an unsafe request"
        number = int(call.target.rpartition(b"/")[2])
        if not call.is_idempotent or call.body:
            assert len(self._transport.answers) == number, "runs before its turn"
        self.ran.append(call.target)
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


async def serve(sent: Sent) -> tuple[list[bytes], list[bytes]]:
    """Answers to a stream, and the calls that ran."""
    timers = EventLoopTimers()
    transport = Written()
    stream = ByteStream(traffic=Traffic(), purpose=Purpose.CALLS)
    stream.connection_made(transport)
    dispatcher = EchoDispatcher(transport, sent.delays)
    async with anyio.create_task_group() as tasks:
        context = EntryContext(
            dispatcher=dispatcher,  # type: ignore[arg-type]
            claimer=None,
            limiter=CallerLimiter(timers),
            levels=ServiceLevels(timers),
            targets=NoTargets(),  # type: ignore[arg-type]
            timers=timers,
            first_asked=FirstAsked(timers),
            limits=Limits(),
            not_serving=lambda: "",
            holds_chunked=True,
            tasks=tasks,
        )
        context.router = ROUTES
        tasks.start_soon(CallerConnection(stream, context).run)
        for piece in sent.pieces:
            stream.data_received(piece)
            await anyio.lowlevel.checkpoint()
        await settle(transport, dispatcher)
        stream.eof_received()
        stream.connection_lost(None)
    return transport.answers, dispatcher.ran


async def settle(transport: Written, dispatcher: EchoDispatcher) -> None:
    """Wait until nothing happens any more."""
    quiet = 0
    seen = (0, 0)
    while quiet < QUIET_ROUNDS:
        await anyio.lowlevel.checkpoint()
        now = (len(transport.data), len(dispatcher.ran))
        quiet = quiet + 1 if now == seen else 0
        seen = now


class NoTargets:
    """No call is made for another one."""

    def parent_of(self, _request_id: bytes) -> None:
        return None


def whole(*requests: tuple[str, str]) -> Sent:
    """A stream of good requests that comes in one piece."""
    parts = [request(n, kind, path, closes=False) for n, (kind, path) in enumerate(requests)]
    data = b"".join(parts)
    return Sent(data, (data,), (5,))


class PipelinedStreamTest(unittest.TestCase):
    @settings(max_examples=400, deadline=None)
    @given(streams())
    @example(whole(("plain", "safe"), ("plain", "last"), ("plain", "once")))
    @example(whole(("plain", "last"), ("plain", "safe"), ("sized", "once")))
    def test_any_stream_is_served_as_if_read_one_by_one(self, sent: Sent) -> None:
        answers, ran = anyio.run(serve, sent)
        awaited = expected(sent.data)
        self.assertEqual(answers, awaited)
        served = [each.partition(b"|")[0] for each in awaited if each.startswith(b"/")]
        self.assertLessEqual(set(served), set(ran))
        self.assertEqual(len(ran), len(set(ran)))
        # Behind an answer that closes only what does no harm may have run.
        unserved = [each for each in ran if each not in served]
        self.assertEqual([each for each in unserved if each.startswith(b"/once")], [])
        if not any(each.startswith(b"/last") for each in served):
            self.assertEqual(unserved, [])
