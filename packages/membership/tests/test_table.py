"""Merging of member records, the gossip queue and rendezvous hashing."""

from __future__ import annotations

import itertools
import random
import unittest

import hypothesis
from hypothesis import strategies

from acaciayard_membership import (
    MEMBER_CODEC,
    GossipQueue,
    Member,
    MemberState,
    MemberTable,
    TargetInfo,
    TargetState,
    rendezvous,
)
from acaciayard_timers import ManualTimers


def member(host: str, incarnation: int = 1, sequence: int = 0, state: int = 0) -> Member:
    return Member(host, incarnation, sequence, state, "riga-a", "10.0.0.1", 1, 2, 3)


#: Largest number that a record may hold.
LARGEST = 2**63 - 1


def packed(*members: Member) -> list[bytes]:
    return [MEMBER_CODEC.encode(m) for m in members]


records = strategies.builds(
    member,
    host=strategies.sampled_from(["a", "b", "c"]),
    incarnation=strategies.integers(1, 3),
    sequence=strategies.integers(0, 3),
    state=strategies.sampled_from(list(MemberState)),
)


class TableTest(unittest.TestCase):
    def table(self) -> MemberTable:
        return MemberTable(member("own"), ManualTimers())

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(strategies.lists(records, max_size=6), strategies.randoms())
    def test_merge_is_independent_of_order(self, items: list[Member], rng: object) -> None:
        first, second = self.table(), self.table()
        for data in packed(*items):
            first.merge(data)
        shuffled = packed(*items)
        rng.shuffle(shuffled)  # type: ignore[attr-defined]
        for data in itertools.chain(shuffled, shuffled):
            second.merge(data)
        self.assertEqual(first.digests(), second.digests())

    # Guards against a daemon that takes what is out of its reach for gone, and its parts for free.
    def test_member_that_counts_as_dead_may_still_run(self) -> None:
        table = self.table()
        for data in packed(member("a"), member("b"), member("c")):
            table.merge(data)
        self.assertEqual((table.present_count, table.expected_count), (4, 4))
        for data in packed(
            member("a", state=MemberState.DEAD), member("b", state=MemberState.LEFT)
        ):
            table.merge(data)
        self.assertEqual((table.present_count, table.expected_count), (2, 3))

    # Guards against a record of another writer with numbers after which no own one is valid.
    def test_own_record_is_superseded_whatever_its_numbers(self) -> None:
        for incarnation, sequence in (
            (1, LARGEST),
            (LARGEST, 0),
            (LARGEST, LARGEST - 1),
            (LARGEST, LARGEST),
        ):
            with self.subTest(incarnation=incarnation, sequence=sequence):
                table = self.table()
                forged = member("own", incarnation, sequence, MemberState.DEAD)
                table.merge(*packed(forged))
                self.assertTrue(table.own.is_present)
                if (incarnation, sequence) != (LARGEST, LARGEST):
                    self.assertGreater(table.own.age, forged.age)
                targets = (TargetInfo(service="a", name="t1", slots=4),)
                table.set_targets(targets)
                self.assertEqual(table.own.targets, targets)

    def test_records_of_an_earlier_incarnation_are_reported(self) -> None:
        table = MemberTable(member("own", incarnation=5), ManualTimers())
        reported: list[Member] = []
        table.on_previous_incarnation(reported.append)
        leaving = TargetInfo(service="a", name="t1", slots=4, state=TargetState.DRAINING)
        past = member("own", incarnation=4, sequence=9).with_changes(targets=(leaving,))
        for record in (past, member("own", incarnation=5), member("other", incarnation=4)):
            table.merge(*packed(record))
        self.assertEqual(reported, [past])
        self.assertEqual(table.own.incarnation, 5)

    def test_records_of_an_earlier_process_with_a_later_clock_are_reported(self) -> None:
        """Guards against a past that is not recalled because the clock has been set back."""
        table = MemberTable(member("own", incarnation=5), ManualTimers())
        reported: list[Member] = []
        table.on_previous_incarnation(reported.append)
        past = member("own", incarnation=8, sequence=9)
        table.merge(*packed(past))
        self.assertEqual(reported, [past])
        self.assertGreater(table.own.age, past.age)

    def test_absent_since_includes_left_members(self) -> None:
        table = self.table()
        table.merge(*packed(member("left", state=MemberState.LEFT)))
        table.merge(*packed(member("dead", state=MemberState.DEAD)))
        table.merge(*packed(member("alive")))
        found = {m.host for m in table.absent_since(0.0)}
        self.assertEqual(found, {"left", "dead"})
        self.assertEqual([m.host for m in table.lost_since(0.0)], ["dead"])

    def test_own_suspect_or_dead_record_is_refuted(self) -> None:
        table = self.table()
        table.merge(*packed(member("own", state=MemberState.SUSPECT)))
        self.assertEqual((table.own.state, table.own.sequence), (MemberState.ALIVE, 1))
        table.merge(*packed(member("own", incarnation=5, state=MemberState.DEAD)))
        self.assertEqual((table.own.state, table.own.incarnation), (MemberState.ALIVE, 5))

    def test_state_of_an_outdated_record_is_not_changed(self) -> None:
        table = self.table()
        table.merge(*packed(member("a")))
        old = table.find("a")
        assert old is not None
        table.merge(*packed(member("a", sequence=1)))
        self.assertFalse(table.set_state(old, MemberState.SUSPECT))
        self.assertEqual(len(list(table.others())), 1)

    def test_targets_are_part_of_the_packed_record(self) -> None:
        table = self.table()
        table.set_targets((TargetInfo("novero", "t", 9),))
        second = MemberTable(member("b"), ManualTimers())
        self.assertTrue(second.merge(table.packed("own")))
        found = second.find("own")
        assert found is not None
        self.assertEqual(found.targets, (TargetInfo("novero", "t", 9),))

    def test_invalid_record_is_not_merged(self) -> None:
        self.assertFalse(self.table().merge(b"\xc1"))


class GossipTest(unittest.TestCase):
    def test_updates_are_passed_on_a_bounded_number_of_times(self) -> None:
        table = MemberTable(member("own"), ManualTimers())
        queue = GossipQueue(table, random.Random(1))
        for number in range(50):
            table.merge(*packed(member(f"h{number:02}")))
        rounds = 0
        while not queue.is_empty:
            self.assertTrue(queue.next_updates(table.find("h07")))
            rounds += 1
        self.assertLess(rounds, 60)


class RendezvousTest(unittest.TestCase):
    def test_choice_changes_only_when_a_chosen_member_is_removed(self) -> None:
        members = [member(f"h{n}") for n in range(50)]
        choice = rendezvous("p", members, 2)
        for removed in members:
            remaining = rendezvous("p", [m for m in members if m != removed], 2)
            if removed not in choice:
                self.assertEqual(remaining, choice)
