"""Processes that do not become ready: why they did not, and that none takes another one's port."""

from __future__ import annotations

import itertools
import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from acaciayard_standins import (
    HostPlan,
    MeshHost,
    ProcessError,
    StandInProcess,
    claim_port,
)

PORTS = range(10_000, 32_000)


class TargetPortTest(unittest.TestCase):
    def test_targets_of_two_hosts_never_get_the_same_port(self) -> None:
        """The second target ended at its start, as all targets listen at one address."""
        with tempfile.TemporaryDirectory() as folder:
            first = self.host(1, folder)
            taken = int(first.target_url.rpartition(":")[2])

            def claim(ip: str, *, udp: bool = False) -> int:
                """Draw the port of the first target before others, for the second target only."""
                if udp:
                    return claim_port(ip, udp=True)
                others = iter(lambda: random.choice(PORTS), None)
                draws = itertools.chain([taken], others)
                with mock.patch("random.SystemRandom.randint", side_effect=draws):
                    return claim_port(ip)

            with mock.patch("acaciayard_standins._mesh.claim_port", claim):
                second = self.host(2, folder)
        self.assertNotEqual(first.target_url, second.target_url)

    def host(self, number: int, folder: str) -> MeshHost:
        plan = HostPlan(f"host-{number}", "d", "a")
        return MeshHost(plan, f"127.19.0.{number}", Path(folder))


class ProcessErrorTest(unittest.TestCase):
    def error_of(self, code: str, *, within: float) -> str:
        process = StandInProcess("one", ["-c", code])
        process.start()
        try:
            with self.assertRaises(ProcessError) as raised:
                process.wait_for(lambda line: line.event == "ready", within=within)
        finally:
            process.kill()
        return str(raised.exception)

    def test_process_that_has_ended_is_told_from_one_that_is_slow(self) -> None:
        """Both were said not to have logged in time, so a taken port looked like a slow start."""
        ended = self.error_of("import sys; print('port taken'); sys.exit(3)", within=20.0)
        self.assertRegex(ended, r"^one has ended with status 3 [0-9.]+ s after its start")
        self.assertIn("port taken", ended)

    def test_process_that_is_slow_comes_with_what_it_has_used(self) -> None:
        slow = self.error_of("import time; time.sleep(60)", within=0.5)
        self.assertRegex(
            slow,
            r"^one did not log it within 0\.5 s; it runs since [0-9.]+ s:"
            r" state [A-Z], [0-9.]+ s of processor time, \d+ pages read from disk",
        )


if __name__ == "__main__":
    unittest.main()
