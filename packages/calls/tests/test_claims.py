"""Claims of idempotency keys are granted by their order in the log."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio

from acaciayard_calls import ClaimCoordinator
from acaciayard_handover import ClaimAnswer, ClaimRequest, ReleaseRequest
from acaciayard_standins import FakeLog
from acaciayard_timers import ManualTimers

KEY = b"k" * 16


def request(claim: bytes, key: bytes = KEY, host: str = "h") -> ClaimRequest:
    return ClaimRequest(key, claim, host)


class ClaimTest(unittest.TestCase):
    def run_with_homes(
        self,
        body: Callable[
            [FakeLog, ManualTimers, ClaimCoordinator, ClaimCoordinator], Awaitable[None]
        ],
    ) -> None:
        async def run() -> None:
            timers = ManualTimers()
            log = FakeLog(timers)
            homes = [ClaimCoordinator("claims-0", log=log, timers=timers) for _ in range(2)]
            await body(log, timers, *homes)

        anyio.run(run)

    async def claim_all(
        self, timers: ManualTimers, *requests: tuple[ClaimCoordinator, ClaimRequest]
    ) -> list[ClaimAnswer]:
        answers: dict[int, ClaimAnswer] = {}

        async def claim_one(index: int, home: ClaimCoordinator, claim: ClaimRequest) -> None:
            answers[index] = await home.claim(claim)

        async with anyio.create_task_group() as tasks:
            for index, (home, claim) in enumerate(requests):
                tasks.start_soon(claim_one, index, home, claim)
            await timers.advance(2.0)
        return [answers[index] for index in range(len(requests))]

    def test_two_homes_grant_a_key_only_once(self) -> None:
        async def body(
            log: FakeLog, timers: ManualTimers, first: ClaimCoordinator, second: ClaimCoordinator
        ) -> None:
            answers = await self.claim_all(
                timers,
                (first, request(b"1" * 16)),
                (second, request(b"2" * 16)),
                (first, request(b"3")),
            )
            self.assertEqual([a.granted for a in answers].count(True), 1)
            self.assertEqual(len({a.holder for a in answers}), 1)

        self.run_with_homes(body)

    def test_paused_home_reads_claims_that_another_home_appended(self) -> None:
        async def body(
            log: FakeLog, timers: ManualTimers, paused: ClaimCoordinator, second: ClaimCoordinator
        ) -> None:
            await self.claim_all(timers, (paused, request(b"0", key=b"x" * 16)))
            granted = await self.claim_all(timers, (second, request(b"1")))
            late = await self.claim_all(timers, (paused, request(b"2")))
            self.assertTrue(granted[0].granted)
            self.assertEqual((late[0].granted, late[0].holder), (False, b"1"))

        self.run_with_homes(body)

    def test_lost_responses_of_the_log(self) -> None:
        async def body(
            log: FakeLog, timers: ManualTimers, first: ClaimCoordinator, second: ClaimCoordinator
        ) -> None:
            log.answers_to_lose = 1
            answers = await self.claim_all(timers, (first, request(b"1")))
            self.assertTrue(answers[0].granted)
            answers = await self.claim_all(timers, (second, request(b"2")))
            self.assertFalse(answers[0].granted)

        self.run_with_homes(body)

    def test_unavailable_log_grants_nothing(self) -> None:
        async def body(
            log: FakeLog, timers: ManualTimers, first: ClaimCoordinator, _second: ClaimCoordinator
        ) -> None:
            log.is_down = True
            answers = await self.claim_all(timers, (first, request(b"1")))
            self.assertEqual((answers[0].granted, answers[0].holder), (False, b""))
            self.assertTrue(answers[0].reason)

        self.run_with_homes(body)

    def test_released_claim_frees_its_key_and_stays_void(self) -> None:
        async def body(
            log: FakeLog, timers: ManualTimers, first: ClaimCoordinator, second: ClaimCoordinator
        ) -> None:
            await self.claim_all(timers, (first, request(b"1")))
            await first.release(ReleaseRequest(KEY, b"1"))
            answers = await self.claim_all(timers, (second, request(b"2")))
            self.assertTrue(answers[0].granted)
            await second.release(ReleaseRequest(KEY, b"3"))
            await second.release(ReleaseRequest(KEY, b"2"))
            answers = await self.claim_all(timers, (first, request(b"3")), (first, request(b"4")))
            self.assertEqual([a.granted for a in answers], [False, True])

        self.run_with_homes(body)

    def test_claims_that_come_together_share_appends(self) -> None:
        async def body(
            log: FakeLog, timers: ManualTimers, first: ClaimCoordinator, _second: ClaimCoordinator
        ) -> None:
            requests = [(first, request(b"c%d" % i, key=b"%016d" % i)) for i in range(300)]
            answers = await self.claim_all(timers, *requests)
            self.assertTrue(all(answer.granted for answer in answers))
            self.assertLess(first.appends, 5)

        self.run_with_homes(body)
