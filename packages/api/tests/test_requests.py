"""What operators and targets send, and the OpenAPI document."""

from __future__ import annotations

import unittest
from typing import Any

from acaciayard_api import openapi_document, read_announcement, read_change
from acaciayard_membership import TargetState
from acaciayard_resources import KINDS, FindingsError, Service
from acaciayard_wire import Address

FAULTY_CHANGES: tuple[tuple[Any, tuple[str, ...]], ...] = (
    ([], ("is no object",)),
    ({}, ("changes nothing",)),
    ({"puts": 3}, ("request body: puts: is no list",)),
    ({"puts": [{"kind": "servce", "spec": {}}]}, ("there is no kind 'servce'",)),
    (
        {"puts": [{"kind": "service", "spec": {"name": "a", "queue_length": -1}}], "extra": 1},
        ("request body: extra: is not known", "puts[0].spec.queue_length: -1 is out of range"),
    ),
    (
        {"deletions": [{"kind": "route"}], "puts": [{"kind": "service", "spec": {"name": "A"}}]},
        ("deletions[0]: names no resource", "puts[0].spec.name: 'A' is no name"),
    ),
    (
        {"puts": [{"kind": "service", "spec": {"name": "a"}, "revision": "1"}]},
        ("puts[0].revision: '1' is no revision",),
    ),
)

ANNOUNCEMENT = {"service": "novero", "name": "t1", "address": "127.0.0.1:80", "slots": 9}


class ChangeTest(unittest.TestCase):
    def test_all_faults_are_told_at_once(self) -> None:
        for body, expected in FAULTY_CHANGES:
            with self.subTest(body), self.assertRaises(FindingsError) as caught:
                read_change(body, time=0.0)
            for part in expected:
                self.assertIn(part, str(caught.exception))

    def test_change_is_read(self) -> None:
        body = {
            "change": "c1",
            "author": "anna",
            "puts": [{"kind": "service", "spec": {"name": "a"}, "revision": 4}],
            "deletions": [{"kind": "route", "name": "r", "revision": 2}],
        }
        proposal = read_change(body, time=7.0)
        self.assertEqual((proposal.change_id, proposal.author, proposal.time), ("c1", "anna", 7.0))
        self.assertEqual(proposal.puts[0].resource, Service(name="a"))
        self.assertEqual((proposal.puts[0].revision, proposal.deletions[0].revision), (4, 2))

    def test_changes_without_identity_get_different_ones(self) -> None:
        body = {"puts": [{"kind": "service", "spec": {"name": "a"}}]}
        one, other = (read_change(body, time=0.0).change_id for _ in range(2))
        self.assertNotEqual(one, other)


class AnnouncementTest(unittest.TestCase):
    def test_announcement_is_read(self) -> None:
        announcement = read_announcement({**ANNOUNCEMENT, "state": "draining"})
        self.assertEqual(announcement.address, Address("127.0.0.1", 80))
        self.assertIs(announcement.state, TargetState.DRAINING)

    def test_faults(self) -> None:
        for change in ({"slots": 0}, {"state": "tired"}, {"address": "x"}, {"sloots": 1}):
            with self.subTest(change), self.assertRaises(FindingsError):
                read_announcement({**ANNOUNCEMENT, **change})


class OpenApiTest(unittest.TestCase):
    def test_every_kind_has_a_schema(self) -> None:
        schemas = openapi_document()["components"]["schemas"]
        self.assertEqual(set(schemas), set(KINDS))
        self.assertEqual(schemas["route"]["required"], ["name", "service"])
