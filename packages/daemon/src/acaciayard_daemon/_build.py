"""Makes the parts of a daemon in the order in which they need each other."""

from __future__ import annotations

import random
from typing import Final
from urllib.parse import urlsplit

import anyio.abc
import structlog
from attrs import frozen
from starlette.applications import Starlette

from acaciayard_admission import LocalTargets, RetryBudgets, SuspectEvent, Suspects
from acaciayard_api import ApiContext, ApiServer, ChangeService, Progress, api_application
from acaciayard_callmodel import LARGEST_WHOLE_BODY, OWN_DIALECT, CallEvents
from acaciayard_calls import Claimer, DispatchContext, Dispatcher, EntryServer, ServiceLevels
from acaciayard_handover import CLAIM_MESSAGES, CallServer, StreamPool, call_pool
from acaciayard_logservice import HttpLogService, http_log_service
from acaciayard_membership import (
    MEMBERSHIP_MESSAGES,
    DetectorSettings,
    Member,
    Membership,
    MemberState,
    TargetInfo,
    member_log_fields,
    membership,
)
from acaciayard_quotas import QUOTA_MESSAGES, CapRules, ConnectedCaps
from acaciayard_resources import Configuration, Invariants
from acaciayard_routing import Picker
from acaciayard_settings import HostSettings
from acaciayard_spread import SPREAD_MESSAGES, SnapshotSettings, Spread, spread
from acaciayard_timers import EventLoopTimers, PauseDetector
from acaciayard_wire import (
    Address,
    BodyBudget,
    ControlPort,
    MessageCodec,
    Purpose,
    Traffic,
    memory_shares,
    trace_of,
    watch_callbacks,
)

from ._daemon import Daemon
from ._status import StatusSources, status_view

__all__ = ["build_daemon"]

#: Seconds of standstill from which a process counts as paused.
_PAUSE_THRESHOLD: Final = 1.0


async def build_daemon(
    settings: HostSettings,
    logger: structlog.typing.FilteringBoundLogger,
    tasks: anyio.abc.TaskGroup,
) -> Daemon:
    """A daemon whose ports are open and whose parts do not run yet."""
    return await _Builder(settings, logger, tasks).build()


def _codec() -> MessageCodec:
    """All messages that pass the control port."""
    return MessageCodec(
        {**MEMBERSHIP_MESSAGES, **SPREAD_MESSAGES, **CLAIM_MESSAGES, **QUOTA_MESSAGES}
    )


class _FaultLog(CallEvents):
    """Logs unexpected exceptions, each of which ends one connection or datagram."""

    def __init__(self, logger: structlog.typing.FilteringBoundLogger) -> None:
        self._logger = logger

    def connection_failed(self, error: Exception) -> None:
        self._log("connection_failed", error)

    def caller_cut(self, peer: str, reason: str, held: int, seconds: float) -> None:
        self._logger.info("caller_cut", peer=peer, reason=reason, held=held, seconds=seconds)

    def handler_failed(self, error: Exception) -> None:
        """Log an unexpected exception that ended a message for control."""
        self._log("handler_failed", error)

    def _log(self, event: str, error: Exception) -> None:
        self._logger.error(event, error=repr(error), trace=trace_of(error))


@frozen
class _CallParts:
    """The parts that callers' calls pass."""

    entry: EntryServer
    dispatcher: Dispatcher
    claimer: Claimer
    pool: StreamPool
    levels: ServiceLevels
    caps: ConnectedCaps


class _Builder:
    """Makes the parts in the order in which they need each other."""

    def __init__(
        self,
        settings: HostSettings,
        logger: structlog.typing.FilteringBoundLogger,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._settings = settings
        self._logger = logger
        self._faults = _FaultLog(logger)
        self._tasks = tasks
        self._timers = EventLoopTimers()
        self._seed = random.Random()
        self._log_host = urlsplit(settings.log.url).hostname or "log"
        self._traffic = Traffic()
        self._bodies = BodyBudget(
            memory_shares(settings.limits.memory_mb).bodies,
            small_body=LARGEST_WHOLE_BODY,
            timers=self._timers,
        )
        self._invariants = Invariants()
        self._pause = PauseDetector(self._timers, threshold=_PAUSE_THRESHOLD)
        self._spread: Spread | None = None
        self._members: Membership | None = None
        self._suspects = Suspects(
            timers=self._timers, dialect=OWN_DIALECT, on_event=self._log_suspect
        )
        self._budgets = RetryBudgets()

    # --- hooks between parts ------------------------------------------------------------------

    def _position(self) -> int:
        return self._spread.holder.position if self._spread is not None else 0

    def _publish(self, targets: tuple[TargetInfo, ...]) -> None:
        if self._members is not None:
            self._members.table.set_targets(targets)

    def _not_serving(self) -> str:
        if self._spread is None or self._spread.holder.in_force is not None:
            return ""
        return self._spread.recovery.state.reason

    def _count_log(self, sent: int, received: int) -> None:
        self._traffic.sent(Purpose.LOG, sent, self._log_host)
        self._traffic.received(Purpose.LOG, received, self._log_host)

    def _log_everywhere(self, change_id: str, progress: Progress) -> None:
        self._logger.info(
            "in_force_everywhere",
            change=change_id,
            version=progress.version,
            seconds=round(progress.seconds, 4),
            members=progress.members,
        )

    def _log_in_force(self, configuration: Configuration) -> None:
        self._logger.info(
            "in_force",
            version=configuration.version,
            resources=len(configuration.stored),
            monotonic=round(self._timers.now(), 6),
        )

    def _log_suspect(self, news: SuspectEvent) -> None:
        self._logger.info("suspect", **news.fields())

    def _log_member(self, before: Member | None, now: Member) -> None:
        news = member_log_fields(before, now)
        if news is not None:
            self._logger.info("member", **news)

    # --- parts --------------------------------------------------------------------------------

    async def build(self) -> Daemon:
        settings = self._settings
        ip = settings.host.address
        watch_callbacks(self._faults.handler_failed)
        port = ControlPort(
            codec=_codec(),
            traffic=self._traffic,
            address=ip,
            on_fault=self._faults.handler_failed,
        )
        log = http_log_service(settings.log.url, count=self._count_log)
        targets = LocalTargets(
            timers=self._timers,
            pause=self._pause,
            traffic=self._traffic,
            host=settings.host.name,
            publish=self._publish,
            suspects=self._suspects,
            budgets=self._budgets,
        )
        call_server = CallServer(
            targets=targets,
            timers=self._timers,
            pause=self._pause,
            traffic=self._traffic,
            bodies=self._bodies,
            events=self._faults,
        )
        await port.open(settings.ports.control, self._tasks)
        await call_server.open(ip, settings.ports.calls, self._tasks)
        api = ApiServer(address=ip, port=settings.ports.api)
        members = self._membership(port, call_server.port, api.port)
        spreading = self._spreading(members, log, port)
        calls = self._calls(port, log, targets, members, spreading)
        await calls.entry.open(ip, settings.ports.entry, self._tasks)
        changes = self._changes(members, spreading, log)
        sources = StatusSources(
            table=members.table,
            spread=spreading,
            log=log,
            traffic=self._traffic,
            pause=self._pause,
            invariants=self._invariants,
            targets=targets,
            entry=calls.entry,
            bodies=self._bodies,
            calls=call_server,
            dispatcher=calls.dispatcher,
            claimer=calls.claimer,
            port=port,
        )
        api.application = self._application(sources, calls, changes)
        return Daemon(
            settings=settings,
            logger=self._logger,
            timers=self._timers,
            pause=self._pause,
            port=port,
            members=members,
            spread=spreading,
            targets=targets,
            call_server=call_server,
            entry=calls.entry,
            claimer=calls.claimer,
            pool=calls.pool,
            caps=calls.caps,
            changes=changes,
            api=api,
        )

    def _membership(self, port: ControlPort, call_port: int, api_port: int) -> Membership:
        settings = self._settings
        own = Member(
            host=settings.host.name,
            incarnation=int(self._timers.wall() * 1000),
            sequence=0,
            state=MemberState.ALIVE,
            domain=settings.host.failure_domain,
            ip=settings.host.address,
            control_port=port.address.port,
            call_port=call_port,
            api_port=api_port,
        )
        detector = settings.detector
        self._members = membership(
            own,
            port=port,
            timers=self._timers,
            pause=self._pause,
            seeds=tuple(Address.parse(seed) for seed in settings.mesh.seeds),
            seed=self._seed,
            position=self._position,
            detector=DetectorSettings(
                period=detector.period_s,
                direct_timeout=detector.direct_s,
                indirect_timeout=detector.indirect_s,
                suspicion_timeout=detector.suspicion_s,
            ),
        )
        self._members.table.subscribe(self._log_member)
        self._suspects.share(self._members)
        return self._members

    def _spreading(self, members: Membership, log: HttpLogService, port: ControlPort) -> Spread:
        snapshots = self._settings.snapshots
        self._spread = spread(
            members=members,
            log=log,
            port=port,
            timers=self._timers,
            seed=self._seed,
            invariants=self._invariants,
            snapshots=SnapshotSettings(
                every_records=snapshots.every_records,
                every_seconds=snapshots.every_s,
                look_every=snapshots.look_s,
            ),
        )
        self._spread.holder.on_in_force(self._log_in_force)
        return self._spread

    def _calls(
        self,
        port: ControlPort,
        log: HttpLogService,
        targets: LocalTargets,
        members: Membership,
        spreading: Spread,
    ) -> _CallParts:
        pool = call_pool(traffic=self._traffic, timers=self._timers)
        levels = ServiceLevels(self._timers)
        claimer = Claimer(table=members.table, log=log, port=port, timers=self._timers)
        dispatcher = Dispatcher(
            DispatchContext(
                host=self._settings.host.name,
                picker=Picker(table=members.table, timers=self._timers, seed=self._seed),
                targets=targets,
                pool=pool,
                timers=self._timers,
                seed=self._seed,
                invariants=self._invariants,
                dialect=OWN_DIALECT,
                suspects=self._suspects,
                budgets=self._budgets,
                tasks=self._tasks,
            )
        )
        caps = ConnectedCaps(
            members=members, port=port, rules=CapRules(), timers=self._timers, seed=self._seed
        )
        entry = EntryServer(
            dispatcher=dispatcher,
            claimer=claimer,
            levels=levels,
            targets=targets,
            timers=self._timers,
            traffic=self._traffic,
            bodies=self._bodies,
            not_serving=self._not_serving,
            events=self._faults,
            caps=caps.caps,
        )
        spreading.holder.on_in_force(caps.caps.use)
        spreading.holder.on_in_force(entry.use)
        spreading.holder.on_in_force(targets.use)
        return _CallParts(entry, dispatcher, claimer, pool, levels, caps)

    def _changes(
        self, members: Membership, spreading: Spread, log: HttpLogService
    ) -> ChangeService:
        return ChangeService(
            spread=spreading,
            table=members.table,
            log=log,
            timers=self._timers,
            seed=self._seed,
            on_everywhere=self._log_everywhere,
        )

    def _application(
        self, sources: StatusSources, calls: _CallParts, changes: ChangeService
    ) -> Starlette:
        return api_application(
            ApiContext(
                table=sources.table,
                spread=sources.spread,
                changes=changes,
                targets=sources.targets,
                suspects=self._suspects,
                levels=calls.levels,
                caps=calls.caps.caps,
                timers=self._timers,
                status=lambda: status_view(sources, changes.convergence),
            )
        )
