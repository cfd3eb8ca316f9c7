"""How long a call may wait for a slot, and what nested calls inherit from their parent."""

from __future__ import annotations

import math
from typing import Final

from acaciayard_callmodel import Call
from acaciayard_routing import Plan

__all__ = ["nested", "start_by"]

#: Share of a call's latency goal, counted from the first request of its caller, for which the call
#: waits for a slot, by priority class.  After longer waits most calls would miss their goal, and
#: would use the slots of calls that could meet it.  In overloaded deployments, 0.4 in place of 0.25
#: for the lowest class lowered the value of the answered calls by 0.02 of its maximum, and 0.5 in
#: place of 0.3 for the higher classes lowered it by 0.01 to 0.04.
_WAIT_SHARES: Final = (0.3, 0.3, 0.25)


def start_by(plan: Plan, first_sent: float) -> float:
    """Latest useful start of a call; in the past for a retry that cannot meet its latency goal.

    A gate admits such a call only if a slot is free and no other call waits for it.
    """
    if plan.latency_goal <= 0:
        return math.inf
    return first_sent + plan.latency_goal * _WAIT_SHARES[plan.priority]


def nested(call: Call, parent: Call, *, is_full: bool) -> Call:
    """A nested call, which a target makes while it runs the call `parent`.

    A refusal would waste the work done for the parent, which keeps its slot meanwhile.  A nested
    call therefore has the highest priority and may wait until its deadline.  If `is_full`, other
    calls wait for the parent's slot, so that it goes to the fastest host of all failure domains.
    """
    return call.with_changes(
        priority=0,
        start_by=math.inf,
        is_repeat=parent.is_repeat,
        prefers_fastest=is_full,
        workspace=parent.workspace,
        depth=parent.depth + 1,
    )
