"""Maintains the replication sessions that the topology requires, and catches up without them."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Collection
from typing import Final

import anyio
import anyio.abc
from attrs import define

from acaciayard_membership import Member, Membership
from acaciayard_timers import Signal, TimerService
from acaciayard_wire import ControlPort, MessageError, MessageStream, Purpose, StreamLostError

from ._messages import Hello
from ._session import Session, SessionContext
from ._topology import upstream_of

__all__ = ["SessionManager"]

#: Seconds for which a host is avoided after a session with it has failed.
_AVOID_SECONDS: Final = 2.0
#: Seconds to wait after a topology change before sessions are opened and closed, so that further
#: changes are handled together.
_SETTLE_DELAY: Final = 0.2
#: Seconds that another daemon may be ahead before records are fetched from it directly.
_LAG_TOLERANCE: Final = 0.4
#: Timeout of a session that only catches up, in seconds.
_CATCH_UP_TIMEOUT: Final = 2.0


@define
class _Link:
    """A task that keeps a session with one upstream host."""

    host: str
    scope: anyio.CancelScope


class SessionManager:
    """Opens sessions upstream, accepts those from downstream, and catches up when behind."""

    def __init__(
        self,
        *,
        context: SessionContext,
        members: Membership,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
    ) -> None:
        self._context = context
        self._members = members
        self._port = port
        self._timers = timers
        self._seed = seed
        self._links: dict[str, _Link] = {}
        self._avoided: dict[str, float] = {}
        self._topology_changed = Signal()
        self._catching_up = False
        self._tasks: anyio.abc.TaskGroup | None = None
        port.on_stream(Hello, Purpose.SPREAD, self._serve_session)
        members.table.subscribe(self._on_member)
        members.on_position(self._on_position)

    @property
    def upstream(self) -> Collection[str]:
        """Hosts with which upstream sessions are kept."""
        return self._links.keys()

    async def run(self) -> None:
        """Maintain the upstream sessions until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                seen = self._topology_changed.count
                self._apply_topology()
                await self._topology_changed.wait_beyond(seen)
                await self._timers.sleep(_SETTLE_DELAY)

    def _on_member(self, before: Member | None, now: Member) -> None:
        if before is None or before.is_present != now.is_present or before.control != now.control:
            self._topology_changed.notify()
        if before is None or not before.is_present:
            return
        if not now.is_present or now.incarnation != before.incarnation:
            self._close_sessions(now.host)

    def _close_sessions(self, host: str) -> None:
        """Close sessions with a host that is absent or has restarted without closing them."""
        for session in self._context.open.get(host, []):
            session.close()

    def _apply_topology(self) -> None:
        """Open and close upstream sessions to match the topology."""
        assert self._tasks is not None
        now = self._timers.now()
        self._avoided = {host: until for host, until in self._avoided.items() if until > now}
        table = self._members.table
        wanted = upstream_of(table.own, table.present(), avoid=self._avoided)
        hosts = {member.host for member in wanted}
        for host in [host for host in self._links if host not in hosts]:
            self._links.pop(host).scope.cancel()
        for member in wanted:
            if member.host not in self._links:
                link = _Link(member.host, anyio.CancelScope())
                self._links[member.host] = link
                self._tasks.start_soon(self._run_upstream, link, member)

    async def _run_upstream(self, link: _Link, member: Member) -> None:
        with link.scope, contextlib.suppress(StreamLostError, MessageError):
            await self._replicate(member, until_caught_up=False)
        if self._links.get(link.host) is link:
            del self._links[link.host]
            until = self._timers.now() + _AVOID_SECONDS
            self._avoided[link.host] = until
            self._timers.call_at(until, self._topology_changed.notify)
            self._topology_changed.notify()

    async def _replicate(self, member: Member, *, until_caught_up: bool) -> None:
        stream = await self._port.connect(member.control, Purpose.SPREAD)
        try:
            await stream.send(self._context.hello())
            peer_hello = await stream.receive()
            if not isinstance(peer_hello, Hello):
                raise MessageError("a session must start with a Hello message")
            session = Session(self._context, stream, peer_hello)
            await session.run(until_caught_up=until_caught_up)
        finally:
            stream.close()

    async def _serve_session(self, peer_hello: Hello, stream: MessageStream) -> None:
        await stream.send(self._context.hello())
        await Session(self._context, stream, peer_hello).run()

    # --- anti-entropy -------------------------------------------------------------------------

    def _on_position(self, host: str, position: int) -> None:
        if position > self._context.holder.position and not self._catching_up:
            self._catching_up = True
            due = self._timers.now() + _LAG_TOLERANCE
            self._timers.call_at(due, lambda: self._check_behind(host, position))

    def _check_behind(self, host: str, position: int) -> None:
        member = self._members.table.find(host)
        if self._context.holder.position >= position or member is None or self._tasks is None:
            self._catching_up = False
            return
        self._tasks.start_soon(self._catch_up, member)

    async def _catch_up(self, member: Member) -> None:
        try:
            with self._timers.timeout(_CATCH_UP_TIMEOUT):
                await self._replicate(member, until_caught_up=True)
        except (StreamLostError, MessageError):
            pass
        finally:
            self._catching_up = False
