"""The choice of a host among hundreds is as cheap and as even as among a dozen.

The largest known deployment has 161 targets in six failure domains.  The tests guard against a
picker that examines all of them for every call.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter

from call_harness import router

from acaciayard_membership import MEMBER_CODEC, Member, MemberTable, TargetInfo
from acaciayard_resources import Route, Service
from acaciayard_routing import Picker
from acaciayard_timers import ManualTimers

ROUTES = router(Service(name="a"), Route(name="r", service="a", idempotent=True))
DOMAINS = 6
#: Number of hosts that one choice may examine.
MAX_SAMPLED_HOSTS = 24


def member_of(number: int) -> Member:
    return Member(
        host=f"h{number}",
        incarnation=1,
        sequence=1,
        state=0,
        domain=f"d{number % DOMAINS}",
        ip=f"10.0.{number // 250}.{number % 250 + 1}",
        control_port=1,
        call_port=2,
        api_port=3,
        targets=(TargetInfo("a", f"t{number}", 4),),
    )


class PickerSizeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.table = MemberTable(member_of(0), self.timers)
        self.picker = Picker(table=self.table, timers=self.timers, seed=random.Random(3))
        plan = ROUTES.match(host="h", path="/x", method="GET")
        assert plan is not None
        self.plan = plan

    def add_hosts(self, count: int) -> None:
        for number in range(1, count):
            self.table.merge(MEMBER_CODEC.encode(member_of(number)))

    def pick(self, avoid: set[str] | None = None) -> str | None:
        candidate = self.picker.pick(self.plan, ROUTES, avoid=avoid or ())
        return candidate.host if candidate is not None else None

    def test_choice_samples_few_hosts_at_any_mesh_size(self) -> None:
        for count in (4, 13, 40, 161, 560):
            with self.subTest(count=count):
                self.add_hosts(count)
                sampled = self.picker._services["a"].sample(random.Random(1))
                self.assertLessEqual(len(sampled), min(count, MAX_SAMPLED_HOSTS))
                self.assertTrue(any(c.domain == "d0" for c in sampled))

    def test_calls_spread_evenly_over_the_local_domain(self) -> None:
        self.add_hosts(161)
        picks = Counter(self.pick() for _ in range(5400))
        local_hosts = [f"h{number}" for number in range(0, 161, DOMAINS)]
        self.assertEqual(set(picks), set(local_hosts))
        mean = 5400 / len(local_hosts)
        self.assertLess(max(picks.values()), 1.4 * mean)
        self.assertGreater(min(picks.values()), 0.6 * mean)

    def test_spilled_load_spreads_over_all_other_domains(self) -> None:
        self.add_hosts(161)
        for number in range(0, 161, DOMAINS):
            candidate = self.picker.candidate("a", f"h{number}")
            assert candidate is not None
            candidate.reported_load, candidate.reported_at = 2.0, self.timers.now()
        picks = Counter(self.pick() for _ in range(6000))
        self.assertGreater(len(picks), 130)

    def test_only_remaining_host_is_found(self) -> None:
        self.add_hosts(161)
        avoid = {f"h{number}" for number in range(161)} - {"h77"}
        self.assertEqual({self.pick(avoid) for _ in range(20)}, {"h77"})

    def test_host_without_targets_is_not_chosen(self) -> None:
        self.add_hosts(40)
        for number in range(1, 40):
            if number != 7:
                without_targets = member_of(number).with_changes(sequence=2, targets=())
                self.table.merge(MEMBER_CODEC.encode(without_targets))
        self.assertLessEqual({self.pick() for _ in range(50)}, {"h0", "h7"})


if __name__ == "__main__":
    unittest.main()
