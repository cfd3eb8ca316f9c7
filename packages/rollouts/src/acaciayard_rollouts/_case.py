"""Leader-side state of one rollout that is not shared with all daemons."""

from __future__ import annotations

from attrs import define, field

from ._fleet import MemberStart
from ._states import Phase, RolloutReport

__all__ = ["RolloutCase"]


@define(eq=False)
class RolloutCase:
    """State of a rollout that only the conductor keeps."""

    #: Latest report of each process lifetime of a daemon.
    reports: dict[MemberStart, RolloutReport] = field(factory=dict)
    #: Daemons that send no calls to the old version and have none running there, with the time of
    #: their last report.
    drained: dict[MemberStart, float] = field(factory=dict)
    #: When all calls were moved, as far as this daemon knows; 0 if it doesn't know.
    full_since: float = 0.0
    #: Phase last known to be in the store.
    written: Phase | None = None
    #: Final phase that the store acknowledged, even if the store has lost it since.
    acknowledged: Phase | None = None

    def adopt(self, earlier: RolloutCase) -> None:
        """Merge the state that was kept under the order's position in an earlier era."""
        for start, report in earlier.reports.items():
            self.record_report(start, report)
        for start, when in earlier.drained.items():
            self.drained[start] = max(when, self.drained.get(start, when))
        self.full_since = earlier.full_since or self.full_since
        self.acknowledged = earlier.acknowledged or self.acknowledged

    def record_report(self, start: MemberStart, report: RolloutReport) -> None:
        """Keep the report with the highest counts of each process lifetime, as counts only grow."""
        previous = self.reports.get(start)
        if previous is None or report.total + report.spent >= previous.total + previous.spent:
            self.reports[start] = report
