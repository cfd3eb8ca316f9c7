"""Writes responses to a caller's connection."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from acaciayard_callmodel import (
    OWN_DIALECT,
    UNKNOWN_LENGTH,
    Answer,
    Dialect,
    NotRun,
    OutcomeUnknown,
)
from acaciayard_http1 import (
    BodyPart,
    End,
    Framing,
    RequestHead,
    chunk,
    last_chunk,
    response_bytes,
)
from acaciayard_routing import Plan
from acaciayard_timers import TimerService
from acaciayard_wire import ByteStream, StreamLostError

from ._attempt import Attempt
from ._refusals import not_run_bytes, unknown_bytes

__all__ = ["AnswerCutError", "AnswerWriter"]

_BODILESS_STATUSES: Final = (204, 304)


class AnswerCutError(StreamLostError):
    """A response has begun and will not be complete; its connection is reset."""


class AnswerWriter:
    """Writes the responses of one connection.

    `keeps_alive` returns whether the connection stays open after a response; it is called while the
    response head is written.  `on_closing` is called when the framing of a response requires the
    connection to be closed.
    """

    def __init__(
        self,
        stream: ByteStream,
        timers: TimerService,
        keeps_alive: Callable[[RequestHead], bool],
        on_closing: Callable[[], None],
        *,
        dialect: Dialect = OWN_DIALECT,
    ) -> None:
        self._dialect = dialect
        self._stream = stream
        self._timers = timers
        self._keeps_alive = keeps_alive
        self._on_closing = on_closing
        self._is_mid_answer = False

    @property
    def is_mid_answer(self) -> bool:
        """Whether a response was started whose body is not complete yet."""
        return self._is_mid_answer

    async def send_refusal(self, head: RequestHead, refusal: NotRun, status: int) -> None:
        """Send the response to a call that certainly did not run."""
        await self._stream.send(
            not_run_bytes(
                refusal,
                dialect=self._dialect,
                status=status,
                keep_alive=self._keeps_alive(head),
                bodiless=head.method == b"HEAD",
            )
        )

    async def send_unknown(self, head: RequestHead, unknown: OutcomeUnknown, status: int) -> None:
        """Send the response to a call of which it is unknown whether it ran."""
        await self._stream.send(
            unknown_bytes(
                unknown,
                status=status,
                keep_alive=self._keeps_alive(head),
                bodiless=head.method == b"HEAD",
            )
        )

    async def send_whole(self, head: RequestHead, answer: Answer, extra: bytes = b"") -> None:
        """Send a response whose body is complete; `extra` holds additional rendered fields."""
        bodiless = head.method == b"HEAD" or answer.status in _BODILESS_STATUSES
        is_chunked = bool(answer.trailers) and not (bodiless or head.is_http10)
        data = response_bytes(
            answer.status,
            answer.fields + extra,
            framing=Framing.CHUNKED if is_chunked else Framing.SIZED,
            length=len(answer.body),
            keep_alive=self._keeps_alive(head),
            bodiless=bodiless,
        )
        if is_chunked:
            data += chunk(answer.body) + last_chunk(answer.trailers)
        elif not bodiless:
            data += answer.body
        await self._stream.send(data)

    async def relay(
        self, head: RequestHead, plan: Plan, answer: Answer, attempt: Attempt, *, deadline: float
    ) -> None:
        """Relay a target's response; a truncated body resets the caller's connection.

        A body that is still arriving is cut at the deadline, on the clock of the timer service,
        whether the target does not send or the caller does not read.  Raises `AnswerCutError`
        unless the caller has disconnected.
        """
        if answer.is_whole and answer.ends_by_close:
            await self._relay_until_close(answer)
        elif answer.is_whole:
            await self.send_whole(head, answer)
        else:
            await self._relay_parts(head, plan, answer, attempt, deadline)

    async def _relay_parts(
        self, head: RequestHead, plan: Plan, answer: Answer, attempt: Attempt, deadline: float
    ) -> None:
        framing = Framing.SIZED
        if answer.length == UNKNOWN_LENGTH:
            # Chunks show every caller whether the body is complete.  If the end of the connection
            # did, a reset could pass for it at callers that do not ask how the connection ended.
            framing = Framing.UNTIL_CLOSE if head.is_http10 else Framing.CHUNKED
        is_closed_behind = answer.ends_by_close or framing is Framing.UNTIL_CLOSE
        if is_closed_behind:
            self._on_closing()
            self._stream.guard_end()
        self._stream.send_nowait(
            response_bytes(
                answer.status,
                answer.fields,
                framing=framing,
                length=answer.length,
                keep_alive=self._keeps_alive(head),
            )
        )
        self._is_mid_answer = True
        expiry = self._timers.call_at(deadline, lambda: self._expire(attempt))
        try:
            await self._relay_body(plan, attempt, framing)
        except BaseException as error:
            is_caller_gone = self._stream.is_lost and not attempt.abort_reason
            self._stream.reset()
            if isinstance(error, StreamLostError) and not is_caller_gone:
                raise AnswerCutError(attempt.abort_reason or str(error)) from error
            raise
        finally:
            expiry.cancel()
        self._is_mid_answer = False
        if is_closed_behind:
            await self._stream.close_in_order()

    def _expire(self, attempt: Attempt) -> None:
        """Cut a response that is not complete at its deadline."""
        attempt.abort("the answer was not complete before the deadline")
        self._stream.reset()

    async def _relay_until_close(self, answer: Answer) -> None:
        """Relay a response that is delimited by the end of the connection, with the same framing.

        Sending it with a length would claim that the body is complete, which cannot be known.
        """
        self._on_closing()
        head = response_bytes(answer.status, answer.fields, framing=Framing.UNTIL_CLOSE)
        self._stream.guard_end()
        await self._stream.send(head + answer.body)
        await self._stream.close_in_order()

    async def _relay_body(self, plan: Plan, attempt: Attempt, framing: Framing) -> None:
        is_chunked = framing is Framing.CHUNKED
        while True:
            match await self._next_answer_part(plan, attempt):
                case BodyPart(data):
                    await self._stream.send(chunk(data) if is_chunked else data)
                case End(trailers):
                    if is_chunked:
                        await self._stream.send(last_chunk(trailers))
                    return

    async def _next_answer_part(self, plan: Plan, attempt: Attempt) -> BodyPart | End:
        with self._timers.timeout(plan.timeout.idle_s):
            return await attempt.exchange.next_part()
        raise StreamLostError(f"the answer stood still for {plan.timeout.idle_s:g} s")
