"""Runs the requests of one connection, from routing to the response."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Final

import anyio
from attrs import frozen

from acaciayard_callmodel import (
    LARGEST_WHOLE_BODY,
    Answer,
    Call,
    CallWatch,
    NotRun,
    OutcomeUnknown,
    fingerprint_of,
)
from acaciayard_http1 import (
    CONTINUE,
    BodyPart,
    End,
    Framing,
    HttpError,
    RequestHead,
    RequestReader,
    first_header,
)
from acaciayard_routing import Plan, Router
from acaciayard_wire import ByteStream, StreamLostError

from ._answers import AnswerCutError, AnswerWriter
from ._attempt import Answered, Attempt
from ._claimer import AlreadyClaimed, Claimed, Claimer, stored_outcome_of
from ._grace import check_grace
from ._identity import Identity, counted_of, identity_of
from ._intake import (
    EntryContext,
    call_of,
    deadline_of,
    is_buffered,
    number_in,
    plan_for,
    requested_timeout,
)
from ._refusals import RejectedError
from ._request_bodies import BodyReceiver, ReceivedBody
from ._turns import CallerRequest, RequestPipeline
from ._waits import nested, start_by

__all__ = ["ConnectionParts", "RequestRuns"]

#: Header field of a stored response to an earlier call with the same idempotency key.
REPLAYED: Final = b"x-replayed: true\r\n"
#: Statuses that say that a request did not run, and that are therefore not given to one whose head
#: a target has.
_NOT_RUN_STATUSES: Final = frozenset({408, 413})
#: Refusal of a call beyond those that may be in progress, with seconds until a retry.
_TOO_MANY_CALLS: Final = NotRun("too many calls are in progress here", 0.1, is_overload=True)


@frozen
class ConnectionParts:
    """The objects that the requests of one connection share."""

    #: The connection.
    stream: ByteStream
    #: Reads requests and their bodies from the connection.
    reader: RequestReader
    #: The requests in progress.
    pipeline: RequestPipeline
    #: Writes responses to the connection.
    answers: AnswerWriter
    #: Waits until all requests before the given one are answered; raises `StreamLostError` if a
    #: response to one of them closed the connection.
    wait_turn: Callable[[CallerRequest], Awaitable[None]]
    #: Starts another task that reads the next request while the current one runs.
    read_ahead: Callable[[], None]


class RequestRuns:
    """Runs the requests of one connection.

    Example:
        await runs.run(request)
    """

    def __init__(self, parts: ConnectionParts, context: EntryContext) -> None:
        self._parts = parts
        self._context = context
        self._timers = context.timers
        self._stream = parts.stream
        self._reader = parts.reader
        self._pipeline = parts.pipeline
        self._answers = parts.answers
        self._bodies = BodyReceiver(parts.stream, parts.reader, context)

    async def run(self, request: CallerRequest) -> None:
        """Run a request and send its response after those of earlier requests.

        Raises `RejectedError` if the request is rejected before a call is made of it.
        """
        head = request.head
        ended = request.ended
        name = self._context.dialect.request_id
        if name:
            ended.request_id = first_header(head.headers, name).decode("latin-1")
        router, plan = plan_for(head, self._context)
        if self._pipeline.first is not request and not _may_run_concurrently(head, plan):
            await self._parts.wait_turn(request)
            router, plan = plan_for(head, self._context)  # the configuration may have changed
        ended.route = plan.route.name
        ended.service = plan.service.name
        ended.goal_ms = plan.latency_goal * 1000
        ended.version = router.configuration.version
        identity = identity_of(
            head, plan, router, dialect=self._context.dialect, targets=self._context.targets
        )
        plan = identity.ranked(plan)
        check_grace(request, plan, self._context, identity)
        ended.workspace = identity.workspace
        caller = self._caller_of(head).decode("latin-1")
        refusal = self._context.limiter.enter(caller, router.configuration)
        if refusal is not None:
            raise RejectedError(429, refusal)
        is_answered = False
        try:
            is_answered = await self._run(request, plan, router, identity)
        finally:
            self._context.limiter.leave(caller)
            seconds = self._timers.now() - request.started
            self._context.levels.record(plan.service, seconds=seconds, is_answered=is_answered)
            if is_answered or ended.outcome == "unknown":
                self._context.durations.note(plan.route.name, seconds)

    def _caller_of(self, head: RequestHead) -> bytes:
        name = self._context.dialect.caller
        return first_header(head.headers, name) if name else b""

    def _key_of(self, head: RequestHead) -> bytes:
        name = self._context.dialect.key
        return first_header(head.headers, name) if name else b""

    async def _run(
        self, request: CallerRequest, plan: Plan, router: Router, identity: Identity
    ) -> bool:
        """Count the call for its workspace and run it; returns whether a target succeeded."""
        caps = self._context.caps
        if not caps.has_any:
            return await self._run_counted(request, plan, router, identity)
        counted = await counted_of(identity, caps)
        has_reached_target = True
        try:
            is_answered = await self._run_counted(request, plan, router, identity)
            has_reached_target = request.ended.outcome != "not_run"
            return is_answered
        except (RejectedError, HttpError):
            has_reached_target = request.is_handed_over
            raise
        finally:
            if not has_reached_target:
                caps.give_back(counted)

    async def _run_counted(
        self, request: CallerRequest, plan: Plan, router: Router, identity: Identity
    ) -> bool:
        """Run the call; returns whether a target succeeded."""
        head = request.head
        route = plan.route
        key = self._key_of(head) if route.key_required or not route.idempotent else b""
        if route.key_required and not key:
            raise RejectedError(400, NotRun("this route needs an Idempotency-Key header", 60.0))
        is_keyed = bool(key) and not route.idempotent and self._context.claimer is not None
        if not request.body_unread:
            return await self._run_with_body(
                request, plan, router, identity, ReceivedBody(), key, is_keyed
            )
        if not is_buffered(head, self._context):
            if is_keyed:
                raise _keyed_too_large()
            received = ReceivedBody(is_whole=False)
            return await self._run_with_body(
                request, plan, router, identity, received, key, is_keyed
            )
        received = ReceivedBody(held=self._context.bodies.open())
        try:
            await self._bodies.receive(request, plan, received)
            if is_keyed and not received.is_whole:
                raise _keyed_too_large()
            check_grace(request, plan, self._context, identity)  # the body may have taken long
            return await self._run_with_body(
                request, plan, router, identity, received, key, is_keyed
            )
        finally:
            received.release()

    async def _run_with_body(
        self,
        request: CallerRequest,
        plan: Plan,
        router: Router,
        identity: Identity,
        received: ReceivedBody,
        key: bytes,
        is_keyed: bool,
    ) -> bool:
        """Run a call whose body was received, unless it is streamed."""
        targets = self._context.targets
        if identity.may_be_nested:
            request.parent = targets.parent_of(request.ended.request_id.encode("latin-1"))
        self._enter(request, plan)
        try:
            call = self._call_of(request, plan, identity, received)
            if not call.is_whole:
                return await self._run_streaming(request, call, plan, router, received)
            claimer = self._context.claimer
            if is_keyed and claimer is not None:
                return await self._run_keyed(request, call, plan, router, key, claimer)
            return await self._run_buffered(request, call, plan, router)
        finally:
            self._context.calls.leave()

    def _enter(self, request: CallerRequest, plan: Plan) -> None:
        """Count a call; raises `RejectedError` if too many are in progress."""
        calls = self._context.calls
        if request.parent is not None:
            calls.enter_nested()
            return
        is_further = request.is_backlogged or self._pipeline.first is not request
        if not calls.enter(is_further=is_further):
            deadline = deadline_of(request.head, plan, self._context, started=request.started)
            refusal = self._context.dispatcher.spread_retry(_TOO_MANY_CALLS, deadline)
            raise RejectedError(503, refusal)

    def _call_of(
        self, request: CallerRequest, plan: Plan, identity: Identity, received: ReceivedBody
    ) -> Call:
        parent = request.parent
        call = call_of(
            request.head,
            plan,
            self._context,
            identity,
            started=request.started,
            body=received.take_all() if received.is_whole else None,
            start_by=self._start_by(request, plan) if parent is None else math.inf,
        )
        if parent is None:
            return call
        targets = self._context.targets
        targets.nested_calls.note_nested(parent, call.service)
        return nested(call, parent, is_full=targets.is_full(parent.service))

    def _start_by(self, request: CallerRequest, plan: Plan) -> float:
        """Latest useful start of a caller's call, measured from its estimated first request."""
        started = request.started
        caller_timeout = requested_timeout(request.head, self._context)
        first_sent = min(
            started,
            self._context.first_request_estimator.of(
                plan.route.name, timeout=caller_timeout, longest=plan.timeout.total_s
            ),
        )
        if first_sent < started:
            request.ended.age_ms = round((started - first_sent) * 1000, 1)
        return start_by(plan, first_sent, is_backlogged=request.is_backlogged)

    # --- buffered bodies ----------------------------------------------------------------------

    async def _run_buffered(
        self, request: CallerRequest, call: Call, plan: Plan, router: Router
    ) -> bool:
        head = request.head
        header = self._context.dialect.attempt
        may_retry = not header or number_in(head, header, 1) <= 1
        watch = request.watch = CallWatch()
        request.ended.tries = watch.tries
        self._stream.watch_lost(self._pipeline.give_up, on_unread=self._parts.read_ahead)
        if _may_run_concurrently(head, plan):
            request.runs_concurrently = True
            if self._stream.has_unread or self._reader.has_pending:
                self._parts.read_ahead()
        outcome = await self._context.dispatcher.run(call, plan, router, watch, may_retry=may_retry)
        request.ended.is_over_retry_budget = watch.is_over_retry_budget
        for each in watch.tries:
            if each.is_unknown:
                request.ended.fingerprint = fingerprint_of(call, self._context.dialect).hex()
                break
        if watch.is_given_up and not isinstance(outcome, Answered):
            request.note("caller_gone", 0, outcome.reason)
            return False
        return await self._finish(request, call, plan, outcome)

    async def _finish(
        self,
        request: CallerRequest,
        call: Call,
        plan: Plan,
        outcome: Answered | NotRun | OutcomeUnknown,
    ) -> bool:
        head = request.head
        is_barred = isinstance(outcome, NotRun) and outcome.is_barred
        is_good = isinstance(outcome, Answered) and outcome.answer.status < 500
        if not (is_good or is_barred):  # barred requests say nothing about how callers retry
            self._context.first_request_estimator.note_failure(plan.route.name)
        if not is_good and request.parent is not None:
            self._context.targets.note_inner_lost(request.parent)
        match outcome:
            case Answered():
                return await self._relay(request, call, plan, outcome)
            case NotRun():
                request.note("not_run", 503, outcome.reason)
                request.ended.retry_after = outcome.retry_after
                request.ended.is_overload = outcome.is_overload
                request.ended.is_by_target = outcome.is_by_target
                request.ended.is_barred = outcome.is_barred
                if self._pipeline.first is not request:
                    await self._parts.wait_turn(request)
                await self._answers.send_refusal(head, outcome, 503)
            case OutcomeUnknown():
                request.note("unknown", 504, outcome.reason)
                if self._pipeline.first is not request:
                    await self._parts.wait_turn(request)
                await self._answers.send_unknown(head, outcome, 504)
        return False

    async def _relay(
        self, request: CallerRequest, call: Call, plan: Plan, answered: Answered
    ) -> bool:
        """Relay a target's response in its turn; returns whether the target succeeded."""
        answer, attempt = answered.answer, answered.attempt
        try:
            if self._pipeline.first is not request:
                self._pipeline.hold(request, len(answer.body))
                await self._wait_turn(request, call, attempt)
            if not answer.is_whole and attempt.abort_reason:
                unknown = OutcomeUnknown(attempt.abort_reason)
                return await self._finish(request, call, plan, unknown)
            await self._answers.relay(request.head, plan, answer, attempt, deadline=call.deadline)
        except AnswerCutError as error:
            request.note("cut", answer.status, str(error))
            raise
        finally:
            attempt.close()
        request.note("answered", answer.status)
        return answer.status < 500

    async def _wait_turn(self, request: CallerRequest, call: Call, attempt: Attempt) -> None:
        """Wait for the turn of a response; at the deadline of its call the target is let go."""
        expiry = self._timers.call_at(
            call.deadline, lambda: attempt.abort("its turn did not come before the deadline")
        )
        try:
            await self._parts.wait_turn(request)
        finally:
            expiry.cancel()

    # --- idempotency keys ---------------------------------------------------------------------

    async def _run_keyed(
        self,
        request: CallerRequest,
        call: Call,
        plan: Plan,
        router: Router,
        key: bytes,
        claimer: Claimer,
    ) -> bool:
        """Run a call with an idempotency key.

        The call continues if its caller disconnects, since the caller may repeat it and then gets
        the stored response.
        """
        head = request.head
        scope = f"{plan.route.name}\0{self._caller_of(head)!r}"
        match await claimer.claim(scope, key):
            case NotRun() as refusal:
                await self._answers.send_refusal(head, refusal, 503)
                return False
            case AlreadyClaimed() as already_claimed:
                return await self._repeat(head, call, already_claimed, claimer)
            case Claimed() as claimed:
                pass
        stored: Answer | NotRun | None = None
        try:
            outcome = await self._context.dispatcher.run(
                call, plan, router, CallWatch(), may_retry=False
            )
            stored = stored_outcome_of(outcome)
        finally:
            claimer.finish(claimed, stored)
        return await self._finish(request, call, plan, outcome)

    async def _repeat(
        self, head: RequestHead, call: Call, already_claimed: AlreadyClaimed, claimer: Claimer
    ) -> bool:
        """Answer a call whose key is already claimed with the response to the earlier call."""
        remaining = max(0.0, call.deadline - self._timers.now())
        match await claimer.earlier_answer(already_claimed, within=remaining):
            case Answer() as answer:
                await self._answers.send_whole(head, answer, extra=REPLAYED)
                return answer.status < 500
            case NotRun() as refusal:
                await self._answers.send_refusal(head, refusal, 503)
            case None:
                reason = "a call with this key was made before, and its answer is not known"
                await self._answers.send_unknown(head, OutcomeUnknown(reason), 409)
        return False

    # --- streamed bodies ----------------------------------------------------------------------

    async def _run_streaming(
        self,
        request: CallerRequest,
        call: Call,
        plan: Plan,
        router: Router,
        received: ReceivedBody,
    ) -> bool:
        admitted = await self._context.dispatcher.admit(call, plan, router)
        if not isinstance(admitted, Attempt):
            return await self._finish(request, call, plan, admitted)
        request.is_handed_over = True
        try:
            if request.head.expects_continue and received.is_empty:
                await self._stream.send(CONTINUE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump_body, request, admitted, plan, received)
                answered = await self._answer_streaming(request, call, plan, admitted)
                tasks.cancel_scope.cancel()
            return answered
        finally:
            admitted.close()

    async def _answer_streaming(
        self, request: CallerRequest, call: Call, plan: Plan, attempt: Attempt
    ) -> bool:
        outcome: Answer | NotRun | OutcomeUnknown
        outcome = OutcomeUnknown("no answer before the deadline")
        with self._timers.timeout(call.deadline - self._timers.now()):
            outcome = await attempt.exchange.answer()
        attempt.end(outcome)
        if isinstance(outcome, Answer):
            return await self._finish(request, call, plan, Answered(outcome, attempt))
        return await self._finish(request, call, plan, outcome)

    async def _pump_body(
        self, request: CallerRequest, attempt: Attempt, plan: Plan, received: ReceivedBody
    ) -> None:
        """Forward the request body; if the target is lost, its response reports that."""
        try:
            while data := received.take():
                await attempt.exchange.send_part(data)
        except StreamLostError:
            return
        received.release()
        while True:
            try:
                part = await self._bodies.next_part(request, plan)
            except HttpError as error:
                if error.status in _NOT_RUN_STATUSES:
                    raise HttpError(504, error.reason) from error
                raise
            try:
                match part:
                    case BodyPart(data):
                        await attempt.exchange.send_part(data)
                    case End(trailers):
                        await attempt.exchange.finish(trailers)
                        return
            except StreamLostError:
                return


def _keyed_too_large() -> RejectedError:
    reason = f"a call with a key needs a Content-Length up to {LARGEST_WHOLE_BODY}"
    return RejectedError(413, NotRun(reason, 60.0))


def _may_run_concurrently(head: RequestHead, plan: Plan) -> bool:
    """Whether a request may run concurrently with earlier ones of its connection.

    It must be idempotent: if an earlier response closes the connection, the caller resends the
    request although it may have run.
    """
    return plan.route.idempotent and head.framing is Framing.NONE
