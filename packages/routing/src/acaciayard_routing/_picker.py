"""Picks the host that a call goes to."""

from __future__ import annotations

import hashlib
import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import Final

from acaciayard_callmodel import Answer, NotRun, OutcomeUnknown
from acaciayard_membership import Member, MemberState, MemberTable, TargetInfo, TargetState
from acaciayard_rollouts import ANY_VERSION, NO_ROLLOUTS, RolloutBook, Side, Versions
from acaciayard_timers import TimerService

from ._candidates import FAILURE_MEMORY, TOLERATED, Candidate, Candidates
from ._router import Plan, Router

__all__ = ["Picker", "trial_rank"]

#: Failed calls in a row that eject a host.
_FAILURES_TO_EJECT: Final = 5
#: Share of failed calls, smoothed, that ejects a host even when some succeed.
_FAILURE_SHARE_TO_EJECT: Final = 0.6
_FAILURE_SMOOTHING: Final = 0.1
#: Seconds of a first ejection, and the longest one.
_EJECTION: Final = (1.0, 30.0)
#: Share of hosts that must be left for ejections to be heeded at all.
_PANIC_SHARE: Final = 0.5
#: The member of an enumeration is looked up at each use; a choice compares each host with it.
_DRAINING: Final = int(TargetState.DRAINING)
#: Hosts that are compared for one call.
_CHOICES: Final = 3
#: Load per slot from which a wait is to be expected, and how much more load beyond it counts.
_FREE_SHARE: Final = 0.7
_CROWD_WEIGHT: Final = 3.0
#: Load per slot from which targets have no room.
_FULL: Final = 1.0
#: Share of good answers below which a worse one makes no further difference.
_LEAST_GOOD: Final = 0.1
#: The same for calls that must not run twice: others try first whether a target has recovered.
_LONG_FAILURE_MEMORY: Final = 10.0


class Picker:
    """Least expected time of a few, in the own failure domain first.

    Outcomes of calls weigh more than what targets say: a host that fails calls is ejected for a
    while, for longer each time, unless that would leave too few.  When the own domain is loaded
    beyond the share set by its policy, just so large a part of the calls goes elsewhere as brings
    it back to that share; so the spill-over does not swing.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        timers: TimerService,
        seed: random.Random,
        rollouts: RolloutBook = NO_ROLLOUTS,
    ) -> None:
        self._rollouts = rollouts
        self._table = table
        self._timers = timers
        self._seed = seed
        self._services: dict[str, Candidates] = {}
        self._started = timers.now()
        table.subscribe(lambda _before, now: self._on_member(now))
        for member in table.present():
            self._on_member(member)

    # --- who is there -------------------------------------------------------------------------

    def _on_member(self, member: Member) -> None:
        offered = _offered_by(member)
        own_domain = self._table.own.domain
        for service in {*self._services, *offered}:
            candidates = self._services.setdefault(service, Candidates(own_domain))
            if service in offered:
                self._update(candidates, member, offered[service])
            else:
                candidates.drop(member.host)

    def _update(
        self, candidates: Candidates, member: Member, targets: Sequence[TargetInfo]
    ) -> None:
        known = candidates.find(member.host)
        starts = frozenset((target.name, target.born) for target in targets)
        slots = sum(t.slots for t in targets if t.state < TargetState.DRAINING)
        newest = min(targets, key=lambda target: target.state)
        state, version = newest.state, newest.version
        if known is None or not known.is_same(member.incarnation, starts):
            now = self._timers.now()
            first_sight = now - self._started < 1.0
            candidates.add(
                Candidate(
                    host=member.host,
                    incarnation=member.incarnation,
                    starts=starts,
                    domain=member.domain,
                    address=member.calls,
                    slots=slots,
                    state=state,
                    since=float("-inf") if first_sight else now,
                    version=version,
                    cold_until=now + max(target.cold_s for target in targets),
                )
            )
            return
        if known.version != version:
            known.version = version
            known.cold_until = self._timers.now() + newest.cold_s
            candidates.add(known)
        known.starts = starts
        known.slots = slots
        known.state = state
        known.address = member.calls
        known.is_suspect = member.state == MemberState.SUSPECT

    def candidate(self, service: str, host: str) -> Candidate | None:
        """What is known here of a host's targets for a service, `None` where it has none."""
        candidates = self._services.get(service)
        return candidates.find(host) if candidates is not None else None

    def slots_by_version(self, service: str) -> Counter[str]:
        """How many slots each version of a service has."""
        candidates = self._services.get(service)
        return candidates.slots_by_version() if candidates is not None else Counter()

    def hosts_by_version(self, service: str) -> Counter[str]:
        """How many hosts run each version of a service."""
        candidates = self._services.get(service)
        return candidates.hosts_by_version() if candidates is not None else Counter()

    # --- choice -------------------------------------------------------------------------------

    def pick(
        self,
        plan: Plan,
        router: Router,
        *,
        avoid: Collection[str],
        prefers_fastest: bool = False,
    ) -> Candidate | None:
        """The host for a call, `None` when there is none.

        With `prefers_fastest` the failure domain of a host counts for nothing.  Where the service
        moves to another version, the rollout says to which of the two the call goes.
        """
        candidates = self._services.get(plan.service.name)
        if candidates is None:
            return None
        now = self._timers.now()
        versions = self._versions_of(candidates, plan.service.name)
        usable = self._usable_of(candidates, plan, router, now, avoid, versions)
        if not usable and versions.side is Side.NEW:
            versions = self._rollouts.base_versions(plan.service.name)
            usable = self._usable_of(candidates, plan, router, now, avoid, versions)
        if not usable:
            return None
        sound = self._sound(usable, now, may_repeat=plan.route.idempotent)
        pool = sound if prefers_fastest else self._pool(sound, router, now)
        return self._best_of_some(pool, now, plan.service.warm_up_s)

    def _versions_of(self, candidates: Candidates, service: str) -> Versions:
        """The versions that the next call may go to.

        Where operators move services by orders, a version without one gets nothing while another
        runs on more hosts: its targets may have been started before the order was heard of here.
        """
        versions = self._rollouts.versions(service)
        is_unordered = versions is ANY_VERSION and self._rollouts.knows_orders
        if is_unordered and candidates.usual_version:
            return Versions(only=candidates.usual_version)
        return versions

    def _usable_of(
        self,
        candidates: Candidates,
        plan: Plan,
        router: Router,
        now: float,
        avoid: Collection[str],
        versions: Versions,
    ) -> list[Candidate]:
        """Some that a call may go to, or all of them where those looked at first are none."""
        for some in (candidates.some(self._seed), candidates.all):
            if versions is not ANY_VERSION:
                some = [c for c in some if versions.admits(c.version)]
            usable = self._usable(some, plan, router, now, avoid)
            if usable:
                return usable
        return []

    @staticmethod
    def _usable(
        some: Collection[Candidate],
        plan: Plan,
        router: Router,
        now: float,
        avoid: Collection[str],
    ) -> list[Candidate]:
        """Those of some candidates that a call may go to."""
        service = plan.service.name
        drained = router.drained(service)
        present = [c for c in some if c.state < _DRAINING and c.host not in drained]
        usable = [c for c in present if c.ejected_until <= now and not c.is_suspect]
        if len(usable) < len(present) * _PANIC_SHARE:
            usable = present
        return [c for c in usable if c.host not in avoid]

    def _sound(
        self, usable: Sequence[Candidate], now: float, *, may_repeat: bool
    ) -> Sequence[Candidate]:
        """The candidates that fail few of their calls, while those have room; else all.

        What fails a call that must not run twice costs all of it, and of the others only so many
        can be repeated as the budget allows.  Where six targets of ten lose two answers in five,
        lost calls fell from 18 to 10 in 100 with a load of three quarters (`test_overload`).
        """
        memory = FAILURE_MEMORY if may_repeat else _LONG_FAILURE_MEMORY
        sound = [c for c in usable if c.is_sound(now, memory)]
        if not sound or len(sound) == len(usable):
            return usable
        load = _mean_load(sound, now)
        return sound if self._seed.random() * load < _FULL else usable

    def _pool(self, usable: Sequence[Candidate], router: Router, now: float) -> Sequence[Candidate]:
        """The candidates of the own failure domain, or all where its load spills over.

        Of all, since a slow host outside may take longer than a loaded one inside: calls of a goal
        of 150 ms that were late fell from 35 to 24 in 1,000 where every third target is slow.
        """
        own_domain = self._table.own.domain
        inside = [c for c in usable if c.domain == own_domain]
        limit = router.domain_policy(own_domain).spill_percent / 100
        load = _mean_load(inside, now)
        if inside and load <= limit:
            return inside
        outside = [
            c
            for c in usable
            if c.domain != own_domain and router.domain_policy(c.domain).accepts_spill
        ]
        if not inside or not outside:
            return inside or outside or usable
        if _mean_load(outside, now) >= load:
            return inside
        spilled = 1 - limit / load
        return [*inside, *outside] if self._seed.random() < spilled else inside

    def _best_of_some(self, pool: Sequence[Candidate], now: float, warm_up: float) -> Candidate:
        if len(pool) == 1:
            return pool[0]
        some = self._seed.sample(pool, min(_CHOICES, len(pool)))
        usual = _usual_pace(pool)
        return min(some, key=lambda c: _score(c, now, warm_up, usual))

    def is_full(self, candidate: Candidate) -> bool:
        """Whether a host has no slot free, as far as it has told lately."""
        return candidate.load(self._timers.now()) >= _FULL

    def pick_for_trial(
        self, plan: Plan, router: Router, *, key: bytes, avoid: Collection[str]
    ) -> Candidate | None:
        """The host on which a suspect has its trial, `None` when there is none.

        All daemons that know the same hosts choose the same one for a key, whatever each has learnt
        of them, so that copies of a suspect meet at one gate.
        """
        candidates = self._services.get(plan.service.name)
        if candidates is None:
            return None
        drained = router.drained(plan.service.name)
        versions = self._rollouts.base_versions(plan.service.name)
        usable = [
            c
            for c in candidates.all
            if c.state < _DRAINING
            and c.host not in drained
            and c.host not in avoid
            and versions.admits(c.version)
        ]
        return min(usable, key=lambda c: trial_rank(c.host, key)) if usable else None

    # --- outcomes -----------------------------------------------------------------------------

    def begin(self, candidate: Candidate) -> None:
        """A call to the host starts."""
        candidate.outstanding += 1

    def note_silent(self, candidate: Candidate) -> None:
        """A host gives no sign of life; calls go elsewhere until it is clear why."""
        self._failed(candidate, self._timers.now(), weight=_FAILURES_TO_EJECT)

    def end(
        self,
        candidate: Candidate,
        outcome: Answer | NotRun | OutcomeUnknown,
        load: float,
        pace: float = 0.0,
    ) -> None:
        """A call to the host has ended.

        `load` and `pace` are what it told: calls per slot, negative for nothing, and the mean
        seconds that a call takes there, 0 for nothing.
        """
        candidate.outstanding -= 1
        now = self._timers.now()
        if load >= 0:
            candidate.told_load = load
            candidate.told_at = now
        if pace > 0:
            candidate.pace = pace
        match outcome:
            case NotRun(is_by_target=True):
                # It may refuse calls of one kind alone, such as long uploads: no cause to eject it.
                self._note_share(candidate, now)
            case NotRun(is_overload=True) | NotRun(is_barred=True) | Answer(is_nested_failure=True):
                return
            case NotRun() | OutcomeUnknown(is_silent=True):
                self._failed(candidate, now, weight=_FAILURES_TO_EJECT)
            case Answer(status=status) if status < 500:
                candidate.failures = 0
                candidate.ejections = 0
                candidate.failure_share *= 1 - _FAILURE_SMOOTHING
            case _:
                self._failed(candidate, now, weight=1)

    @staticmethod
    def _note_share(candidate: Candidate, now: float) -> None:
        share = candidate.failure_share
        candidate.failure_share = share + _FAILURE_SMOOTHING * (1 - share)
        candidate.failed_at = now

    def _failed(self, candidate: Candidate, now: float, *, weight: int) -> None:
        candidate.failures += weight
        self._note_share(candidate, now)
        if candidate.ejected_until > now:
            return
        if (
            candidate.failures >= _FAILURES_TO_EJECT
            or candidate.failure_share > _FAILURE_SHARE_TO_EJECT
        ):
            first, longest = _EJECTION
            seconds = min(longest, first * 2**candidate.ejections)
            candidate.ejected_until = now + seconds * self._seed.uniform(0.8, 1.2)
            candidate.ejections += 1
            candidate.failures = _FAILURES_TO_EJECT - 1
            candidate.failure_share = TOLERATED  # it gets calls again after its ejection


def trial_rank(host: str, key: bytes) -> bytes:
    """The place of a host in the order of those that a key's trials go to, the first one least."""
    return hashlib.blake2b(host.encode(), key=key, digest_size=8).digest()


def _offered_by(member: Member) -> dict[str, list[TargetInfo]]:
    """The targets of a host by their service; none where the host is gone."""
    offered: dict[str, list[TargetInfo]] = {}
    for target in member.targets if member.is_present else ():
        offered.setdefault(target.service, []).append(target)
    return offered


def _mean_load(candidates: Sequence[Candidate], now: float) -> float:
    slots = 0
    busy = 0.0
    for candidate in candidates:
        slots += candidate.slots
        busy += candidate.load(now) * candidate.slots
    return busy / max(1, slots)


def _usual_pace(pool: Sequence[Candidate]) -> float:
    """The mean pace of those that have told theirs, 1 where none has."""
    told = [c.pace for c in pool if c.pace > 0]
    return sum(told) / len(told) if told else 1.0


def _score(candidate: Candidate, now: float, warm_up: float, usual: float) -> float:
    """Expected time of one more call: its pace, times one and the wait for a slot.

    A wait is to be expected from `_FREE_SHARE` of the slots on, since calls come unevenly and what
    a host told of its load is some milliseconds old.  A target that fails a part of its calls costs
    a second try for each of them, though it looks free and fast; what it failed is forgotten, so
    that it is tried again.
    """
    counted = max(0.1, candidate.slots * candidate.warmth(now, warm_up))
    load = (candidate.load(now) * candidate.slots + 1) / counted
    crowd = load + max(0.0, load - _FREE_SHARE) * _CROWD_WEIGHT
    failed = candidate.failing(now)
    good = max(_LEAST_GOOD, 1 - failed) if failed > TOLERATED else 1.0
    return (candidate.pace or usual) * (1 + crowd) / good
