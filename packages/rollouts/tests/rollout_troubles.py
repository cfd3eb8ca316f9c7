"""Simulated faults of a version, and disturbances that affect both versions."""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import frozen

from acaciayard_rollouts import Side

#: Targets of each version, as many as on the first deployment with rollout orders.
TARGETS = 70


@frozen
class Call:
    """The properties of a call that determine its result."""

    #: Name of its route.
    route: str
    #: Number of its target.
    target: int
    #: Version that it goes to.
    side: Side
    #: Seconds since the order.
    age: float
    #: Share of all calls that currently go to the new version.
    new_share: float


@frozen
class CallResult:
    """The result of a call."""

    #: Whether the call fails.
    is_bad: bool = False
    #: Factor by which it takes longer.
    slowdown: float = 1.0
    #: Whether the version caused this, so that it counts as a bad answer.
    is_caused_by_version: bool = False


#: A fault of a version, or a disturbance, that determines the result of a call.
Fault = Callable[[Call, random.Random], CallResult]
GOOD_RESULT = CallResult()


def _bad(share: float, *, since: float = 0.0, load: float = 0.0, route: str = "") -> Fault:
    """A new version that fails a share of its calls."""

    def result_of(call: Call, seed: random.Random) -> CallResult:
        applies = call.side is Side.NEW and call.age >= since and call.new_share >= load
        applies = applies and call.route.startswith(route)
        return (
            CallResult(True, is_caused_by_version=True)
            if applies and seed.random() < share
            else GOOD_RESULT
        )

    return result_of


def _slow(share: float, factor: float, *, load: float = 0.0) -> Fault:
    """A new version that answers a share of its calls more slowly by a factor."""

    def result_of(call: Call, seed: random.Random) -> CallResult:
        applies = call.side is Side.NEW and call.new_share >= load
        applies = applies and seed.random() < share
        return CallResult(slowdown=factor, is_caused_by_version=True) if applies else GOOD_RESULT

    return result_of


def _failing_targets(call: Call, seed: random.Random) -> CallResult:
    """One target in seven, of either version, fails nearly half of its calls."""
    return CallResult(call.target % 7 == 0 and seed.random() < 0.45)


def _slow_targets(call: Call, _seed: random.Random) -> CallResult:
    return CallResult(slowdown=5.0 if call.target % 6 == 0 else 1.0)


def _cold_targets(call: Call, _seed: random.Random) -> CallResult:
    """New targets start over the first three seconds, and each is slow for three seconds."""
    started_at = 3.0 * call.target / TARGETS
    return CallResult(
        slowdown=2.0 if call.side is Side.NEW and call.age < started_at + 3.0 else 1.0
    )


def _traffic_peak(call: Call, seed: random.Random) -> CallResult:
    """All calls take longer for three seconds, and one in ten fails."""
    is_peak = 5.0 <= call.age < 8.0
    return CallResult(is_peak and seed.random() < 0.1, slowdown=3.0 if is_peak else 1.0)


def _lost_hosts(call: Call, seed: random.Random) -> CallResult:
    """Half of the calls of one second fail."""
    return CallResult(6.0 <= call.age < 7.0 and seed.random() < 0.5)


def _lost_answers(_call: Call, seed: random.Random) -> CallResult:
    return CallResult(seed.random() < 0.025)


#: Bad versions by their fault.
BAD: dict[str, Fault] = {
    "fails 30 in 100": _bad(0.3),
    "fails 10 in 100": _bad(0.1),
    "fails all": _bad(1.0),
    "fails half from 6 s on": _bad(0.5, since=6.0),
    "fails 40 in 100 under load": _bad(0.4, load=0.5),
    "fails 60 in 100 on one route": _bad(0.6, route="file"),
    "40 in 100 are 4 times slower": _slow(0.4, 4.0),
    "half are 5 times slower under load": _slow(0.5, 5.0, load=0.5),
}
#: Disturbances during the rollout of a good version.
BACKGROUNDS: dict[str, Fault] = {
    "nothing": lambda _call, _seed: GOOD_RESULT,
    "cold new targets": _cold_targets,
    "failing targets of both": _failing_targets,
    "slow targets of both": _slow_targets,
    "a crowd": _traffic_peak,
    "lost hosts": _lost_hosts,
    "lost answers": _lost_answers,
}
