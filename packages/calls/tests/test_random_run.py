"""A short run with random faults; `acaciayard-bench random` does longer ones."""

from __future__ import annotations

import os
import unittest

from acaciayard_standins import random_run


class RandomRunTest(unittest.TestCase):
    def test_guarantees_hold_under_random_faults(self) -> None:
        seed = int(os.environ.get("ACACIAYARD_SEED", "1"))
        verdict = random_run(seed=seed, seconds=20.0)
        self.assertEqual(verdict.broken, ())
        self.assertGreater(verdict.outcomes.get("answer", 0), 100)
