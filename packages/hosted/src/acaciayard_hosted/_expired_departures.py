"""Drops departures that have expired from the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import structlog

from acaciayard_admission import DEPARTURE_RETENTION_SECONDS
from acaciayard_logservice import Appended, KeyedLog, Unavailable
from acaciayard_timers import TimerService

from ._departure_messages import DEPARTURE_STREAM

__all__ = ["ExpiredDepartures"]

#: Seconds between two looks at the departures.
_INTERVAL: Final = DEPARTURE_RETENTION_SECONDS / 2
#: Records that are dropped after one look, which bounds the calls to the store.
_MAX_DROPPED: Final = 200


class ExpiredDepartures:
    """Has the lead daemon drop records of departures that nobody has written again for long.

    The daemon of a host that is gone cannot do so itself.  A record has expired when this daemon
    has seen it unchanged for the retention time: no clock of another host is relied on.
    """

    def __init__(
        self,
        *,
        store: KeyedLog,
        timers: TimerService,
        log: structlog.typing.FilteringBoundLogger,
        leads: Callable[[], bool],
    ) -> None:
        self._store = store
        self._timers = timers
        self._log = log
        self._leads = leads
        #: When each record was first seen, by position.
        self._first_seen: dict[int, float] = {}

    async def run(self) -> None:
        """Look from time to time; never returns."""
        async for _ in self._timers.ticks(_INTERVAL):
            if self._leads():
                await self._drop_expired()
            else:
                self._first_seen.clear()

    async def _drop_expired(self) -> None:
        found = await self._store.newest(DEPARTURE_STREAM)
        if isinstance(found, Unavailable):
            self._log.warning("departures_not_read", reason=found.reason)
            return
        now = self._timers.now()
        self._first_seen = {r.offset: self._first_seen.get(r.offset, now) for r in found.records}
        oldest = now - DEPARTURE_RETENTION_SECONDS
        expired = [r for r in found.records if self._first_seen[r.offset] <= oldest]
        position = found.next_offset
        dropped = 0
        for record in expired[:_MAX_DROPPED]:
            # Without the condition, a delayed write could drop a departure that was written since.
            result = await self._store.put(DEPARTURE_STREAM, record.key, b"", at=position)
            if not isinstance(result, Appended):
                self._log.info("departures_not_dropped", reason=result.reason)
                break
            position = result.offset + 1
            dropped += 1
        if dropped:
            self._log.info("departures_dropped", count=dropped, records=len(found.records))
