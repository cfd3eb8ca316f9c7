"""Makes calls of requests, or refuses them before they become calls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from attrs import define

from acaciayard_http1 import (
    Framing,
    HttpError,
    Limits,
    RequestHead,
    first_header,
    render_fields,
)
from acaciayard_timers import TimerService

from ._budgets import CallerLimiter
from ._call import LARGEST_WHOLE_BODY, UNKNOWN_LENGTH, Call, NotRun
from ._claimer import Claimer
from ._dispatcher import ATTEMPT_HEADER, Dispatcher
from ._levels import ServiceLevels
from ._local import DEADLINE_HEADER, end_to_end
from ._router import Plan, Router

__all__ = [
    "CALLER_HEADER",
    "KEY_HEADER",
    "EntryContext",
    "RejectedError",
    "call_of",
    "is_small",
    "number_in",
    "plan_for",
]

#: Header by which callers name themselves.
CALLER_HEADER: Final = b"x-caller"
#: Header with the idempotency key of a call.
KEY_HEADER: Final = b"idempotency-key"
#: Header that counts the calls behind one another; services pass it on.
DEPTH_HEADER: Final = b"x-call-depth"
_DEEPEST: Final = 64
_REPLACED_HEADERS: Final = (ATTEMPT_HEADER, DEADLINE_HEADER, DEPTH_HEADER, b"expect")
_NO_ROUTE_RETRY_AFTER: Final = 1.0


@define
class EntryContext:
    """What all connections of callers share."""

    #: Brings calls to targets.
    dispatcher: Dispatcher
    #: Claims idempotency keys.
    claimer: Claimer
    #: Limits by caller.
    limiter: CallerLimiter
    #: Counts how calls were answered.
    levels: ServiceLevels
    #: Time.
    timers: TimerService
    #: What a request may cost.
    limits: Limits
    #: Why no calls are served now, empty when they are.
    not_serving: Callable[[], str]
    #: Routes of the configuration in force; `None` until there is one.
    router: Router | None = None
    #: Whether connections end after their present request.
    is_stopping: bool = False
    #: Requests served.
    served: int = 0


class RejectedError(Exception):
    """The request is refused before it becomes a call."""

    def __init__(self, status: int, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.status = status
        self.refusal = refusal


def plan_for(head: RequestHead, context: EntryContext) -> tuple[Router, Plan]:
    """The plan for a request; raises `RejectedError` or `HttpError`."""
    hosts = [value for name, value in head.headers if name == b"host"]
    if len(hosts) != 1 and not (head.is_http10 and not hosts):
        raise HttpError(400, "a request needs exactly one Host header")
    reason = context.not_serving()
    router = context.router
    if reason or router is None:
        raise RejectedError(503, NotRun(reason or "no configuration is in force", 1.0))
    if number_in(head, DEPTH_HEADER, 0) >= _DEEPEST:
        raise RejectedError(508, NotRun(f"more than {_DEEPEST} calls behind one another", 60.0))
    plan = router.match(
        host=(hosts[0] if hosts else b"").decode("latin-1"),
        path=head.path.decode("latin-1"),
        method=head.method.decode("latin-1"),
    )
    if plan is None:
        raise RejectedError(404, NotRun("no route matches", _NO_ROUTE_RETRY_AFTER))
    return router, plan


def is_small(head: RequestHead) -> bool:
    """Whether the body of a request travels in one piece with its head."""
    length = length_of(head)
    return length <= LARGEST_WHOLE_BODY and length != UNKNOWN_LENGTH


def call_of(head: RequestHead, plan: Plan, *, started: float, body: bytes) -> Call:
    """The call that a request asks for; `body` is its whole body where that is small."""
    seconds = plan.timeout.total_s
    asked = number_in(head, DEADLINE_HEADER, 0)
    if asked > 0:
        seconds = min(seconds, asked / 1000)
    depth = number_in(head, DEPTH_HEADER, 0) + 1
    kept = tuple(f for f in end_to_end(head.headers) if f[0] not in _REPLACED_HEADERS)
    return Call(
        service=plan.service.name,
        method=head.method,
        target=head.target,
        fields=b"%s%s: %d\r\n" % (render_fields(kept), DEPTH_HEADER, depth),
        body=body,
        is_whole=is_small(head),
        length=length_of(head),
        priority=plan.priority,
        deadline=started + seconds,
    )


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
