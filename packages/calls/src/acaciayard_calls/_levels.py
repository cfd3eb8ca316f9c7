"""Service levels: the share of good calls, and the burn rate of the error budget."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any, Final

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from acaciayard_resources import Service
from acaciayard_timers import TimerService

__all__ = ["WINDOWS", "LevelReport", "ServiceLevels"]

#: Windows for which burn rates are reported, in minutes.
WINDOWS: Final = (5, 60, 360)
_SECONDS_PER_MINUTE: Final = 60
#: Range of recorded durations in microseconds, and significant digits of the histogram.
_MIN_US: Final = 1
_MAX_US: Final = 3_600_000_000
_DIGITS: Final = 2
#: Maximum number of durations that are buffered before they are recorded.
_MAX_PENDING: Final = 1000


@define
class _Minute:
    number: int
    good: int = 0
    bad: int = 0


def _histogram() -> Any:
    return HdrHistogram(_MIN_US, _MAX_US, _DIGITS)


@define
class _Level:
    minutes: deque[_Minute] = field(factory=lambda: deque(maxlen=WINDOWS[-1]))
    histogram: Any = field(factory=_histogram)
    good: int = 0
    bad: int = 0
    pending: list[float] = field(factory=list)

    def flush(self) -> None:
        """Record the pending durations in one batch, which adds little latency to single calls."""
        for seconds in self.pending:
            self.histogram.record_value(max(_MIN_US, int(seconds * 1_000_000)))
        self.pending.clear()


@frozen
class LevelReport:
    """The service level of one service, at one daemon or merged over several."""

    #: Name of the service.
    service: str
    #: Objective for the share of good calls, in percent.
    objective_percent: float
    #: Number of good calls since the daemon started: answered within the objective.
    good: int
    #: Number of other calls since the daemon started.
    bad: int
    #: Numbers of good and of other calls by window in minutes.
    windows: Mapping[int, tuple[int, int]]
    #: Durations of calls in microseconds, as an encoded HDR histogram.
    histogram: str


class ServiceLevels:
    """Counts good and other calls by service, as seen by their callers."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._levels: dict[str, _Level] = {}

    def record(self, service: Service, *, seconds: float, is_answered: bool) -> None:
        """Count a call; it is good if it was answered within the latency objective."""
        level = self._levels.get(service.name)
        if level is None:
            level = self._levels[service.name] = _Level()
        level.pending.append(seconds)
        if len(level.pending) >= _MAX_PENDING:
            level.flush()
        minute = self._minute(level)
        if is_answered and seconds * 1000 <= service.objective_ms:
            level.good += 1
            minute.good += 1
        else:
            level.bad += 1
            minute.bad += 1

    def _minute(self, level: _Level) -> _Minute:
        number = int(self._timers.wall() // _SECONDS_PER_MINUTE)
        if not level.minutes or level.minutes[-1].number != number:
            level.minutes.append(_Minute(number))
        return level.minutes[-1]

    def report(self, services: Mapping[str, Service]) -> list[LevelReport]:
        """The service levels of all services that had calls."""
        now = int(self._timers.wall() // _SECONDS_PER_MINUTE)
        reports = []
        for name, level in sorted(self._levels.items()):
            level.flush()
            service = services.get(name) or Service(name=name)
            windows = {}
            for window in WINDOWS:
                recent = [m for m in level.minutes if m.number > now - window]
                windows[window] = (sum(m.good for m in recent), sum(m.bad for m in recent))
            reports.append(
                LevelReport(
                    service=name,
                    objective_percent=service.objective_percent,
                    good=level.good,
                    bad=level.bad,
                    windows=windows,
                    histogram=level.histogram.encode().decode(),
                )
            )
        return reports
