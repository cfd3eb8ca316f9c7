"""Unexpected exceptions of the handlers of a control port."""

from __future__ import annotations

import asyncio
import unittest

import anyio
from attrs import frozen

from acaciayard_wire import (
    Address,
    ControlPort,
    MessageCodec,
    MessageStream,
    Purpose,
    StreamLostError,
    Traffic,
    watch_callbacks,
)


@frozen
class Order:
    """Is handled, or fails."""

    is_bad: bool


class HandlerFaultsTest(unittest.TestCase):
    # Guards against one stream or datagram whose handler fails, and which ends the whole process.
    def test_failing_handler_ends_its_message_alone(self) -> None:
        handled: list[str] = []
        faults: list[Exception] = []

        def handle(order: Order, kind: str) -> None:
            if order.is_bad:
                raise ValueError(kind)
            handled.append(kind)
            if kind == "datagram":
                done.set()

        async def serve(order: Order, stream: MessageStream) -> None:
            handle(order, "stream")
            await stream.send(order)

        async def ask(port: ControlPort, order: Order) -> object:
            stream = await port.connect(port.address, Purpose.MEMBERSHIP)
            try:
                await stream.send(order)
                return await stream.receive()
            finally:
                stream.close()

        done = anyio.Event()

        async def run() -> None:
            port = ControlPort(
                codec=MessageCodec({1: Order}),
                traffic=Traffic(),
                address="127.0.0.1",
                on_fault=faults.append,
            )
            port.on_stream(Order, Purpose.MEMBERSHIP, serve)
            port.on_datagram(Order, lambda order, _sender: handle(order, "datagram"))
            async with anyio.create_task_group() as tasks:
                await port.open(0, tasks)
                with self.assertRaises(StreamLostError):
                    await ask(port, Order(is_bad=True))
                self.assertEqual(await ask(port, Order(is_bad=False)), Order(is_bad=False))
                for is_bad in (True, False):
                    port.send_datagram(Order(is_bad), Address("127.0.0.1", port.address.port))
                with anyio.fail_after(5.0):
                    await done.wait()
                port.close()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(handled, ["stream", "datagram"])
        self.assertEqual([str(fault) for fault in faults], ["stream", "datagram"])

    def test_failing_timer_is_passed_on(self) -> None:
        faults: list[Exception] = []

        def fail() -> None:
            raise ValueError("late")

        async def run() -> None:
            watch_callbacks(faults.append)
            asyncio.get_running_loop().call_soon(fail)
            await anyio.sleep(0.01)

        for use_uvloop in (False, True):
            anyio.run(run, backend_options={"use_uvloop": use_uvloop})
        self.assertEqual([str(fault) for fault in faults], ["late", "late"])


if __name__ == "__main__":
    unittest.main()
