"""Simulation of a mesh in which fatal requests terminate every target that runs them.

The production code tracks the suspects and the running calls of each target, and chooses the hosts
of trials.  Time, the execution of calls and the gossip between daemons are simulated: every message
reaches every daemon after a random delay of its own.
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

__all__ = ["Load", "Outcome", "simulate"]

#: Execution time of a good call, and time until a fatal one terminates its target.
GOOD_CALL_S: float = 0.16
FATAL_CALL_S: float = 0.05
#: Range of the time until a terminated target is restarted.
RESTART_DELAY_S = (2.0, 6.0)
#: Range of the time that gossip takes to reach another daemon.
GOSSIP_DELAY_S = (0.002, 0.4)


@define
class Load:
    """Size of the mesh and the requests that it receives."""

    hosts: int = 13
    seconds: float = 20.0
    #: Number of fatal requests, copies of each that arrive at the same time, and seconds between
    #: such arrivals.
    fatal_requests: int = 1
    copies: int = 3
    interval: float = 0.5
    #: Good calls per second, and the share of them that request one of five popular paths.
    good_rate: float = 60.0
    popular_share: float = 0.5
    #: Times at which half of the targets terminate for an external reason.
    external_ends: tuple[float, ...] = ()


@define
class Outcome:
    """Result of a simulated load."""

    #: Times at which each fatal request terminated a target, and at which it was sent to one.
    ends: dict[bytes, list[float]] = field(factory=dict)
    sent: dict[bytes, list[float]] = field(factory=dict)
    #: Counts of good calls: issued, refused while a trial runs, and refused as barred.
    good: Counter[str] = field(factory=Counter)


class _Host:
    def __init__(self, number: int, mesh: _Mesh) -> None:
        self.name = f"h{number}"
        self.mesh = mesh
        self.suspects = Suspects(timers=mesh.timers)
        self.start_count = 0
        self.target: LocalTarget | None = None
        self.start()

    def start(self) -> None:
        self.start_count += 1
        self.target = LocalTarget(
            Announcement("a", f"t{self.start_count}", Address("127.0.0.1", 1), 6, 60),
            timers=self.mesh.timers,
            traffic=Traffic(),
            policy=GatePolicy(),
        )

    def end(self) -> None:
        """Terminates the target, and blames its calls as the daemon of its host does."""
        target, self.target = self.target, None
        if target is None:
            return
        target.note_ended()
        for call_at_work in target.blamed:
            self.suspects.note_end(call_at_work.call, call_at_work.suspicion)
        self.mesh.gossip(self)
        self.mesh.after(self.mesh.rng.uniform(*RESTART_DELAY_S), self.start)


class _Mesh:
    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.timers = ManualTimers()
        self.outcome = Outcome()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.hosts = [_Host(number, self) for number in range(load.hosts)]

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.timers.now() + seconds, next(self._order), event))

    def gossip(self, host: _Host) -> None:
        for other in self.hosts:
            reported = host.suspects.published()
            merge = other.suspects.merge
            self.after(
                self.rng.uniform(*GOSSIP_DELAY_S),
                lambda merge=merge, reported=reported: merge(reported),
            )

    def run(self) -> Outcome:
        self._schedule()
        while self._events:
            self.timers._now, _, event = heapq.heappop(self._events)
            event()
        return self.outcome

    def _schedule(self) -> None:
        load = self.load
        for number in range(load.fatal_requests):
            path = b"/fatal/%d" % number
            at = self.rng.uniform(0, load.interval)
            while at < load.seconds:
                for _ in range(load.copies):
                    self.after(at, lambda path=path: self.issue(path, attempts=2))
                at += load.interval
        at = 0.0
        while at < load.seconds:
            at += self.rng.expovariate(load.good_rate)
            self.after(at, self.issue_good)
        for at in load.external_ends:
            self.after(at, self.end_half)

    def end_half(self) -> None:
        for host in self.rng.sample(self.hosts, len(self.hosts) // 2):
            host.end()

    def issue_good(self) -> None:
        self.outcome.good["issued"] += 1
        if self.rng.random() < self.load.popular_share:
            self.issue(b"/popular/%d" % self.rng.randrange(5), attempts=2)
        else:
            self.issue(b"/good/%d" % self.rng.getrandbits(40), attempts=2)

    def issue(self, path: bytes, *, attempts: int, entry: _Host | None = None) -> None:
        """Issues a call at an entry; a lost target leads to another attempt."""
        entry = entry or self.rng.choice(self.hosts)
        call = _make_call(path)
        suspicion = entry.suspects.of(call)
        running = [host for host in self.hosts if host.target is not None]
        if not running:
            return
        if suspicion is None:
            self._send(call, self.rng.choice(running), entry, attempts)
        elif entry.suspects.is_barred(suspicion):
            self._count_refusal(call, "barred")
        else:
            fingerprint = suspicion.fingerprint
            host = min(running, key=lambda h: trial_rank(h.name, fingerprint))
            host.suspects.merge([suspicion])  # the call carries its suspicion
            self._send(call, host, entry, attempts)

    def _send(self, call: Call, host: _Host, entry: _Host, attempts: int) -> None:
        target = host.target
        suspicion = host.suspects.of(call)
        if target is None:
            return
        if suspicion is not None and host.suspects.is_barred(suspicion):
            self._count_refusal(call, "barred")
            return
        if suspicion is not None and target.has_trial:
            self._count_refusal(call, "trial")
            return
        call_at_work = target.begin(call, suspicion)
        is_fatal = call.target.startswith(b"/fatal")
        if is_fatal:
            self.outcome.sent.setdefault(call.target, []).append(self.timers.now())
        runs = FATAL_CALL_S if is_fatal else GOOD_CALL_S
        self.after(runs, lambda: self._complete(call_at_work, host, target, entry, attempts))

    def _complete(
        self,
        call_at_work: RunningCall,
        host: _Host,
        target: LocalTarget,
        entry: _Host,
        attempts: int,
    ) -> None:
        call = call_at_work.call
        if call.target.startswith(b"/fatal") and host.target is target:
            self.outcome.ends.setdefault(call.target, []).append(self.timers.now())
            host.end()
        if host.target is target:
            host.suspects.note_success(call)
            self.gossip(host)
        elif attempts > 1:
            if call_at_work in target.blamed:
                entry.suspects.note_end(call, call_at_work.suspicion, is_own=False)
            self.issue(call.target, attempts=attempts - 1, entry=entry)
        target.finish(call_at_work)

    def _count_refusal(self, call: Call, reason: str) -> None:
        if not call.target.startswith(b"/fatal"):
            self.outcome.good[reason] += 1


def _make_call(path: bytes) -> Call:
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


def simulate(load: Load, *, seed: int) -> Outcome:
    """Simulates a load; the same seed gives the same outcome."""
    return _Mesh(load, seed).run()
