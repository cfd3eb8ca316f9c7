"""What daemons hear from each other: any bytes give a message or a `MessageError`."""

from __future__ import annotations

import unittest
import zlib
from typing import Any

import attrs
import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciayard_handover import CLAIM_MESSAGES
from acaciayard_handover._messages import CALL_CODEC, CallHead
from acaciayard_hosted._delta import DeltaError, apply_delta, make_delta
from acaciayard_hosted._version_messages import RELAY_MESSAGES
from acaciayard_hosted._watch import WATCH_MESSAGES
from acaciayard_membership import (
    MEMBERSHIP_MESSAGES,
    Member,
    MemberState,
    MemberTable,
    Suspicion,
    TargetInfo,
)
from acaciayard_membership._messages import MEMBER_CODEC, Probe, ProbeRequest
from acaciayard_timers import ManualTimers
from acaciayard_wire import MessageCodec, MessageError

CODECS = (
    MessageCodec({**MEMBERSHIP_MESSAGES, **RELAY_MESSAGES, **WATCH_MESSAGES, **CLAIM_MESSAGES}),
    CALL_CODEC,
    MEMBER_CODEC,
)
#: Anything that msgpack can carry, to some depth.
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=20)
    | st.binary(max_size=20),
    lambda inner: st.lists(inner, max_size=5) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=12,
)
#: Messages whose code is known and whose fields may hold anything.
COUNTS = st.integers(0, 70)
#: Fields of a call, up to its suspicion.
CALL = ["a", b"GET", b"/", b"", b"", True, 0, 0, 1.0, b"r", 1.0, False, False, False]
FINGERPRINT = b"12345678"
SOME_DAEMON = Member(
    host="far-1",
    incarnation=7,
    sequence=3,
    state=MemberState.ALIVE,
    domain="far",
    ip="127.0.0.2",
    control_port=1,
    call_port=2,
    api_port=3,
    targets=(TargetInfo("a", "t1", 4, born=1_000_000),),
)


def decode(codec: MessageCodec, data: bytes) -> object | None:
    """The message, `None` where the codec refuses the bytes."""
    try:
        return codec.decode(data)
    except MessageError:
        return None


class DecodersTest(unittest.TestCase):
    @given(st.binary(max_size=300))
    def test_any_bytes(self, data: bytes) -> None:
        for codec in CODECS:
            decode(codec, data)

    @given(COUNTS, st.lists(VALUES, max_size=14))
    def test_any_fields(self, code: int, fields: list[Any]) -> None:
        for codec in CODECS:
            decode(codec, msgpack.packb([code, *fields]))

    @given(VALUES)
    def test_any_code(self, code: Any) -> None:
        for codec in CODECS:
            decode(codec, msgpack.packb([code, 1, 2]))

    @given(st.integers(0, 11), VALUES)
    def test_a_member_with_one_field_spoiled(self, index: int, value: Any) -> None:
        """What is taken is in its bounds, so that it can be used without another look."""
        parts = msgpack.unpackb(MEMBER_CODEC.encode(SOME_DAEMON))
        parts[1 + index % (len(parts) - 1)] = value
        member = decode(MEMBER_CODEC, msgpack.packb(parts))
        if member is None:
            return
        assert isinstance(member, Member)
        MemberState(member.state)
        self.assertTrue(0 <= member.control_port <= 65535)
        self.assertTrue(0 <= member.call_port <= 65535)
        self.assertEqual(MEMBER_CODEC.decode(MEMBER_CODEC.encode(member)), member)

    @given(st.integers(0, 3), VALUES)
    def test_a_target_with_one_field_spoiled(self, index: int, value: Any) -> None:
        parts = msgpack.unpackb(MEMBER_CODEC.encode(SOME_DAEMON))
        parts[10][0][index] = value
        table = MemberTable(attrs.evolve(SOME_DAEMON, host="near-1"), ManualTimers())
        table.merge(msgpack.packb(parts))
        self.assertTrue(table.merge(MEMBER_CODEC.encode(attrs.evolve(SOME_DAEMON, host="far-2"))))

    def test_what_would_raise_later(self) -> None:
        """Each of these passed once, and ended a task or a connection when it was used."""
        probe = [2, 1, "far-1", 0, [7]]
        cases: tuple[tuple[MessageCodec, list[Any]], ...] = (
            (CODECS[0], [[1], 2]),  # a code that cannot be looked up
            (CODECS[0], probe),  # a member that is no bytes
            (CODECS[0], [3, 1, "a.name", 80]),  # would be looked up by name
            (CODECS[0], [3, 1, "127.0.0.1", 99_999_999]),
            (CODECS[0], [64, 1, 10**12]),  # no reader would be missed for 30 years
            (CALL_CODEC, [4, [b"name"]]),  # a trailer without a value
            (CALL_CODEC, [9, 0]),  # asks for nothing, for ever
            (CALL_CODEC, [1, *CALL, FINGERPRINT, [2**63, 1]]),  # a suspicion that none can hold
        )
        for codec, parts in cases:
            with self.subTest(parts=parts), self.assertRaises(MessageError):
                codec.decode(msgpack.packb(parts))

    @given(st.integers(-(2**63), 2**63 - 1), st.floats(), st.floats())
    def test_a_call_has_a_class_and_a_time(self, rank: int, budget: float, within: float) -> None:
        call = ["a", b"GET", b"/", b"", b"", True, 0, rank, budget, b"", within]
        head = decode(CALL_CODEC, msgpack.packb([1, *call]))
        if isinstance(head, CallHead):
            self.assertIn(head.priority, range(3))
            self.assertEqual(head.budget, head.budget)
            self.assertLess(abs(head.budget), float("inf"))
            self.assertEqual(head.start_within, head.start_within)

    @given(st.binary(max_size=9), st.lists(st.integers(-2, 2**64 - 1), max_size=3))
    def test_a_call_holds_a_suspicion_or_none(self, fingerprint: bytes, held: list[int]) -> None:
        head = decode(CALL_CODEC, msgpack.packb([1, *CALL, fingerprint, held]))
        if isinstance(head, CallHead) and head.suspicion:
            Suspicion(head.fingerprint, *head.suspicion)

    def test_good_messages_pass(self) -> None:
        for message in (Probe(1, "a", 0, [b"x"]), ProbeRequest(1, "127.0.0.1", 80)):
            self.assertEqual(CODECS[0].decode(CODECS[0].encode(message)), message)


class DeltaDecodingTest(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_any_bytes(self, delta: bytes) -> None:
        try:
            apply_delta(b"{a}{b}", delta)
        except DeltaError:
            return

    @settings(max_examples=200)
    @given(VALUES)
    def test_any_steps(self, steps: Any) -> None:
        try:
            apply_delta(b"{a}{b}", zlib.compress(msgpack.packb(steps)))
        except DeltaError:
            return

    @given(st.binary(max_size=80), st.binary(max_size=80))
    def test_good_differences_pass(self, earlier: bytes, later: bytes) -> None:
        self.assertEqual(apply_delta(earlier, make_delta(earlier, later)), later)


if __name__ == "__main__":
    unittest.main()
