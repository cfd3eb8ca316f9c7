"""Replication guarantees through restarts, partitions, races and expired records."""

from __future__ import annotations

from unittest import mock

from spread_mesh import SpreadTest, hosts, service

from acaciayard_resources import (
    Deletion,
    Put,
    ResourceKey,
    Route,
    encode_record,
    snapshot_of,
)
from acaciayard_spread import (
    CONFIGURATION_STREAM,
    FEEDERS,
    SessionManager,
    SnapshotSettings,
)
from acaciayard_standins import FakeMesh


class RestartTest(SpreadTest):
    def test_mass_restart_reads_the_log_per_failure_domain(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            for number in range(5):
                mesh.propose(f"c{number}", puts=service(f"s{number}"))
            await mesh.advance(1)
            self.assert_everywhere(mesh, 5)
            before = mesh.log.reads
            mesh.kill(*list(mesh.daemons))
            mesh.start()
            await mesh.advance(5)
            self.assert_everywhere(mesh, 5)
            self.assertLessEqual(mesh.log.reads - before, 4 * FEEDERS * 6)

        self.run_mesh(body, count=48)

    def test_feeder_killed_during_replication(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            for number in range(6):
                mesh.propose(f"c{number}", puts=service(f"s{number}"))
                await mesh.advance(0.002)
                feeders = [h for h, d in mesh.daemons.items() if d.spread.is_feeder]
                mesh.kill(feeders[number % len(feeders)])
                await mesh.advance(3)
                self.assert_everywhere(mesh, number + 1)

        self.run_mesh(body, count=24)

    def test_partitioned_domain_rejoins(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            domain = [h for h, d in hosts(16).items() if d == "jelgava"]
            mesh.cut_off(domain)
            await mesh.advance(300)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(3)
            self.assert_everywhere(mesh, 1)
            mesh.heal()
            await mesh.advance(30)
            known = {len(d.members.table.present()) for d in mesh.daemons.values()}
            self.assertEqual(known, {16})
            mesh.propose("b", puts=service("krajums"))
            await mesh.advance(1)
            self.assert_everywhere(mesh, 2)

        self.run_mesh(body, count=16)

    def test_unreachable_peer_is_no_longer_a_witness(self) -> None:
        """A host that loses power closes no stream; its acknowledgements must not count later."""

        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            spread = next(d.spread for d in mesh.daemons.values() if d.spread.is_feeder)
            downstream = spread.peers - set(spread.links.upstream)
            self.assertTrue(downstream)
            mesh.cut_off(downstream)
            await mesh.advance(9)
            self.assertFalse(downstream & spread.peers)

        self.run_mesh(body, count=24)
        with (
            mock.patch.object(SessionManager, "_close_sessions"),
            self.assertRaises(AssertionError),
        ):
            self.run_mesh(body, count=24)

    def test_failed_daemon_is_detected_within_seconds(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.kill("h07")
            await mesh.advance(8)
            for daemon in mesh.daemons.values():
                self.assertNotIn("h07", [m.host for m in daemon.members.table.present()])

        self.run_mesh(body)


class RaceTest(SpreadTest):
    def test_concurrent_changes_have_the_same_outcomes_everywhere(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("base", puts=service("novero"))
            await mesh.advance(1)
            mesh.propose("one", puts=service("novero", revision=1, objective_ms=100.0))
            mesh.propose("two", puts=service("novero", revision=1, objective_ms=200.0))
            route = Put(Route(name="r", service="novero"), 0)
            mesh.propose("routed", puts=(route,))
            gone = Deletion(ResourceKey("service", "novero"), 2)
            mesh.propose("deleted", deletions=(gone,))
            await mesh.advance(1)
            self.assert_everywhere(mesh, 4)
            for daemon in mesh.daemons.values():
                outcomes = daemon.spread.holder.state.outcomes
                accepted = {name: o.is_accepted for name, o in outcomes.items()}
                expected = {"one": True, "two": False, "routed": True, "deleted": False}
                self.assertEqual(accepted, {"base": True, **expected})

        self.run_mesh(body)


class RetentionTest(SpreadTest):
    SNAPSHOTS = SnapshotSettings(every_records=5, every_seconds=20.0, look_every=1.0)

    def test_cold_start_from_a_snapshot_after_records_expired(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            for number in range(12):
                mesh.propose(f"c{number}", puts=service(f"s{number}"))
                await mesh.advance(2)
            version = next(iter(mesh.versions().values()))
            last = mesh.daemons["h00"].spread.holder.state.last_snapshot
            self.assertGreater(last, 5)
            mesh.kill(*list(mesh.daemons))
            mesh.log.expire_before(CONFIGURATION_STREAM, last - 2)
            mesh.start()
            await mesh.advance(5)
            self.assert_everywhere(mesh, version)

        self.run_mesh(body, count=6, snapshots=self.SNAPSHOTS)

    def test_late_snapshot_of_a_paused_writer_is_harmless(self) -> None:
        """The late snapshot holds an old state and follows snapshots of newer ones."""

        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("first", puts=service("first"))
            await mesh.advance(2)
            old = encode_record(snapshot_of(mesh.daemons["h00"].spread.holder.state))
            for number in range(12):
                mesh.propose(f"c{number}", puts=service(f"s{number}"))
                await mesh.advance(2)
            mesh.log.put(CONFIGURATION_STREAM, old)
            await mesh.advance(2)
            version = next(iter(mesh.versions().values()))
            self.assert_everywhere(mesh, version)
            last = mesh.daemons["h00"].spread.holder.state.last_snapshot
            mesh.kill(*list(mesh.daemons))
            mesh.log.expire_before(CONFIGURATION_STREAM, last - 8)
            mesh.start()
            await mesh.advance(6)
            self.assert_everywhere(mesh, version)

        self.run_mesh(body, count=6, snapshots=self.SNAPSHOTS)

    def test_fully_expired_stream_gets_a_new_snapshot(self) -> None:
        async def body(mesh: FakeMesh) -> None:
            await self.start_mesh(mesh)
            mesh.propose("a", puts=service("novero"))
            await mesh.advance(3)
            mesh.log.is_down = True
            await mesh.advance(60)
            head = mesh.log.bounds_now(CONFIGURATION_STREAM).head
            mesh.log.expire_before(CONFIGURATION_STREAM, head)
            mesh.log.is_down = False
            await mesh.advance(30)
            self.assertGreater(mesh.log.bounds_now(CONFIGURATION_STREAM).head, head)
            mesh.kill(*list(mesh.daemons))
            mesh.start()
            await mesh.advance(5)
            self.assert_everywhere(mesh, 1)

        self.run_mesh(body, count=6, snapshots=self.SNAPSHOTS)
