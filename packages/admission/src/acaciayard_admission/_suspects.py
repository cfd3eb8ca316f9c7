"""Which requests are suspected of ending the targets that run them.

A fault may travel with the work and not with the host: a request that ends each target that runs
it comes again, at any daemon.  Whatever helps against a host that fails (another host, a second
try) then brings the fault to the next sound target.  So daemons remember the requests that were at
work when a target ended, by what they ask for, and tell each other:

* all calls at work when a target ends become suspects;
* a suspect runs only as a trial: at the one host that all daemons choose for it, with no other
  suspect beside it, so that two suspects are not blamed for each other again and again;
* a good answer clears it at once;
* one whose target has ended `ENDS_TO_BAR` times in a row is barred: it is refused, unsent.

Ends that no daemon could know of each other count once: targets that end in one moment, for a
reason outside, say nothing more of a call that was at several of them.

    suspects = Suspects(timers=timers, dialect=dialect)
    suspicion = suspects.of(call)               # None: nothing is held against it
    suspects.note_end(call, known=suspicion)    # its target has ended
    suspects.note_good(call)                    # a target has answered it
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from attrs import define, frozen

from acaciayard_callmodel import OWN_DIALECT, Call, Dialect, NotRun, fingerprint_of
from acaciayard_membership import Member, Membership, Suspicion
from acaciayard_timers import TimerService

__all__ = ["ENDS_TO_BAR", "SuspectNews", "Suspects"]

#: Targets that must have ended under a call, one after the other, before it is barred.  The first
#: may have had any of its calls as the cause; at the second and the third this one was the only
#: suspect, so that two ends for another reason at just those moments would be needed to bar a good
#: call.  In 72 modelled runs with 13 hosts, half and more of whose calls ask for one of five
#: things, that happened to none of some 115,000 good calls.
ENDS_TO_BAR: Final = 3
#: Seconds for which a suspect is remembered that does not come again.
_SUSPECT_FOR: Final = 600.0
#: Seconds for which a call stays barred before one careful trial is allowed: by then operators may
#: have put the targets right.  Each trial that ends one more target doubles it, to a day at most.
_BARRED_FOR: Final = 600.0
_LONGEST_BAR: Final = 86_400.0
#: Suspects that are remembered.  One takes some 230 bytes here; targets of ten slots that end once
#: a second for ten minutes make 6,000, of which the newest are kept.
_MOST_KNOWN: Final = 1024
#: Suspicions that a daemon passes on as its own: 13 bytes each in its record, 312 for all, where a
#: datagram of news holds 1,200.
_MOST_TOLD: Final = 24
#: Seconds after which a caller may come back while another suspect is on trial: a run of a call
#: takes about as long.
_TRIAL_RETRY_AFTER: Final = 0.2


@frozen
class SuspectNews:
    """What changes the belief of this daemon in a request, for logs."""

    #: What the request asks for, in hexadecimal digits.
    fingerprint: str
    #: What has happened: `suspected`, `barred`, `cleared` or `expired`.
    what: str
    #: Targets that have ended under it, one after the other.
    ends: int
    #: Whether another daemon told it.
    is_heard: bool = False

    def fields(self) -> dict[str, object]:
        """What a log line says of it."""
        told = {"fingerprint": self.fingerprint, "what": self.what, "ends": self.ends}
        return {**told, "heard": True} if self.is_heard else told


@define
class _Known:
    suspicion: Suspicion
    #: When it was learnt, by the timer service.
    since: float


class Suspects:
    """The requests under suspicion, as far as this daemon knows.

    `tell` is called with every change of what is believed here; `share` has the others told.
    """

    def __init__(
        self,
        *,
        timers: TimerService,
        dialect: Dialect = OWN_DIALECT,
        tell: Callable[[SuspectNews], None] = lambda _news: None,
    ) -> None:
        self._timers = timers
        self._dialect = dialect
        self._members: Membership | None = None
        self._tell = tell
        self._known: dict[bytes, _Known] = {}
        self._own: dict[bytes, Suspicion] = {}
        self._refused = 0

    def share(self, members: Membership) -> None:
        """Tell the other daemons what is found out here, and hear it from them.

        It travels with the records of members, which outlive the daemon that made them for ten
        minutes and come to each that joins.
        """
        self._members = members
        members.table.subscribe(self._hear)
        members.table.on_previous_incarnation(lambda past: self.recall(past.suspicions))

    def _hear(self, before: Member | None, now: Member) -> None:
        assert self._members is not None
        is_own = now.host == self._members.table.own.host
        if not is_own and (before is None or before.suspicions != now.suspicions):
            self.merge(now.suspicions)

    def _publish(self) -> None:
        """Tell the others at once: the request may be at their doors already."""
        if self._members is not None:
            self._members.table.set_suspicions(self.told())
            self._members.flush()

    @property
    def refused(self) -> int:
        """Calls that were refused because they are barred, so far."""
        return self._refused

    @property
    def suspected(self) -> int:
        """Requests under suspicion."""
        return sum(known.suspicion.ends > 0 for known in self._known.values())

    @property
    def barred(self) -> int:
        """Requests that are refused at present."""
        return sum(self.is_barred(known.suspicion) for known in self._known.values())

    def fingerprint_of(self, call: Call) -> bytes:
        """What a call asks for, the same each time that it comes."""
        return fingerprint_of(call, self._dialect)

    def all(self) -> tuple[Suspicion, ...]:
        """All requests under suspicion, the gravest first."""
        held = (known.suspicion for known in self._known.values() if known.suspicion.ends)
        return tuple(sorted(held, key=lambda s: -s.ends))

    # --- questions ----------------------------------------------------------------------------

    def of(self, call: Call) -> Suspicion | None:
        """What is held against a call; `None` for nothing.

        It costs 0.2 us while nothing is suspected anywhere, and a fingerprint otherwise.
        """
        if not self._known:
            return None
        known = self._known.get(self.fingerprint_of(call))
        return known.suspicion if known is not None and known.suspicion.ends else None

    def is_barred(self, suspicion: Suspicion) -> bool:
        """Whether a call under this suspicion must not reach a target."""
        return self._barred_for(suspicion) > 0

    def _barred_for(self, suspicion: Suspicion) -> float:
        """Seconds for which it stays barred; 0 where it may have a trial."""
        known = self._known.get(suspicion.fingerprint)
        over = suspicion.ends - ENDS_TO_BAR
        if known is None or over < 0:
            return 0.0
        seconds = min(_LONGEST_BAR, _BARRED_FOR * 2.0 ** min(over, 16))
        return max(0.0, known.since + seconds - self._timers.now())

    def refusal_of(self, suspicion: Suspicion | None) -> NotRun | None:
        """The refusal of a call that is barred, `None` where it may run or have its trial."""
        if suspicion is None or not self.is_barred(suspicion):
            return None
        return self.refusal(suspicion)

    def refusal(self, suspicion: Suspicion) -> NotRun:
        """How a barred call is refused, at once and unsent."""
        self._refused += 1
        return NotRun(
            f"{suspicion.ends} targets in a row have ended under this request "
            f"{suspicion.fingerprint.hex()}",
            self._barred_for(suspicion),
            is_barred=True,
        )

    @staticmethod
    def busy() -> NotRun:
        """How a suspect is refused where another one is on trial."""
        reason = "another request under suspicion runs at the target"
        return NotRun(reason, _TRIAL_RETRY_AFTER, is_overload=True)

    # --- evidence -----------------------------------------------------------------------------

    def note_end(self, call: Call, known: Suspicion | None, *, is_own: bool = True) -> None:
        """A target has ended under a call; `known` is what was held against it when it was sent.

        Two ends under copies of a call that were sent with the same knowledge are one step.
        `is_own` where the target was beside this daemon, which then tells the others.
        """
        fingerprint = self.fingerprint_of(call)
        if known is None:
            cleared = self._known.get(fingerprint)
            is_cleared = cleared is not None and cleared.suspicion.ends == 0
            before = cleared.suspicion if cleared is not None and is_cleared else None
        else:
            before = known
        sequence = before.sequence if before is not None else 0
        ends = before.ends if before is not None else 0
        self._take(Suspicion(fingerprint, sequence + 1, ends + 1), is_own=is_own)

    def note_good(self, call: Call) -> None:
        """A target has answered a call: it is no request that ends targets."""
        if self.of(call) is not None:
            self.lift(self.fingerprint_of(call))

    def lift(self, fingerprint: bytes) -> bool:
        """Clear a request, perhaps because an operator says so; false where nothing is held."""
        known = self._known.get(fingerprint)
        if known is None or not known.suspicion.ends:
            return False
        held = known.suspicion
        self._take(held.with_changes(sequence=held.sequence + 1, ends=0), is_own=True)
        return True

    def merge(self, suspicions: Iterable[Suspicion]) -> None:
        """Take what another daemon has found out."""
        for suspicion in suspicions:
            self._take(suspicion, is_own=False)

    def recall(self, suspicions: Iterable[Suspicion]) -> None:
        """Take over what this daemon had found out before its last start."""
        for suspicion in suspicions:
            self._take(suspicion, is_own=True)

    def _take(self, suspicion: Suspicion, *, is_own: bool) -> None:
        known = self._known.get(suspicion.fingerprint)
        is_news = known is None or known.suspicion.age < suspicion.age
        if is_news:
            self._known.pop(suspicion.fingerprint, None)
            self._known[suspicion.fingerprint] = _Known(suspicion, self._timers.now())
            self._tell_of(suspicion, is_heard=not is_own)
            self._make_room()
        if is_news and not is_own:
            self._own.pop(suspicion.fingerprint, None)  # the one that knows more passes it on
        if is_own and (is_news or suspicion.fingerprint not in self._own):
            self._own[suspicion.fingerprint] = self._known[suspicion.fingerprint].suspicion
            self._publish()

    def _tell_of(self, suspicion: Suspicion, *, is_heard: bool) -> None:
        what = "cleared"
        if suspicion.ends:
            what = "barred" if suspicion.ends >= ENDS_TO_BAR else "suspected"
        self._tell(SuspectNews(suspicion.fingerprint.hex(), what, suspicion.ends, is_heard))

    def told(self) -> tuple[Suspicion, ...]:
        """What this daemon passes on: what it has found out itself, the gravest first."""
        newest_first = reversed(self._own.values())
        gravest = sorted(newest_first, key=lambda s: s.ends < ENDS_TO_BAR)
        return tuple(gravest[:_MOST_TOLD])

    # --- an end to it -------------------------------------------------------------------------

    def _make_room(self) -> None:
        """Drop the oldest of the least suspected where there are too many."""
        if len(self._known) > _MOST_KNOWN:
            least = min(self._known.values(), key=lambda k: min(k.suspicion.ends, ENDS_TO_BAR))
            self._drop(least.suspicion)

    def forget_old(self) -> None:
        """Drop what has not been heard of for long; called now and then."""
        now = self._timers.now()
        old = [
            known.suspicion
            for known in self._known.values()
            if now - known.since > _remembered_for(known.suspicion)
        ]
        for suspicion in old:
            self._drop(suspicion)
            if suspicion.ends:
                self._tell(SuspectNews(suspicion.fingerprint.hex(), "expired", suspicion.ends))

    def _drop(self, suspicion: Suspicion) -> None:
        del self._known[suspicion.fingerprint]
        if self._own.pop(suspicion.fingerprint, None) is not None:
            self._publish()


def _remembered_for(suspicion: Suspicion) -> float:
    """Seconds after which nothing is known any more of a request that did not come again."""
    return _LONGEST_BAR if suspicion.ends >= ENDS_TO_BAR else _SUSPECT_FOR
