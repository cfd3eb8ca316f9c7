"""The promises that a daemon checks of itself while it runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from enum import Enum

from ._checks import check
from ._configuration import Configuration

__all__ = ["Invariant", "Invariants"]


class Invariant(Enum):
    """A promise."""

    #: No daemon moves to an older version than one it has run.
    NEVER_BACK = "never_back"
    #: No route points at a service that the configuration does not hold.
    NO_DANGLING_ROUTE = "no_dangling_route"
    #: Two daemons that hold one position hold the same records.
    SAME_RECORDS = "same_records"
    #: A call that was refused as not run was not sent to a target.
    NOT_RUN_IS_TRUE = "not_run_is_true"


class Invariants:
    """Counts violations; any count but zero is a fault of the program."""

    def __init__(self) -> None:
        self._violations: Counter[Invariant] = Counter()

    @property
    def violations(self) -> Mapping[str, int]:
        """How often each promise was found broken."""
        return {invariant.value: self._violations[invariant] for invariant in Invariant}

    def expect(self, holds: bool, invariant: Invariant) -> bool:
        """Count a violation unless `holds`; returns `holds`."""
        if not holds:
            self._violations[invariant] += 1
        return holds

    def expect_step(self, before: Configuration | None, after: Configuration) -> bool:
        """Check a move from one configuration in force to the next one."""
        forward = before is None or after.version >= before.version
        return self.expect(forward, Invariant.NEVER_BACK) and self.expect(
            not check(after), Invariant.NO_DANGLING_ROUTE
        )
