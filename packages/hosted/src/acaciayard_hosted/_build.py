"""Builds a hosted daemon from its parts, in the order of their dependencies."""

from __future__ import annotations

import random
from typing import Final

import anyio.abc
import structlog

from acaciayard_admission import (
    GatePolicy,
    LocalTargets,
    LoggedCall,
    SharedRetryBudgets,
    SuspectEvent,
    Suspects,
    TargetEvent,
)
from acaciayard_callmodel import LARGEST_WHOLE_BODY
from acaciayard_calls import (
    DispatchContext,
    Dispatcher,
    EntryServer,
    ServiceLevels,
    connection_limits,
)
from acaciayard_handover import (
    RETRY_LOAN_MESSAGES,
    CallServer,
    RetryLoans,
    RetryShortage,
    call_pool,
)
from acaciayard_http1 import HttpService
from acaciayard_membership import (
    MEMBERSHIP_MESSAGES,
    Departure,
    DetectorSettings,
    Member,
    Membership,
    MemberState,
    TargetInfo,
    TargetState,
    member_log_fields,
    membership,
)
from acaciayard_quotas import QUOTA_MESSAGES, ConnectedCaps
from acaciayard_resources import Invariants
from acaciayard_rollouts import ROLLOUT_MESSAGES, RolloutBook, RolloutChange
from acaciayard_routing import Picker
from acaciayard_timers import EventLoopTimers, PauseDetector
from acaciayard_wire import (
    BodyBudget,
    ControlPort,
    MessageCodec,
    Traffic,
    memory_shares,
    watch_callbacks,
)

from ._age import ConfigurationAge
from ._call_log import CallLog
from ._daemon import HostedDaemon
from ._departure_messages import DEPARTURE_MESSAGES
from ._departures import DepartureStore
from ._directory import DIRECTORY_MESSAGES, HostDirectory
from ._eras import EraGuard
from ._expired_departures import ExpiredDepartures
from ._feeding import Feeding
from ._follower import StoreFollower
from ._gauges import (
    GaugeSources,
    connection_counts,
    daemon_gauges,
    read_counts,
    retry_counts,
    target_counts,
    workspace_counts,
)
from ._logs import BoundedLines
from ._metrics import MetricsPage
from ._platform import Platform
from ._quotas import hosted_caps
from ._readiness import Readiness
from ._relay import VersionRelay
from ._rollouts import HostedRollouts
from ._settings import HostedSettings
from ._version_messages import RELAY_MESSAGES
from ._versions import AcceptedVersions
from ._watch import WATCH_MESSAGES, StoreWatch

__all__ = ["build_hosted_daemon"]

#: Seconds without progress from which a process counts as paused.
_PAUSE_SECONDS: Final = 1.0
#: Number of missed announcements after which a target counts as gone. A crashed target is detected
#: by refused connections, so this only has to cover announcements that come seconds late.
_MAX_MISSED_ANNOUNCEMENTS: Final = 6
#: Timeout, in seconds, for connecting to another daemon; daemons are a few milliseconds apart.
_CONNECT_TIMEOUT: Final = 0.2
#: Largest request body, in bytes, that is buffered so that a refused upload can be offered to a
#: second host; the largest uploads of the known deployments are a tenth of it.
_MAX_HELD_BODY_BYTES: Final = 4 * 1024 * 1024
#: No slot is reserved for a higher class: the classes here differ in urgency, not in kind, and an
#: idle slot serves no call. While calls of all classes wait, each class gets at least a sixteenth
#: of the slots' time, and calls made on behalf of other calls get half of it.
_GATE_POLICY: Final = GatePolicy(
    lowest_share=1.0, middle_spare=0, weights=(4, 3, 1), inner_weight=8
)


async def build_hosted_daemon(
    settings: HostedSettings,
    platform: Platform,
    *,
    timers: EventLoopTimers,
    lines: BoundedLines,
    log: structlog.typing.FilteringBoundLogger,
    tasks: anyio.abc.TaskGroup,
) -> HostedDaemon:
    """Build a daemon with open ports whose parts do not run yet."""
    return await _Builder(settings, platform, timers, lines, log, tasks).build()


def _is_draining(target: TargetInfo) -> bool:
    return target.state == TargetState.DRAINING


def _format_call(told: LoggedCall) -> str:
    """Format, for a log line, a call that was running on a target that ended."""
    return f"{told.request_id} {told.fingerprint}{' blamed' if told.is_blamed else ''}"


class _Builder:
    """Builds the parts in the order of their dependencies."""

    def __init__(
        self,
        settings: HostedSettings,
        platform: Platform,
        timers: EventLoopTimers,
        lines: BoundedLines,
        log: structlog.typing.FilteringBoundLogger,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._timers = timers
        self._lines = lines
        self._log = log
        self._tasks = tasks
        self._random = random.Random()
        self._traffic = Traffic()
        self._bodies = BodyBudget(
            memory_shares(settings.memory_mb).bodies,
            small_body=LARGEST_WHOLE_BODY,
            timers=timers,
        )
        self._invariants = Invariants()
        self._pause = PauseDetector(timers, threshold=_PAUSE_SECONDS)
        self._versions = AcceptedVersions(
            platform.read_configuration, timers=timers, invariants=self._invariants, log=log
        )
        self._calls_log = CallLog(log)
        self._rollouts: HostedRollouts | None = None
        self._book = RolloutBook(
            timers=timers,
            exposure_share=settings.rollouts.exposure_share,
            tell=self._note_rollout,
        )
        self._members: Membership | None = None
        self._departures: DepartureStore | None = None
        self._suspects = Suspects(
            timers=timers,
            dialect=platform.dialect,
            on_event=self._log_suspect,
        )

        self._budgets = SharedRetryBudgets(
            ratio=settings.retries.ratio,
            slack=settings.retries.slack,
            window=settings.retries.window,
            members=lambda: self._members.table.expected_count if self._members else 1,
            timers=timers,
            may_have_run_before=True,
        )

    def _note_rollout(self, news: RolloutChange) -> None:
        if self._rollouts is not None:
            self._rollouts.note(news)

    def _publish(self, targets: tuple[TargetInfo, ...]) -> None:
        if self._members is None:
            return
        before = {(t.name, t.born) for t in self._members.table.own.targets if _is_draining(t)}
        self._members.table.set_targets(targets)
        if any(_is_draining(t) and (t.name, t.born) not in before for t in targets):
            self._members.flush()  # a draining target accepts no new calls

    def _publish_departures(self, departures: tuple[Departure, ...]) -> None:
        if self._departures is not None:
            self._departures.publish(departures)

    def _log_target(self, news: TargetEvent) -> None:
        self._log.info(
            "target",
            target=news.name,
            born=news.born or None,
            version=news.version or None,
            what=news.what,
            reason=news.reason or None,
            request=news.request_id or None,
            sequence=news.sequence or None,
            at_work="; ".join(map(_format_call, news.at_work)) or None,
        )

    def _log_suspect(self, news: SuspectEvent) -> None:
        self._log.info("suspect", **news.fields())

    def _log_shortage(self, news: RetryShortage) -> None:
        self._log.info(
            "retry_budget_short", service=news.service, room=news.room, borrowed=news.borrowed
        )

    def _log_member(self, before: Member | None, now: Member) -> None:
        news = member_log_fields(before, now)
        if news is not None:
            known = self._members.table.present_count if self._members else 0
            self._log.info("member", **news, known=known)

    async def build(self) -> HostedDaemon:
        settings = self._settings
        watch_callbacks(self._calls_log.handler_failed)
        port = ControlPort(
            codec=MessageCodec(
                {
                    **MEMBERSHIP_MESSAGES,
                    **RELAY_MESSAGES,
                    **WATCH_MESSAGES,
                    **DEPARTURE_MESSAGES,
                    **DIRECTORY_MESSAGES,
                    **ROLLOUT_MESSAGES,
                    **QUOTA_MESSAGES,
                    **RETRY_LOAN_MESSAGES,
                }
            ),
            traffic=self._traffic,
            address=settings.control.ip,
            account=self._timers.account,
            on_fault=self._calls_log.handler_failed,
        )
        targets = LocalTargets(
            timers=self._timers,
            pause=self._pause,
            traffic=self._traffic,
            host=settings.name,
            publish=self._publish,
            lease=settings.announce_every * _MAX_MISSED_ANNOUNCEMENTS,
            policy=_GATE_POLICY,
            suspects=self._suspects,
            budgets=self._budgets,
            is_settled=False,
            on_event=self._log_target,
            on_departures=self._publish_departures,
        )
        calls = CallServer(
            targets=targets,
            timers=self._timers,
            pause=self._pause,
            traffic=self._traffic,
            bodies=self._bodies,
            dialect=self._platform.dialect,
            events=self._calls_log,
            link_mbps=settings.link_mbps,
        )
        await port.open(settings.control.port, self._tasks)
        await calls.open(settings.calls.ip, settings.calls.port, self._tasks)
        members = self._make_membership(port)
        RetryLoans(
            budgets=self._budgets,
            members=members.table,
            port=port,
            timers=self._timers,
            seed=self._random,
            on_shortage=self._log_shortage,
        )
        client = self._platform.open_store(settings, timers=self._timers, traffic=self._traffic)
        store = self._store = EraGuard(client, log=self._log)
        departures = self._departures = DepartureStore(
            store=store,
            targets=targets,
            members=members,
            port=port,
            timers=self._timers,
            seed=self._random,
            log=self._log,
        )
        caps = hosted_caps(
            settings,
            members=members,
            port=port,
            timers=self._timers,
            seed=self._random,
            log=self._log,
        )
        entry, dispatcher = self._make_entry(targets, members, caps)
        await entry.open(settings.entry.ip, settings.entry.port, self._tasks)
        feeding = Feeding(members=members, timers=self._timers, log=self._log)
        age = ConfigurationAge(self._timers)
        relay = VersionRelay(
            age=age,
            versions=self._versions,
            members=members,
            feeding=feeding,
            port=port,
            timers=self._timers,
            seed=self._random,
            log=self._log,
        )
        rollouts = self._rollouts = self._make_rollouts(members, feeding, port, store)
        follower = StoreFollower(
            age=age,
            store=store,
            feeding=feeding,
            place=self._platform.configuration,
            versions=self._versions,
            timers=self._timers,
            seed=self._random,
            log=self._log,
            on_record=rollouts.take_record,
            newest_order=lambda: rollouts.newest_order,
        )

        watch = StoreWatch(
            feeding=feeding,
            follower=follower,
            members=members,
            port=port,
            versions=self._versions,
            relay=relay,
            age=age,
            timers=self._timers,
            seed=self._random,
            log=self._log,
        )

        directory = HostDirectory(
            store=store,
            members=members,
            timers=self._timers,
            seed=self._random,
            log=self._log,
            relay=relay,
            rollouts=rollouts,
            port=port,
            leads=lambda: feeding.is_lead,
            on_met=caps.settle,
        )
        expired = ExpiredDepartures(
            store=store, timers=self._timers, log=self._log, leads=lambda: feeding.is_lead
        )
        store.on_change(rollouts.note_era)
        store.on_change(directory.note_era)
        store.on_change(departures.note_era)
        readiness = Readiness(self._platform.readiness_path, self._versions, log=self._log)
        services = await self._open_services(
            targets, departures, readiness, entry, dispatcher, members, caps, follower, watch, port
        )

        return HostedDaemon(
            settings=settings,
            platform=self._platform,
            log=self._log,
            lines=self._lines,
            timers=self._timers,
            pause=self._pause,
            members=members,
            versions=self._versions,
            follower=follower,
            watch=watch,
            feeding=feeding,
            relay=relay,
            rollouts=rollouts,
            caps=caps.caps,
            directory=directory,
            departures=departures,
            expired_departures=expired,
            targets=targets,
            calls=calls,
            entry=entry,
            pool=self._pool,
            readiness=readiness,
            services=services,
        )

    def _make_rollouts(
        self, members: Membership, feeding: Feeding, port: ControlPort, store: EraGuard
    ) -> HostedRollouts:
        """Create the rollouts of this daemon."""
        return HostedRollouts(
            book=self._book,
            picker=self._picker,
            members=members,
            feeding=feeding,
            port=port,
            store=store,
            words=self._platform.rollouts,
            timers=self._timers,
            seed=self._random,
            log=self._log,
        )

    def _make_membership(self, port: ControlPort) -> Membership:
        settings = self._settings
        own = Member(
            host=settings.name,
            incarnation=int(self._timers.wall() * 1000),
            sequence=0,
            state=MemberState.ALIVE,
            domain=settings.failure_domain,
            ip=settings.control.ip,
            control_port=settings.control.port,
            call_port=(settings.calls_advertised or settings.calls).port,
            api_port=0,
            link_mbps=settings.link_mbps,
        )
        self._members = membership(
            own,
            port=port,
            timers=self._timers,
            pause=self._pause,
            seeds=(),
            seed=self._random,
            position=lambda: self._versions.version,
            detector=DetectorSettings(),
        )
        self._members.table.subscribe(self._log_member)
        self._suspects.share(self._members)
        return self._members

    def _make_entry(
        self, targets: LocalTargets, members: Membership, caps: ConnectedCaps
    ) -> tuple[EntryServer, Dispatcher]:
        settings = self._settings
        self._pool = call_pool(
            traffic=self._traffic, timers=self._timers, connect_within=_CONNECT_TIMEOUT
        )
        self._picker = Picker(
            table=members.table, timers=self._timers, seed=self._random, rollouts=self._book
        )
        dispatcher = Dispatcher(
            DispatchContext(
                host=settings.name,
                picker=self._picker,
                rollouts=self._book,
                targets=targets,
                pool=self._pool,
                timers=self._timers,
                seed=self._random,
                invariants=self._invariants,
                dialect=self._platform.dialect,
                suspects=self._suspects,
                budgets=self._budgets,
                tasks=self._tasks,
            )
        )
        entry = EntryServer(
            dispatcher=dispatcher,
            claimer=None,
            levels=ServiceLevels(self._timers),
            targets=targets,
            timers=self._timers,
            traffic=self._traffic,
            bodies=self._bodies,
            not_serving=lambda: "",
            dialect=self._platform.dialect,
            origin=settings.service.encode(),
            max_buffered_body=_MAX_HELD_BODY_BYTES,
            buffers_chunked=True,
            events=self._calls_log,
            caps=caps.caps,
            connection_limits=connection_limits(
                memory_mb=settings.memory_mb, max_descriptors=settings.max_descriptors
            ),
        )
        self._versions.on_prepare(entry.prepare)
        self._versions.on_in_force(caps.caps.use)
        self._versions.on_in_force(entry.use)
        self._versions.on_in_force(targets.use)
        return entry, dispatcher

    async def _open_services(
        self,
        targets: LocalTargets,
        departures: DepartureStore,
        readiness: Readiness,
        entry: EntryServer,
        dispatcher: Dispatcher,
        members: Membership,
        caps: ConnectedCaps,
        follower: StoreFollower,
        watch: StoreWatch,
        port: ControlPort,
    ) -> tuple[HttpService, ...]:
        """Open the HTTP services that the platform uses."""
        settings = self._settings
        sources = GaugeSources(
            versions=self._versions,
            members=members,
            store=self._store,
            follower=follower,
            watch=watch,
            entry=entry,
            dispatcher=dispatcher,
            budgets=self._budgets,
            targets=targets,
            departures=departures,
            suspects=self._suspects,
            rollouts=self._book,
            lines=self._lines,
            calls=self._calls_log,
            pause=self._pause,
            port=port,
            traffic=self._traffic,
            bodies=self._bodies,
            timers=self._timers,
            pool=self._pool,
            caps=caps.caps,
        )
        page = MetricsPage(
            self._calls_log,
            daemon_gauges(sources),
            (
                *connection_counts(sources),
                *target_counts(sources),
                *read_counts(sources),
                *retry_counts(sources),
                *workspace_counts(sources),
            ),
            account=self._timers.account,
        )
        opened = []
        for address, handler in (
            (settings.readiness, readiness.answer),
            (settings.announcements, self._platform.announcements(targets, departures, self._log)),
            (settings.metrics, page.answer),
        ):
            service = HttpService(
                handler, traffic=self._traffic, on_fault=self._calls_log.handler_failed
            )
            await service.open(address.ip, address.port, self._tasks)
            opened.append(service)
        return tuple(opened)
