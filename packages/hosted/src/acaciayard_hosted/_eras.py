"""Guards a daemon's access to the store against changes of the store's era.

A store that is restored from an older copy has lost its latest acknowledged writes, and assigns
their offsets again. `EraGuard` wraps the store's client and enforces three rules in one place:

- An answer of an era before the newest known one is dropped, however late it arrives.
- A read from a position of another era returns `Expired`, so the reader reads the newest records.
- A write conditional on a position of another era is refused, or counts as unconfirmed if the era
  changed while the write was in progress.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog
from attrs import frozen

from acaciayard_logservice import (
    Appended,
    AppendUnknown,
    Bounds,
    Expired,
    KeyedLog,
    KeyedSlice,
    NotAppended,
    Outrun,
    Unavailable,
    era_of,
    position_of,
)

__all__ = ["EraChange", "EraGuard"]


@frozen
class EraChange:
    """The store was restored from another copy."""

    #: The previous era.
    before: int
    #: The new era.
    now: int


class EraGuard(KeyedLog):
    """Wraps a store's client and passes on only answers of the present era.

    A store without eras is always in era 0, and its answers pass unchanged.

    Example:
        store = EraGuard(client, log=log)
        store.on_change(rollouts.note_era)
        await store.changes("stream", start=position, wait=1.5)    # Expired after a change
    """

    def __init__(self, store: KeyedLog, *, log: structlog.typing.FilteringBoundLogger) -> None:
        self._store = store
        self._log = log
        self._era: int | None = None
        self._changes = 0
        self._late_answers = 0
        self._listeners: list[Callable[[EraChange], None]] = []

    @property
    def era(self) -> int:
        """The newest era known, 0 before the first answer."""
        return self._era or 0

    @property
    def era_changes(self) -> int:
        """Number of changes of the era that this daemon has noticed."""
        return self._changes

    @property
    def late_answers(self) -> int:
        """Number of answers of an earlier era that were dropped."""
        return self._late_answers

    def on_change(self, listener: Callable[[EraChange], None]) -> None:
        """Call `listener` with each change of the era after the first answer."""
        self._listeners.append(listener)

    @property
    def received_at(self) -> float:
        return self._store.received_at

    async def put(
        self, stream: str, key: str, value: bytes, *, at: int | None = None
    ) -> Appended | NotAppended | Outrun | AppendUnknown:
        era_at_request = self._era
        if at is not None and era_at_request is not None and era_of(at) != era_at_request:
            return Outrun(
                f"the condition is of era {era_of(at)}, the store is in era {era_at_request}"
            )
        result = await self._store.put(stream, key, value, at=at)
        if not isinstance(result, Appended):
            return result
        if not self._accept_position(result.offset, era_at_request):
            return AppendUnknown("written in an era of the store that is over")
        if at is not None and era_of(result.offset) != era_of(at):
            # The new era has assigned the offset of the condition again, so the condition proves
            # nothing.
            return AppendUnknown("written on a condition of another era of the store")
        return result

    async def newest(self, stream: str) -> KeyedSlice | Unavailable:
        era_at_request = self._era
        result = await self._store.newest(stream)
        if isinstance(result, KeyedSlice) and not self._accept_position(
            result.next_offset, era_at_request
        ):
            return Unavailable("a late answer of an earlier era of the store")
        return result

    async def changes(
        self, stream: str, *, start: int, wait: float, is_fresh: bool = False
    ) -> KeyedSlice | Expired | Unavailable:
        era_at_request = self._era
        if era_at_request is not None and era_of(start) != era_at_request:
            start_of_era = position_of(era=era_at_request, offset=0)
            return Expired(Bounds(first=start_of_era, head=start_of_era))
        result = await self._store.changes(stream, start=start, wait=wait, is_fresh=is_fresh)
        match result:
            case KeyedSlice(next_offset=position) | Expired(Bounds(first=position)):
                if not self._accept_position(position, era_at_request):
                    return Unavailable("a late answer of an earlier era of the store")
                if era_of(position) != era_of(start):
                    return Expired(Bounds(first=position, head=position))
        return result

    def _accept_position(self, position: int, era_at_request: int | None) -> bool:
        """Record the era of an answer; returns false if that era is over.

        An answer with a lower era is not late if the later era was known when it was requested:
        then the store's era count has restarted, and the daemon adopts it.
        """
        era = era_of(position)
        known = self._era
        if known is None:
            self._era = era
            self._log.info("store_heard", era=era)
            return True
        if era == known:
            return True
        if era < known and era_at_request != known:
            self._late_answers += 1
            self._log.info("store_answer_late", era=era, known=known)
            return False
        change = EraChange(known, era)
        self._era = era
        self._changes += 1
        self._log.warning("store_came_back", era_before=change.before, era=change.now)
        for listener in self._listeners:
            listener(change)
        return True
