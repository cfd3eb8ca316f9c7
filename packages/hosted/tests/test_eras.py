"""Tests of a store restored from an older copy, with one daemon and with a mesh."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
import structlog
from keyed_standin import KeyedStandIn
from version_mesh import PLACE, VersionMesh

from acaciayard_hosted import EraChange, EraGuard
from acaciayard_hosted._directory import STREAM
from acaciayard_logservice import (
    Appended,
    AppendUnknown,
    Expired,
    KeyedLog,
    KeyedSlice,
    NotAppended,
    Outrun,
    Unavailable,
    era_of,
    offset_of,
    position_of,
)
from acaciayard_timers import ManualTimers


class PositionTest(unittest.TestCase):
    def test_those_of_a_later_era_are_greater(self) -> None:
        early = position_of(era=1, offset=1_000_000)
        late = position_of(era=2, offset=0)
        self.assertLess(early, late)
        self.assertEqual((era_of(early), offset_of(early)), (1, 1_000_000))
        self.assertEqual(position_of(era=0, offset=17), 17)
        self.assertEqual(era_of(-1), 0)

    def test_what_does_not_fit_is_refused(self) -> None:
        for era, offset in ((-1, 0), (0, -1), (0, 1 << 40), (1 << 22, 0)):
            with self.subTest(era=era, offset=offset), self.assertRaises(ValueError):
                position_of(era=era, offset=offset)


class Held(KeyedLog):
    """A store whose next answer is held until the test releases it."""

    def __init__(self, store: KeyedStandIn) -> None:
        self._store = store
        self.gate: anyio.Event | None = None
        self.is_asked_late = False

    async def _held(self) -> None:
        if (gate := self.gate) is not None:
            self.gate = None
            await gate.wait()

    async def put(
        self, stream: str, key: str, value: bytes, *, at: int | None = None
    ) -> Appended | NotAppended | Outrun | AppendUnknown:
        if self.is_asked_late:
            await self._held()
        result = await self._store.put(stream, key, value, at=at)
        await self._held()
        return result

    async def newest(self, stream: str) -> KeyedSlice | Unavailable:
        result = await self._store.newest(stream)
        await self._held()
        return result

    async def changes(
        self, stream: str, *, start: int, wait: float, is_fresh: bool = False
    ) -> KeyedSlice | Expired | Unavailable:
        result = await self._store.changes(stream, start=start, wait=wait)
        await self._held()
        return result


class EraGuardTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = KeyedStandIn(ManualTimers())
        self.store.era = 1
        self.held = Held(self.store)
        self.changes: list[EraChange] = []
        self.guard = EraGuard(
            self.held, log=structlog.wrap_logger(structlog.testing.ReturnLogger())
        )
        self.guard.on_change(self.changes.append)
        for number in range(4):
            self.store.add("s", "k", b"%d" % number)

    async def end(self) -> int:
        found = await self.guard.newest("s")
        assert isinstance(found, KeyedSlice)
        return found.next_offset

    async def test_read_from_an_earlier_era_is_expired(self) -> None:
        end = await self.end()
        self.store.rewind({"s": 2})
        for number in range(5):
            self.store.add("s", "k", b"new %d" % number)
        self.assertIsInstance(await self.guard.changes("s", start=end, wait=0), Expired)
        self.assertEqual(self.changes, [EraChange(1, 2)])
        calls = self.store.calls
        self.assertIsInstance(await self.guard.changes("s", start=end, wait=0), Expired)
        self.assertEqual(self.store.calls, calls)

    async def test_the_same_offset_with_other_content_is_new(self) -> None:
        before = await self.end()
        self.store.rewind({"s": 3})
        self.store.add("s", "k", b"other")
        found = await self.guard.newest("s")
        assert isinstance(found, KeyedSlice)
        self.assertEqual(offset_of(found.next_offset), offset_of(before))
        self.assertGreater(found.next_offset, before)

    async def test_a_condition_of_an_earlier_era_does_not_hold_by_accident(self) -> None:
        end = await self.end()
        self.store.rewind({"s": 3})
        self.store.add("s", "k", b"another writer")  # the stream ends where it ended before
        await self.guard.newest("s")
        self.assertIsInstance(await self.guard.put("s", "k", b"mine", at=end), Outrun)
        self.assertEqual(len(self.store.records("s")), 4)

    async def test_write_during_an_era_change_is_not_confirmed(self) -> None:
        end = await self.end()
        self.held.gate, self.held.is_asked_late = gate, _ = anyio.Event(), True
        results: list[object] = []

        async def write() -> None:
            results.append(await self.guard.put("s", "k", b"mine", at=end))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await anyio.sleep(0.01)
            self.store.rewind({"s": 3})
            self.store.add("s", "k", b"another writer")
            gate.set()
        self.assertIsInstance(results[0], AppendUnknown)
        self.assertEqual(self.changes, [EraChange(1, 2)])

    async def test_late_answers_of_an_earlier_era_change_nothing(self) -> None:
        await self.end()
        self.held.gate = gate = anyio.Event()
        late: list[object] = []

        async def ask() -> None:
            late.append(await self.guard.newest("s"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await anyio.sleep(0.01)
            self.store.rewind({"s": 2})
            now = await self.end()
            gate.set()
        self.assertIsInstance(late[0], Unavailable)
        self.assertEqual((self.guard.era, self.guard.late_answers), (2, 1))
        self.assertEqual(await self.end(), now)

    async def test_restarted_era_count_is_adopted(self) -> None:
        """Answers requested after the later era became known are not late."""
        self.store.era = 9
        await self.end()
        self.store.era = 1
        self.assertEqual(era_of(await self.end()), 1)

    async def test_store_without_eras_is_passed_through(self) -> None:
        self.store.era = 0
        end = await self.end()
        self.assertEqual(end, 4)
        self.assertEqual(await self.guard.put("s", "k", b"x", at=end), Appended(4))
        read = await self.guard.changes("s", start=4, wait=0)
        assert isinstance(read, KeyedSlice)
        self.assertEqual((read.next_offset, self.changes), (5, []))


class MeshTest(unittest.TestCase):
    def run_mesh(self, body: Callable[[VersionMesh], Awaitable[None]], *, count: int = 18) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                mesh = VersionMesh(tasks, count=count, domains=6, seed=1)
                mesh.store.era = 1
                await mesh.timers.advance(5.0)
                await body(mesh)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_versions_after_a_rewind_are_in_force_in_time_and_none_goes_back(self) -> None:
        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            await mesh.timers.advance(2.0)
            copy = mesh.store.copy()
            for version in range(2, 7):
                mesh.publish(version)
            self.assertLess(await mesh.in_force_within(6, 3.0), 3.0)
            mesh.store.rewind(copy)
            await mesh.timers.advance(1.0)
            self.assertEqual({d.versions.version for d in mesh.daemons.values()}, {6})
            mesh.publish(6)
            mesh.publish(7)  # at an offset that another version had before
            self.assertLess(await mesh.in_force_within(7, 3.0), 3.0)

        self.run_mesh(body)

    def test_a_rewind_costs_a_look_for_each_reader_and_no_more(self) -> None:
        """Six daemons read the store, as many take over meanwhile, and the lead reads the list."""

        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            await mesh.timers.advance(10.0)
            before = mesh.store.looks
            mesh.store.rewind(mesh.store.copy())
            await mesh.timers.advance(20.0)
            self.assertLessEqual(mesh.store.looks - before, 6 + 6 + 2)

        self.run_mesh(body)

    def test_entries_that_are_lost_are_written_again_once_each(self) -> None:
        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            await mesh.timers.advance(3.0)
            listed = {h for h, d in mesh.daemons.items() if d.members.table.own.is_listed}
            self.assertGreaterEqual(len(listed), 12)
            mesh.store.rewind({STREAM: 2, PLACE.stream: 1})
            await mesh.timers.advance(12.0)
            written = [record.key for record in mesh.store.records(STREAM)]
            self.assertEqual(set(written), listed)
            self.assertEqual(len(written), len(listed))

        self.run_mesh(body)

    def test_two_that_notice_at_different_moments_agree(self) -> None:
        """A third of the hosts, with the lead, get no answer while the store is restored."""

        async def body(mesh: VersionMesh) -> None:
            mesh.publish(1)
            await mesh.timers.advance(3.0)
            copy = mesh.store.copy()
            mesh.publish(2)
            await mesh.timers.advance(2.0)
            mesh.silent.update({mesh.lead, *list(mesh.daemons)[::3]})
            await mesh.timers.advance(0.5)
            mesh.store.rewind(copy)
            mesh.publish(2)
            mesh.publish(3)
            self.assertLess(await mesh.in_force_within(3, 3.0), 3.0)
            mesh.silent.clear()
            mesh.publish(4)
            self.assertLess(await mesh.in_force_within(4, 3.0), 3.0)

        self.run_mesh(body)


if __name__ == "__main__":
    unittest.main()
