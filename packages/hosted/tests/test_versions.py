"""Configurations that were accepted elsewhere: in force, followed, and never back."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import anyio
import structlog
from keyed_standin import KeyedStandIn

from acaciayard_hosted import AcceptedVersions, StoreFollower, StoreKey
from acaciayard_resources import Configuration, Finding, FindingsError, Invariants, Place
from acaciayard_timers import ManualTimers, TimerService

PLACE = StoreKey("stream", "config")


def read(document: bytes, _earlier: Configuration | None) -> Configuration:
    """A document is its version, and nothing else."""
    if not document.isdigit():
        raise FindingsError.of([Finding(Place(source="test"), "is no number", "use digits")])
    return Configuration(int(document), MappingProxyType({}))


class AlwaysFeeding:
    """This daemon reads the store, whoever else is there."""

    is_feeder = True
    is_lead = True
    is_relieved = False

    async def wait_until_feeder(self) -> None:
        """Return at once."""

    def note_store(self, *, is_served: bool) -> None:
        """Nobody else is told."""


def versions_with(timers: TimerService) -> tuple[AcceptedVersions, list[int]]:
    log = structlog.wrap_logger(structlog.testing.CapturingLogger())
    versions = AcceptedVersions(read, timers=timers, invariants=Invariants(), log=log)
    seen: list[int] = []
    versions.on_in_force(lambda configuration: seen.append(configuration.version))
    return versions, seen


class AcceptedVersionsTest(unittest.TestCase):
    def test_only_newer_ones_are_put_in_force(self) -> None:
        versions, seen = versions_with(ManualTimers())
        for document in (b"3", b"2", b"3", b"7", b"5"):
            versions.offer(document, source="test")
        self.assertEqual(seen, [3, 7])
        self.assertEqual(versions.version, 7)

    def test_bad_ones_leave_the_last_good_one(self) -> None:
        versions, seen = versions_with(ManualTimers())
        versions.offer(b"3", source="test")
        for _ in range(2):
            self.assertFalse(versions.offer(b"nonsense", source="test"))
        self.assertEqual((seen, versions.rejected), ([3], 1))

    def test_one_that_the_reader_has_a_fault_for_ends_no_daemon(self) -> None:
        """It would come to each daemon, and again at each start."""

        def faulty(document: bytes, earlier: Configuration | None) -> Configuration:
            if document == b"8":
                raise KeyError("no such field")
            return read(document, earlier)

        log = structlog.wrap_logger(structlog.testing.CapturingLogger())
        versions = AcceptedVersions(faulty, timers=ManualTimers(), invariants=Invariants(), log=log)
        for document in (b"3", b"8", b"8", b"9"):
            versions.offer(document, source="test")
        self.assertEqual((versions.version, versions.rejected), (9, 1))


class StoreFollowerTest(unittest.TestCase):
    def run_follower(
        self, body: Callable[[KeyedStandIn, AcceptedVersions, ManualTimers], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            timers = ManualTimers()
            store = KeyedStandIn(timers)
            versions, _ = versions_with(timers)
            log = structlog.wrap_logger(structlog.testing.CapturingLogger())
            follower = StoreFollower(
                store=store,
                place=PLACE,
                versions=versions,
                feeding=AlwaysFeeding(),  # type: ignore[arg-type]
                timers=timers,
                seed=random.Random(1),
                log=log,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(follower.run)
                await timers.advance(0.1)
                await body(store, versions, timers)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_new_version_is_in_force_at_once(self) -> None:
        async def body(
            store: KeyedStandIn, versions: AcceptedVersions, timers: ManualTimers
        ) -> None:
            store.add(PLACE.stream, PLACE.key, b"4")
            await timers.advance(0.05)
            self.assertEqual(versions.version, 4)

        self.run_follower(body)

    def test_storm_is_read_in_batches(self) -> None:
        async def body(
            store: KeyedStandIn, versions: AcceptedVersions, timers: ManualTimers
        ) -> None:
            before = store.calls
            for version in range(1, 41):
                store.add(PLACE.stream, PLACE.key, b"%d" % version)
                await timers.advance(0.1)
            self.assertLessEqual(store.calls - before, 12)
            await timers.advance(0.5)
            self.assertEqual(versions.version, 40)

        self.run_follower(body)

    def test_dropped_history_is_read_over(self) -> None:
        async def body(
            store: KeyedStandIn, versions: AcceptedVersions, timers: ManualTimers
        ) -> None:
            store.add(PLACE.stream, PLACE.key, b"4")
            await timers.advance(0.1)
            store.add(PLACE.stream, PLACE.key, b"5")
            store.drop_history(PLACE.stream)
            await timers.advance(2.0)
            self.assertEqual(versions.version, 5)

        self.run_follower(body)

    def test_dropped_history_without_a_newer_version_costs_few_calls(self) -> None:
        async def body(
            store: KeyedStandIn, versions: AcceptedVersions, timers: ManualTimers
        ) -> None:
            store.add(PLACE.stream, PLACE.key, b"4")
            await timers.advance(0.1)
            store.add(PLACE.stream, "other", b"x")
            store.drop_history(PLACE.stream)
            before = store.calls
            await timers.advance(6.0)
            self.assertLess(store.calls - before, 12)

        self.run_follower(body)

    def test_reads_that_a_silent_store_swallowed_hold_up_no_later_version(self) -> None:
        for silent_for in (0.5, 2.0, 4.0, 8.0):
            with self.subTest(silent_for=silent_for):
                self.run_follower(lambda *parts, s=silent_for: self.after_silence(*parts, s))

    async def after_silence(
        self, store: KeyedStandIn, versions: AcceptedVersions, timers: ManualTimers, silent: float
    ) -> None:
        store.add(PLACE.stream, PLACE.key, b"4")
        await timers.advance(3.9)
        store.is_silent = True
        await timers.advance(silent)
        store.is_silent = False
        store.add(PLACE.stream, PLACE.key, b"9")
        await timers.advance(3.0)  # for so long after an outage nothing is asked of a daemon
        self.assertEqual(versions.version, 9)

    def test_outage_is_survived(self) -> None:
        async def body(
            store: KeyedStandIn, versions: AcceptedVersions, timers: ManualTimers
        ) -> None:
            store.add(PLACE.stream, PLACE.key, b"4")
            await timers.advance(0.1)
            store.is_down = True
            calls = store.calls
            await timers.advance(30.0)
            self.assertLess(store.calls - calls, 50)
            self.assertEqual(versions.version, 4)
            store.add(PLACE.stream, PLACE.key, b"6")
            store.is_down = False
            await timers.advance(2.0)
            self.assertEqual(versions.version, 6)

        self.run_follower(body)
