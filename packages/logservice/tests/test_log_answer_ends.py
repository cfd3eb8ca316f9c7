"""Answers of the log that break off, with the last bytes and the end in one poll."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
import msgpack

from acaciayard_logservice import AppendUnknown, HttpLogService, Unavailable, http_log_service
from acaciayard_standins import AbruptPeer, PeerEnd

LOOPS: Final = ({"use_uvloop": False}, {"use_uvloop": True})
HEADS: Final = {
    "without length": b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
    "sized": b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n",
}
APPENDED: Final = b'{"offset": 12'
BOUNDS: Final = b'{"first": 0, "head": 1'
SLICE: Final = msgpack.packb({"first": 0, "head": 1, "records": [[0, b"whole"]]})[:-1]

Request = Callable[[HttpLogService], Awaitable[object]]
REQUESTS: Final[dict[str, tuple[Request, bytes, type[object]]]] = {
    "append": (lambda log: log.append("s", b"x"), APPENDED, AppendUnknown),
    "bounds": (lambda log: log.bounds("s"), BOUNDS, Unavailable),
    "read": (lambda log: log.read("s", start=0, limit=1, wait=0), SLICE, Unavailable),
}


async def result_of(request: Request, data: bytes, end: PeerEnd) -> object:
    """What the client of the log makes of an answer, or the exception that it raises."""
    results: list[object] = []
    with AbruptPeer() as peer:
        log = http_log_service(f"http://127.0.0.1:{peer.port}", count=lambda _sent, _got: None)

        async def ask() -> None:
            try:
                results.append(await request(log))
            except ValueError as error:
                results.append(error)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await peer.answer(data, end)
    return results[0]


class LogAnswerEndTest(unittest.TestCase):
    # Guards against a part of an answer that raises an unexpected exception, or counts as whole.
    def test_part_of_an_answer_is_none(self) -> None:
        wrong = []

        async def body() -> None:
            for head_name, head in HEADS.items():
                for name, (request, part, expected) in REQUESTS.items():
                    for end in PeerEnd:
                        result = await result_of(request, head + part, end)
                        if not isinstance(result, expected):
                            wrong.append(f"{name}, {head_name}, peer {end.value}: {result!r}")

        for options in LOOPS:
            anyio.run(body, backend_options=options)
        self.assertEqual(wrong, [])


if __name__ == "__main__":
    unittest.main()
