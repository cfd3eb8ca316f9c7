"""Converts requests into calls, or rejects them before a call is made."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio.abc
from attrs import define, field

from acaciayard_admission import CallerLimiter, LocalTargets, RecentDurations
from acaciayard_callmodel import (
    LARGEST_WHOLE_BODY,
    NO_CAPS,
    NO_EVENTS,
    OWN_DIALECT,
    UNKNOWN_LENGTH,
    Call,
    CallEvents,
    Dialect,
    NotRun,
    UsageCaps,
    end_to_end,
)
from acaciayard_http1 import (
    HttpError,
    Limits,
    RequestHead,
    first_header,
    length_of,
    render_fields,
)
from acaciayard_routing import Plan, Router
from acaciayard_timers import TimerService
from acaciayard_wire import BodyBudget

from ._claimer import Claimer
from ._connection_limits import CallsInProgress, ConnectionLimits
from ._dispatcher import Dispatcher
from ._first_asked import FirstRequestEstimator
from ._identity import Identity
from ._levels import ServiceLevels
from ._refusals import RejectedError

__all__ = [
    "EntryContext",
    "call_of",
    "deadline_of",
    "is_buffered",
    "number_in",
    "plan_for",
    "requested_timeout",
]

#: Maximum nesting depth of calls; deeper ones are rejected with status 508.
_MAX_CALL_DEPTH: Final = 64
_NO_ROUTE_RETRY_AFTER_S: Final = 1.0
#: Retry-After in seconds while this daemon serves no calls.  A start takes 0.2 to 0.4 s from the
#: first open port to an active configuration.
_NOT_SERVING_RETRY_AFTER_S: Final = 0.2


@define
class EntryContext:
    """The dependencies, settings and state that all connections of callers share."""

    #: Dispatches calls to targets.
    dispatcher: Dispatcher
    #: Claims idempotency keys; `None` if keys are not supported.
    claimer: Claimer | None
    #: Rate and concurrency limits by caller.
    limiter: CallerLimiter
    #: Counts well answered and other calls.
    levels: ServiceLevels
    #: Targets on this host, which may make nested calls.
    targets: LocalTargets
    timers: TimerService
    #: Bounds the bodies that this process holds.
    bodies: BodyBudget
    #: Estimates when the caller of a call first sent it.
    first_request_estimator: FirstRequestEstimator
    #: Size limits of requests.
    limits: Limits
    #: Returns why no calls are served, or an empty string if they are.
    not_serving: Callable[[], str]
    #: Usage caps of workspaces.
    caps: UsageCaps = NO_CAPS
    #: Names of the header fields.
    dialect: Dialect = OWN_DIALECT
    #: Value of the header that names the service of this host, if the dialect has one.
    origin: bytes = b""
    #: Largest body in bytes that is buffered, so that the call can be offered to a second host.
    max_buffered_body: int = LARGEST_WHOLE_BODY
    #: Whether bodies of unknown length are buffered as well; the rest of larger ones is streamed.
    buffers_chunked: bool = False
    #: Seconds within which the head of a request must be complete once it was begun.
    head_for: float = 75.0
    #: Seconds for which a connection may wait for its next request.
    idle_for: float = 75.0
    #: Receives the outcome of each call.
    events: CallEvents = NO_EVENTS
    #: Routes of the active configuration; `None` until there is one.
    router: Router | None = None
    #: Whether connections close after their requests in progress.
    is_stopping: bool = False
    #: Whether new requests are refused, except for nested calls of those in progress.
    is_refusing: bool = False
    #: Number of requests served.
    served: int = 0
    #: The calls in progress.
    calls: CallsInProgress = field(factory=lambda: CallsInProgress(ConnectionLimits().calls))
    #: Runs requests concurrently with earlier ones of their connection; `None` to run them in
    #: sequence.
    tasks: anyio.abc.TaskGroup | None = None
    #: Recent durations of requests that targets have run, by route.
    durations: RecentDurations = field(init=False)

    @durations.default
    def _no_durations(self) -> RecentDurations:
        return RecentDurations(self.timers)


def plan_for(head: RequestHead, context: EntryContext) -> tuple[Router, Plan]:
    """The plan for a request; raises `RejectedError` or `HttpError`."""
    hosts = [value for name, value in head.headers if name == b"host"]
    if len(hosts) != 1 and not (head.is_http10 and not hosts):
        raise HttpError(400, "a request needs exactly one Host header")
    reason = context.not_serving()
    router = context.router
    if reason or router is None:
        refusal = NotRun(reason or "no configuration is in force", _NOT_SERVING_RETRY_AFTER_S)
        raise RejectedError(503, refusal)
    depth = context.dialect.depth
    if depth and number_in(head, depth, 0) >= _MAX_CALL_DEPTH:
        raise RejectedError(
            508, NotRun(f"more than {_MAX_CALL_DEPTH} calls behind one another", 60.0)
        )
    plan = router.match(
        host=(hosts[0] if hosts else b"").decode("latin-1"),
        path=head.path.decode("latin-1"),
        method=head.method.decode("latin-1"),
    )
    if plan is None:
        raise RejectedError(404, NotRun("no route matches", _NO_ROUTE_RETRY_AFTER_S))
    return router, plan


def is_buffered(head: RequestHead, context: EntryContext) -> bool:
    """Whether the body of a request is buffered before the call is made, or begins to be.

    One of unknown length that turns out to be larger than what is buffered is streamed from there.
    """
    length = length_of(head)
    if length == UNKNOWN_LENGTH:
        return context.buffers_chunked
    return length <= context.max_buffered_body


def call_of(
    head: RequestHead,
    plan: Plan,
    context: EntryContext,
    identity: Identity,
    *,
    started: float,
    body: bytes | None,
    start_by: float,
) -> Call:
    """Create the call of a request; `body` is the complete body, `None` if it is streamed."""
    dialect = context.dialect
    return Call(
        service=plan.service.name,
        method=head.method,
        target=head.target,
        fields=_fields_of(head, context, identity),
        body=body or b"",
        is_whole=body is not None,
        length=len(body) if body is not None else length_of(head),
        priority=plan.priority,
        deadline=deadline_of(head, plan, context, started=started),
        start_by=start_by,
        request_id=first_header(head.headers, dialect.request_id) if dialect.request_id else b"",
        is_idempotent=plan.route.idempotent,
        workspace=identity.workspace,
    )


def deadline_of(head: RequestHead, plan: Plan, context: EntryContext, *, started: float) -> float:
    """When a request must be answered, by its route and its caller."""
    seconds = plan.timeout.total_s
    caller_timeout = requested_timeout(head, context)
    if caller_timeout > 0:
        seconds = min(seconds, caller_timeout)
    return started + seconds


def requested_timeout(head: RequestHead, context: EntryContext) -> float:
    """Seconds that the caller will wait according to its header, 0 if it sends none."""
    return number_in(head, context.dialect.deadline, 0) / 1000


def _fields_of(head: RequestHead, context: EntryContext, identity: Identity) -> bytes:
    """The rendered header fields that are forwarded with the call."""
    dialect = context.dialect
    replaced = dialect.replaced
    if identity.is_checked:
        replaced |= dialect.identifying
    fields = render_fields(tuple(f for f in end_to_end(head.headers) if f[0] not in replaced))
    if dialect.depth:
        fields += b"%s: %d\r\n" % (dialect.depth, number_in(head, dialect.depth, 0) + 1)
    if dialect.origin:
        fields += b"%s: %s\r\n" % (dialect.origin, context.origin)
    if identity.workspace and dialect.workspace:
        fields += b"%s: %s\r\n" % (dialect.workspace, identity.workspace.encode())
    return fields


def number_in(head: RequestHead, name: bytes, default: int) -> int:
    """The value of an integer header, or `default`; raises `HttpError` if it is malformed."""
    value = first_header(head.headers, name)
    if not value:
        return default
    if not value.isdigit() or len(value) > 12:
        raise HttpError(400, f"{name.decode()} must be a whole number")
    return int(value)
