"""Follows the configuration in the platform's store by long polling."""

from __future__ import annotations

import random
from collections.abc import Callable
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
from ._store_reads import ReadAnswer, StoreReads
from ._versions import AcceptedVersions

__all__ = ["StoreFollower", "StoreKey"]

#: Reads of the lead in a minute of calm with no other reader. Each read has its cost, but a version
#: that is written while the lead's connection is silent waits for the next one.
_LEAD_READS_PER_MINUTE: Final = 40.0
#: Seconds that one long poll of a reader of another failure domain waits for new records. Nobody
#: relies on its end: the lead and those who watch it read again long before.
_STANDBY_WAIT: Final = 28.0
#: Further reads of the lead in a minute for each other reader. The mesh makes no more reads than if
#: these polled each 8 s.
_READS_PER_STANDBY: Final = 5.0
#: Seconds that one long poll of the lead waits for a while after a version or a failed read, and
#: for how long after a version. Changes come in series.
_ACTIVE_WAIT: Final = 0.7
_ACTIVE_SECONDS: Final = 5.0
#: Seconds that a poll may go on after another daemon has sent what it should have returned: a whole
#: document takes that long on a thin link.
_PASSED_PATIENCE: Final = 3.0
#: Shortest wait of the lead, in seconds, where the store is slow to answer.
_MIN_LEAD_WAIT: Final = 0.3
#: Reads in a row that must be answered after a failed one until the waits are as usual.
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
        self._reads = StoreReads(store, place.stream, timers=timers, log=log)
        self._failures = 0
        self._unavailable_since = 0.0
        self._answers_in_a_row = _ANSWERS_TO_TRUST
        self._own_next_offset: int | None = None
        #: Whether the next poll uses a new connection.
        self._distrusts_kept = False
        #: Seconds that the next poll waits as others were told, `None` if they were not.
        self._told_wait: float | None = None
        self._on_record = on_record
        self._newest_order = newest_order
        self._on_answer: list[Callable[[], None]] = []
        self._on_confirmed: list[Callable[[float], None]] = []

    @property
    def age(self) -> ConfigurationAge:
        """Age of the configuration of this daemon."""
        return self._age

    @property
    def reads(self) -> StoreReads:
        """The reads of this daemon."""
        return self._reads

    @property
    def received_at(self) -> float:
        """When a part of an answer of the store arrived last, `-inf` if it is unknown."""
        return self._store.received_at

    @property
    def is_lost(self) -> bool:
        """Whether the last request to the store went unanswered."""
        return self._failures > 0

    def on_answer(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each answer of the store to this daemon."""
        self._on_answer.append(listener)

    def on_confirmed(self, listener: Callable[[float], None]) -> None:
        """Call `listener` after each answer to a daemon that others rely on.

        It is called with the seconds within which the next answer is due.
        """
        self._on_confirmed.append(listener)

    async def run(self) -> None:
        """Follow the store; never returns."""
        while True:
            await self._wait_until_needed()
            if self._next_offset() is None:
                self._note_unused_position()
                if not await self._read_newest():
                    await self._pause_after_failure()
            else:
                await self._follow()

    async def look(self) -> bool:
        """Read what the store has now, on a new connection; returns whether it has answered."""
        start = self._next_offset()
        if start is None:
            return await self._read_newest()
        match await self._reads.look(start):
            case KeyedSlice() as found:
                self._take(found)
                return True
            case Expired():
                return await self._read_newest()
        return False

    async def _wait_until_needed(self) -> None:
        """Return once this daemon is to read the store.

        If the store has answered that there is no configuration yet, only feeders poll for it; they
        pass it on to the others.
        """
        if self._versions.newest is None and self._own_next_offset is None:
            return
        await self._feeding.wait_until_feeder()

    # --- positions ----------------------------------------------------------------------------

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

    # --- reading ------------------------------------------------------------------------------

    async def _read_newest(self) -> bool:
        """Read the newest records and the position to continue from; returns whether it worked."""
        match await self._store.newest(self._place.stream):
            case KeyedSlice() as found:
                self._take(found, is_whole=True)
                return True
            case Unavailable(reason):
                self._note_unavailable(reason)
        return False

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
                    delay = self._batch_delay() if self._take(found) else 0.0
                    self._confirm(delay)
                    await self._timers.sleep(delay)
                case Expired(bounds):
                    self._log.info(
                        "store_history_dropped",
                        stream=self._place.stream,
                        at=offset_of(start),
                        era=era_of(start) or None,
                        era_now=era_of(bounds.first) or None,
                    )
                    if await self._read_newest():
                        self._confirm(_REREAD_DELAY)
                        await self._timers.sleep(_REREAD_DELAY)
                    else:
                        await self._pause_after_failure()
                case Unavailable(reason):
                    self._note_unavailable(reason)
                    await self._pause_after_failure()

    def _batch_delay(self) -> float:
        return _LEAD_BATCH_DELAY if self._feeding.polls_often else _STANDBY_BATCH_DELAY

    def _confirm(self, delay: float) -> None:
        """Tell that the store has answered, and when it will again if nothing is wrong."""
        if self._feeding.polls_often:
            self._told_wait = self._next_wait()
            self._tell_within(delay + self._told_wait + self._reads.times.overdue_after)

    def _tell_within(self, seconds: float) -> None:
        if self._feeding.polls_often:
            for listener in self._on_confirmed:
                listener(seconds)

    def _next_wait(self) -> float:
        """Seconds that the next poll waits."""
        if self._answers_in_a_row < _ANSWERS_TO_TRUST:
            return _ACTIVE_WAIT
        if not self._feeding.polls_often:
            return _STANDBY_WAIT
        newest = self._versions.newest
        since = self._timers.now() - newest.since if newest is not None else _ACTIVE_SECONDS
        if since < _ACTIVE_SECONDS or not self._feeding.is_lead:
            wait = _ACTIVE_WAIT - max(0.0, _LEAD_BATCH_DELAY - since)
        else:
            standbys = self._feeding.reader_count - 1
            wait = 60.0 / (_LEAD_READS_PER_MINUTE + _READS_PER_STANDBY * standbys)
        return max(_MIN_LEAD_WAIT, wait - self._reads.times.slowness)

    async def _poll(self, start: int) -> ReadAnswer | None:
        """Poll once; returns `None` if the poll was broken off."""
        wait = self._told_wait if self._told_wait is not None else self._next_wait()
        is_fresh = self._distrusts_kept
        self._told_wait, self._distrusts_kept = None, False
        result: ReadAnswer | None = None
        async with anyio.create_task_group() as tasks:
            if not self._feeding.polls_often:
                tasks.start_soon(self._cancel_when_relied_on, tasks.cancel_scope)
            tasks.start_soon(self._cancel_when_passed, start, tasks.cancel_scope)
            result = await self._reads.poll(
                start, wait=wait, is_fresh=is_fresh, on_arriving=self._tell_within
            )
            tasks.cancel_scope.cancel()
        return result

    async def _cancel_when_relied_on(self, scope: anyio.CancelScope) -> None:
        """Break off a long poll once others rely on the reads of this daemon."""
        while not self._feeding.polls_often:
            await self._feeding.changed.wait()
        self._distrusts_kept = True
        scope.cancel()

    async def _cancel_when_passed(self, start: int, scope: anyio.CancelScope) -> None:
        """Break off a poll that should have been answered: another daemon sent what is beyond.

        A long poll that has nothing to tell looks like one whose connection has gone silent.
        """
        seen = self._versions.changed.count
        while (offset := self._announced_offset()) is None or not _is_beyond(offset, start):
            seen = await self._versions.changed.wait_beyond(seen)
        await self._timers.sleep(_PASSED_PATIENCE)
        self._log.info(
            "store_read_overdue", reason="another daemon sent what is beyond", position=start
        )
        self._distrusts_kept = True
        scope.cancel()

    def _take(self, found: KeyedSlice, *, is_whole: bool = False) -> bool:
        """Process the records of an answer; returns whether a version is new."""
        self._note_answer()
        own = self._own_next_offset
        if is_whole or own is None or _is_beyond(found.next_offset, own):
            self._own_next_offset = found.next_offset
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
            earlier=tuple(values[:-1]),
        )

    # --- answers and failures -----------------------------------------------------------------

    def _note_answer(self) -> None:
        self._age.note_answer("store")
        if self._failures:
            seconds = round(self._timers.now() - self._unavailable_since, 3)
            self._log.info("store_regained", after_s=seconds, failed_reads=self._failures)
            self._feeding.note_store(is_served=True)
        self._failures = 0
        self._answers_in_a_row += 1
        for listener in self._on_answer:
            listener()

    def _note_unavailable(self, reason: str) -> None:
        if not self._failures:
            self._unavailable_since = self._timers.now()
            self._log.warning(
                "store_lost",
                reason=reason,
                version=self._versions.version,
                role=self._feeding.role,
                age_s=round(self._age.seconds, 3),
            )
            self._feeding.note_store(is_served=False)
        self._answers_in_a_row = 0
        self._distrusts_kept = True
        self._failures += 1

    async def _pause_after_failure(self) -> None:
        first, last = _RETRY_DELAYS
        if self._feeding.is_relieved:
            last = _RELIEVED_RETRY_DELAY
        pause = min(last, first * 2 ** min(self._failures - 1, 10))
        await self._timers.sleep(pause * self._random.uniform(0.5, 1.5))


def _is_beyond(offset: int, other: int) -> bool:
    """Whether a position comes after another one of the same era."""
    return era_of(offset) == era_of(other) and offset > other
