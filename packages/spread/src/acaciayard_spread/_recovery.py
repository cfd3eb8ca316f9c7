"""After a start: how far this host may have been before it.

With the log reachable the answer is its head: whatever ran here came from before it.  The head is
asked of a feeder, which reads it once for all who ask at one time, so that a herd of restarting
daemons is no herd of readers.  With the log out only other daemons can tell; see `Witnesses`.
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

from ._census import Census
from ._feeder import CONFIGURATION_STREAM, LogState
from ._holder import Holder
from ._messages import HeadAnswer, HeadRequest
from ._topology import feeders_of, is_feeder
from ._witnesses import WITNESSES

__all__ = ["HeadReader", "Recovery", "RecoveryState"]

#: Seconds for the answer of a feeder.
_HEAD_WITHIN: Final = 2.0
#: Seconds between two reads of the head.
_APART: Final = 0.25
#: Seconds for the answers of all daemons.
_CENSUS_WITHIN: Final = 1.0
#: Seconds before another try.
_RETRY: Final = 0.5
#: Seconds to meet other daemons before going on alone.
_JOIN_WITHIN: Final = 5.0
#: Seconds for which no new daemon must have been seen before the view counts as whole, and
#: seconds after which it is used as it is.
_QUIET_FOR: Final = 1.0
_SETTLE_WITHIN: Final = 5.0


class HeadReader:
    """Reads the head of the log, once for all who ask before the read starts.

    Reads are a little apart, so that those who ask in a herd share them.
    """

    def __init__(self, log: LogService, state: LogState, timers: TimerService) -> None:
        self._log = log
        self._state = state
        self._timers = timers
        self._next_at = 0.0
        self._lock = anyio.Lock()
        self._started = 0
        self._last: HeadAnswer = HeadAnswer(-1, "not read yet")
        self._done = Signal()

    async def read(self) -> HeadAnswer:
        """The head as read by a request that started after this call."""
        needed = self._started + 1
        async with self._lock:
            if self._done.count < needed:
                await self._timers.sleep(self._next_at - self._timers.now())
                self._next_at = self._timers.now() + _APART
                self._started += 1
                self._last = await self._ask()
                self._done.notify()
            return self._last

    async def _ask(self) -> HeadAnswer:
        bounds = await self._log.bounds(CONFIGURATION_STREAM)
        if isinstance(bounds, Unavailable):
            self._state.note(bounds.reason)
            return HeadAnswer(-1, bounds.reason)
        self._state.note("")
        return HeadAnswer(bounds.head, "")


@frozen
class RecoveryState:
    """How far recovery is."""

    #: Whether it is over.
    is_done: bool
    #: What it waits for, or how it ended.
    reason: str


class Recovery:
    """Finds the floor of the holder after a start."""

    def __init__(
        self,
        *,
        holder: Holder,
        members: Membership,
        census: Census,
        heads: HeadReader,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
    ) -> None:
        self._holder = holder
        self._members = members
        self._census = census
        self._heads = heads
        self._port = port
        self._timers = timers
        self._seed = seed
        self._state = RecoveryState(is_done=False, reason="starting")
        self._joined = anyio.Event()
        port.on_stream(HeadRequest, Purpose.SPREAD, self._serve_head)

    @property
    def state(self) -> RecoveryState:
        """How far recovery is."""
        if self._state.is_done or self._holder.floor is None:
            return self._state
        return RecoveryState(
            is_done=False,
            reason=f"holds records up to {self._holder.position}, confirmed up to"
            f" {self._holder.confirmed}, and needs them up to {self._holder.floor}",
        )

    @property
    def joined(self) -> anyio.Event:
        """Set once the others have been met, or the time for it is over."""
        return self._joined

    async def run(self) -> None:
        """Recover; returns when a configuration is in force."""
        await self._members.join(within=_JOIN_WITHIN)
        await self._settle()
        self._joined.set()
        while self._holder.floor is None:
            floor = await self._find_floor()
            if floor is not None:
                self._holder.set_floor(floor)
            else:
                await self._timers.sleep(_RETRY * self._seed.uniform(0.5, 1.5))
        while self._holder.in_force is None:
            seen = self._holder.changed.count
            if self._holder.in_force is None:
                await self._holder.changed.wait_beyond(seen)
        self._state = RecoveryState(is_done=True, reason=f"floor {self._holder.floor}")

    async def _settle(self) -> None:
        """Wait until the view of the mesh has stopped to grow.

        When all daemons start at once the first ones see few others; acting on such a view, each
        would take itself for a feeder and read the log.
        """
        table = self._members.table
        with self._timers.timeout(_SETTLE_WITHIN):
            seen = 1
            while table.present_count > seen:
                seen = table.present_count
                await self._timers.sleep(_QUIET_FOR * self._seed.uniform(0.8, 1.2))

    async def _find_floor(self) -> int | None:
        head = await self._ask_head()
        if head.head >= 0:
            return head.head
        return await self._ask_members(head.reason)

    async def _ask_head(self) -> HeadAnswer:
        table = self._members.table
        if is_feeder(table.own, table.present()):
            return await self._heads.read()
        answer = HeadAnswer(-1, "no feeder answered")
        for feeder in feeders_of(table.own.domain, table.present()):
            with self._timers.timeout(_HEAD_WITHIN):
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

    async def _ask_members(self, log_reason: str) -> int | None:
        """The floor by what other daemons hold, `None` when too few of them can tell.

        A version that ran here was held by `WITNESSES` others.  One of them is among those that
        answer when fewer than `WITNESSES` of all known daemons are silent or know nothing.
        """
        table = self._members.table
        others = [m for m in (*table.present(), *table.lost()) if m.host != table.own.host]
        answers = await self._census.ask(others, within=_CENSUS_WITHIN)
        told = [answer for answer in answers.values() if answer.recovered]
        silent = len(others) - len(told)
        if told and silent < min(WITNESSES, len(others)):
            return max(answer.position for answer in told)
        self._state = RecoveryState(
            is_done=False,
            reason=f"the log is out ({log_reason}) and {silent} of {len(others)} other daemons"
            " cannot tell which version this host has run; not serving so as not to go back",
        )
        return None
