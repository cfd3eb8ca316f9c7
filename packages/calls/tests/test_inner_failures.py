"""A call that fails because a call that its target made was not served: whose fault it is.

A service that others call refuses or fails, and so do calls of the services that call it.  Their
targets and the version of their software do nothing wrong: hosts must not be ejected for it, and a
version on trial, whose daemons have fewer retries saved up, must not be taken back.
"""

from __future__ import annotations

import unittest

import anyio
from call_rig import DIALECT, IP, Host, Rig, ScriptedTarget, answer, configuration, router

from acaciayard_callmodel import Answer, CallWatch
from acaciayard_calls import Answered, EntryServer, ServiceLevels
from acaciayard_calls._attempt import Attempt
from acaciayard_http1 import RequestHead
from acaciayard_resources import Resource, Route, Service
from acaciayard_rollouts import RolloutRun
from acaciayard_wire import ByteStream

RESOURCES: tuple[Resource, ...] = (
    Service(name="a"),
    Service(name="nobody"),
    Route(name="outer", service="a", path="/x"),
    Route(name="inner", service="nobody", path="/inner"),
    Route(name="good", service="a", path="/good"),
)


def failed(*, is_nested_failure: bool) -> Answer:
    return Answer(500, b"", b"", True, 0, is_nested_failure=is_nested_failure)


class _Run(RolloutRun):
    """Notes what a rollout is told of an attempt."""

    def __init__(self) -> None:
        self.told: list[str] = []

    def end(self, *, is_bad: bool) -> None:
        self.told.append("bad" if is_bad else "good")

    def end_unknown(self) -> None:
        self.told.append("nothing")

    def end_refused(self) -> None:
        self.told.append("refused")


class InnerFailureTest(unittest.TestCase):
    def outcome(self, *, inner: str, entry_beside: bool) -> tuple[Answer, Attempt]:
        """What comes of a call whose target asks for `inner` and fails where that does."""
        found: list[Answered] = []

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                await self.play(tasks, found, inner=inner, entry_beside=entry_beside)
                tasks.cancel_scope.cancel()

        anyio.run(run)
        return found[0].answer, found[0].attempt

    async def play(
        self,
        tasks: anyio.abc.TaskGroup,
        found: list[Answered],
        *,
        inner: str,
        entry_beside: bool,
    ) -> None:
        ports: list[int] = []

        async def asks_on(head: RequestHead, stream: ByteStream) -> None:
            if head.target != b"/x" or await _status_of(ports[0], inner) == 200:
                await stream.send(answer(head))
            else:
                await stream.send(b"HTTP/1.1 500 F\r\nx-request: r1\r\ncontent-length: 0\r\n\r\n")

        near = Host("near", ScriptedTarget(asks_on))
        await near.open(tasks, slots=4)
        entry = near if entry_beside else Host("far", None)
        if not entry_beside:
            await entry.open(tasks, slots=4)
        beside = EntryServer(
            dispatcher=Rig(near, [near], tasks).dispatcher,
            claimer=None,
            levels=ServiceLevels(near.timers),
            targets=near.targets,
            timers=near.timers,
            traffic=near.traffic,
            not_serving=lambda: "",
            dialect=DIALECT,
        )
        beside.use(configuration(*RESOURCES))
        await beside.open(IP, 0, tasks)
        ports.append(beside.port)
        rig = Rig(entry, [near], tasks)
        routes = router(*RESOURCES)
        plan = routes.match(host="h", path="/x", method="GET")
        assert plan is not None
        outcome = await rig.dispatcher.run(rig.call(), plan, routes, CallWatch(), may_retry=False)
        assert isinstance(outcome, Answered)
        found.append(outcome)

    def test_failure_for_an_inner_call_is_told_apart(self) -> None:
        for entry_beside in (True, False):
            with self.subTest(entry_beside=entry_beside):
                found, _ = self.outcome(inner="/inner", entry_beside=entry_beside)
                self.assertEqual((found.status, found.is_nested_failure), (500, True))

    def test_host_is_not_blamed_for_it(self) -> None:
        _, attempt = self.outcome(inner="/inner", entry_beside=False)
        self.assertEqual(attempt.candidate.failure_share, 0.0)

    def test_target_that_fails_by_itself_is_blamed(self) -> None:
        """Its inner call has no route: that is a fault of its own."""
        found, attempt = self.outcome(inner="/unknown", entry_beside=False)
        self.assertEqual((found.status, found.is_nested_failure), (500, False))
        self.assertGreater(attempt.candidate.failure_share, 0.0)

    def test_served_inner_call_leaves_no_mark(self) -> None:
        found, _ = self.outcome(inner="/good", entry_beside=False)
        self.assertEqual((found.status, found.is_nested_failure), (200, False))

    def test_version_on_trial_is_told_nothing_of_it(self) -> None:
        for is_nested_failure, told in ((True, "nothing"), (False, "bad")):
            _, attempt = self.outcome(inner="/good", entry_beside=True)
            run = _Run()
            attempt._run = run
            attempt._ended = False
            attempt.end(failed(is_nested_failure=is_nested_failure))
            self.assertEqual(run.told, [told])


async def _status_of(port: int, path: str) -> int:
    """The status that a call gets which is made for the one that runs."""
    request = f"GET {path} HTTP/1.1\r\nhost: h\r\nx-request: r1.1\r\nconnection: close\r\n\r\n"
    data = b""
    async with await anyio.connect_tcp(IP, port) as stream:
        await stream.send(request.encode())
        async for part in stream:
            data += part
    return int(data.split(b" ", 2)[1])


if __name__ == "__main__":
    unittest.main()
