"""An attempt at a target on another host, through the daemon beside it."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from typing import Final

import anyio

from acaciayard_callmodel import Answer, Call, Exchange, NotRun, OutcomeUnknown
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
    flatten,
    unflatten,
)
from ._pool import StreamPool

__all__ = ["RemoteExchange"]

#: Time kept back for the other daemon's last word, in seconds and as a share at most.
_ANSWER_MARGIN: Final = 0.05
_ANSWER_SHARE: Final = 0.05
#: Seconds after which a caller may try again when a daemon is not there.
_ABSENT_RETRY_AFTER: Final = 1.0


class RemoteExchange(Exchange):
    """A call handed to the daemon beside the target."""

    def __init__(
        self, call: Call, *, address: Address, pool: StreamPool, timers: TimerService
    ) -> None:
        self._call = call
        self._address = address
        self._pool = pool
        self._timers = timers
        self._stream: MessageStream | None = None
        self._early: object | None = None
        is_small = len(call.body) <= LARGEST_INLINE_BODY
        self._is_held = call.is_whole and not (call.is_idempotent and is_small)
        self._body_sent = call.is_whole and not self._is_held
        self._is_acknowledged = False
        self._on_acknowledged: Callable[[], None] | None = None
        self._opening: anyio.CancelScope | None = None
        self._load = -1.0
        self._mean_seconds = 0.0
        self._is_aborted = False
        self._sent = False

    @property
    def was_sent(self) -> bool:
        return self._sent

    @property
    def is_acknowledged(self) -> bool:
        return self._is_acknowledged

    def on_acknowledged(self, callback: Callable[[], None]) -> None:
        self._on_acknowledged = callback

    @property
    def is_committed(self) -> bool:
        return self._sent and not self._is_held

    @property
    def load(self) -> float:
        """Load of the target as told with the answer, -1 before."""
        return self._load

    @property
    def mean_seconds(self) -> float:
        """Mean seconds that a call takes at the target as told with the answer, 0 before."""
        return self._mean_seconds

    async def start(self) -> NotRun | None:
        """Open a stream and send the head; the refusal where no stream could be opened."""
        refusal = await self._open()
        if refusal is not None or self._stream is None:
            return refusal
        call = self._call
        is_whole = call.is_whole and not self._is_held
        held = call.suspicion
        head = CallHead(
            service=call.service,
            method=call.method,
            target=call.target,
            fields=call.fields,
            body=call.body if is_whole else b"",
            is_whole=is_whole,
            length=call.length,
            priority=call.priority,
            budget=_budget(call.deadline - self._timers.now()),
            request_id=call.request_id,
            start_within=call.start_by - self._timers.now(),
            is_idempotent=call.is_idempotent,
            is_repeat=call.is_repeat,
            is_held=self._is_held,
            fingerprint=held.fingerprint if held is not None else b"",
            suspicion=[held.sequence, held.ends] if held is not None else [],
            workspace=call.workspace,
            depth=call.depth,
        )
        self._sent = True
        self._stream.channel.watch_data(self._take_sign)
        with contextlib.suppress(StreamLostError):  # the answer will not come: that says it
            self._stream.channel.send_nowait(CALL_CODEC.encode(head))
        return None

    def _take_sign(self, data: bytes) -> bool:
        """Note the first bytes that come from the daemon; true for a mere sign that it has a call.

        Nobody waits for such a sign of a call that may run without another word from here, so it
        wakes no task: a wake-up is a large part of what a call costs.
        """
        if not self._is_acknowledged:
            self._is_acknowledged = True
            if self._on_acknowledged is not None:
                self._on_acknowledged()
        is_sign = self._body_sent and data in (ADMITTED, QUEUED)
        if self._stream is not None and not (is_sign and data == QUEUED):
            # What comes next may be any part of an answer, whatever it looks like.
            self._stream.channel.watch_data(None)
        return is_sign

    async def _open(self) -> NotRun | None:
        """Get a stream to the daemon; `abort` ends the wait for it."""
        if not self._is_aborted:
            self._stream = self._pool.take_idle(self._address)
            if self._stream is not None:
                return None
            with anyio.CancelScope() as scope:
                self._opening = scope
                try:
                    self._stream = await self._pool.open(self._address)
                except StreamLostError as error:
                    reason = f"the daemon of the target is not there: {error}"
                    return NotRun(reason, _ABSENT_RETRY_AFTER)
                finally:
                    self._opening = None
        if self._is_aborted:
            return NotRun("the call was given up before it was sent", _ABSENT_RETRY_AFTER)
        return None

    async def _commit(self) -> NotRun | None:
        """Wait for the admission of a held call and send its body; the refusal instead."""
        refusal = await self.wait_admitted()
        if refusal is not None:
            return refusal
        body = self._call.body
        try:
            if len(body) > LARGEST_INLINE_BODY and not await self._send_as_asked(body):
                return None  # the other daemon has said something else; `answer` tells
            self._is_held = False
            if len(body) <= LARGEST_INLINE_BODY:
                await self.send_part(body)
            await self.finish(())
        except (StreamLostError, MessageError) as error:
            if not self._is_held:
                raise
            reason = f"the daemon of the target was lost before it had the body: {error}"
            return NotRun(reason, _ABSENT_RETRY_AFTER)
        return None

    async def _send_as_asked(self, body: bytes) -> bool:
        """Send a body as the other daemon asks for it; false where it says something else."""
        sent = 0
        while sent < len(body):
            message = await self._receive()
            if not isinstance(message, Ask):
                self._early = message
                return False
            await self.send_part(body[sent : sent + message.size])
            sent += message.size
        return True

    async def _receive(self) -> object:
        if self._early is not None:
            message, self._early = self._early, None
            return message
        while True:
            if self._stream is None:
                raise StreamLostError("the stream to the other daemon is closed")
            message = await self._stream.receive()
            self._is_acknowledged = True
            if not isinstance(message, Queued):
                return message

    async def wait_admitted(self) -> NotRun | None:
        try:
            message = await self._receive()
        except (StreamLostError, MessageError) as error:
            if self._is_held:
                reason = f"the daemon of the target was lost before it took the call: {error}"
                return NotRun(reason, _ABSENT_RETRY_AFTER)
            return None  # `answer` tells
        if isinstance(message, Admitted):
            return None
        if isinstance(message, Refused):
            return self._refusal_of(message)
        self._early = message
        return None

    def _refusal_of(self, refused: Refused) -> NotRun:
        self._load = refused.load
        self._mean_seconds = refused.mean_seconds
        self._release(reuse=self._body_sent or self._is_held)
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
        await self._stream.send(Finish(flatten(trailers)))
        self._body_sent = True

    async def answer(self) -> Answer | NotRun | OutcomeUnknown:
        try:
            if self._is_held:
                refusal = await self._commit()
                if refusal is not None:
                    return refusal
            message = await self._receive()
            if isinstance(message, Admitted):
                message = await self._receive()
            match message:
                case AnswerHead() as head:
                    return self._answer_of(head)
                case Refused() as refused:
                    return self._refusal_of(refused)
                case Lost(reason, is_blamed):
                    self._release(reuse=self._body_sent)
                    return OutcomeUnknown(reason, is_blamed=is_blamed)
                case other:
                    return OutcomeUnknown(f"the other daemon said {type(other).__name__}")
        except (StreamLostError, MessageError) as error:
            return OutcomeUnknown(f"the daemon of the target was lost: {error}")

    def _answer_of(self, head: AnswerHead) -> Answer:
        self._load = head.load
        self._mean_seconds = head.mean_seconds
        answer = Answer(
            status=head.status,
            fields=head.fields,
            body=head.body,
            is_whole=head.is_whole,
            length=head.length,
            ends_by_close=head.ends_by_close,
            trailers=unflatten(head.trailers),
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
                    return End(unflatten(trailers))
                case Lost(reason):
                    raise StreamLostError(reason)
                case other:
                    raise StreamLostError(f"the other daemon said {type(other).__name__}")
        except MessageError as error:
            raise StreamLostError(str(error)) from error

    def abort(self) -> None:
        self._is_aborted = True
        if self._opening is not None:
            self._opening.cancel()
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


def _budget(remaining: float) -> float:
    """What the other daemon is given of the time that remains, so that its word comes in time."""
    return remaining - min(_ANSWER_MARGIN, remaining * _ANSWER_SHARE)
