"""The server for probes, reports and metrics."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_http1 import HttpClient, HttpReply, HttpResponse, HttpService, RequestHead
from acaciayard_timers import EventLoopTimers
from acaciayard_wire import Address, Traffic


class HttpServiceTest(unittest.TestCase):
    # Guards against one request whose handler fails, and which ends the whole process.
    def test_failing_handler_ends_its_connection_alone(self) -> None:
        faults: list[Exception] = []
        answered: list[int] = []

        async def handle(head: RequestHead, _body: bytes) -> HttpReply:
            if head.path == b"/bad":
                raise ValueError("bad")
            return HttpReply(200)

        async def run() -> None:
            service = HttpService(handle, traffic=Traffic(), on_fault=faults.append)
            async with anyio.create_task_group() as tasks:
                await service.open("127.0.0.1", 0, tasks)
                address = Address("127.0.0.1", service.port)
                client = HttpClient(address, timers=EventLoopTimers(), traffic=Traffic())
                for path in (b"/", b"/bad", b"/"):
                    response = await client.request(b"GET", path, within=2.0)
                    assert isinstance(response, HttpResponse)
                    answered.append(response.status)
                service.close()
                tasks.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(answered, [200, 500, 200])
        self.assertEqual([str(fault) for fault in faults], ["bad"])


if __name__ == "__main__":
    unittest.main()
