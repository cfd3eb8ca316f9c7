"""Tests of the selection of the daemons that read the store."""

from __future__ import annotations

import unittest
from collections.abc import Callable

import structlog

from acaciayard_hosted._feeding import Feeding
from acaciayard_membership import MEMBER_CODEC, Member, MemberState, MemberTable
from acaciayard_timers import ManualTimers


class KnownMembers:
    """A membership with a member table set by the test."""

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self.report_position: Callable[[str, int], None] = lambda host, position: None

    def on_position(self, listener: Callable[[str, int], None]) -> None:
        """Store the listener."""
        self.report_position = listener

    def flush(self) -> None:
        """Ignored."""


def member(host: str, *, domain: str = "d1", mbps: float = 10.0, **changes: object) -> Member:
    record = Member(host, 1, 0, 0, domain, "10.0.0.1", 1, 2, 0, link_mbps=mbps)
    return record.with_changes(**changes)


class FeedingTest(unittest.TestCase):
    def feeders(self, *members: Member) -> list[str]:
        """Return the hosts that select themselves as feeders, each independently."""
        found = []
        for own in members:
            timers = ManualTimers()
            table = MemberTable(own, timers)
            for other in members:
                if other is not own:
                    table.merge(MEMBER_CODEC.encode(other))
            log = structlog.wrap_logger(structlog.testing.CapturingLogger())
            known = KnownMembers(table)
            feeding = Feeding(members=known, timers=timers, log=log)  # type: ignore[arg-type]
            known.report_position("somebody", 1)
            feeding.look()
            if feeding.is_feeder:
                found.append(own.host)
        return found

    def test_one_in_each_domain(self) -> None:
        members = [member(f"h{n}", domain=f"d{n % 3}") for n in range(30)]
        self.assertEqual(len(self.feeders(*members)), 3)

    def test_widest_link_first(self) -> None:
        members = [member(f"h{n}", mbps=2.5) for n in range(10)]
        self.assertEqual(self.feeders(*members, member("wide", mbps=50)), ["wide"])

    def test_next_candidate_reads_if_the_store_does_not_serve_the_first(self) -> None:
        members = [member(f"h{n}") for n in range(5)]
        (first,) = self.feeders(*members)
        refused = [m.with_changes(has_store_access=m.host != first) for m in members]
        self.assertEqual(len(self.feeders(*refused)), 2)
        self.assertIn(first, self.feeders(*refused))

    def test_suspected_members_are_not_selected(self) -> None:
        members = [member(f"h{n}") for n in range(5)]
        (first,) = self.feeders(*members)
        state = int(MemberState.SUSPECT)
        suspected = [m.with_changes(state=state) if m.host == first else m for m in members]
        others = [m for m in suspected if m.host != first]
        self.assertEqual(len(set(self.feeders(*suspected)) & {m.host for m in others}), 1)

    def test_isolated_daemon_reads_for_itself(self) -> None:
        own, other = member("a", mbps=1), member("b", mbps=50)
        timers = ManualTimers()
        table = MemberTable(own, timers)
        table.merge(MEMBER_CODEC.encode(other))
        log = structlog.wrap_logger(structlog.testing.CapturingLogger())
        feeding = Feeding(members=KnownMembers(table), timers=timers, log=log)  # type: ignore[arg-type]
        feeding.look()
        self.assertFalse(feeding.is_feeder)
        timers._now += 3.0
        feeding.look()
        self.assertTrue(feeding.is_feeder)
