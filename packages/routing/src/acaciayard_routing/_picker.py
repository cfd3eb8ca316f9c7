"""Picks the host that a call is sent to."""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import Final

from acaciayard_callmodel import Answer, NotRun, OutcomeUnknown, StartNotice
from acaciayard_membership import Member, MemberState, MemberTable, TargetInfo, TargetState
from acaciayard_rollouts import ANY_VERSION, NO_ROLLOUTS, RolloutBook, Side, Versions
from acaciayard_timers import TimerService

from ._candidates import FAILURE_DECAY_SECONDS, TOLERATED_FAILURE_SHARE, Candidate, Candidates
from ._notices import ForwardedNotices
from ._router import Plan, Router

__all__ = ["Picker", "trial_rank"]

#: Consecutive failed calls after which a host is ejected.
_FAILURES_TO_EJECT: Final = 5
#: Smoothed share of failed calls above which a host is ejected even if some calls succeed.
_FAILURE_SHARE_TO_EJECT: Final = 0.6
_FAILURE_SMOOTHING: Final = 0.1
#: Seconds of the first ejection, and of the longest one.
_EJECTION_SECONDS: Final = (1.0, 30.0)
#: Share of the hosts that must remain usable; below it, ejections and suspicions are ignored.
_MIN_USABLE_SHARE: Final = 0.5
#: The value as a plain integer: it is compared with every candidate, and looking up a member of an
#: enumeration each time is slower.
_DRAINING: Final = int(TargetState.DRAINING)
#: Randomly chosen hosts whose scores are compared for one call.
_COMPARED_HOSTS: Final = 3
#: Load per slot above which calls are expected to queue, and the extra weight of the load above it.
_QUEUEING_LOAD: Final = 0.7
_QUEUEING_WEIGHT: Final = 3.0
#: Load per slot at which targets have no free slot.
_FULL_LOAD: Final = 1.0
#: Share of successful calls below which a further decrease no longer worsens a score.
_MIN_SUCCESS_SHARE: Final = 0.1
#: Time constant with which failures decay for calls that must not run twice.  It is longer than for
#: idempotent calls, so that those find out first whether a target has recovered.
_NON_IDEMPOTENT_FAILURE_DECAY_SECONDS: Final = 10.0


class Picker:
    """Picks the host with the least expected call duration among a few random candidates.

    Hosts in the own failure domain are preferred.  When the load of that domain exceeds the share
    set by its policy, just enough calls go to other domains to bring it back to that share, so
    that the spill-over does not oscillate.

    The outcomes of calls outweigh what targets report: a host that fails calls is ejected, for
    longer each time, unless that would leave too few hosts.
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
        self._notices = ForwardedNotices(timers=timers)
        self._started = timers.now()
        table.subscribe(lambda _before, now: self._on_member_change(now))
        for member in table.present():
            self._on_member_change(member)

    # --- membership ---------------------------------------------------------------------------

    def _on_member_change(self, member: Member) -> None:
        offered = _targets_by_service(member)
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
        targets = self._notices.as_stated(member.host, targets)
        known = candidates.find(member.host)
        starts = frozenset((target.name, target.born) for target in targets)
        slots = sum(t.slots for t in targets if t.state < TargetState.DRAINING)
        newest = min(targets, key=lambda target: target.state)
        state, version = newest.state, newest.version
        if known is None or not known.is_same(member.incarnation, starts):
            now = self._timers.now()
            known_at_start = now - self._started < 1.0
            candidates.add(
                Candidate(
                    host=member.host,
                    incarnation=member.incarnation,
                    starts=starts,
                    domain=member.domain,
                    address=member.calls,
                    slots=slots,
                    state=state,
                    since=float("-inf") if known_at_start else now,
                    version=version,
                    cold_until=now + max(target.cold_s for target in targets),
                    max_rate=self._max_rate(member.host, targets),
                )
            )
            return
        if known.version != version:
            known.version = version
            known.cold_until = self._timers.now() + newest.cold_s
            candidates.add(known)
        known.starts = starts
        known.slots = slots
        known.max_rate = self._max_rate(member.host, targets)
        known.state = state
        known.address = member.calls
        known.is_suspect = member.state == MemberState.SUSPECT

    def _max_rate(self, host: str, targets: Sequence[TargetInfo]) -> float:
        """Return the calls per second that targets of one host take together."""
        return sum(self._notices.notice_of(host, each).max_rate for each in targets)

    def candidate(self, service: str, host: str) -> Candidate | None:
        """Return the candidate of a host for a service, or `None` if it has no such targets."""
        candidates = self._services.get(service)
        return candidates.find(host) if candidates is not None else None

    def slots_by_version(self, service: str) -> Counter[str]:
        """Return the number of slots of each version of a service."""
        candidates = self._services.get(service)
        return candidates.slots_by_version() if candidates is not None else Counter()

    def hosts_by_version(self, service: str) -> Counter[str]:
        """Return the number of hosts that run each version of a service."""
        candidates = self._services.get(service)
        return candidates.hosts_by_version() if candidates is not None else Counter()

    # --- selection ----------------------------------------------------------------------------

    def pick(
        self,
        plan: Plan,
        router: Router,
        *,
        avoid: Collection[str],
        prefers_fastest: bool = False,
    ) -> Candidate | None:
        """Return the host for a call, or `None` if there is none.

        With `prefers_fastest` failure domains are ignored.  During a rollout of the service, the
        rollout decides which of the two versions the call goes to.
        """
        candidates = self._services.get(plan.service.name)
        if candidates is None:
            return None
        now = self._timers.now()
        versions = self._versions_of(candidates, plan.service.name)
        usable = self._usable_sample(candidates, plan, router, now, avoid, versions)
        if not usable and versions.side is Side.NEW:
            versions = self._rollouts.base_versions(plan.service.name)
            usable = self._usable_sample(candidates, plan, router, now, avoid, versions)
        if not usable:
            return None
        healthy = self._healthy(usable, now, may_repeat=plan.route.idempotent)
        pool = healthy if prefers_fastest else self._pool(healthy, router, now)
        return self._best_of_sample(pool, now, plan.service.warm_up_s)

    def _versions_of(self, candidates: Candidates, service: str) -> Versions:
        """Return the versions that the next call may go to.

        If operators order rollouts and there is none for the service, only the version that runs
        on the most hosts gets calls: targets of another version may have started before this
        daemon learnt of the order.
        """
        versions = self._rollouts.versions(service)
        has_no_order = versions is ANY_VERSION and self._rollouts.knows_orders
        if has_no_order and candidates.majority_version:
            return Versions(only=candidates.majority_version)
        return versions

    def _usable_sample(
        self,
        candidates: Candidates,
        plan: Plan,
        router: Router,
        now: float,
        avoid: Collection[str],
        versions: Versions,
    ) -> list[Candidate]:
        """Return usable candidates from a sample, or from all candidates if the sample has none."""
        for sample in (candidates.sample(self._seed), candidates.all):
            if versions is not ANY_VERSION:
                sample = [c for c in sample if versions.admits(c.version)]
            usable = self._usable(sample, plan, router, now, avoid)
            if usable:
                return usable
        return []

    @staticmethod
    def _usable(
        sample: Collection[Candidate],
        plan: Plan,
        router: Router,
        now: float,
        avoid: Collection[str],
    ) -> list[Candidate]:
        """Return the given candidates that a call may go to."""
        service = plan.service.name
        drained_hosts = router.drained_hosts(service)
        present = [c for c in sample if c.state < _DRAINING and c.host not in drained_hosts]
        usable = [c for c in present if c.ejected_until <= now and not c.is_suspect]
        if len(usable) < len(present) * _MIN_USABLE_SHARE:
            usable = present
        return [c for c in usable if c.host not in avoid]

    def _healthy(
        self, usable: Sequence[Candidate], now: float, *, may_repeat: bool
    ) -> Sequence[Candidate]:
        """Return the healthy candidates while they have free slots, otherwise all candidates.

        A failed call that must not run twice is lost, and other calls are retried only as far as
        the budget allows.  If six targets of ten lose two answers in five, this reduces lost calls
        from 18 to 10 in 100 at a load of three quarters (`test_overload`).
        """
        decay_seconds = (
            FAILURE_DECAY_SECONDS if may_repeat else _NON_IDEMPOTENT_FAILURE_DECAY_SECONDS
        )
        healthy = [c for c in usable if c.is_healthy(now, decay_seconds)]
        if not healthy or len(healthy) == len(usable):
            return usable
        load = _mean_load(healthy, now)
        return healthy if self._seed.random() * load < _FULL_LOAD else usable

    def _pool(self, usable: Sequence[Candidate], router: Router, now: float) -> Sequence[Candidate]:
        """Return the candidates of the own failure domain, or all if its load spills over.

        A call that spills over picks among all candidates, since a slow host in another domain may
        take longer than a loaded one in the own domain.  If every third target is slow, this
        reduces calls that miss a goal of 150 ms from 35 to 24 in 1,000.
        """
        own_domain = self._table.own.domain
        in_domain = [c for c in usable if c.domain == own_domain]
        threshold = router.domain_policy(own_domain).spill_percent / 100
        load = _mean_load(in_domain, now)
        if in_domain and load <= threshold:
            return in_domain
        out_of_domain = [
            c
            for c in usable
            if c.domain != own_domain and router.domain_policy(c.domain).accepts_spill
        ]
        if not in_domain or not out_of_domain:
            return in_domain or out_of_domain or usable
        if _mean_load(out_of_domain, now) >= load:
            return in_domain
        spilled = 1 - threshold / load
        return [*in_domain, *out_of_domain] if self._seed.random() < spilled else in_domain

    def _best_of_sample(self, pool: Sequence[Candidate], now: float, warm_up: float) -> Candidate:
        if len(pool) == 1:
            return pool[0]
        sample = self._seed.sample(pool, min(_COMPARED_HOSTS, len(pool)))
        default_seconds = _average_mean_seconds(pool)
        return min(sample, key=lambda c: _score(c, now, warm_up, default_seconds))

    def is_full(self, candidate: Candidate) -> bool:
        """Return whether a host takes no call without waiting, by what it has recently reported."""
        now = self._timers.now()
        return candidate.opens_at > now or candidate.load(now) >= _FULL_LOAD

    def pick_for_trial(
        self, plan: Plan, router: Router, *, key: bytes, avoid: Collection[str]
    ) -> Candidate | None:
        """Return the host for the trial run of a suspect request, or `None` if there is none.

        Uses rendezvous hashing: all daemons that know the same hosts pick the same one for a key,
        whatever statistics they keep, so that all copies of a suspect reach the same gate.
        """
        candidates = self._services.get(plan.service.name)
        if candidates is None:
            return None
        drained_hosts = router.drained_hosts(plan.service.name)
        versions = self._rollouts.base_versions(plan.service.name)
        usable = [
            c
            for c in candidates.all
            if c.state < _DRAINING
            and c.host not in drained_hosts
            and c.host not in avoid
            and versions.admits(c.version)
        ]
        return min(usable, key=lambda c: trial_rank(c.host, key)) if usable else None

    # --- outcomes -----------------------------------------------------------------------------

    def begin(self, candidate: Candidate) -> None:
        """Record that a call to the host starts."""
        candidate.outstanding += 1

    def notices_of(self, host: str) -> tuple[StartNotice, ...]:
        """Return what targets of a host have stated in responses that this daemon forwarded."""
        return self._notices.of(host)

    def hear(
        self, candidate: Candidate, notices: Sequence[StartNotice], *, asked_at: float
    ) -> None:
        """Record what a target has stated in a response, before that is forwarded.

        `asked_at` is when the call was sent to the host, by the timer service.
        """
        if self._notices.hear(candidate.host, notices, asked_at=asked_at):
            member = self._table.find(candidate.host)
            if member is not None:
                self._on_member_change(member)
        if candidate.max_rate < math.inf:
            candidate.opens_at = self._timers.now() + max(each.opens_in for each in notices)
        else:
            candidate.opens_at = 0.0

    def note_silent(self, candidate: Candidate) -> None:
        """Eject a host that does not respond, until its state is known."""
        self._record_failure(candidate, self._timers.now(), weight=_FAILURES_TO_EJECT)

    def end(
        self,
        candidate: Candidate,
        outcome: Answer | NotRun | OutcomeUnknown,
        load: float,
        mean_seconds: float = 0.0,
    ) -> None:
        """Record that a call to the host has ended.

        `load` and `mean_seconds` are what the host reported: calls per slot, negative if unknown,
        and the mean duration of a call, 0 if unknown.
        """
        candidate.outstanding -= 1
        now = self._timers.now()
        if load >= 0:
            candidate.reported_load = load
            candidate.reported_at = now
        if mean_seconds > 0:
            candidate.mean_seconds = mean_seconds
        match outcome:
            case NotRun(is_by_target=True):
                # The target may refuse only one kind of call, such as long uploads: no reason to
                # eject the host.
                self._record_failure_share(candidate, now)
            case NotRun(is_overload=True) | NotRun(is_barred=True) | Answer(is_nested_failure=True):
                return
            case NotRun() | OutcomeUnknown(is_silent=True):
                self._record_failure(candidate, now, weight=_FAILURES_TO_EJECT)
            case Answer(status=status) if status < 500:
                candidate.failures = 0
                candidate.ejections = 0
                candidate.failure_share *= 1 - _FAILURE_SMOOTHING
            case _:
                self._record_failure(candidate, now, weight=1)

    @staticmethod
    def _record_failure_share(candidate: Candidate, now: float) -> None:
        share = candidate.failure_share
        candidate.failure_share = share + _FAILURE_SMOOTHING * (1 - share)
        candidate.failed_at = now

    def _record_failure(self, candidate: Candidate, now: float, *, weight: int) -> None:
        candidate.failures += weight
        self._record_failure_share(candidate, now)
        if candidate.ejected_until > now:
            return
        if (
            candidate.failures >= _FAILURES_TO_EJECT
            or candidate.failure_share > _FAILURE_SHARE_TO_EJECT
        ):
            first, longest = _EJECTION_SECONDS
            seconds = min(longest, first * 2**candidate.ejections)
            candidate.ejected_until = now + seconds * self._seed.uniform(0.8, 1.2)
            candidate.ejections += 1
            candidate.failures = _FAILURES_TO_EJECT - 1
            # The host counts as healthy again after its ejection.
            candidate.failure_share = TOLERATED_FAILURE_SHARE


def trial_rank(host: str, key: bytes) -> bytes:
    """Return the rendezvous hash of a host for a key; the lowest one gets the trials of the key."""
    return hashlib.blake2b(host.encode(), key=key, digest_size=8).digest()


def _targets_by_service(member: Member) -> dict[str, list[TargetInfo]]:
    """Return the targets of a host by service; empty if the host is gone."""
    offered: dict[str, list[TargetInfo]] = {}
    for target in member.targets if member.is_present else ():
        offered.setdefault(target.service, []).append(target)
    return offered


def _mean_load(candidates: Sequence[Candidate], now: float) -> float:
    capacity = 0.0
    busy = 0.0
    for candidate in candidates:
        capacity += candidate.capacity
        busy += candidate.load(now) * candidate.capacity
    return busy / (capacity or 1.0)


def _average_mean_seconds(pool: Sequence[Candidate]) -> float:
    """Return the average mean duration of the candidates that reported one, or 1 if none did."""
    reported = [c.mean_seconds for c in pool if c.mean_seconds > 0]
    return sum(reported) / len(reported) if reported else 1.0


def _score(candidate: Candidate, now: float, warm_up: float, default_seconds: float) -> float:
    """Return the expected duration of one more call, including the wait until it may run.

    Calls are expected to queue from `_QUEUEING_LOAD` on, since they arrive unevenly and load
    reports are some milliseconds old.  Each call that a target fails costs a second attempt, even
    if the target looks idle and fast.  Failures decay with time, so that the target gets calls
    again.
    """
    effective_slots = max(0.1, candidate.slots * candidate.warm_up_factor(now, warm_up))
    load = (candidate.load(now) * candidate.slots + 1) / effective_slots
    effective_load = load + max(0.0, load - _QUEUEING_LOAD) * _QUEUEING_WEIGHT
    failure_share = candidate.recent_failure_share(now)
    success_share = (
        max(_MIN_SUCCESS_SHARE, 1 - failure_share)
        if failure_share > TOLERATED_FAILURE_SHARE
        else 1.0
    )
    seconds = (candidate.mean_seconds or default_seconds) * (1 + effective_load)
    return (seconds + max(0.0, candidate.opens_at - now)) / success_share
