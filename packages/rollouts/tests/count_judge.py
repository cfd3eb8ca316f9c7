"""The rejected way of judging versions, for comparison: a fixed count and a fixed share."""

from __future__ import annotations

from typing import Final

from acaciayard_rollouts import MIN_BASE_ANSWERS, Evidence, Judge, Regression, slow_bucket


class CountJudge(Judge):
    """Condemns a version after a fixed number and share of bad answers."""

    _BAD: Final = 10
    _SHARE: Final = 0.1

    def regression(self, evidence: Evidence) -> Regression | None:
        for route, pair in evidence.routes.items():
            new = pair.new
            if new.bad >= self._BAD and new.bad > self._SHARE * new.answers:
                return Regression("failures", route, new.bad, new.answers, self._SHARE)
            if sum(pair.base.times) < MIN_BASE_ANSWERS:
                continue
            slow = sum(pair.new.times[slow_bucket(pair.base) :])
            if slow >= self._BAD and slow > self._SHARE * sum(new.times):
                return Regression("slow", route, slow, new.answers, self._SHARE)
        return None
