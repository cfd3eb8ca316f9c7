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

`recent` returns the departures that have to outlive the process, until nothing was heard of their
targets for `DEPARTURE_RETENTION_SECONDS`, and `restore` adds those of an earlier process.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from attrs import evolve, frozen

from acaciayard_membership import Departure

__all__ = ["DEPARTURE_RETENTION_SECONDS", "LATE_ANNOUNCEMENT_SECONDS", "Start", "StartRecords"]

#: Time for which announcements of a start that has ended may still arrive.  They are delayed over
#: interrupted links; the longest known interruptions last about 13 s.
LATE_ANNOUNCEMENT_SECONDS: Final = 30.0
#: Time for which a departure has to outlive the process after the last announcement of its target.
#: Targets that leave serve for some more seconds, and announcements are late by seconds.
DEPARTURE_RETENTION_SECONDS: Final = 300.0
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
class _Record:
    """The newest start of a target name that has left."""

    #: The departure.
    departure: Departure
    #: When it was reported, by the timer service.
    reported_at: float
    #: When the target last announced itself or was reported to leave, by the timer service.
    heard_at: float


class StartRecords:
    """Records which starts of targets have left."""

    def __init__(self, *, wall: Callable[[], float], now: Callable[[], float]) -> None:
        self._wall = wall
        self._now = now
        self._records: dict[str, _Record] = {}
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
        previous = self._records.get(start.name)
        if previous is not None and start.born and previous.departure.born > born:
            born = previous.departure.born
        self._store(Departure(start.name, born, is_exact=start.born > 0))

    def restore(self, departure: Departure) -> bool:
        """Record a departure that an earlier process knew; return whether it was new here."""
        known = self._records.get(departure.target)
        if known is not None and known.departure.born >= departure.born:
            return False
        self._store(departure)
        return True

    def _store(self, departure: Departure) -> None:
        now = self._now()
        self._records.pop(departure.target, None)  # the order is that of the reports
        self._records[departure.target] = _Record(departure, now, now)
        if len(self._records) > _MAX_REMEMBERED_NAMES:
            del self._records[next(iter(self._records))]

    def note_announcement(self, name: str) -> None:
        """Record that a target has announced itself, which may have left."""
        record = self._records.get(name)
        if record is not None:
            self._records[name] = evolve(record, heard_at=self._now())

    def departure_of(self, name: str) -> Departure | None:
        """Return the newest departure of a target, or `None` if none is known."""
        record = self._records.get(name)
        return record.departure if record is not None else None

    def recent(self, within: float = DEPARTURE_RETENTION_SECONDS) -> tuple[Departure, ...]:
        """Return the departures of targets that were heard of in the last `within` seconds.

        The latest reported ones come last.
        """
        oldest = self._now() - within
        return tuple(r.departure for r in self._records.values() if r.heard_at >= oldest)

    def has_left(self, start: Start) -> bool:
        """Return whether this start, or a later one, has left."""
        record = self._records.get(start.name)
        if record is None or start.born > record.departure.born:
            return False
        is_earlier_start = record.departure.is_exact and 0 < start.born < record.departure.born
        return not (
            is_earlier_start and self._now() - record.reported_at > LATE_ANNOUNCEMENT_SECONDS
        )
