"""A hosted daemon with all its parts, and its shutdown."""

from __future__ import annotations

from typing import Final

import anyio
import anyio.abc
import structlog
from attrs import define

from acaciayard_admission import LocalTargets
from acaciayard_calls import EntryServer
from acaciayard_handover import CallServer, StreamPool
from acaciayard_http1 import HttpService
from acaciayard_membership import Membership
from acaciayard_quotas import MeshCaps
from acaciayard_timers import EventLoopTimers, PauseDetector, ProcessorPart

from ._departures import DepartureStore
from ._directory import HostDirectory
from ._expired_departures import ExpiredDepartures
from ._feeding import Feeding
from ._follower import StoreFollower
from ._logs import BoundedLines
from ._platform import Platform
from ._readiness import Readiness
from ._relay import VersionRelay
from ._rollouts import HostedRollouts
from ._settings import HostedSettings
from ._versions import AcceptedVersions
from ._watch import StoreWatch

__all__ = ["HostedDaemon"]

#: Seconds between two checks for calls in progress during a shutdown.
_POLL_INTERVAL: Final = 0.05
#: Number of not-ready answers after which the platform sends no new callers; it asks once a second.
_MIN_REFUSALS: Final = 2
#: Seconds without a request after which callers are considered gone.
_QUIET_SECONDS: Final = 0.3
#: Seconds before the end of the grace period at which the wait for callers to leave ends.
_RESERVED_FOR_CALLS: Final = 2.5
#: Seconds for the other daemons to learn that the targets here accept no more calls.
_DRAIN_NOTICE_SECONDS: Final = 0.3
#: Seconds reserved at the end of the grace period for closing what remains.
_RESERVED_FOR_CLOSING: Final = 0.4


@define
class HostedDaemon:
    """A hosted daemon with all its parts."""

    #: Settings of this host.
    settings: HostedSettings
    #: The adapter of the platform.
    platform: Platform
    #: Logger.
    log: structlog.typing.FilteringBoundLogger
    #: Log output.
    lines: BoundedLines
    #: Timer service.
    timers: EventLoopTimers
    #: Detects pauses of the process.
    pause: PauseDetector
    #: The members of the mesh.
    members: Membership
    #: The configuration in force.
    versions: AcceptedVersions
    #: Follows the store.
    follower: StoreFollower
    #: Watches whether the store answers the lead.
    watch: StoreWatch
    #: Selects the daemons that read the store.
    feeding: Feeding
    #: Distributes versions between daemons.
    relay: VersionRelay
    #: Rollouts of services to other versions.
    rollouts: HostedRollouts
    #: Caps of workspaces.
    caps: MeshCaps
    #: Discovers other daemons.
    directory: HostDirectory
    #: Keeps the departures of targets on this host.
    departures: DepartureStore
    #: Drops expired departures from the store.
    expired_departures: ExpiredDepartures
    #: Targets on this host.
    targets: LocalTargets
    #: Server for calls handed over by other daemons.
    calls: CallServer
    #: Server for calls from callers.
    entry: EntryServer
    #: Streams to other daemons.
    pool: StreamPool
    #: Answers readiness checks.
    readiness: Readiness
    #: HTTP services that the platform uses.
    services: tuple[HttpService, ...]
    #: Findings of the last reading of the settings, empty if there were none.
    rejected_settings: str = ""

    def start_parts(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start every part that runs until shutdown."""
        for part in (
            self.pause.run,
            self.members.run,
            self.targets.run,
            self.pool.run,
            self.entry.run,
        ):
            tasks.start_soon(part)
        for exchange in (
            self.directory.run,
            self.departures.run,
            self.expired_departures.run,
            self.relay.run,
            self.feeding.run,
            self.rollouts.run,
            self.caps.run,
            self._follow,
        ):
            tasks.start_soon(self.timers.account.run, ProcessorPart.EXCHANGE, exchange)

    async def _follow(self) -> None:
        """Follow the store, once those that were met first were asked for their version."""
        await self.directory.first_look()
        self.feeding.look()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch.run)
            await self.follower.run()

    async def stop(self) -> int:
        """Shut down gracefully; returns how many calls were cut off.

        The platform is told first, and callers are served until it has noticed; then the other
        daemons learn that the targets here accept no more calls; then the calls in progress end,
        and new ones are refused.  A call that may be cut by the end of the grace period is refused
        at any time.
        """
        ends = self.timers.now() + self.settings.grace - _RESERVED_FOR_CLOSING
        self.targets.grace.end_by(ends)
        self.readiness.stop()
        self.entry.announce_stop()
        await self._wait_for_callers_to_leave(ends - _RESERVED_FOR_CALLS)
        self.targets.stop()
        self.members.flush()
        await self.timers.sleep(_DRAIN_NOTICE_SECONDS)
        self.entry.refuse()
        while self._in_progress() and self.timers.now() < ends:
            await self.timers.sleep(_POLL_INTERVAL)
        cut = self._in_progress()
        self.entry.stop()
        await self.members.leave()
        self.calls.close()
        for service in self.services:
            service.close()
        return cut

    async def _wait_for_callers_to_leave(self, latest: float) -> None:
        served = self.entry.served
        quiet_since = self.timers.now()
        while (now := self.timers.now()) < latest:
            if self.entry.served != served or self.entry.running:
                served = self.entry.served
                quiet_since = now
            has_noticed = self.readiness.refusals >= _MIN_REFUSALS
            if has_noticed and now - quiet_since >= _QUIET_SECONDS:
                return
            await self.timers.sleep(_POLL_INTERVAL)

    def _in_progress(self) -> int:
        return self.entry.running + self.calls.running
