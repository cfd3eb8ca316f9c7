"""Tests the limit on the bytes of bodies in flight to a host."""

from __future__ import annotations

import unittest

import anyio

from acaciayard_handover._body_window import BodyWindow, window_for_link


class BodyWindowTest(unittest.TestCase):
    def test_slow_link_limits_bytes_in_flight(self) -> None:
        window = window_for_link(2.5)
        requested = 0
        for _ in range(5):
            transfer = window.open(60_000)
            while size := transfer.try_request():
                requested += size
        self.assertEqual(requested, 16 * 1024)

    def test_fast_link_requests_whole_body_at_once(self) -> None:
        self.assertEqual(window_for_link(1000).open(60_000).try_request(), 60_000)
        self.assertEqual(window_for_link(0).open(60_000).try_request(), 60_000)

    def test_oldest_transfer_takes_precedence(self) -> None:
        async def run() -> None:
            window = BodyWindow(16 * 1024)
            first, second = window.open(60_000), window.open(60_000)
            self.assertEqual(first.try_request(), 12 * 1024)
            self.assertEqual(second.try_request(), 4 * 1024)
            order: list[str] = []

            async def request(name: str, transfer: object) -> None:
                order.append(f"{name} {await transfer.request()}")  # type: ignore[attr-defined]

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(request, "second", second)
                await anyio.wait_all_tasks_blocked()
                tasks.start_soon(request, "first", first)
                await anyio.wait_all_tasks_blocked()
                first.record_received(4 * 1024)
                await anyio.wait_all_tasks_blocked()
                second.record_received(4 * 1024)
            self.assertEqual(order, ["first 4096", "second 4096"])

        anyio.run(run)

    def test_ended_transfer_releases_window(self) -> None:
        async def run() -> None:
            window = BodyWindow(16 * 1024)
            first, second = window.open(60_000), window.open(60_000)
            first.try_request()
            second.try_request()
            third = window.open(5_000)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(third.request)
                await anyio.wait_all_tasks_blocked()
                first.end()
                first.end()
            self.assertEqual(third.in_flight, 5_000)
            third.record_received(5_000)
            second.end()
            self.assertEqual(window.free, 16 * 1024)

        anyio.run(run)

    def test_end_wakes_waiting_transfer(self) -> None:
        async def run() -> None:
            window = BodyWindow(4 * 1024)
            first, second = window.open(60_000), window.open(60_000)
            first.try_request()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(second.request)
                await anyio.wait_all_tasks_blocked()
                second.end()
            self.assertEqual(second.in_flight, 0)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
