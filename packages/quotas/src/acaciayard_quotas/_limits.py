"""Derives the token bucket limits of a workspace's seats from its cap.

The cap of a workspace is sharded into seats. Each seat is a token bucket that one daemon owns.
"""

from __future__ import annotations

import math
from typing import Final

from attrs import frozen

from acaciayard_resources import Workspace

__all__ = ["MAX_TOKEN_TTL", "CapRules", "SeatLimit", "limit_of"]

#: Most seats of a workspace, each owned by a different daemon. With five, the loss of one owner
#: leaves four fifths of the cap until the seat has a new owner. More seats need more requests when
#: a workspace is close to its cap.
_MAX_SEATS: Final = 5
#: Tokens that each seat should be able to hold. A workspace with few tokens has fewer seats, as its
#: tokens would otherwise be divided too finely.
_MIN_SEAT_DEPTH: Final = 2.0
#: Share of the tolerated excess that a workspace may use for bursts, so that clustered calls below
#: the cap are not refused. The rest covers retries, and daemons that briefly disagree on who owns a
#: seat.
_BURST_TOLERANCE_SHARE: Final = 0.7
#: Seconds of calls at its rate that a workspace may make at once, where the tolerated excess is
#: smaller.
_MIN_BURST_SECONDS: Final = 0.25
#: Longest TTL of a granted token, in seconds; a new owner of a seat waits as long before granting.
MAX_TOKEN_TTL: Final = 0.5
#: Shortest TTL of a granted token, in seconds; a response from another failure domain takes some
#: milliseconds.
_MIN_TOKEN_TTL: Final = 0.1
#: Share of a seat's tokens that may be held by other daemons while it grants at its full rate.
_MAX_HELD_SHARE: Final = 0.5


@frozen
class CapRules:
    """How far the calls of a workspace may exceed its cap, over all daemons together."""

    #: Length in seconds of the window over which calls are counted.
    window: float = 5.0
    #: Tolerated excess as a share of the cap.
    overshoot: float = 0.1
    #: Tolerated excess in calls, in addition to `overshoot`.
    slack: float = 20.0

    def bound(self, workspace: Workspace) -> float:
        """The most calls that a workspace may make in one window."""
        cap = workspace.calls_per_second * self.window + workspace.burst
        return cap * (1 + self.overshoot) + self.slack


@frozen
class SeatLimit:
    """Token bucket parameters of one seat of a workspace."""

    #: Seats of the workspace.
    seats: int
    #: Refill rate in tokens a second.
    rate: float
    #: Most tokens that may exist at one time, including those granted to other daemons.
    depth: float
    #: Seconds after which a granted token expires.
    ttl: float


def limit_of(workspace: Workspace, rules: CapRules) -> SeatLimit:
    """Compute the limit of each seat of a workspace that has a cap.

    Calls are counted over a window. The calls allowed in one window, including the burst, are
    spread evenly over it, so that a workspace at its cap is served in every second; clustered calls
    use the tolerated excess. In any window the seats together allow at most the tokens they hold at
    its start plus those added during it: `depth + rate * window`.
    """
    cap = workspace.calls_per_second * rules.window + workspace.burst
    tolerance = _BURST_TOLERANCE_SHARE * (rules.overshoot * cap + rules.slack)
    depth = max(1.0, tolerance, workspace.calls_per_second * _MIN_BURST_SECONDS)
    seats = max(1, min(_MAX_SEATS, math.floor(depth / _MIN_SEAT_DEPTH)))
    rate = max(0.0, cap + tolerance - depth) / rules.window / seats
    ttl = min(MAX_TOKEN_TTL, max(_MIN_TOKEN_TTL, _MAX_HELD_SHARE * depth / seats / max(rate, 1e-9)))
    return SeatLimit(seats, rate, depth / seats, ttl)
