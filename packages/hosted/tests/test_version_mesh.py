"""Tests that versions are in force everywhere in time at the cost of few calls to the store.

The load is that of a mesh of six failure domains, whose store is priced by the call and may be
unresponsive or answer only some hosts, or whose daemons all start at once. Versions must be in
force everywhere within three seconds of their acknowledgement, or of the end of an outage.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
from version_mesh import VersionMesh

#: Seconds within which a version must be in force everywhere.
BOUND = 3.0
COUNT = 18
DOMAINS = 6


class VersionMeshTest(unittest.TestCase):
    def run_mesh(
        self,
        body: Callable[[VersionMesh], Awaitable[None]],
        *,
        count: int = COUNT,
        domains: int = DOMAINS,
        seed: int = 1,
    ) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                mesh = VersionMesh(tasks, count=count, domains=domains, seed=seed)
                await mesh.timers.advance(5.0)
                await body(mesh)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_a_quiet_minute_costs_one_call_a_second(self) -> None:
        """Six readers that poll every 1.5 s would make an estimated 240 calls."""

        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            await mesh.timers.advance(3.0)
            before = mesh.store.calls
            await mesh.timers.advance(60.0)
            self.assertLess(mesh.store.calls - before, 90)

        self.run_mesh(body)

    def test_a_start_of_all_costs_little_more_than_a_call_each(self) -> None:
        """Guards against 290 calls, when each daemon wrote its entry and polled for a version."""

        async def body(mesh: VersionMesh) -> None:
            self.assertLess(mesh.store.calls, 175)
            listed = sum(d.members.table.own.is_listed for d in mesh.daemons.values())
            self.assertGreaterEqual(listed, 12)
            for daemon in mesh.daemons.values():
                self.assertEqual(daemon.members.table.present_count, 48)

        self.run_mesh(body, count=48)

    def test_the_first_version_reaches_those_that_do_not_read(self) -> None:
        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            self.assertLess(await mesh.in_force_within(1, BOUND), 1.0)

        self.run_mesh(body)

    def test_rapid_versions_reach_all_daemons(self) -> None:
        async def body(mesh: VersionMesh) -> None:
            before = mesh.store.calls
            for version in range(1, 41):
                mesh.publish(version)
                await mesh.timers.advance(0.1)
            self.assertLess(await mesh.in_force_within(40, BOUND), 1.0)
            self.assertLess(mesh.store.calls - before, 100)

        self.run_mesh(body)

    def test_after_a_silent_store_a_version_is_in_force_in_time(self) -> None:
        for seconds in (0.5, 2.0, 4.0, 9.0):
            for seed in (1, 2):
                with self.subTest(seconds=seconds, seed=seed):
                    self.run_mesh(lambda mesh, s=seconds: self.after_silence(mesh, s), seed=seed)

    async def after_silence(self, mesh: VersionMesh, seconds: float) -> None:
        mesh.publish(1)
        await mesh.timers.advance(4.3)
        mesh.silent.update(mesh.daemons)
        await mesh.timers.advance(seconds)
        mesh.silent.clear()
        mesh.publish(2)
        self.assertLess(await mesh.in_force_within(2, BOUND), BOUND)

    def test_unanswered_lead_delays_no_other_daemon(self) -> None:
        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            await mesh.timers.advance(4.3)
            first = mesh.lead
            mesh.silent.add(first)
            mesh.publish(2)
            self.assertLess(await mesh.in_force_within(2, BOUND), 1.5)
            await mesh.timers.advance(5.0)
            self.assertNotEqual(mesh.lead, first)
            mesh.publish(3)
            self.assertLess(await mesh.in_force_within(3, BOUND), 1.5)

        self.run_mesh(body)

    def test_versions_while_a_third_of_the_hosts_get_no_answer(self) -> None:
        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            await mesh.timers.advance(4.3)
            mesh.silent.update(host for n, host in enumerate(mesh.daemons) if n % 3 == 0)
            for version in range(2, 8):
                mesh.publish(version)
                self.assertLess(await mesh.in_force_within(version, BOUND), BOUND)
                await mesh.timers.advance(1.1)

        self.run_mesh(body)

    def test_one_domain_alone_has_a_lead(self) -> None:
        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            self.assertLess(await mesh.in_force_within(1, BOUND), 1.0)
            self.assertIn(mesh.lead, mesh.daemons)

        self.run_mesh(body, count=4, domains=1)


if __name__ == "__main__":
    unittest.main()
