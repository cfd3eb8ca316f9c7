"""Responses that break off, with the last bytes and the end of the connection in one poll."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

import anyio
from attrs import frozen

from acaciayard_http1 import (
    BodyPart,
    HttpClient,
    HttpError,
    HttpResponse,
    Limits,
    ResponseReader,
    Unanswered,
)
from acaciayard_standins import AbruptPeer, PeerEnd
from acaciayard_timers import EventLoopTimers
from acaciayard_wire import Address, Purpose, StreamLostError, Traffic, connect

#: The event loops on which the product and its tests run.
LOOPS: Final = ({"use_uvloop": False}, {"use_uvloop": True})
LINE: Final = b"HTTP/1.1 200 OK\r\nid: r1\r\n"
UNTIL_CLOSE: Final = LINE + b"connection: close\r\n\r\n"
SIZED: Final = LINE + b"content-length: 6\r\n\r\n"
CHUNKED: Final = LINE + b"transfer-encoding: chunked\r\n\r\n"
EARLY: Final = b"HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n"


@frozen
class Cut:
    """A response and what a reader makes of it for each end of the connection."""

    data: bytes
    #: The whole body that is read if the connection ends in order, `None` if it is lost.
    if_closed: bytes | None
    #: The same if the connection is reset.
    if_reset: bytes | None = None


CUTS: Final = {
    "without length": Cut(UNTIL_CLOSE + b"abcdef", b"abcdef"),
    "without length, large": Cut(UNTIL_CLOSE + b"x" * 100_000, b"x" * 100_000),
    "without length, no body yet": Cut(UNTIL_CLOSE, b""),
    "without length, HTTP/1.0": Cut(b"HTTP/1.0 200 OK\r\n\r\nabc", b"abc"),
    "without length, behind an interim response": Cut(EARLY + UNTIL_CLOSE + b"abc", b"abc"),
    "sized, whole": Cut(SIZED + b"abcdef", b"abcdef", b"abcdef"),
    "sized, a part": Cut(SIZED + b"abc", None),
    "sized, no body yet": Cut(SIZED, None),
    "chunked, whole": Cut(CHUNKED + b"3\r\nabc\r\n0\r\n\r\n", b"abc", b"abc"),
    "chunked, one chunk": Cut(CHUNKED + b"3\r\nabc\r\n", None),
    "chunked, in a chunk": Cut(CHUNKED + b"6\r\nabc", None),
    "chunked, in the size": Cut(CHUNKED + b"3\r\nabc\r\n1", None),
    "chunked, in the end": Cut(CHUNKED + b"3\r\nabc\r\n0\r\n", None),
    "interim response alone": Cut(EARLY, None),
    "nothing": Cut(b"", None),
}


def on_each_loop(body: Callable[[], Awaitable[None]]) -> None:
    """Run a test on each event loop."""
    for options in LOOPS:
        anyio.run(body, backend_options=options)


async def read_cut(data: bytes, end: PeerEnd, *, to_head_request: bool = False) -> bytes | None:
    """The body of a response that breaks off, `None` if it is not whole."""
    with AbruptPeer() as peer:
        stream = await connect("127.0.0.1", peer.port, traffic=Traffic(), purpose=Purpose.CALLS)
        await peer.answer(data, end, awaits_request=False)
        reader = ResponseReader(stream, Limits())
        body = b""
        try:
            await reader.next_head(to_head_request=to_head_request)
            while isinstance(part := await reader.next_part(), BodyPart):
                body += part.data
        except (StreamLostError, HttpError):
            return None
        finally:
            stream.abort()
    return body


def outcome_of(response: object) -> bytes | None:
    """The body of a client's response, `None` if there is none."""
    assert isinstance(response, HttpResponse | Unanswered), response
    return response.body if isinstance(response, HttpResponse) else None


async def ask_for_cut(data: bytes, end: PeerEnd) -> bytes | None:
    """The body that a client gets of a response that breaks off, `None` if it is not whole."""
    responses: list[object] = []
    with AbruptPeer() as peer:
        address = Address("127.0.0.1", peer.port)
        client = HttpClient(address, timers=EventLoopTimers(), traffic=Traffic())

        async def request() -> None:
            responses.append(await client.request(b"GET", b"/", within=2.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request)
            await peer.answer(data, end)
    return outcome_of(responses[0])


class ResponseEndTest(unittest.TestCase):
    def find_wrong(self, read: Callable[[bytes, PeerEnd], Awaitable[bytes | None]]) -> list[str]:
        """Read each cut on each event loop; returns those of which too much or little is read."""
        wrong = []

        async def body() -> None:
            for name, cut in CUTS.items():
                for end in PeerEnd:
                    found = await read(cut.data, end)
                    if found != (cut.if_reset if end is PeerEnd.RESET else cut.if_closed):
                        wrong.append(f"{name}, peer {end.value}: {found!r:.40}")

        on_each_loop(body)
        return wrong

    # Guards against a part of a response without a length that counts as whole, since the event
    # loop reports a reset beside the last bytes as an end-of-file (MIXED).
    def test_response_is_whole_only_if_its_end_says_so(self) -> None:
        self.assertEqual(self.find_wrong(read_cut), [])

    # Guards against a part of a store's response that counts as whole after a reset.
    def test_client_takes_no_part_for_a_whole_response(self) -> None:
        self.assertEqual(self.find_wrong(ask_for_cut), [])

    # Guards against a response whose head breaks off, and which counts as whole with an empty or
    # short body (MIXED, ORDER).
    def test_head_that_breaks_off_is_no_response(self) -> None:
        http10 = b"HTTP/1.0 200 OK\r\na: b\r\n\r\n"
        heads = [SIZED, CHUNKED, UNTIL_CLOSE, EARLY + UNTIL_CLOSE, http10]
        heads += [head.replace(b"\r\n", b"\n") for head in heads]
        readers = (read_cut, partial(read_cut, to_head_request=True), ask_for_cut)
        wrong = []

        async def body() -> None:
            for head, end, read in itertools.product(heads, PeerEnd, readers):
                for at in range(len(head)):
                    if await read(head[:at], end) is not None:
                        wrong.append((head[:at], end, read))

        on_each_loop(body)
        self.assertEqual(wrong, [])


if __name__ == "__main__":
    unittest.main()
