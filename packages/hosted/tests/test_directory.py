"""Tests of peer discovery, including hosts in the list that do not answer."""

from __future__ import annotations

import random
import unittest
from collections.abc import Iterable
from typing import Any

import anyio
import structlog
from attrs import field, frozen
from keyed_standin import KeyedStandIn

from acaciayard_hosted._directory import STREAM, HostDirectory
from acaciayard_logservice import KeyedRecord
from acaciayard_membership import MEMBER_CODEC, Member, MemberTable, PeersByDomain
from acaciayard_timers import ManualTimers
from acaciayard_wire import Address


@frozen
class Own:
    """The record of this host."""

    host: str = "own"
    domain: str = "d1"
    control: Address = field(factory=lambda: Address("10.0.0.1", 1))
    is_listed: bool = False


class Table:
    """A member table that holds only this host."""

    own = Own()
    present_count = 1

    def present(self) -> tuple[Own, ...]:
        return (self.own,)

    def others(self) -> tuple[Own, ...]:
        return ()

    def peers_by_domain(self) -> PeersByDomain:
        return PeersByDomain((), ())

    def set_listed(self) -> None:
        """Ignored."""


class SilentMembers:
    """Members whose listed hosts are without power, so that contacting them hangs."""

    table = Table()

    def __init__(self, timers: ManualTimers) -> None:
        self._timers = timers
        self.asked = 0

    def on_unknown_sender(self, _listener: object) -> None:
        """Nobody comes."""

    async def exchange_with(self, addresses: Iterable[Address]) -> int:
        self.asked += len(list(addresses))
        await self._timers.sleep(60.0)
        return 0


class HostDirectoryTest(unittest.TestCase):
    def test_a_start_does_not_wait_long_for_hosts_without_power(self) -> None:
        async def run() -> None:
            timers = ManualTimers()
            store = KeyedStandIn(timers)
            for number in range(2, 5):
                store.add(STREAM, f"h{number}", f"10.0.0.{number}:1".encode())
            members: Any = SilentMembers(timers)
            log = structlog.wrap_logger(structlog.testing.CapturingLogger())
            directory = HostDirectory(
                store=store, members=members, timers=timers, seed=_Seed(), log=log  # type: ignore
            )
            discovered_at: list[float] = []

            async def wait_for_discovery() -> None:
                await directory.first_look()
                discovered_at.append(timers.now())

            async with anyio.create_task_group() as tasks:
                started = timers.now()
                tasks.start_soon(directory.run)
                tasks.start_soon(wait_for_discovery)
                await timers.advance(1.0)
                tasks.cancel_scope.cancel()
            self.assertGreaterEqual(members.asked, 3)
            self.assertLess(discovered_at[0] - started, 0.15)

        anyio.run(run)


class EntriesTest(unittest.TestCase):
    def setUp(self) -> None:
        timers = ManualTimers()
        own = member("own", "10.0.0.1", domain="d1")
        self.table = MemberTable(own, timers)
        self.lines = structlog.testing.CapturingLogger()
        members: Any = KnownMembers(self.table)
        self.directory = HostDirectory(
            store=KeyedStandIn(timers),
            members=members,
            timers=timers,
            seed=random.Random(1),
            log=structlog.wrap_logger(self.lines),
        )

    def met(self, **entries: str | bytes) -> set[str]:
        """Return the addresses that a starting daemon contacts with these entries listed."""
        records = [
            KeyedRecord(key, value if isinstance(value, bytes) else value.encode(), offset)
            for offset, (key, value) in enumerate(entries.items())
        ]
        return {
            str(a)
            for a in self.directory._choose_contacts(self.directory._unknown_entries(records))
        }

    def test_two_of_the_own_domain_and_one_of_another(self) -> None:
        entries = {f"h{n}": f"10.0.{n % 3}.9:{n} d{n % 3}" for n in range(1, 30)}
        met = self.met(**entries)
        self.assertEqual(len(met), 3)
        self.assertEqual(sum(address.startswith("10.0.1.") for address in met), 2)

    def test_others_where_the_own_domain_has_none(self) -> None:
        self.assertEqual(len(self.met(**{f"h{n}": f"10.0.0.9:{n} d2" for n in range(1, 9)})), 3)

    def test_invalid_entries_are_skipped_and_the_others_are_used(self) -> None:
        met = self.met(
            a="999.0.0.1:80 d1",
            b=b"\xff\xfe",
            c="",
            d="10.0.0.7:99999 d1",
            own="10.0.0.66:7660 d1",
            good="10.0.0.8:7660 d1",
            old="10.0.0.9:7660",
        )
        self.assertEqual(met, {"10.0.0.8:7660", "10.0.0.9:7660"})
        self.assertEqual(len(self.lines.calls), 1)
        self.assertFalse(self.table.own.is_listed)

    def test_the_own_entry_needs_no_other(self) -> None:
        self.met(own="10.0.0.1:1 d1")
        self.assertTrue(self.table.own.is_listed)

    def test_next_candidates_are_listed_if_too_few_are(self) -> None:
        """Of 80 daemons 20 are to be listed; each decides independently, and all agree."""
        for listed in (0, 15, 20):
            with self.subTest(listed=listed):
                wanted = 0
                for number in range(80):
                    self.setUp()
                    records = [member(f"h{n}", f"10.0.1.{n}", listed=n < listed) for n in range(80)]
                    self.table = MemberTable(records[number], ManualTimers())
                    for record in records:
                        self.table.merge(MEMBER_CODEC.encode(record))
                    self.directory._members = KnownMembers(self.table)  # type: ignore[assignment]
                    wanted += self.directory._should_be_listed()
                self.assertEqual(wanted, 20 - listed)


def member(host: str, ip: str, *, domain: str = "d1", listed: bool = False) -> Member:
    return Member(host, 1, 1, 0, domain, ip, 1, 2, 3, is_listed=listed)


class KnownMembers:
    """A membership with a member table set by the test."""

    def __init__(self, table: MemberTable) -> None:
        self.table = table

    def on_unknown_sender(self, _listener: object) -> None:
        """Nobody comes."""


class _Seed:
    """A random source that samples the whole population."""

    def sample(self, population: list[Address], _count: int) -> list[Address]:
        return population

    def uniform(self, low: float, _high: float) -> float:
        return low


if __name__ == "__main__":
    unittest.main()
