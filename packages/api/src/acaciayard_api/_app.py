"""The API as an ASGI application."""

from __future__ import annotations

import json
import secrets
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any, Final

import anyio
import httpx
from attrs import frozen
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route as UrlRoute

from acaciayard_admission import (
    ANNOUNCE_INTERVAL_SECONDS,
    LEASE_SECONDS,
    AnnouncementResult,
    LocalTargets,
    Suspects,
)
from acaciayard_calls import ServiceLevels
from acaciayard_membership import Member, MemberTable
from acaciayard_quotas import MeshCaps
from acaciayard_resources import (
    KINDS,
    Deletion,
    Finding,
    FindingsError,
    Outcome,
    Place,
    Proposal,
    Put,
    ResourceKey,
    Service,
    Workspace,
    decode_resource,
)
from acaciayard_spread import Spread
from acaciayard_timers import TimerService

from ._changes import ChangeService, NotProposed, Unsure
from ._openapi import openapi_document
from ._requests import read_announcement, read_change
from ._views import (
    accepted_view,
    finding_views,
    level_view,
    member_view,
    outcome_view,
    progress_view,
    stored_view,
    suspect_view,
    workspace_view,
)

__all__ = ["ApiContext", "api_application"]

_TOO_OLD: Final = "too old, start over"
#: Daemons that are asked at once for what they tell, and seconds for their answers.
_ASKED_AT_ONCE: Final = 32
_ASK_WITHIN: Final = 2.0
_RETRY_AFTER: Final = {"Retry-After": "1"}


@frozen
class ApiContext:
    """What the API shows and changes."""

    #: Who else is there.
    table: MemberTable
    #: What this daemon holds and has in force.
    spread: Spread
    #: Submits and follows changes.
    changes: ChangeService
    #: Targets on this host.
    targets: LocalTargets
    #: Requests that are suspected of ending targets.
    suspects: Suspects
    #: Service levels of calls that came in here.
    levels: ServiceLevels
    #: Caps of workspaces.
    caps: MeshCaps
    #: Time.
    timers: TimerService
    #: State and measures of this daemon.
    status: Callable[[], dict[str, Any]]


def _error(status: int, message: str, findings: list[dict[str, str]] | None = None) -> Response:
    body = {"error": message, "findings": findings or []}
    headers = _RETRY_AFTER if status == 503 else None
    return JSONResponse(body, status_code=status, headers=headers)


def _json_lines(events: AsyncIterator[dict[str, Any]]) -> StreamingResponse:
    async def lines() -> AsyncIterator[bytes]:
        async for event in events:
            yield json.dumps(event).encode() + b"\n"

    return StreamingResponse(lines(), media_type="application/x-ndjson")


class _Api:
    """The handlers, one per path and method."""

    def __init__(self, context: ApiContext) -> None:
        self._context = context

    # --- resources ----------------------------------------------------------------------------

    async def list_resources(self, request: Request) -> Response:
        kind = request.query_params.get("kind")
        if kind is not None and kind not in KINDS:
            return _error(400, f"there is no kind {kind!r}; use {', '.join(KINDS)}")
        configuration = self._context.spread.holder.state.configuration
        items = [
            stored_view(item)
            for key, item in sorted(configuration.stored.items())
            if kind in (None, key.kind)
        ]
        return JSONResponse({"version": configuration.version, "resources": items})

    async def get_resource(self, request: Request) -> Response:
        key = ResourceKey(request.path_params["kind"], request.path_params["name"])
        item = self._context.spread.holder.state.configuration.stored.get(key)
        if item is None:
            return _error(404, f"there is no {key}")
        return JSONResponse(stored_view(item), headers={"ETag": f'"{item.revision}"'})

    async def put_resource(self, request: Request) -> Response:
        kind = request.path_params["kind"]
        name = request.path_params["name"]
        spec = await self._body(request)
        if not isinstance(spec, dict) or spec.setdefault("name", name) != name:
            return _error(400, f"the body must be an object with name {name!r} or none")
        resource = decode_resource(kind, spec, place=Place(source="request body", path=kind))
        return await self._submit(
            Proposal(
                change_id=self._change_id(request),
                author=request.headers.get("x-author", "unknown"),
                time=self._context.timers.wall(),
                puts=(Put(resource, _revision(request)),),
            )
        )

    async def delete_resource(self, request: Request) -> Response:
        key = ResourceKey(request.path_params["kind"], request.path_params["name"])
        return await self._submit(
            Proposal(
                change_id=self._change_id(request),
                author=request.headers.get("x-author", "unknown"),
                time=self._context.timers.wall(),
                deletions=(Deletion(key, _revision(request)),),
            )
        )

    async def post_change(self, request: Request) -> Response:
        body = await self._body(request)
        return await self._submit(read_change(body, time=self._context.timers.wall()))

    @staticmethod
    def _change_id(request: Request) -> str:
        return request.headers.get("x-change") or secrets.token_hex(8)

    @staticmethod
    async def _body(request: Request) -> Any:
        try:
            return json.loads(await request.body())
        except ValueError as error:
            place = Place(source="request body")
            raise FindingsError.of([Finding(place, f"is no JSON: {error}", "mend it")]) from error

    async def _submit(self, proposal: Proposal) -> Response:
        match await self._context.changes.submit(proposal):
            case Outcome() as outcome if outcome.is_accepted:
                return JSONResponse(outcome_view(outcome))
            case Outcome() as outcome:
                moved = any("has moved" in finding.message for finding in outcome.findings)
                return JSONResponse(outcome_view(outcome), status_code=409 if moved else 422)
            case NotProposed(reason):
                return _error(503, f"not proposed: {reason}")
            case Unsure(reason):
                pass
        body = {
            "change": proposal.change_id,
            "state": "unknown",
            "error": f"{reason}; repeat the change with the same identity",
        }
        return JSONResponse(body, status_code=504)

    # --- following ----------------------------------------------------------------------------

    async def get_change(self, request: Request) -> Response:
        change_id = request.path_params["change"]
        outcome = self._context.changes.outcome(change_id)
        if outcome is None:
            return _error(404, f"change {change_id!r} is not known here")
        view = outcome_view(outcome)
        progress = self._context.changes.progress(change_id)
        if progress is not None:
            view["progress"] = progress_view(progress)
        return JSONResponse(view)

    async def watch_change(self, request: Request) -> Response:
        change_id = request.path_params["change"]
        if self._context.changes.progress(change_id) is None:
            return _error(404, f"change {change_id!r} is not followed here")
        return _json_lines(self._progress_events(change_id))

    async def _progress_events(self, change_id: str) -> AsyncIterator[dict[str, Any]]:
        seen = 0
        while True:
            step = await self._context.changes.next_progress(change_id, seen)
            if step is None:
                return
            progress, seen, is_over = step
            yield progress_view(progress)
            if is_over:
                return

    async def watch(self, request: Request) -> Response:
        text = request.query_params.get("from", "0")
        if not text.isdigit():
            return _error(400, f"from={text!r} is no version")
        version = int(text)
        if self._context.spread.holder.changes_after(version) is None:
            return _error(410, f"{_TOO_OLD}: changes after version {version} are not kept here")
        return _json_lines(self._accepted_events(version))

    async def _accepted_events(self, version: int) -> AsyncIterator[dict[str, Any]]:
        holder = self._context.spread.holder
        while True:
            seen = holder.changed.count
            changes = holder.changes_after(version)
            if changes is None:
                yield {"type": "error", "error": _TOO_OLD, "version": version}
                return
            for change in changes:
                version = change.version
                yield accepted_view(change)
            await holder.changed.wait_beyond(seen)

    async def history(self, _request: Request) -> Response:
        holder = self._context.spread.holder
        first = holder.history_start
        changes = holder.changes_after(first) or []
        return JSONResponse(
            {"since": first, "changes": [accepted_view(change) for change in changes]}
        )

    # --- state --------------------------------------------------------------------------------

    async def members(self, _request: Request) -> Response:
        return JSONResponse([member_view(m) for m in self._context.table.present()])

    async def status(self, _request: Request) -> Response:
        return JSONResponse(self._context.status())

    async def report(self, request: Request) -> Response:
        return await self._of_hosts(request, self._own_levels())

    async def _of_hosts(self, request: Request, own: list[dict[str, Any]]) -> Response:
        """What this daemon tells, and with scope=mesh what all others tell at the same path."""
        if request.query_params.get("scope") != "mesh":
            return JSONResponse({"hosts": {self._context.table.own.host: own}, "silent": []})
        hosts: dict[str, Any] = {self._context.table.own.host: own}
        limit = anyio.CapacityLimiter(_ASKED_AT_ONCE)
        async with httpx.AsyncClient(timeout=_ASK_WITHIN, trust_env=False) as client:
            async with anyio.create_task_group() as tasks:
                for member in self._context.table.others():
                    tasks.start_soon(_ask, client, limit, member, request.url.path, hosts)
        silent = [m.host for m in self._context.table.others() if m.host not in hosts]
        return JSONResponse({"hosts": hosts, "silent": silent})

    def _own_levels(self) -> list[dict[str, Any]]:
        configuration = self._context.spread.holder.state.configuration
        services = {service.name: service for service in configuration.all_of(Service)}
        return [level_view(report) for report in self._context.levels.report(services)]

    async def openapi(self, _request: Request) -> Response:
        return JSONResponse(openapi_document())

    # --- workspaces ---------------------------------------------------------------------------

    async def list_workspaces(self, request: Request) -> Response:
        return await self._of_hosts(request, [self._workspace(each) for each in self._workspaces()])

    async def get_workspace(self, request: Request) -> Response:
        name = request.path_params["name"]
        own = [self._workspace(each) for each in self._workspaces() if each.name == name]
        if not own:
            return _error(404, f"there is no workspace {name!r}")
        return await self._of_hosts(request, own)

    def _workspaces(self) -> Iterator[Workspace]:
        return self._context.spread.holder.state.configuration.all_of(Workspace)

    def _workspace(self, workspace: Workspace) -> dict[str, Any]:
        caps = self._context.caps
        return workspace_view(
            workspace,
            refused=caps.refused[workspace.name],
            held=caps.held(workspace.name),
            seats=caps.local_seats(workspace.name),
        )

    # --- suspects -----------------------------------------------------------------------------

    async def list_suspects(self, _request: Request) -> Response:
        suspects = self._context.suspects
        return JSONResponse([suspect_view(s, suspects.is_barred(s)) for s in suspects.all()])

    async def lift_suspect(self, request: Request) -> Response:
        text = request.path_params["fingerprint"]
        try:
            is_lifted = self._context.suspects.lift(bytes.fromhex(text))
        except ValueError:
            return _error(400, f"{text!r} is no fingerprint: 16 hexadecimal digits")
        if not is_lifted:
            return _error(404, f"nothing is held against a request with fingerprint {text}")
        return JSONResponse({"lifted": text})

    # --- targets ------------------------------------------------------------------------------

    async def announce(self, request: Request) -> Response:
        result = self._context.targets.announce(read_announcement(await self._body(request)))
        if result is AnnouncementResult.TOO_MANY:
            return _error(503, result.value)
        return JSONResponse(
            {"lease_s": LEASE_SECONDS, "announce_every_s": ANNOUNCE_INTERVAL_SECONDS}
        )

    async def withdraw(self, request: Request) -> Response:
        name = request.path_params["name"]
        if not self._context.targets.withdraw(name, "the target has ended"):
            return _error(404, f"no target {name!r} is announced")
        return JSONResponse({"withdrawn": name})


async def _ask(
    client: httpx.AsyncClient,
    limit: anyio.CapacityLimiter,
    member: Member,
    path: str,
    hosts: dict[str, Any],
) -> None:
    async with limit:
        try:
            answer = await client.get(f"http://{member.ip}:{member.api_port}{path}")
            hosts.update(answer.json()["hosts"])
        except (httpx.HTTPError, ValueError, KeyError):
            return  # what is answered names it as silent


def _revision(request: Request) -> int:
    """The revision in `If-Match`; 0, for a resource that must not exist yet, without one."""
    text = request.headers.get("if-match", "0").strip('" ')
    if not text.isdigit():
        place = Place(source="If-Match")
        raise FindingsError.of([Finding(place, f"{text!r} is no revision", 'use "12"')])
    return int(text)


async def _on_findings(_request: Request, error: Exception) -> Response:
    assert isinstance(error, FindingsError)
    return _error(400, "the request is not valid", finding_views(error.items))


def api_application(context: ApiContext) -> Starlette:
    """The application that a server such as hypercorn runs."""
    api = _Api(context)
    one = "/v1/resources/{kind}/{name}"
    return Starlette(
        routes=[
            UrlRoute("/v1/resources", api.list_resources),
            UrlRoute(one, api.get_resource),
            UrlRoute(one, api.put_resource, methods=["PUT"]),
            UrlRoute(one, api.delete_resource, methods=["DELETE"]),
            UrlRoute("/v1/changes", api.post_change, methods=["POST"]),
            UrlRoute("/v1/changes/{change}", api.get_change),
            UrlRoute("/v1/changes/{change}/watch", api.watch_change),
            UrlRoute("/v1/watch", api.watch),
            UrlRoute("/v1/history", api.history),
            UrlRoute("/v1/members", api.members),
            UrlRoute("/v1/status", api.status),
            UrlRoute("/v1/report", api.report),
            UrlRoute("/v1/openapi.json", api.openapi),
            UrlRoute("/v1/workspaces", api.list_workspaces),
            UrlRoute("/v1/workspaces/{name}", api.get_workspace),
            UrlRoute("/v1/suspects", api.list_suspects),
            UrlRoute("/v1/suspects/{fingerprint}", api.lift_suspect, methods=["DELETE"]),
            UrlRoute("/v1/targets", api.announce, methods=["POST"]),
            UrlRoute("/v1/targets/{name}", api.withdraw, methods=["DELETE"]),
        ],
        exception_handlers={FindingsError: _on_findings},
    )
