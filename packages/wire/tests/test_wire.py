"""Message codec, message streams, traffic counters and addresses."""

from __future__ import annotations

import gc
import random
import sys
import tracemalloc
import unittest
from collections.abc import Callable

import anyio
import msgpack
from attrs import frozen

from acaciayard_wire import (
    Address,
    MessageCodec,
    MessageError,
    MessageStream,
    Purpose,
    StreamLostError,
    Traffic,
)


@frozen
class Plain:
    number: int
    share: float
    texts: list[str]
    data: bytes = b""


@frozen
class Inner:
    name: str


@frozen
class Nested:
    items: tuple[Inner, ...]


@frozen
class Checked:
    size: int
    names: list[str]

    def check_fields(self) -> None:
        if self.size < 0 or len(self.names) > 1:
            raise ValueError(f"size {self.size}")


CODEC = MessageCodec({1: Plain, 2: Nested, 3: Checked})

INVALID_MESSAGES = (
    b"",
    b"\xc1",
    msgpack.packb(5),
    msgpack.packb([]),
    msgpack.packb([9, 1]),
    msgpack.packb([1, "x", 0.5, []]),
    msgpack.packb([1, 1]),
    msgpack.packb([2, [["a", "b"], 3]]),
    msgpack.packb([1, 1, 0.5, [1]]),
    msgpack.packb([1, 1, 0.5, [], "text"]),
    msgpack.packb([3, -1, []]),
    msgpack.packb([3, 1, ["a", "b"]]),
    msgpack.packb([3, 1, [2]]),
)


class CodecTest(unittest.TestCase):
    def test_messages_round_trip(self) -> None:
        for message in (
            Plain(1, 0.5, ["a"], b"x"),
            Plain(1, 0.5, []),
            Nested((Inner("a"), Inner("b"))),
            Checked(1, ["a"]),
            Checked(1, []),
        ):
            with self.subTest(message):
                self.assertEqual(CODEC.decode(CODEC.encode(message)), message)

    def test_invalid_messages_are_rejected(self) -> None:
        for data in INVALID_MESSAGES:
            with self.subTest(data), self.assertRaises(MessageError):
                CODEC.decode(data)

    def test_fields_of_a_later_release_are_ignored(self) -> None:
        data = msgpack.packb([1, 1, 0.5, [], b"", "later"])
        self.assertEqual(CODEC.decode(data), Plain(1, 0.5, []))

    def test_missing_fields_of_an_earlier_release_have_defaults(self) -> None:
        self.assertEqual(CODEC.decode(msgpack.packb([1, 1, 2, []])), Plain(1, 2, []))


class FakeByteStream:
    """A byte stream that returns the given chunks one by one and then ends."""

    peer = "127.0.0.1:1"

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = chunks

    async def receive(self) -> bytes:
        return self._chunks.pop(0) if self._chunks else b""


def split_randomly(data: bytes, rng: random.Random) -> list[bytes]:
    """Split the data into chunks of random lengths, most of them short."""
    chunks = []
    while data:
        length = rng.choice((1, 2, 3, 7, 50, 5000))
        chunks.append(data[:length])
        data = data[length:]
    return chunks


class MessageStreamTest(unittest.TestCase):
    def receive_all(self, chunks: list[bytes]) -> list[object]:
        received: list[object] = []

        async def run() -> None:
            stream = MessageStream(FakeByteStream(chunks), CODEC)  # type: ignore[arg-type]
            try:
                while True:
                    received.append(await stream.receive())
            except StreamLostError:
                return

        anyio.run(run)
        return received

    def test_messages_are_received_whole_however_they_are_split(self) -> None:
        rng = random.Random(1)
        for _ in range(40):
            sent = [
                Plain(number, 0.5, ["a"] * rng.randrange(3), b"x" * rng.choice((0, 10, 4000)))
                for number in range(rng.randrange(1, 9))
            ]
            data = b"".join(CODEC.encode(message) for message in sent)
            self.assertEqual(self.receive_all(split_randomly(data, rng)), sent)
            self.assertEqual(self.receive_all([data]), sent)

    def test_invalid_bytes_raise_an_error(self) -> None:
        good = CODEC.encode(Plain(1, 0.5, []))
        for chunks in (
            [b"\xc1"],
            [good + b"\xc1"],
            [good[:2], b"\xc1" * 9],
            [b"\x92\x01", b"\xc1"],
        ):
            with self.subTest(chunks), self.assertRaises(MessageError):
                self.receive_all(chunks)

    def test_no_scanner_is_kept_between_messages(self) -> None:
        async def run() -> None:
            data = CODEC.encode(Plain(1, 0.5, [], b"x" * 100))
            stream = MessageStream(FakeByteStream([data[:9], data[9:], data]), CODEC)  # type: ignore[arg-type]
            for _ in range(2):
                await stream.receive()
                self.assertIsNone(stream._scanner)
                self.assertEqual(stream._pieces, [])

        anyio.run(run)

    # Guards against parts of messages that are cut, which the unpacker keeps for ever.
    def test_a_message_that_is_cut_leaves_nothing_behind(self) -> None:
        whole = msgpack.packb([2, [["name" * 9]] * 200])
        flat = CODEC.encode(Plain(1, 0.5, ["a" * 9] * 200, b"x" * 900))
        cases: dict[str, tuple[list[bytes], type[Exception] | None]] = {
            "nested": ([whole[:-9]], StreamLostError),
            "flat": ([flat[:-9]], StreamLostError),
            "in two pieces": ([whole[:2000], whole[2000:-9]], StreamLostError),
            "completed": ([whole[:2000], whole[2000:]], None),
            "invalid behind": ([whole[:-39] + b"\xc1"], MessageError),
        }
        for name, (chunks, error) in cases.items():
            with self.subTest(name):

                def cut(chunks: list[bytes] = chunks, error: type | None = error) -> None:
                    if error is MessageError:
                        with self.assertRaises(MessageError):
                            self.receive_all(list(chunks))
                    else:
                        self.assertEqual(len(self.receive_all(list(chunks))), error is None)

                self.assert_leaves_nothing(cut)
        with self.subTest("datagram"):

            def decode() -> None:
                with self.assertRaises(MessageError):
                    CODEC.decode(whole[:-9])

            self.assert_leaves_nothing(decode)

    def assert_leaves_nothing(self, action: Callable[[], None]) -> None:
        """Check that repeating `action` allocates nothing that stays."""
        action()
        gc.collect()
        before = sys.getallocatedblocks()
        for _ in range(50):
            action()
        gc.collect()
        self.assertLess(sys.getallocatedblocks() - before, 1000)

    # Guards against arrays that are allocated by the length that they claim.
    def test_lengths_that_a_message_claims_allocate_nothing(self) -> None:
        for claim in (b"\xdd\x04\x00\x00\x00", b"\xdf\x02\x00\x00\x00", b"\xc6\x03\xff\xff\xff"):
            with self.subTest(claim):
                tracemalloc.start()
                self.receive_all([claim, claim * 3])
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertLess(peak, 4_000_000)


class TrafficTest(unittest.TestCase):
    def test_calls_are_not_control_traffic(self) -> None:
        traffic = Traffic()
        traffic.sent(Purpose.SPREAD, 10)
        traffic.received(Purpose.LOG, 5)
        traffic.sent(Purpose.CALLS, 1000)
        self.assertEqual(traffic.control_bytes(), 15)

    def test_peers_are_counted_per_purpose(self) -> None:
        traffic = Traffic()
        traffic.sent(Purpose.SPREAD, 10, "10.0.0.1")
        traffic.received(Purpose.SPREAD, 30, "10.0.0.1")
        traffic.sent(Purpose.MEMBERSHIP, 5, "10.0.0.1")
        traffic.sent(Purpose.CALLS, 1000, "10.0.0.2")
        found = [(each.peer, each.purpose, each.count) for each in traffic.busiest_peers(9)]
        expected = [("10.0.0.1", Purpose.SPREAD, 40), ("10.0.0.1", Purpose.MEMBERSHIP, 5)]
        self.assertEqual(found, expected)


class AddressTest(unittest.TestCase):
    def test_parse(self) -> None:
        self.assertEqual(Address.parse("127.0.0.1:80"), Address("127.0.0.1", 80))
        for text in ("x", "1.2.3.4:", ":x"):
            with self.subTest(text), self.assertRaises(ValueError):
                Address.parse(text)
