"""Makes calls of requests, or refuses them before they become calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import anyio.abc
from attrs import define

from acaciayard_admission import CallerLimiter, LocalTargets
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
    Framing,
    HttpError,
    Limits,
    RequestHead,
    first_header,
    render_fields,
)
from acaciayard_routing import Plan, Router
from acaciayard_timers import TimerService

from ._claimer import Claimer
from ._dispatcher import Dispatcher
from ._first_request import FirstRequestEstimator
from ._identity import Identity
from ._levels import ServiceLevels
from ._refusals import RejectedError

__all__ = [
    "EntryContext",
    "call_of",
    "is_small",
    "number_in",
    "plan_for",
    "told_deadline",
]

_DEEPEST: Final = 64
_NO_ROUTE_RETRY_AFTER: Final = 1.0
#: Seconds that a caller is told to wait while this daemon serves no calls: a start takes 0.2 to
#: 0.4 s from its first open port to the configuration in force.
_NOT_SERVING_RETRY_AFTER: Final = 0.2


@define
class EntryContext:
    """What all connections of callers share."""

    #: Brings calls to targets.
    dispatcher: Dispatcher
    #: Claims idempotency keys; `None` where callers use none.
    claimer: Claimer | None
    #: Limits by caller.
    limiter: CallerLimiter
    #: Counts how calls were answered.
    levels: ServiceLevels
    #: Targets on this host, which may make calls of their own.
    targets: LocalTargets
    #: Time.
    timers: TimerService
    #: Tells first calls from repeats.
    first_asked: FirstRequestEstimator
    #: What a request may cost.
    limits: Limits
    #: Why no calls are served now, empty when they are.
    not_serving: Callable[[], str]
    #: Caps of workspaces.
    caps: UsageCaps = NO_CAPS
    #: Names of header fields.
    dialect: Dialect = OWN_DIALECT
    #: Value of the header that tells the service of this host, where the dialect has one.
    origin: bytes = b""
    #: Bodies up to so many bytes are held here, so that they can be offered to a second host.
    largest_held_body: int = LARGEST_WHOLE_BODY
    #: Whether bodies of unknown length are held as well, up to that size.
    holds_chunked: bool = False
    #: Seconds that a connection may wait for its next request.
    idle_for: float = 75.0
    #: Is told how each call ends.
    events: CallEvents = NO_EVENTS
    #: Routes of the configuration in force; `None` until there is one.
    router: Router | None = None
    #: Whether connections end after their present request.
    is_stopping: bool = False
    #: Requests served.
    served: int = 0
    #: Where requests are read and run beside earlier ones of their connection; `None` for nowhere.
    tasks: anyio.abc.TaskGroup | None = None


def plan_for(head: RequestHead, context: EntryContext) -> tuple[Router, Plan]:
    """The plan for a request; raises `RejectedError` or `HttpError`."""
    hosts = [value for name, value in head.headers if name == b"host"]
    if len(hosts) != 1 and not (head.is_http10 and not hosts):
        raise HttpError(400, "a request needs exactly one Host header")
    reason = context.not_serving()
    router = context.router
    if reason or router is None:
        refusal = NotRun(reason or "no configuration is in force", _NOT_SERVING_RETRY_AFTER)
        raise RejectedError(503, refusal)
    depth = context.dialect.depth
    if depth and number_in(head, depth, 0) >= _DEEPEST:
        raise RejectedError(508, NotRun(f"more than {_DEEPEST} calls behind one another", 60.0))
    plan = router.match(
        host=(hosts[0] if hosts else b"").decode("latin-1"),
        path=head.path.decode("latin-1"),
        method=head.method.decode("latin-1"),
    )
    if plan is None:
        raise RejectedError(404, NotRun("no route matches", _NO_ROUTE_RETRY_AFTER))
    return router, plan


def is_small(head: RequestHead, context: EntryContext) -> bool:
    """Whether the body of a request is read before the call is made."""
    length = length_of(head)
    if length == UNKNOWN_LENGTH:
        return context.holds_chunked
    return length <= context.largest_held_body


def call_of(
    head: RequestHead,
    plan: Plan,
    context: EntryContext,
    identity: Identity,
    *,
    started: float,
    body: bytes,
    start_by: float,
) -> Call:
    """The call that a request asks for; `body` is its whole body where that is held."""
    dialect = context.dialect
    seconds = plan.timeout.total_s
    told = told_deadline(head, context)
    if told > 0:
        seconds = min(seconds, told)
    is_whole = is_small(head, context)
    return Call(
        service=plan.service.name,
        method=head.method,
        target=head.target,
        fields=_fields_of(head, context, identity),
        body=body,
        is_whole=is_whole,
        length=len(body) if is_whole else length_of(head),
        priority=plan.priority,
        deadline=started + seconds,
        start_by=start_by,
        request_id=first_header(head.headers, dialect.request_id) if dialect.request_id else b"",
        is_idempotent=plan.route.idempotent,
        workspace=identity.workspace,
    )


def told_deadline(head: RequestHead, context: EntryContext) -> float:
    """Seconds for which the caller of a request says that it waits, 0 where it does not say."""
    return number_in(head, context.dialect.deadline, 0) / 1000


def _fields_of(head: RequestHead, context: EntryContext, identity: Identity) -> bytes:
    """The header fields that travel with the call, rendered."""
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


def length_of(head: RequestHead) -> int:
    """Bytes of a request's body, `UNKNOWN_LENGTH` where its end alone tells."""
    if head.framing is Framing.NONE:
        return 0
    if head.framing is Framing.SIZED:
        return int(first_header(head.headers, b"content-length"))
    return UNKNOWN_LENGTH


def number_in(head: RequestHead, name: bytes, default: int) -> int:
    """The value of a header that holds a whole number; raises `HttpError` for anything else."""
    value = first_header(head.headers, name)
    if not value:
        return default
    if not value.isdigit() or len(value) > 12:
        raise HttpError(400, f"{name.decode()} must be a whole number")
    return int(value)
