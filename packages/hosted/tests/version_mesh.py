"""A mesh of daemons that follow one store, with a simulated network and a manual clock."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from types import MappingProxyType, SimpleNamespace
from typing import Any, TypeVar, cast

import anyio
import anyio.abc
import structlog
from attrs import define, field
from keyed_standin import KeyedStandIn
from plain_words import Words

from acaciayard_hosted import AcceptedVersions, HostedRollouts, StoreFollower, StoreKey
from acaciayard_hosted._age import ConfigurationAge
from acaciayard_hosted._directory import DIRECTORY_MESSAGES, HostDirectory
from acaciayard_hosted._eras import EraGuard
from acaciayard_hosted._feeding import Feeding
from acaciayard_hosted._relay import VersionRelay
from acaciayard_hosted._version_messages import RELAY_MESSAGES
from acaciayard_hosted._watch import WATCH_MESSAGES, StoreWatch
from acaciayard_logservice import (
    Appended,
    AppendUnknown,
    Expired,
    KeyedLog,
    KeyedSlice,
    NotAppended,
    Outrun,
    Unavailable,
)
from acaciayard_membership import (
    MEMBERSHIP_MESSAGES,
    DetectorSettings,
    Member,
    Membership,
    MemberState,
    membership,
)
from acaciayard_resources import Configuration, Finding, FindingsError, Invariants, Place
from acaciayard_rollouts import ROLLOUT_MESSAGES, RolloutBook
from acaciayard_standins import FakeNetwork, FakePort
from acaciayard_timers import ManualTimers, PauseDetector
from acaciayard_wire import MessageCodec

__all__ = ["VersionMesh"]

PLACE = StoreKey("stream", "config")
MESSAGES = {
    **MEMBERSHIP_MESSAGES,
    **RELAY_MESSAGES,
    **DIRECTORY_MESSAGES,
    **ROLLOUT_MESSAGES,
    **WATCH_MESSAGES,
}
#: Latency of the store in seconds, and the period in seconds within which all hosts start.
_LATENCY = 0.004
_STARTS = 0.3
_T = TypeVar("_T")


def read(document: bytes, _earlier: Configuration | None) -> Configuration:
    """Parse a document that consists of its version only."""
    if not document.isdigit():
        raise FindingsError.of([Finding(Place(source="test"), "is no number", "use digits")])
    return Configuration(int(document), MappingProxyType({}))


#: Stands in for the picker of a daemon without targets.
NO_TARGETS = SimpleNamespace(
    slots_by_version=lambda _service: Counter(), hosts_by_version=lambda _service: Counter()
)


@define(eq=False)
class Connection:
    """A connection of one host to the store."""

    #: Whether nothing comes through any more; nobody is told.
    is_silent: bool = False


#: Idle connections that a host keeps for its next requests.
_MAX_IDLE_CONNECTIONS = 2
#: Seconds for an answer beyond the wait of a read, and for the newest records.
_ANSWER_WITHIN = 1.0
_NEWEST_WITHIN = 3.0
#: Seconds between two looks whether the store still answers a host whose read is pending.
_WATCH_INTERVAL = 0.05


class StoreAsSeen(KeyedLog):
    """The store as seen by one host, which it may leave unanswered or refuse.

    Like the client of the real store it keeps connections, and a connection may fall silent.
    """

    def __init__(
        self,
        store: KeyedStandIn,
        host: str,
        silent: set[str],
        refused: set[str],
        timers: ManualTimers,
    ) -> None:
        self._store = store
        self._host = host
        self._silent = silent
        self._refused = refused
        self._timers = timers
        self._idle: list[Connection] = []
        self._standing: set[Connection] = set()

    def silence_standing(self) -> None:
        """Silence all connections that stand now; new ones work."""
        for connection in self._standing:
            connection.is_silent = True

    async def put(
        self, stream: str, key: str, value: bytes, *, at: int | None = None
    ) -> Appended | NotAppended | Outrun | AppendUnknown:
        await self._timers.sleep(_LATENCY)
        return await self._store.put(stream, key, value, at=at)

    async def newest(self, stream: str) -> KeyedSlice | Unavailable:
        return await self._ask(_NEWEST_WITHIN, lambda: self._store.newest(stream))

    async def changes(
        self, stream: str, *, start: int, wait: float, is_fresh: bool = False
    ) -> KeyedSlice | Expired | Unavailable:
        """Poll the store; a read that was pending when the store fell silent is lost as well."""
        return await self._ask(
            wait + _ANSWER_WITHIN,
            lambda: self._store.changes(stream, start=start, wait=wait),
            is_fresh=is_fresh,
        )

    async def _ask(
        self, within: float, call: Callable[[], Awaitable[_T]], *, is_fresh: bool = False
    ) -> _T | Unavailable:
        if self._host in self._refused:
            self._store.calls += 1
            await self._timers.sleep(_LATENCY)
            return Unavailable("refused")
        connection = self._idle.pop() if self._idle and not is_fresh else Connection()
        self._standing.add(connection)
        result: _T | None = None
        try:
            with self._timers.timeout(within):
                await self._timers.sleep(_LATENCY)
                await self._pass(connection)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._watch_silence, connection)
                    answer = await call()
                    tasks.cancel_scope.cancel()
                await self._pass(connection)
                result = answer
        finally:
            if result is None or len(self._idle) >= _MAX_IDLE_CONNECTIONS:
                self._standing.discard(connection)
            else:
                self._idle.append(connection)
        return result if result is not None else Unavailable("no answer")

    async def _watch_silence(self, connection: Connection) -> None:
        """Silence a connection for good once the store does not answer this host."""
        while self._host not in self._silent:
            await self._timers.sleep(_WATCH_INTERVAL)
        connection.is_silent = True

    async def _pass(self, connection: Connection) -> None:
        """Return if something comes through; wait for ever otherwise."""
        if connection.is_silent or self._host in self._silent:
            self._store.calls += not connection.is_silent
            connection.is_silent = True
            await anyio.sleep_forever()


@define(eq=False)
class Daemon:
    """The parts of one daemon."""

    members: Membership
    versions: AcceptedVersions
    feeding: Feeding
    book: RolloutBook
    port: FakePort
    store: StoreAsSeen
    follower: StoreFollower
    relay: VersionRelay
    #: Scope of its tasks; cancelled by `VersionMesh.kill`.
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)


class VersionMesh:
    """`count` daemons in `domains` failure domains, started within 0.3 s.

    Example:
        mesh = VersionMesh(tasks, count=18, domains=6, seed=1)
        await mesh.timers.advance(4.0)
        mesh.publish(7)
        seconds = await mesh.in_force_within(7, 3.0)
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, *, count: int, domains: int, seed: int) -> None:
        self.timers = ManualTimers()
        self.store = KeyedStandIn(self.timers)
        self.network = FakeNetwork(self.timers)
        self.daemons: dict[str, Daemon] = {}
        #: Hosts that the store does not answer.
        self.silent: set[str] = set()
        #: Hosts that the store refuses at once.
        self.refused: set[str] = set()
        #: Called with the host and the version of each version put in force.
        self.on_version: Callable[[str, int], None] = lambda _host, _version: None
        self._tasks = tasks
        self._seed = random.Random(seed)
        for number in range(count):
            self.start(f"h{number}", f"d{number % domains}", f"10.{number % domains}.0.{number}")

    def kill(self, host: str) -> None:
        """Kill a daemon without notice to the others."""
        daemon = self.daemons.pop(host)
        daemon.port.close()
        daemon.scope.cancel()

    def start(self, host: str, domain: str, ip: str, *, incarnation: int = 1) -> None:
        """Start a daemon."""
        seed = random.Random(self._seed.random())
        timers = self.timers
        log = structlog.wrap_logger(structlog.testing.CapturingLogger(), host=host)
        codec = MessageCodec(MESSAGES)
        port = FakePort(self.network, codec=codec, ip=ip)
        own = Member(host, incarnation, 0, MemberState.ALIVE, domain, ip, port.address.port, 0, 0)
        versions = AcceptedVersions(read, timers=timers, invariants=Invariants(), log=log)
        members = membership(
            own,
            port=port,
            timers=timers,
            pause=PauseDetector(timers, threshold=5.0),
            seeds=(),
            seed=seed,
            position=lambda: versions.version,
            detector=DetectorSettings(),
        )
        seen = StoreAsSeen(self.store, host, self.silent, self.refused, timers)
        store = EraGuard(seen, log=log)
        feeding = Feeding(members=members, timers=timers, log=log)
        age = ConfigurationAge(timers)
        relay = VersionRelay(
            age=age,
            versions=versions,
            members=members,
            feeding=feeding,
            port=port,
            timers=timers,
            seed=seed,
            log=log,
        )
        book = RolloutBook(
            timers=timers,
            exposure_share=0.1,
            seed=seed,
            tell=lambda news: rollouts.note(news),
        )
        rollouts = HostedRollouts(
            book=book,
            picker=cast(Any, NO_TARGETS),
            members=members,
            feeding=feeding,
            port=port,
            store=store,
            words=Words(),
            timers=timers,
            seed=seed,
            log=log,
        )
        store.on_change(rollouts.note_era)
        directory = HostDirectory(
            store=store,
            members=members,
            timers=timers,
            seed=seed,
            log=log,
            relay=relay,
            rollouts=rollouts,
            port=port,
            leads=lambda: feeding.is_lead,
        )
        store.on_change(directory.note_era)
        follower = StoreFollower(
            age=age,
            store=store,
            place=PLACE,
            versions=versions,
            feeding=feeding,
            timers=timers,
            seed=seed,
            log=log,
            on_record=rollouts.take_record,
            newest_order=lambda: rollouts.newest_order,
        )
        watch = StoreWatch(
            feeding=feeding,
            follower=follower,
            members=members,
            port=port,
            versions=versions,
            relay=relay,
            age=age,
            timers=timers,
            seed=seed,
            log=log,
        )
        daemon = Daemon(members, versions, feeding, book, port, seen, follower, relay)
        versions.on_version(lambda _before, now: self.on_version(host, now.configuration.version))

        async def follow() -> None:
            await directory.first_look()
            feeding.look()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch.run)
                await follower.run()

        async def run() -> None:
            await timers.sleep(seed.uniform(0, _STARTS))
            if daemon.scope.cancel_called:
                return  # killed before it had started
            with daemon.scope:
                async with anyio.create_task_group() as parts:
                    await port.open(0, parts)
                    for part in (members.run, directory.run, relay.run, feeding.run, follow):
                        parts.start_soon(part)
                    parts.start_soon(rollouts.run)

        self._tasks.start_soon(run)
        self.daemons[host] = daemon

    def publish(self, version: int) -> None:
        """Publish an operator's version; the store has acknowledged it."""
        self.store.add(PLACE.stream, PLACE.key, b"%d" % version)

    def silence_standing(self, hosts: Iterable[str]) -> None:
        """Silence all connections to the store that these hosts have now; new ones work."""
        for host in hosts:
            self.daemons[host].store.silence_standing()

    @property
    def readers(self) -> list[str]:
        """The hosts that read the store, the lead first."""
        readers = [host for host, daemon in self.daemons.items() if daemon.feeding.is_feeder]
        return sorted(readers, key=lambda host: not self.daemons[host].feeding.is_lead)

    @property
    def lead(self) -> str:
        """The host of the lead daemon."""
        (lead,) = (host for host, daemon in self.daemons.items() if daemon.feeding.is_lead)
        return lead

    async def in_force_within(self, version: int, most: float) -> float:
        """Return the seconds until a version is in force everywhere, `inf` if above `most`."""
        started = self.timers.now()
        while self.timers.now() - started <= most:
            if all(d.versions.version >= version for d in self.daemons.values()):
                return self.timers.now() - started
            await self.timers.advance(0.05)
        return float("inf")
