"""Follows the configuration in the platform's store by long polling."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

import anyio
import structlog
from attrs import frozen

from acaciayard_logservice import (
    Expired,
    KeyedLog,
    KeyedRecord,
    KeyedSlice,
    Unavailable,
    era_of,
    offset_of,
)
from acaciayard_timers import TimerService

from ._age import ConfigurationAge
from ._feeding import Feeding
from ._versions import AcceptedVersions

__all__ = ["StoreFollower", "StoreKey"]

#: Seconds that one long poll of the lead daemon waits for new records. Each read has its cost; but
#: a read that an unresponsive store or a network partition has swallowed is noticed only a second
#: after its wait has ended, and versions written after the outage must be in force three seconds
#: after its end.
_LEAD_WAIT: Final = 1.5
#: The same for the readers of the other failure domains, to which the lead daemon forwards what it
#: reads. Six readers that poll every 1.5 s make an estimated 240 calls a minute; this wait takes
#: under 90 (`test_version_mesh`).
_STANDBY_WAIT: Final = 8.0
#: The same after a failed read, until this many reads in a row were answered.
_WAIT_AFTER_FAILURE: Final = 0.8
_ANSWERS_TO_TRUST: Final = 5
#: Seconds between a new version and the next read: versions that follow in quick succession are
#: read together. It is about a quarter of the two seconds in which a version must be in force.
_LEAD_BATCH_DELAY: Final = 0.4
#: The same for the readers of the other domains: the lead daemon pushes versions to them in the
#: meantime, and if a push is lost, the next read still comes within half of the two seconds.
_STANDBY_BATCH_DELAY: Final = 1.0
#: Seconds between a read of the newest records, made in place of a poll, and the next read: limits
#: the calls to a store that drops its history repeatedly.
_REREAD_DELAY: Final = 0.1
#: First and longest delay, in seconds, between retries while the store does not answer.
_RETRY_DELAYS: Final = (0.1, 0.8)
#: Longest delay, in seconds, if the store serves another reader of the own domain, so that nobody
#: depends on this one.
_RELIEVED_RETRY_DELAY: Final = 2.5


@frozen
class StoreKey:
    """The location of a record in the store."""

    #: The keyed stream.
    stream: str
    #: The key.
    key: str


class StoreFollower:
    """Reads the newest configuration if no other daemon supplied it, then polls for newer ones.

    Only a feeder polls the store; the others get new versions from other daemons. The loss of the
    store is logged once, and so is its return.

    Positions are compared within one era of the store only. After the store was restored from an
    older copy, each reader reads the newest records again, including rollout orders, and continues
    from there; the version in force stays, since it is newer than the copy.
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
        age: ConfigurationAge,
        on_record: Callable[[KeyedRecord], None] = lambda _record: None,
        newest_order: Callable[[], int] = lambda: 0,
    ) -> None:
        self._store = store
        self._place = place
        self._versions = versions
        self._feeding = feeding
        self._timers = timers
        self._random = seed
        self._log = log
        self._age = age
        self._reads: Counter[tuple[str, str]] = Counter()
        self._failures = 0
        self._unavailable_since = 0.0
        self._answers_in_a_row = _ANSWERS_TO_TRUST
        self._own_next_offset: int | None = None
        self._on_record = on_record
        self._newest_order = newest_order

    @property
    def age(self) -> ConfigurationAge:
        """Age of the configuration of this daemon."""
        return self._age

    @property
    def reads(self) -> Mapping[tuple[str, str], int]:
        """Number of reads so far, by role of this daemon and outcome."""
        return self._reads

    @property
    def is_lost(self) -> bool:
        """Whether the last request to the store went unanswered."""
        return self._failures > 0

    async def run(self) -> None:
        """Follow the store; never returns."""
        while True:
            await self._wait_until_needed()
            if self._next_offset() is None:
                self._note_unused_position()
                await self._read_newest()
            else:
                await self._follow()

    async def _wait_until_needed(self) -> None:
        """Return once this daemon is to read the store.

        If the store has answered that there is no configuration yet, only feeders poll for it; they
        pass it on to the others.
        """
        if self._versions.newest is None and self._own_next_offset is None:
            return
        await self._feeding.wait_until_feeder()

    def _announced_offset(self) -> int | None:
        """The position that was sent with the version in force, `None` if it is of no use.

        Reading on from a position skips the rollout orders before it. So it is used only by a
        daemon that knows them: the daemon that has read them may be gone and have told nobody.
        """
        newest = self._versions.newest
        if newest is None or newest.offset < 0 or newest.newest_order > self._newest_order():
            return None
        return newest.offset

    def _next_offset(self) -> int | None:
        """The position to continue from: the later of the own one and the one sent with a version.

        A position of another era that was sent with a version is ignored in favour of the own one.
        `None` if neither is known; then the newest records are read.
        """
        own, announced = self._own_next_offset, self._announced_offset()
        if own is None or announced is None:
            return announced if own is None else own
        return max(own, announced) if era_of(own) == era_of(announced) else own

    def _note_unused_position(self) -> None:
        newest = self._versions.newest
        if newest is not None and newest.offset >= 0:
            self._log.info(
                "store_position_not_used",
                version=self._versions.version,
                order=offset_of(newest.newest_order),
                known_order=offset_of(self._newest_order()),
            )

    async def _read_newest(self) -> None:
        """Read the newest records and the position to continue from."""
        match await self._store.newest(self._place.stream):
            case KeyedSlice() as found:
                self._on_answer()
                self._own_next_offset = found.next_offset
                self._process(found)
            case Unavailable(reason):
                await self._on_unavailable(reason)

    async def _follow(self) -> None:
        """Poll the store until another daemon is the feeder, or no position is known."""
        while self._feeding.is_feeder:
            start = self._next_offset()
            if start is None:
                return
            match await self._poll(start):
                case None:
                    continue
                case KeyedSlice() as found:
                    self._on_answer()
                    self._own_next_offset = found.next_offset
                    if self._process(found):
                        batch = _LEAD_BATCH_DELAY if self._feeding.is_lead else _STANDBY_BATCH_DELAY
                        await self._timers.sleep(batch)
                case Expired(bounds):
                    self._log.info(
                        "store_history_dropped",
                        stream=self._place.stream,
                        at=offset_of(start),
                        era=era_of(start) or None,
                        era_now=era_of(bounds.first) or None,
                    )
                    await self._read_newest()
                    await self._timers.sleep(_REREAD_DELAY)
                case Unavailable(reason):
                    await self._on_unavailable(reason)

    async def _poll(self, start: int) -> KeyedSlice | Expired | Unavailable | None:
        """Poll once; returns `None` if cancelled because this daemon now leads."""
        wait = _LEAD_WAIT if self._feeding.is_lead else _STANDBY_WAIT
        if self._answers_in_a_row < _ANSWERS_TO_TRUST:
            wait = _WAIT_AFTER_FAILURE
        result: KeyedSlice | Expired | Unavailable | None = None
        async with anyio.create_task_group() as tasks:
            if wait > _LEAD_WAIT:
                tasks.start_soon(self._cancel_when_lead, tasks.cancel_scope)
            result = await self._store.changes(self._place.stream, start=start, wait=wait)
            tasks.cancel_scope.cancel()
        return result

    async def _cancel_when_lead(self, scope: anyio.CancelScope) -> None:
        while not self._feeding.is_lead:
            await self._feeding.changed.wait()
        scope.cancel()

    def _process(self, found: KeyedSlice) -> bool:
        if found.unreadable:
            self._log.warning("store_records_unreadable", count=found.unreadable)
        # Rollout orders first: a daemon with a configuration serves calls, and must know of them.
        for record in found.records:
            if record.key != self._place.key:
                self._on_record(record)
        values = [record.value for record in found.records if record.key == self._place.key]
        if not values:
            return False
        return self._versions.offer(
            values[-1],
            source="store",
            offset=found.next_offset,
            is_first_hand=True,
            newest_order=self._newest_order(),
        )

    @property
    def _role(self) -> str:
        """Role in which this daemon reads the store, for logs and metrics."""
        if self._feeding.is_alone:
            return "alone"
        if self._feeding.is_lead:
            return "lead"
        return "reader" if self._feeding.is_feeder else "other"

    def _on_answer(self) -> None:
        self._reads[self._role, "answered"] += 1
        self._age.note_answer("store")
        if self._failures:
            seconds = round(self._timers.now() - self._unavailable_since, 3)
            self._log.info("store_regained", after_s=seconds, failed_reads=self._failures)
            self._feeding.note_store(is_served=True)
        self._failures = 0
        self._answers_in_a_row += 1

    async def _on_unavailable(self, reason: str) -> None:
        self._reads[self._role, "unanswered"] += 1
        if not self._failures:
            self._unavailable_since = self._timers.now()
            self._log.warning(
                "store_lost",
                reason=reason,
                version=self._versions.version,
                role=self._role,
                age_s=round(self._age.seconds, 3),
            )
            self._feeding.note_store(is_served=False)
        self._answers_in_a_row = 0
        first, last = _RETRY_DELAYS
        if self._feeding.is_relieved:
            last = _RELIEVED_RETRY_DELAY
        pause = min(last, first * 2 ** min(self._failures, 10))
        self._failures += 1
        await self._timers.sleep(pause * self._random.uniform(0.5, 1.5))
