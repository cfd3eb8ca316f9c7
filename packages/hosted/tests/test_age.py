"""Tests of the age of a daemon's configuration."""

from __future__ import annotations

import unittest

from acaciayard_hosted._age import UNKNOWN_AGE, ConfigurationAge
from acaciayard_timers import ManualTimers


class ConfigurationAgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers(start=100.0)
        self.age = ConfigurationAge(self.timers)

    def test_unknown_before_the_first_answer(self) -> None:
        self.assertEqual(self.age.seconds, UNKNOWN_AGE)
        self.age.note_answer("peer 10.0.0.1", age_s=-0.001)
        self.assertEqual(self.age.seconds, UNKNOWN_AGE)

    def test_counts_from_the_newest_answer(self) -> None:
        self.age.note_answer("store")
        self.timers._now += 2.0
        self.age.note_answer("peer 10.0.0.1", age_s=0.5)
        self.age.note_answer("peer 10.0.0.2", age_s=1.5)
        self.assertEqual(self.age.seconds, 0.5)
        self.assertEqual(self.age.source, "peer 10.0.0.1")


if __name__ == "__main__":
    unittest.main()
