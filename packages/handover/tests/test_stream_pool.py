"""Tests of the pool of streams to other daemons."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_handover import call_pool
from acaciayard_handover._messages import ADMITTED
from acaciayard_timers import EventLoopTimers
from acaciayard_wire import Address, ByteStream, Purpose, Traffic, listen

IP = "127.0.0.1"


class StreamPoolTest(unittest.TestCase):
    # Guards against an exchange that takes what was sent behind an earlier one for its own.
    def test_stream_that_holds_bytes_is_not_used_again(self) -> None:
        async def run() -> None:
            peers: list[ByteStream] = []
            listener = await listen(
                IP, 0, traffic=Traffic(), purpose=Purpose.CALLS, on_stream=peers.append
            )
            address = Address(IP, listener.port)
            pool = call_pool(traffic=Traffic(), timers=EventLoopTimers())
            for arrives_first in (True, False):
                with self.subTest(arrives_first=arrives_first):
                    stream = await pool.take(address)
                    await anyio.sleep(0.05)
                    if not arrives_first:
                        pool.give_back(address, stream)
                    await peers[-1].send(ADMITTED)
                    await anyio.sleep(0.05)
                    if arrives_first:
                        pool.give_back(address, stream)
                    self.assertIsNone(pool.take_idle(address))
            stream = await pool.take(address)
            await anyio.sleep(0.05)
            await peers[-1].send(ADMITTED + ADMITTED)
            await stream.receive()  # the second message stays in the buffer of the messages
            pool.give_back(address, stream)
            self.assertIsNone(pool.take_idle(address))
            listener.close()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
