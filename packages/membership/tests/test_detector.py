"""Failure detection on a fake network with a manual clock."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio

from acaciayard_membership import MemberState
from acaciayard_standins import FakeMesh


class DetectorTest(unittest.TestCase):
    def run_mesh(self, body: Callable[[FakeMesh], Awaitable[None]], count: int = 8) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                mesh = FakeMesh(tasks, {f"h{i}": "riga-a" for i in range(count)}, seed=3)
                mesh.start()
                await mesh.advance(6)
                await body(mesh)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def states(self, mesh: FakeMesh, host: str) -> set[int]:
        found = (daemon.members.table.find(host) for daemon in mesh.daemons.values())
        return {member.state for member in found if member is not None}

    def test_datagram_loss_marks_no_member_dead(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            mesh.network.lose_every = 5
            await mesh.advance(60)
            for host in mesh.daemons:
                self.assertNotIn(MemberState.DEAD, self.states(mesh, host))

        self.run_mesh(body)

    def test_restarted_daemon_has_a_greater_incarnation(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            old = mesh.daemons["h3"].members.table.own.incarnation
            mesh.kill("h3")
            mesh.start("h3")
            await mesh.advance(3)
            for daemon in mesh.daemons.values():
                known = daemon.members.table.find("h3")
                assert known is not None
                self.assertGreater(known.incarnation, old)
                self.assertEqual(known.state, MemberState.ALIVE)

        self.run_mesh(body)

    def test_partitioned_daemon_rejoins_after_the_partition_heals(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            mesh.cut_off({"h5"})
            await mesh.advance(30)
            others = [d for host, d in mesh.daemons.items() if host != "h5"]
            for daemon in others:
                self.assertNotIn("h5", [m.host for m in daemon.members.table.present()])
            mesh.heal()
            await mesh.advance(45)
            for daemon in mesh.daemons.values():
                self.assertEqual(daemon.members.table.present_count, 8)

        self.run_mesh(body)

    def test_leaving_daemon_is_marked_left_at_once(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await mesh.daemons["h2"].members.leave()
            await mesh.advance(1.5)
            self.assertEqual(self.states(mesh, "h2"), {MemberState.LEFT})

        self.run_mesh(body)
