"""Service levels: how many calls were answered well, and how fast the error budget burns."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any, Final

from attrs import define, field, frozen
from hdrh.histogram import HdrHistogram

from acaciayard_resources import Service
from acaciayard_timers import TimerService

__all__ = ["WINDOWS", "LevelReport", "ServiceLevels"]

#: Windows over which burn rates are told, in minutes.
WINDOWS: Final = (5, 60, 360)
_SECONDS_PER_MINUTE: Final = 60
#: Range of recorded times, in microseconds, and digits kept.
_LEAST_US: Final = 1
_MOST_US: Final = 3_600_000_000
_DIGITS: Final = 2
#: Times that may wait to be recorded.
_PENDING: Final = 1000


@define
class _Minute:
    number: int
    good: int = 0
    bad: int = 0


def _histogram() -> Any:
    return HdrHistogram(_LEAST_US, _MOST_US, _DIGITS)


@define
class _Level:
    minutes: deque[_Minute] = field(factory=lambda: deque(maxlen=WINDOWS[-1]))
    histogram: Any = field(factory=_histogram)
    good: int = 0
    bad: int = 0
    pending: list[float] = field(factory=list)

    def settle(self) -> None:
        """Record the times that are pending; doing many at once keeps this off the calls."""
        for seconds in self.pending:
            self.histogram.record_value(max(_LEAST_US, int(seconds * 1_000_000)))
        self.pending.clear()


@frozen
class LevelReport:
    """The level of one service, at one daemon or merged over several."""

    #: Name of the service.
    service: str
    #: Share of calls to be answered well, in percent.
    objective_percent: float
    #: Calls answered well since the daemon started.
    good: int
    #: Other calls since the daemon started.
    bad: int
    #: Calls answered well and not, by window in minutes.
    windows: Mapping[int, tuple[int, int]]
    #: Times of calls in microseconds, as an encoded histogram.
    histogram: str


class ServiceLevels:
    """Counts calls by service as their callers saw them."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._levels: dict[str, _Level] = {}

    def record(self, service: Service, *, seconds: float, is_answered: bool) -> None:
        """Count a call that took `seconds`; well answered only if within the objective."""
        level = self._levels.get(service.name)
        if level is None:
            level = self._levels[service.name] = _Level()
        level.pending.append(seconds)
        if len(level.pending) >= _PENDING:
            level.settle()
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
        """The level of every service that had calls."""
        now = int(self._timers.wall() // _SECONDS_PER_MINUTE)
        reports = []
        for name, level in sorted(self._levels.items()):
            level.settle()
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
