"""Recovery after a start: finds the position that this host may have reached before.

While the log is available, this is its head: every version that was in force here lies before it.
Daemons request the head from a feeder, which shares one read among concurrent requests, so that a
mass restart causes few reads of the log.  While the log is unavailable, only other daemons know the
position; see `Witnesses`.
"""

from __future__ import annotations

import random
from typing import Final

import anyio
from attrs import frozen

from acaciayard_logservice import LogService, Unavailable
from acaciayard_membership import Membership
from acaciayard_timers import Signal, TimerService
from acaciayard_wire import ControlPort, MessageError, MessageStream, Purpose, StreamLostError

from ._census import StatusCollector
from ._feeder import CONFIGURATION_STREAM, LogState
from ._holder import Holder
from ._messages import HeadAnswer, HeadRequest
from ._topology import feeders_of, is_feeder
from ._witnesses import REQUIRED_WITNESSES

__all__ = ["HeadReader", "Recovery", "RecoveryState"]

#: Timeout for the answer of a feeder, in seconds.
_HEAD_TIMEOUT: Final = 2.0
#: Minimum of seconds between two reads of the head.
_MIN_READ_INTERVAL: Final = 0.25
#: Timeout for the answers of all daemons, in seconds.
_STATUS_TIMEOUT: Final = 1.0
#: Mean seconds before a retry.
_RETRY_DELAY: Final = 0.5
#: Seconds to try to join the mesh before recovery continues without it.
_JOIN_TIMEOUT: Final = 5.0
#: Mean seconds without a new member after which the view of the mesh counts as complete.
_SETTLE_DELAY: Final = 1.0
#: Seconds after which the view is used even if it still grows.
_SETTLE_TIMEOUT: Final = 5.0


class HeadReader:
    """Reads the head of the log, once for all requests that arrive before the read starts.

    A minimum time between two reads lets requests that arrive in a burst share one.
    """

    def __init__(self, log: LogService, state: LogState, timers: TimerService) -> None:
        self._log = log
        self._state = state
        self._timers = timers
        self._next_at = 0.0
        self._lock = anyio.Lock()
        self._started = 0
        self._last: HeadAnswer = HeadAnswer(-1, "not read yet")
        self._completed = Signal()

    async def read(self) -> HeadAnswer:
        """The head of the log, from a read that started after this call."""
        needed = self._started + 1
        async with self._lock:
            if self._completed.count < needed:
                await self._timers.sleep(self._next_at - self._timers.now())
                self._next_at = self._timers.now() + _MIN_READ_INTERVAL
                self._started += 1
                self._last = await self._read_bounds()
                self._completed.notify()
            return self._last

    async def _read_bounds(self) -> HeadAnswer:
        bounds = await self._log.bounds(CONFIGURATION_STREAM)
        if isinstance(bounds, Unavailable):
            self._state.set_reason(bounds.reason)
            return HeadAnswer(-1, bounds.reason)
        self._state.set_reason("")
        return HeadAnswer(bounds.head, "")


@frozen
class RecoveryState:
    """Progress of recovery."""

    #: Whether recovery has finished.
    is_done: bool
    #: What it is waiting for, or how it ended.
    reason: str


class Recovery:
    """Determines the floor of the replica after a start."""

    def __init__(
        self,
        *,
        holder: Holder,
        members: Membership,
        status_collector: StatusCollector,
        heads: HeadReader,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
    ) -> None:
        self._holder = holder
        self._members = members
        self._status_collector = status_collector
        self._heads = heads
        self._port = port
        self._timers = timers
        self._seed = seed
        self._state = RecoveryState(is_done=False, reason="starting")
        self._joined = anyio.Event()
        port.on_stream(HeadRequest, Purpose.SPREAD, self._serve_head)

    @property
    def state(self) -> RecoveryState:
        """Progress of recovery."""
        if self._state.is_done or self._holder.floor is None:
            return self._state
        return RecoveryState(
            is_done=False,
            reason=f"holds records up to {self._holder.position}, confirmed up to"
            f" {self._holder.confirmed}, and needs them up to {self._holder.floor}",
        )

    @property
    def joined(self) -> anyio.Event:
        """Set once this daemon has joined the mesh or given up on it, and its view has settled."""
        return self._joined

    async def run(self) -> None:
        """Recover; returns when a configuration is in force."""
        await self._members.join(within=_JOIN_TIMEOUT)
        await self._wait_until_settled()
        self._joined.set()
        while self._holder.floor is None:
            floor = await self._find_floor()
            if floor is not None:
                self._holder.set_floor(floor)
            else:
                await self._timers.sleep(_RETRY_DELAY * self._seed.uniform(0.5, 1.5))
        while self._holder.in_force is None:
            seen = self._holder.changed.count
            if self._holder.in_force is None:
                await self._holder.changed.wait_beyond(seen)
        self._state = RecoveryState(is_done=True, reason=f"floor {self._holder.floor}")

    async def _wait_until_settled(self) -> None:
        """Wait until the view of the mesh has stopped growing.

        When all daemons start at once, the first ones see few others.  With such a partial view
        each would consider itself a feeder and read the log.
        """
        table = self._members.table
        with self._timers.timeout(_SETTLE_TIMEOUT):
            seen = 1
            while table.present_count > seen:
                seen = table.present_count
                await self._timers.sleep(_SETTLE_DELAY * self._seed.uniform(0.8, 1.2))

    async def _find_floor(self) -> int | None:
        head = await self._request_head()
        if head.head >= 0:
            return head.head
        return await self._query_members(head.reason)

    async def _request_head(self) -> HeadAnswer:
        table = self._members.table
        if is_feeder(table.own, table.present()):
            return await self._heads.read()
        answer = HeadAnswer(-1, "no feeder answered")
        for feeder in feeders_of(table.own.domain, table.present()):
            with self._timers.timeout(_HEAD_TIMEOUT):
                try:
                    stream = await self._port.connect(feeder.control, Purpose.SPREAD)
                    try:
                        await stream.send(HeadRequest())
                        reply = await stream.receive()
                    finally:
                        stream.close()
                    if isinstance(reply, HeadAnswer):
                        answer = reply
                except (StreamLostError, MessageError):
                    continue
            if answer.head >= 0:
                break
        return answer

    async def _serve_head(self, _request: HeadRequest, stream: MessageStream) -> None:
        await stream.send(await self._heads.read())

    async def _query_members(self, log_reason: str) -> int | None:
        """The floor according to other daemons, or `None` if too few of them know it.

        A version that was in force here was held by `REQUIRED_WITNESSES` others.  At least one of
        them is among the daemons that answer, if fewer than `REQUIRED_WITNESSES` of all known
        daemons do not answer or have not recovered themselves.
        """
        table = self._members.table
        others = [m for m in (*table.present(), *table.lost()) if m.host != table.own.host]
        answers = await self._status_collector.collect(others, within=_STATUS_TIMEOUT)
        known = [answer for answer in answers.values() if answer.recovered]
        unknown = len(others) - len(known)
        if known and unknown < min(REQUIRED_WITNESSES, len(others)):
            return max(answer.position for answer in known)
        self._state = RecoveryState(
            is_done=False,
            reason=f"the log is out ({log_reason}) and {unknown} of {len(others)} other daemons"
            " cannot tell which version this host has run; not serving so as not to go back",
        )
        return None
