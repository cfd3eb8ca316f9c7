"""How long a call may wait for a slot, what nested calls inherit, and when to retry."""

from __future__ import annotations

import math
import random
from typing import Final

from attrs import evolve

from acaciayard_callmodel import Call, NotRun
from acaciayard_routing import Plan

__all__ = ["nested", "start_by", "with_spread_retry"]

#: Share of a call's latency goal, counted from the first request of its caller, for which the call
#: waits for a slot, by priority class.  After longer waits most calls would miss their goal, and
#: would use the slots of calls that could meet it.  In overloaded deployments, 0.4 in place of 0.25
#: for the lowest class lowered the value of the answered calls by 0.02 of its maximum, and 0.5 in
#: place of 0.3 for the higher classes lowered it by 0.01 to 0.04.
_WAIT_SHARES: Final = (0.3, 0.3, 0.25)

#: Share of that time for which a call waits if its connection is backlogged.
_BACKLOGGED_WAIT_SHARE: Final = 0.5
#: Range of the Retry-After of a call that is refused for overload, as a share of the time left to
#: its deadline.  A short burst is over by then, and the range spreads the retries of calls that are
#: refused together.  Earlier retries compete with calls that can still meet their latency goal:
#: from a tenth on, calls within their goal fell from 92 to 91 in 100 with slots missing for one
#: call in ten.
_RETRY_AFTER_SHARES: Final = (0.2, 0.33)


def start_by(plan: Plan, first_sent: float, *, is_backlogged: bool = False) -> float:
    """Latest useful start of a call; in the past for a retry that cannot meet its latency goal.

    A gate admits such a call only if a slot is free and no other call waits for it.  A call of a
    backlogged connection waits less long, so that such connections leave room in the queues.
    """
    if plan.latency_goal <= 0:
        return math.inf
    share = _WAIT_SHARES[plan.priority]
    if is_backlogged:
        share *= _BACKLOGGED_WAIT_SHARE
    return first_sent + plan.latency_goal * share


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


def with_spread_retry(refusal: NotRun, *, remaining: float, seed: random.Random) -> NotRun:
    """The refusal with a random retry delay, so that refused callers retry spread out.

    `remaining` is the time to the deadline in seconds.  The delay is at most a third of it, since
    callers do not wait longer.
    """
    seconds = max(0.0, remaining) * seed.uniform(*_RETRY_AFTER_SHARES)
    return evolve(refusal, retry_after=max(refusal.retry_after, seconds))
