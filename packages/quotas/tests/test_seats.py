"""Ownership of seats while the daemons' views of the membership differ."""

from __future__ import annotations

import asyncio
import unittest

from acaciayard_quotas import HANDOVER_DELAY, MAX_TOKEN_TTL, Seats
from acaciayard_timers import ManualTimers

HOSTS = [f"h{number}" for number in range(8)]


class SeatsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers(start=100.0)
        self.views = {host: self.view(host) for host in HOSTS}

    def view(self, own: str) -> Seats:
        seats = Seats(own, timers=self.timers)
        for host in HOSTS:
            if host != own:
                seats.note_present(host)
        seats.note_message()
        seats.settle()
        return seats

    def advance(self, seconds: float, *receiving: Seats) -> None:
        """Advance the clock while some daemons receive messages from others."""
        while seconds > 0:
            asyncio.run(self.timers.advance(min(seconds, 0.5)))
            seconds -= 0.5
            for seats in receiving:
                seats.note_message()

    def owner(self, workspace: str = "north", seat: int = 0) -> str:
        owner = self.views[HOSTS[0]].owner_of(workspace, seat)
        assert owner is not None
        return owner

    def granting_hosts(self, workspace: str = "north", seat: int = 0) -> list[str]:
        """Daemons that would grant tokens now."""
        now = self.timers.now()
        found = []
        for host, seats in self.views.items():
            since = seats.refill_start(workspace, seat)
            if since is not None and since <= now:
                found.append(host)
        return found

    def test_daemons_agree_on_owners_and_seats_are_distributed(self) -> None:
        self.advance(MAX_TOKEN_TTL, *self.views.values())
        holders = set()
        for seat in range(5):
            seen = {seats.owner_of("north", seat) for seats in self.views.values()}
            self.assertEqual(len(seen), 1)
            self.assertEqual(self.granting_hosts(seat=seat), list(seen))
            holders |= seen
        self.assertGreater(len(holders), 2)

    def test_started_daemon_waits_for_others_and_for_expiry_of_old_tokens(self) -> None:
        host = self.owner()
        seats = Seats(host, timers=self.timers)
        self.advance(3.0)
        self.assertIsNone(seats.refill_start("north", 0))  # no other daemon is known yet
        for other in HOSTS:
            seats.note_present(other)
        seats.note_message()
        seats.settle()
        self.assertEqual(seats.refill_start("north", 0), self.timers.now() + MAX_TOKEN_TTL)

    def test_seat_of_a_failed_daemon_has_no_owner_until_handover(self) -> None:
        departed = self.owner()
        others = [seats for host, seats in self.views.items() if host != departed]
        for seats in others:
            seats.note_departed(departed, has_left=False)
        self.advance(HANDOVER_DELAY - 0.5, *others)
        self.assertEqual({seats.owner_of("north", 0) for seats in others}, {None})
        self.advance(1.0, *others)
        successor = others[0].owner_of("north", 0)
        self.assertNotIn(successor, (None, departed))
        assert successor is not None
        since = self.views[successor].refill_start("north", 0)
        assert since is not None
        self.assertGreater(since, self.timers.now() - 0.6)  # not before the handover
        self.assertEqual(self.granting_hosts(), [])
        self.advance(MAX_TOKEN_TTL + 0.5, *others)
        self.assertEqual(self.granting_hosts(), [successor])

    def test_isolated_daemon_grants_nothing_and_restarts_when_reconnected(self) -> None:
        host = self.owner()
        seats = self.views[host]
        self.advance(3.0)
        self.assertTrue(seats.is_isolated)
        self.assertIsNone(seats.refill_start("north", 0))
        self.assertGreater(seats.isolated_for, 2.5)
        seats.note_message()
        self.assertEqual(seats.refill_start("north", 0), self.timers.now() + MAX_TOKEN_TTL)
        self.assertEqual(seats.isolated_for, 0.0)

    def test_only_one_daemon_grants_while_the_owner_is_isolated(self) -> None:
        """The owner notices its isolation before its successor starts to grant.

        This holds however early the other daemons consider the owner failed.
        """
        owner = self.owner()
        others = [seats for host, seats in self.views.items() if host != owner]
        for seats in others:
            seats.note_departed(owner, has_left=False)
        for _ in range(20):
            self.advance(0.5, *others)
            self.assertLessEqual(len(self.granting_hosts()), 1)
        self.assertEqual(len(self.granting_hosts()), 1)
        self.assertNotEqual(self.granting_hosts(), [owner])

    def test_sides_of_a_partition_share_the_rate(self) -> None:
        left, right = HOSTS[:5], HOSTS[5:]
        for host, seats in self.views.items():
            for other in right if host in left else left:
                seats.note_departed(other, has_left=False)
        self.assertAlmostEqual(self.views["h0"].share + self.views["h7"].share, 1.0)
        self.assertAlmostEqual(self.views["h0"].share, 5 / 8)
        self.advance(60.0, *self.views.values())
        self.assertAlmostEqual(self.views["h0"].share, 5 / 8)
        self.views["h0"].note_present("h7")
        self.assertAlmostEqual(self.views["h0"].share, 6 / 8)

    def test_daemons_that_left_do_not_reduce_the_share(self) -> None:
        seats = self.views["h0"]
        for other in HOSTS[4:]:
            seats.note_departed(other, has_left=True)
        self.assertEqual(seats.share, 1.0)
        self.assertEqual(seats.count, 4)

    def newcomer(self, name: str, departed: str) -> Seats:
        seats = Seats(name, timers=self.timers)
        for other in HOSTS:
            if other == departed:
                seats.note_departed(other, has_left=False)
            else:
                seats.note_present(other)
        seats.note_message()
        seats.settle()
        return seats

    def test_new_daemon_learns_of_a_failure_before_its_start(self) -> None:
        owner = self.owner()
        names = [f"new{number}" for number in range(100)]
        views = {name: self.newcomer(name, owner) for name in names}
        first = next(name for name in names if views[name].owner_of("north", 0) == name)
        last = next(name for name in names if views[name].owner_of("north", 0) != name)
        self.assertIsNone(views[last].owner_of("north", 0))
        self.assertLess(views[last].share, 1.0)
        # A successor waits for the handover delay, as the owner may only be partitioned.
        self.assertEqual(views[first].refill_start("north", 0), self.timers.now() + HANDOVER_DELAY)

    def test_single_daemon_owns_all_seats(self) -> None:
        seats = Seats("only", timers=self.timers)
        seats.settle()
        self.advance(5.0)
        self.assertFalse(seats.is_isolated)
        self.assertIsNotNone(seats.refill_start("north", 0))
        self.assertEqual(seats.share, 1.0)


if __name__ == "__main__":
    unittest.main()
