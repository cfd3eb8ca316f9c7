"""Tests of departures that the platform's store keeps, with its faults and those of daemons."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import structlog
from keyed_standin import KeyedStandIn

from acaciayard_admission import DEPARTURE_RETENTION_SECONDS, Announcement, LocalTargets
from acaciayard_callmodel import NotRun
from acaciayard_hosted._departure_messages import DEPARTURE_STREAM, departure_key
from acaciayard_hosted._departures import DepartureStore
from acaciayard_hosted._eras import EraGuard
from acaciayard_hosted._expired_departures import ExpiredDepartures
from acaciayard_membership import MEMBER_CODEC, Departure, Member, MemberState, MemberTable
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import Address, Traffic

#: A time longer than any timeout of a start, in seconds.
LONG_S = 40.0


class Port:
    """Delivers datagrams between the daemons of a test at once."""

    def __init__(self, ports: dict[Address, Port], own: Address) -> None:
        self._ports = ports
        self._own = own
        self._handlers: dict[type, Callable[[Any, Address], None]] = {}
        ports[own] = self

    def on_datagram(self, message: type, handler: Callable[[Any, Address], None]) -> None:
        self._handlers[message] = handler

    def send_datagram(self, message: object, address: Address) -> None:
        port = self._ports.get(address)
        if port is not None:
            port._handlers[type(message)](message, self._own)


class Members:
    """The members as one daemon knows them."""

    def __init__(self, table: MemberTable) -> None:
        self.table = table

    def flush(self) -> None:
        """Ignored: tests merge records themselves."""


class Daemon:
    """One process of the daemon of a host, as far as departures are concerned."""

    def __init__(self, mesh: Mesh, number: int) -> None:
        self.table = MemberTable(mesh.member(number), mesh.timers)
        self.departures: DepartureStore | None = None
        self.targets = LocalTargets(
            timers=mesh.timers,
            pause=PauseDetector(mesh.timers, threshold=5.0),
            traffic=Traffic(),
            host=f"h{number}",
            publish=self.table.set_targets,
            is_settled=False,
            on_departures=self._publish,
        )
        log = structlog.wrap_logger(structlog.testing.CapturingLogger())
        guard = EraGuard(mesh.stores[number], log=log)
        members: Any = Members(self.table)
        port: Any = Port(mesh.ports, self.table.own.control)
        self.departures = DepartureStore(
            store=guard,
            targets=self.targets,
            members=members,
            port=port,
            timers=mesh.timers,
            seed=random.Random(number),
            log=log,
        )
        guard.on_change(self.departures.note_era)
        self.expired = ExpiredDepartures(
            store=guard, timers=mesh.timers, log=log, leads=lambda: True
        )

    def _publish(self, departures: tuple[Departure, ...]) -> None:
        if self.departures is not None:
            self.departures.publish(departures)

    def announce(self, name: str, sequence: int) -> None:
        """Have a target report that it is ready."""
        self.targets.announce(
            Announcement("a", name, Address("127.0.0.1", 80), 2, 9, sequence=sequence)
        )

    @property
    def admits(self) -> bool:
        """Whether a call is admitted to a target."""
        target = self.targets.pick("a")
        admitted = target.gate.try_enter(0, 1e9) if target is not None else None
        return admitted is not None and not isinstance(admitted, NotRun)


class Turned(KeyedStandIn):
    """The store as a daemon sees it, which it may turn away."""

    def __init__(self, timers: ManualTimers, store: KeyedStandIn) -> None:
        super().__init__(timers)
        self._store = store

    async def put(self, *arguments: Any, **options: Any) -> Any:
        return await (super() if self.is_down else self._store).put(*arguments, **options)

    async def newest(self, stream: str) -> Any:
        return await (super() if self.is_down else self._store).newest(stream)


class Mesh:
    """A store, and the daemons of some hosts."""

    def __init__(self) -> None:
        self.timers = ManualTimers(start=1000.0)
        self.store = KeyedStandIn(self.timers)
        self.stores = {number: Turned(self.timers, self.store) for number in (1, 2)}
        self.ports: dict[Address, Port] = {}
        self._incarnation = 0

    def member(self, number: int) -> Member:
        """The first record of the next process of a host."""
        self._incarnation += 1
        return Member(
            f"h{number}", self._incarnation, 0, MemberState.ALIVE, "d", f"10.0.0.{number}", 1, 2, 3
        )

    def kept(self) -> int:
        """How many departures the store holds."""
        newest = {record.key: record.value for record in self.store.records(DEPARTURE_STREAM)}
        return sum(bool(value) for value in newest.values())


def exchange(one: Daemon, other: Daemon) -> None:
    """Let two daemons learn each other's records."""
    for table, source in ((one.table, other.table), (other.table, one.table)):
        for host in ("h1", "h2"):
            member = source.find(host)
            if member is not None:
                table.merge(MEMBER_CODEC.encode(member))


class DepartureStoreTest(unittest.TestCase):
    def run_mesh(self, body: Callable[[Mesh, anyio.abc.TaskGroup], Awaitable[None]]) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await body(Mesh(), tasks)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    async def start(self, mesh: Mesh, number: int, tasks: anyio.abc.TaskGroup) -> Daemon:
        daemon = Daemon(mesh, number)
        assert daemon.departures is not None
        tasks.start_soon(daemon.departures.run)
        await mesh.timers.advance(0.1)
        return daemon

    async def acknowledged(self, mesh: Mesh, daemon: Daemon, name: str) -> bool:
        """Whether a departure is acknowledged while a second passes."""
        results: list[bool] = []

        async def wait() -> None:
            assert daemon.departures is not None
            results.append(await daemon.departures.wait_stored(name))

        async with anyio.create_task_group() as waiting:
            waiting.start_soon(wait)
            await mesh.timers.advance(1.0)
        return results[0]

    def test_next_process_knows_it_by_the_store_alone(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            first = await self.start(mesh, 1, tasks)
            first.announce("t1", 1)
            first.targets.leave("t1")
            self.assertTrue(await self.acknowledged(mesh, first, "t1"))
            for _ in range(2):
                again = await self.start(mesh, 1, tasks)
                again.announce("t1", 2)
                self.assertFalse(again.admits)
                again.announce("t2", 1)
                self.assertTrue(again.admits)

        self.run_mesh(body)

    def test_nothing_is_acknowledged_while_the_store_is_out(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            first = await self.start(mesh, 1, tasks)
            first.announce("t1", 1)
            mesh.store.is_down = True
            first.targets.leave("t1")
            self.assertFalse(first.admits)
            self.assertFalse(await self.acknowledged(mesh, first, "t1"))
            mesh.store.is_down = False
            self.assertTrue(await self.acknowledged(mesh, first, "t1"))

        self.run_mesh(body)

    def test_another_daemon_writes_for_one_that_the_store_turns_away(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            first = await self.start(mesh, 1, tasks)
            exchange(first, await self.start(mesh, 2, tasks))
            mesh.stores[1].is_down = True
            first.announce("t1", 1)
            first.targets.leave("t1")
            self.assertTrue(await self.acknowledged(mesh, first, "t1"))
            self.assertEqual(mesh.kept(), 1)

        self.run_mesh(body)

    def test_start_without_the_store_relies_on_what_others_recall(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            first, other = await self.start(mesh, 1, tasks), await self.start(mesh, 2, tasks)
            first.announce("t1", 1)
            first.targets.leave("t1")
            exchange(first, other)
            mesh.store.is_down = True
            again = await self.start(mesh, 1, tasks)
            again.announce("t2", 1)
            exchange(again, other)
            self.assertFalse(again.admits)  # the store may know more
            await mesh.timers.advance(1.0)
            self.assertTrue(again.admits)
            again.targets.withdraw("t2", "gone")
            again.announce("t1", 2)
            self.assertFalse(again.admits)

        self.run_mesh(body)

    def test_what_others_recall_survives_a_start_that_is_killed_at_once(self) -> None:
        """Guards against targets without calls for as long as the store is out."""

        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            first, other = await self.start(mesh, 1, tasks), await self.start(mesh, 2, tasks)
            first.announce("t1", 1)
            first.targets.leave("t1")
            exchange(first, other)
            mesh.store.is_down = True
            exchange(await self.start(mesh, 1, tasks), other)
            again = await self.start(mesh, 1, tasks)
            again.announce("t2", 1)
            exchange(again, other)
            await mesh.timers.advance(1.0)
            self.assertTrue(again.admits)
            again.targets.withdraw("t2", "gone")
            again.announce("t1", 2)
            self.assertFalse(again.admits)

        self.run_mesh(body)

    def test_start_that_nobody_recalls_admits_calls_once_late_reports_have_come(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            mesh.store.is_down = True
            first, other = await self.start(mesh, 1, tasks), await self.start(mesh, 2, tasks)
            exchange(first, other)
            again = await self.start(mesh, 1, tasks)
            exchange(again, other)  # what it recalls was not complete
            again.announce("t1", 1)
            await mesh.timers.advance(5.0)
            self.assertFalse(again.admits)
            await mesh.timers.advance(LONG_S)
            self.assertTrue(again.admits)

        self.run_mesh(body)

    def test_store_that_comes_back_older_gets_it_again(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            first = await self.start(mesh, 1, tasks)
            copy = mesh.store.copy()
            first.targets.leave("t1")
            self.assertTrue(await self.acknowledged(mesh, first, "t1"))
            mesh.store.rewind(copy)
            self.assertEqual(mesh.kept(), 0)
            first.targets.leave("t2")  # the answer tells the new era
            self.assertTrue(await self.acknowledged(mesh, first, "t2"))
            await mesh.timers.advance(1.0)
            self.assertEqual(mesh.kept(), 2)

        self.run_mesh(body)

    def test_it_is_kept_while_its_target_is_heard_of_and_dropped_after(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            first = await self.start(mesh, 1, tasks)
            gone = await self.start(mesh, 2, tasks)
            tasks.start_soon(first.expired.run)
            gone.targets.leave("t2")
            self.assertTrue(await self.acknowledged(mesh, gone, "t2"))
            first.targets.leave("t1")
            for _ in range(60):
                first.announce("t1", 1)
                await mesh.timers.advance(DEPARTURE_RETENTION_SECONDS / 20)
            self.assertEqual(mesh.kept(), 1)
            for _ in range(60):
                await mesh.timers.advance(DEPARTURE_RETENTION_SECONDS / 20)
            self.assertEqual(mesh.kept(), 0)

        self.run_mesh(body)

    def test_records_of_other_writers_bar_no_target(self) -> None:
        async def body(mesh: Mesh, tasks: anyio.abc.TaskGroup) -> None:
            for key in ("", "x", departure_key("h1", "t1")):
                for value in (b"\xff", b"{}", b"\x95\x01\xa2h1\xa2t1\x01", b"\x91\x07"):
                    mesh.store.add(DEPARTURE_STREAM, key, value)
            first = await self.start(mesh, 1, tasks)
            first.announce("t1", 1)
            self.assertTrue(first.admits)

        self.run_mesh(body)


if __name__ == "__main__":
    unittest.main()
