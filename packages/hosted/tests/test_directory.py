"""What a start does when the hosts that are written down do not answer."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from typing import Any

import anyio
import structlog
from attrs import field, frozen
from keyed_standin import KeyedStandIn

from acaciayard_hosted._directory import STREAM, HostDirectory
from acaciayard_timers import ManualTimers
from acaciayard_wire import Address


@frozen
class Own:
    """The record of this host."""

    host: str = "own"
    control: Address = field(factory=lambda: Address("10.0.0.1", 1))


class Table:
    """Knows this host alone."""

    own = Own()
    present_count = 1

    def present(self) -> tuple[Own, ...]:
        return (self.own,)

    def others(self) -> tuple[Own, ...]:
        return ()


class SilentMembers:
    """All hosts that are written down have lost their power: whoever meets them waits."""

    table = Table()

    def __init__(self, timers: ManualTimers) -> None:
        self._timers = timers
        self.asked = 0

    def on_stranger(self, _listener: object) -> None:
        """Nobody comes."""

    async def meet(self, addresses: Iterable[Address]) -> int:
        self.asked += len(list(addresses))
        await self._timers.sleep(60.0)
        return 0


class HostDirectoryTest(unittest.TestCase):
    def test_a_start_does_not_wait_long_for_hosts_without_power(self) -> None:
        async def run() -> None:
            timers = ManualTimers()
            store = KeyedStandIn(timers)
            for number in range(2, 5):
                store.add(STREAM, f"h{number}", f"10.0.0.{number}:1".encode())
            members: Any = SilentMembers(timers)
            log = structlog.wrap_logger(structlog.testing.CapturingLogger())
            directory = HostDirectory(
                store=store, members=members, timers=timers, seed=_Seed(), log=log  # type: ignore
            )
            looked_at: list[float] = []

            async def wait_for_look() -> None:
                await directory.first_look()
                looked_at.append(timers.now())

            async with anyio.create_task_group() as tasks:
                started = timers.now()
                tasks.start_soon(directory.run)
                tasks.start_soon(wait_for_look)
                await timers.advance(1.0)
                tasks.cancel_scope.cancel()
            self.assertGreaterEqual(members.asked, 3)
            self.assertLess(looked_at[0] - started, 0.15)

        anyio.run(run)


class _Seed:
    """Picks all of them."""

    def sample(self, population: list[Address], _count: int) -> list[Address]:
        return population

    def uniform(self, low: float, _high: float) -> float:
        return low


if __name__ == "__main__":
    unittest.main()
