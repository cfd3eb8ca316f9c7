"""Caps over many daemons: calls within one window, and refusals below the cap.

Each scenario is a load that one mechanism handles; the design note has the tables of all of them.
"""

from __future__ import annotations

import unittest

from quota_model import LARGE, MIDDLE, SCENARIOS, SMALL, Outcome, Scenario, simulate, worst_of

CAPS = (LARGE, MIDDLE, SMALL)
#: Length of a scenario in seconds; its events are over by then.
SECONDS = 20.0


def find_scenario(name: str) -> Scenario:
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


class CapsMeshTest(unittest.TestCase):
    def simulate(self, name: str) -> Outcome:
        """Run a scenario and check that no window exceeds its bound."""
        scenario = find_scenario(name)
        outcome = simulate(scenario, seed=11, seconds=SECONDS)
        self.assertLessEqual(worst_of(scenario, outcome), 1.0)
        return outcome

    def refused_share(self, outcome: Outcome) -> float:
        """Share of all calls below their caps that were refused."""
        refused = sum(outcome.refused_share(cap.name) * outcome.allowed[cap.name] for cap in CAPS)
        return refused / sum(outcome.allowed.values())

    def test_calls_below_the_cap_are_not_refused(self) -> None:
        for name in ("calm", "calm, words lost and late", "calm, a third refused elsewhere"):
            with self.subTest(name):
                self.assertLessEqual(self.refused_share(self.simulate(name)), 0.001)

    def test_overloaded_workspace_gets_its_cap_and_no_more(self) -> None:
        outcome = self.simulate("hot")
        self.assertGreater(len(outcome.refused["large"]), 1000)
        self.assertLessEqual(self.refused_share(outcome), 0.03)

    def test_killing_seat_owners_refuses_few_calls(self) -> None:
        self.assertLessEqual(self.refused_share(self.simulate("holders killed, calm")), 0.01)

    def test_many_isolated_daemons_stay_below_the_bound(self) -> None:
        self.simulate("a third cut off each for itself, hot")

    def test_two_sides_of_a_partition_stay_below_the_bound(self) -> None:
        outcome = self.simulate("two halves, hot")
        self.assertLessEqual(self.refused_share(outcome), 0.35)

    def test_service_resumes_after_a_restart_of_all_daemons(self) -> None:
        """Startup takes 0.6 s, and tokens that surviving daemons may hold expire after 0.5 s."""
        self.assertLessEqual(
            self.refused_share(self.simulate("all killed at once, calm")), 1.4 / SECONDS
        )

    def test_lowered_cap_is_enforced(self) -> None:
        self.simulate("cap lowered, hot")

    def test_new_daemons_take_over_seats(self) -> None:
        self.assertLessEqual(self.refused_share(self.simulate("sixteen join, hot")), 0.05)


if __name__ == "__main__":
    unittest.main()
