"""Distinguishes the starts of a target, and remembers which starts have left.

A target may restart under the same name.  It then has none of its earlier state, so a target is
identified by its name **and** its start time.  Starts of one name are ordered by their start times,
as given by the clock of their host:

    records = StartRecords(wall=time.time, now=timers.now)
    records.leave(Start("novero-1", 1000))
    records.has_left(Start("novero-1", 1000))       # True: this start never takes calls again
    records.has_left(Start("novero-1", 900))        # True: a late announcement of an earlier start
    records.has_left(Start("novero-1", 2000))       # False: the target has restarted

Clocks may step.  After a step back, a new start may have an earlier start time than its
predecessor.  It is ignored while the predecessor announces itself, and for
`LATE_ANNOUNCEMENT_SECONDS` after that has left; then it counts as a new start.  A clock step thus
keeps a target out of service for a limited time, and a late announcement of an earlier start never
reopens a target that has left.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from attrs import frozen

__all__ = ["LATE_ANNOUNCEMENT_SECONDS", "Start", "StartRecords"]

#: Time for which announcements of a start that has ended may still arrive.  They are delayed over
#: interrupted links; the longest known interruptions last about 13 s.
LATE_ANNOUNCEMENT_SECONDS: Final = 30.0
#: Maximum number of target names that are remembered; a host has one or two targets at a time.
_MAX_REMEMBERED_NAMES: Final = 256


@frozen(order=True)
class Start:
    """One start of a target."""

    #: Name of the target, unique on its host.
    name: str
    #: Start time in Unix milliseconds by the clock of its host; 0 if unknown.
    born: int = 0


@frozen
class _Departure:
    """The newest start of a target name that has left."""

    #: Start time in Unix milliseconds; an upper bound if the report did not identify the start.
    born: int
    #: When it was reported, by the timer service.
    reported_at: float
    #: Whether the report identified the start.
    is_exact: bool


class StartRecords:
    """Records which starts of targets have left."""

    def __init__(self, *, wall: Callable[[], float], now: Callable[[], float]) -> None:
        self._wall = wall
        self._now = now
        self._departures: dict[str, _Departure] = {}
        self._reports_start_times = False

    @property
    def reports_start_times(self) -> bool:
        """Whether targets on this host report their start times; from then on each must."""
        return self._reports_start_times

    def note(self, start: Start) -> None:
        """Record the start that an announcement of a configured service identifies."""
        self._reports_start_times = self._reports_start_times or start.born > 0

    def leave(self, start: Start) -> None:
        """Record that a start is leaving or has left.

        Without a start time this applies to every start up to now.  Later starts are recognized by
        the clock of this host, which the targets use too.
        """
        born = start.born or round(self._wall() * 1000)
        previous = self._departures.pop(start.name, None)
        if previous is not None and start.born and previous.born > born:
            born = previous.born
        self._departures[start.name] = _Departure(born, self._now(), is_exact=start.born > 0)
        if len(self._departures) > _MAX_REMEMBERED_NAMES:
            del self._departures[next(iter(self._departures))]

    def has_left(self, start: Start) -> bool:
        """Return whether this start, or a later one, has left."""
        departure = self._departures.get(start.name)
        if departure is None or start.born > departure.born:
            return False
        is_earlier_start = departure.is_exact and 0 < start.born < departure.born
        return not (
            is_earlier_start and self._now() - departure.reported_at > LATE_ANNOUNCEMENT_SECONDS
        )
