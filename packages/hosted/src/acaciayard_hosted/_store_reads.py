"""Reads a stream of the store so that a connection that went silent delays nothing.

A long poll that has nothing to tell is answered when its wait ends. So a read that gets no answer
by then, and for longer than the store usually takes, is overdue: perhaps its connection has gone
silent, or the store does not answer this host. A second read then goes out beside it on a new
connection, and the first answer counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Final

import anyio
import anyio.abc
import structlog
from attrs import define, field

from acaciayard_logservice import Expired, KeyedLog, KeyedSlice, Unavailable
from acaciayard_timers import Subscription, TimerService

from ._answer_times import AnswerTimes

__all__ = ["ReadAnswer", "StoreReads"]

#: Answer of the store to a read, or why there is none.
ReadAnswer = KeyedSlice | Expired | Unavailable
#: Least seconds for the second read, and the same as a multiple of the time after which an answer
#: is overdue. The store counts as lost after that.
_MIN_SECOND_TIMEOUT: Final = 0.5
_SECOND_TIMEOUT_FACTOR: Final = 3.0


@define(eq=False)
class _Race:
    """A read and the second one beside it."""

    #: Whether the second read was started.
    is_doubted: bool = False
    #: Set when the second read has ended.
    second_ended: anyio.Event = field(factory=anyio.Event)
    #: The answer of the second read.
    second: ReadAnswer | None = None


class StoreReads:
    """Reads the changes of one stream, with a second read beside one that is overdue.

    Example:
        match await reads.poll(start=position, wait=1.2):
            case KeyedSlice(records): ...
    """

    def __init__(
        self,
        store: KeyedLog,
        stream: str,
        *,
        timers: TimerService,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._store = store
        self._stream = stream
        self._timers = timers
        self._log = log
        self._times = AnswerTimes()
        self._overdue_reads = 0
        self._outcomes: Counter[tuple[str, str]] = Counter()

    @property
    def times(self) -> AnswerTimes:
        """Usual answer times of the store."""
        return self._times

    @property
    def overdue(self) -> int:
        """Number of reads that were overdue."""
        return self._overdue_reads

    @property
    def outcomes(self) -> Mapping[tuple[str, str], int]:
        """Number of reads by kind (`poll`, `second`, `look`) and outcome."""
        return self._outcomes

    async def look(self, start: int) -> ReadAnswer:
        """Read what there is now, on a new connection."""
        return await self._timed("look", start, wait=0.0, is_fresh=True)

    async def poll(
        self,
        start: int,
        *,
        wait: float,
        is_fresh: bool = False,
        on_arriving: Callable[[float], None] = lambda _within: None,
    ) -> ReadAnswer:
        """Wait up to `wait` seconds for changes from `start` on.

        `on_arriving` is called while a late answer is arriving, with the seconds within which it
        is called again or the read ends. With `is_fresh` no kept connection is used. A read that
        fails at once on a kept connection, which may have been closed, is repeated on a new one.
        """
        race = _Race()
        answer: ReadAnswer = Unavailable("broken off")
        async with anyio.create_task_group() as tasks:
            with anyio.CancelScope() as first:

                def doubt() -> None:
                    self._note_overdue(start, wait)
                    race.is_doubted = True
                    tasks.start_soon(self._read_beside, race, start, first)

                overdue_after = self._times.overdue_after
                with self._calling_when_overdue(wait, overdue_after, doubt, on_arriving):
                    answer = await self._timed("poll", start, wait=wait, is_fresh=is_fresh)
            if isinstance(answer, Unavailable):
                if not (race.is_doubted or is_fresh or answer.is_refusal):
                    race.is_doubted = True
                    tasks.start_soon(self._read_beside, race, start, None)
                if race.is_doubted:
                    await race.second_ended.wait()
                    answer = race.second or answer
            tasks.cancel_scope.cancel()
        return answer

    def _note_overdue(self, start: int, wait: float) -> None:
        self._overdue_reads += 1
        self._log.info(
            "store_read_overdue",
            waited_s=round(wait + self._times.overdue_after, 3),
            usual_ms=round(self._times.mean * 1000, 1),
            position=start,
        )

    async def _read_beside(self, race: _Race, start: int, first: anyio.CancelScope | None) -> None:
        """Read on a new connection; an answer ends the first read."""
        timeout = max(_MIN_SECOND_TIMEOUT, _SECOND_TIMEOUT_FACTOR * self._times.overdue_after)
        try:
            with (
                anyio.CancelScope() as scope,
                self._calling_when_overdue(0.0, timeout, scope.cancel),
            ):
                race.second = await self._timed("second", start, wait=0.0, is_fresh=True)
            if race.second is None:
                race.second = Unavailable(f"no answer in {timeout:g} s on a new connection")
        finally:
            race.second_ended.set()
            if first is not None:
                first.cancel()

    @contextmanager
    def _calling_when_overdue(
        self,
        wait: float,
        overdue_after: float,
        callback: Callable[[], None],
        on_arriving: Callable[[float], None] = lambda _within: None,
    ) -> Iterator[None]:
        """Call back once an answer is overdue: `overdue_after` seconds later than `wait`.

        Neither pauses of this process count, nor time in which a part of an answer arrives.
        """
        subscription: Subscription

        def begin() -> None:
            nonlocal subscription
            reply = self._timers.reply_wait(overdue_after)

            def check() -> None:
                nonlocal subscription
                if not reply.has_expired():
                    subscription = self._timers.call_at(reply.due, check)
                elif self._timers.now() - self._store.received_at < overdue_after:
                    on_arriving(overdue_after)
                    begin()
                else:
                    callback()

            subscription = self._timers.call_at(reply.due, check)

        subscription = self._timers.call_at(self._timers.now() + wait, begin)
        try:
            yield
        finally:
            subscription.cancel()

    async def _timed(self, kind: str, start: int, *, wait: float, is_fresh: bool) -> ReadAnswer:
        began = self._timers.now()
        answer = await self._store.changes(self._stream, start=start, wait=wait, is_fresh=is_fresh)
        took = self._timers.now() - began
        if isinstance(answer, Unavailable):
            self._outcomes[kind, "unanswered"] += 1
        else:
            self._outcomes[kind, "answered"] += 1
            is_empty = isinstance(answer, KeyedSlice) and not answer.records
            if is_empty and took >= wait:  # long records take their time on a thin link
                self._times.note(took - wait)
        return answer
