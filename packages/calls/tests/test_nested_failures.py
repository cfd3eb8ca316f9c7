"""Attribution of failures of calls whose nested calls were not served.

When a service refuses or fails calls, the calls of the services that depend on it fail as well,
through no fault of their targets or software versions.  Hosts must not be ejected for such
failures, and a version on trial, whose daemons have a smaller retry budget, must not be rolled
back.
"""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable

import anyio
from call_harness import (
    DIALECT,
    IP,
    CallHarness,
    Host,
    ScriptedTarget,
    answer,
    configuration,
    router,
)

from acaciayard_callmodel import Answer, CallWatch, NotRun
from acaciayard_calls import Answered, EntryServer, ServiceLevels
from acaciayard_calls._attempt import Attempt
from acaciayard_http1 import RequestHead
from acaciayard_resources import Resource, Route, Service
from acaciayard_rollouts import RolloutRun
from acaciayard_routing import Plan, Router
from acaciayard_wire import ByteStream

RESOURCES: tuple[Resource, ...] = (
    Service(name="a"),
    Service(name="nobody"),
    Route(name="outer", service="a", path="/x"),
    Route(name="inner", service="nobody", path="/inner"),
    Route(name="good", service="a", path="/good"),
)


def failed_answer(*, is_nested_failure: bool) -> Answer:
    return Answer(500, b"", b"", True, 0, is_nested_failure=is_nested_failure)


class _RecordingRun(RolloutRun):
    """Records the outcomes of attempts that are reported to a rollout."""

    def __init__(self) -> None:
        self.reported: list[str] = []

    def end(self, *, is_bad: bool) -> None:
        self.reported.append("bad" if is_bad else "good")

    def end_unknown(self) -> None:
        self.reported.append("nothing")

    def end_refused(self) -> None:
        self.reported.append("refused")


class NestedFailureTest(unittest.TestCase):
    def outcome(self, *, nested_path: str, is_local_entry: bool) -> tuple[Answer, Attempt]:
        """Runs a call whose target requests `nested_path` and fails if that request fails."""
        results: list[Answered] = []

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await self.run_mesh(
                    tasks, results, nested_path=nested_path, is_local_entry=is_local_entry
                )
                tasks.cancel_scope.cancel()

        anyio.run(run)
        return results[0].answer, results[0].attempt

    async def run_mesh(
        self,
        tasks: anyio.abc.TaskGroup,
        results: list[Answered],
        *,
        nested_path: str,
        is_local_entry: bool,
    ) -> None:
        ports: list[int] = []

        async def call_nested_path(head: RequestHead, stream: ByteStream) -> None:
            if head.target != b"/x" or await _request_status(ports[0], nested_path) == 200:
                await stream.send(answer(head))
            else:
                await stream.send(b"HTTP/1.1 500 F\r\nx-request: r1\r\ncontent-length: 0\r\n\r\n")

        near = Host("near", ScriptedTarget(call_nested_path))
        await near.open(tasks, slots=4)
        entry = near if is_local_entry else Host("far", None)
        if not is_local_entry:
            await entry.open(tasks, slots=4)
        local_entry = EntryServer(
            dispatcher=CallHarness(near, [near], tasks).dispatcher,
            claimer=None,
            levels=ServiceLevels(near.timers),
            targets=near.targets,
            timers=near.timers,
            traffic=near.traffic,
            bodies=near.bodies,
            not_serving=lambda: "",
            dialect=DIALECT,
        )
        local_entry.use(configuration(*RESOURCES))
        await local_entry.open(IP, 0, tasks)
        ports.append(local_entry.port)
        harness = CallHarness(entry, [near], tasks)
        routes = router(*RESOURCES)
        plan = routes.match(host="h", path="/x", method="GET")
        assert plan is not None
        outcome = await harness.dispatcher.run(
            harness.call(), plan, routes, CallWatch(), may_retry=False
        )
        assert isinstance(outcome, Answered)
        results.append(outcome)

    def test_failure_caused_by_a_nested_call_is_marked(self) -> None:
        for is_local_entry in (True, False):
            with self.subTest(is_local_entry=is_local_entry):
                received, _ = self.outcome(nested_path="/inner", is_local_entry=is_local_entry)
                self.assertEqual((received.status, received.is_nested_failure), (500, True))

    def test_host_is_not_blamed_for_a_nested_failure(self) -> None:
        _, attempt = self.outcome(nested_path="/inner", is_local_entry=False)
        self.assertEqual(attempt.candidate.failure_share, 0.0)

    def test_target_is_blamed_for_its_own_failure(self) -> None:
        """A nested call without a route counts as a fault of the target."""
        received, attempt = self.outcome(nested_path="/unknown", is_local_entry=False)
        self.assertEqual((received.status, received.is_nested_failure), (500, False))
        self.assertGreater(attempt.candidate.failure_share, 0.0)

    def test_served_nested_call_leaves_no_mark(self) -> None:
        received, _ = self.outcome(nested_path="/good", is_local_entry=False)
        self.assertEqual((received.status, received.is_nested_failure), (200, False))

    def test_nested_failure_is_not_counted_against_a_version_on_trial(self) -> None:
        for is_nested_failure, reported in ((True, "nothing"), (False, "bad")):
            _, attempt = self.outcome(nested_path="/good", is_local_entry=True)
            run = _RecordingRun()
            attempt._run = run
            attempt._ended = False
            attempt.end(failed_answer(is_nested_failure=is_nested_failure))
            self.assertEqual(run.reported, [reported])


async def _request_status(port: int, path: str) -> int:
    """Requests a path as a nested call of the running one, and returns the status."""
    request = f"GET {path} HTTP/1.1\r\nhost: h\r\nx-request: r1.1\r\nconnection: close\r\n\r\n"
    data = b""
    async with await anyio.connect_tcp(IP, port) as stream:
        await stream.send(request.encode())
        async for part in stream:
            data += part
    return int(data.split(b" ", 2)[1])


class NestedCallOfRetryTest(unittest.TestCase):
    """A nested call of a retry takes a retry of the service that it goes to."""

    def play(self, body: Callable[[CallHarness, Plan, Router], Awaitable[None]]) -> None:
        """Runs `body` at an entry beside a target that serves every call."""

        async def respond(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                near = Host("near", ScriptedTarget(respond))
                await near.open(tasks, slots=4)
                routes = router(*RESOURCES)
                plan = routes.match(host="h", path="/x", method="GET")
                assert plan is not None
                await body(CallHarness(near, [near], tasks), plan, routes)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    # Guards against nested calls of retries that no budget holds back.
    def test_it_is_refused_unsent_without_a_retry_whole_or_streamed(self) -> None:
        async def body(harness: CallHarness, plan: Plan, routes: Router) -> None:
            while harness.budgets.take("a"):
                pass
            call = harness.call(is_repeat=True, depth=1)
            whole = await harness.dispatcher.run(call, plan, routes, CallWatch(), may_retry=True)
            streamed = await harness.dispatcher.admit(
                call.with_changes(is_whole=False, length=10), plan, routes
            )
            for outcome in (whole, streamed):
                assert isinstance(outcome, NotRun), outcome
                self.assertIn("made by a retry", outcome.reason)

        self.play(body)

    def test_it_uses_up_one_retry_where_it_runs(self) -> None:
        async def body(harness: CallHarness, plan: Plan, routes: Router) -> None:
            before = harness.budgets.room("a")
            call = harness.call(is_repeat=True, depth=1)
            outcome = await harness.dispatcher.run(call, plan, routes, CallWatch(), may_retry=True)
            assert isinstance(outcome, Answered), outcome
            outcome.attempt.close()
            self.assertAlmostEqual(before - harness.budgets.room("a"), 1.0)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
