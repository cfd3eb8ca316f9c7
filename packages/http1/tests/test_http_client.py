"""Tests of the client's connections: kept, new, and those that fall silent without a reset."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from acaciayard_http1 import HttpClient, HttpResponse, Unanswered
from acaciayard_timers import EventLoopTimers
from acaciayard_wire import Address, Traffic

#: Timeout of a request, in seconds.
WITHIN = 0.3


class Server:
    """Answers each request with the number of its connection, unless that has been silenced."""

    def __init__(self) -> None:
        self._opened = 0
        self._silent_up_to = 0
        self._pause = 0.05
        #: Bytes sent behind each response.
        self.surplus = b""

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    def silence_standing(self) -> None:
        """Answer nothing any more on the connections that stand."""
        self._silent_up_to = self._opened

    async def open(self, tasks: anyio.abc.TaskGroup) -> Address:
        """Listen; returns the address."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        tasks.start_soon(listener.serve, self._serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        return Address("127.0.0.1", port)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        self._opened += 1
        number = self._opened
        async with stream:
            try:
                while await stream.receive():
                    await anyio.sleep(self._pause)
                    if number > self._silent_up_to:
                        body = b"%d" % number
                        await stream.send(
                            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s"
                            % (len(body), body, self.surplus)
                        )
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return


class HttpClientTest(unittest.TestCase):
    def run_client(self, body: Callable[[HttpClient, Server], Awaitable[None]]) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                server = Server()
                address = await server.open(tasks)
                client = HttpClient(address, timers=EventLoopTimers(), traffic=Traffic())
                await body(client, server)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    @staticmethod
    async def ask(client: HttpClient, *, is_fresh: bool = False) -> object:
        return await client.request(b"GET", b"/", within=WITHIN, is_fresh=is_fresh)

    async def keep_two(self, client: HttpClient) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(self.ask, client)

    def test_request_after_an_unanswered_one_uses_no_connection_that_stood(self) -> None:
        """Guards against repeats on a second kept connection that fell silent with the first."""

        async def body(client: HttpClient, server: Server) -> None:
            await self.keep_two(client)
            server.silence_standing()
            self.assertIsInstance(await self.ask(client), Unanswered)
            answer = await self.ask(client)
            assert isinstance(answer, HttpResponse)
            self.assertEqual(answer.body, b"3")

        self.run_client(body)

    def test_connection_proved_since_is_kept(self) -> None:
        async def body(client: HttpClient, server: Server) -> None:
            await self.keep_two(client)
            server.silence_standing()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.ask, client)
                await self.ask(client, is_fresh=True)
            answer = await self.ask(client)
            assert isinstance(answer, HttpResponse)
            self.assertEqual(answer.body, b"3")
            self.assertEqual(server.opened, 3)

        self.run_client(body)

    def test_connection_with_bytes_behind_its_response_is_not_kept(self) -> None:
        """Guards against a response that is taken for that to the next request."""

        async def body(client: HttpClient, server: Server) -> None:
            server.surplus = b"HTTP/1.1 503 S\r\nDate: "
            for number in (b"1", b"2"):
                answer = await self.ask(client)
                assert isinstance(answer, HttpResponse)
                self.assertEqual((answer.status, answer.body), (200, number))

        self.run_client(body)

    def test_fresh_request_uses_no_kept_connection(self) -> None:
        async def body(client: HttpClient, server: Server) -> None:
            await self.ask(client)
            answer = await self.ask(client, is_fresh=True)
            assert isinstance(answer, HttpResponse)
            self.assertEqual(answer.body, b"2")

        self.run_client(body)


if __name__ == "__main__":
    unittest.main()
