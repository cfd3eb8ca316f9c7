"""A mesh through a store that comes back older at any moment, beside kills, cuts and silence.

The daemons are the real follower, directory, relay and rollouts on a network, a store and a clock
made for tests.  The operator writes again what a copy lacks, in its order, three seconds after at
the latest: an order that nobody writes again for longer is taken for gone.
Whatever happens: what a daemon has in force, or believes of a rollout, does not go back; and once
all is well again, all agree with the operator and the store.
"""

from __future__ import annotations

import asyncio
import unittest
from collections import deque
from collections.abc import Awaitable, Callable

import anyio
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from plain_words import STATUS, Words
from version_mesh import PLACE, VersionMesh

from acaciayard_hosted._directory import STREAM, _has_entry
from acaciayard_logservice import era_of
from acaciayard_rollouts import Phase, Rollout

SERVICE = "quotes"
COUNT = 6
NUMBERS = st.integers(0, COUNT - 1)
#: Seconds for an order, within which these are given up: no target answers any call.
DURATION = 5.0
#: Seconds within which the operator writes again.
NOTICED = 3.0
#: Seconds after which all is to be well again.
REPAIRED = 14.0


class Operator:
    """Writes configurations and orders, and again what the store has lost of them."""

    def __init__(self, mesh: VersionMesh) -> None:
        self._mesh = mesh
        self._pending: deque[tuple[str, bytes]] = deque()
        self.version = 0
        self.orders: list[str] = []

    @property
    def is_behind(self) -> bool:
        """Whether it has anything to write again."""
        return bool(self._pending)

    def publish(self) -> None:
        self.version += 1
        self._write(PLACE.key, b"%d" % self.version)

    def order(self) -> None:
        """Order a version that was never ordered before."""
        self.orders.append(f"v{len(self.orders) + 2}")
        self._write(SERVICE, f"{SERVICE} {self.orders[-1]} {DURATION}".encode())

    def _write(self, key: str, value: bytes) -> None:
        self._pending.append((key, value))
        if len(self._pending) == 1:
            self.catch_up()

    def catch_up(self) -> None:
        """Write all that is to be written, again or for the first time."""
        while self._pending:
            self._mesh.store.add(PLACE.stream, *self._pending.popleft())

    def note_lost(self, lost: list[tuple[str, bytes]]) -> None:
        """The store has lost these; they go before what still waits."""
        self._pending.extendleft(reversed(lost))


class StoreRewinds(RuleBasedStateMachine):
    """Six daemons in three failure domains."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.jobs: asyncio.Queue[tuple[Callable[[], Awaitable[None]], asyncio.Future[None]] | None]
        self.jobs = asyncio.Queue()
        self.mesh: VersionMesh
        self.copies: deque[tuple[float, dict[str, int]]] = deque()
        self.notices_at = float("inf")
        self.starts = 1
        self.versions: dict[tuple[str, int], int] = {}
        self.beliefs: dict[tuple[str, int], Rollout] = {}

    # --- the mesh -----------------------------------------------------------------------------

    async def host(self) -> None:
        """Keep the mesh between two steps."""
        async with anyio.create_task_group() as tasks:
            self.mesh = VersionMesh(tasks, count=COUNT, domains=3, seed=1)
            self.mesh.store.era = 1
            while (job := await self.jobs.get()) is not None:
                step, done = job
                try:
                    await step()
                    done.set_result(None)
                except BaseException as error:
                    done.set_exception(error)
            tasks.cancel_scope.cancel()

    def do(self, step: Callable[[], Awaitable[None]]) -> None:
        done: asyncio.Future[None] = self.loop.create_future()
        self.jobs.put_nowait((step, done))
        ends = {self.task, done}
        self.loop.run_until_complete(asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED))
        if self.task.done():
            self.task.result()  # the mesh has failed
        done.result()

    def advance(self, seconds: float) -> None:
        left = max(0.0, self.notices_at - self.mesh.timers.now())
        if left < seconds:
            self.do(lambda: self.mesh.timers.advance(left))
            self.operator.catch_up()
            seconds -= left
            self.notices_at = float("inf")
        self.do(lambda: self.mesh.timers.advance(seconds))
        self.note_beliefs()

    def names(self) -> list[str]:
        return sorted(self.mesh.daemons)

    @initialize(ordered=st.integers(0, 2), is_lost=st.booleans())
    def starts_up(self, ordered: int, is_lost: bool) -> None:
        """In most runs an order has ended, and in half the store has lost what came last."""
        self.task = self.loop.create_task(self.host())
        self.do(lambda: asyncio.sleep(0))
        self.operator = Operator(self.mesh)
        self.advance(1.0)
        self.is_copied()  # some have not written where they are met
        self.advance(3.0)
        self.operator.publish()
        self.advance(1.0)
        for _ in range(ordered):
            self.is_copied()
            self.operator.publish()
            self.operator.order()
            self.advance(DURATION + 1.0)
        if is_lost:
            self.comes_back_older(0.0, True)
            self.advance(2.0)

    # --- what happens -------------------------------------------------------------------------

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0]))
    def time_passes(self, seconds: float) -> None:
        self.advance(seconds)

    @rule()
    def publishes(self) -> None:
        self.operator.publish()

    @precondition(lambda self: len(self.operator.orders) < 3)
    @rule()
    def orders(self) -> None:
        self.operator.order()

    @rule()
    def is_copied(self) -> None:
        self.copies.append((self.mesh.timers.now(), self.mesh.store.copy()))

    @rule(age=st.sampled_from([0.0, 1.0, 5.0]), late=st.booleans())
    def comes_back_older(self, age: float, late: bool) -> None:
        """From the newest copy of that age or more, where there is one; repaired at once or not."""
        now = self.mesh.timers.now()
        fit = [copy for when, copy in self.copies if when <= now - age]
        if not fit:
            return
        copy = fit[-1]
        length = {**self.mesh.store.copy()}
        lost = self.mesh.store.rewind({s: min(copy.get(s, 0), n) for s, n in length.items()})
        self.operator.note_lost([(r.key, r.value) for s, r in lost if s == PLACE.stream])
        self.copies = deque(each for each in self.copies if each[1] is copy or each[0] < now - age)
        if not late:
            self.operator.catch_up()
        elif self.notices_at == float("inf"):
            self.notices_at = now + NOTICED

    @precondition(lambda self: self.operator.is_behind)
    @rule()
    def operator_notices(self) -> None:
        self.operator.catch_up()

    @rule(hosts=st.sets(NUMBERS, max_size=COUNT // 2), is_cut=st.booleans())
    def some_are_out_of_reach(self, hosts: set[int], is_cut: bool) -> None:
        """Of the store, or of the other daemons; those that were are so no more."""
        self.mesh.silent.clear()
        self.mesh.network.heal()
        if is_cut:
            self.mesh.network.cut_off({f"10.{n % 3}.0.{n}" for n in hosts})
        else:
            self.mesh.silent.update(f"h{n}" for n in hosts)

    @rule(hosts=st.sets(NUMBERS, max_size=2))
    def some_are_killed(self, hosts: set[int]) -> None:
        """The daemon that leads, where none is chosen."""
        leads = [h for h, d in self.mesh.daemons.items() if d.feeding.is_lead]
        self.restart([f"h{n}" for n in hosts] or leads[:1])

    @rule()
    def all_are_killed(self) -> None:
        """Nobody remembers anything but the store."""
        self.restart(self.names())
        self.advance(1.0)

    def restart(self, hosts: list[str]) -> None:
        self.starts += 1

        async def kill_and_start() -> None:
            for host in hosts:
                self.kill_and_start(host)

        self.do(kill_and_start)
        self.advance(0.1)

    def kill_and_start(self, host: str) -> None:
        number = int(host[1:])
        self.mesh.kill(host)
        domain, ip = f"d{number % 3}", f"10.{number % 3}.0.{number}"
        self.mesh.start(host, domain, ip, incarnation=self.starts)

    # --- what must hold -----------------------------------------------------------------------

    def note_beliefs(self) -> None:
        """What is in force and believed in one start of a daemon never goes back."""
        for host, daemon in self.mesh.daemons.items():
            start = (host, daemon.members.table.own.incarnation)
            version = daemon.versions.version
            assert version >= self.versions.get(start, 0), (host, version)
            self.versions[start] = version
            rollout = daemon.book.find(SERVICE)
            if rollout is not None:
                self.check_belief(self.beliefs.get(start), rollout)
                self.beliefs[start] = rollout

    def check_belief(self, before: Rollout | None, now: Rollout) -> None:
        if before is None:
            return
        orders = self.operator.orders
        assert orders.index(now.version) >= orders.index(before.version), (before, now)
        if now.version == before.version:
            assert now.phase >= before.phase, (before, now)

    @invariant()
    def nothing_is_in_force_that_was_not_published(self) -> None:
        if hasattr(self, "operator"):
            newest = max(daemon.versions.version for daemon in self.mesh.daemons.values())
            assert newest <= self.operator.version

    def teardown(self) -> None:
        if not hasattr(self, "operator"):
            self.loop.close()
            return
        try:
            self.all_is_well_again()
        finally:
            self.jobs.put_nowait(None)
            self.loop.run_until_complete(asyncio.wait({self.task}))
            self.loop.close()

    def all_is_well_again(self) -> None:
        """The faults end; a while later all agree with the operator and the store."""
        self.mesh.network.heal()
        self.mesh.silent.clear()
        self.operator.catch_up()
        self.advance(REPAIRED)
        versions = {host: daemon.versions.version for host, daemon in self.mesh.daemons.items()}
        assert set(versions.values()) == {self.operator.version}, versions
        self.directory_is_whole()
        if self.operator.orders:
            self.rollouts_agree()

    def directory_is_whole(self) -> None:
        records = self.mesh.store.records(STREAM)
        newest = {record.key: record for record in records}.values()
        for host, daemon in self.mesh.daemons.items():
            own = daemon.members.table.own
            assert not own.is_listed or _has_entry(newest, own), host
        assert newest, "nobody can be found"

    def rollouts_agree(self) -> None:
        believed = {h: d.book.find(SERVICE) for h, d in self.mesh.daemons.items()}
        ends = {(r.version, r.phase) if r is not None else None for r in believed.values()}
        assert ends == {(self.operator.orders[-1], Phase.ROLLED_BACK)}, believed
        status = Words().read_status(self.mesh.store.records(STATUS)[-1])
        assert status is not None
        assert (status.version, status.phase) == (self.operator.orders[-1], Phase.ROLLED_BACK)
        eras = {era_of(r.order) for r in believed.values() if r is not None}
        assert len(eras) == 1, believed


StoreRewindsTest = StoreRewinds.TestCase
StoreRewindsTest.settings = settings(
    max_examples=15,
    stateful_step_count=14,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class FoundTest(unittest.TestCase):
    """What the state machine has found, step for step."""

    def setUp(self) -> None:
        self.machine = StoreRewinds()

    def test_an_operator_that_needs_eight_seconds(self) -> None:
        """A reader that had not read the older order itself took it up after four."""
        machine = self.machine
        machine.starts_up(ordered=2, is_lost=True)
        machine.notices_at = float("inf")
        for seconds in (0.5, 0.1, 0.5, 2.0, 0.1, 0.1, 0.5, 0.1, 2.0):
            machine.time_passes(seconds)
        machine.teardown()

    def test_a_daemon_that_starts_behind_a_cut_and_tells_the_older_order(self) -> None:
        machine = self.machine
        machine.starts_up(ordered=2, is_lost=True)
        machine.some_are_out_of_reach(hosts={0, 4, 5}, is_cut=True)
        machine.some_are_killed(hosts={5})
        machine.some_are_killed(hosts={1})
        machine.some_are_out_of_reach(hosts={3, 5}, is_cut=False)
        machine.some_are_killed(hosts={2, 4})
        machine.some_are_out_of_reach(hosts={1, 2, 3}, is_cut=True)
        machine.some_are_killed(hosts=set())
        machine.some_are_killed(hosts={5})
        machine.some_are_out_of_reach(hosts={4}, is_cut=False)
        machine.some_are_killed(hosts={0, 4})
        machine.some_are_killed(hosts=set())
        machine.teardown()

    def test_order_is_not_dropped_for_the_status_of_a_daemon_without_state(self) -> None:
        """The daemons that had dropped it led those that had begun it, which then heard nothing."""
        machine = self.machine
        machine.starts_up(ordered=1, is_lost=False)
        machine.comes_back_older(age=5.0, late=False)
        machine.orders()
        machine.some_are_out_of_reach(hosts={0, 1, 3}, is_cut=False)
        machine.comes_back_older(age=0.0, late=True)
        machine.some_are_out_of_reach(hosts={2, 5}, is_cut=False)
        machine.comes_back_older(age=0.0, late=True)
        machine.comes_back_older(age=5.0, late=True)
        machine.comes_back_older(age=1.0, late=True)
        machine.comes_back_older(age=1.0, late=False)
        machine.orders()
        machine.some_are_killed(hosts=set())
        machine.some_are_killed(hosts={0, 3})
        machine.some_are_killed(hosts={2, 5})
        machine.teardown()

    def test_lost_entries_are_written_again_if_the_lead_was_not_told_of_the_restore(self) -> None:
        """Only the reader that had noticed it checked the list, and did not lead."""
        machine = self.machine
        machine.starts_up(ordered=0, is_lost=True)
        for _ in range(10):
            machine.is_copied()
        machine.some_are_killed(hosts={3, 4})
        for _ in range(2):
            machine.is_copied()
        machine.teardown()

    def test_order_is_not_lost_with_the_reader_that_has_told_nobody(self) -> None:
        """Its version went on with a position behind the order, from where the next lead read."""
        machine = self.machine
        machine.starts_up(ordered=0, is_lost=True)
        machine.publishes()
        machine.some_are_killed(hosts=set())
        machine.orders()
        machine.some_are_killed(hosts={2})
        machine.some_are_killed(hosts=set())
        machine.some_are_out_of_reach(hosts={5}, is_cut=False)
        machine.operator_notices()
        machine.some_are_out_of_reach(hosts=set(), is_cut=False)
        machine.publishes()
        machine.some_are_killed(hosts={0, 4})
        machine.is_copied()
        machine.is_copied()
        machine.some_are_out_of_reach(hosts=set(), is_cut=False)
        machine.teardown()

    def test_order_is_not_lost_with_the_lead_that_holds_it(self) -> None:
        """As above, with an order that is held in case it is older than the known one."""
        machine = self.machine
        machine.starts_up(ordered=1, is_lost=True)
        machine.orders()
        machine.publishes()
        machine.is_copied()
        machine.some_are_killed(hosts={2, 3})
        machine.time_passes(seconds=0.1)
        machine.operator_notices()
        machine.some_are_killed(hosts=set())
        machine.is_copied()
        machine.some_are_killed(hosts=set())
        machine.time_passes(seconds=0.5)
        machine.some_are_killed(hosts=set())
        machine.time_passes(seconds=0.1)
        machine.some_are_killed(hosts=set())
        machine.teardown()


if __name__ == "__main__":
    unittest.main()
