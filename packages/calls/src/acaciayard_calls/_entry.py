"""The entry server, which accepts callers' connections.

There is one task per connection, and one for each request that runs concurrently with others.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Generator
from typing import Final

import anyio
import anyio.abc

from acaciayard_admission import CallerLimiter, LocalTargets
from acaciayard_callmodel import (
    LARGEST_WHOLE_BODY,
    NO_CAPS,
    NO_EVENTS,
    OWN_DIALECT,
    CallEvents,
    Dialect,
    NotRun,
    UsageCaps,
)
from acaciayard_http1 import Limits
from acaciayard_resources import Configuration, EntryLimits
from acaciayard_routing import Router
from acaciayard_timers import ProcessorPart, TimerService
from acaciayard_wire import (
    BodyBudget,
    ByteStream,
    ConnectionBuffers,
    ConnectionReset,
    Listener,
    Purpose,
    StreamLostError,
    Traffic,
    listen,
)

from ._caller import CallerConnection
from ._claimer import Claimer
from ._connection_limits import CallsInProgress, ConnectionLimits
from ._dispatcher import Dispatcher
from ._first_asked import FirstRequestEstimator
from ._intake import EntryContext
from ._levels import ServiceLevels
from ._refusals import not_run_bytes

__all__ = ["EntryServer"]

#: Seconds between two checks for idle, slow and stalled connections.
_SWEEP_INTERVAL_S: Final = 0.5
#: Name of the `EntryLimits` resource that applies to every host.
_DEFAULT_LIMITS: Final = "default"
#: Refusal of a connection beyond the limit, none of which is idle, with seconds until a retry.
_TOO_MANY_CONNECTIONS: Final = NotRun("too many connections at this daemon", 1.0, is_overload=True)
#: Limits for requests of callers; bodies have none, since they are streamed.
_CALLER_LIMITS: Final = Limits(headers=100, head_bytes=32 * 1024)


class EntryServer:
    """Accepts callers' connections and serves their requests.

    `not_serving` returns why calls are currently refused, or an empty string if they are served.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        claimer: Claimer | None,
        levels: ServiceLevels,
        targets: LocalTargets,
        timers: TimerService,
        traffic: Traffic,
        bodies: BodyBudget,
        not_serving: Callable[[], str],
        dialect: Dialect = OWN_DIALECT,
        origin: bytes = b"",
        max_buffered_body: int = LARGEST_WHOLE_BODY,
        buffers_chunked: bool = False,
        events: CallEvents = NO_EVENTS,
        caps: UsageCaps = NO_CAPS,
        connection_limits: ConnectionLimits = ConnectionLimits(),  # noqa: B008 (frozen)
    ) -> None:
        self._traffic = traffic
        self._context = EntryContext(
            dispatcher=dispatcher,
            claimer=claimer,
            limiter=CallerLimiter(timers),
            levels=levels,
            targets=targets,
            timers=timers,
            bodies=bodies,
            first_request_estimator=FirstRequestEstimator(timers),
            limits=_CALLER_LIMITS,
            not_serving=not_serving,
            dialect=dialect,
            origin=origin,
            max_buffered_body=max_buffered_body,
            buffers_chunked=buffers_chunked,
            events=events,
            caps=caps,
            calls=CallsInProgress(connection_limits.calls),
        )
        self._connections: set[CallerConnection] = set()
        self._connection_limits = connection_limits
        self._buffers = ConnectionBuffers(
            connection_limits.held_bytes, timers=timers, on_reset=self._note_reset
        )
        self._listener: Listener | None = None
        #: The router prepared for the next configuration.
        self._prepared: Router | None = None

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        assert self._listener is not None, "the server does not listen yet"
        return self._listener.port

    @property
    def running(self) -> int:
        """Number of calls in progress."""
        return sum(connection.running for connection in self._connections)

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    @property
    def held_bytes(self) -> int:
        """Bytes held by the connections of callers that hold more than a little."""
        return self._buffers.held

    @property
    def served(self) -> int:
        """Number of calls served so far, including refused ones."""
        return self._context.served

    def prepare(self, configuration: Configuration) -> Generator[None, None, None]:
        """Prepare a router for a configuration, yielding regularly so that calls are served."""
        self._prepared = yield from Router.in_slices(configuration, self._context.router)

    def use(self, configuration: Configuration) -> None:
        """Use a configuration for new calls; calls in progress keep the previous one."""
        prepared, self._prepared = self._prepared, None
        if prepared is None or prepared.configuration is not configuration:
            prepared = Router(configuration, earlier=self._context.router)
        self._context.router = prepared
        limits = configuration.find(EntryLimits, _DEFAULT_LIMITS)
        if limits is not None:
            self._context.limits = Limits(
                headers=_CALLER_LIMITS.headers,
                head_bytes=limits.head_bytes,
                body_bytes=limits.body_bytes,
            )
            self._context.head_for = limits.head_s
            self._context.idle_for = limits.idle_s

    async def open(self, address: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Start to listen; connections are served by tasks in `tasks`."""
        self._context.tasks = tasks
        self._listener = await listen(
            address,
            port,
            traffic=self._traffic,
            purpose=Purpose.CALLS,
            on_stream=lambda stream: self._accept(stream, tasks),
            buffers=self._buffers,
            backlog=self._connection_limits.backlog,
        )

    def _note_reset(self, reset: ConnectionReset) -> None:
        self._context.events.caller_cut(reset.peer, reset.reason, reset.held, reset.seconds)

    def _accept(self, stream: ByteStream, tasks: anyio.abc.TaskGroup) -> None:
        if not self._make_room():
            self._refuse(stream)
            return
        connection = CallerConnection(stream, self._context)
        self._connections.add(connection)
        tasks.start_soon(self._serve, connection, stream)

    async def _serve(self, connection: CallerConnection, stream: ByteStream) -> None:
        try:
            await self._context.timers.account.run(ProcessorPart.ENTRY, connection.run)
        except Exception as error:
            self._context.events.connection_failed(error)
        finally:
            self._connections.discard(connection)
            stream.close()

    def _make_room(self) -> bool:
        """Close the connection that has been idle for longest if there are as many as allowed."""
        if len(self._connections) < self._connection_limits.count:
            return True
        idle = [each for each in self._connections if each.is_idle]
        if not idle:
            return False
        longest = min(idle, key=lambda each: each.idle_since)
        longest.close_if_idle()
        self._connections.discard(longest)
        self._context.events.caller_cut(longest.peer, "idle_for_another", 0, 0.0)
        return True

    def _refuse(self, stream: ByteStream) -> None:
        """Answer the first request of a connection for which there is no room, and close."""
        self._context.events.caller_cut(stream.peer, "too_many_connections", 0, 0.0)
        with contextlib.suppress(StreamLostError):  # the caller has disconnected
            stream.send_nowait(
                not_run_bytes(
                    _TOO_MANY_CONNECTIONS,
                    dialect=self._context.dialect,
                    status=503,
                    keep_alive=False,
                    bodiless=False,
                )
            )
        stream.close()

    async def run(self) -> None:
        """Close idle and stalled connections periodically; never returns."""
        async for _ in self._context.timers.ticks(_SWEEP_INTERVAL_S):
            self._buffers.reset_stalled()
            for connection in tuple(self._connections):
                connection.close_if_timed_out()

    def announce_stop(self) -> None:
        """Keep serving, but close each connection after its requests in progress."""
        self._context.is_stopping = True

    def refuse(self) -> None:
        """Answer each new request with a refusal, except for nested calls of those in progress."""
        self._context.is_stopping = True
        self._context.is_refusing = True

    def stop(self) -> None:
        """Accept no more connections, and no more requests on existing ones."""
        self._context.is_stopping = True
        if self._listener is not None:
            self._listener.close()
        for connection in self._connections:
            connection.close_if_idle()
