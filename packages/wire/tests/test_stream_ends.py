"""How streams say that their data ended, on each event loop."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from acaciayard_standins import AbruptPeer, PeerEnd
from acaciayard_wire import ByteStream, EndKind, Purpose, StreamEnd, Traffic, connect

LOOPS: Final = ({"use_uvloop": False}, {"use_uvloop": True})
#: Bytes that arrive together with the end, and before it so that reading from the socket is paused.
SIZES: Final = (0, 5, 50_000)
PAUSING: Final = 600_000
ENDS: Final = {
    PeerEnd.CLOSE: EndKind.IN_ORDER,
    PeerEnd.RESET: EndKind.BROKEN,
    PeerEnd.CLOSE_THEN_RESET: EndKind.IN_ORDER,
}


async def read_to_end(stream: ByteStream) -> int:
    """Read until the stream ends; returns the number of bytes."""
    size = 0
    while data := await stream.receive(limit=100_000):
        size += len(data)
    return size


class StreamEndTest(unittest.TestCase):
    def run_on_each_loop(self, body: Callable[[], Awaitable[None]]) -> None:
        for options in LOOPS:
            anyio.run(body, backend_options=options)

    # Guards against a reset that is reported as the end of the data, since it came with the last
    # bytes (MIXED).
    def test_end_of_the_peer(self) -> None:
        wrong = []

        async def body() -> None:
            for size in SIZES:
                for peer_end, kind in ENDS.items():
                    found = await self.end_of(size, peer_end)
                    if found is None or found.kind is not kind:
                        wrong.append(f"{size} bytes, peer {peer_end.value}: {found}")
            for peer_end in (PeerEnd.CLOSE, PeerEnd.RESET):
                found = await self.end_of(5, peer_end, early=PAUSING)
                if found is None or found.kind is not ENDS[peer_end]:
                    wrong.append(f"reading paused, peer {peer_end.value}: {found}")

        self.run_on_each_loop(body)
        self.assertEqual(wrong, [])

    async def end_of(self, size: int, peer_end: PeerEnd, *, early: int = 0) -> StreamEnd | None:
        """What a stream says of its end, read only after its peer has ended it."""
        with AbruptPeer() as peer:
            stream = await connect("127.0.0.1", peer.port, traffic=Traffic(), purpose=Purpose.CALLS)
            self.assertIsNone(stream.end)
            await peer.answer(b"x" * size, peer_end, awaits_request=False, early=b"x" * early)
            await read_to_end(stream)
            stream.abort()
            return stream.end

    def test_end_that_is_made_here(self) -> None:
        async def body() -> None:
            for close in (ByteStream.close, ByteStream.abort, ByteStream.reset):
                with AbruptPeer() as peer:
                    stream = await connect(
                        "127.0.0.1", peer.port, traffic=Traffic(), purpose=Purpose.CALLS
                    )
                    close(stream)
                    await read_to_end(stream)
                    self.assertEqual(stream.end, StreamEnd(EndKind.CLOSED_HERE))

        self.run_on_each_loop(body)


if __name__ == "__main__":
    unittest.main()
