"""Acceptance by the order of the log."""

from __future__ import annotations

import unittest

import msgpack

from acaciayard_resources import (
    START,
    Deletion,
    FoldState,
    Held,
    Proposal,
    Put,
    Resource,
    ResourceKey,
    Route,
    Service,
    decode_record,
    encode_record,
    fold,
    restore,
    snapshot_of,
)


def proposal(change_id: str, *puts: Put, deletions: tuple[Deletion, ...] = ()) -> bytes:
    return encode_record(Proposal(change_id, "tester", 0.0, puts, deletions))


def fold_all(state: FoldState, *records: bytes) -> FoldState:
    for record in records:
        after = fold(state, record)
        assert isinstance(after, FoldState)
        state = after
    return state


SERVICE = Put(Service(name="novero"), 0)
ROUTE = Put(Route(name="histories", service="novero"), 0)


class AcceptanceTest(unittest.TestCase):
    def test_accepted_change_makes_a_version(self) -> None:
        state = fold_all(START, proposal("a", SERVICE, ROUTE))
        self.assertEqual(state.version, 1)
        self.assertTrue(state.outcomes["a"].is_accepted)
        self.assertEqual(state.configuration.find(Service, "novero"), Service(name="novero"))

    def test_two_operators_edit_one_resource(self) -> None:
        """The second in the order of the log is told what moved, and to what."""
        first = Put(Service(name="novero", objective_ms=100), 1)
        second = Put(Service(name="novero", objective_ms=200), 1)
        state = fold_all(START, proposal("a", SERVICE), proposal("b", first), proposal("c", second))
        self.assertTrue(state.outcomes["b"].is_accepted)
        rejected = state.outcomes["c"]
        self.assertFalse(rejected.is_accepted)
        self.assertEqual(rejected.findings[0].place.path, "service.novero")
        self.assertIn("revision 1 but has moved to 2 by tester", rejected.findings[0].message)
        kept = state.configuration.find(Service, "novero")
        self.assertEqual(kept, Service(name="novero", objective_ms=100))

    def test_repeated_append_changes_nothing(self) -> None:
        once = fold_all(START, proposal("a", SERVICE))
        twice = fold_all(once, proposal("a", SERVICE))
        self.assertEqual(twice.configuration, once.configuration)
        self.assertEqual(twice.outcomes, once.outcomes)
        self.assertEqual(twice.position, 2)

    def test_service_deleted_while_another_operator_routes_to_it(self) -> None:
        delete = Deletion(ResourceKey("service", "novero"), 1)
        for order in (("route", "delete"), ("delete", "route")):
            with self.subTest(order=order):
                records = {
                    "route": proposal("route", ROUTE),
                    "delete": proposal("delete", deletions=(delete,)),
                }
                state = fold_all(START, proposal("a", SERVICE), *(records[name] for name in order))
                self.assertTrue(state.outcomes[order[0]].is_accepted)
                self.assertFalse(state.outcomes[order[1]].is_accepted)
                self.assertEqual(state.version, 2)

    def test_invalid_in_its_last_resource_applies_nothing(self) -> None:
        dangling = Put(Route(name="lost", path="/lost", service="nowhere"), 0)
        state = fold_all(START, proposal("a", SERVICE, ROUTE, dangling))
        self.assertEqual(state.version, 0)
        self.assertEqual(dict(state.configuration.stored), {})
        finding = state.outcomes["a"].findings[0]
        self.assertEqual(finding.place.path, "route.lost.service")

    def test_unreadable_record_is_passed_over_by_all_alike(self) -> None:
        for payload in (b"\xc1", b"", msgpack.packb(3), msgpack.packb({"rules": 1, "kind": "x"})):
            with self.subTest(payload=payload):
                state = fold(START, payload)
                assert isinstance(state, FoldState)
                self.assertEqual((state.position, state.version), (1, 0))

    def test_unknown_rule_set_holds_the_version(self) -> None:
        later = msgpack.packb({"rules": 2, "kind": "proposal"})
        self.assertEqual(fold(START, later), Held("record 0 follows rule set 2"))

    def test_digest_tells_different_records_apart(self) -> None:
        one = fold_all(START, proposal("a", SERVICE))
        other = fold_all(START, proposal("b", SERVICE))
        self.assertEqual(one.position, other.position)
        self.assertNotEqual(one.digest, other.digest)


class SnapshotTest(unittest.TestCase):
    def test_state_restored_from_a_snapshot_goes_on_the_same(self) -> None:
        state = fold_all(START, proposal("a", SERVICE), proposal("b", ROUTE))
        record = decode_record(encode_record(snapshot_of(state)))
        restored = restore(record)  # type: ignore[arg-type]
        self.assertEqual(restored.configuration, state.configuration)
        self.assertEqual(restored.digest, state.digest)
        more = proposal("c", deletions=(Deletion(ResourceKey("route", "histories"), 2),))
        self.assertEqual(fold_all(restored, more), fold_all(state, more))

    def test_snapshot_record_changes_nothing(self) -> None:
        state = fold_all(START, proposal("a", SERVICE))
        after = fold_all(state, encode_record(snapshot_of(state)))
        self.assertEqual(after.configuration, state.configuration)
        self.assertEqual(after.last_snapshot, 2)


CONTRADICTIONS: tuple[tuple[str, tuple[Resource, ...], str], ...] = (
    ("two routes for the same calls", (Route(name="r2", service="novero"),), "same calls"),
    (
        "key on an idempotent route",
        (Route(name="k", path="/k", service="novero", idempotent=True, key_required=True),),
        "needs no Idempotency-Key",
    ),
    ("path without slash", (Route(name="p", path="p", service="novero"),), "does not start"),
)


class CheckTest(unittest.TestCase):
    def test_contradictions_are_rejected(self) -> None:
        for title, resources, message in CONTRADICTIONS:
            with self.subTest(title):
                puts = [Put(resource, 0) for resource in resources]
                state = fold_all(START, proposal("a", SERVICE, ROUTE, *puts))
                findings = state.outcomes["a"].findings
                self.assertTrue(any(message in f.message for f in findings), findings)
