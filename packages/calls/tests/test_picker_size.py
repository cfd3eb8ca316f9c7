"""The choice of a host among hundreds: as cheap as among a dozen, and as even.

161 targets in six failure domains are those of the largest deployment known; each of its hosts
looked at all of them for each call.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter

from call_rig import router

from acaciayard_membership import MEMBER_CODEC, Member, MemberTable, TargetInfo
from acaciayard_resources import Route, Service
from acaciayard_routing import Picker
from acaciayard_timers import ManualTimers

ROUTES = router(Service(name="a"), Route(name="r", service="a", idempotent=True))
DOMAINS = 6
#: Hosts that one choice may look at.
MOST_LOOKED_AT = 24


def host_of(number: int) -> Member:
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
        self.table = MemberTable(host_of(0), self.timers)
        self.picker = Picker(table=self.table, timers=self.timers, seed=random.Random(3))
        plan = ROUTES.match(host="h", path="/x", method="GET")
        assert plan is not None
        self.plan = plan

    def meet(self, count: int) -> None:
        for number in range(1, count):
            self.table.merge(MEMBER_CODEC.encode(host_of(number)))

    def pick(self, avoid: set[str] | None = None) -> str | None:
        candidate = self.picker.pick(self.plan, ROUTES, avoid=avoid or ())
        return candidate.host if candidate is not None else None

    def test_a_choice_looks_at_few_hosts_at_any_size(self) -> None:
        for count in (4, 13, 40, 161, 560):
            with self.subTest(count=count):
                self.meet(count)
                looked_at = self.picker._services["a"].sample(random.Random(1))
                self.assertLessEqual(len(looked_at), min(count, MOST_LOOKED_AT))
                self.assertTrue(any(c.domain == "d0" for c in looked_at))

    def test_all_hosts_of_the_own_domain_get_their_share(self) -> None:
        self.meet(161)
        picks = Counter(self.pick() for _ in range(5400))
        near = [f"h{number}" for number in range(0, 161, DOMAINS)]
        self.assertEqual(set(picks), set(near))
        even = 5400 / len(near)
        self.assertLess(max(picks.values()), 1.4 * even)
        self.assertGreater(min(picks.values()), 0.6 * even)

    def test_load_beyond_the_domain_goes_to_all_others(self) -> None:
        self.meet(161)
        for number in range(0, 161, DOMAINS):
            candidate = self.picker.candidate("a", f"h{number}")
            assert candidate is not None
            candidate.reported_load, candidate.reported_at = 2.0, self.timers.now()
        picks = Counter(self.pick() for _ in range(6000))
        self.assertGreater(len(picks), 130)

    def test_the_last_host_that_is_left_is_found(self) -> None:
        self.meet(161)
        avoid = {f"h{number}" for number in range(161)} - {"h77"}
        self.assertEqual({self.pick(avoid) for _ in range(20)}, {"h77"})

    def test_a_host_that_has_gone_is_not_chosen(self) -> None:
        self.meet(40)
        for number in range(1, 40):
            if number != 7:
                gone = host_of(number).with_changes(sequence=2, targets=())
                self.table.merge(MEMBER_CODEC.encode(gone))
        self.assertLessEqual({self.pick() for _ in range(50)}, {"h0", "h7"})


if __name__ == "__main__":
    unittest.main()
