"""Acknowledgements of calls wake no task, and the messages after them are read unchanged."""

from __future__ import annotations

import math
import unittest
from collections.abc import Awaitable, Callable

import anyio
from call_harness import IP

from acaciayard_callmodel import Answer, Call
from acaciayard_handover import RemoteExchange, call_pool
from acaciayard_handover._messages import ADMITTED, CALL_CODEC, QUEUED, AnswerHead, Part
from acaciayard_http1 import BodyPart
from acaciayard_timers import EventLoopTimers
from acaciayard_wire import Address, ByteStream, Purpose, Traffic, listen

RESPONSE = CALL_CODEC.encode(AnswerHead(200, b"", b"ok", True, 2, False, [], 0.5))
#: Head of a response whose body follows in parts.
RESPONSE_HEAD = CALL_CODEC.encode(AnswerHead(200, b"", b"", False, 2, False, [], 0.5))

Check = Callable[[RemoteExchange, list[str]], Awaitable[None]]


class AcknowledgementTest(unittest.TestCase):
    def run_call(self, pieces: list[bytes], check: Check, *, is_idempotent: bool = True) -> None:
        """Makes a call to a daemon that sends each of the pieces in a TCP segment of its own."""

        async def serve(stream: ByteStream) -> None:
            await stream.receive()
            for piece in pieces:
                await stream.send(piece)
                await anyio.sleep(0.02)

        async def run() -> None:
            timers = EventLoopTimers()
            async with anyio.create_task_group() as tasks:
                listener = await listen(
                    IP,
                    0,
                    traffic=Traffic(),
                    purpose=Purpose.CALLS,
                    on_stream=lambda stream: tasks.start_soon(serve, stream),
                )
                call = Call(
                    *("a", b"GET", b"/x", b"", b"", True, 0, 0, timers.now() + 5.0, b"r"),
                    start_by=math.inf,
                    is_idempotent=is_idempotent,
                )
                exchange = RemoteExchange(
                    call,
                    address=Address(IP, listener.port),
                    pool=call_pool(traffic=Traffic(), timers=timers),
                    timers=timers,
                )
                signals: list[str] = []
                exchange.on_acknowledged(lambda: signals.append("acknowledged"))
                self.assertIsNone(await exchange.start())
                with anyio.fail_after(5):
                    await check(exchange, signals)
                exchange.close()
                listener.close()
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})

    def test_acknowledgement_is_reported_once_and_consumed(self) -> None:
        async def check(exchange: RemoteExchange, signals: list[str]) -> None:
            await anyio.sleep(0.1)  # both messages have arrived
            assert exchange._stream is not None
            self.assertTrue(exchange.is_acknowledged)
            self.assertFalse(exchange._stream.channel.has_unread)
            self.assertEqual(signals, ["acknowledged"])

        self.run_call([QUEUED, ADMITTED], check)

    def test_response_with_and_without_prior_acknowledgement(self) -> None:
        async def check(exchange: RemoteExchange, signals: list[str]) -> None:
            outcome = await exchange.answer()
            assert isinstance(outcome, Answer), outcome
            self.assertEqual((outcome.body, signals), (b"ok", ["acknowledged"]))

        for pieces in (
            [ADMITTED, RESPONSE],
            [QUEUED, ADMITTED, RESPONSE],
            [RESPONSE],
            [ADMITTED + RESPONSE],
            [QUEUED + ADMITTED, RESPONSE[:3], RESPONSE[3:]],
        ):
            with self.subTest(pieces=pieces):
                self.run_call(pieces, check)

    def test_body_part_that_looks_like_an_acknowledgement_is_kept(self) -> None:
        part = CALL_CODEC.encode(Part(ADMITTED))
        assert part.endswith(ADMITTED)

        async def check(exchange: RemoteExchange, _signals: list[str]) -> None:
            self.assertIsInstance(await exchange.answer(), Answer)
            self.assertEqual(await exchange.next_part(), BodyPart(ADMITTED))

        prefix = part[: -len(ADMITTED)]
        self.run_call([ADMITTED, RESPONSE_HEAD + prefix, ADMITTED], check)
        self.run_call([RESPONSE_HEAD + prefix, ADMITTED], check)

    def test_non_idempotent_call_waits_for_its_admission(self) -> None:
        async def check(exchange: RemoteExchange, signals: list[str]) -> None:
            self.assertIsNone(await exchange.wait_admitted())
            self.assertEqual(signals, ["acknowledged"])

        self.run_call([QUEUED, ADMITTED], check, is_idempotent=False)


if __name__ == "__main__":
    unittest.main()
