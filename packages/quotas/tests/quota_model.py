"""Simulates many daemons that enforce the caps of workspaces, without network or real time.

The real `MeshCaps` of each daemon runs on a simulated clock. Messages between daemons are delayed
and sometimes lost, and each daemon learns of membership changes seconds late. Callers, network
partitions and kills are simulated. `sharing_daemon.py` implements the rejected alternative, rate
sharing.

    python packages/quotas/tests/quota_model.py 5       # the tables of the design note, five seeds
"""

from __future__ import annotations

import asyncio
import bisect
import math
import random
import sys
from collections import Counter, defaultdict
from collections.abc import Callable
from pathlib import Path

import anyio
import anyio.abc
from attrs import define, field, frozen
from sharing_daemon import SharingCaps

from acaciayard_callmodel import NotRun, UsageCaps
from acaciayard_quotas import (
    QUOTA_MESSAGES,
    CapRules,
    MeshCaps,
    Seats,
    TokenRequest,
    TokenResponse,
    TokenReturn,
    limit_of,
)
from acaciayard_resources import Configuration, ResourceKey, Stored, Workspace
from acaciayard_wire import MessageCodec

sys.path.append(str(Path(__file__).resolve().parents[2] / "calls" / "tests"))
from jumping_loop import JumpingLoop, LoopTimers

DAEMONS = 64
SECONDS = 30.0
RULES = CapRules()
#: The largest, a medium and a small workspace of the first deployment with caps, which had 75
#: workspaces; caps are 1.6 times the usual load.
LARGE = Workspace(name="large", calls_per_second=303, burst=303)
MIDDLE = Workspace(name="middle", calls_per_second=20, burst=20)
SMALL = Workspace(name="small", calls_per_second=2, burst=2)
USUAL = 1 / 1.6
#: Ranges of seconds within which one daemon learns of another's failure and return.
FAILURE_DETECTION_DELAY = (3.5, 6.0)
RETURN_DETECTION_DELAY = (0.05, 1.5)
#: Seconds between messages from any other daemon, and from a start until the other daemons have
#: been contacted.
MESSAGE_INTERVAL = (0.3, 1.0)
JOIN_DELAY = 0.6


def configuration(*workspaces: Workspace, version: int = 1) -> Configuration:
    """A configuration with these workspaces."""
    stored = {
        ResourceKey("workspace", each.name): Stored(each, version, "t", 0.0) for each in workspaces
    }
    return Configuration(version, stored)


@frozen
class Network:
    """Delays and losses of messages."""

    #: Mean delay in seconds, and the share of messages delayed by up to `late` seconds.
    delay: float = 0.001
    late_share: float = 0.01
    late: float = 0.2
    #: Share of messages that are lost.
    loss: float = 0.005


@define
class Scenario:
    """A simulated scenario."""

    name: str
    #: Calls a second of each workspace, as a function of the time in seconds.
    rates: dict[str, Callable[[float], float]]
    network: Network = field(factory=Network)
    #: Actions on the mesh, by the time in seconds.
    events: list[tuple[float, Callable[[Mesh], None]]] = field(factory=list)
    #: Exponent of the skew in the distribution of callers over daemons.
    skew: float = 0.6
    #: Share of counted calls that are refused elsewhere and give their token back.
    refused_elsewhere: float = 0.0
    workspaces: tuple[Workspace, ...] = (LARGE, MIDDLE, SMALL)
    daemons: int = DAEMONS


class Daemon:
    """One process lifetime of a daemon."""

    def __init__(self, mesh: Mesh, host: str) -> None:
        self.host = host
        self.is_alive = True
        self.seats = Seats(host, timers=mesh.timers)
        self.caps = mesh.make(mesh, self)

    def take(self, message: object) -> None:
        """Handle a message from another daemon."""
        caps = self.caps
        if isinstance(caps, SharingCaps):
            caps.handle_message(message)
            return
        assert isinstance(caps, MeshCaps)
        match message:
            case TokenRequest():
                caps.handle_request(message)
            case TokenResponse():
                caps.handle_response(message)
            case TokenReturn():
                caps.handle_return(message)


def make_seat_caps(mesh: Mesh, daemon: Daemon) -> UsageCaps:
    """The implemented algorithm: the owners of seats grant tokens."""
    return MeshCaps(
        daemon.host,
        seats=daemon.seats,
        rules=RULES,
        timers=mesh.timers,
        seed=random.Random(mesh.seed.random()),
        send=lambda to, message: mesh.send(daemon, to, message),
    )


def make_sharing_caps(mesh: Mesh, daemon: Daemon) -> UsageCaps:
    """The rejected alternative: daemons exchange shares of the rate according to demand."""
    return SharingCaps(
        daemon.host,
        peers=lambda: [each.host for each in mesh.daemons.values() if each.is_alive],
        first_share=1 / mesh.scenario.daemons if not mesh.has_started else 0.0,
        rules=RULES,
        timers=mesh.timers,
        seed=random.Random(mesh.seed.random()),
        send=lambda to, message: mesh.send(daemon, to, message),
    )


class Mesh:
    """All daemons and the network between them."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        timers: LoopTimers,
        tasks: anyio.abc.TaskGroup,
        make: Callable[[Mesh, Daemon], UsageCaps] = make_seat_caps,
    ) -> None:
        self.scenario = scenario
        self.seed = random.Random(seed)
        self.timers = timers
        self.tasks = tasks
        self.make = make
        self.start = timers.now()
        self.has_started = False
        self.workspaces = scenario.workspaces
        self.partition_of: dict[str, int] = defaultdict(int)
        self.daemons: dict[str, Daemon] = {}
        self.codec = MessageCodec(QUOTA_MESSAGES)
        self.messages = 0
        self.bytes = 0
        self.outcome = Outcome(scenario)
        for number in range(scenario.daemons):
            self.start_daemon(f"h{number}")
        self.has_started = True

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        self.timers.call_at(self.timers.now() + seconds, callback)

    # --- daemons --------------------------------------------------------------------------------

    def start_daemon(self, host: str) -> None:
        """Start a daemon; it and the others learn of each other."""
        daemon = self.daemons[host] = Daemon(self, host)
        self._use(daemon)
        self.after(JOIN_DELAY * 0.5, lambda: self._contact_others(daemon))
        self.after(JOIN_DELAY, daemon.seats.settle)
        for other in self.daemons.values():
            self.after(
                self.seed.uniform(*RETURN_DETECTION_DELAY),
                self._membership_update(other, host, True),
            )
        self._receive_messages(daemon)
        if isinstance(daemon.caps, MeshCaps):
            self.tasks.start_soon(daemon.caps.run)

    def _use(self, daemon: Daemon) -> None:
        daemon.caps.use(configuration(*self.workspaces))  # type: ignore[attr-defined]

    def _contact_others(self, daemon: Daemon) -> None:
        for other in tuple(self.daemons.values()):
            if other.is_alive and self._can_reach(daemon.host, other.host):
                daemon.seats.note_present(other.host)

    def _receive_messages(self, daemon: Daemon) -> None:
        if not daemon.is_alive or self.daemons[daemon.host] is not daemon:
            return
        if any(
            o.is_alive and o is not daemon and self._can_reach(daemon.host, o.host)
            for o in self.daemons.values()
        ):
            daemon.seats.note_message()
        self.after(self.seed.uniform(*MESSAGE_INTERVAL), lambda: self._receive_messages(daemon))

    def _can_reach(self, one: str, other: str) -> bool:
        return self.partition_of[one] == self.partition_of[other]

    def _membership_update(
        self, observer: Daemon, host: str, is_present: bool
    ) -> Callable[[], None]:
        def update() -> None:
            subject = self.daemons[host]
            is_there = subject.is_alive and self._can_reach(observer.host, host)
            if not observer.is_alive or observer.host == host or is_there != is_present:
                return
            if is_present:
                observer.seats.note_present(host)
            else:
                observer.seats.note_departed(host, has_left=False)

        return update

    def _announce_change(self, host: str) -> None:
        for observer in self.daemons.values():
            for subject, seen_by in ((host, observer), (observer.host, self.daemons[host])):
                for is_present, bounds in (
                    (True, RETURN_DETECTION_DELAY),
                    (False, FAILURE_DETECTION_DELAY),
                ):
                    self.after(
                        self.seed.uniform(*bounds),
                        self._membership_update(seen_by, subject, is_present),
                    )

    def kill(self, *hosts: str) -> None:
        """Stop daemons without a leave message."""
        for host in hosts:
            self.daemons[host].is_alive = False
            self._announce_change(host)

    def partition(self, hosts: list[str], *, each_alone: bool) -> None:
        """Partition daemons from the rest, each on its own or all in one group."""
        for number, host in enumerate(hosts, start=1):
            self.partition_of[host] = number if each_alone else 1
        for host in hosts:
            self._announce_change(host)

    def heal(self) -> None:
        """End all partitions."""
        hosts = [host for host, group in self.partition_of.items() if group]
        self.partition_of.clear()
        for host in hosts:
            self._announce_change(host)

    def use(self, *workspaces: Workspace) -> None:
        """Change the caps; each daemon receives them within 0.4 s."""
        self.workspaces = workspaces
        for daemon in self.daemons.values():
            self.after(self.seed.uniform(0.02, 0.4), lambda daemon=daemon: self._use(daemon))

    def owner(self, workspace: str, seat: int = 0) -> str:
        """The owner of a seat, as some running daemon sees it."""
        some = next(each for each in self.daemons.values() if each.is_alive)
        return some.seats.owner_of(workspace, seat) or some.host

    # --- messages ---------------------------------------------------------------------------------

    def send(self, sender: Daemon, to: str, message: object) -> None:
        """Send a message, which may be lost."""
        network = self.scenario.network
        self.messages += 1
        if type(message) in QUOTA_MESSAGES.values():
            self.bytes += len(self.codec.encode(message)) + 28  # including the UDP and IP headers
        if self.seed.random() < network.loss:
            return
        seconds = self.seed.expovariate(1 / network.delay)
        if self.seed.random() < network.late_share:
            seconds = self.seed.uniform(0, network.late)

        def deliver() -> None:
            receiver = self.daemons[to]
            if receiver.is_alive and sender.is_alive and self._can_reach(sender.host, to):
                receiver.take(message)

        self.after(seconds, deliver)

    # --- calls ----------------------------------------------------------------------------------

    async def generate_calls(self, workspace: str) -> None:
        """Generate the calls of one workspace."""
        hosts = list(self.daemons)
        random.Random(workspace).shuffle(hosts)
        weights = [1 / (place + 1) ** self.scenario.skew for place in range(len(hosts))]
        rate = self.scenario.rates[workspace]
        while True:
            now = self.timers.now() - self.start
            # Samples at the current rate, so that a change takes effect with the next call.
            await self.timers.sleep(self.seed.expovariate(rate(now) or 1.0))
            if not rate(now):
                continue
            daemon = self.daemons[self.seed.choices(hosts, weights)[0]]
            if daemon.is_alive:
                self.tasks.start_soon(self._call, daemon, workspace)

    async def _call(self, daemon: Daemon, workspace: str) -> None:
        outcome = self.outcome
        now = self.timers.now() - self.start
        outcome.record_call(workspace, now, self.workspaces)
        counted = await daemon.caps.take(workspace)
        if isinstance(counted, NotRun):
            outcome.refused[workspace].append(now)
            return
        if self.seed.random() < self.scenario.refused_elsewhere:
            await self.timers.sleep(self.seed.uniform(0.0, 0.1))
            daemon.caps.give_back(counted)
            return
        outcome.served[workspace].append(self.timers.now() - self.start)


class Outcome:
    """Counts of the simulated calls."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.offered: Counter[str] = Counter()
        self.allowed: dict[str, int] = defaultdict(int)
        self.served: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, list[float]] = defaultdict(list)
        self._buckets: dict[str, tuple[float, float]] = {}
        self.messages_a_second = 0.0
        self.bytes_a_second = 0.0

    def record_call(self, name: str, now: float, workspaces: tuple[Workspace, ...]) -> None:
        """Count a call, and whether a single global bucket for all seats would allow it."""
        self.offered[name] += 1
        limit = limit_of(next(each for each in workspaces if each.name == name), RULES)
        depth = limit.depth * limit.seats
        tokens, since = self._buckets.get(name, (depth, 0.0))
        tokens = min(depth, tokens + limit.rate * limit.seats * (now - since))
        if tokens >= 1:
            tokens -= 1
            self.allowed[name] += 1
        self._buckets[name] = (tokens, now)

    def refused_share(self, name: str) -> float:
        """Share of the calls below the cap that were refused."""
        allowed = self.allowed[name]
        given = self.offered[name] - len(self.refused[name])
        return max(0, allowed - given) / max(1, allowed)

    def worst_window(self, cap: Workspace, *, since: float = 0.0) -> float:
        """Calls in the worst window as a share of its bound."""
        times = sorted(each for each in self.served[cap.name] if each >= since)
        most = 0
        for place, time in enumerate(times):
            most = max(most, place + 1 - bisect.bisect_right(times, time - RULES.window))
        return most / RULES.bound(cap)


def simulate(
    scenario: Scenario,
    *,
    seed: int,
    seconds: float = SECONDS,
    make: Callable[[Mesh, Daemon], UsageCaps] = make_seat_caps,
) -> Outcome:
    """Run a scenario; the same seed gives the same outcome."""
    found: list[Outcome] = []

    async def main() -> None:
        timers = LoopTimers(asyncio.get_running_loop())
        async with anyio.create_task_group() as tasks:
            mesh = Mesh(scenario, seed, timers, tasks, make)
            await timers.sleep(10.0)  # traffic starts some seconds after the daemons
            mesh.start = timers.now()
            mesh.messages = mesh.bytes = 0
            for name in scenario.rates:
                tasks.start_soon(mesh.generate_calls, name)
            for at, event in scenario.events:
                mesh.after(at, lambda event=event: event(mesh))
            await timers.sleep(seconds)
            mesh.outcome.messages_a_second = mesh.messages / seconds
            mesh.outcome.bytes_a_second = mesh.bytes / seconds
            found.append(mesh.outcome)
            tasks.cancel_scope.cancel()

    loop = JumpingLoop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
    return found[0]


# --- scenarios ------------------------------------------------------------------------------------


def usual_load(
    *hot: str, factor: float = 7.5, at: float = 8.0, lasts: float = 6.5
) -> dict[str, Callable[[float], float]]:
    """The usual load; each workspace in `hot` sends `factor` times its load for `lasts` seconds."""

    def rate_of(cap: Workspace) -> Callable[[float], float]:
        plain = cap.calls_per_second * USUAL
        if cap.name not in hot:
            return lambda _now: plain
        return lambda now: plain * factor if at <= now < at + lasts else plain

    return {cap.name: rate_of(cap) for cap in (LARGE, MIDDLE, SMALL)}


def constant_load(share: float) -> dict[str, Callable[[float], float]]:
    """A constant load at a share of all calls that the cap allows in a window."""

    def rate_of(cap: Workspace) -> Callable[[float], float]:
        return lambda _now: share * (cap.calls_per_second + cap.burst / RULES.window)

    return {cap.name: rate_of(cap) for cap in (LARGE, MIDDLE, SMALL)}


ALL = ("large", "middle", "small")


def _sample(mesh: Mesh, share: float) -> list[str]:
    return random.Random(7).sample(sorted(mesh.daemons), round(share * len(mesh.daemons)))


def _kill_for(
    hosts: Callable[[Mesh], list[str]], at: float, lasts: float
) -> list[tuple[float, Callable[[Mesh], None]]]:
    killed: list[str] = []

    def kill(mesh: Mesh) -> None:
        killed[:] = hosts(mesh)
        mesh.kill(*killed)

    def start(mesh: Mesh) -> None:
        for host in killed:
            mesh.start_daemon(host)

    return [(at, kill), (at + lasts, start)]


def _owners(mesh: Mesh) -> list[str]:
    return sorted({mesh.owner(name, seat) for name in ALL for seat in (0,)})


def _start_new_daemons(mesh: Mesh) -> None:
    for number in range(16):
        mesh.start_daemon(f"new{number}")


LOWERED = tuple(
    cap.__class__(name=cap.name, calls_per_second=cap.calls_per_second / 2, burst=cap.burst // 2)
    for cap in (LARGE, MIDDLE, SMALL)
)
RAISED = tuple(
    cap.__class__(name=cap.name, calls_per_second=cap.calls_per_second * 2, burst=cap.burst * 2)
    for cap in (LARGE, MIDDLE, SMALL)
)

SCENARIOS: list[Scenario] = [
    Scenario("calm", usual_load()),
    Scenario("all that the cap allows", constant_load(0.93)),
    Scenario("hot", usual_load(*ALL)),
    Scenario("hot, callers on few hosts", usual_load(*ALL), skew=3.0),
    Scenario("hot, callers on all hosts alike", usual_load(*ALL), skew=0.0),
    Scenario("hot, words lost and late", usual_load(*ALL), Network(0.003, 0.1, 0.5, 0.05)),
    Scenario("calm, words lost and late", usual_load(), Network(0.003, 0.1, 0.5, 0.05)),
    Scenario("calm, a third refused elsewhere", usual_load(), refused_elsewhere=0.33),
    Scenario("holders killed, calm", usual_load(), events=_kill_for(_owners, 10.0, 20.0)),
    Scenario("holders killed, hot", usual_load(*ALL), events=_kill_for(_owners, 10.0, 3.0)),
    Scenario(
        "holders cut off, hot",
        usual_load(*ALL, lasts=15.0),
        events=[
            (6.0, lambda m: m.partition(_owners(m), each_alone=True)),
            (18.0, lambda m: m.heal()),
        ],
    ),
    Scenario(
        "a third cut off each for itself, hot",
        usual_load(*ALL, lasts=15.0),
        events=[
            (6.0, lambda m: m.partition(_sample(m, 0.35), each_alone=True)),
            (18.0, lambda m: m.heal()),
        ],
    ),
    Scenario(
        "two halves, hot",
        usual_load(*ALL, lasts=15.0),
        events=[
            (6.0, lambda m: m.partition(_sample(m, 0.5), each_alone=False)),
            (18.0, lambda m: m.heal()),
        ],
    ),
    Scenario(
        "half killed for 2 s, calm",
        usual_load(),
        events=_kill_for(lambda m: _sample(m, 0.55), 10.0, 2.0),
    ),
    Scenario(
        "all killed at once, hot",
        usual_load(*ALL, lasts=15.0),
        events=_kill_for(lambda m: sorted(m.daemons), 10.0, 1.0),
    ),
    Scenario(
        "all killed at once, calm",
        usual_load(),
        events=_kill_for(lambda m: sorted(m.daemons), 10.0, 1.0),
    ),
    Scenario(
        "sixteen join, hot", usual_load(*ALL, lasts=15.0), events=[(10.0, _start_new_daemons)]
    ),
    Scenario(
        "cap lowered, hot", usual_load(*ALL, lasts=15.0), events=[(10.0, lambda m: m.use(*LOWERED))]
    ),
    Scenario(
        "cap raised, hot", usual_load(*ALL, lasts=15.0), events=[(10.0, lambda m: m.use(*RAISED))]
    ),
]


def worst_of(scenario: Scenario, outcome: Outcome) -> float:
    """The worst window of any workspace as a share of its bound, as `CapRules` count it."""
    if scenario.name == "cap lowered, hot":
        # The lower cap binds once it has been in force on all daemons for one window.
        before = max(outcome.worst_window(cap) for cap in (LARGE, MIDDLE, SMALL))
        after = max(outcome.worst_window(cap, since=10.0 + 2.5 + RULES.window) for cap in LOWERED)
        return max(before, after)
    caps = RAISED if scenario.name == "cap raised, hot" else (LARGE, MIDDLE, SMALL)
    return max(outcome.worst_window(cap) for cap in caps)


def main(seeds: int) -> None:
    """Print the tables."""
    print(
        "| scene | way | worst window / bound | refused below the cap, of 1,000: large, middle,"
        " small | messages, KB a second |"
    )
    print("|---|---|---|---|---|")
    for scenario in SCENARIOS:
        for name, make in (("seats", make_seat_caps), ("shares", make_sharing_caps)):
            outcomes = [simulate(scenario, seed=seed, make=make) for seed in range(seeds)]
            worst = max(worst_of(scenario, outcome) for outcome in outcomes)
            refused_share = [
                1000 * math.fsum(each.refused_share(cap) for each in outcomes) / seeds
                for cap in ALL
            ]
            messages = max(each.messages_a_second for each in outcomes)
            volume = max(each.bytes_a_second for each in outcomes) / 1000
            refusals = ", ".join(f"{share:.1f}" for share in refused_share)
            print(
                f"| {scenario.name} | {name} | {worst:.2f} | {refusals}"
                f" | {messages:.0f}, {volume:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
