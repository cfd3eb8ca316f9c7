"""What targets have stated in the responses that this daemon forwarded.

A daemon that has forwarded a statement knows of it, whatever becomes of the daemon beside the
target.  It keeps it for as long as it applies, and tells it with each call to that host.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

from attrs import evolve

from acaciayard_callmodel import NO_NOTICE, NoticeRecord, StartNotice, TargetNotice
from acaciayard_membership import TargetInfo, TargetState
from acaciayard_timers import TimerService

__all__ = ["ForwardedNotices"]

#: Maximum number of hosts whose notices are kept; the longest unchanged ones are dropped.
_MAX_HOSTS: Final = 1024
#: Maximum number of targets per host whose notices are kept.
_MAX_TARGETS: Final = 16

_Start = tuple[str, int]


class ForwardedNotices:
    """The notices of targets on all hosts, each kept until it no longer applies.

    Example:
        notices.hear("host-1", response_notices, asked_at=sent_at)
        notices.of("host-1")        # to be told with the next call to that host
    """

    def __init__(self, *, timers: TimerService) -> None:
        self._timers = timers
        self._by_host: dict[str, dict[_Start, NoticeRecord]] = {}

    def hear(self, host: str, notices: Iterable[StartNotice], *, asked_at: float) -> bool:
        """Record the notices of a response; return whether what applies has changed.

        `asked_at` is when the call was sent to the host, by the timer service.
        """
        has_changed = False
        for notice in notices:
            records = self._by_host.setdefault(host, {})
            record = records.setdefault((notice.target, notice.born), NoticeRecord())
            has_changed |= record.hear(notice.notice, asked_at=asked_at, now=self._timers.now())
        if has_changed:
            self._drop_needless(host)
        return has_changed

    def _drop_needless(self, host: str) -> None:
        """Drop notices that no longer apply, and the oldest ones beyond the maximum number."""
        records = self._by_host.pop(host)
        kept = {start: each for start, each in records.items() if each.notice != NO_NOTICE}
        while len(kept) > _MAX_TARGETS:
            del kept[next(iter(kept))]
        if kept:
            self._by_host[host] = kept
        if len(self._by_host) > _MAX_HOSTS:
            del self._by_host[next(iter(self._by_host))]

    def of(self, host: str) -> tuple[StartNotice, ...]:
        """Return the notices that apply to the targets of a host."""
        records = self._by_host.get(host)
        if not records:
            return ()
        return tuple(
            StartNotice(
                target=name,
                born=born,
                max_rate=record.notice.max_rate,
                is_leaving=record.notice.is_leaving,
            )
            for (name, born), record in records.items()
        )

    def notice_of(self, host: str, target: TargetInfo) -> TargetNotice:
        """Return what applies to a target of a host."""
        record = self._by_host.get(host, {}).get((target.name, target.born))
        return record.notice if record is not None else NO_NOTICE

    def as_stated(self, host: str, targets: Sequence[TargetInfo]) -> Sequence[TargetInfo]:
        """Return the targets of a host, with those that state their leaving as draining."""
        if host not in self._by_host:
            return targets
        return [
            (
                evolve(target, state=int(TargetState.DRAINING))
                if self.notice_of(host, target).is_leaving
                else target
            )
            for target in targets
        ]
