"""Tests of what one daemon sends, reports and writes about rollouts, and when."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from types import SimpleNamespace
from typing import Any, cast

import anyio
import structlog
from keyed_standin import KeyedStandIn
from plain_words import STATUS, Words

from acaciayard_hosted import HostedRollouts
from acaciayard_logservice import KeyedRecord
from acaciayard_membership import Member, MemberState, MemberTable
from acaciayard_rollouts import (
    Phase,
    ReportRow,
    RolloutBook,
    RolloutReport,
    RolloutUpdate,
    Side,
)
from acaciayard_routing import Picker
from acaciayard_timers import ManualTimers


class HostedRolloutsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.timers = ManualTimers()
        self.store = KeyedStandIn(self.timers)
        self.sent: list[object] = []
        own = Member("h1", 1, 1, int(MemberState.ALIVE), "d", "127.0.0.1", 1, 2, 0)
        table = MemberTable(own, self.timers)
        members = SimpleNamespace(table=table)
        self.feeding = SimpleNamespace(is_lead=True, is_alone=False, lead=None)
        port = SimpleNamespace(
            on_datagram=lambda _type, _handler: None,
            send_datagram=lambda message, _to: self.sent.append(message),
        )
        picker = SimpleNamespace(
            slots_by_version=lambda _service: Counter({"v1": 8, "v2": 8}),
            hosts_by_version=lambda _service: Counter({"v1": 2, "v2": 2}),
        )
        self.book = RolloutBook(
            timers=self.timers,
            exposure_share=0.1,
            tell=lambda news: self.rollouts.note(news),
        )
        self.rollouts = HostedRollouts(
            book=self.book,
            picker=cast(Picker, picker),
            members=cast(Any, members),
            feeding=cast(Any, self.feeding),
            port=cast(Any, port),
            store=self.store,
            words=Words(),
            timers=self.timers,
            seed=random.Random(1),
            log=structlog.get_logger(),
        )

    def phases(self) -> list[Phase]:
        """Return the phases written to the store."""
        records = self.store.records(STATUS)
        return [Phase(int(record.value.split()[0])) for record in records]

    def order(self) -> None:
        self.rollouts.take_record(KeyedRecord("order", b"quotes v2 14", 3))

    async def test_what_was_decided_is_written_at_once(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.rollouts.run)
            await self.timers.advance(1.0)
            self.order()
            await self.timers.advance(2.0)
            self.assertEqual(self.phases(), [Phase.RUNNING])
            self.rollouts._on_report(bad_report())
            await self.timers.advance(0.6)
            self.assertEqual(self.phases(), [Phase.RUNNING, Phase.ROLLED_BACK])
            tasks.cancel_scope.cancel()

    async def test_nothing_wakes_before_the_first_order(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.rollouts.run)
            await self.timers.advance(60.0)
            self.assertEqual((self.sent, self.store.calls), ([], 0))
            tasks.cancel_scope.cancel()

    async def test_a_daemon_that_does_not_lead_writes_and_tells_nothing(self) -> None:
        self.feeding.is_lead = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.rollouts.run)
            self.order()
            await self.timers.advance(5.0)
            self.assertEqual(self.store.calls, 0)
            self.assertFalse([each for each in self.sent if isinstance(each, RolloutUpdate)])
            tasks.cancel_scope.cancel()


def bad_report() -> RolloutReport:
    """Return a report in which half of the answers of the new version are failures."""
    times = [0] * 16
    times[8] = 100
    rows = (
        ReportRow("r", int(Side.BASE), 100, 0, times, []),
        ReportRow("r", int(Side.NEW), 20, 10, [], []),
    )
    return RolloutReport("h1", 1, "quotes", 3, 0, 120, 20, 0, rows, [1, 2])


if __name__ == "__main__":
    unittest.main()
