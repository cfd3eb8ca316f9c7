"""One caller's connection, and its requests one by one."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Final

import anyio
from attrs import define

from acaciayard_http1 import (
    CONTINUE,
    BodyPart,
    End,
    Framing,
    HttpError,
    Limits,
    RequestHead,
    RequestReader,
    first_header,
    render_fields,
)
from acaciayard_timers import TimerService
from acaciayard_wire import ByteStream, StreamLostError

from ._answers import AnswerWriter
from ._budgets import CallerLimiter
from ._call import (
    LARGEST_WHOLE_BODY,
    UNKNOWN_LENGTH,
    Answer,
    Call,
    CallWatch,
    NotRun,
    OutcomeUnknown,
)
from ._claimer import Claimed, Claimer, Taken
from ._dispatcher import ATTEMPT_HEADER, Answered, Attempt, Dispatcher
from ._levels import ServiceLevels
from ._local import DEADLINE_HEADER, end_to_end
from ._refusals import fault_bytes
from ._router import Plan, Router

__all__ = ["CallerConnection", "EntryContext"]

#: Header by which callers name themselves.
CALLER_HEADER: Final = b"x-caller"
#: Header with the idempotency key of a call.
KEY_HEADER: Final = b"idempotency-key"
#: Header that counts the calls behind one another; services pass it on.
DEPTH_HEADER: Final = b"x-call-depth"
#: Header that marks the kept answer of an earlier call with the same key.
REPLAYED: Final = b"x-replayed: true\r\n"
_DEEPEST: Final = 64
#: Seconds that a connection may wait for its next request.
_IDLE_FOR: Final = 75.0
#: Seconds and bytes spent on reading the rest of a refused request, so that its sender gets to
#: read the answer.
_LINGER: Final = 1.0
_LINGER_BYTES: Final = 4 * 1024 * 1024
_REPLACED_HEADERS: Final = (ATTEMPT_HEADER, DEADLINE_HEADER, DEPTH_HEADER, b"expect")
_NO_ROUTE_RETRY_AFTER: Final = 1.0
#: Largest answer that is kept for callers that repeat a call with a key.
_LARGEST_KEPT: Final = 256 * 1024


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


class _RejectedError(Exception):
    """The request is refused before it becomes a call."""

    def __init__(self, status: int, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.status = status
        self.refusal = refusal


class CallerConnection:
    """Reads requests, has them run, and writes the answers, strictly in turn."""

    def __init__(self, stream: ByteStream, context: EntryContext) -> None:
        self._stream = stream
        self._context = context
        self._timers = context.timers
        self._reader = RequestReader(stream, context.limits)
        self._is_busy = False
        self._idle_since = self._timers.now()
        self._body_unread = False
        self._is_handed_over = False
        self._answers = AnswerWriter(stream, context.timers, self._keeps_alive)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being served."""
        return self._is_busy

    def close_if_late(self) -> None:
        """Close the connection if its next request is not whole after a long time.

        Called now and then for all connections, which costs a request less than a timer does.
        """
        if self._is_busy or self._timers.now() - self._idle_since < _IDLE_FOR:
            return
        if self._reader.is_mid_head:
            with contextlib.suppress(StreamLostError):
                late = HttpError(408, "the request came too slowly")
                self._stream.send_nowait(fault_bytes(late, may_have_run=False))
        self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served."""
        if not self._is_busy:
            self._stream.close()

    def _keeps_alive(self, head: RequestHead) -> bool:
        return head.keep_alive and not self._context.is_stopping and not self._body_unread

    async def run(self) -> None:
        """Serve requests until the caller closes or something ends the connection."""
        try:
            while True:
                head = await self._reader.next_head()
                if head is None or not await self._serve(head):
                    return
        except* HttpError as group:
            await self._report_fault(group)
        except* StreamLostError:
            pass  # the caller is gone; there is nobody to tell

    async def _report_fault(self, group: ExceptionGroup[HttpError]) -> None:
        if self._answers.is_mid_answer:
            self._stream.abort()
            return
        fault = group.exceptions[0]
        assert isinstance(fault, HttpError)
        try:
            await self._stream.send(fault_bytes(fault, may_have_run=self._is_handed_over))
            await self._linger()
        except StreamLostError:
            pass  # the caller is gone; there is nobody to tell

    async def _linger(self) -> None:
        left = _LINGER_BYTES
        with self._timers.timeout(_LINGER):
            while left > 0:
                data = await self._stream.receive()
                if not data:
                    return
                left -= len(data)

    # --- one request --------------------------------------------------------------------------

    async def _serve(self, head: RequestHead) -> bool:
        """Serve a request; whether the connection may be used again."""
        self._is_busy = True
        self._is_handed_over = False
        self._body_unread = head.framing is not Framing.NONE
        self._context.served += 1
        try:
            if not self._body_unread:
                await self._reader.next_part()
            await self._serve_checked(head)
        except _RejectedError as rejected:
            await self._answers.refuse(head, rejected.refusal, rejected.status)
        finally:
            self._is_busy = False
            self._idle_since = self._timers.now()
        if self._body_unread:
            await self._linger()
            return False
        return self._keeps_alive(head)

    async def _serve_checked(self, head: RequestHead) -> None:
        started = self._timers.now()
        router, plan = self._plan(head)
        caller = first_header(head.headers, CALLER_HEADER).decode("latin-1")
        refusal = self._context.limiter.enter(caller, plan.configuration)
        if refusal is not None:
            raise _RejectedError(429, refusal)
        is_answered = False
        try:
            is_answered = await self._run(head, plan, router, started)
        finally:
            self._context.limiter.leave(caller)
            self._context.levels.record(
                plan.service, seconds=self._timers.now() - started, is_answered=is_answered
            )

    def _plan(self, head: RequestHead) -> tuple[Router, Plan]:
        """The plan for a request; raises `_RejectedError` or `HttpError`."""
        hosts = [value for name, value in head.headers if name == b"host"]
        if len(hosts) != 1 and not (head.is_http10 and not hosts):
            raise HttpError(400, "a request needs exactly one Host header")
        reason = self._context.not_serving()
        router = self._context.router
        if reason or router is None:
            raise _RejectedError(503, NotRun(reason or "no configuration is in force", 1.0))
        if _number(head, DEPTH_HEADER, 0) >= _DEEPEST:
            raise _RejectedError(
                508, NotRun(f"more than {_DEEPEST} calls behind one another", 60.0)
            )
        plan = router.match(
            host=(hosts[0] if hosts else b"").decode("latin-1"),
            path=head.path.decode("latin-1"),
            method=head.method.decode("latin-1"),
        )
        if plan is None:
            raise _RejectedError(404, NotRun("no route matches", _NO_ROUTE_RETRY_AFTER))
        return router, plan

    async def _run(self, head: RequestHead, plan: Plan, router: Router, started: float) -> bool:
        """Run the call; whether a target answered it well."""
        key = first_header(head.headers, KEY_HEADER)
        if plan.route.key_required and not key:
            raise _RejectedError(400, NotRun("this route needs an Idempotency-Key header", 60.0))
        call = await self._call(head, plan, started)
        if not call.is_whole:
            if key and not plan.route.idempotent:
                reason = f"the body of a call with a key must fit in {LARGEST_WHOLE_BODY} bytes"
                raise _RejectedError(413, NotRun(reason, 60.0))
            return await self._run_streaming(head, call, plan, router)
        if key and not plan.route.idempotent:
            return await self._run_keyed(head, call, plan, router, key)
        return await self._run_whole(head, call, plan, router)

    async def _call(self, head: RequestHead, plan: Plan, started: float) -> Call:
        seconds = plan.timeout.total_s
        asked = _number(head, DEADLINE_HEADER, 0)
        if asked > 0:
            seconds = min(seconds, asked / 1000)
        depth = _number(head, DEPTH_HEADER, 0) + 1
        kept = tuple(f for f in end_to_end(head.headers) if f[0] not in _REPLACED_HEADERS)
        length = _length_of(head)
        is_whole = length <= LARGEST_WHOLE_BODY and length != UNKNOWN_LENGTH
        return Call(
            service=plan.service.name,
            method=head.method,
            target=head.target,
            fields=b"%s%s: %d\r\n" % (render_fields(kept), DEPTH_HEADER, depth),
            body=await self._read_whole(head, plan) if is_whole else b"",
            is_whole=is_whole,
            length=length,
            priority=plan.priority,
            deadline=started + seconds,
        )

    async def _read_whole(self, head: RequestHead, plan: Plan) -> bytes:
        if not self._body_unread:
            return b""
        if head.expects_continue:
            await self._stream.send(CONTINUE)
        parts = []
        while True:
            match await self._next_part(plan):
                case BodyPart(data):
                    parts.append(data)
                case End():
                    return b"".join(parts)

    async def _next_part(self, plan: Plan) -> BodyPart | End:
        """The next bytes of the request's body."""
        with self._timers.timeout(plan.timeout.idle_s):
            part = await self._reader.next_part()
            if isinstance(part, End):
                self._body_unread = False
            return part
        raise HttpError(408, f"the body stood still for {plan.timeout.idle_s:g} s")

    # --- whole bodies -------------------------------------------------------------------------

    async def _run_whole(self, head: RequestHead, call: Call, plan: Plan, router: Router) -> bool:
        may_retry = _number(head, ATTEMPT_HEADER, 1) <= 1
        watch = CallWatch()
        self._stream.watch_lost(watch.give_up)
        try:
            outcome = await self._context.dispatcher.run(
                call, plan, router, watch, may_retry=may_retry
            )
            return await self._finish(head, plan, outcome)
        finally:
            self._stream.watch_lost(None)

    async def _finish(
        self, head: RequestHead, plan: Plan, outcome: Answered | NotRun | OutcomeUnknown
    ) -> bool:
        match outcome:
            case Answered(answer, attempt):
                try:
                    await self._answers.relay(head, plan, answer, attempt)
                finally:
                    attempt.close()
                return answer.status < 500
            case NotRun():
                await self._answers.refuse(head, outcome, 503)
            case OutcomeUnknown():
                await self._answers.unknown(head, outcome, 504)
        return False

    # --- keys ---------------------------------------------------------------------------------

    async def _run_keyed(
        self, head: RequestHead, call: Call, plan: Plan, router: Router, key: bytes
    ) -> bool:
        """Run a call with a key; a caller that goes away does not stop it, it may come back."""
        scope = f"{plan.route.name}\0{first_header(head.headers, CALLER_HEADER)!r}"
        claimer = self._context.claimer
        match await claimer.claim(scope, key):
            case NotRun() as refusal:
                await self._answers.refuse(head, refusal, 503)
                return False
            case Taken() as taken:
                return await self._repeat(head, call, taken)
            case Claimed() as claimed:
                pass
        kept: Answer | NotRun | None = None
        try:
            outcome = await self._context.dispatcher.run(
                call, plan, router, CallWatch(), may_retry=False
            )
            kept = _kept_of(outcome)
        finally:
            claimer.finish(claimed, kept)
        return await self._finish(head, plan, outcome)

    async def _repeat(self, head: RequestHead, call: Call, taken: Taken) -> bool:
        """Answer a call whose key another call holds with the answer to that one."""
        remaining = max(0.0, call.deadline - self._timers.now())
        match await self._context.claimer.earlier_answer(taken, within=remaining):
            case Answer() as answer:
                await self._answers.whole(head, answer, extra=REPLAYED)
                return answer.status < 500
            case NotRun() as refusal:
                await self._answers.refuse(head, refusal, 503)
            case None:
                reason = "a call with this key was made before, and its answer is not known"
                await self._answers.unknown(head, OutcomeUnknown(reason), 409)
        return False

    # --- streaming bodies ---------------------------------------------------------------------

    async def _run_streaming(
        self, head: RequestHead, call: Call, plan: Plan, router: Router
    ) -> bool:
        admitted = await self._context.dispatcher.admit(call, plan, router)
        if not isinstance(admitted, Attempt):
            return await self._finish(head, plan, admitted)
        self._is_handed_over = True
        try:
            if head.expects_continue:
                await self._stream.send(CONTINUE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump_body, admitted, plan)
                answered = await self._answer_streaming(head, call, plan, admitted)
                tasks.cancel_scope.cancel()
            return answered
        finally:
            admitted.close()

    async def _answer_streaming(
        self, head: RequestHead, call: Call, plan: Plan, attempt: Attempt
    ) -> bool:
        outcome: Answer | NotRun | OutcomeUnknown
        outcome = OutcomeUnknown("no answer before the deadline")
        with self._timers.timeout(call.deadline - self._timers.now()):
            outcome = await attempt.exchange.answer()
        attempt.end(outcome)
        if isinstance(outcome, Answer):
            return await self._finish(head, plan, Answered(outcome, attempt))
        return await self._finish(head, plan, outcome)

    async def _pump_body(self, attempt: Attempt, plan: Plan) -> None:
        """Pass the request's body on; where the target is lost the answer tells."""
        while True:
            part = await self._next_part(plan)
            try:
                match part:
                    case BodyPart(data):
                        await attempt.exchange.send_part(data)
                    case End(trailers):
                        await attempt.exchange.finish(trailers)
                        return
            except StreamLostError:
                return


def _kept_of(outcome: Answered | NotRun | OutcomeUnknown) -> Answer | NotRun | None:
    """What is kept for callers that repeat a call, `None` when nobody can tell how it ended."""
    match outcome:
        case Answered(answer) if answer.is_whole and len(answer.body) <= _LARGEST_KEPT:
            return answer
        case NotRun():
            return outcome
        case _:
            return None


def _length_of(head: RequestHead) -> int:
    if head.framing is Framing.NONE:
        return 0
    if head.framing is Framing.SIZED:
        return int(first_header(head.headers, b"content-length"))
    return UNKNOWN_LENGTH


def _number(head: RequestHead, name: bytes, default: int) -> int:
    """The value of a header that holds a whole number; raises `HttpError` for anything else."""
    value = first_header(head.headers, name)
    if not value:
        return default
    if not value.isdigit() or len(value) > 12:
        raise HttpError(400, f"{name.decode()} must be a whole number")
    return int(value)
