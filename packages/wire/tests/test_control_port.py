"""Datagrams of a control port on the event loop of the daemons."""

from __future__ import annotations

import unittest

import anyio
from attrs import frozen

from acaciayard_wire import Address, ControlPort, MessageCodec, Traffic

#: More bytes than a datagram takes.
TOO_LARGE = 70_000


@frozen
class Note:
    """A datagram with some content."""

    content: bytes


class ControlPortTest(unittest.TestCase):
    # Guards against one datagram that cannot be sent, after which the daemon sent and heard none.
    def test_datagrams_go_on_after_one_that_cannot_be_sent(self) -> None:
        faults: list[Exception] = []
        heard: list[bytes] = []
        arrived = anyio.Event()

        def take(note: Note, _sender: Address) -> None:
            heard.append(note.content)
            arrived.set()

        async def run() -> None:
            port = ControlPort(
                codec=MessageCodec({1: Note}),
                traffic=Traffic(),
                address="127.0.0.1",
                on_fault=faults.append,
            )
            port.on_datagram(Note, take)
            async with anyio.create_task_group() as tasks:
                await port.open(0, tasks)
                nowhere = Address("127.0.0.1", 0)
                for _ in range(2):
                    port.send_datagram(Note(b"to no port"), nowhere)
                    port.send_datagram(Note(bytes(TOO_LARGE)), port.address)
                    await anyio.sleep(0.02)
                port.send_datagram(Note(b"good"), port.address)
                with anyio.fail_after(5.0):
                    await arrived.wait()
                self.assertEqual(port.unsent, 4)
                port.close()
                tasks.cancel_scope.cancel()

        anyio.run(run, backend_options={"use_uvloop": True})
        self.assertEqual(heard, [b"good"])
        self.assertEqual(len(faults), 2)


if __name__ == "__main__":
    unittest.main()
