"""Tests of what targets state in responses, and of responses that arrive out of order."""

from __future__ import annotations

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from acaciayard_callmodel import (
    NO_NOTICE,
    OWN_DIALECT,
    NoticeRecord,
    StartNotice,
    TargetNotice,
    read_notice,
)
from acaciayard_membership import TargetInfo

DIALECT = OWN_DIALECT.with_changes(rate_limit=b"x-rate", leaving=b"x-leaving")


def stated(rate: float) -> TargetNotice:
    return TargetNotice(max_rate=rate)


class ReadNoticeTest(unittest.TestCase):
    def test_values(self) -> None:
        for value, expected in (
            (b"3.8", 3.8),
            (b"12", 12.0),
            (b"0", 0.0),
            (b".5", 0.5),
            (b" 4 ", 4.0),
        ):
            with self.subTest(value=value):
                notice = read_notice(((b"x-rate", value),), DIALECT)
                self.assertEqual(notice, stated(expected))

    def test_unreadable_limit_has_a_fault_that_quotes_it(self) -> None:
        for value in (b"-1", b"nan", b"inf", b"1e3", b"3,5", b"many", b"9" * 40):
            with self.subTest(value=value):
                notice = read_notice(((b"x-rate", value),), DIALECT)
                self.assertIn(repr(value), notice.fault)
                self.assertFalse(notice.is_limited)

    def test_leaving(self) -> None:
        for value, expected in ((b"1", True), (b"0", False), (b"", False)):
            with self.subTest(value=value):
                notice = read_notice(((b"x-leaving", value),), DIALECT)
                self.assertEqual(notice.is_leaving, expected)

    def test_response_without_statements_and_dialect_without_names(self) -> None:
        self.assertIs(read_notice(((b"date", b"now"),), DIALECT), NO_NOTICE)
        self.assertIs(read_notice(((b"x-rate", b"3"),), OWN_DIALECT), NO_NOTICE)


class NoticeRecordTest(unittest.TestCase):
    def test_unreadable_limit_leaves_the_earlier_one(self) -> None:
        record = NoticeRecord()
        record.hear(stated(3.0), asked_at=1.0, now=2.0)
        record.hear(TargetNotice(fault="no number"), asked_at=3.0, now=4.0)
        self.assertEqual(record.notice, stated(3.0))

    def test_target_of_another_daemon_is_believed_until_it_answers_here(self) -> None:
        record = NoticeRecord()
        self.assertTrue(record.adopt(stated(3.0)))
        self.assertFalse(record.adopt(stated(5.0)))
        self.assertTrue(record.hear(stated(5.0), asked_at=1.0, now=2.0))
        self.assertFalse(record.adopt(stated(3.0)))
        self.assertEqual(record.notice, stated(5.0))

    # Guards against a limit that is lifted by a response which is older than it.
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([1.0, 2.0, 4.0, math.inf]), st.floats(0, 10), st.floats(0.01, 10)
            ),
            min_size=1,
            max_size=12,
        )
    )
    def test_limit_is_lifted_only_by_a_request_sent_after_it_was_heard(
        self, responses: list[tuple[float, float, float]]
    ) -> None:
        record = NoticeRecord()
        heard: list[tuple[float, float, float]] = []
        for rate, asked_at, lasts in sorted(responses, key=lambda each: each[1] + each[2]):
            now = asked_at + lasts
            record.hear(stated(rate), asked_at=asked_at, now=now)
            heard.append((rate, asked_at, now))
            for limit, _, heard_at in heard:
                if record.notice.max_rate > limit:
                    self.assertTrue(
                        any(asked >= heard_at and other > limit for other, asked, _ in heard)
                    )

    def test_older_response_does_not_lift_a_limit(self) -> None:
        record = NoticeRecord()
        record.hear(stated(3.0), asked_at=1.0, now=1.2)
        self.assertFalse(record.hear(NO_NOTICE, asked_at=1.1, now=1.3))
        self.assertFalse(record.hear(stated(9.0), asked_at=1.1, now=1.4))
        self.assertTrue(record.hear(stated(2.0), asked_at=1.1, now=1.5))
        self.assertTrue(record.hear(NO_NOTICE, asked_at=1.6, now=1.7))
        self.assertEqual(record.notice, NO_NOTICE)

    def test_limit_ends_also_while_older_requests_are_answered(self) -> None:
        record = NoticeRecord()
        record.hear(stated(3.0), asked_at=0.0, now=1.0)
        for number in range(5):  # each request is sent before the previous response arrives
            record.hear(stated(6.0), asked_at=0.9 + number, now=2.0 + number)
        self.assertEqual(record.notice, stated(6.0))


class StartNoticeTest(unittest.TestCase):
    def test_fields_that_no_daemon_sends(self) -> None:
        for changes in (
            {"target": "x" * 300},
            {"born": -1},
            {"max_rate": -1.0},
            {"max_rate": math.nan},
            {"opens_in": math.inf},
            {"opens_in": math.nan},
        ):
            with self.subTest(changes):
                fields = {"target": "t", "born": 0, "max_rate": 1.0, **changes}
                with self.assertRaises(ValueError):
                    StartNotice(**fields).check_fields()  # type: ignore[arg-type]

    # Guards against targets whose every answer is lost, since its notice is refused.
    def test_every_name_that_members_publish_is_valid(self) -> None:
        target = TargetInfo(service="a", name="x" * 250, slots=1)
        StartNotice(target=target.name, born=0, max_rate=1.0).check_fields()


if __name__ == "__main__":
    unittest.main()
