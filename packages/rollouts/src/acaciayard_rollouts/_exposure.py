"""Limits the calls sent to a version that is not proven yet."""

from __future__ import annotations

from attrs import define

__all__ = ["ExposureBudget"]


@define(eq=False)
class ExposureBudget:
    """Limits the calls of one daemon to a new version, without coordination.

    A call may go to the new version only while, including it, at most `share` of this daemon's
    answered calls since the order arrived have been sent there. The total over all daemons
    therefore respects the share under partitions, kills, delays and restarts: a restarted daemon
    counts both from zero, and the calls it has forgotten respected the share as well. The fixed
    number of calls that operators allow in addition is not used.

    Example:
        budget = ExposureBudget(share=0.1)
        if budget.has_room:
            budget.spend()          # a call is sent to the new version
        budget.note_answer()        # a call to either version has been answered
    """

    #: Greatest share of calls that may go to the new version.
    share: float
    #: Calls sent to the new version.
    spent: int = 0
    #: Calls to either version that a target has answered.
    total: int = 0

    @property
    def has_room(self) -> bool:
        """Whether one more call may go to the new version."""
        return self.spent + 1 <= self.share * self.total

    def spend(self) -> None:
        """Count a call sent to the new version."""
        self.spent += 1

    def give_back(self) -> None:
        """Uncount a call that was refused before any target received it."""
        self.spent -= 1

    def note_answer(self) -> None:
        """Count a call that a target has answered."""
        self.total += 1
