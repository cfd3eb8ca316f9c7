"""HTTP/1.1 parsing and serialization: accepted, rejected and truncated messages."""

from __future__ import annotations

import sys
import tracemalloc
import unittest
from typing import Any

import anyio

from acaciayard_http1 import (
    BodyPart,
    End,
    Framing,
    HttpError,
    Limits,
    RequestHead,
    RequestReader,
    ResponseReader,
    chunk,
    last_chunk,
    request_bytes,
    response_bytes,
)
from acaciayard_wire import EndKind, StreamEnd, StreamLostError


class FakeStream:
    """A fake stream that returns the given pieces one by one, and then EOF."""

    end = StreamEnd(EndKind.IN_ORDER)

    def __init__(self, *pieces: bytes) -> None:
        self._pieces = list(pieces)

    async def receive(self, limit: int = sys.maxsize) -> bytes:
        piece = self._pieces.pop(0) if self._pieces else b""
        if len(piece) > limit:
            self._pieces.insert(0, piece[limit:])
        return piece[:limit]

    async def yield_turn(self) -> None:
        """Do nothing, as no other task runs."""


async def read_requests(*pieces: bytes, limits: Limits) -> list[Any]:
    reader = RequestReader(FakeStream(*pieces), limits)  # type: ignore[arg-type]
    events: list[Any] = []
    while (head := await reader.next_head()) is not None:
        events.append(head)
        while isinstance(part := await reader.next_part(), BodyPart):
            events.append(part.data)
        events.append(part)
    return events


def parse_requests(*pieces: bytes, limits: Limits | None = None) -> list[Any]:
    async def run() -> list[Any]:
        return await read_requests(*pieces, limits=limits or Limits())

    return anyio.run(run)


HOST_FIELD = b"Host: a\r\n"
REJECTED_REQUESTS: tuple[tuple[str, bytes, int], ...] = (
    (
        "conflicting content lengths",
        b"POST / HTTP/1.1\r\n" + HOST_FIELD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        400,
    ),
    (
        "content length with chunked encoding",
        b"POST / HTTP/1.1\r\n"
        + HOST_FIELD
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    (
        "invalid chunk size",
        b"POST / HTTP/1.1\r\n" + HOST_FIELD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
        400,
    ),
    (
        "chunk without trailing CRLF",
        b"POST / HTTP/1.1\r\n"
        + HOST_FIELD
        + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabX0\r\n\r\n",
        400,
    ),
    ("bare line feed", b"GET / HTTP/1.1\nHost: a\n\n", 400),
    ("space before colon", b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400),
    ("negative length", b"POST / HTTP/1.1\r\n" + HOST_FIELD + b"Content-Length: -1\r\n\r\n", 400),
    (
        "unknown transfer coding",
        b"POST / HTTP/1.1\r\n" + HOST_FIELD + b"Transfer-Encoding: gzip\r\n\r\n",
        501,
    ),
    (
        "transfer coding after chunked",
        b"POST / HTTP/1.1\r\n" + HOST_FIELD + b"Transfer-Encoding: chunked, gzip\r\n\r\n",
        400,
    ),
    ("missing method", b"/ HTTP/1.1\r\n\r\n", 400),
    (
        "upgrade",
        b"GET / HTTP/1.1\r\n" + HOST_FIELD + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n",
        501,
    ),
    ("too many headers", b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 101 + b"\r\n", 431),
    ("head too large", b"GET / HTTP/1.1\r\na: " + b"b" * 40_000 + b"\r\n\r\n", 431),
)


class RequestTest(unittest.TestCase):
    # Guards against a request that runs without its body.
    def test_upgrade_with_a_body_gives_no_head(self) -> None:
        fields = b"Host: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 4\r\n\r\n"

        async def run() -> None:
            stream = FakeStream(b"POST / HTTP/1.1\r\n" + fields + b"body")
            reader = RequestReader(stream, Limits())  # type: ignore[arg-type]
            with self.assertRaises(HttpError) as caught:
                await reader.next_head()
            self.assertEqual(caught.exception.status, 501)

        anyio.run(run)

    def test_invalid_requests_are_rejected(self) -> None:
        for name, data, status in REJECTED_REQUESTS:
            with self.subTest(name), self.assertRaises(HttpError) as caught:
                parse_requests(data)
            with self.subTest(name):
                self.assertEqual(caught.exception.status, status, caught.exception.reason)

    def test_body_over_limit_is_rejected(self) -> None:
        data = b"POST / HTTP/1.1\r\n" + HOST_FIELD + b"Content-Length: 30\r\n\r\n" + b"x" * 30
        with self.assertRaises(HttpError) as caught:
            parse_requests(data, limits=Limits(body_bytes=20))
        self.assertEqual(caught.exception.status, 413)

    def test_pipelined_requests_split_at_any_byte(self) -> None:
        data = (
            b"GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\n"
            b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
            b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nde\r\n0\r\nX-Sum: 9\r\n\r\n"
        )
        for size in (1, 2, 7, len(data)):
            with self.subTest(size=size):
                events = parse_requests(*(data[i : i + size] for i in range(0, len(data), size)))
                heads = [event for event in events if isinstance(event, RequestHead)]
                self.assertEqual([head.target for head in heads], [b"/a?x=1", b"/b", b"/c"])
                framings = [Framing.NONE, Framing.SIZED, Framing.CHUNKED]
                self.assertEqual([head.framing for head in heads], framings)
                body = b"".join(event for event in events if isinstance(event, bytes))
                self.assertEqual(body, b"abcde")
                self.assertEqual(events[-1], End(((b"x-sum", b"9"),)))

    # Guards against the memory of many small requests that a caller sends together.
    def test_requests_received_together_are_parsed_one_at_a_time(self) -> None:
        count = 2_000
        data = (b"GET / HTTP/1.1\r\n" + HOST_FIELD + b"\r\n") * count

        async def run() -> int:
            reader = RequestReader(FakeStream(data), Limits())  # type: ignore[arg-type]
            tracemalloc.start()
            try:
                heads = 0
                while await reader.next_head() is not None:
                    heads += 1
                    self.assertTrue(reader.take_end())
                    self.assertLess(tracemalloc.get_traced_memory()[0], 2 * len(data))
                return heads
            finally:
                tracemalloc.stop()

        self.assertEqual(anyio.run(run), count)

    # Guards against bodies whose end is missed, or whose parts are many since they look like ends.
    def test_body_with_many_blank_lines(self) -> None:
        body = b"\r\n\r\n" * 2_000
        head = b"PUT / HTTP/1.1\r\n" + HOST_FIELD + b"Transfer-Encoding: chunked\r\n\r\n"
        data = (
            head + chunk(body) + last_chunk(()) + b"GET /next HTTP/1.1\r\n" + HOST_FIELD + b"\r\n"
        )
        events = parse_requests(data)
        self.assertEqual([type(each) for each in events[:3]], [RequestHead, bytes, End])
        self.assertEqual(events[1], body)
        self.assertEqual(events[3].target, b"/next")

    def test_truncated_request(self) -> None:
        for data in (b"GET / HT", b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na"):
            with self.subTest(data):
                if data.startswith(b"POST"):
                    with self.assertRaises(StreamLostError):
                        parse_requests(data)
                else:
                    self.assertEqual(parse_requests(data), [])

    def test_head_reports_expectation_and_version(self) -> None:
        head = parse_requests(
            b"POST / HTTP/1.0\r\nExpect: 100-Continue\r\nContent-Length: 1\r\n\r\nx"
        )[0]
        self.assertTrue(head.expects_continue)
        self.assertTrue(head.is_http10)


CHUNKED_FIELD = b"Transfer-Encoding: chunked\r\n\r\n"
ONE_BYTE_CHUNKS = chunk(b"a") * 1_000


class OneByteChunksTest(unittest.TestCase):
    # Guards against work of the consumers for each chunk of a body, however small it is.
    def test_chunks_received_together_are_one_part(self) -> None:
        for start, reader_type in (
            (b"PUT / HTTP/1.1\r\n" + HOST_FIELD, RequestReader),
            (b"HTTP/1.1 200 OK\r\n", ResponseReader),
        ):

            async def run(start: bytes, reader_type: type[Any]) -> list[Any]:
                data = start + CHUNKED_FIELD + ONE_BYTE_CHUNKS
                reader = reader_type(FakeStream(data, ONE_BYTE_CHUNKS + last_chunk(())), Limits())
                await reader.next_head()
                return [await reader.next_part() for _ in range(3)]

            with self.subTest(reader_type=reader_type):
                parts = [BodyPart(b"a" * 1_000)] * 2
                self.assertEqual(anyio.run(run, start, reader_type), [*parts, End()])

    def test_errors_behind_small_chunks(self) -> None:
        for name, end, limit, status, is_part_read in (
            ("invalid chunk size", b"zz\r\n", 0, 400, True),
            ("over the limit", chunk(b"a"), 1_000, 413, False),
            ("over the limit before an invalid size", chunk(b"a") + b"zz\r\n", 1_000, 413, False),
            ("over the limit at the end", chunk(b"a") + last_chunk(()), 1_000, 413, False),
        ):

            async def run(end: bytes, limit: int) -> tuple[list[Any], int]:
                data = b"PUT / HTTP/1.1\r\n" + HOST_FIELD + CHUNKED_FIELD + ONE_BYTE_CHUNKS + end
                limits = Limits(body_bytes=limit)
                reader = RequestReader(FakeStream(data), limits)  # type: ignore[arg-type]
                events: list[Any] = [await reader.next_head()]
                try:
                    while True:
                        events.append(await reader.next_part())
                except HttpError as error:
                    return events[1:], error.status

            with self.subTest(name):
                parts = [BodyPart(b"a" * 1_000)] * is_part_read
                self.assertEqual(anyio.run(run, end, limit), (parts, status))


async def read_response(data: bytes, *, is_head_request: bool = False) -> tuple[Any, bytes]:
    reader = ResponseReader(FakeStream(data), Limits())  # type: ignore[arg-type]
    head = await reader.next_head(to_head_request=is_head_request)
    body = b""
    while isinstance(part := await reader.next_part(), BodyPart):
        body += part.data
    return head, body


class ResponseTest(unittest.TestCase):
    def test_response_round_trip(self) -> None:
        sized = response_bytes(200, b"a: b\r\n", framing=Framing.SIZED, length=3) + b"abc"
        chunked = response_bytes(200, b"", framing=Framing.CHUNKED) + chunk(b"abc") + last_chunk(())
        until_close = response_bytes(200, b"", framing=Framing.UNTIL_CLOSE) + b"abc"
        for data in (sized, chunked, until_close):
            with self.subTest(data):
                head, body = anyio.run(read_response, data)
                self.assertEqual((head.status, body), (200, b"abc"))

    def test_truncated_responses_raise(self) -> None:
        truncated = (
            response_bytes(200, b"", framing=Framing.SIZED, length=5) + b"abc",
            response_bytes(200, b"", framing=Framing.CHUNKED) + chunk(b"abc"),
            b"HTTP/1.1 200 OK\r\nContent-",
        )
        for data in truncated:
            with self.subTest(data), self.assertRaises(StreamLostError):
                anyio.run(read_response, data)

    def test_interim_responses_and_responses_to_head(self) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\n" + response_bytes(
            204, b"", framing=Framing.NONE, bodiless=True
        )
        self.assertEqual(anyio.run(read_response, interim)[0].status, 204)

        async def run() -> tuple[Any, bytes]:
            data = response_bytes(200, b"", framing=Framing.SIZED, length=9)
            return await read_response(data, is_head_request=True)

        self.assertEqual(anyio.run(run)[1], b"")

    # Guards against a target whose interim responses hold up all other connections of a daemon.
    def test_interim_responses_are_parsed_up_to_their_limit(self) -> None:
        heads = 0

        class CountingReader(ResponseReader):
            def _feed_head(self, data: bytes) -> bytes:
                nonlocal heads
                heads += 1
                return super()._feed_head(data)

        async def run() -> None:
            data = b"HTTP/1.1 102 Processing\r\n\r\n" * 2000
            reader = CountingReader(FakeStream(data), Limits())  # type: ignore[arg-type]
            await reader.next_head()

        with self.assertRaises(HttpError):
            anyio.run(run)
        self.assertLess(heads, 50)

    def test_request_bytes(self) -> None:
        data = request_bytes(b"POST", b"/a", b"host: h\r\n", framing=Framing.SIZED, length=2)
        expected = b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n"
        self.assertEqual(data, expected)


OK = b"HTTP/1.1 200 OK\r\n"
SIZED_RESPONSE = OK + b"content-length: 4\r\n\r\na\r\n\n"
CHUNKED_RESPONSE = OK + b"transfer-encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n"
TRAILED_RESPONSE = CHUNKED_RESPONSE[:-2] + b"a: b\r\n\r\n"
EMPTY_RESPONSE = OK + b"content-length: 0\r\n\r\n"
INTERIM_RESPONSE = b"HTTP/1.1 102 Processing\r\n\r\n" + SIZED_RESPONSE
#: Whole responses, and whether they answer a HEAD request.
WHOLE_RESPONSES: dict[str, tuple[bytes, bool]] = {
    "sized": (SIZED_RESPONSE, False),
    "chunked": (CHUNKED_RESPONSE, False),
    "chunked with a trailer": (TRAILED_RESPONSE, False),
    "empty": (EMPTY_RESPONSE, False),
    "behind an interim one": (INTERIM_RESPONSE, False),
    "to HEAD": (OK + b"content-length: 9\r\n\r\n", True),
    "to HEAD, empty": (EMPTY_RESPONSE, True),
    "to HEAD, without content": (b"HTTP/1.1 204 No Content\r\n\r\n", True),
    "to HEAD, chunked": (OK + b"transfer-encoding: chunked\r\n\r\n", True),
    "to HEAD, not modified": (b"HTTP/1.1 304 Not\r\ncontent-length: 9\r\n\r\n", True),
    "to HEAD, refused": (b"HTTP/1.1 503 S\r\ncontent-length: 0\r\n\r\n", True),
    "to HEAD, behind an interim one": (b"HTTP/1.1 102 P\r\n\r\n" + EMPTY_RESPONSE, True),
}
#: Bytes behind a response that belong to no request.
SURPLUS = (b"H", b"HTTP/1.1 2", OK, OK + b"a: b", EMPTY_RESPONSE, b"\r", b"\r\n", b"\n", b"\0")
#: Heads in which another response begins.
BROKEN_HEADS = (
    b"HTTP/1.1 503 ServiceHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 503 S\r\nDate: HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    b"\r\n" + EMPTY_RESPONSE,
)


async def read_body(reader: ResponseReader, *, is_to_head: bool = False) -> bytes:
    """Read one response; to a request for its head alone it has no body."""
    await reader.next_head(to_head_request=is_to_head)
    if is_to_head:
        assert await reader.next_part() == End()
        return b""
    body = b""
    while isinstance(part := await reader.next_part(), BodyPart):
        body += part.data
    return body


class SurplusTest(unittest.TestCase):
    # Guards against a connection that is reused although bytes of no request were received on it.
    def test_bytes_behind_a_response_are_found_however_they_arrive(self) -> None:
        async def has_surplus(pieces: list[bytes], is_to_head: bool) -> bool:
            reader = ResponseReader(FakeStream(*pieces), Limits())  # type: ignore[arg-type]
            await read_body(reader, is_to_head=is_to_head)
            return reader.has_pending

        async def run() -> None:
            for name, (response, is_to_head) in WHOLE_RESPONSES.items():
                for surplus in (b"", *SURPLUS):
                    data = response + surplus
                    for cut in range(1, len(response)):
                        with self.subTest(name, surplus=surplus, cut=cut):
                            found = await has_surplus([data[:cut], data[cut:]], is_to_head)
                            self.assertEqual(found, bool(surplus))

        anyio.run(run)

    def test_responses_one_after_the_other(self) -> None:
        async def run() -> None:
            pieces = [data for data, is_to_head in WHOLE_RESPONSES.values() if not is_to_head]
            reader = ResponseReader(FakeStream(*pieces), Limits())  # type: ignore[arg-type]
            for _ in pieces:
                await read_body(reader)
                self.assertFalse(reader.has_pending)

        anyio.run(run)

    def test_no_response_is_read_behind_surplus_bytes(self) -> None:
        async def run() -> None:
            stream = FakeStream(SIZED_RESPONSE + b"HTTP/1.1 503 S\r\nDate: ", EMPTY_RESPONSE)
            reader = ResponseReader(stream, Limits())  # type: ignore[arg-type]
            self.assertEqual(await read_body(reader), b"a\r\n\n")
            with self.assertRaises(HttpError):
                await reader.next_head()

        anyio.run(run)

    def test_head_in_which_another_response_begins_is_rejected(self) -> None:
        async def run() -> None:
            for data in BROKEN_HEADS:
                for cut in range(len(data)):
                    stream = FakeStream(*filter(None, (data[:cut], data[cut:])))
                    reader = ResponseReader(stream, Limits())  # type: ignore[arg-type]
                    with self.subTest(data, cut=cut), self.assertRaises(HttpError):
                        await reader.next_head()

        anyio.run(run)
