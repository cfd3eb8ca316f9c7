"""Runs a call at a target on this host: admission by its gate, then HTTP."""

from __future__ import annotations

import contextlib
import math
from collections import deque
from collections.abc import Callable
from typing import Final

import anyio

from acaciayard_callmodel import (
    LARGEST_WHOLE_BODY,
    OWN_DIALECT,
    UNKNOWN_LENGTH,
    Answer,
    Call,
    Dialect,
    Exchange,
    NotRun,
    OutcomeUnknown,
    StartNotice,
    end_to_end,
    read_notice,
)
from acaciayard_http1 import (
    BodyPart,
    End,
    Framing,
    Headers,
    HttpError,
    ResponseHead,
    chunk,
    first_header,
    last_chunk,
    length_of,
    render_fields,
    request_bytes,
)
from acaciayard_membership import Suspicion
from acaciayard_timers import TimerService
from acaciayard_wire import StreamLostError, StreamRefusedError

from ._gate import HeldSlot, Reservation
from ._target import LocalTarget, RunningCall, TargetConnection
from ._target_answers import fault_in, may_reuse, refused_by_target, stated_idle_timeout
from ._target_news import UnrequestedBytes
from ._targets import LocalTargets

__all__ = ["LocalExchange"]

#: Retry delay given to a caller if the target is unreachable.
_ABSENT_RETRY_AFTER_SECONDS: Final = 1.0
_BODILESS_METHODS: Final = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
#: Seconds without a response after which a kept connection counts as silent, once the call has
#: ended.
_SILENCE_SECONDS: Final = 0.5
#: Timeout for connecting to a target on this host.
_CONNECT_TIMEOUT_SECONDS: Final = 0.25
#: Status of a response from another server, at the address that the target had before.
_MISDIRECTED: Final = 421
#: Size in bytes up to which a body without a length is buffered, so that one that is cut short is
#: not forwarded at all; the rest of a longer one is forwarded as it arrives.
_MAX_UNDELIMITED_BODY: Final = 1024 * 1024
#: Timeout for the body of a response that refuses a call.
_REFUSAL_BODY_SECONDS: Final = 0.1
_STREAMS_FULL: Final = NotRun(
    "as many bodies as may hold slots are arriving", 0.5, is_overload=True
)
_ABORTED_REFUSAL: Final = NotRun("the call was given up before it was sent", 0.1)


class LocalExchange(Exchange):
    """A call at a target on the host of this daemon."""

    def __init__(
        self,
        call: Call,
        *,
        targets: LocalTargets,
        timers: TimerService,
        dialect: Dialect = OWN_DIALECT,
        on_queued: Callable[[], None] = lambda: None,
        is_forwarded: bool = False,
        is_streamed: bool = False,
    ) -> None:
        #: Whether the call holds its slot while its body arrives.
        self._is_streamed = is_streamed
        self._has_stream_place = False
        #: Whether another daemon forwards the call; otherwise the entry here compares it with the
        #: grace period.
        self._is_forwarded = is_forwarded
        self._on_queued = on_queued
        self._call = call
        self._dialect = dialect
        self._targets = targets
        self._timers = timers
        self._target: LocalTarget | None = None
        self._slot: HeldSlot | None = None
        self._reservation: Reservation | None = None
        self._connection: TargetConnection | None = None
        self._at_work: RunningCall | None = None
        #: Whether the run counts among those that may make nested calls.
        self._is_run_counted = False
        self._waiting: anyio.CancelScope | None = None
        self._is_aborted = False
        self._has_response = False
        #: Whether the response ends with its connection.
        self._ends_by_close = False
        self._sent = False
        self._body_sent = call.is_whole
        self._reusable = False
        #: Parts of the response body that were read ahead.
        self._read_parts: deque[BodyPart] = deque()
        self._is_good = False
        self._since = timers.now()

    @property
    def call(self) -> Call:
        """The call."""
        return self._call

    @property
    def since(self) -> float:
        """When the call arrived, by the timer service."""
        return self._since

    @property
    def was_sent(self) -> bool:
        return self._sent

    @property
    def is_acknowledged(self) -> bool:
        return True

    @property
    def is_committed(self) -> bool:
        return self._sent

    @property
    def load(self) -> float:
        """Load of the target, reported to the calling daemon."""
        return self._target.gate.load if self._target is not None else 0.0

    @property
    def mean_seconds(self) -> float:
        """Mean duration of a call at the target, reported to the calling daemon."""
        return self._target.gate.mean_seconds if self._target is not None else 0.0

    @property
    def notices(self) -> tuple[StartNotice, ...]:
        """What the target has stated so far, for the calling daemon."""
        return self._targets.stated(self._target) if self._target is not None else ()

    async def start(self) -> NotRun | None:
        """Get a slot and a connection and send the head; return the refusal if that fails.

        If a refusal is returned, nothing has been sent to the target.
        """
        return await self.enter() or await self.send_head()

    async def enter(self) -> NotRun | None:
        """Get a slot and a connection without sending; return the refusal if that fails."""
        return await self._enter() or (_ABORTED_REFUSAL if self._is_aborted else None)

    def reserve(self) -> NotRun | None:
        """Reserve a place, but no slot, until the body has arrived; return the refusal if any."""
        refusal = self._targets.nested_calls.refusal_of(self._call)
        if refusal is not None:
            return refusal
        target = self._targets.pick(self._call.service)
        if target is None:
            return self._absent()
        self._target = target
        call = self._call
        reserved = target.gate.reserve(
            call.priority, call.deadline, call.start_by, workspace=call.workspace
        )
        if isinstance(reserved, NotRun):
            return reserved
        self._reservation = reserved
        return None

    def hold(self, body: bytes) -> None:
        """Set the complete body of a call that was admitted without it."""
        self._call = self._call.with_changes(body=body, is_whole=True, length=len(body))
        self._body_sent = True
        if self._reservation is not None:
            # The body has been transferred; after a refusal now it would be transferred again.
            self._call = self._call.with_changes(start_by=math.inf)
            self._reservation.end()

    def _absent(self) -> NotRun:
        return NotRun(
            f"no target of {self._call.service!r} on this host", _ABSENT_RETRY_AFTER_SECONDS
        )

    def try_enter(self) -> NotRun | None:
        """Get a slot if one is free; return the refusal if the call may not wait for one either.

        This does not block and needs no timeout, so a daemon with full targets calls it first and
        does no further work for calls that it refuses.
        """
        call = self._call
        refusal = self._targets.nested_calls.refusal_of(call)
        if refusal is not None:
            return refusal
        target = self._targets.pick(call.service)
        if target is None:
            return self._absent()
        self._target = target
        if self._is_streamed and not self._has_stream_place:
            self._has_stream_place = target.enter_stream()
            if not self._has_stream_place:
                return _STREAMS_FULL
        entered = target.gate.try_enter(
            call.priority,
            call.deadline,
            call.start_by,
            workspace=call.workspace,
            is_inner=call.depth > 0,
        )
        if isinstance(entered, NotRun):
            return entered
        self._slot = entered
        return None

    async def _enter(self) -> NotRun | None:
        refusal = self.try_enter() if self._slot is None else None
        target = self._target
        if refusal is not None or target is None:
            return refusal
        if self._slot is None:
            entered = await self._wait(target)
            if isinstance(entered, NotRun):
                return entered
            self._slot = entered
        self._connection = target.idle_connection(is_idempotent=self._call.is_idempotent)
        if self._connection is not None:
            return None
        return await self._connect(target)

    async def _connect(self, target: LocalTarget) -> NotRun | None:
        """Open a connection; `abort` cancels the attempt."""
        with anyio.CancelScope() as scope:
            self._waiting = scope
            try:
                with self._timers.reply_timeout(_CONNECT_TIMEOUT_SECONDS):
                    self._connection = await target.new_connection()
                    return None
            except StreamLostError as error:
                if isinstance(error, StreamRefusedError):
                    self._targets.note_ended_target(target)
                return NotRun(f"the target is not there: {error}", _ABSENT_RETRY_AFTER_SECONDS)
            finally:
                self._waiting = None
        if self._is_aborted:
            return _ABORTED_REFUSAL
        reason = f"the target took no connection in {_CONNECT_TIMEOUT_SECONDS:g} s"
        return NotRun(reason, _ABSENT_RETRY_AFTER_SECONDS)

    async def _replace_spoilt_connection(self) -> NotRun | None:
        """Open another connection if bytes have arrived on the one in use, or if it was closed.

        The call may have waited for its body since it took the connection.
        """
        connection, target = self._connection, self._target
        if self._is_aborted or connection is None or target is None:
            return None
        if not target.is_spoilt(connection):
            return None
        if target.is_withdrawn:
            return NotRun("the target has left", _ABSENT_RETRY_AFTER_SECONDS)
        self._connection = None
        target.discard(connection)
        return await self._connect(target)

    async def _wait(self, target: LocalTarget) -> HeldSlot | NotRun:
        """Wait in the queue of the target; `abort` cancels the wait."""
        self._on_queued()
        with anyio.CancelScope() as scope:
            self._waiting = scope
            try:
                return await target.gate.wait(
                    self._call.priority,
                    self._call.deadline,
                    workspace=self._call.workspace,
                    is_inner=self._call.depth > 0,
                )
            finally:
                self._waiting = None
        return _ABORTED_REFUSAL

    def grace_refusal(self) -> NotRun | None:
        """Return the refusal of a forwarded call that the end of a shutdown here may cut."""
        grace = self._targets.grace
        if not (grace.is_limited and self._is_forwarded):
            return None
        longest = self._targets.durations.longest(self._call.service)
        return grace.refusal_of(self._call.deadline, longest=longest)

    def _suspicion(self) -> Suspicion | NotRun | None:
        """Return the suspicion against the call, or the refusal if it must not run now.

        Only this daemon sends calls to the target, so the check holds even if the calling daemon
        has not yet learnt of the suspicion.
        """
        suspects = self._targets.suspects
        suspicion = suspects.of(self._call)
        refusal = suspects.refusal_of(suspicion)
        if suspicion is None or refusal is not None:
            return refusal
        has_other_trial = self._target is not None and self._target.has_trial
        return suspects.busy() if has_other_trial else suspicion

    async def send_head(self) -> NotRun | None:
        """Send the head, and the body if it is complete; return the refusal if it must not run."""
        refusal = await self._replace_spoilt_connection()
        if refusal is not None:
            return refusal
        if self._is_aborted:
            return _ABORTED_REFUSAL
        assert self._connection is not None
        suspicion = self._suspicion()
        if isinstance(suspicion, NotRun):
            return suspicion
        call = self._call
        # Other retries may have begun while this one waited for its slot.
        refusal = self._targets.nested_calls.refusal_of(call) or self.grace_refusal()
        if refusal is not None:
            return refusal
        dialect = self._dialect
        remaining = max(0, round((call.deadline - self._timers.now()) * 1000))
        fields = b"%s%s: %d\r\n" % (call.fields, dialect.deadline, remaining)
        if dialect.expected_target and self._target is not None:
            name = self._target.announcement.name.encode()
            fields += b"%s: %s\r\n" % (dialect.expected_target, name)
        framing = Framing.SIZED if call.length >= 0 else Framing.CHUNKED
        if call.length == 0 and call.method in _BODILESS_METHODS:
            framing = Framing.NONE
        data = request_bytes(
            call.method, call.target, fields, framing=framing, length=max(0, call.length)
        )
        self._sent = True
        if self._slot is not None:
            self._slot.note_sent()
        self._targets.note_running(call)
        self._targets.nested_calls.note_run(call)
        self._is_run_counted = True
        if self._target is not None:
            self._at_work = self._target.begin(call, suspicion)
            self._targets.note_sent(self._target, call)
        with contextlib.suppress(StreamLostError):  # waiting for the answer reports the loss
            if len(call.body) > LARGEST_WHOLE_BODY:
                self._connection.stream.send_nowait(data)
                self._connection.stream.send_nowait(call.body)  # without a copy of what is sent
            else:
                self._connection.stream.send_nowait(data + call.body if call.body else data)
        return None

    async def wait_admitted(self) -> NotRun | None:
        return None  # `start` returns after admission

    async def send_part(self, data: bytes) -> None:
        encoded = chunk(data) if self._call.length == UNKNOWN_LENGTH else data
        await self._open().stream.send(encoded)

    async def finish(self, trailers: Headers) -> None:
        if self._call.length == UNKNOWN_LENGTH:
            await self._open().stream.send(last_chunk(trailers))
        self._body_sent = True

    def _open(self) -> TargetConnection:
        if self._connection is None:
            raise StreamLostError("the call has ended")
        return self._connection

    async def answer(self) -> Answer | NotRun | OutcomeUnknown:
        try:
            head = await self._open().reader.next_head(to_head_request=self._call.wants_head_only)
            self._has_response = True
            if self._is_stray(head):
                return self._reject_stray()
            return await self._outcome_of(head)
        except HttpError as error:
            return OutcomeUnknown(f"the target gave no whole answer: {error}")
        except StreamLostError as error:
            return await self._connection_lost(error)

    async def _connection_lost(self, error: StreamLostError) -> OutcomeUnknown:
        """Return the outcome of a call whose connection the target has broken off."""
        if self._is_aborted or self._target is None:
            return OutcomeUnknown(f"the target gave no whole answer: {error}")
        if not await self._target.has_ended():
            return OutcomeUnknown(f"the target gave no whole answer: {error}")
        self._targets.note_ended_target(self._target)
        is_blamed = self._at_work in self._target.blamed
        return OutcomeUnknown("the target ended while it ran the call", is_blamed=is_blamed)

    def _is_stray(self, head: ResponseHead) -> bool:
        """Return whether the response does not name this request.

        It may be a late or duplicate response to an earlier one.  A refusal that names no request
        is not believed either: the call would be sent to another target and run twice.
        """
        if not self._dialect.request_id or not self._call.request_id:
            return False
        return first_header(head.headers, self._dialect.request_id) != self._call.request_id

    def _reject_stray(self) -> OutcomeUnknown:
        """Give up the connection of a response that does not name this request.

        If that response was broken off, the one to this request begins inside it.
        """
        if self._target is not None:
            self._targets.note_unrequested(self._target, UnrequestedBytes.OTHER_RESPONSE)
        return OutcomeUnknown("the answer of the target does not name this request")

    async def _outcome_of(self, head: ResponseHead) -> Answer | NotRun | OutcomeUnknown:
        """Return the answer, unless it is a refusal or cannot be forwarded."""
        dialect = self._dialect
        self._hear_notice(head)
        if dialect.not_run and first_header(head.headers, dialect.not_run):
            self._reusable = may_reuse(head, self._call)
            await self._finish_refusal()
            assert self._target is not None
            if head.status == _MISDIRECTED and dialect.expected_target:
                self._targets.note_misdirected(self._target)
            return refused_by_target(head.status, self._target.gate)
        self._targets.suspects.note_success(self._call)
        fault = fault_in(head, self._call, self._dialect)
        return OutcomeUnknown(fault) if fault else await self._answer_of(head)

    def _hear_notice(self, head: ResponseHead) -> None:
        """Record what the target states about itself and the connection beside its response."""
        idle_timeout = stated_idle_timeout(head)
        if idle_timeout is not None:
            self._open().note_stated_timeout(idle_timeout)
        if head.status == _MISDIRECTED or self._target is None or self._at_work is None:
            return
        notice = read_notice(head.headers, self._dialect)
        self._targets.hear(self._target, notice, asked_at=self._at_work.sent_at)

    async def _answer_of(self, head: ResponseHead) -> Answer:
        self._reusable = may_reuse(head, self._call)
        self._ends_by_close = head.framing is Framing.UNTIL_CLOSE
        self._is_good = head.status < 500
        lacks_inner = not self._is_good and self._targets.lacks_inner(self._call)
        headers = end_to_end(head.headers)
        if self._call.wants_head_only:
            headers += tuple(f for f in head.headers if f[0] == b"content-length")
        length = length_of(head)
        body = b""
        end = End()
        limit = self._read_ahead_limit(head)
        found = await self._read_ahead(limit) if limit is not None else None
        if found is not None:
            end = found
            body = b"".join(part.data for part in self._read_parts)
            length = len(body)
            self._read_parts.clear()
        return Answer(
            status=head.status,
            fields=render_fields(headers),
            body=body,
            is_whole=found is not None,
            length=length,
            ends_by_close=head.framing is Framing.UNTIL_CLOSE,
            trailers=end.trailers,
            is_nested_failure=lacks_inner,
        )

    def _read_ahead_limit(self, head: ResponseHead) -> int | None:
        """Return up to which size a body is read to its end here, `None` for not at all.

        Nothing of a body that is cut short has been forwarded then, so that the call can be tried
        again.  Callers that expect no signature may read a body of unknown length as it arrives.
        """
        length = length_of(head)
        if length >= 0:
            return length if length <= LARGEST_WHOLE_BODY else None
        if not self._dialect.response_signature:
            return None
        is_until_close = head.framing is Framing.UNTIL_CLOSE
        return _MAX_UNDELIMITED_BODY if is_until_close else LARGEST_WHOLE_BODY

    async def _read_ahead(self, max_size: int) -> End | None:
        """Read a body into `_read_parts` until its end; return `None` if it is longer than that."""
        size = 0
        while size <= max_size:
            part = await self._receive_part()
            if isinstance(part, End):
                return part
            self._read_parts.append(part)
            size += len(part.data)
        return None

    async def _finish_refusal(self) -> None:
        """Read the rest of a refusal, so that its connection can be reused.

        The head has said all that matters; a connection whose body does not end soon is closed.
        """
        size = 0
        with self._timers.timeout(_REFUSAL_BODY_SECONDS), contextlib.suppress(StreamLostError):
            while size <= LARGEST_WHOLE_BODY:
                part = await self._receive_part()
                if isinstance(part, End):
                    return
                size += len(part.data)

    async def next_part(self) -> BodyPart | End:
        return self._read_parts.popleft() if self._read_parts else await self._receive_part()

    async def _receive_part(self) -> BodyPart | End:
        """Receive the next part of the response body or its end; the end releases the slot."""
        try:
            part = await self._open().reader.next_part()
        except HttpError as error:
            raise StreamLostError(f"the target's answer makes no sense: {error}") from error
        except StreamLostError as error:
            self._note_answer_end()
            await self._connection_lost(error)
            if self._is_aborted:
                raise StreamLostError("the call ended before its answer was complete") from error
            raise
        if isinstance(part, End):
            self._note_answer_end()
            self._release(reuse=self._reusable and self._body_sent)
        return part

    def _note_answer_end(self) -> None:
        end = self._connection.stream.end if self._connection is not None else None
        if self._ends_by_close and end is not None and self._target is not None:
            self._targets.note_answer_end(self._target, self._call, end)

    def abort(self) -> None:
        self._is_aborted = True
        if self._waiting is not None:
            self._waiting.cancel()
        if self._connection is not None:
            self._drop_silent()
            self._connection.stream.abort()

    def close(self) -> None:
        self._release(reuse=False)

    def _drop_silent(self) -> None:
        """Close the connections that were kept beside one that has gone silent, it seems."""
        if self._at_work is None or self._target is None or self._has_response:
            return
        is_kept = self._connection is not None and self._connection.idle_since > 0
        if is_kept and self._timers.now() - self._at_work.sent_at > _SILENCE_SECONDS:
            self._target.drop_unproved(self._at_work.sent_at)

    def _release(self, *, reuse: bool) -> None:
        if self._reservation is not None:
            self._reservation.end()
        if self._has_stream_place and self._target is not None:
            self._has_stream_place = False
            self._target.leave_stream()
        if not reuse:
            self._drop_silent()
        connection, self._connection = self._connection, None
        if connection is not None and self._target is not None:
            if reuse:
                self._target.give_back(connection)
            else:
                self._target.discard(connection)
        if self._at_work is not None and self._target is not None:
            self._target.finish(self._at_work)
        if self._is_run_counted:
            self._is_run_counted = False
            self._targets.nested_calls.note_ended(self._call)
            if self._is_good and self._at_work is not None:
                duration = self._timers.now() - self._at_work.sent_at
                self._targets.durations.note(self._call.service, duration)
        if self._slot is not None:
            self._slot.release(is_good=self._is_good)
            self._targets.note_ended(self._call)
