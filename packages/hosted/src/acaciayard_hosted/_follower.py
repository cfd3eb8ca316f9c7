"""Follows the configuration in the platform's store."""

from __future__ import annotations

import random
from typing import Final

import structlog
from attrs import frozen

from acaciayard_logservice import Expired, KeyedLog, KeyedSlice, Unavailable
from acaciayard_timers import TimerService

from ._feeding import Feeding
from ._versions import AcceptedVersions

__all__ = ["StoreFollower", "StoreKey"]

#: Seconds that one read waits for news.  Each read costs its price; but a read that a silent store
#: or a cut has swallowed is noticed only a second after its wait is over, and versions that come
#: after the outage are to be in force three seconds after its end.
_WAIT: Final = 1.5
#: The same after a read that failed, until so many in a row were answered.
_CAREFUL_WAIT: Final = 0.8
_TRUSTED_AFTER: Final = 5
#: Seconds between the arrival of a version and the next read: versions that come in quick
#: succession are read together, a quarter of the two seconds in which one must be in force.
_BATCH: Final = 0.4
#: Seconds before the first and the last of further tries while the store does not answer.
_RETRY: Final = (0.1, 0.8)


@frozen
class StoreKey:
    """Where a record stands in the store."""

    #: The keyed stream.
    stream: str
    #: The key.
    key: str


class StoreFollower:
    """Reads the newest configuration once where nobody else has it, then waits for newer ones.

    Only a feeder waits at the store; the others get new versions from daemon to daemon.  The loss
    of the store is logged once, and so is its return.
    """

    def __init__(
        self,
        *,
        store: KeyedLog,
        place: StoreKey,
        versions: AcceptedVersions,
        feeding: Feeding,
        timers: TimerService,
        seed: random.Random,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._store = store
        self._place = place
        self._versions = versions
        self._feeding = feeding
        self._timers = timers
        self._seed = seed
        self._log = log
        self._failures = 0
        self._lost_at = 0.0
        self._answers = _TRUSTED_AFTER

    @property
    def is_lost(self) -> bool:
        """Whether the store did not answer when it was asked last."""
        return self._failures > 0

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            if self._versions.newest is not None:
                await self._feeding.wait_until_feeder()
            start = self._known_offset()
            if start is None:
                start = await self._read_newest()
            if start is not None:
                await self._follow(start)

    def _known_offset(self) -> int | None:
        """From where to read on, where the version in force came with it."""
        newest = self._versions.newest
        return newest.offset if newest is not None and newest.offset >= 0 else None

    async def _read_newest(self) -> int | None:
        """Take the newest configuration; from where to read on, or `None` without an answer."""
        match await self._store.newest(self._place.stream):
            case KeyedSlice() as found:
                self._heard()
                self._take(found)
                return found.next_offset
            case Unavailable(reason):
                await self._missed(reason)
        return None

    async def _follow(self, start: int) -> None:
        """Read on from `start` until the history there is gone or another daemon feeds."""
        while self._feeding.is_feeder or self._versions.newest is None:
            wait = _WAIT if self._answers >= _TRUSTED_AFTER else _CAREFUL_WAIT
            match await self._store.changes(self._place.stream, start=start, wait=wait):
                case KeyedSlice() as found:
                    self._heard()
                    start = found.next_offset
                    if self._take(found):
                        await self._timers.sleep(_BATCH)
                case Expired():
                    self._log.info("store_history_dropped", stream=self._place.stream, at=start)
                    await self._read_newest()
                    return
                case Unavailable(reason):
                    await self._missed(reason)

    def _take(self, found: KeyedSlice) -> bool:
        if found.unreadable:
            self._log.warning("store_records_unreadable", count=found.unreadable)
        values = [record.value for record in found.records if record.key == self._place.key]
        if not values:
            return False
        return self._versions.offer(values[-1], source="store", offset=found.next_offset)

    def _heard(self) -> None:
        if self._failures:
            seconds = round(self._timers.now() - self._lost_at, 3)
            self._log.info("store_regained", after_s=seconds, failed_reads=self._failures)
            self._feeding.note_store(is_served=True)
        self._failures = 0
        self._answers += 1

    async def _missed(self, reason: str) -> None:
        if not self._failures:
            self._lost_at = self._timers.now()
            self._log.warning("store_lost", reason=reason, version=self._versions.version)
            self._feeding.note_store(is_served=False)
        self._answers = 0
        first, last = _RETRY
        pause = min(last, first * 2 ** min(self._failures, 10))
        self._failures += 1
        await self._timers.sleep(pause * self._seed.uniform(0.5, 1.5))
