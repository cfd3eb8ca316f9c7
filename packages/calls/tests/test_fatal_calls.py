"""Calls that terminate the targets that run them, on the real call path of several daemons."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
from call_harness import CallHarness, Host, ScriptedTarget, answer, router

from acaciayard_admission import ENDS_TO_BAR
from acaciayard_callmodel import CallWatch, NotRun, OutcomeUnknown
from acaciayard_calls import Answered
from acaciayard_http1 import RequestHead
from acaciayard_resources import RetryPolicy, Route, Service
from acaciayard_wire import ByteStream, StreamLostError

ROUTES = router(
    Service(name="a"),
    RetryPolicy(name="again", attempts=2, per_try_s=0.15, backoff_ms=0),
    Route(name="r", service="a", idempotent=True, retry="again"),
)
Outcome = Answered | NotRun | OutcomeUnknown
#: Sends a call of a path; the flag tells whether the call may be retried.
SendCall = Callable[[str, bool], Awaitable[Outcome]]


class _FragileTarget(ScriptedTarget):
    """A target that closes its listener and connections on a request of `/fatal`."""

    def __init__(self) -> None:
        super().__init__(self._answer)
        self.executed_paths: list[bytes] = []

    async def _answer(self, head: RequestHead, stream: ByteStream) -> None:
        self.executed_paths.append(head.target)
        if head.target == b"/fatal":
            self.close()
            raise StreamLostError("the target has ended")
        await stream.send(answer(head))


class FatalCallsTest(unittest.TestCase):
    def run_mesh(
        self, count: int, body: Callable[[list[_FragileTarget], SendCall], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                targets = [_FragileTarget() for _ in range(count)]
                hosts = [Host(f"h{number}", target) for number, target in enumerate(targets)]
                entry = Host("entry", None)
                for host in (entry, *hosts):
                    await host.open(tasks, slots=4)
                harness = CallHarness(entry, hosts, tasks)

                async def send_call(path: str, is_idempotent: bool) -> Outcome:
                    plan = ROUTES.match(host="h", path=path, method="GET")
                    assert plan is not None
                    call = harness.call(target=path.encode(), is_idempotent=is_idempotent)
                    outcome = await harness.dispatcher.run(
                        call, plan, ROUTES, CallWatch(), may_retry=is_idempotent
                    )
                    if isinstance(outcome, Answered):
                        outcome.attempt.close()
                    return outcome

                await body(targets, send_call)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    @staticmethod
    def count_executions(targets: list[_FragileTarget], path: bytes) -> int:
        return sum(target.executed_paths.count(path) for target in targets)

    def test_fatal_call_is_refused_unsent_after_three_ends(self) -> None:
        async def body(targets: list[_FragileTarget], send_call: SendCall) -> None:
            outcomes = [await send_call("/fatal", False) for _ in range(ENDS_TO_BAR + 2)]
            self.assertEqual(self.count_executions(targets, b"/fatal"), ENDS_TO_BAR)
            for sent in outcomes[:ENDS_TO_BAR]:
                self.assertIsInstance(sent, OutcomeUnknown)
            for refused in outcomes[ENDS_TO_BAR:]:
                assert isinstance(refused, NotRun)
                self.assertIn("targets in a row have ended", refused.reason)

        self.run_mesh(6, body)

    def test_retries_count_and_an_executed_call_is_never_reported_as_not_run(self) -> None:
        async def body(targets: list[_FragileTarget], send_call: SendCall) -> None:
            outcomes = [await send_call("/fatal", True) for _ in range(3)]
            self.assertEqual(self.count_executions(targets, b"/fatal"), ENDS_TO_BAR)
            self.assertIsInstance(outcomes[0], OutcomeUnknown)
            self.assertIsInstance(outcomes[1], OutcomeUnknown)
            self.assertIsInstance(outcomes[2], NotRun)

        self.run_mesh(6, body)

    def test_concurrent_copies_terminate_at_most_one_target_each(self) -> None:
        async def body(targets: list[_FragileTarget], send_call: SendCall) -> None:
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(send_call, "/fatal", False)
            for _ in range(6):
                await send_call("/fatal", False)
            self.assertLessEqual(self.count_executions(targets, b"/fatal"), 3 + ENDS_TO_BAR - 1)

        self.run_mesh(8, body)

    def test_other_calls_are_served_after_a_fatal_call(self) -> None:
        async def body(targets: list[_FragileTarget], send_call: SendCall) -> None:
            await send_call("/fatal", False)
            for number in range(10):
                self.assertIsInstance(await send_call(f"/good/{number}", True), Answered)

        self.run_mesh(4, body)


if __name__ == "__main__":
    unittest.main()
