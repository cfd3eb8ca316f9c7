"""Tracks requests that are suspected of ending the targets that run them.

A failure may be caused by a request and not by a host: a request that crashes every target that
runs it may be repeated, at any daemon.  The usual remedies for a failed host, such as a retry on
another host, then spread the failure to healthy targets.  The daemons therefore remember the
fingerprints of the requests that were running when a target ended, and share them:

* all calls that are running when a target ends become suspects;
* a suspect runs only as a trial: on the one host that all daemons pick for it, and with no other
  suspect beside it, so that two suspects are not blamed for each other repeatedly;
* a successful answer clears a suspect at once;
* a request whose targets have ended `ENDS_TO_BAR` times in a row is barred: it is refused without
  being sent.

Ends that are observed independently of each other count once: if several targets end at the same
moment for an external reason, that is no additional evidence against a call that ran at them.

    suspects = Suspects(timers=timers, dialect=dialect)
    suspicion = suspects.of(call)               # None: the request is not suspected
    suspects.note_end(call, known=suspicion)    # the target has ended
    suspects.note_success(call)                 # a target has answered it
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from attrs import define, frozen

from acaciayard_callmodel import OWN_DIALECT, Call, Dialect, NotRun, fingerprint_of
from acaciayard_membership import Member, Membership, Suspicion
from acaciayard_timers import TimerService

__all__ = ["ENDS_TO_BAR", "SuspectEvent", "Suspects"]

#: Number of targets that must have ended while running a request, one after another, before it is
#: barred.  Any call of the first target may be the cause.  At the second and the third the request
#: was the only suspect, so barring a harmless request takes two ends for another reason during its
#: trials.  In 72 simulated runs with 13 hosts, where at least half of the calls repeat one of five
#: requests, this happened to none of about 115,000 harmless calls.
ENDS_TO_BAR: Final = 3
#: Time after which a suspect that is not repeated is forgotten.
_SUSPECT_TTL_SECONDS: Final = 600.0
#: Time for which a request stays barred before another trial is allowed, since operators may have
#: fixed the targets by then.  Each trial that ends another target doubles it, up to one day.
_BAR_SECONDS: Final = 600.0
_MAX_BAR_SECONDS: Final = 86_400.0
#: Maximum number of suspects that are remembered, at about 230 bytes each.  Targets with ten slots
#: that end once a second for ten minutes produce 6,000, of which the newest are kept.
_MAX_SUSPECTS: Final = 1024
#: Maximum number of suspicions that a daemon publishes as its own.  They take 13 bytes each in its
#: member record, 312 bytes in total, and a gossip datagram holds 1,200 bytes.
_MAX_PUBLISHED: Final = 24
#: Retry delay of a suspect while another one is on trial; about the duration of a call.
_TRIAL_RETRY_AFTER_SECONDS: Final = 0.2


@frozen
class SuspectEvent:
    """A change in what this daemon knows about a request, for logs."""

    #: Fingerprint of the request in hexadecimal.
    fingerprint: str
    #: Kind of event: `suspected`, `barred`, `cleared` or `expired`.
    what: str
    #: Number of targets that have ended while running it, one after another.
    ends: int
    #: Whether another daemon reported it.
    is_heard: bool = False

    def fields(self) -> dict[str, object]:
        """Return the fields of the log line."""
        fields = {"fingerprint": self.fingerprint, "what": self.what, "ends": self.ends}
        return {**fields, "heard": True} if self.is_heard else fields


@define
class _Entry:
    suspicion: Suspicion
    #: When this daemon learnt of it, by the timer service.
    since: float


class Suspects:
    """The suspected requests that this daemon knows of.

    `on_event` is called with an event for each change; `share` exchanges suspicions with the other
    daemons.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        dialect: Dialect = OWN_DIALECT,
        on_event: Callable[[SuspectEvent], None] = lambda _event: None,
    ) -> None:
        self._timers = timers
        self._dialect = dialect
        self._members: Membership | None = None
        self._on_event = on_event
        self._known: dict[bytes, _Entry] = {}
        self._own: dict[bytes, Suspicion] = {}
        self._refused = 0

    def share(self, members: Membership) -> None:
        """Publish the suspicions of this daemon to the others, and receive theirs.

        Suspicions are part of the member records.  Those are kept for ten minutes after their
        daemon has gone, and reach each daemon that joins.
        """
        self._members = members
        members.table.subscribe(self._on_member_change)
        members.table.on_previous_incarnation(lambda past: self.restore(past.suspicions))

    def _on_member_change(self, before: Member | None, now: Member) -> None:
        assert self._members is not None
        is_own = now.host == self._members.table.own.host
        if not is_own and (before is None or before.suspicions != now.suspicions):
            self.merge(now.suspicions)

    def _publish(self) -> None:
        """Publish at once, since the request may already have reached the other daemons."""
        if self._members is not None:
            self._members.table.set_suspicions(self.published())
            self._members.flush()

    @property
    def refused(self) -> int:
        """Number of calls that were refused because they are barred."""
        return self._refused

    @property
    def suspected(self) -> int:
        """Number of suspected requests."""
        return sum(known.suspicion.ends > 0 for known in self._known.values())

    @property
    def barred(self) -> int:
        """Number of requests that are barred at present."""
        return sum(self.is_barred(known.suspicion) for known in self._known.values())

    def fingerprint_of(self, call: Call) -> bytes:
        """Return the fingerprint of a call, which is the same whenever the request is repeated."""
        return fingerprint_of(call, self._dialect)

    def all(self) -> tuple[Suspicion, ...]:
        """Return all suspicions, those with the most ends first."""
        suspicions = (known.suspicion for known in self._known.values() if known.suspicion.ends)
        return tuple(sorted(suspicions, key=lambda s: -s.ends))

    # --- queries ------------------------------------------------------------------------------

    def of(self, call: Call) -> Suspicion | None:
        """Return the suspicion against a call, or `None`.

        Takes 0.2 us while no request is suspected, and otherwise the time of a fingerprint.
        """
        if not self._known:
            return None
        known = self._known.get(self.fingerprint_of(call))
        return known.suspicion if known is not None and known.suspicion.ends else None

    def is_barred(self, suspicion: Suspicion) -> bool:
        """Return whether the request must not be sent to a target."""
        return self._bar_seconds_left(suspicion) > 0

    def _bar_seconds_left(self, suspicion: Suspicion) -> float:
        """Return the seconds for which a request stays barred; 0 if it may have a trial."""
        known = self._known.get(suspicion.fingerprint)
        extra_ends = suspicion.ends - ENDS_TO_BAR
        if known is None or extra_ends < 0:
            return 0.0
        seconds = min(_MAX_BAR_SECONDS, _BAR_SECONDS * 2.0 ** min(extra_ends, 16))
        return max(0.0, known.since + seconds - self._timers.now())

    def refusal_of(self, suspicion: Suspicion | None) -> NotRun | None:
        """Return the refusal of a barred call, or `None` if it may run or have its trial."""
        if suspicion is None or not self.is_barred(suspicion):
            return None
        return self.refusal(suspicion)

    def refusal(self, suspicion: Suspicion) -> NotRun:
        """Return the refusal of a barred call, and count it."""
        self._refused += 1
        return NotRun(
            f"{suspicion.ends} targets in a row have ended under this request "
            f"{suspicion.fingerprint.hex()}",
            self._bar_seconds_left(suspicion),
            is_barred=True,
        )

    @staticmethod
    def busy() -> NotRun:
        """Return the refusal of a suspect while another one is on trial."""
        reason = "another request under suspicion runs at the target"
        return NotRun(reason, _TRIAL_RETRY_AFTER_SECONDS, is_overload=True)

    # --- evidence -----------------------------------------------------------------------------

    def note_end(self, call: Call, known: Suspicion | None, *, is_own: bool = True) -> None:
        """Record that a target has ended while running a call.

        `known` is the suspicion against the call when it was sent.  Ends under copies of a call
        that were sent with the same suspicion count once.  `is_own` is true if the target was on
        the host of this daemon, which then informs the others.
        """
        fingerprint = self.fingerprint_of(call)
        if known is None:
            entry = self._known.get(fingerprint)
            is_cleared = entry is not None and entry.suspicion.ends == 0
            before = entry.suspicion if entry is not None and is_cleared else None
        else:
            before = known
        if before is None:
            before = Suspicion(fingerprint, 0, 0)
        self._apply(before.next(ends=before.ends + 1), is_own=is_own)

    def note_success(self, call: Call) -> None:
        """Clear a request, because a target has answered it."""
        if self.of(call) is not None:
            self.lift(self.fingerprint_of(call))

    def lift(self, fingerprint: bytes) -> bool:
        """Clear a request, for example by order of an operator; return whether it was suspected."""
        known = self._known.get(fingerprint)
        if known is None or not known.suspicion.ends:
            return False
        self._apply(known.suspicion.next(ends=0), is_own=True)
        return True

    def merge(self, suspicions: Iterable[Suspicion]) -> None:
        """Merge suspicions that another daemon has published."""
        for suspicion in suspicions:
            self._apply(suspicion, is_own=False)

    def restore(self, suspicions: Iterable[Suspicion]) -> None:
        """Restore the suspicions that this daemon had published before its restart."""
        for suspicion in suspicions:
            self._apply(suspicion, is_own=True)

    def _apply(self, suspicion: Suspicion, *, is_own: bool) -> None:
        known = self._known.get(suspicion.fingerprint)
        is_newer = known is None or known.suspicion.age < suspicion.age
        if is_newer:
            self._known.pop(suspicion.fingerprint, None)
            self._known[suspicion.fingerprint] = _Entry(suspicion, self._timers.now())
            self._emit(suspicion, is_heard=not is_own)
            self._evict_excess()
        if is_newer and not is_own:
            self._own.pop(suspicion.fingerprint, None)  # the better informed daemon publishes it
        if is_own and (is_newer or suspicion.fingerprint not in self._own):
            self._own[suspicion.fingerprint] = self._known[suspicion.fingerprint].suspicion
            self._publish()

    def _emit(self, suspicion: Suspicion, *, is_heard: bool) -> None:
        what = "cleared"
        if suspicion.ends:
            what = "barred" if suspicion.ends >= ENDS_TO_BAR else "suspected"
        self._on_event(SuspectEvent(suspicion.fingerprint.hex(), what, suspicion.ends, is_heard))

    def published(self) -> tuple[Suspicion, ...]:
        """Return the suspicions to publish: barred requests first, then the newest."""
        newest_first = reversed(self._own.values())
        barred_first = sorted(newest_first, key=lambda s: s.ends < ENDS_TO_BAR)
        return tuple(barred_first[:_MAX_PUBLISHED])

    # --- expiry -------------------------------------------------------------------------------

    def _evict_excess(self) -> None:
        """Remove the oldest of the least suspected requests if there are too many."""
        if len(self._known) > _MAX_SUSPECTS:
            least = min(self._known.values(), key=lambda k: min(k.suspicion.ends, ENDS_TO_BAR))
            self._remove(least.suspicion)

    def forget_old(self) -> None:
        """Remove expired suspicions; called periodically."""
        now = self._timers.now()
        expired = [
            known.suspicion
            for known in self._known.values()
            if now - known.since > _retention_seconds(known.suspicion)
        ]
        for suspicion in expired:
            self._remove(suspicion)
            if suspicion.ends:
                self._on_event(SuspectEvent(suspicion.fingerprint.hex(), "expired", suspicion.ends))

    def _remove(self, suspicion: Suspicion) -> None:
        del self._known[suspicion.fingerprint]
        if self._own.pop(suspicion.fingerprint, None) is not None:
            self._publish()


def _retention_seconds(suspicion: Suspicion) -> float:
    """Return the seconds for which a suspicion is kept if the request is not repeated."""
    return _MAX_BAR_SECONDS if suspicion.ends >= ENDS_TO_BAR else _SUSPECT_TTL_SECONDS
