"""A randomized test that the age of each daemon's configuration is bounded.

    python packages/hosted/tests/test_configuration_age_random.py --seed 200 --count 100

Each seed draws a mesh and a series of faults: any share of the daemons loses the store, silently or
with refusals, or the connections that stand fall silent, the readers first or anybody, while
daemons end, start and start again.
"""

from __future__ import annotations

import argparse
import random
import unittest
from collections import Counter

import anyio
from age_record import AgeRecord, Late
from attrs import define, field
from version_mesh import VersionMesh

#: Seconds within which a version must be in force everywhere.
BOUND = 2.0
#: Seconds within which it must be in force for `MOST` of all versions and daemons.
USUAL_BOUND = 1.0
MOST = 0.99
#: Seeds that are played.
SEEDS = range(30)
#: Sizes and failure domains that are drawn.
COUNTS = (3, 5, 9, 14, 24)
DOMAINS = (1, 2, 3, 6)
#: Seconds that the faults of one seed last, and the least and most seconds between two.
SECONDS = 12.0
FAULT_PACE = (0.2, 2.5)
VERSION_PACE = (0.1, 1.5)
#: Least share of the daemons that one fault cuts off from the store.
LEAST_SHARE = 1 / 3


@define(eq=False)
class RandomFaults:
    """Faults drawn by a seed; at least one daemon that runs is always served by the store."""

    _mesh: VersionMesh
    _record: AgeRecord
    _source: random.Random
    faults: Counter[str] = field(factory=Counter)
    _starts: int = 1

    def strike(self) -> None:
        """Bring about one fault."""
        kinds = (
            self.silence_standing,
            self.silence_standing,
            self.cut_off_silently,
            self.cut_off_with_refusals,
            self.heal,
            self.kill,
            self.start,
        )
        kind = self._source.choice(kinds)
        self.faults[kind.__name__] += 1
        kind()

    def _share(self) -> list[str]:
        """Any share of the daemons, from a third up to all but one, often the readers first.

        One that has just started and met nobody yet is left out: without the store it has no way
        to hear of anything, and no claim is made about it.
        """
        daemons = self._mesh.daemons
        hosts = [h for h, daemon in daemons.items() if daemon.members.table.present_count > 1]
        self._source.shuffle(hosts)
        if self._source.random() < 0.6:
            readers = self._mesh.readers
            hosts.sort(key=lambda host: readers.index(host) if host in readers else len(readers))
        most = len(hosts) - 1
        least = max(1, round(len(hosts) * LEAST_SHARE))
        return hosts[: self._source.randint(min(least, most), most)]

    def silence_standing(self) -> None:
        """Silence the connections that stand, of some daemons or of all."""
        hosts = self._mesh.daemons if self._source.random() < 0.5 else self._share()
        self._mesh.silence_standing(hosts)

    def cut_off_silently(self) -> None:
        """The store answers some daemons nothing."""
        self.heal()
        self._mesh.silent.update(self._share())

    def cut_off_with_refusals(self) -> None:
        """The store refuses some daemons."""
        self.heal()
        self._mesh.refused.update(self._share())

    def heal(self) -> None:
        """The store answers all."""
        self._mesh.silent.clear()
        self._mesh.refused.clear()

    def kill(self) -> None:
        """End one daemon, unless it is the last one that the store answers."""
        served = [h for h in self._mesh.daemons if h not in self._mesh.silent | self._mesh.refused]
        if len(served) > 2:
            host = self._source.choice(served)
            self._mesh.kill(host)
            self._record.note_end(host)

    def start(self) -> None:
        """Start one daemon."""
        self._starts += 1
        number = 100 + self._starts
        host, domain = f"h{number}", f"d{number % 3}"
        self._mesh.start(host, domain, f"10.{number % 3}.1.{number}")
        self._record.note_start(host)


def play(seed: int) -> tuple[AgeRecord, Counter[str]]:
    """Play one seed; returns what was recorded, and its faults."""
    source = random.Random(seed)
    records: list[AgeRecord] = []
    faults: Counter[str] = Counter()

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            count, domains = source.choice(COUNTS), source.choice(DOMAINS)
            mesh = VersionMesh(tasks, count=count, domains=min(count, domains), seed=seed)
            mesh.publish(1)
            await mesh.timers.advance(5.0)
            record = AgeRecord(mesh)
            records.append(record)
            record.begin()
            random_faults = RandomFaults(mesh, record, source, faults)
            ends = mesh.timers.now() + SECONDS
            next_fault = next_version = mesh.timers.now()
            while mesh.timers.now() < ends:
                due = min(next_fault, next_version)
                await mesh.timers.advance(max(0.0, due - mesh.timers.now()))
                if due == next_fault:
                    random_faults.strike()
                    next_fault += source.uniform(*FAULT_PACE)
                else:
                    record.publish()
                    next_version += source.uniform(*VERSION_PACE)
            await mesh.timers.advance(BOUND + 0.5)
            record.end()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    return records[0], faults


class RandomConfigurationAgeTest(unittest.TestCase):
    maxDiff = None

    def test_age_is_bounded_whatever_share_of_the_daemons_loses_the_store(self) -> None:
        """Guards against an age that depends on which daemons happen to read."""
        wrong: dict[int, str] = {}
        late: list[Late] = []
        for seed in SEEDS:
            record, faults = play(seed)
            late.extend(record.all)
            if record.worst.seconds > BOUND or record.regressed:
                wrong[seed] = f"{record.worst}, went back {record.regressed}, {dict(faults)}"
        self.assertEqual(wrong, {})
        above = sum(each.seconds > USUAL_BOUND for each in late)
        self.assertLessEqual(above, (1 - MOST) * len(late))


def main() -> None:
    """Play some seeds and print what each has broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--count", type=int, default=30)
    asked = parser.parse_args()
    late: list[Late] = []
    broken = 0
    for seed in range(asked.seed, asked.seed + asked.count):
        record, faults = play(seed)
        late.extend(record.all)
        if record.worst.seconds > BOUND or record.regressed:
            broken += 1
            print(f"seed {seed}: {record.worst}, went back {record.regressed}, {dict(faults)}")
    above = sum(each.seconds > USUAL_BOUND for each in late) / len(late)
    print(f"{asked.count} seeds, {broken} broken, {len(late)} versions on daemons")
    print(f"worst {max(late).seconds:.2f} s, {above:.2%} above {USUAL_BOUND:g} s")


if __name__ == "__main__":
    main()
