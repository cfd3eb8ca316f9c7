"""Folding of records, and when a version is put in force."""

from __future__ import annotations

import unittest

from acaciayard_resources import (
    START,
    FoldState,
    Invariants,
    Proposal,
    Put,
    Service,
    encode_record,
    fold,
    snapshot_of,
)
from acaciayard_spread import Holder


def record(number: int) -> bytes:
    put = Put(Service(name=f"s{number}"), 0)
    return encode_record(Proposal(f"c{number}", "tester", 0.0, (put,)))


RECORDS = [record(number) for number in range(6)]


class HolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.invariants = Invariants()
        self.holder = Holder(self.invariants)

    def test_gaps_and_repeated_records_are_ignored(self) -> None:
        self.assertEqual(self.holder.fold_records(1, RECORDS[1:3]), 0)
        self.assertEqual(self.holder.fold_records(0, RECORDS[:2]), 2)
        self.assertEqual(self.holder.fold_records(0, RECORDS[:2]), 0)
        self.assertEqual(self.holder.fold_records(1, RECORDS[1:4]), 2)
        self.assertEqual(self.holder.position, 4)

    def test_overlapping_batches_give_the_same_state(self) -> None:
        other = Holder(Invariants())
        for start, end in ((2, 4), (0, 3), (1, 2), (3, 6)):
            self.holder.fold_records(start, RECORDS[start:end])
        other.fold_records(0, RECORDS)
        self.assertEqual(self.holder.position, 6)
        self.assertEqual(self.holder.state.digest, other.state.digest)

    def test_no_version_is_in_force_below_the_floor_or_unconfirmed(self) -> None:
        self.holder.fold_records(0, RECORDS[:3])
        self.holder.confirm(3)
        self.assertIsNone(self.holder.in_force)
        self.holder.set_floor(4)
        self.assertIsNone(self.holder.in_force)
        self.holder.fold_records(3, RECORDS[3:5])
        self.assertIsNone(self.holder.in_force)
        self.holder.confirm(4)
        self.assertEqual(self.holder.in_force_version, 4)
        self.holder.confirm(2)
        self.assertEqual(self.holder.in_force_version, 4)
        self.holder.confirm(5)
        self.assertEqual(self.holder.in_force_version, 5)

    def test_different_records_at_one_position_are_detected(self) -> None:
        self.holder.fold_records(0, RECORDS[:3])
        different = fold(START, record(77))
        assert isinstance(different, FoldState)
        self.assertTrue(self.holder.matches_digest(3, self.holder.state.digest))
        self.assertFalse(self.holder.matches_digest(1, different.digest))
        self.assertEqual(self.invariants.violations["same_records"], 1)

    def test_snapshot_behind_the_state_is_not_installed(self) -> None:
        ahead = Holder(Invariants())
        ahead.fold_records(0, RECORDS[:5])
        snapshot = snapshot_of(ahead.state)
        self.assertTrue(self.holder.install_snapshot(snapshot))
        self.assertFalse(self.holder.install_snapshot(snapshot))
        self.assertEqual(self.holder.position, 5)
        self.assertIsNone(self.holder.records_from(3, 10))
        self.assertEqual(self.holder.records_from(5, 10), [])

    def test_changes_after_a_version_are_complete_or_unavailable(self) -> None:
        self.holder.fold_records(0, RECORDS[:4])
        changes = self.holder.changes_after(2)
        assert changes is not None
        self.assertEqual([change.version for change in changes], [3, 4])
        ahead = Holder(Invariants())
        ahead.fold_records(0, RECORDS)
        self.holder.install_snapshot(snapshot_of(ahead.state))
        self.assertIsNone(self.holder.changes_after(4))
        self.assertEqual(self.holder.changes_after(6), [])
