"""How long calls of backlogged connections wait."""

from __future__ import annotations

import unittest

from call_harness import router

from acaciayard_calls._waits import start_by
from acaciayard_resources import PRIORITIES, Route, Service


class BackloggedTest(unittest.TestCase):
    # Guards against queues that callers who send ahead keep full.
    def test_calls_of_backlogged_connections_wait_less_long(self) -> None:
        for priority in PRIORITIES:
            route = Route(name="all", service="a", path="/", latency_goal_ms=400, priority=priority)
            plan = router(Service(name="a"), route).match(host="h", path="/x", method="GET")
            assert plan is not None
            usual = start_by(plan, 10.0)
            self.assertLess(10.0, usual)
            self.assertAlmostEqual(start_by(plan, 10.0, is_backlogged=True), 10 + (usual - 10) / 2)


if __name__ == "__main__":
    unittest.main()
