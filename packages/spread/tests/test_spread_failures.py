"""Replication guarantees in normal operation and while the log is unavailable."""

from __future__ import annotations

from unittest import mock

from spread_mesh import SpreadTest, service

from acaciayard_spread import (
    FEEDERS,
    Recovery,
    Witnesses,
)
from acaciayard_standins import FakeMesh


class ConvergenceTest(SpreadTest):
    def test_change_is_in_force_everywhere_within_a_second(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(0.2)
            self.assert_everywhere(mesh, 1)

        self.run_mesh(body, count=24)

    def test_only_feeders_read_the_log(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            before = mesh.log.reads
            for number in range(10):
                mesh.propose(f"c{number}", puts=service(f"s{number}"))
                await mesh.advance(1)
            self.assert_everywhere(mesh, 10)
            reads = mesh.log.reads - before
            self.assertLessEqual(reads, 4 * FEEDERS * (10 + 2))

        self.run_mesh(body, count=40)

    def test_datagram_loss_does_not_prevent_convergence(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            mesh.network.lose_every = 4
            mesh.start()
            await mesh.advance(10)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(3)
            self.assert_everywhere(mesh, 1)

        self.run_mesh(body)

    def test_repeated_proposal_makes_one_change(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("a", puts=service("novero"))
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(1)
            self.assert_everywhere(mesh, 1)
            outcomes = [d.spread.holder.state.outcomes["a"] for d in mesh.daemons.values()]
            self.assertEqual({(o.version, o.findings) for o in outcomes}, {(1, ())})

        self.run_mesh(body, count=6)


class LogOutageTest(SpreadTest):
    def test_log_outage_of_a_minute_during_replication(self) -> None:
        """A record that one daemon read before the outage still reaches all daemons."""

        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(0.001)
            mesh.log.is_down = True
            await mesh.advance(60)
            self.assert_everywhere(mesh, 1)
            mesh.log.is_down = False
            mesh.propose("b", puts=service("krajums"))
            await mesh.advance(2)
            self.assert_everywhere(mesh, 2)

        self.run_mesh(body)

    def test_restart_during_a_log_outage_recovers_the_same_version(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(1)
            mesh.log.is_down = True
            mesh.kill("h05")
            await mesh.advance(1)
            mesh.start("h05")
            await mesh.advance(5)
            self.assert_everywhere(mesh, 1)

        self.run_mesh(body)

    def test_restart_during_a_log_outage_keeps_a_version_held_by_three(self) -> None:
        """A daemon recovers a version that only it and two others held before its restart."""

        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            few = {"h00", "h04", "h08"}
            mesh.cut_off(few)
            await mesh.advance(8)
            mesh.propose("a", puts=service("novero"))
            mesh.log.is_down = False
            await mesh.advance(1)
            self.assertEqual({h for h, v in mesh.versions().items() if v == 1} & few, few)
            mesh.log.is_down = True
            mesh.kill("h04")
            mesh.start("h04")
            await mesh.advance(3)
            self.assertIn(mesh.versions()["h04"], (-1, 1))
            mesh.heal()
            await mesh.advance(30)
            self.assert_everywhere(mesh, 1)

        self.run_mesh(body)

    def test_restart_among_lagging_daemons_waits_for_one_that_knows_the_version(self) -> None:
        """The second run recovers without enough answers and returns to an older version."""

        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            few = {"h00", "h04", "h08"}
            mesh.log.unreachable_from = set(mesh.daemons) - few
            mesh.cut_off(few)
            await mesh.advance(8)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(1)
            self.assertEqual({h for h, v in mesh.versions().items() if v == 1}, few)
            mesh.log.is_down = True
            mesh.kill("h04")
            mesh.cut_off(few - {"h04"})
            mesh.start("h04")
            await mesh.advance(20)
            self.assertEqual(mesh.versions()["h04"], -1)
            mesh.heal()
            await mesh.advance(30)
            self.assert_everywhere(mesh, 1)

        self.run_mesh(body)
        with mock.patch.object(Recovery, "_query_members", mock.AsyncMock(return_value=0)):
            with self.assertRaisesRegex(AssertionError, "h04 went back from version 1 to 0"):
                self.run_mesh(body)

    def test_restart_of_all_during_a_log_outage_does_not_serve_and_gives_the_reason(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(1)
            mesh.log.is_down = True
            mesh.kill(*list(mesh.daemons))
            mesh.start()
            await mesh.advance(20)
            self.assert_everywhere(mesh, -1)
            reasons = {d.spread.recovery.state.reason for d in mesh.daemons.values()}
            self.assertTrue(all("not serving so as not to go back" in r for r in reasons), reasons)
            mesh.log.is_down = False
            await mesh.advance(5)
            self.assert_everywhere(mesh, 1)

        self.run_mesh(body)

    def test_version_held_by_one_daemon_is_not_put_in_force(self) -> None:
        """A version in force on one daemon alone is lost by a restart during a log outage.

        The second run requires no witnesses, and the daemon returns to an older version.
        """

        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.log.unreachable_from = set(mesh.daemons) - {"h05"}
            mesh.cut_off({"h05"})
            await mesh.advance(8)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(1)
            self.assertEqual(mesh.daemons["h05"].position, 1)
            mesh.log.is_down = True
            mesh.kill("h05")
            mesh.heal()
            await mesh.advance(20)
            mesh.start("h05")
            await mesh.advance(20)
            self.assert_everywhere(mesh, 0)

        self.run_mesh(body)
        with mock.patch.object(Witnesses, "needed", lambda _: 0):
            with self.assertRaisesRegex(AssertionError, "h05 went back from version 1 to 0"):
                self.run_mesh(body)
