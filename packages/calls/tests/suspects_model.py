"""A mesh without network in which some requests end every target that runs them.

The suspects, the targets' books of calls at work and the choice of the trial's host are the real
ones.  Time, the run of a call and the way of news between daemons are modelled: each daemon hears
another one's news after a delay of its own, which is drawn anew for each piece.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from attrs import define, field

from acaciayard_admission import Announcement, GatePolicy, LocalTarget, RunningCall, Suspects
from acaciayard_callmodel import Call
from acaciayard_routing import trial_rank
from acaciayard_timers import ManualTimers
from acaciayard_wire import Address, Traffic

__all__ = ["Load", "Outcome", "play"]

#: Seconds that a good call runs, and a fatal one until its target ends.
GOOD_RUNS: float = 0.16
FATAL_RUNS: float = 0.05
#: Seconds until a target is back.
BACK_AFTER = (2.0, 6.0)
#: Seconds within which news reaches another daemon.
NEWS_WITHIN = (0.002, 0.4)


@define
class Load:
    """Who calls."""

    hosts: int = 13
    seconds: float = 20.0
    #: Fatal requests, copies of each that come at one moment, and seconds between two such moments.
    fatal: int = 1
    copies: int = 3
    each: float = 0.5
    #: Good calls a second, and the share of them that ask for one of five popular things.
    good: float = 60.0
    popular: float = 0.5
    #: Moments at which half of the targets end for a reason outside.
    outside: tuple[float, ...] = ()


@define
class Outcome:
    """What came of it."""

    #: When targets ended under each fatal request, and when it was sent to targets.
    ends: dict[bytes, list[float]] = field(factory=dict)
    sent: dict[bytes, list[float]] = field(factory=dict)
    #: Good calls: asked, refused because of suspicion, and refused as barred.
    good: Counter[str] = field(factory=Counter)


class _Host:
    def __init__(self, number: int, mesh: _Mesh) -> None:
        self.name = f"h{number}"
        self.mesh = mesh
        self.suspects = Suspects(timers=mesh.timers)
        self.starts = 0
        self.target: LocalTarget | None = None
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.target = LocalTarget(
            Announcement("a", f"t{self.starts}", Address("127.0.0.1", 1), 6, 60),
            timers=self.mesh.timers,
            traffic=Traffic(),
            policy=GatePolicy(),
        )

    def end(self) -> None:
        """The target ends; its calls are blamed as the daemon beside it blames them."""
        target, self.target = self.target, None
        if target is None:
            return
        target.note_ended()
        for begun in target.blamed:
            self.suspects.note_end(begun.call, begun.suspicion)
        self.mesh.tell(self)
        self.mesh.after(self.mesh.seed.uniform(*BACK_AFTER), self.start)


class _Mesh:
    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.seed = random.Random(seed)
        self.timers = ManualTimers()
        self.outcome = Outcome()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.hosts = [_Host(number, self) for number in range(load.hosts)]

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.timers.now() + seconds, next(self._order), event))

    def tell(self, host: _Host) -> None:
        for other in self.hosts:
            told = host.suspects.published()
            merge = other.suspects.merge
            self.after(self.seed.uniform(*NEWS_WITHIN), lambda merge=merge, told=told: merge(told))

    def run(self) -> Outcome:
        self._schedule()
        while self._events:
            self.timers._now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _schedule(self) -> None:
        load = self.load
        for number in range(load.fatal):
            path = b"/fatal/%d" % number
            at = self.seed.uniform(0, load.each)
            while at < load.seconds:
                for _ in range(load.copies):
                    self.after(at, lambda path=path: self.ask(path, tries=2))
                at += load.each
        at = 0.0
        while at < load.seconds:
            at += self.seed.expovariate(load.good)
            self.after(at, self.ask_good)
        for at in load.outside:
            self.after(at, self.end_half)

    def end_half(self) -> None:
        for host in self.seed.sample(self.hosts, len(self.hosts) // 2):
            host.end()

    def ask_good(self) -> None:
        self.outcome.good["asked"] += 1
        if self.seed.random() < self.load.popular:
            self.ask(b"/popular/%d" % self.seed.randrange(5), tries=2)
        else:
            self.ask(b"/good/%d" % self.seed.getrandbits(40), tries=2)

    def ask(self, path: bytes, *, tries: int, entry: _Host | None = None) -> None:
        """A call at some entry, with its second try where the target is lost."""
        entry = entry or self.seed.choice(self.hosts)
        made = _call(path)
        suspicion = entry.suspects.of(made)
        up = [host for host in self.hosts if host.target is not None]
        if not up:
            return
        if suspicion is None:
            self._send(made, self.seed.choice(up), entry, tries)
        elif entry.suspects.is_barred(suspicion):
            self._refused(made, "barred")
        else:
            key = suspicion.fingerprint
            host = min(up, key=lambda h: trial_rank(h.name, key))
            host.suspects.merge([suspicion])  # it travels with the call
            self._send(made, host, entry, tries)

    def _send(self, made: Call, host: _Host, entry: _Host, tries: int) -> None:
        target = host.target
        suspicion = host.suspects.of(made)
        if target is None:
            return
        if suspicion is not None and host.suspects.is_barred(suspicion):
            self._refused(made, "barred")
            return
        if suspicion is not None and target.has_trial:
            self._refused(made, "waits")
            return
        begun = target.begin(made, suspicion)
        is_fatal = made.target.startswith(b"/fatal")
        if is_fatal:
            self.outcome.sent.setdefault(made.target, []).append(self.timers.now())
        runs = FATAL_RUNS if is_fatal else GOOD_RUNS
        self.after(runs, lambda: self._over(begun, host, target, entry, tries))

    def _over(
        self, begun: RunningCall, host: _Host, target: LocalTarget, entry: _Host, tries: int
    ) -> None:
        made = begun.call
        if made.target.startswith(b"/fatal") and host.target is target:
            self.outcome.ends.setdefault(made.target, []).append(self.timers.now())
            host.end()
        if host.target is target:
            host.suspects.note_success(made)
            self.tell(host)
        elif tries > 1:
            if begun in target.blamed:
                entry.suspects.note_end(made, begun.suspicion, is_own=False)
            self.ask(made.target, tries=tries - 1, entry=entry)
        target.finish(begun)

    def _refused(self, made: Call, why: str) -> None:
        if not made.target.startswith(b"/fatal"):
            self.outcome.good[why] += 1


def _call(path: bytes) -> Call:
    return Call(
        service="a",
        method=b"GET",
        target=path,
        fields=b"host: h\r\n",
        body=b"",
        is_whole=True,
        length=0,
        priority=0,
        deadline=1.0,
    )


def play(load: Load, *, seed: int) -> Outcome:
    """Play a load."""
    return _Mesh(load, seed).run()
