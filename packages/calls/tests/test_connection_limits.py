"""Limits on the calls in progress, and on how long calls of backlogged connections wait."""

from __future__ import annotations

import unittest

from call_harness import router

from acaciayard_calls._connection_limits import CallsInProgress, connection_limits
from acaciayard_calls._waits import start_by
from acaciayard_resources import PRIORITIES, Route, Service


class CallsInProgressTest(unittest.TestCase):
    # Guards against a process out of descriptors for connections to other daemons.
    def test_calls_leave_descriptors_to_others(self) -> None:
        for descriptors in (16, 512, 4096):
            with self.subTest(descriptors):
                limits = connection_limits(memory_mb=300, max_descriptors=descriptors)
                self.assertLess(limits.count + 2 * limits.calls, descriptors)

    # Guards against callers who send ahead and keep others from making any call.
    def test_further_calls_leave_half_to_others(self) -> None:
        calls = CallsInProgress(4)
        entered = [calls.enter(is_further=True) for _ in range(3)]
        self.assertEqual(entered, [True, True, False])
        entered = [calls.enter(is_further=False) for _ in range(3)]
        self.assertEqual(entered, [True, True, False])
        calls.enter_nested()
        self.assertEqual(calls.count, 5)
        calls.leave()
        calls.leave()
        self.assertTrue(calls.enter(is_further=False))


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
