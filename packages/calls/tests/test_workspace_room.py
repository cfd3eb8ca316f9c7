"""Callers of many workspaces compete for the slots of one service.

The demand of twenty workspaces together nearly fills the slots; one of them then exceeds its usual
rate several times.  Only this workspace may lose calls for the excess.
"""

from __future__ import annotations

import unittest
from typing import Final
from unittest import mock

from load import CallClass, Load, Outcome, Target
from load_model import run_load

from acaciayard_admission._fair_queue import FairQueue

#: Calls per second of one workspace; 20 of them occupy nine tenths of 18 slots.
_USUAL_RATE: Final = 4.0
_WORKSPACES: Final = 20
_HOT_WORKSPACE: Final = "w0"


def workspace_load(hot_factor: float) -> Load:
    """Returns the load with one workspace at `hot_factor` times its usual rate."""
    classes = tuple(
        CallClass(
            name=f"w{number}",
            workspace=f"w{number}",
            rate=_USUAL_RATE * (hot_factor if f"w{number}" == _HOT_WORKSPACE else 1.0),
            service_time=0.2,
            latency_goal=0.8,
            deadline=2.4,
            retries=1,
        )
        for number in range(_WORKSPACES)
    )
    targets = tuple(Target(f"t{n}", "abc"[n], "first", 6) for n in range(3))
    return Load(targets=targets, classes=classes, seconds=8.0)


def utilities_of_others(outcome: Outcome) -> list[float]:
    """Returns the utility of each workspace that stays at its usual rate."""
    return [t.utility for name, t in outcome.tallies.items() if name != _HOT_WORKSPACE]


class WorkspaceRoomTest(unittest.TestCase):
    def test_excess_demand_of_one_workspace_hardly_affects_the_others(self) -> None:
        """At 7.5 times its usual rate the workspace demands more than a quarter of all slots."""
        undisturbed = utilities_of_others(run_load(workspace_load(1.0), seed=3))
        disturbed = utilities_of_others(run_load(workspace_load(7.5), seed=3))
        self.assertGreater(
            sum(disturbed) / len(disturbed), sum(undisturbed) / len(undisturbed) - 0.08
        )
        self.assertGreater(sorted(disturbed)[1], 0.75)

    def test_single_queue_lets_one_workspace_displace_the_others(self) -> None:
        """The same load with the calls of all workspaces in a single queue."""
        with mock.patch.object(FairQueue, "append", _append_to_single_queue):
            disturbed = utilities_of_others(run_load(workspace_load(7.5), seed=3))
        self.assertLess(sum(disturbed) / len(disturbed), 0.9)


_append = FairQueue.append


def _append_to_single_queue(self: FairQueue, waiter: object) -> None:
    waiter.workspace = ""  # type: ignore[attr-defined]
    _append(self, waiter)


if __name__ == "__main__":
    unittest.main()
