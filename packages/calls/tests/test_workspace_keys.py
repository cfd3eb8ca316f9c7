"""Identification of callers by API key, and the workspace name that targets receive."""

from __future__ import annotations

import io
import unittest
from collections.abc import Awaitable, Callable

import anyio
import structlog
from call_harness import DIALECT, IP, CallHarness, Host, ScriptedTarget, answer, configuration

from acaciayard_callmodel import (
    NO_CAPS,
    CallEnded,
    CallEvents,
    CountedCall,
    NotRun,
    UsageCaps,
)
from acaciayard_calls import EntryServer, ServiceLevels
from acaciayard_http1 import RequestHead
from acaciayard_resources import Resource, Route, Service, Workspace, digest_of_key
from acaciayard_wire import ByteStream

KEY = "3nr26tta828m82thhkmg"
OLD_KEY = "jqnirth5mgjy5rcpihha"
NORTH = Workspace(name="north", keys=(digest_of_key(KEY.encode()),), priority="bulk")
ROUTES: tuple[Resource, ...] = (
    Service(name="a"),
    Route(name="r", service="a", path="/", priority="interactive"),
    Route(name="open", service="a", path="/open", public=True),
)


class LimitedCalls(UsageCaps):
    """Usage caps that allow a limited number of calls."""

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining
        self.counted_workspaces: list[str] = []

    async def take(self, workspace: str) -> CountedCall | NotRun:
        self.counted_workspaces.append(workspace)
        if self.remaining <= 0:
            return NotRun("over its cap", 0.4)
        self.remaining -= 1
        return CountedCall()

    def give_back(self, counted: CountedCall) -> None:
        self.remaining += 1


class _RecordedEvents(CallEvents):
    def __init__(self) -> None:
        self.recorded: list[CallEnded] = []

    def call_ended(self, ended: CallEnded) -> None:
        self.recorded.append(ended)


class MeshFixture:
    """One host with an entry and a target."""

    def __init__(
        self,
        harness: CallHarness,
        target: ScriptedTarget,
        entry: EntryServer,
        events: _RecordedEvents,
    ) -> None:
        self.harness = harness
        self.target = target
        self.entry = entry
        self.events = events
        self.version = 1

    def use(self, *resources: Resource) -> None:
        """Applies a configuration with the given resources."""
        self.version += 1
        self.entry.use(configuration(*resources).with_changes(version=self.version))

    async def send_request(
        self, *headers: str, path: str = "/x", request_id: str = "r1", body: str = ""
    ) -> bytes:
        """Sends a request and returns all data up to the end of the connection."""
        method = "POST" if body else "GET"
        lines = [f"{method} {path} HTTP/1.1", "host: h", f"x-request: {request_id}", *headers]
        async with await anyio.connect_tcp(IP, self.entry.port) as stream:
            length = f"content-length: {len(body)}\r\n" if body else ""
            head = "\r\n".join(lines) + f"\r\n{length}connection: close\r\n\r\n"
            await stream.send(head.encode() + body.encode())
            data = b""
            with anyio.move_on_after(5):
                async for part in stream:
                    data += part
            return data

    def received_values(self, name: str) -> list[bytes]:
        """Returns the values of a header in the latest request at the target."""
        return [
            value for each, value in self.target.request_heads[-1].headers if each == name.encode()
        ]


Scene = Callable[[MeshFixture], Awaitable[None]]


def status_of(response: bytes) -> int:
    return int(response.split(b" ", 2)[1])


class IdentityTest(unittest.TestCase):
    def run_scene(self, scene: Scene, caps: UsageCaps = NO_CAPS) -> None:
        async def respond(head: RequestHead, stream: ByteStream) -> None:
            await stream.send(answer(head))

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                target = ScriptedTarget(respond)
                host = Host("near", target)
                await host.open(tasks, slots=4)
                harness = CallHarness(host, [host], tasks)
                events = _RecordedEvents()
                entry = EntryServer(
                    dispatcher=harness.dispatcher,
                    claimer=None,
                    levels=ServiceLevels(host.timers),
                    targets=host.targets,
                    timers=host.timers,
                    traffic=host.traffic,
                    bodies=host.bodies,
                    not_serving=lambda: "",
                    dialect=DIALECT.with_changes(has_fractional_retry_after=True),
                    events=events,
                    caps=caps,
                )
                await entry.open(IP, 0, tasks)
                await scene(MeshFixture(harness, target, entry, events))
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_key_identifies_the_workspace_and_is_not_forwarded(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES, NORTH)
            response = await mesh.send_request(f"x-api-key: {KEY}", "x-workspace: south")
            self.assertEqual(status_of(response), 200)
            self.assertEqual(mesh.received_values("x-workspace"), [b"north"])
            self.assertEqual(mesh.received_values("x-api-key"), [])
            self.assertNotIn(KEY, str(mesh.target.request_heads))
            self.assertEqual(mesh.events.recorded[-1].workspace, "north")

        self.run_scene(scene)

    def test_unknown_and_missing_keys_are_refused_before_the_body(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES, NORTH)
            for headers in ([], ["x-api-key: stranger"], ["x-workspace: north"]):
                response = await mesh.send_request(*headers, "expect: 100-continue", body="word")
                self.assertEqual(status_of(response), 401, response)
            self.assertEqual(mesh.target.request_heads, [])

        self.run_scene(scene)

    def test_public_route_needs_no_key_and_ignores_workspace_headers(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES, NORTH)
            for headers, received_values in (
                (["x-workspace: north"], []),
                (["x-api-key: stranger"], []),
                ([f"x-api-key: {KEY}"], [b"north"]),
            ):
                response = await mesh.send_request(*headers, path="/open")
                self.assertEqual(status_of(response), 200)
                self.assertEqual(mesh.received_values("x-workspace"), received_values)
                self.assertEqual(mesh.received_values("x-api-key"), [])

        self.run_scene(scene)

    def test_headers_are_forwarded_unchanged_without_workspaces(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES)
            response = await mesh.send_request("x-api-key: mine", "x-workspace: south")
            self.assertEqual(status_of(response), 200)
            self.assertEqual(mesh.received_values("x-workspace"), [b"south"])
            self.assertEqual(mesh.received_values("x-api-key"), [b"mine"])

        self.run_scene(scene)

    def test_priority_of_the_workspace_overrides_that_of_the_route(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            recorded = []

            async def record_parent(head: RequestHead, stream: ByteStream) -> None:
                parent = mesh.harness.entry.targets.parent_of(b"r1.1")
                assert parent is not None
                recorded.append((parent.priority, parent.workspace))
                await stream.send(answer(head))

            mesh.target.script = record_parent
            mesh.use(*ROUTES, NORTH)
            await mesh.send_request(f"x-api-key: {KEY}")
            mesh.use(*ROUTES, Workspace(name="north", keys=NORTH.keys))
            await mesh.send_request(f"x-api-key: {KEY}")
            self.assertEqual(recorded, [(2, "north"), (0, "north")])

        self.run_scene(scene)

    def test_nested_call_inherits_the_workspace(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            nested_responses: list[bytes] = []

            async def make_nested_call(head: RequestHead, stream: ByteStream) -> None:
                if b"r1.1" not in dict(head.headers).values():
                    nested_responses.append(
                        await mesh.send_request("x-workspace: south", request_id="r1.1")
                    )
                await stream.send(answer(head))

            mesh.target.script = make_nested_call
            mesh.use(*ROUTES, NORTH)
            self.assertEqual(status_of(await mesh.send_request(f"x-api-key: {KEY}")), 200)
            self.assertEqual(status_of(nested_responses[0]), 200)
            self.assertEqual(mesh.received_values("x-workspace"), [b"north"])
            self.assertEqual([each.workspace for each in mesh.events.recorded], ["north", "north"])

        self.run_scene(scene)

    def test_nested_call_without_a_running_parent_is_refused_as_not_run(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES, NORTH)
            response = await mesh.send_request(request_id="gone.1")
            self.assertEqual(status_of(response), 503)
            self.assertIn(b"x-outcome: not_run", response)
            self.assertEqual(mesh.target.request_heads, [])
            self.assertEqual(
                status_of(await mesh.send_request(request_id="gone.1", path="/open")), 200
            )

        self.run_scene(scene)

    def test_key_takes_precedence_over_the_request_id_of_a_nested_call(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            south = Workspace(name="south", keys=(digest_of_key(OLD_KEY.encode()),))
            parents = []

            async def make_nested_call(head: RequestHead, stream: ByteStream) -> None:
                if b"r1.1" in dict(head.headers).values():
                    parents.append(mesh.harness.entry.targets.parent_of(b"r1.1.1"))
                else:
                    await mesh.send_request(f"x-api-key: {OLD_KEY}", request_id="r1.1")
                await stream.send(answer(head))

            mesh.target.script = make_nested_call
            mesh.use(*ROUTES, NORTH, south)
            await mesh.send_request(f"x-api-key: {KEY}")
            self.assertEqual(mesh.received_values("x-workspace"), [b"south"])
            self.assertEqual([(call.workspace, call.depth) for call in parents], [("south", 0)])

        self.run_scene(scene)

    def test_key_revoked_while_its_caller_is_connected(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            both = Workspace(name="north", keys=(*NORTH.keys, digest_of_key(OLD_KEY.encode())))
            mesh.use(*ROUTES, both)
            request = f"GET /x HTTP/1.1\r\nhost: h\r\nx-request: r\r\nx-api-key: {OLD_KEY}\r\n\r\n"
            async with await anyio.connect_tcp(IP, mesh.entry.port) as stream:
                await stream.send(request.encode())
                self.assertEqual(status_of(await stream.receive()), 200)
                mesh.use(*ROUTES, NORTH)
                await stream.send(request.encode())
                self.assertEqual(status_of(await stream.receive()), 401)
            self.assertEqual(len(mesh.target.request_heads), 1)

        self.run_scene(scene)

    def test_key_revoked_during_the_body_stays_valid_for_the_request(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES, NORTH)
            head = (
                "POST /x HTTP/1.1\r\nhost: h\r\nx-request: r\r\nconnection: close\r\n"
                f"x-api-key: {KEY}\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n"
            )
            async with await anyio.connect_tcp(IP, mesh.entry.port) as stream:
                await stream.send(head.encode())
                self.assertEqual(status_of(await stream.receive()), 100)
                mesh.use(*ROUTES, Workspace(name="north"))
                await stream.send(b"word")
                self.assertEqual(status_of(await stream.receive()), 200)
            self.assertEqual(status_of(await mesh.send_request(f"x-api-key: {KEY}")), 401)

        self.run_scene(scene)

    def test_workspace_over_its_cap_is_refused_before_the_body(self) -> None:
        caps = LimitedCalls(1)

        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES, NORTH)
            key = f"x-api-key: {KEY}"
            self.assertEqual(status_of(await mesh.send_request(key, body="word")), 200)
            refused = await mesh.send_request(key, "expect: 100-continue", body="word")
            self.assertEqual(status_of(refused), 429)
            self.assertIn(b"retry-after: 0.400", refused)
            self.assertIn(b"x-outcome: not_run", refused)
            self.assertEqual(len(mesh.target.request_heads), 1)
            self.assertEqual(mesh.events.recorded[-1].status, 429)

        self.run_scene(scene, caps)
        self.assertEqual(caps.counted_workspaces, ["north", "north"])

    def test_only_calls_of_identified_callers_are_counted(self) -> None:
        caps = LimitedCalls(9)

        async def scene(mesh: MeshFixture) -> None:
            async def make_nested_call(head: RequestHead, stream: ByteStream) -> None:
                if b"r1.1" not in dict(head.headers).values():
                    await mesh.send_request(request_id="r1.1")
                await stream.send(answer(head))

            mesh.target.script = make_nested_call
            mesh.use(*ROUTES, NORTH)
            self.assertEqual(status_of(await mesh.send_request(f"x-api-key: {KEY}")), 200)
            self.assertEqual(len(mesh.target.request_heads), 2)
            await mesh.send_request("x-api-key: stranger")
            await mesh.send_request(path="/open")

        self.run_scene(scene, caps)
        self.assertEqual((caps.counted_workspaces, caps.remaining), (["north"], 8))

    def test_call_that_reached_no_target_is_not_counted(self) -> None:
        caps = LimitedCalls(9)

        async def scene(mesh: MeshFixture) -> None:
            key = f"x-api-key: {KEY}"
            mesh.use(
                *ROUTES, NORTH, Service(name="none"), Route(name="n", service="none", path="/n")
            )
            self.assertEqual(status_of(await mesh.send_request(key, path="/n")), 503)
            self.assertEqual(caps.remaining, 9)

            async def not_run(head: RequestHead, stream: ByteStream) -> None:
                await stream.send(answer(head, status=503, extra_headers="x-not-run: 1\r\n"))

            mesh.target.script = not_run
            self.assertEqual(status_of(await mesh.send_request(key)), 503)
            self.assertEqual(caps.remaining, 9)

            async def fail(head: RequestHead, stream: ByteStream) -> None:
                await stream.send(answer(head, status=500))

            mesh.target.script = fail
            self.assertEqual(status_of(await mesh.send_request(key)), 500)
            self.assertEqual(caps.remaining, 8)

        self.run_scene(scene, caps)

    def test_keys_do_not_appear_in_responses_requests_or_events(self) -> None:
        async def scene(mesh: MeshFixture) -> None:
            mesh.use(*ROUTES, NORTH)
            answers = [await mesh.send_request(f"x-api-key: {key}") for key in (KEY, OLD_KEY)]
            lines = io.StringIO()
            structlog.PrintLogger(lines).msg(
                repr((mesh.events.recorded, answers, mesh.target.request_heads))
            )
            for key in (KEY, OLD_KEY):
                self.assertNotIn(key, lines.getvalue())

        self.run_scene(scene)


if __name__ == "__main__":
    unittest.main()
