"""The targets on this host: announced by themselves, kept while they repeat it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from attrs import define, frozen

from acaciayard_http1 import Limits, ResponseReader
from acaciayard_membership import TargetInfo, TargetState
from acaciayard_resources import Configuration, DrainOrder, Service
from acaciayard_timers import PauseDetector, TimerService
from acaciayard_wire import Address, ByteStream, Purpose, Traffic, connect

from ._admission import Gate

__all__ = ["ANNOUNCE_EVERY", "LEASE", "Announcement", "LocalTarget", "LocalTargets"]

#: Seconds for which an announcement holds.
LEASE: Final = 4.0
#: Seconds between announcements that targets are asked to keep.
ANNOUNCE_EVERY: Final = 1.0
#: Slots of a target that has just started, as a divisor.
_STARTING_DIVISOR: Final = 3
#: Idle connections kept to a target.
_IDLE_CONNECTIONS: Final = 32
_DEFAULT_QUEUE: Final = Service(name="default").queue_length
#: Limits for what targets answer; generous, since targets are the operators' own.
_TARGET_LIMITS: Final = Limits(headers=200, head_bytes=128 * 1024)


@frozen
class Announcement:
    """What a target says of itself."""

    #: Service that it answers for.
    service: str
    #: Identity, unique on its host.
    name: str
    #: Where it listens.
    address: Address
    #: Calls that it runs at once.
    slots: int
    #: Connections that it takes.
    connections: int
    #: What it is ready for.
    state: TargetState = TargetState.READY


@define(eq=False)
class TargetConnection:
    """A connection to a target, with the reader of its answers."""

    #: The connection.
    stream: ByteStream
    #: Reads answers from it.
    reader: ResponseReader


class LocalTarget:
    """One target with its gate and its connections."""

    def __init__(self, announcement: Announcement, *, timers: TimerService, traffic: Traffic):
        self._announcement = announcement
        self._traffic = traffic
        self._gate = Gate(slots=announcement.slots, queue_length=_DEFAULT_QUEUE, timers=timers)
        self._idle: list[TargetConnection] = []
        self.lease_until = 0.0

    @property
    def announcement(self) -> Announcement:
        """What the target said of itself last."""
        return self._announcement

    @property
    def gate(self) -> Gate:
        """Its slots and queue."""
        return self._gate

    def renew(self, announcement: Announcement, queue_length: int) -> None:
        """Take a newer announcement."""
        if announcement.address != self._announcement.address:
            self.drop_idle()
        self._announcement = announcement
        self.set_queue_length(queue_length)

    def set_queue_length(self, queue_length: int) -> None:
        """Change how many calls may wait."""
        slots = self._announcement.slots
        if self._announcement.state is TargetState.STARTING:
            slots = max(1, slots // _STARTING_DIVISOR)
        self._gate.resize(slots=slots, queue_length=queue_length)

    def idle_connection(self) -> TargetConnection | None:
        """A connection that is not in use, `None` when there is none."""
        while self._idle:
            idle = self._idle.pop()
            if not idle.stream.is_lost and not idle.stream.has_unread:
                return idle
            idle.stream.abort()
        return None

    async def new_connection(self) -> TargetConnection:
        """A new connection; raises `StreamLostError` when the target is not there."""
        address = self._announcement.address
        stream = await connect(
            address.ip, address.port, traffic=self._traffic, purpose=Purpose.CALLS
        )
        return TargetConnection(stream, ResponseReader(stream, _TARGET_LIMITS))

    def give_back(self, connection: TargetConnection) -> None:
        """Keep a connection whose last answer is whole."""
        most = min(_IDLE_CONNECTIONS, self._announcement.connections)
        if connection.stream.is_lost or len(self._idle) >= most:
            connection.stream.close()
        else:
            self._idle.append(connection)

    def drop_idle(self) -> None:
        """Close the connections that are not in use."""
        while self._idle:
            self._idle.pop().stream.close()


class LocalTargets:
    """All targets on this host.

    `publish` is called with what the other daemons need to know whenever that changes.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        pause: PauseDetector,
        traffic: Traffic,
        host: str,
        publish: Callable[[tuple[TargetInfo, ...]], None],
    ) -> None:
        self._timers = timers
        self._traffic = traffic
        self._host = host
        self._publish = publish
        self._targets: dict[str, LocalTarget] = {}
        self._configuration: Configuration | None = None
        self._stopping = False
        pause.subscribe(self._on_pause)

    @property
    def all(self) -> tuple[LocalTarget, ...]:
        """Targets that count as running."""
        return tuple(self._targets.values())

    def announce(self, announcement: Announcement) -> None:
        """Take an announcement; a new target is published to the other daemons."""
        target = self._targets.get(announcement.name)
        if target is None:
            target = LocalTarget(announcement, timers=self._timers, traffic=self._traffic)
            self._targets[announcement.name] = target
        target.renew(announcement, self._queue_length(announcement.service))
        target.lease_until = self._timers.now() + LEASE
        self._apply(target)
        self._publish_all()

    def withdraw(self, name: str, reason: str) -> bool:
        """Forget a target that is gone; false when it was not known."""
        target = self._targets.pop(name, None)
        if target is None:
            return False
        target.gate.close(reason)
        target.drop_idle()
        self._publish_all()
        return True

    def use(self, configuration: Configuration) -> None:
        """Follow a configuration that was put in force."""
        self._configuration = configuration
        for target in self._targets.values():
            target.set_queue_length(self._queue_length(target.announcement.service))
            self._apply(target)
        self._publish_all()

    def stop(self) -> None:
        """Admit nothing more at any target, because this daemon shuts down."""
        self._stopping = True
        for target in self._targets.values():
            self._apply(target)
        self._publish_all()

    def pick(self, service: str) -> LocalTarget | None:
        """The least loaded target of a service, preferring those that admit calls."""
        candidates = [t for t in self._targets.values() if t.announcement.service == service]
        if not candidates:
            return None
        return min(candidates, key=lambda t: (t.gate.is_closed, t.gate.load))

    async def run(self) -> None:
        """Drop targets whose announcement has lapsed, for ever."""
        async for _ in self._timers.ticks(ANNOUNCE_EVERY / 2):
            now = self._timers.now()
            for name in [n for n, t in self._targets.items() if t.lease_until < now]:
                self.withdraw(name, "the target no longer announces itself")

    def _on_pause(self, seconds: float) -> None:
        for target in self._targets.values():
            target.gate.refuse_waiting(f"this daemon stood still for {seconds:.1f} s")
            target.lease_until += seconds

    def _queue_length(self, service: str) -> int:
        found = self._configuration.find(Service, service) if self._configuration else None
        return found.queue_length if found is not None else _DEFAULT_QUEUE

    def _apply(self, target: LocalTarget) -> None:
        """Open or close the gate of a target."""
        reason = self._closed_because(target.announcement)
        if reason:
            target.gate.close(reason)
        else:
            target.gate.reopen()

    def _closed_because(self, announcement: Announcement) -> str:
        if self._stopping:
            return "the daemon of this host shuts down"
        if announcement.state is TargetState.DRAINING:
            return "the target drains"
        if self._configuration is not None:
            for order in self._configuration.all_of(DrainOrder):
                if order.host == self._host and order.service in ("", announcement.service):
                    return f"drain order {order.name!r}"
        return ""

    def _publish_all(self) -> None:
        self._publish(
            tuple(
                TargetInfo(
                    service=target.announcement.service,
                    name=target.announcement.name,
                    slots=target.announcement.slots,
                    state=int(
                        TargetState.DRAINING if target.gate.is_closed else target.announcement.state
                    ),
                )
                for target in self._targets.values()
            )
        )
