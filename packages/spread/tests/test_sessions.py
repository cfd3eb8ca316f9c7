"""Which other daemons count as witnesses when sessions start and end."""

from __future__ import annotations

import unittest
from unittest import mock

from acaciayard_membership import MEMBER_CODEC, Member, MemberTable
from acaciayard_resources import Invariants
from acaciayard_spread import Holder, Session, SessionContext, Witnesses
from acaciayard_spread._messages import Hello
from acaciayard_timers import ManualTimers


def member(host: str) -> Member:
    return Member(host, 1, 0, 0, "riga-a", "10.0.0.1", 1, 2, 3)


class SessionContextTest(unittest.TestCase):
    def setUp(self) -> None:
        timers = ManualTimers()
        table = MemberTable(member("own"), timers)
        for host in ("a", "b", "c"):
            table.merge(MEMBER_CODEC.encode(member(host)))
        self.holder = Holder(Invariants())
        self.witnesses = Witnesses(self.holder, table, timers)
        self.context = SessionContext("own", self.holder, self.witnesses)
        self.holder.fold_records(0, [b"one", b"two"])

    def session(self, host: str) -> Session:
        session = Session(self.context, mock.Mock(), Hello(host, 0, b"", 0))
        self.context.add(session)
        return session

    def test_end_of_a_second_session_leaves_the_witness(self) -> None:
        self.session("a")
        second = self.session("a")
        self.witnesses.acknowledge("a", 2)
        self.context.remove(second)
        self.session("b")
        self.witnesses.acknowledge("b", 2)
        self.assertEqual(self.holder.confirmed, 2)

    def test_end_of_the_last_session_forgets_the_witness(self) -> None:
        last = self.session("a")
        self.witnesses.acknowledge("a", 2)
        self.context.remove(last)
        self.session("b")
        self.witnesses.acknowledge("b", 2)
        self.assertEqual(self.holder.confirmed, 0)
        self.assertEqual(set(self.context.open), {"b"})

    def test_two_others_are_needed_and_the_lower_position_counts(self) -> None:
        self.witnesses.acknowledge("a", 2)
        self.assertEqual(self.holder.confirmed, 0)
        self.witnesses.acknowledge("b", 1)
        self.assertEqual(self.holder.confirmed, 1)
        self.witnesses.acknowledge("own", 2)
        self.assertEqual(self.holder.confirmed, 1)
        self.witnesses.acknowledge("c", 7)
        self.assertEqual(self.holder.confirmed, 2)
