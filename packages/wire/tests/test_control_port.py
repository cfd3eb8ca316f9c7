"""Datagrams of a control port on the event loop of the daemons."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
from attrs import frozen

from acaciayard_wire import Address, ControlPort, MessageCodec, Traffic

#: More bytes than a datagram takes.
TOO_LARGE = 70_000
NOWHERE = Address("127.0.0.1", 0)


@frozen
class Note:
    """A datagram with some content."""

    content: bytes


class FullSocket:
    """A socket that has no room."""

    def sendto(self, _data: bytes, _address: tuple[str, int]) -> int:
        raise BlockingIOError


class ControlPortTest(unittest.TestCase):
    def setUp(self) -> None:
        self.faults: list[Exception] = []
        self.heard: list[bytes] = []

    def run_port(self, body: Callable[[ControlPort], Awaitable[None]]) -> None:
        """Run a test with a port on `uvloop`, and end it once a good datagram has arrived."""

        async def run() -> None:
            arrived = anyio.Event()

            def take(note: Note, _sender: Address) -> None:
                self.heard.append(note.content)
                arrived.set()

            port = ControlPort(
                codec=MessageCodec({1: Note}),
                traffic=Traffic(),
                address="127.0.0.1",
                on_fault=self.faults.append,
            )
            port.on_datagram(Note, take)
            async with anyio.create_task_group() as tasks:
                await port.open(0, tasks)
                await body(port)
                port.send_datagram(Note(b"good"), port.address)
                with anyio.fail_after(5.0):
                    await arrived.wait()
                port.close()
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})
        self.assertEqual(self.heard, [b"good"])

    # Guards against one datagram that cannot be sent, after which the daemon sent and heard none.
    def test_datagrams_go_on_after_one_that_cannot_be_sent(self) -> None:
        async def body(port: ControlPort) -> None:
            for _ in range(2):
                port.send_datagram(Note(b"to no port"), NOWHERE)
                port.send_datagram(Note(bytes(TOO_LARGE)), port.address)
                await anyio.sleep(0.02)
            self.assertEqual(port.unsent, 4)

        self.run_port(body)
        self.assertEqual(len(self.faults), 2)

    def test_socket_that_the_loop_has_closed_is_opened_again(self) -> None:
        async def body(port: ControlPort) -> None:
            assert port._datagrams is not None
            before = port.address
            transport = port._datagrams._transport
            assert transport is not None
            transport.sendto(b"x", (NOWHERE.ip, NOWHERE.port))
            await anyio.sleep(0.05)
            self.assertEqual(port.address, before)

        self.run_port(body)
        self.assertEqual(len(self.faults), 1)

    def test_datagram_waits_while_the_socket_has_no_room(self) -> None:
        async def body(port: ControlPort) -> None:
            assert port._datagrams is not None
            port._datagrams._channel = FullSocket()  # type: ignore[assignment]

        self.run_port(body)
        self.assertEqual((self.faults, self.heard), ([], [b"good"]))


if __name__ == "__main__":
    unittest.main()
