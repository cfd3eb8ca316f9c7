"""Registry of the targets on this host, which announce themselves and renew a lease."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Final

from acaciayard_callmodel import Call, StartNotice, TargetNotice
from acaciayard_membership import (
    MAX_DEPARTURES,
    MAX_TARGETS,
    Departure,
    TargetInfo,
    TargetState,
)
from acaciayard_resources import Configuration, DrainOrder, Service
from acaciayard_timers import PauseDetector, TimerService
from acaciayard_wire import EndKind, StreamEnd, Traffic

from ._grace import RecentDurations, RemainingGrace
from ._line_shares import GatePolicy
from ._nested_calls import NestedCalls
from ._retry_budgets import RetryBudgets
from ._starts import Start, StartRecords
from ._suspects import Suspects
from ._target import DEFAULT_QUEUE, Announcement, LocalTarget, RunningCall
from ._target_news import AnnouncementResult, LoggedCall, TargetEvent, UnrequestedBytes

__all__ = ["ANNOUNCE_INTERVAL_SECONDS", "LEASE_SECONDS", "LocalTargets"]

#: Time for which an announcement is valid.
LEASE_SECONDS: Final = 4.0
#: Interval at which targets are asked to announce themselves.
ANNOUNCE_INTERVAL_SECONDS: Final = 1.0
#: Separator between the request id of a call and the suffix that identifies a nested call.
_NESTED_SEPARATOR: Final = b"."


class LocalTargets:
    """Registry of all targets on this host.

    `publish` is called with the state that other daemons need, whenever that changes, and
    `on_event` with an event for each change of a target.  `on_departures` is called with the
    departures that have to outlive this process, whenever those change.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        pause: PauseDetector,
        traffic: Traffic,
        host: str,
        publish: Callable[[tuple[TargetInfo, ...]], None],
        lease: float = LEASE_SECONDS,
        policy: GatePolicy = GatePolicy(),  # noqa: B008 - frozen
        suspects: Suspects | None = None,
        budgets: RetryBudgets | None = None,
        is_settled: bool = True,
        on_event: Callable[[TargetEvent], None] = lambda _event: None,
        on_departures: Callable[[tuple[Departure, ...]], None] = lambda _departures: None,
    ) -> None:
        self._on_departures = on_departures
        self._departures: tuple[Departure, ...] = ()
        self._on_event = on_event
        self._suspects = suspects or Suspects(timers=timers)
        self._grace = RemainingGrace(timers)
        self._durations = RecentDurations(timers)
        self._nested_calls = NestedCalls(budgets or RetryBudgets())
        self._ended = 0
        self._unrequested: Counter[tuple[str]] = Counter()
        self._answer_ends: Counter[tuple[str]] = Counter()
        self._sent: Counter[tuple[str, str]] = Counter()
        self._is_settled = is_settled
        self._lease = lease
        self._policy = policy
        self._starts = StartRecords(wall=timers.wall, now=timers.now)
        self._running: dict[bytes, Call] = {}
        #: Request ids of those running calls of which a nested call was not served.
        self._lacking_inner: set[bytes] = set()
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
        """The registered targets."""
        return tuple(self._targets.values())

    @property
    def suspects(self) -> Suspects:
        """The requests that are suspected of ending target processes."""
        return self._suspects

    @property
    def nested_calls(self) -> NestedCalls:
        """The nested calls of the targets on this host."""
        return self._nested_calls

    @property
    def grace(self) -> RemainingGrace:
        """The time left for calls in progress during a shutdown."""
        return self._grace

    @property
    def durations(self) -> RecentDurations:
        """Recent durations of calls at the targets here, by service."""
        return self._durations

    @property
    def ended(self) -> int:
        """Number of targets whose process has ended while it ran calls."""
        return self._ended

    @property
    def unrequested(self) -> Counter[tuple[str]]:
        """Number of connections closed for bytes that answer no request, by where they were."""
        return self._unrequested

    @property
    def answer_ends(self) -> Counter[tuple[str]]:
        """Number of responses that end with their connection, by how that ended."""
        return self._answer_ends

    @property
    def sent(self) -> Counter[tuple[str, str]]:
        """Number of calls sent to targets here, as `(attempt, limit)`.

        `attempt` is `first` or `repeat`, and `limit` is `stated` if the target stated a limit when
        the call was sent, otherwise `none`.
        """
        return self._sent

    @property
    def departures(self) -> tuple[Departure, ...]:
        """Departures that have to outlive this process, by name of the target."""
        return self._departures

    @property
    def limited(self) -> int:
        """Number of targets that state a limit."""
        return sum(target.notices.notice.is_limited for target in self._targets.values())

    def announce(self, announcement: Announcement) -> AnnouncementResult:
        """Process an announcement, and publish the targets to the other daemons if it is accepted.

        Once a start of a target has reported that it is leaving, neither it nor an earlier start
        ever takes calls again, whatever announcements follow.  A newer start of a target replaces
        the older one.
        """
        self._starts.note_announcement(announcement.name)
        ignored = self._ignored_because(announcement)
        if ignored is not None:
            self._emit(announcement, "passed_over", ignored.value)
            return ignored
        self._note_start(announcement)
        self._withdraw_older(announcement)
        target = self._targets.get(announcement.name)
        if target is None:
            if not self._make_room(announcement.service):
                self._emit(announcement, "passed_over", AnnouncementResult.TOO_MANY.value)
                return AnnouncementResult.TOO_MANY
            target = LocalTarget(
                announcement,
                timers=self._timers,
                traffic=self._traffic,
                policy=self._policy,
                on_unrequested=self.note_unrequested,
            )
            self._targets[announcement.name] = target
            self._emit(announcement, "announced")
        is_leaving = announcement.sequence and announcement.state is TargetState.DRAINING
        # A departure without a start time holds up to its first report, and is not moved on.
        if is_leaving and (announcement.born or not self._starts.has_left(announcement.start)):
            self.mark_left(announcement.name, born=announcement.born)
        target.renew(announcement, self._queue_length(announcement.service))
        target.lease_until = self._timers.now() + self._lease
        self._update_gate(target)
        self._publish_all()
        return AnnouncementResult.ACCEPTED

    def _emit(self, announcement: Announcement, what: str, reason: str = "") -> None:
        start = announcement.start
        self._on_event(
            TargetEvent(
                name=start.name,
                born=start.born,
                what=what,
                reason=reason,
                sequence=announcement.sequence,
                version=announcement.version,
            )
        )

    def _ignored_because(self, announcement: Announcement) -> AnnouncementResult | None:
        """Return why an announcement is ignored, or `None` if it is to be accepted."""
        start = announcement.start
        known = self._targets.get(start.name)
        is_renewal = known is not None and known.announcement.start == start
        if not start.born and not is_renewal and self._must_report_start():
            return AnnouncementResult.WITHOUT_START
        if known is None:
            if self._starts.has_left(start):
                return AnnouncementResult.LEFT
        elif start.born < known.announcement.born:
            return AnnouncementResult.OLDER_START
        elif start == known.announcement.start:
            is_stale = announcement.sequence < known.announcement.sequence
            return AnnouncementResult.OLDER_REPORT if is_stale else None
        others = [t for t in self._targets.values() if _has_same_address(t, announcement)]
        if any(other.announcement.born > announcement.born for other in others):
            # An announcement delayed by a network interruption may arrive when its sender has
            # crashed and another target uses its address.  Accepting it would withdraw the target
            # that is alive.
            return AnnouncementResult.ADDRESS_TAKEN
        if (others or known is not None) and not self._is_configured(announcement.service):
            return AnnouncementResult.UNKNOWN_SERVICE
        return None

    def _must_report_start(self) -> bool:
        """Return whether targets on this host report their start times, so that each must.

        Once a configuration is in force only targets of configured services count: another program
        that reports a start time must not keep out targets that report none.
        """
        if self._configuration is None:
            return any(target.announcement.born for target in self._targets.values())
        return self._starts.reports_start_times

    def _note_start(self, announcement: Announcement) -> None:
        if self._configuration is not None and self._is_configured(announcement.service):
            self._starts.note(announcement.start)

    def _is_configured(self, service: str) -> bool:
        """Return whether the service is configured, or no configuration is in force yet."""
        configuration = self._configuration
        return configuration is None or configuration.find(Service, service) is not None

    def _withdraw_older(self, announcement: Announcement) -> None:
        """Withdraw an earlier start of this target, and other targets at its address."""
        known = self._targets.get(announcement.name)
        if known is not None and known.announcement.start != announcement.start:
            del self._targets[announcement.name]
            known.cut("the target has started again")
            self._emit(known.announcement, "withdrawn", "the target has started again")
        for other in list(self._targets.values()):
            if announcement.sequence and _has_same_address(other, announcement):
                self.mark_left(other.announcement.name, born=other.announcement.born)
                self.withdraw(other.announcement.name, "another target has its address")

    def _make_room(self, service: str) -> bool:
        """Return whether one more target of `service` can be registered.

        Programs that are no targets may announce themselves too.  So a target of a configured
        service takes the place of one whose service is not configured.
        """
        if len(self._targets) < MAX_TARGETS:
            return True
        if not self._is_configured(service):
            return False
        for name, target in self._targets.items():
            if not self._is_configured(target.announcement.service):
                return self.withdraw(name, "a target of a configured service needs its place")
        return False

    def note_sent(self, target: LocalTarget, call: Call) -> None:
        """Count a call that is sent to a target."""
        limit = "stated" if target.notices.notice.is_limited else "none"
        self._sent["repeat" if call.is_repeat else "first", limit] += 1

    def hear(self, target: LocalTarget, notice: TargetNotice, *, asked_at: float) -> None:
        """Record what a target states about itself in a response.

        `asked_at` is when the request of the response was sent, by the timer service.
        """
        target = self._registered(target)
        before = target.notices.notice
        if target.notices.note_fault(notice.fault):
            self._emit(target.announcement, "limit_unreadable", notice.fault)
        if not target.notices.hear(notice, asked_at=asked_at, now=self._timers.now()):
            return
        self._apply_notice(target, before, "it states so")

    def adopt(self, notices: Iterable[StartNotice]) -> None:
        """Record what another daemon has forwarded, which this one may not know.

        This daemon may have restarted since, or have lost and found the target.
        """
        for notice in notices:
            target = self._targets.get(notice.target)
            if target is not None and target.announcement.born == notice.born:
                before = target.notices.notice
                if target.notices.adopt(notice.notice):
                    self._apply_notice(target, before, "another daemon was told so")
            elif notice.is_leaving:
                self.mark_left(notice.target, born=notice.born)

    def stated(self, target: LocalTarget) -> tuple[StartNotice, ...]:
        """Return what a target has stated so far, for the daemons that send calls to it.

        Once it has stated anything, they are told also that it no longer applies.
        """
        target = self._registered(target)
        if not target.notices.has_stated:
            return ()
        announcement = target.announcement
        return (
            StartNotice(
                target=announcement.name,
                born=announcement.born,
                max_rate=target.notices.notice.max_rate,
                opens_in=target.gate.opens_in,
                is_leaving=target.notices.notice.is_leaving,
            ),
        )

    def _registered(self, target: LocalTarget) -> LocalTarget:
        """Return the registered target of the same start, which may have been lost and found."""
        found = self._targets.get(target.announcement.name, target)
        return found if found.announcement.start == target.announcement.start else target

    def _apply_notice(self, target: LocalTarget, before: TargetNotice, source: str) -> None:
        """Apply what a target has stated, where it differs from what applied `before`."""
        notice = target.notices.notice
        if notice.is_leaving and not before.is_leaving:
            self.leave(target.announcement.name, born=target.announcement.born)
        if notice.max_rate != before.max_rate:
            self._apply_limit(target, source)

    def _apply_limit(self, target: LocalTarget, source: str) -> None:
        notice = target.notices.notice
        target.gate.limit(notice.max_rate)
        if notice.is_limited:
            reason = f"it takes {notice.max_rate:g} calls a second; {source}"
            self._emit(target.announcement, "limited", reason)
        else:
            self._emit(target.announcement, "unlimited")

    def note_running(self, call: Call) -> None:
        """Record that a call runs at a target on this host."""
        if call.request_id:
            self._running[call.request_id] = call

    def note_ended(self, call: Call) -> None:
        """Record that a call no longer runs."""
        self._running.pop(call.request_id, None)
        self._lacking_inner.discard(call.request_id)

    def note_inner_lost(self, parent: Call) -> None:
        """Record that a nested call of `parent` was refused, or that its answer was lost."""
        if parent.request_id in self._running:
            self._lacking_inner.add(parent.request_id)

    def lacks_inner(self, call: Call) -> bool:
        """Return whether a nested call of a running call was not served."""
        return call.request_id in self._lacking_inner

    def note_ended_target(self, target: LocalTarget) -> None:
        """Withdraw a target whose process has ended, so that nothing listens at its address.

        It is withdrawn at once and not when its lease expires.  Until then each call that picked it
        would waste an offer, and calls with four such offers would be refused although other hosts
        had free slots.
        """
        if target.note_ended():
            self._emit_end(target)
            for running in target.blamed:
                self._suspects.note_end(running.call, running.suspicion)
        name = target.announcement.name
        if self._targets.get(name) is target:
            self.withdraw(name, "its process has ended")

    def note_misdirected(self, target: LocalTarget) -> None:
        """Withdraw a target at whose address another one has answered.

        Every further call would be refused there until the lease of the target expires.
        """
        name = target.announcement.name
        if self._targets.get(name) is target:
            self.withdraw(name, "another target answers at its address")

    def note_unrequested(self, target: LocalTarget, place: UnrequestedBytes) -> None:
        """Record that a target has sent bytes that answer no request."""
        self._unrequested[(place.value,)] += 1
        target.note_unrequested()
        start = target.announcement.start
        self._on_event(TargetEvent(start.name, start.born, "unrequested_bytes", place.value))

    def note_answer_end(self, target: LocalTarget, call: Call, end: StreamEnd) -> None:
        """Record how the connection ended whose end is that of the response to a call."""
        self._answer_ends[(str(end),)] += 1
        if end == StreamEnd(EndKind.IN_ORDER):
            return
        start = target.announcement.start
        self._on_event(
            TargetEvent(
                start.name,
                start.born,
                "answer_end",
                str(end),
                request_id=call.request_id.decode("latin-1"),
            )
        )

    def _emit_end(self, target: LocalTarget) -> None:
        start = target.announcement.start
        at_work = target.at_work
        self._ended += bool(at_work)
        calls = tuple(self._describe_call(running, target) for running in at_work)
        self._on_event(TargetEvent(start.name, start.born, "ended", at_work=calls))

    def _describe_call(self, running: RunningCall, target: LocalTarget) -> LoggedCall:
        return LoggedCall(
            request_id=running.call.request_id.decode("latin-1"),
            fingerprint=self._suspects.fingerprint_of(running.call).hex(),
            is_blamed=running in target.blamed,
        )

    def parent_of(self, request_id: bytes) -> Call | None:
        """Return the running call that made the call with this request id, or `None`.

        The request id of a nested call is that of its parent with a suffix: `"7f3a.1"`.
        """
        parent, separator, _ = request_id.rpartition(_NESTED_SEPARATOR)
        return self._running.get(parent) if separator else None

    @staticmethod
    def is_nested(request_id: bytes) -> bool:
        """Return whether the request id has the form of a nested call."""
        return _NESTED_SEPARATOR in request_id

    def is_full(self, service: str) -> bool:
        """Return whether the least loaded target of the service on this host has no free slot."""
        target = self.pick(service)
        return target is not None and target.gate.load >= 1

    def mark_left(self, name: str, *, born: int = 0) -> None:
        """Record that a start of a target is leaving or has left, even if it is not registered.

        Without a start time this applies to the registered start.
        """
        target = self._targets.get(name)
        if target is not None and not born:
            born = target.announcement.born
        start = Start(name, born)
        if not self._starts.has_left(start):
            self._on_event(TargetEvent(name, born, "leaving"))
        self._starts.leave(start)
        self._note_departures()
        if target is not None:
            self._update_gate(target)

    def restore(self, departures: Iterable[Departure]) -> tuple[Departure, ...]:
        """Record the departures that an earlier process on this host knew; return the new ones."""
        restored = tuple(d for d in departures if self._starts.restore(d))
        if restored:
            self._note_departures()
            for target in self._targets.values():
                self._update_gate(target)
            self._publish_all()
        return restored

    def departure_of(self, name: str) -> Departure | None:
        """Return the newest departure of a target, or `None` if none is known."""
        return self._starts.departure_of(name)

    def departures_within(self, seconds: float) -> frozenset[Departure]:
        """Return the departures of targets that were heard of in the last `seconds`."""
        return frozenset(self._starts.recent(seconds))

    def _note_departures(self) -> None:
        """Pass on the departures that have to outlive this process, if they have changed."""
        recent = self._starts.recent()[-MAX_DEPARTURES:]
        departures = tuple(sorted(recent, key=lambda departure: departure.target))
        if departures != self._departures:
            self._departures = departures
            self._on_departures(departures)

    def leave(self, name: str, *, born: int = 0) -> None:
        """Record that a start of a target has left; a newer registered start stays.

        It is published as draining for one more lease: some targets go on working, and announcing
        themselves, for seconds after they have reported that they are leaving.
        """
        self.mark_left(name, born=born)
        target = self._targets.get(name)
        if target is not None and self._starts.has_left(target.announcement.start):
            target.lease_until = self._timers.now() + self._lease
            self._publish_all()

    def withdraw(self, name: str, reason: str) -> bool:
        """Remove a target that is gone; return whether it was registered."""
        target = self._targets.pop(name, None)
        if target is None:
            return False
        target.end(reason)
        self._emit(target.announcement, "withdrawn", reason)
        self._publish_all()
        return True

    def settle(self) -> None:
        """Start to admit calls, once the other daemons have reported which targets are leaving."""
        if not self._is_settled:
            self._is_settled = True
            for target in self._targets.values():
                self._update_gate(target)
            self._publish_all()

    def use(self, configuration: Configuration) -> None:
        """Apply a configuration that has come into force."""
        self._configuration = configuration
        for target in self._targets.values():
            self._note_start(target.announcement)
            target.set_queue_length(self._queue_length(target.announcement.service))
            self._update_gate(target)
        self._publish_all()

    def stop(self) -> None:
        """Stop admitting calls at all targets, because this daemon shuts down."""
        self._stopping = True
        for target in self._targets.values():
            self._update_gate(target)
        self._publish_all()

    def pick(self, service: str) -> LocalTarget | None:
        """Return the target of a service that admits a call soonest, by limit and by load."""
        candidates = [t for t in self._targets.values() if t.announcement.service == service]
        if not candidates:
            return None
        return min(candidates, key=lambda t: (t.gate.is_closed, t.gate.opens_in, t.gate.load))

    async def run(self) -> None:
        """Withdraw targets whose lease has expired; runs until cancelled."""
        async for _ in self._timers.ticks(ANNOUNCE_INTERVAL_SECONDS / 2):
            now = self._timers.now()
            for name in [n for n, t in self._targets.items() if t.lease_until < now]:
                self.withdraw(name, "the target no longer announces itself")
            self._note_departures()
            self._suspects.forget_old()

    def _on_pause(self, seconds: float) -> None:
        for target in self._targets.values():
            target.gate.refuse_waiting(f"this daemon stood still for {seconds:.1f} s")
            target.lease_until += seconds

    def _queue_length(self, service: str) -> int:
        found = self._configuration.find(Service, service) if self._configuration else None
        return found.queue_length if found is not None else DEFAULT_QUEUE

    def _update_gate(self, target: LocalTarget) -> None:
        """Open or close the gate of a target by its state and the configuration."""
        reason = self._close_reason(target.announcement)
        if reason:
            target.gate.close(reason)
        else:
            target.gate.reopen()

    def _close_reason(self, announcement: Announcement) -> str:
        if not self._is_settled:
            return "this daemon has just started and does not know yet which targets leave"
        if self._stopping:
            return "the daemon of this host shuts down"
        if announcement.state is TargetState.DRAINING or self._starts.has_left(announcement.start):
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
                    born=target.announcement.born,
                    version=target.announcement.version,
                    cold_s=target.cold_s,
                )
                for target in self._targets.values()
            )
        )

    def _state_of(self, target: LocalTarget) -> TargetState:
        """Return the state of a target that is published to other daemons."""
        if self._starts.has_left(target.announcement.start):
            return TargetState.DRAINING
        if target.gate.is_closed and target.announcement.state is not TargetState.DRAINING:
            return TargetState.CLOSED
        return target.announcement.state


def _has_same_address(target: LocalTarget, announcement: Announcement) -> bool:
    """Return whether a target of another name has the announced address."""
    known = target.announcement
    return known.name != announcement.name and known.address == announcement.address
