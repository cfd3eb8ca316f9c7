"""Calls a target on another host through the daemon of that host."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterable
from typing import Final

import anyio

from acaciayard_callmodel import (
    Answer,
    Call,
    Exchange,
    NotRun,
    OutcomeUnknown,
    StartNotice,
)
from acaciayard_http1 import BodyPart, End, Headers
from acaciayard_timers import TimerService
from acaciayard_wire import Address, MessageError, MessageStream, StreamLostError

from ._messages import (
    ADMITTED,
    CALL_CODEC,
    LARGEST_INLINE_BODY,
    QUEUED,
    Admitted,
    AnswerHead,
    Ask,
    CallHead,
    Finish,
    Lost,
    Part,
    Queued,
    Refused,
    flatten_headers,
    unflatten_headers,
)
from ._notices import pack_notices, unpack_notices
from ._pool import StreamPool

__all__ = ["RemoteExchange"]

#: Upper limits, in seconds and as a share, of the time reserved for the other daemon's answer.
_MAX_ANSWER_MARGIN_SECONDS: Final = 0.05
_MAX_ANSWER_MARGIN_SHARE: Final = 0.05
#: Seconds after which a caller may retry if a daemon is unreachable.
_UNREACHABLE_RETRY_SECONDS: Final = 1.0
#: Largest part of a body that is sent in one message, which is copied until the kernel takes it.
_MAX_PART_BYTES: Final = 256 * 1024


class RemoteExchange(Exchange):
    """Exchange with a target through the daemon on its host."""

    def __init__(
        self,
        call: Call,
        *,
        address: Address,
        pool: StreamPool,
        timers: TimerService,
        forwarded: Iterable[StartNotice] = (),
    ) -> None:
        self._call = call
        self._forwarded = forwarded
        self._notices: tuple[StartNotice, ...] = ()
        self._address = address
        self._pool = pool
        self._timers = timers
        self._stream: MessageStream | None = None
        self._pending_message: object | None = None
        is_small = len(call.body) <= LARGEST_INLINE_BODY
        self._is_held = call.is_whole and not (call.is_idempotent and is_small)
        self._body_sent = call.is_whole and not self._is_held
        #: Whether a part of a held body was sent, so that the stream may hold more of it.
        self._is_body_begun = False
        self._is_acknowledged = False
        self._on_acknowledged: Callable[[], None] | None = None
        self._open_scope: anyio.CancelScope | None = None
        self._load = -1.0
        self._mean_seconds = 0.0
        self._is_aborted = False
        self._was_sent = False
        self._started_at = timers.now()

    @property
    def was_sent(self) -> bool:
        return self._was_sent

    @property
    def is_acknowledged(self) -> bool:
        return self._is_acknowledged

    def on_acknowledged(self, callback: Callable[[], None]) -> None:
        self._on_acknowledged = callback

    def note_silent(self) -> None:
        self._pool.drop_unproved(self._address, self._started_at)

    @property
    def is_committed(self) -> bool:
        return self._was_sent and not self._is_held

    @property
    def load(self) -> float:
        """Load of the target as reported with the answer, -1 before."""
        return self._load

    @property
    def mean_seconds(self) -> float:
        """Mean call duration reported by the target in seconds, 0 before the answer."""
        return self._mean_seconds

    @property
    def notices(self) -> tuple[StartNotice, ...]:
        """What the target has stated, as reported with the answer; empty before."""
        return self._notices

    async def start(self) -> NotRun | None:
        """Open a stream and send the head; return a refusal if no stream can be opened."""
        refusal = await self._open()
        if refusal is not None or self._stream is None:
            return refusal
        call = self._call
        is_whole = call.is_whole and not self._is_held
        suspicion = call.suspicion
        head = CallHead(
            service=call.service,
            method=call.method,
            target=call.target,
            fields=call.fields,
            body=call.body if is_whole else b"",
            is_whole=is_whole,
            length=call.length,
            priority=call.priority,
            budget=_remote_budget(call.deadline - self._timers.now()),
            request_id=call.request_id,
            start_within=call.start_by - self._timers.now(),
            is_idempotent=call.is_idempotent,
            is_repeat=call.is_repeat,
            is_held=self._is_held,
            fingerprint=suspicion.fingerprint if suspicion is not None else b"",
            suspicion=[suspicion.sequence, suspicion.ends] if suspicion is not None else [],
            workspace=call.workspace,
            depth=call.depth,
            notices=pack_notices(self._forwarded),
        )
        self._was_sent = True
        self._stream.channel.watch_data(self._consume_acknowledgement)
        with contextlib.suppress(StreamLostError):  # `answer` reports the loss
            self._stream.channel.send_nowait(CALL_CODEC.encode(head))
        return None

    def _consume_acknowledgement(self, data: bytes) -> bool:
        """Record the first data from the daemon; return true to consume a bare acknowledgement.

        If the body has already been sent, no task waits for the acknowledgement, so it is consumed
        without waking one: a wake-up is a large part of the cost of a call.
        """
        if not self._is_acknowledged:
            self._is_acknowledged = True
            if self._on_acknowledged is not None:
                self._on_acknowledged()
        is_acknowledgement = self._body_sent and data in (ADMITTED, QUEUED)
        if self._stream is not None and not (is_acknowledgement and data == QUEUED):
            # Later data may be part of an answer, even if its bytes equal an acknowledgement.
            self._stream.channel.watch_data(None)
        return is_acknowledgement

    async def _open(self) -> NotRun | None:
        """Take or open a stream to the daemon; `abort` cancels the wait."""
        if not self._is_aborted:
            self._stream = self._pool.take_idle(self._address)
            if self._stream is not None:
                return None
            with anyio.CancelScope() as scope:
                self._open_scope = scope
                try:
                    self._stream = await self._pool.open(self._address)
                except StreamLostError as error:
                    reason = f"the daemon of the target is not there: {error}"
                    return NotRun(reason, _UNREACHABLE_RETRY_SECONDS)
                finally:
                    self._open_scope = None
        if self._is_aborted:
            return NotRun("the call was given up before it was sent", _UNREACHABLE_RETRY_SECONDS)
        return None

    async def _send_held_body(self) -> NotRun | None:
        """Send the body of a held call once it is admitted; return a refusal otherwise."""
        refusal = await self.wait_admitted()
        if refusal is not None:
            return refusal
        body = self._call.body
        try:
            if len(body) > LARGEST_INLINE_BODY and not await self._send_on_request(body):
                return None  # `answer` handles the unexpected message
            self._is_held = False
            if len(body) <= LARGEST_INLINE_BODY:
                await self.send_part(body)
            await self.finish(())
        except (StreamLostError, MessageError) as error:
            if not self._is_held:
                raise
            reason = f"the daemon of the target was lost before it had the body: {error}"
            return NotRun(reason, _UNREACHABLE_RETRY_SECONDS)
        return None

    async def _send_on_request(self, body: bytes) -> bool:
        """Send a body as it is requested; return false on any other message."""
        sent = 0
        while sent < len(body):
            message = await self._receive()
            if not isinstance(message, Ask):
                self._pending_message = message
                return False
            end = min(len(body), sent + message.size)
            self._is_body_begun = True
            while sent < end:
                size = min(_MAX_PART_BYTES, end - sent)
                await self.send_part(body[sent : sent + size])
                sent += size
        return True

    async def _receive(self) -> object:
        if self._pending_message is not None:
            message, self._pending_message = self._pending_message, None
            return message
        while True:
            if self._stream is None:
                raise StreamLostError("the stream to the other daemon is closed")
            message = await self._stream.receive()
            self._is_acknowledged = True
            if isinstance(message, AnswerHead | Refused) and message.notices:
                self._notices = unpack_notices(message.notices)
            if not isinstance(message, Queued):
                return message

    async def wait_admitted(self) -> NotRun | None:
        try:
            message = await self._receive()
        except (StreamLostError, MessageError) as error:
            if self._is_held:
                reason = f"the daemon of the target was lost before it took the call: {error}"
                return NotRun(reason, _UNREACHABLE_RETRY_SECONDS)
            return None  # `answer` reports the loss
        if isinstance(message, Admitted):
            return None
        if isinstance(message, Refused):
            return self._to_not_run(message)
        self._pending_message = message
        return None

    def _to_not_run(self, refused: Refused) -> NotRun:
        self._load = refused.load
        self._mean_seconds = refused.mean_seconds
        self._release(reuse=self._body_sent or (self._is_held and not self._is_body_begun))
        return NotRun(
            refused.reason,
            refused.retry_after,
            refused.is_overload,
            refused.is_by_target,
            refused.is_barred,
        )

    async def send_part(self, data: bytes) -> None:
        if self._stream is None:
            raise StreamLostError("the stream to the other daemon is closed")
        await self._stream.send(Part(data))

    async def finish(self, trailers: Headers) -> None:
        if self._stream is None:
            raise StreamLostError("the stream to the other daemon is closed")
        await self._stream.send(Finish(flatten_headers(trailers)))
        self._body_sent = True

    async def answer(self) -> Answer | NotRun | OutcomeUnknown:
        try:
            if self._is_held:
                refusal = await self._send_held_body()
                if refusal is not None:
                    return refusal
            message = await self._receive()
            if isinstance(message, Admitted):
                message = await self._receive()
            match message:
                case AnswerHead() as head:
                    return self._to_answer(head)
                case Refused() as refused:
                    return self._to_not_run(refused)
                case Lost(reason, is_blamed):
                    self._release(reuse=self._body_sent)
                    return OutcomeUnknown(reason, is_blamed=is_blamed)
                case other:
                    return OutcomeUnknown(f"the other daemon said {type(other).__name__}")
        except (StreamLostError, MessageError) as error:
            return OutcomeUnknown(f"the daemon of the target was lost: {error}")

    def _to_answer(self, head: AnswerHead) -> Answer:
        self._load = head.load
        self._mean_seconds = head.mean_seconds
        answer = Answer(
            status=head.status,
            fields=head.fields,
            body=head.body,
            is_whole=head.is_whole,
            length=head.length,
            ends_by_close=head.ends_by_close,
            trailers=unflatten_headers(head.trailers),
            is_nested_failure=head.lacks_inner,
        )
        if head.is_whole:
            self._release(reuse=self._body_sent)
        return answer

    async def next_part(self) -> BodyPart | End:
        try:
            match await self._receive():
                case Part(data):
                    return BodyPart(data)
                case Finish(trailers):
                    self._release(reuse=self._body_sent)
                    return End(unflatten_headers(trailers))
                case Lost(reason):
                    raise StreamLostError(reason)
                case other:
                    raise StreamLostError(f"the other daemon said {type(other).__name__}")
        except MessageError as error:
            raise StreamLostError(str(error)) from error

    def abort(self) -> None:
        self._is_aborted = True
        if self._open_scope is not None:
            self._open_scope.cancel()
        if self._stream is not None:
            self._stream.channel.abort()

    def close(self) -> None:
        self._release(reuse=False)

    def _release(self, *, reuse: bool) -> None:
        stream, self._stream = self._stream, None
        if stream is None:
            return
        stream.channel.watch_data(None)
        if reuse:
            self._pool.give_back(self._address, stream)
        else:
            stream.channel.abort()


def _remote_budget(remaining: float) -> float:
    """Return the budget of the other daemon, so that its answer arrives before the deadline."""
    return remaining - min(_MAX_ANSWER_MARGIN_SECONDS, remaining * _MAX_ANSWER_MARGIN_SHARE)
