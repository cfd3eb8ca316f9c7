"""An attempt at a target on this host: through its gate, then over HTTP."""

from __future__ import annotations

import contextlib
from typing import Final

import anyio

from acaciayard_http1 import (
    HOP_BY_HOP,
    BodyPart,
    End,
    Framing,
    Headers,
    HttpError,
    ResponseHead,
    chunk,
    last_chunk,
    render_fields,
    request_bytes,
)
from acaciayard_timers import TimerService
from acaciayard_wire import StreamLostError

from ._admission import SlotHeld
from ._call import (
    LARGEST_WHOLE_BODY,
    UNKNOWN_LENGTH,
    Answer,
    Call,
    Exchange,
    NotRun,
    OutcomeUnknown,
)
from ._targets import LocalTarget, LocalTargets, TargetConnection

__all__ = ["DEADLINE_HEADER", "LocalExchange", "end_to_end"]

#: Header that tells a target how long its caller still waits.
DEADLINE_HEADER: Final = b"x-deadline-ms"
#: Seconds after which a caller may try again when a target is not there.
_ABSENT_RETRY_AFTER: Final = 1.0
_BODILESS_METHODS: Final = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
_NOT_PASSED_ON: Final = HOP_BY_HOP | {b"content-length"}
_GIVEN_UP: Final = NotRun("the call was given up before it was sent", 0.1)


def end_to_end(headers: Headers) -> Headers:
    """Header fields without those of the connection and of the framing."""
    dropped = _NOT_PASSED_ON
    if any(name == b"connection" for name, _ in headers):
        dropped |= _named(headers)
    return tuple([field for field in headers if field[0] not in dropped])


def _named(headers: Headers) -> frozenset[bytes]:
    """Headers that `Connection` declares to belong to the connection."""
    return frozenset(
        name.strip().lower()
        for field, value in headers
        if field == b"connection"
        for name in value.split(b",")
    )


class LocalExchange(Exchange):
    """A call at a target beside this daemon."""

    def __init__(self, call: Call, *, targets: LocalTargets, timers: TimerService) -> None:
        self._call = call
        self._targets = targets
        self._timers = timers
        self._target: LocalTarget | None = None
        self._slot: SlotHeld | None = None
        self._connection: TargetConnection | None = None
        self._waiting: anyio.CancelScope | None = None
        self._is_aborted = False
        self._sent = False
        self._body_sent = call.is_whole
        self._reusable = False

    @property
    def was_sent(self) -> bool:
        return self._sent

    @property
    def load(self) -> float:
        """Load of the target, for the daemon that asked."""
        return self._target.gate.load if self._target is not None else 0.0

    async def start(self) -> NotRun | None:
        """Get a slot and a connection and send the head; the refusal where that fails.

        Nothing has reached the target when a refusal is returned.
        """
        refusal = await self._enter() or (_GIVEN_UP if self._is_aborted else None)
        if refusal is None:
            self._send_head()
        return refusal

    async def _enter(self) -> NotRun | None:
        call = self._call
        target = self._targets.pick(call.service)
        if target is None:
            return NotRun(f"no target of {call.service!r} on this host", _ABSENT_RETRY_AFTER)
        entered = target.gate.try_enter(call.priority, call.deadline)
        if entered is None:
            entered = await self._wait(target)
        if isinstance(entered, NotRun):
            return entered
        self._target = target
        self._slot = entered
        self._connection = target.idle_connection()
        if self._connection is not None:
            return None
        try:
            self._connection = await target.new_connection()
        except StreamLostError as error:
            return NotRun(f"the target is not there: {error}", _ABSENT_RETRY_AFTER)
        return None

    async def _wait(self, target: LocalTarget) -> SlotHeld | NotRun:
        """Wait in the queue of the target; `abort` ends the wait."""
        with anyio.CancelScope() as scope:
            self._waiting = scope
            try:
                return await target.gate.wait(self._call.priority, self._call.deadline)
            finally:
                self._waiting = None
        return _GIVEN_UP

    def _send_head(self) -> None:
        """Send the head, with the body where it is whole."""
        assert self._connection is not None
        call = self._call
        remaining = max(0, round((call.deadline - self._timers.now()) * 1000))
        fields = b"%s%s: %d\r\n" % (call.fields, DEADLINE_HEADER, remaining)
        framing = Framing.SIZED if call.length >= 0 else Framing.CHUNKED
        if call.length == 0 and call.method in _BODILESS_METHODS:
            framing = Framing.NONE
        data = request_bytes(
            call.method, call.target, fields, framing=framing, length=max(0, call.length)
        )
        self._sent = True
        with contextlib.suppress(StreamLostError):  # the answer will not come: that says it
            self._connection.stream.send_nowait(data + call.body if call.body else data)

    async def wait_admitted(self) -> NotRun | None:
        return None  # `start` returns only then

    async def send_part(self, data: bytes) -> None:
        piece = chunk(data) if self._call.length == UNKNOWN_LENGTH else data
        await self._open().stream.send(piece)

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
            return await self._answer_of(head)
        except (StreamLostError, HttpError) as error:
            return OutcomeUnknown(f"the target gave no whole answer: {error}")

    async def _answer_of(self, head: ResponseHead) -> Answer:
        self._reusable = head.keep_alive
        headers = end_to_end(head.headers)
        if self._call.wants_head_only:
            headers += tuple(f for f in head.headers if f[0] == b"content-length")
        length = _length_of(head)
        body = b""
        end = End()
        is_whole = 0 <= length <= LARGEST_WHOLE_BODY
        if is_whole:
            body, end = await self._read_whole()
        return Answer(
            status=head.status,
            fields=render_fields(headers),
            body=body,
            is_whole=is_whole,
            length=length,
            ends_by_close=head.framing is Framing.UNTIL_CLOSE,
            trailers=end.trailers,
        )

    async def _read_whole(self) -> tuple[bytes, End]:
        parts: list[bytes] = []
        while True:
            part = await self.next_part()
            if isinstance(part, End):
                return b"".join(parts), part
            parts.append(part.data)

    async def next_part(self) -> BodyPart | End:
        part = await self._open().reader.next_part()
        if isinstance(part, End):
            self._release(reuse=self._reusable and self._body_sent)
        return part

    def abort(self) -> None:
        self._is_aborted = True
        if self._waiting is not None:
            self._waiting.cancel()
        if self._connection is not None:
            self._connection.stream.abort()

    def close(self) -> None:
        self._release(reuse=False)

    def _release(self, *, reuse: bool) -> None:
        connection, self._connection = self._connection, None
        if connection is not None and self._target is not None:
            if reuse:
                self._target.give_back(connection)
            else:
                connection.stream.abort()
        if self._slot is not None:
            self._slot.release()


def _length_of(head: ResponseHead) -> int:
    if head.framing is Framing.NONE:
        return 0
    if head.framing is Framing.SIZED:
        return next(int(value) for name, value in head.headers if name == b"content-length")
    return UNKNOWN_LENGTH
