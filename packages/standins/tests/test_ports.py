"""A port that a process is told before it starts is still free when it starts.

Seen once beside load: a port was looked for in the kernel's own range and let go of, and another
process had it before the one that was told it.
"""

from __future__ import annotations

import random
import socket
import subprocess
import sys
import unittest
from unittest import mock

from acaciayard_standins import claim_port

IP = "127.0.0.1"
CLAIM = """
import sys
from acaciayard_standins import claim_port
print(claim_port(sys.argv[1]), flush=True)
sys.stdin.read()
"""


def unused_address() -> str:
    """A loopback address at which nobody else has claimed or opened a port.

    At 127.0.0.1 other tests and processes claim hundreds, any of which a test may draw as free.
    """
    return f"127.{random.randint(200, 250)}.{random.randint(1, 254)}.{random.randint(1, 254)}"


class ClaimPortTest(unittest.TestCase):
    def test_the_kernel_gives_it_to_nobody(self) -> None:
        """All ports that the kernel gives out meanwhile are others, however many are asked for."""
        claimed = {claim_port(IP, udp=True) for _ in range(20)}
        held = []
        try:
            for _ in range(800):
                each = socket.socket()
                held.append(each)
                each.bind((IP, 0))
                self.assertNotIn(each.getsockname()[1], claimed)
        finally:
            for each in held:
                each.close()
        for port in claimed:
            with socket.socket() as server:
                server.bind((IP, port))

    def test_none_is_handed_out_twice(self) -> None:
        ports = [claim_port(IP) for _ in range(200)]
        self.assertEqual(len(set(ports)), len(ports))

    def test_what_another_process_has_claimed_is_passed_over(self) -> None:
        address = unused_address()
        with subprocess.Popen(
            [sys.executable, "-c", CLAIM, address],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        ) as other:
            assert other.stdout is not None
            theirs = int(other.stdout.readline())
            free = theirs + 1
            with mock.patch("random.SystemRandom.randint", side_effect=[theirs, free]):
                self.assertEqual(claim_port(address), free)

    def test_what_somebody_listens_at_is_passed_over(self) -> None:
        address = unused_address()
        with socket.socket() as busy:
            busy.bind((address, 0))
            busy.listen()
            taken = busy.getsockname()[1]
            free = taken + 1
            with mock.patch("random.SystemRandom.randint", side_effect=[taken, free]):
                self.assertEqual(claim_port(address), free)


if __name__ == "__main__":
    unittest.main()
