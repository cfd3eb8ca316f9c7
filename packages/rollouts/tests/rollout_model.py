"""Simulates a rollout over many daemons, without network or real time.

The real `RolloutBook` of each daemon and the real `Conductor` of the first one run on a simulated
clock. Messages between them are delayed and sometimes lost. Calls, targets, the store and the
faults of either version are simulated.

    python packages/rollouts/tests/rollout_model.py 40      # the tables of the design note
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import sys
import zlib
from collections import Counter
from collections.abc import Callable
from unittest import mock

from attrs import define
from count_judge import CountJudge
from rollout_troubles import BACKGROUNDS, BAD, TARGETS, Call, Fault

from acaciayard_rollouts import (
    ANY_VERSION,
    Conductor,
    Fleet,
    Judge,
    MemberStart,
    Phase,
    RolloutBook,
    RolloutOrder,
    RolloutStatus,
    SequentialJudge,
    Side,
    Stage,
    StatusFound,
    StatusLost,
    StatusStore,
)
from acaciayard_timers import ManualTimers

SERVICE = "quotes"
#: The shape of the first deployment with rollout orders: 80 daemons, 14 calls a second per daemon,
#: half of the calls on each of two routes, and orders of 14 s.
DAEMONS = 80
RATE = 14.0
DURATION = 14.0
SHARE = 0.1
SLACK = 50
ROUTES = ("read", "file")
#: Seconds after the fiftieth bad answer from which a bad version must get no calls.
ROLLBACK_WITHIN = 5.0


class Clock(ManualTimers):
    """A clock that the simulation sets."""

    def set(self, now: float) -> None:
        """Set the current time."""
        self._now = now


class Store(StatusStore):
    """Keeps statuses in memory; may be unavailable for a while."""

    def __init__(self) -> None:
        self.written: list[RolloutStatus] = []
        self.is_down = False

    async def read(self, service: str) -> StatusFound | StatusLost:
        if self.is_down:
            return StatusLost("down")
        newest = self.written[-1] if self.written else None
        return StatusFound(newest, len(self.written))

    async def write(self, status: RolloutStatus, *, position: int) -> bool | StatusLost:
        if position != len(self.written):
            return False
        self.written.append(status)
        return True


@define(eq=False)
class Outcome:
    """The result of one order."""

    #: Final phase.
    phase: Phase = Phase.RUNNING
    #: Time of the decision in seconds since the order.
    decided: float = 0.0
    #: Calls that reached the service, and those of them sent to the new version.
    calls: int = 0
    exposed: int = 0
    #: Calls refused because neither version could take them.
    refused: int = 0
    #: Bad answers caused by the version itself.
    bad: int = 0
    #: Times of the fiftieth bad answer and of the last call to the new version.
    fiftieth_bad_at: float = float("inf")
    last_sent: float = 0.0
    #: Calls that ran at the old version when the success was written, or started there later.
    old_version_calls: int = 0

    @property
    def is_within_exposure(self) -> bool:
        """Whether the calls to a bad version stayed within the allowed exposure."""
        is_stopped = self.last_sent <= self.fiftieth_bad_at + ROLLBACK_WITHIN
        return self.exposed <= SHARE * self.calls + SLACK and is_stopped


class Model:
    """One order, from its arrival to two seconds after its end."""

    def __init__(
        self, version: Fault, background: Fault, *, seed: int, judge: Judge | None = None
    ) -> None:
        self._version = version
        self._background = background
        self._seed = random.Random(seed)
        self._clock = Clock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._recent: Counter[Side] = Counter()
        self._base_running = 0
        self.outcome = Outcome()
        self.store = Store()
        self.books = [
            RolloutBook(timers=self._clock, exposure_share=SHARE, seed=self._seed)
            for _ in range(DAEMONS)
        ]
        starts = frozenset(MemberStart(f"h{n}", 1) for n in range(DAEMONS))
        slots = Counter({"v1": TARGETS * 8, "v2": TARGETS * 8})
        self._conductor = Conductor(
            book=self.books[0],
            fleet=Fleet(
                present=lambda: starts,
                lost_within=lambda _seconds: frozenset(),
                slots=lambda _service: Counter(slots),
                hosts=lambda _service: Counter({"v1": TARGETS, "v2": TARGETS}),
                leads=lambda: True,
                has_majority=lambda: True,
            ),
            store=self.store,
            timers=self._clock,
            seed=self._seed,
            judge=judge or SequentialJudge(),
        )

    def run(self) -> Outcome:
        """Run the simulation."""
        self._conductor.take_order(RolloutOrder(SERVICE, "v2", DURATION, 1))
        for number in range(DAEMONS):
            self._at(self._seed.expovariate(RATE), lambda number=number: self._arrive(number))
            self._report_on(number)
        self._tell()
        self._every(0.1, self._look)
        self._every(0.4, self._tell)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now > DURATION + 2:
                break
            self._clock.set(now)
            event()
        return self.outcome

    def _at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), event))

    def _every(self, period: float, event: Callable[[], None]) -> None:
        def repeat() -> None:
            event()
            self._at(self._clock.now() + period, repeat)

        self._at(self._seed.uniform(0, period), repeat)

    def _send(self, event: Callable[[], None]) -> None:
        """Deliver an event to another daemon with a delay, or lose it in one of fifty cases."""
        if self._seed.random() > 0.02:
            self._at(self._clock.now() + self._seed.uniform(0.001, 0.05), event)

    # --- control plane ----------------------------------------------------------------------------

    def _tell(self) -> None:
        told = self.books[0].all
        self.books[0].merge(told, source="own")
        for book in self.books[1:]:
            self._send(lambda book=book: book.merge(told, source="member"))

    def _report_on(self, number: int) -> None:
        """Report repeatedly, more often once all calls are moved."""
        self._report(number)
        rollout = self.books[number].find(SERVICE)
        is_full = rollout is not None and rollout.stage == Stage.FULL
        period = self._seed.uniform(0.5, 1.0) * (0.15 if is_full else 0.4)
        self._at(self._clock.now() + period, lambda: self._report_on(number))

    def _report(self, number: int) -> None:
        for report in self.books[number].reports(f"h{number}", 1):
            self._send(lambda report=report: self._conductor.take_report(report))

    def _look(self) -> None:
        before = self.books[0].find(SERVICE)
        self._conductor.look()
        asyncio.run(self._conductor.settle())
        now = self.books[0].find(SERVICE)
        assert before is not None and now is not None
        if before.rank != now.rank:
            self._tell()
        if before.is_running and not now.is_running:
            self.outcome.phase = Phase(now.phase)
            self.outcome.decided = self._clock.now()
            if now.phase == Phase.SUCCEEDED:
                self.outcome.old_version_calls = self._base_running

    # --- calls ------------------------------------------------------------------------------------

    def _arrive(self, number: int) -> None:
        now = self._clock.now()
        self._at(now + self._seed.expovariate(RATE), lambda: self._arrive(number))
        book = self.books[number]
        versions = book.versions(SERVICE)
        # A daemon that doesn't know the order yet uses the version that most targets run.
        is_new = versions is not ANY_VERSION and versions.admits("v2")
        side = Side.NEW if is_new else Side.BASE
        if side is Side.BASE and not versions.admits("v1"):
            self.outcome.refused += 1
            return
        self._begin(book, side, now)

    def _begin(self, book: RolloutBook, side: Side, now: float) -> None:
        outcome = self.outcome
        target = self._seed.randrange(TARGETS)
        route = self._seed.choice(ROUTES)
        version = "v2" if side is Side.NEW else "v1"
        is_cold = side is Side.NEW and now < 3.0 * target / TARGETS + 3.0
        run = book.begin(
            SERVICE, route, version=version, host=f"{version}-{target}", is_cold=is_cold
        )
        self._recent[side] += 1
        recent = sum(self._recent.values())
        share = self._recent[Side.NEW] / recent
        if recent > 200:
            self._recent = Counter({each: count // 2 for each, count in self._recent.items()})
        call = Call(route, target, side, now, share)
        result, disturbance = (t(call, self._seed) for t in (self._version, self._background))
        if now <= DURATION:
            outcome.calls += 1
            outcome.exposed += side is Side.NEW
        if side is Side.NEW:
            outcome.last_sent = now
        elif outcome.phase is Phase.SUCCEEDED:
            outcome.old_version_calls += 1
        speed = (0.5, 1.0, 1.0, 1.5)[zlib.crc32(b"%d" % target) % 4]
        duration = (
            self._seed.lognormvariate(-1.9, 0.5) / speed * result.slowdown * disturbance.slowdown
        )
        is_base = side is Side.BASE
        self._base_running += is_base

        def end() -> None:
            self._base_running -= is_base
            if run is not None:
                run.end(is_bad=result.is_bad or disturbance.is_bad)
            if result.is_caused_by_version:
                outcome.bad += 1
                if outcome.bad == 50:
                    outcome.fiftieth_bad_at = self._clock.now()

        self._at(now + min(duration, 1.75), end)


def tables(seeds: int) -> None:
    """Print the rates of both errors, exposure and times, for both judges and both schedules."""
    for judge, trial in ((SequentialJudge(), 0.2), (CountJudge(), 0.2), (SequentialJudge(), 0.6)):
        print(f"\n{type(judge).__name__}, trial takes {trial:g} of the exposure, {seeds} seeds")
        with mock.patch("acaciayard_rollouts._book._TRIAL_SHARE", trial):
            for name, version in BAD.items():
                _print_row(name, version, BACKGROUNDS["nothing"], judge, seeds)
            for name, background in BACKGROUNDS.items():
                _print_row(f"good, {name}", BACKGROUNDS["nothing"], background, judge, seeds)


def _print_row(name: str, version: Fault, background: Fault, judge: Judge, seeds: int) -> None:
    found = [Model(version, background, seed=n, judge=judge).run() for n in range(seeds)]
    ends = Counter(each.phase.name.lower() for each in found)
    kept = sum(each.is_within_exposure for each in found)
    decided = sorted(each.decided for each in found)[len(found) // 2]
    exposed = max(each.exposed / max(1, each.calls) for each in found)
    refused = sum(each.refused for each in found) / len(found)
    left = max(each.old_version_calls for each in found)
    print(
        f"{name:38} {dict(ends)!s:42} exposure kept {kept:3}, most {exposed:.3f}, "
        f"decided {decided:5.1f} s, refused {refused:5.0f}, left behind {left}"
    )


if __name__ == "__main__":
    tables(int(sys.argv[1]) if len(sys.argv) > 1 else 10)
