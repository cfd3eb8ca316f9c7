"""Tests of deltas between documents."""

from __future__ import annotations

import json
import unittest

import hypothesis
from hypothesis import strategies

from acaciayard_hosted._delta import DeltaError, apply_delta, make_delta

pieces = strategies.lists(strategies.sampled_from([b"a", b"bb", b"}", b"{x}", b"", b"}}"]))


def document(routes: int, changed: int = -1) -> bytes:
    return json.dumps(
        {
            "version": f"{changed + 7:08x}",
            "routes": [
                {"name": f"r-{n}", "prefix": f"/p{n}/", "ms": 700 if n == changed else 500}
                for n in range(routes)
            ],
        }
    ).encode()


class DeltaTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(pieces, pieces)
    def test_delta_restores_the_later_document(self, one: list[bytes], other: list[bytes]) -> None:
        earlier, later = b"".join(one), b"".join(other)
        self.assertEqual(apply_delta(earlier, make_delta(earlier, later)), later)

    def test_one_changed_route_among_many_is_small(self) -> None:
        earlier, later = document(1600), document(1600, changed=800)
        delta = make_delta(earlier, later)
        self.assertEqual(apply_delta(earlier, delta), later)
        self.assertLess(len(delta), 250)

    def test_malformed_delta_is_rejected(self) -> None:
        earlier = document(10)
        for delta in (b"", b"x" * 40, make_delta(document(500), document(500, changed=3))):
            with self.subTest(delta[:10]), self.assertRaises(DeltaError):
                apply_delta(earlier, delta)
