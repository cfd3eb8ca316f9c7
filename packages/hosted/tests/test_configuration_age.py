"""Tests that the age of each daemon's configuration is bounded while readers of the store fail.

A version that the store has acknowledged must be in force on every daemon within two seconds, and
on 99 in 100 within one, as long as the store answers any daemon on a new connection.
"""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

import anyio
from age_record import AgeRecord
from version_mesh import VersionMesh

#: Seconds within which a version must be in force everywhere.
BOUND = 2.0
#: Seconds within which it must be in force for `MOST` of all versions and daemons.
USUAL_BOUND = 1.0
MOST = 0.99
#: Seconds between two versions, and the number of versions of a run.
PACE = 0.6
VERSIONS = 28

#: Reads of a calm minute in three failure domains that polled each 1.5 s, 8 s and 8 s.
CALM_READS = 56

#: Every datagram of this number is lost, and the most daemons that may read then in three domains.
LOSE_EVERY = 10
MOST_READERS = 6

Fault = Callable[[VersionMesh, int], None]


def run_ages(
    fault: Fault, *, count: int = 9, domains: int = 3, seed: int = 1, versions: int = VERSIONS
) -> AgeRecord:
    """Publish versions; `fault` is called before each one, with its number from 0."""
    records: list[AgeRecord] = []

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            mesh = VersionMesh(tasks, count=count, domains=domains, seed=seed)
            mesh.publish(1)
            await mesh.timers.advance(5.0)
            record = AgeRecord(mesh)
            records.append(record)
            record.begin()
            for number in range(versions):
                fault(mesh, number)
                await mesh.timers.advance(PACE / 2)
                record.publish()
                await mesh.timers.advance(PACE / 2)
            await mesh.timers.advance(BOUND)
            record.end()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return records[0]


def no_fault(_mesh: VersionMesh, _number: int) -> None:
    """Leave all as it is."""


def standing_connections_fall_silent(mesh: VersionMesh, number: int) -> None:
    """Silence all connections three times; new ones work."""
    if number in (3, 11, 20):
        mesh.silence_standing(mesh.daemons)


def six_of_nine_get_no_answer(mesh: VersionMesh, number: int) -> None:
    """Cut off six daemons for six seconds, the readers first."""
    if number == 5:
        others = [host for host in mesh.daemons if host not in mesh.readers]
        mesh.silent.update((mesh.readers + others)[:6])
    elif number == 15:
        mesh.silent.clear()


def all_but_one_get_no_answer(mesh: VersionMesh, number: int) -> None:
    """Cut off all daemons but one that does not read."""
    if number == 5:
        last = next(host for host in mesh.daemons if host not in mesh.readers)
        mesh.silent.update(host for host in mesh.daemons if host != last)
    elif number == 15:
        mesh.silent.clear()


def readers_are_cut_off_in_turn(mesh: VersionMesh, number: int) -> None:
    """Cut off whoever leads, one daemon after the other, until two are left."""
    left = [host for host in mesh.daemons if host not in mesh.silent]
    leads = [host for host in mesh.readers if host in left]
    if number % 2 == 0 and len(left) > 2 and leads:
        mesh.silent.add(leads[0])


#: Kinds of faults by name.
FAULTS: dict[str, Fault] = {
    "none": no_fault,
    "standing connections silent": standing_connections_fall_silent,
    "six of nine unanswered": six_of_nine_get_no_answer,
    "all but one unanswered": all_but_one_get_no_answer,
    "readers unanswered in turn": readers_are_cut_off_in_turn,
}


class ConfigurationAgeBoundTest(unittest.TestCase):
    maxDiff = None

    def check(self, fault: Fault, **mesh: int) -> str:
        """Return what is wrong with the ages under a fault, empty if nothing is."""
        record = run_ages(fault, **mesh)
        late = record.share_above(USUAL_BOUND)
        if record.worst.seconds > BOUND or late > 1 - MOST:
            return f"worst {record.worst}, {late:.1%} above {USUAL_BOUND:g} s"
        return f"went back on {record.regressed}" if record.regressed else ""

    def test_versions_are_in_force_in_time_whichever_readers_fail(self) -> None:
        """Guards against versions held up by silent connections of the daemons that read."""
        wrong = {
            f"{name}, seed {seed}": found
            for name, fault in FAULTS.items()
            for seed in (1, 2, 3)
            if (found := self.check(fault, seed=seed))
        }
        self.assertEqual(wrong, {})

    def run_mesh(
        self, body: Callable[[VersionMesh], Awaitable[None]], *, count: int = 9, seed: int = 1
    ) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                mesh = VersionMesh(tasks, count=count, domains=3, seed=seed)
                mesh.publish(1)
                await mesh.timers.advance(5.0)
                await body(mesh)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_version_reaches_the_domain_of_a_feeder_that_has_ended(self) -> None:
        """Guards against pushes to a feeder that is gone, but not known to be."""

        async def body(mesh: VersionMesh) -> None:
            for feeder in mesh.readers[1:]:
                mesh.kill(feeder)
            mesh.publish(2)
            self.assertLess(await mesh.in_force_within(2, BOUND), USUAL_BOUND)

        for seed in range(1, 6):
            self.run_mesh(body, count=24, seed=seed)

    def test_stream_that_goes_silent_delays_no_version(self) -> None:
        """Guards against a wait for one daemon's reply while others could be asked."""

        async def body(mesh: VersionMesh) -> None:
            behind, silent = [host for host in mesh.daemons if host not in mesh.readers][:2]
            mesh.network.cut_off({mesh.daemons[silent].port.ip})
            relay = mesh.daemons[behind].relay
            relay.note_ahead(silent, 2)  # by its last datagram
            await mesh.timers.advance(0.5)
            mesh.network.lose_every = 1
            mesh.publish(2)
            await mesh.timers.advance(0.1)
            mesh.network.lose_every = 0
            started = mesh.timers.now()
            relay.note_ahead(mesh.lead, 2)
            while mesh.daemons[behind].versions.version < 2 and mesh.timers.now() < started + BOUND:
                await mesh.timers.advance(0.05)
            self.assertLess(mesh.timers.now() - started, USUAL_BOUND)

        self.run_mesh(body)

    def test_version_after_connections_to_the_store_fell_silent(self) -> None:
        """Guards against readers that wait for good on connections that nothing comes through."""

        async def body(mesh: VersionMesh, share: float, pause: float) -> None:
            others = [host for host in mesh.daemons if host not in mesh.readers]
            hosts = mesh.readers + others
            mesh.silence_standing(hosts[: round(len(hosts) * share)])
            await mesh.timers.advance(pause)
            mesh.publish(2)
            for host in others[-max(1, len(hosts) // 10) :]:
                mesh.kill(host)
            self.assertLess(await mesh.in_force_within(2, BOUND), USUAL_BOUND)

        for share, pause, seed in itertools.product((0.4, 0.7, 1.0), (0.0, 0.5, 4.5), range(1, 4)):
            with self.subTest(share=share, pause=pause, seed=seed):
                self.run_mesh(partial(body, share=share, pause=pause), count=10, seed=seed)

    def test_host_cut_off_from_all_others_reads_in_time(self) -> None:
        """Guards against an age that grows until a host takes itself for isolated."""

        async def body(mesh: VersionMesh) -> None:
            host = next(host for host in mesh.daemons if host not in mesh.readers)
            mesh.network.cut_off({mesh.daemons[host].port.ip})
            mesh.publish(2)
            self.assertLess(await mesh.in_force_within(2, BOUND), BOUND)

        for seed in range(1, 6):
            self.run_mesh(body, seed=seed)

    def test_hosts_cut_off_together_read_in_time(self) -> None:
        """Guards against hosts that hear each other, and nobody who reads."""

        async def body(mesh: VersionMesh) -> None:
            hosts = [host for host in mesh.daemons if host not in mesh.readers][-2:]
            mesh.network.cut_off({mesh.daemons[host].port.ip for host in hosts})
            mesh.publish(2)
            self.assertLess(await mesh.in_force_within(2, BOUND), BOUND)

        for seed in range(1, 6):
            self.run_mesh(body, count=24, seed=seed)

    def test_lost_datagrams_make_no_further_daemons_read(self) -> None:
        """Guards against daemons that read for lack of word, and whose reads fill a thin link."""

        async def body(mesh: VersionMesh) -> None:
            await mesh.timers.advance(5.0)
            mesh.network.lose_every = LOSE_EVERY
            before = mesh.store.calls
            most = 0
            for _ in range(60):
                await mesh.timers.advance(1.0)
                most = max(most, len(mesh.readers))
            self.assertLessEqual(most, MOST_READERS)
            self.assertLess(mesh.store.calls - before, 2 * CALM_READS)

        self.run_mesh(body, count=24)

    def test_no_substitute_reads_on_in_calm_time(self) -> None:
        """Guards against daemons that read in place of a lead and do not hear that it is back."""

        async def body(mesh: VersionMesh) -> None:
            await mesh.timers.advance(10.0)
            self.assertEqual(len(mesh.readers), 3)
            before = mesh.store.calls
            await mesh.timers.advance(60.0)
            self.assertLess(mesh.store.calls - before, CALM_READS)
            mesh.silence_standing(mesh.daemons)
            mesh.silent.update(mesh.readers)
            await mesh.timers.advance(4.0)
            mesh.silent.clear()
            await mesh.timers.advance(10.0)
            self.assertLessEqual(len(mesh.readers), 4)

        for seed in range(1, 4):
            self.run_mesh(body, count=24, seed=seed)


if __name__ == "__main__":
    unittest.main()
