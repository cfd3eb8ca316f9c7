"""Results of calls to both versions, counted by each daemon and aggregated by the leading one."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from typing import Final

from attrs import define, field, frozen

from ._states import ReportRow, RolloutReport, Side

__all__ = [
    "BUCKETS",
    "Evidence",
    "RouteEvidence",
    "SideCounts",
    "Tally",
    "bucket_of",
    "bucket_start",
    "evidence_of",
]

#: Number of latency buckets. Each is 1.5 times as long as the one before, so that answers of a
#: version that is twice as slow move by two buckets; the last holds everything from 1.5 s on.
BUCKETS: Final = 16
_FIRST_BUCKET_S: Final = 0.005
_GROWTH: Final = math.log(1.5)
#: Most routes that are counted separately; a report on both versions of so many fits a datagram.
_MAX_ROUTES: Final = 6
#: Most failing targets named in a report; these suffice to tell a bad target from a bad version.
_MAX_BAD_HOSTS: Final = 4


def bucket_of(seconds: float) -> int:
    """The bucket of a latency."""
    if seconds <= _FIRST_BUCKET_S:
        return 0
    return min(BUCKETS - 1, 1 + int(math.log(seconds / _FIRST_BUCKET_S) / _GROWTH))


def bucket_start(bucket: int) -> float:
    """The lower bound of a bucket in seconds."""
    return _FIRST_BUCKET_S * math.exp((bucket - 1) * _GROWTH) if bucket else 0.0


@define(eq=False)
class SideCounts:
    """Results of calls of one route to targets of one version."""

    #: Calls that ended at a target.
    answers: int = 0
    #: Calls that failed.
    bad: int = 0
    #: Successful calls by latency bucket.
    times: list[int] = field(factory=lambda: [0] * BUCKETS)
    #: Running calls by the bucket of their age. When a version has become slow, its unanswered
    #: calls are the first evidence of it.
    running: list[int] = field(factory=lambda: [0] * BUCKETS)

    def add(self, row: ReportRow) -> None:
        """Add a row of a daemon's report."""
        self.answers += row.answers
        self.bad += row.bad
        for bucket, count in enumerate(row.times[:BUCKETS]):
            self.times[bucket] += count
        for bucket, count in enumerate(row.running[:BUCKETS]):
            self.running[bucket] += count

    def note(self, seconds: float | None, *, is_bad: bool) -> None:
        """Count a call that has ended; its latency is not counted if `seconds` is `None`."""
        self.answers += 1
        if is_bad:
            self.bad += 1
        elif seconds is not None:
            self.times[bucket_of(seconds)] += 1


class Tally:
    """Results of this daemon's calls during one rollout."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, Side], SideCounts] = {}
        self._bad_hosts: set[int] = set()
        self._running: dict[object, tuple[str, Side, float]] = {}

    def begin(self, run: object, route: str, side: Side, now: float) -> None:
        """Add a running call to one of the versions, identified by `run`."""
        self._running[run] = (self._counted_name(route, side), side, now)

    def end(self, run: object) -> None:
        """Remove a running call."""
        self._running.pop(run, None)

    def _counted_name(self, route: str, side: Side) -> str:
        """The name under which a route is counted."""
        is_known = (route, side) in self._counts or len(self._counts) < 2 * _MAX_ROUTES
        return route if is_known else ""

    def note(
        self, route: str, side: Side, *, host: str, seconds: float | None, is_bad: bool
    ) -> None:
        """Count a call of a route that ended at a target of one of the versions on `host`."""
        key = (self._counted_name(route, side), side)
        self._counts.setdefault(key, SideCounts()).note(seconds, is_bad=is_bad)
        if is_bad and side is Side.NEW and len(self._bad_hosts) < _MAX_BAD_HOSTS:
            self._bad_hosts.add(zlib.crc32(host.encode()))

    @property
    def bad_hosts(self) -> list[int]:
        """Targets of the new version that have failed a call, as short hashes of host names."""
        return sorted(self._bad_hosts)

    def rows(self, now: float) -> tuple[ReportRow, ...]:
        """All counts, including the calls that run at `now`."""
        running: dict[tuple[str, Side], list[int]] = {key: [0] * BUCKETS for key in self._counts}
        for route, side, started in self._running.values():
            ages = running.setdefault((route, side), [0] * BUCKETS)
            ages[bucket_of(now - started)] += 1
        return tuple(
            self._row(route, side, ages) for (route, side), ages in sorted(running.items())
        )

    def _row(self, route: str, side: Side, ages: list[int]) -> ReportRow:
        counts = self._counts.get((route, side)) or SideCounts()
        return ReportRow(route, int(side), counts.answers, counts.bad, list(counts.times), ages)


@frozen
class RouteEvidence:
    """Results of both versions on one route."""

    #: The version that ran before.
    base: SideCounts
    #: The version that the order names.
    new: SideCounts


@frozen
class Evidence:
    """The aggregated reports of all daemons on one rollout."""

    #: By route; the empty name stands for all routes together.
    routes: dict[str, RouteEvidence]
    #: Targets of the new version that have failed a call, as short hashes of their hosts' names.
    bad_hosts: frozenset[int]
    #: Number of targets of the new version.
    new_hosts: int

    @property
    def new_answers(self) -> int:
        """Calls that ended at the new version."""
        return self.routes[""].new.answers

    @property
    def all_answers(self) -> int:
        """Calls that ended at either version."""
        return self.routes[""].new.answers + self.routes[""].base.answers


def evidence_of(reports: Iterable[RolloutReport], *, new_hosts: int) -> Evidence:
    """Aggregate the latest reports of all process lifetimes of the daemons."""
    routes = {"": RouteEvidence(SideCounts(), SideCounts())}
    bad_hosts: set[int] = set()
    for report in reports:
        bad_hosts.update(report.bad_hosts)
        for row in report.rows:
            counts = routes.setdefault(row.route, RouteEvidence(SideCounts(), SideCounts()))
            for found in {id(counts): counts, id(routes[""]): routes[""]}.values():
                (found.new if row.side == Side.NEW else found.base).add(row)
    return Evidence(routes, frozenset(bad_hosts), new_hosts)
