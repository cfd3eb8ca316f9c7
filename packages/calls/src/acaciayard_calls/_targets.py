"""The targets on this host: announced by themselves, kept while they repeat it."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from attrs import define, frozen

from acaciayard_http1 import Limits, ResponseReader
from acaciayard_membership import TargetInfo, TargetState
from acaciayard_resources import Configuration, DrainOrder, Service
from acaciayard_timers import PauseDetector, TimerService
from acaciayard_wire import Address, ByteStream, Purpose, Traffic, connect

from ._admission import Gate, GatePolicy
from ._call import Call

__all__ = ["ANNOUNCE_EVERY", "LEASE", "Announcement", "LocalTarget", "LocalTargets"]

#: Seconds for which an announcement holds.
LEASE: Final = 4.0
#: Seconds between announcements that targets are asked to keep.
ANNOUNCE_EVERY: Final = 1.0
#: Slots of a target that has just started, as a divisor.
_STARTING_DIVISOR: Final = 3
#: Seconds for which an idle connection to a target is used again; targets close idle connections
#: after some time of their own, and a call sent at that moment is lost.
_IDLE_FOR: Final = 4.0
#: What stands between the identity of a call and the ending of one that it has made.
_NESTED: Final = b"."
#: Identities of targets that have left, kept so that late news of them does not bring them back.
_MOST_LEFT: Final = 256
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
    #: Grows with every announcement of a target, 0 where it is not told; older ones that arrive
    #: late are passed over.
    sequence: int = 0


@define(eq=False)
class TargetConnection:
    """A connection to a target, with the reader of its answers."""

    #: The connection.
    stream: ByteStream
    #: Reads answers from it.
    reader: ResponseReader
    #: When it was last given back.
    idle_since: float = 0.0


class LocalTarget:
    """One target with its gate and its connections."""

    def __init__(
        self,
        announcement: Announcement,
        *,
        timers: TimerService,
        traffic: Traffic,
        policy: GatePolicy,
    ) -> None:
        self._announcement = announcement
        self._traffic = traffic
        self._timers = timers
        self._gate = Gate(
            slots=announcement.slots, queue_length=_DEFAULT_QUEUE, timers=timers, policy=policy
        )
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

    def idle_connection(self, youngest: float = math.inf) -> TargetConnection | None:
        """A connection that is not in use, `None` when there is none.

        `youngest` bounds for how many seconds it may have been idle.
        """
        now = self._timers.now()
        while self._idle:
            idle = self._idle.pop()
            seconds = now - idle.idle_since
            if idle.stream.is_lost or idle.stream.has_unread or seconds > _IDLE_FOR:
                idle.stream.abort()
                continue
            if seconds <= youngest:
                return idle
            self._idle.append(idle)
            return None
        return None

    async def new_connection(self) -> TargetConnection:
        """A new connection; raises `StreamLostError` when the target is not there."""
        address = self._announcement.address
        stream = await connect(
            address.ip, address.port, traffic=self._traffic, purpose=Purpose.CALLS
        )
        return TargetConnection(stream, ResponseReader(stream, _TARGET_LIMITS))

    def give_back(self, connection: TargetConnection) -> None:
        """Keep a connection whose last answer is whole.

        Bytes beyond that answer belong to no request, so they end the connection.
        """
        most = min(_IDLE_CONNECTIONS, self._announcement.connections)
        stream = connection.stream
        has_more = connection.reader.has_pending or stream.has_unread
        if stream.is_lost or has_more or len(self._idle) >= most:
            stream.close()
        else:
            connection.idle_since = self._timers.now()
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
        lease: float = LEASE,
        policy: GatePolicy = GatePolicy(),  # noqa: B008 - frozen
        is_settled: bool = True,
    ) -> None:
        self._is_settled = is_settled
        self._lease = lease
        self._policy = policy
        self._left: dict[str, None] = {}
        self._running: dict[bytes, Call] = {}
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
        """Take an announcement; a new target is published to the other daemons.

        A target that has said once that it leaves never takes calls again, whatever is heard of
        it later: identities are not used twice.
        """
        target = self._targets.get(announcement.name)
        if target is None:
            if announcement.name in self._left:
                return
            self._withdraw_others_at(announcement)
            target = LocalTarget(
                announcement, timers=self._timers, traffic=self._traffic, policy=self._policy
            )
            self._targets[announcement.name] = target
        elif announcement.sequence < target.announcement.sequence:
            return
        if announcement.sequence and announcement.state is TargetState.DRAINING:
            self.mark_left(announcement.name)
        target.renew(announcement, self._queue_length(announcement.service))
        target.lease_until = self._timers.now() + self._lease
        self._apply(target)
        self._publish_all()

    def note_running(self, call: Call) -> None:
        """A call runs at a target here."""
        if call.request_id:
            self._running[call.request_id] = call

    def note_ended(self, call: Call) -> None:
        """The call runs no more."""
        self._running.pop(call.request_id, None)

    def parent_of(self, request_id: bytes) -> Call | None:
        """The call running here that has made the one with this identity, `None` for none.

        Its identity is then that of the running call with an ending of its own: `"7f3a.1"`.
        """
        parent, separator, _ = request_id.rpartition(_NESTED)
        return self._running.get(parent) if separator else None

    def is_full(self, service: str) -> bool:
        """Whether all slots of the service's targets here are taken."""
        target = self.pick(service)
        return target is not None and target.gate.load >= 1

    def mark_left(self, name: str) -> None:
        """Remember that a target leaves or has left, also one that is not known here."""
        self._left.pop(name, None)
        self._left[name] = None
        if len(self._left) > _MOST_LEFT:
            del self._left[next(iter(self._left))]
        target = self._targets.get(name)
        if target is not None:
            self._apply(target)

    def _withdraw_others_at(self, announcement: Announcement) -> None:
        """A new target at an address means that the one before it is gone."""
        for name, target in list(self._targets.items()):
            if announcement.sequence and target.announcement.address == announcement.address:
                self.mark_left(name)
                self.withdraw(name, "another target has its address")

    def withdraw(self, name: str, reason: str) -> bool:
        """Forget a target that is gone; false when it was not known."""
        target = self._targets.pop(name, None)
        if target is None:
            return False
        target.gate.close(reason)
        target.drop_idle()
        self._publish_all()
        return True

    def settle(self) -> None:
        """Admit calls: what other daemons know of targets that leave has been heard."""
        if not self._is_settled:
            self._is_settled = True
            for target in self._targets.values():
                self._apply(target)
            self._publish_all()

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
        if not self._is_settled:
            return "this daemon has just started and does not know yet which targets leave"
        if self._stopping:
            return "the daemon of this host shuts down"
        if announcement.state is TargetState.DRAINING or announcement.name in self._left:
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
                    state=int(self._state_of(target)),
                )
                for target in self._targets.values()
            )
        )

    def _state_of(self, target: LocalTarget) -> TargetState:
        """What the other daemons are told of a target."""
        if target.announcement.name in self._left:
            return TargetState.DRAINING
        if target.gate.is_closed and target.announcement.state is not TargetState.DRAINING:
            return TargetState.CLOSED
        return target.announcement.state
