"""Tests that accepted configurations are followed and put in force, and versions never go back."""

from __future__ import annotations

import itertools
import random
import unittest
from collections.abc import Awaitable, Callable, Generator
from types import MappingProxyType

import anyio
import structlog
from keyed_standin import KeyedStandIn

from acaciayard_hosted import AcceptedVersions, StoreFollower, StoreKey
from acaciayard_hosted._age import ConfigurationAge
from acaciayard_resources import Configuration, Finding, FindingsError, Invariants, Place
from acaciayard_timers import ManualTimers, TimerService

PLACE = StoreKey("stream", "config")


def read(document: bytes, _earlier: Configuration | None) -> Configuration:
    """Parse a document that consists of its version only."""
    if not document.isdigit():
        raise FindingsError.of([Finding(Place(source="test"), "is no number", "use digits")])
    return Configuration(int(document), MappingProxyType({}))


class AlwaysFeeding:
    """A feeder selection that always selects this daemon."""

    is_feeder = True
    is_lead = True
    polls_often = True
    reader_count = 1
    role = "lead"
    is_relieved = False

    async def wait_until_feeder(self) -> None:
        """Return at once."""

    def note_store(self, *, is_served: bool) -> None:
        """Ignored."""


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

    def test_parser_exception_does_not_end_the_daemon(self) -> None:
        """The document would reach each daemon, and again at each start."""

        def faulty(document: bytes, earlier: Configuration | None) -> Configuration:
            if document == b"8":
                raise KeyError("no such field")
            return read(document, earlier)

        log = structlog.wrap_logger(structlog.testing.CapturingLogger())
        versions = AcceptedVersions(faulty, timers=ManualTimers(), invariants=Invariants(), log=log)
        for document in (b"3", b"8", b"8", b"9"):
            versions.offer(document, source="test")
        self.assertEqual((versions.version, versions.rejected), (9, 1))


class PassingTimers(ManualTimers):
    """A clock that also advances while work is done."""

    worked = 0.0

    def work(self, seconds: float) -> None:
        """Advance the clock without running other tasks."""
        self._now += seconds
        self.worked += seconds

    async def advance(self, seconds: float) -> None:
        end = self._now + seconds
        self.worked = 0.0
        await super().advance(seconds)
        self._now = end + self.worked


#: Seconds that one step of parsing takes, and steps per document.
STEP = 0.0009
STEPS = 40


class SlicedVersionsTest(unittest.TestCase):
    """A long document is parsed in slices: the load is 1,600 new routes, with calls in between."""

    def setUp(self) -> None:
        self.timers = PassingTimers()
        self.read: list[bytes] = []
        log = structlog.wrap_logger(structlog.testing.CapturingLogger())
        self.versions = AcceptedVersions(
            self.slices, timers=self.timers, invariants=Invariants(), log=log
        )
        self.seen: list[int] = []
        self.versions.on_in_force(lambda configuration: self.seen.append(configuration.version))

    def slices(
        self, document: bytes, earlier: Configuration | None
    ) -> Generator[None, None, Configuration]:
        self.read.append(document)
        for _ in range(0 if document.startswith(b"0") else STEPS):
            self.timers.work(STEP)
            yield
        if document == b"fault":
            raise KeyError("no such field")
        return read(document, earlier)

    def offer(self, document: bytes, version: int = 0) -> bool:
        return self.versions.offer(document, source="test", version=version)

    def play(self, body: Callable[[], Awaitable[None]]) -> None:
        anyio.run(body)

    def test_other_tasks_run_within_five_milliseconds(self) -> None:
        async def body() -> None:
            turns = [self.timers.now()]
            self.assertTrue(self.offer(b"3"))
            turns.append(self.timers.now())
            self.assertEqual(self.versions.version, 0)
            while self.versions.version == 0 and len(turns) < STEPS:
                await self.timers.advance(0.0001)
                turns.append(self.timers.now())
            self.assertEqual(self.versions.version, 3)
            longest = max(after - before for before, after in itertools.pairwise(turns))
            self.assertLessEqual(longest, 0.005)
            self.assertGreater(len(turns), STEPS * STEP / 0.005)

        self.play(body)

    def test_a_short_one_is_in_force_at_once(self) -> None:
        self.assertTrue(self.offer(b"03"))
        self.assertEqual(self.versions.version, 3)

    def test_of_those_that_come_meanwhile_the_newest_is_read(self) -> None:
        async def body() -> None:
            self.offer(b"3", 3)
            for version in (4, 5, 6, 5):
                self.offer(b"%d" % version, version)
            self.assertEqual(self.seen, [])
            await self.timers.advance(1.0)
            self.assertEqual(self.seen, [3, 6])
            self.assertEqual(self.read, [b"3", b"6"])
            self.assertEqual(self.versions.passed_over, 2)

        self.play(body)

    def test_one_of_the_store_and_one_that_was_told_are_both_read(self) -> None:
        """A document of the store has no known version until parsed, so neither may be skipped."""

        async def body() -> None:
            self.offer(b"3", 3)
            self.offer(b"9")
            self.offer(b"7", 7)
            await self.timers.advance(1.0)
            self.assertEqual(self.versions.version, 9)
            self.assertEqual(self.seen, [3, 9])
            self.offer(b"10", 10)
            self.offer(b"11")
            self.offer(b"12", 12)
            await self.timers.advance(1.0)
            self.assertEqual(self.seen, [3, 9, 10, 11, 12])

        self.play(body)

    def test_bad_ones_leave_the_version_in_force(self) -> None:
        async def body() -> None:
            self.offer(b"03")
            for bad in (b"nonsense", b"fault"):
                self.assertTrue(self.offer(bad))
                await self.timers.advance(1.0)
                self.assertFalse(self.offer(bad))
            self.offer(b"nonsense too")
            self.offer(b"8")
            await self.versions_read()
            self.assertEqual((self.seen, self.versions.rejected), ([3, 8], 3))

        self.play(body)

    async def versions_read(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.timers.advance, 1.0)
            await self.versions.until_read()
            self.assertEqual(self.versions.version, 8)

    def test_parts_are_made_ready_in_slices_too(self) -> None:
        async def body() -> None:
            ready: list[int] = []

            def prepare(configuration: Configuration) -> Generator[None, None, None]:
                for _ in range(STEPS):
                    self.timers.work(STEP)
                    yield
                ready.append(configuration.version)

            self.versions.on_prepare(prepare)
            self.offer(b"03")
            self.assertEqual((self.seen, ready), ([], []))
            await self.timers.advance(1.0)
            self.assertEqual((self.seen, ready), ([3], [3]))
            self.offer(b"02")
            await self.timers.advance(1.0)
            self.assertEqual((self.seen, ready), ([3], [3]))

        self.play(body)


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
                age=ConfigurationAge(timers),
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

    def test_version_before_an_invalid_document_of_its_batch_is_in_force(self) -> None:
        """Guards against a version that is lost since an invalid document was read with it."""

        async def body(
            store: KeyedStandIn, versions: AcceptedVersions, timers: ManualTimers
        ) -> None:
            store.add(PLACE.stream, PLACE.key, b"4")
            await timers.advance(0.05)
            for document in (b"5", b"6", b"bad", b"worse"):
                store.add(PLACE.stream, PLACE.key, document)
            await timers.advance(1.0)
            self.assertEqual(versions.version, 6)
            self.assertEqual(versions.rejected, 2)

        self.run_follower(body)

    def test_rapid_versions_are_read_in_batches(self) -> None:
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

    def test_newest_records_are_read_after_history_was_dropped(self) -> None:
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
        await timers.advance(3.0)  # a version may take this long after an outage
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
