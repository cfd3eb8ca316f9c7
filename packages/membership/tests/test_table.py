"""Merging what is said of members."""

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
    def test_order_of_arrival_does_not_matter(self, items: list[Member], source: object) -> None:
        one, other = self.table(), self.table()
        for data in packed(*items):
            one.merge(data)
        shuffled = packed(*items)
        source.shuffle(shuffled)  # type: ignore[attr-defined]
        for data in itertools.chain(shuffled, shuffled):
            other.merge(data)
        self.assertEqual(one.digests(), other.digests())

    def test_what_was_said_before_the_own_restart_is_told(self) -> None:
        table = MemberTable(member("own", incarnation=5), ManualTimers())
        heard: list[Member] = []
        table.on_own_past(heard.append)
        leaving = TargetInfo(service="a", name="t1", slots=4, state=TargetState.DRAINING)
        past = member("own", incarnation=4, sequence=9).with_changes(targets=(leaving,))
        for record in (past, member("own", incarnation=5), member("other", incarnation=4)):
            table.merge(*packed(record))
        self.assertEqual(heard, [past])
        self.assertEqual(table.own.incarnation, 5)

    def test_those_that_left_are_looked_for_as_well(self) -> None:
        table = self.table()
        table.merge(*packed(member("left", state=MemberState.LEFT)))
        table.merge(*packed(member("dead", state=MemberState.DEAD)))
        table.merge(*packed(member("alive")))
        found = {m.host for m in table.gone_since(0.0)}
        self.assertEqual(found, {"left", "dead"})
        self.assertEqual([m.host for m in table.lost_since(0.0)], ["dead"])

    def test_rumour_of_the_own_death_is_refuted(self) -> None:
        table = self.table()
        table.merge(*packed(member("own", state=MemberState.SUSPECT)))
        self.assertEqual((table.own.state, table.own.sequence), (MemberState.ALIVE, 1))
        table.merge(*packed(member("own", incarnation=5, state=MemberState.DEAD)))
        self.assertEqual((table.own.state, table.own.incarnation), (MemberState.ALIVE, 5))

    def test_belief_does_not_overtake_news(self) -> None:
        table = self.table()
        table.merge(*packed(member("a")))
        old = table.find("a")
        assert old is not None
        table.merge(*packed(member("a", sequence=1)))
        self.assertFalse(table.believe(old, MemberState.SUSPECT))
        self.assertEqual(len(list(table.others())), 1)

    def test_targets_travel_with_their_member(self) -> None:
        table = self.table()
        table.set_targets((TargetInfo("novero", "t", 9),))
        other = MemberTable(member("b"), ManualTimers())
        self.assertTrue(other.merge(table.packed("own")))
        found = other.find("own")
        assert found is not None
        self.assertEqual(found.targets, (TargetInfo("novero", "t", 9),))

    def test_nonsense_is_no_news(self) -> None:
        self.assertFalse(self.table().merge(b"\xc1"))


class GossipTest(unittest.TestCase):
    def test_news_is_passed_on_a_bounded_number_of_times(self) -> None:
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
    def test_choice_moves_only_where_a_chosen_one_goes(self) -> None:
        members = [member(f"h{n}") for n in range(50)]
        chosen = rendezvous("p", members, 2)
        for gone in members:
            left = rendezvous("p", [m for m in members if m != gone], 2)
            if gone not in chosen:
                self.assertEqual(left, chosen)
