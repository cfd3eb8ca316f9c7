"""Requesting, spending, returning and refusing on one daemon."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable, Callable

import anyio

from acaciayard_callmodel import UNCOUNTED, CountedCall, NotRun
from acaciayard_quotas import CapRules, MeshCaps, Seats, TokenRequest, TokenResponse, TokenReturn
from acaciayard_resources import Configuration, ResourceKey, Stored, Workspace
from acaciayard_timers import ManualTimers

NORTH = Workspace(name="north", calls_per_second=10, burst=10)
FREE = Workspace(name="free")


def configuration(*workspaces: Workspace) -> Configuration:
    stored = {ResourceKey("workspace", w.name): Stored(w, 1, "t", 0.0) for w in workspaces}
    return Configuration(1, stored)


class Harness:
    """A daemon among others whose responses the test supplies."""

    def __init__(self, *, hosts: int) -> None:
        self.timers = ManualTimers(start=100.0)
        self.seats = Seats("own", timers=self.timers)
        for number in range(hosts):
            self.seats.note_present(f"h{number}")
        self.sent: list[tuple[str, object]] = []
        self.respond: Callable[[TokenRequest], TokenResponse | None] = lambda _: None
        self.caps = MeshCaps(
            "own",
            seats=self.seats,
            rules=CapRules(),
            timers=self.timers,
            seed=random.Random(1),
            send=self._send,
        )
        self.caps.use(configuration(NORTH, FREE))
        self.receive_message()
        self.seats.settle()

    def receive_message(self) -> None:
        """Receive a message from another daemon, if there is one."""
        if self.seats.count > 1:
            self.seats.note_message()

    def _send(self, host: str, message: object) -> None:
        self.sent.append((host, message))
        if isinstance(message, TokenRequest):
            response = self.respond(message)
            if response is not None:
                self.caps.handle_response(response)

    def requests(self) -> list[TokenRequest]:
        return [message for _, message in self.sent if isinstance(message, TokenRequest)]

    async def take(self, workspace: str = "north") -> CountedCall | NotRun:
        """Count a call while the clock advances."""
        found: list[CountedCall | NotRun] = []

        async def run() -> None:
            found.append(await self.caps.take(workspace))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            for _ in range(200):
                await self.timers.advance(0.01)
                if found:
                    break
        return found[0]


class MeshCapsTest(unittest.TestCase):
    def run_case(
        self, body: Callable[[Harness], Awaitable[None]], *, hosts: int = 200, wait: float = 0.0
    ) -> None:
        async def run() -> None:
            harness = Harness(hosts=hosts)
            await harness.timers.advance(wait)
            harness.receive_message()
            await body(harness)

        anyio.run(run)

    def test_workspace_without_a_cap_is_not_counted(self) -> None:
        async def body(harness: Harness) -> None:
            self.assertIs(await harness.take("free"), UNCOUNTED)
            self.assertIs(await harness.take("unknown"), UNCOUNTED)
            self.assertEqual(harness.sent, [])
            self.assertTrue(harness.caps.has_any)
            harness.caps.use(configuration(FREE))
            self.assertFalse(harness.caps.has_any)

        self.run_case(body)

    def test_tokens_are_requested_and_spent_within_their_ttl(self) -> None:
        async def body(harness: Harness) -> None:
            harness.respond = lambda request: TokenResponse("h", request.number, 3, ttl=0.5)
            for _ in range(3):
                self.assertNotIsInstance(await harness.take(), NotRun)
            self.assertEqual(len(harness.requests()), 1)
            harness.respond = lambda request: TokenResponse("h", request.number, 3, ttl=0.5)
            await harness.take()
            self.assertEqual(len(harness.requests()), 2)
            await harness.timers.advance(0.6)
            self.assertEqual(harness.caps.held("north"), 0)
            await harness.take()
            self.assertEqual(len(harness.requests()), 3)

        self.run_case(body)

    def test_call_is_refused_after_all_seats_without_tokens_were_asked(self) -> None:
        async def body(harness: Harness) -> None:
            def out_of_tokens(request: TokenRequest) -> TokenResponse:
                return TokenResponse("h", request.number, 0, backoff=0.5, retry_after=1.0)

            harness.respond = out_of_tokens
            refusal = await harness.take()
            assert isinstance(refusal, NotRun)
            self.assertIn("over its cap of 10 calls", refusal.reason)
            self.assertTrue(0.8 <= refusal.retry_after <= 1.3, refusal.retry_after)
            asked_seats = [request.seat for request in harness.requests()]
            self.assertEqual(sorted(asked_seats), list(range(5)))
            # During the backoff callers are refused at once, without a request.
            self.assertIsInstance(await harness.caps.take("north"), NotRun)
            self.assertEqual(len(harness.requests()), 5)
            await harness.timers.advance(0.6)
            await harness.take()
            self.assertEqual(sum(request.refused for request in harness.requests()), 2)
            self.assertEqual(harness.caps.refused["north"], 3)

        self.run_case(body)

    def test_unresponsive_seat_is_asked_twice_and_then_skipped(self) -> None:
        async def body(harness: Harness) -> None:
            refusal = await harness.take()
            assert isinstance(refusal, NotRun)
            self.assertIn("out of reach", refusal.reason)
            self.assertEqual(len(harness.requests()), 10)
            self.assertEqual(harness.caps.unreached, 1)
            self.assertIsInstance(await harness.caps.take("north"), NotRun)
            self.assertEqual(len(harness.requests()), 10)

        self.run_case(body)

    def test_late_and_duplicate_responses_are_ignored(self) -> None:
        async def body(harness: Harness) -> None:
            responses: list[TokenResponse] = []

            def record(request: TokenRequest) -> TokenResponse:
                responses.append(TokenResponse("h", request.number, 1, ttl=0.5))
                return responses[-1]

            harness.respond = record
            await harness.take()
            harness.caps.handle_response(responses[0])
            self.assertEqual(harness.caps.held("north"), 0)

        self.run_case(body)

    def test_call_that_was_not_run_returns_its_token_before_expiry(self) -> None:
        async def body(harness: Harness) -> None:
            harness.respond = lambda request: TokenResponse("h", request.number, 1, ttl=0.5)
            counted = await harness.take()
            assert not isinstance(counted, NotRun)
            harness.caps.give_back(counted)
            self.assertEqual(harness.caps.held("north"), 1)
            again = await harness.take()
            assert not isinstance(again, NotRun)
            self.assertEqual(len(harness.requests()), 1)
            await harness.timers.advance(0.6)
            harness.caps.give_back(again)
            self.assertEqual(harness.caps.held("north"), 0)
            harness.caps.give_back(UNCOUNTED)

        self.run_case(body)

    def test_idle_tokens_are_returned_to_their_seat(self) -> None:
        async def body(harness: Harness) -> None:
            harness.respond = lambda request: TokenResponse("h9", request.number, 3, ttl=0.5)
            await harness.take()
            await harness.timers.advance(0.1)
            self.assertTrue(harness.caps.return_idle())
            await harness.timers.advance(0.25)
            self.assertFalse(harness.caps.return_idle())
            (request,) = harness.requests()
            returned = TokenReturn("own", request.number, "north", request.seat, 2)
            self.assertEqual(harness.sent[-1], ("h9", returned))
            self.assertEqual(harness.caps.held("north"), 0)

        self.run_case(body)

    def test_requested_tokens_follow_recent_use(self) -> None:
        async def body(harness: Harness) -> None:
            harness.respond = lambda request: TokenResponse("h", request.number, 1, ttl=0.5)
            for _ in range(12):
                await harness.take()
            wanted = [request.wanted for request in harness.requests()]
            self.assertEqual(wanted[0], 1)
            self.assertGreater(wanted[-1], 5)

        self.run_case(body)

    def test_daemon_that_does_not_own_the_seat_grants_nothing(self) -> None:
        async def body(harness: Harness) -> None:
            harness.respond = lambda request: TokenResponse("h", request.number, 0, is_owner=False)
            refusal = await harness.take()
            assert isinstance(refusal, NotRun)
            self.assertIn("out of reach", refusal.reason)
            self.assertEqual(len(harness.requests()), 5)
            # It grants nothing for a seat that it does not own.
            harness.caps.handle_request(TokenRequest("h1", 1, "unknown", 0, 1))
            self.assertEqual(harness.sent[-1], ("h1", TokenResponse("own", 1, 0, is_owner=False)))

        self.run_case(body)

    def test_single_daemon_allows_the_whole_cap_without_messages(self) -> None:
        async def body(harness: Harness) -> None:
            allowed = 0
            while not isinstance(await harness.caps.take("north"), NotRun):
                allowed += 1
            self.assertEqual(harness.sent, [])
            bound = CapRules().bound(NORTH)
            self.assertGreaterEqual(allowed, NORTH.burst)
            self.assertLessEqual(allowed + 5 * NORTH.calls_per_second, bound)

        self.run_case(body, hosts=0, wait=60.0)

    def test_isolated_daemon_falls_back_to_its_own_share(self) -> None:
        async def body(harness: Harness) -> None:
            await harness.timers.advance(5.0)
            self.assertIsInstance(await harness.caps.take("north"), NotRun)
            allowed = 0
            for _ in range(200):
                await harness.timers.advance(0.1)
                allowed += not isinstance(await harness.caps.take("north"), NotRun)
            self.assertEqual(harness.sent, [])
            # 10 calls a second over 10 daemons, from the sixth second of 25 on.
            self.assertTrue(17 <= allowed <= 20, allowed)

        self.run_case(body, hosts=9)

    def test_refusals_are_counted_for_a_bounded_number_of_workspaces(self) -> None:
        async def body(harness: Harness) -> None:
            many = [Workspace(name=f"w{n}", calls_per_second=1) for n in range(300)]
            harness.caps.use(configuration(*many))
            harness.respond = lambda request: TokenResponse(
                "h", request.number, 0, backoff=1.0, retry_after=1.0
            )
            for workspace in many:
                await harness.caps.take(workspace.name)
            self.assertEqual(len(harness.caps.refused), 201)
            self.assertEqual(harness.caps.refused["(others)"], 100)

        self.run_case(body)


if __name__ == "__main__":
    unittest.main()
