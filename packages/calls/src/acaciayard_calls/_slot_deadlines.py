"""How long a call may wait for a slot, and what a call for another one inherits."""

from __future__ import annotations

import math
from typing import Final

from acaciayard_callmodel import Call
from acaciayard_routing import Plan

__all__ = ["nested", "start_by"]

#: Share of a call's latency goal, counted from when its caller asked first, for which a slot is
#: worth waiting for, by priority class.  Beyond it most calls would be answered late, and take the
#: slots of calls that would not.  For the lowest class 0.4 in place of 0.25 earned overloaded
#: deployments 0.02 less of what they were owed; for the higher ones 0.5 in place of 0.3 earned 0.01
#: to 0.04 less.
_WAIT_SHARES: Final = (0.3, 0.3, 0.25)


def start_by(plan: Plan, first_asked: float) -> float:
    """Until when a slot is worth waiting for; in the past for a repeat that can only be late.

    Such a call is taken only where a slot is free that nobody waits for.
    """
    if plan.latency_goal <= 0:
        return math.inf
    return first_asked + plan.latency_goal * _WAIT_SHARES[plan.priority]


def nested(call: Call, parent: Call, *, is_full: bool) -> Call:
    """A call that a target makes for the call `parent` that it runs.

    Refusing it throws away the work that was done for the other one, whose slot it holds up: it
    goes first, and it may wait as long as its caller does.  Where `is_full`, others wait for that
    slot, so that it goes to the fastest host of all failure domains.
    """
    return call.with_changes(
        priority=0,
        start_by=math.inf,
        is_repeat=parent.is_repeat,
        prefers_fastest=is_full,
        workspace=parent.workspace,
        depth=parent.depth + 1,
    )
