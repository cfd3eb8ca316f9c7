"""Bounds on what the connections of a listener hold."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from acaciayard_timers import ManualTimers
from acaciayard_wire import (
    ByteStream,
    ConnectionBuffers,
    ConnectionReset,
    Purpose,
    Traffic,
    connect,
    listen,
)

IP = "127.0.0.1"
KB = 1024
#: Timeout of the conditions that a test waits for, in seconds.
WAIT_TIMEOUT = 5.0
#: Seconds of a round, the rounds without progress after which a connection is reset, and how many
#: there are at most.
ROUND_S = 9.0
STALLED_ROUNDS = 3
MAX_ROUNDS = 10
#: Reads of a slow client in a round; in all rounds it reads less than is written to it.
SLOW_READS = 4


class Listening:
    """A listener with bounded buffers, whose streams the test reads and writes."""

    def __init__(self, max_bytes: int, timers: ManualTimers) -> None:
        self.timers = timers
        self.resets: list[ConnectionReset] = []
        self.buffers = ConnectionBuffers(max_bytes, timers=timers, on_reset=self.resets.append)
        self.accepted: list[ByteStream] = []

    async def open(self) -> None:
        """Start to listen on a free port."""
        self.listener = await listen(
            IP,
            0,
            traffic=Traffic(),
            purpose=Purpose.CALLS,
            on_stream=self.accepted.append,
            buffers=self.buffers,
        )

    async def client(self) -> tuple[ByteStream, ByteStream]:
        """Connect; return the ends of the client and of the listener."""
        count = len(self.accepted)
        stream = await connect(IP, self.listener.port, traffic=Traffic(), purpose=Purpose.CALLS)
        await until(lambda: len(self.accepted) > count)
        return stream, self.accepted[-1]


class Watched:
    """A connection that is written to, and the rounds for which the kernel took no more of it.

    Besides what it takes at first, the kernel takes some bytes once it has probed the window of the
    other end, some tenths of a second later, which counts as progress.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self._counts = (0, 0)
        self.quiet_rounds = 0

    def count(self) -> None:
        """Count the bytes that it holds, unless it was reset for them."""
        if self.quiet_rounds >= STALLED_ROUNDS:
            return
        before = self._counts
        self._counts = (self._stream.undelivered, self._stream.held)  # type: ignore[attr-defined]
        self.quiet_rounds = self.quiet_rounds + 1 if self._counts == before else 0


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(WAIT_TIMEOUT):
        while True:
            if condition():
                return
            await anyio.sleep(0.002)


def run_listening(max_bytes: int, body: Callable[[Listening], Awaitable[None]]) -> None:
    """Run the body of a test on both kinds of event loop."""

    async def run() -> None:
        listening = Listening(max_bytes, ManualTimers())
        await listening.open()
        await body(listening)
        listening.listener.close()

    for use_uvloop in (False, True):
        anyio.run(run, backend_options={"use_uvloop": use_uvloop})


class HeldBytesTest(unittest.TestCase):
    # Guards against a process out of memory for bytes that callers send and nobody reads.
    def test_the_sum_of_unread_bytes_is_bounded(self) -> None:
        async def body(listening: Listening) -> None:
            ends = [await listening.client() for _ in range(10)]
            for client, _ in ends:
                client.send_nowait(b"x" * (60 * KB))
            await until(lambda: len(listening.resets) >= 6)
            await until(lambda: sum(client.is_lost for client, _ in ends) >= 6)
            self.assertLessEqual(listening.buffers.held, 256 * KB)
            for _, accepted in ends:
                accepted.reset()
            await until(lambda: listening.buffers.held == 0)

        run_listening(256 * KB, body)

    # Guards against a process out of memory for answers that callers do not read.
    def test_the_sum_of_unsent_bytes_is_bounded(self) -> None:
        async def body(listening: Listening) -> None:
            for _ in range(4):
                _, accepted = await listening.client()
                accepted.send_nowait(b"x" * (16 * KB * KB))
            await until(lambda: bool(listening.resets))
            self.assertLessEqual(listening.buffers.held, 24 * KB * KB)
            self.assertEqual({reset.reason for reset in listening.resets}, {"memory"})

        run_listening(24 * KB * KB, body)

    # Guards against answers and descriptors that are held for ever for callers who do not read.
    def test_a_write_without_progress_is_reset(self) -> None:
        async def body(listening: Listening) -> None:
            _, stuck = await listening.client()
            _, closed = await listening.client()
            slow_client, slow = await listening.client()
            unread_client, unread = await listening.client()
            unread_client.send_nowait(b"x" * (20 * KB))  # a long request is in progress
            for accepted in (stuck, closed, slow):
                accepted.send_nowait(b"x" * (16 * KB * KB))
            closed.close()
            watched = [Watched(stuck), Watched(closed)]
            for _ in range(MAX_ROUNDS):
                for each in watched:
                    each.count()
                listening.buffers.reset_stalled()
                stalled = [each for each in watched if each.quiet_rounds >= STALLED_ROUNDS]
                reasons = [reset.reason for reset in listening.resets]
                self.assertEqual(reasons, ["unread_answer"] * len(stalled))
                if len(stalled) == len(watched):
                    break
                await listening.timers.advance(ROUND_S)
                for _ in range(SLOW_READS):
                    await slow_client.receive()
                    await anyio.sleep(0.005)
            self.assertEqual(len(listening.resets), len(watched))
            await until(lambda: stuck.is_lost and closed.is_lost)
            self.assertFalse(slow.is_lost or unread.is_lost)
            unread.reset()
            slow.reset()
            await until(lambda: listening.buffers.held == 0)

        run_listening(256 * KB * KB, body)

    def test_a_connection_that_makes_progress_is_kept(self) -> None:
        async def body(listening: Listening) -> None:
            stuck_client, stuck = await listening.client()
            stuck_client.send_nowait(b"x" * (20 * KB))
            await until(lambda: listening.buffers.held >= 20 * KB)
            client, accepted = await listening.client()
            for _ in range(5):
                await listening.timers.advance(1.0)
                client.send_nowait(b"x" * (50 * KB))
                await until(lambda: accepted.held >= 50 * KB)  # type: ignore[attr-defined]
                self.assertEqual(len(await accepted.receive()), 50 * KB)
            await until(lambda: stuck_client.is_lost)
            self.assertFalse(client.is_lost)
            self.assertEqual([reset.held for reset in listening.resets], [20 * KB])
            await until(lambda: listening.buffers.held == 0)

        run_listening(64 * KB, body)

    def test_bytes_held_outside_count(self) -> None:
        async def body(listening: Listening) -> None:
            _, accepted = await listening.client()
            accepted.hold(60 * KB)
            self.assertEqual(listening.buffers.held, 60 * KB)
            accepted.hold(0)
            self.assertEqual(listening.buffers.held, 0)
            accepted.hold(70 * KB)
            self.assertEqual([reset.held for reset in listening.resets], [70 * KB])
            accepted.hold(80 * KB)  # it was reset, so that nothing is held for it
            self.assertEqual(listening.buffers.held, 0)

        run_listening(64 * KB, body)

    def test_reading_goes_on_after_a_pause(self) -> None:
        async def body(listening: Listening) -> None:
            client, accepted = await listening.client()
            client.send_nowait(b"x" * (2 * KB * KB))
            await until(lambda: listening.buffers.held > 64 * KB)
            await anyio.sleep(0.02)
            self.assertLessEqual(listening.buffers.held, 128 * KB)
            count = 0
            while count < 2 * KB * KB:
                count += len(await accepted.receive())
            self.assertEqual(count, 2 * KB * KB)
            self.assertEqual(listening.buffers.held, 0)

        run_listening(256 * KB, body)


if __name__ == "__main__":
    unittest.main()
