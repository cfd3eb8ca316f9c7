"""All parts of one running daemon, and how they are taken down."""

from __future__ import annotations

from typing import Final

import anyio
import anyio.abc
import structlog
from attrs import define

from acaciayard_admission import LocalTargets
from acaciayard_api import ApiServer, ChangeService
from acaciayard_calls import Claimer, EntryServer
from acaciayard_handover import CallServer, StreamPool
from acaciayard_membership import Membership
from acaciayard_quotas import ConnectedCaps
from acaciayard_settings import HostSettings
from acaciayard_spread import Spread
from acaciayard_timers import EventLoopTimers, PauseDetector
from acaciayard_wire import ControlPort

__all__ = ["Daemon"]

#: Seconds from the start to when all others are known that can be found.
_MET_AFTER: Final = 1.0
#: Seconds between two looks at calls under way during a shutdown.
_LOOK_EVERY: Final = 0.05


@define
class Daemon:
    """All parts of one running daemon."""

    #: Settings of the host.
    settings: HostSettings
    #: Logger.
    logger: structlog.typing.FilteringBoundLogger
    #: Time.
    timers: EventLoopTimers
    #: Notices pauses of the process.
    pause: PauseDetector
    #: Control port.
    port: ControlPort
    #: Who else is there.
    members: Membership
    #: Configuration.
    spread: Spread
    #: Targets on this host.
    targets: LocalTargets
    #: Calls handed over by other daemons.
    call_server: CallServer
    #: Calls from callers.
    entry: EntryServer
    #: Claims of idempotency keys.
    claimer: Claimer
    #: Streams to other daemons.
    pool: StreamPool
    #: Caps of workspaces.
    caps: ConnectedCaps
    #: Operators' changes.
    changes: ChangeService
    #: The API's server.
    api: ApiServer

    def start_parts(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start every part that runs for ever."""
        for part in (
            self.pause.run,
            self.members.run,
            self.spread.run,
            self.targets.run,
            self.claimer.run,
            self.pool.run,
            self._keep_caps,
            self.entry.run,
            self.changes.run,
            self.api.run,
        ):
            tasks.start_soon(part)

    async def _keep_caps(self) -> None:
        """Keep caps, from when the others will have been met, as far as there are any."""
        await self.timers.sleep(_MET_AFTER)
        self.caps.settle()
        await self.caps.caps.run()

    async def stop(self, force: anyio.Event) -> int:
        """Shut down without cutting calls; returns how many were cut after all.

        First the other daemons hear that the targets here take nothing new, while callers'
        connections end after their present request; then nothing new is taken, and everything under
        way gets its time.  A call that may be cut by the end of that time is refused.
        """
        shutdown = self.settings.shutdown
        self.targets.grace.end_by(self.timers.now() + shutdown.notice_s + shutdown.grace_s)
        self.entry.announce_stop()
        self.targets.stop()
        await self.timers.sleep(shutdown.notice_s)
        self.entry.stop()
        with self.timers.timeout(shutdown.grace_s):
            while self._under_way() and not force.is_set():
                await self.timers.sleep(_LOOK_EVERY)
        cut = self._under_way()
        self.call_server.close()
        await self.members.leave()
        await self.api.stop()
        return cut

    def _under_way(self) -> int:
        return self.entry.running + self.call_server.running
