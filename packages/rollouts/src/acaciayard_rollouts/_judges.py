"""Decides whether a new version is worse than the one that ran before.

Both versions are compared by route, over the same time and through the same daemons. Problems that
affect both alike, such as a traffic peak, a lost link, or one target in seven that fails a share of
its calls, therefore condemn neither.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import Final

from attrs import frozen

from ._evidence import BUCKETS, Evidence, RouteEvidence, SideCounts, bucket_start

__all__ = [
    "MIN_BASE_ANSWERS",
    "Judge",
    "Regression",
    "SequentialJudge",
    "slow_after",
    "slow_bucket",
]

#: Odds at which a version is rolled back. A good version reaches them at some moment of its trial
#: in one order of a thousand for each test; users accept that at most one in a hundred is rolled
#: back.
_ROLLBACK_ODDS: Final = 1000.0
#: Share of failures, beyond twice that of the old version, that is attributed to chance: targets of
#: either version terminate, lose answers, and are replaced.
_FAILURE_TOLERANCE: Final = 0.02
#: Quantile of the old version's latencies beyond which an answer is slow. Most answers of a version
#: that is several times slower are beyond it.
_SLOW_QUANTILE: Final = 0.9
#: Share of slow answers that is attributed to chance: one in ten before is rarely exactly one in
#: ten among a few dozen answers, and single targets are slow.
_SLOW_TOLERANCE: Final = 0.10
#: Answers of the old version required to know its latencies.
MIN_BASE_ANSWERS: Final = 40
#: Shares of bad answers that a bad version may have, with equal prior probability.
_SUSPECTED_SHARES: Final = (0.08, 0.15, 0.25, 0.4, 0.6, 0.85)
#: Failures after which a direct comparison of shares suffices. Within seconds of its fiftieth bad
#: answer a version must get no calls any more, however rarely it fails.
_DIRECT_MIN_FAILURES: Final = 25
_DIRECT_FACTOR: Final = 2.0
_DIRECT_TOLERANCE: Final = 0.01


@frozen
class Regression:
    """Why a version is rolled back, for logs and operators."""

    #: `failures` or `slow`.
    what: str
    #: Name of the route; empty for all routes together.
    route: str
    #: Bad answers of the new version, and all of its answers.
    bad: int
    answers: int
    #: Share of such answers that was attributed to chance.
    usual: float

    def __str__(self) -> str:
        """`failures on route 'a': 12 of 40, usual 0.02`."""
        where = f" on route {self.route!r}" if self.route else ""
        return f"{self.what}{where}: {self.bad} of {self.answers}, usual {self.usual:.3f}"


class Judge(ABC):
    """Compares the results of two versions."""

    @abstractmethod
    def regression(self, evidence: Evidence) -> Regression | None:
        """Return why the new version is bad, or `None` while nothing shows that it is."""


class SequentialJudge(Judge):
    """A sequential test of "fails more often than the old version" against "fails as often".

    The odds are averaged over several shares of bad answers, so that the failure rate of a bad
    version need not be known in advance. They may be checked after each answer: for a good version
    they reach 1,000 in at most one trial of 1,000, whatever the stopping rule.

    A single target does not condemn its version: failures must come from two targets, if there are
    two, and slow answers must exceed what one target can contribute.
    """

    def regression(self, evidence: Evidence) -> Regression | None:
        for route, pair in evidence.routes.items():
            found = self._failures(route, pair, evidence) or self._slow(route, pair, evidence)
            if found is not None:
                return found
        return None

    @staticmethod
    def _failures(route: str, pair: RouteEvidence, evidence: Evidence) -> Regression | None:
        new = pair.new
        if len(evidence.bad_hosts) < min(2, evidence.new_hosts):
            return None
        base_share = _share(pair.base)
        usual = 2 * base_share + _FAILURE_TOLERANCE
        is_direct_regression = new.bad > _DIRECT_MIN_FAILURES and new.bad / new.answers > (
            _DIRECT_FACTOR * base_share + _DIRECT_TOLERANCE
        )
        if is_direct_regression or _odds(new.bad, new.answers, usual) > _ROLLBACK_ODDS:
            return Regression("failures", route, new.bad, new.answers, usual)
        return None

    @staticmethod
    def _slow(route: str, pair: RouteEvidence, evidence: Evidence) -> Regression | None:
        if sum(pair.base.times) < MIN_BASE_ANSWERS:
            return None
        bucket = slow_bucket(pair.base)
        running_slow = sum(pair.new.running[bucket:])
        slow = sum(pair.new.times[bucket:]) + running_slow
        answers = sum(pair.new.times) + running_slow
        usual = _SLOW_TOLERANCE + 1 / max(1, evidence.new_hosts)
        base_share = sum(pair.base.times[bucket:]) / sum(pair.base.times)
        usual = max(usual, 2 * base_share)
        if _odds(slow, answers, usual) > _ROLLBACK_ODDS:
            return Regression("slow", route, slow, answers, usual)
        return None


def _share(counts: SideCounts) -> float:
    """Share of failures, estimated slightly above the observed one while there are few answers."""
    return (counts.bad + 0.5) / (counts.answers + 50)


def slow_bucket(base: SideCounts) -> int:
    """The first bucket whose answers are slow compared with the old version's."""
    left = _SLOW_QUANTILE * sum(base.times)
    for bucket, count in enumerate(base.times):
        left -= count
        if left <= 0:
            return min(BUCKETS - 1, bucket + 1)
    return BUCKETS - 1


def slow_after(base: SideCounts) -> float:
    """Seconds after which a call to the old version counts as slow; 0 if too little is known."""
    if sum(base.times) < MIN_BASE_ANSWERS:
        return 0.0
    return bucket_start(slow_bucket(base))


def _odds(bad: int, answers: int, usual: float) -> float:
    """Average odds of the suspected shares against `usual`, given the number of bad answers."""
    shares = [share for share in _SUSPECTED_SHARES if share > usual]
    if not bad or not shares:
        return 0.0
    good = answers - bad
    logs = [
        bad * math.log(share / usual) + good * math.log((1 - share) / (1 - usual))
        for share in shares
    ]
    largest = max(logs)
    if largest > 50:  # beyond any odds that matter
        return math.inf
    return sum(math.exp(log) for log in logs) / len(_SUSPECTED_SHARES)
