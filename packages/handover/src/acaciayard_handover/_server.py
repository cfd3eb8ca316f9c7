"""Serves calls that other daemons forward to the targets on this host."""

from __future__ import annotations

from typing import Final

import anyio
import anyio.abc

from acaciayard_admission import LocalExchange, LocalTargets
from acaciayard_callmodel import (
    NO_EVENTS,
    OWN_DIALECT,
    Answer,
    Call,
    CallEvents,
    Dialect,
    NotRun,
    OfferEnded,
    OutcomeUnknown,
)
from acaciayard_http1 import BodyPart, End
from acaciayard_membership import Suspicion
from acaciayard_timers import PauseDetector, ProcessorPart, TimerService
from acaciayard_wire import (
    BodyBudget,
    ByteStream,
    HeldBody,
    Listener,
    MessageError,
    MessageStream,
    Purpose,
    StreamLostError,
    Traffic,
    listen,
)

from ._body_window import window_for_link
from ._messages import (
    ADMITTED,
    CALL_CODEC,
    LARGEST_INLINE_BODY,
    QUEUED,
    AnswerHead,
    Ask,
    CallHead,
    Finish,
    Lost,
    Part,
    Refused,
    flatten_headers,
    unflatten_headers,
)
from ._notices import pack_notices, unpack_notices

__all__ = ["CallServer"]

#: Time for which calls are refused after a pause of the process: they waited in socket buffers
#: meanwhile, and their budget, which is sent as a duration, does not account for that wait.
_PAUSE_REFUSAL_SECONDS: Final = 0.1
#: Time without data after which the bytes requested from a sender are released to other transfers;
#: at 2.5 Mbit/s the requested bytes take 40 ms.
_STALL_TIMEOUT_SECONDS: Final = 0.5
#: Time after the deadline of a call at which the stream of its response is cut, if the calling
#: daemon has not read what came before.
_UNREAD_CUT_SECONDS: Final = 0.1
#: Refusal of a call for whose body this process has no room, with seconds until a retry.
_NO_ROOM_REFUSAL: Final = NotRun("the daemon has no room for the body", 0.1, is_overload=True)
_PAUSED_REFUSAL: Final = Refused("the daemon of the target stood still", 0.1, False, 1.0)


class CallServer:
    """Accepts streams from other daemons and serves each in its own task."""

    def __init__(
        self,
        *,
        targets: LocalTargets,
        timers: TimerService,
        pause: PauseDetector,
        traffic: Traffic,
        bodies: BodyBudget,
        dialect: Dialect = OWN_DIALECT,
        events: CallEvents = NO_EVENTS,
        link_mbps: float = 0.0,
    ) -> None:
        self._events = events
        self._window = window_for_link(link_mbps)
        self._dialect = dialect
        self._targets = targets
        self._timers = timers
        self._pause = pause
        self._traffic = traffic
        self._bodies = bodies
        self._resumed_at = float("-inf")
        self._listener: Listener | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._running = 0
        self._idle = anyio.Event()
        pause.subscribe(self._on_pause)

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        assert self._listener is not None, "the server does not listen yet"
        return self._listener.port

    @property
    def running(self) -> int:
        """Number of calls being served."""
        return self._running

    async def open(self, address: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Start listening; streams are served in `tasks`."""
        self._tasks = tasks
        self._listener = await listen(
            address,
            port,
            traffic=self._traffic,
            purpose=Purpose.CALLS,
            on_stream=lambda stream: tasks.start_soon(self._serve, stream),
        )

    def close(self) -> None:
        """Stop accepting streams; open streams are still served."""
        if self._listener is not None:
            self._listener.close()

    def _on_pause(self, _seconds: float) -> None:
        self._resumed_at = self._timers.now()

    def _resumed_recently(self) -> bool:
        self._pause.check()
        return self._timers.now() - self._resumed_at < _PAUSE_REFUSAL_SECONDS

    async def _serve(self, stream: ByteStream) -> None:
        await self._timers.account.run(ProcessorPart.TARGET, self._serve_stream, stream)

    async def _serve_stream(self, stream: ByteStream) -> None:
        messages = MessageStream(stream, CALL_CODEC)
        try:
            while True:
                head = await messages.receive()
                if not isinstance(head, CallHead):
                    raise MessageError("a call must start with its head")
                await self._serve_call(head, messages)
                self._timers.account.begin(ProcessorPart.TARGET)
        except* (StreamLostError, MessageError):
            pass  # the calling daemon is gone, so no answer can be sent
        except* Exception as group:
            for error in group.exceptions:
                self._events.connection_failed(error)
        finally:
            stream.close()

    async def _serve_call(self, head: CallHead, messages: MessageStream) -> None:
        if self._resumed_recently():
            await messages.send(_PAUSED_REFUSAL)
            if not (head.is_whole or head.is_held):
                raise MessageError("the body of a refused call is not read")
            return
        if head.notices:
            self._targets.adopt(unpack_notices(head.notices))
        if head.suspicion:
            self._targets.suspects.merge([Suspicion(head.fingerprint, *head.suspicion)])
        call = self._to_call(head)
        exchange = LocalExchange(
            call,
            targets=self._targets,
            timers=self._timers,
            dialect=self._dialect,
            on_queued=lambda: messages.channel.send_nowait(QUEUED),
            is_forwarded=True,
            is_streamed=not (head.is_whole or head.is_held),
        )
        held = self._bodies.open() if call.length > 0 and (head.is_whole or head.is_held) else None
        self._running += 1
        try:
            waits_for_body = head.is_held and call.length > LARGEST_INLINE_BODY
            refusal = exchange.grace_refusal()
            if refusal is None and held is not None and not held.reserve(call.length):
                refusal = _NO_ROOM_REFUSAL
            elif refusal is None and not waits_for_body:
                refusal = exchange.try_enter()
            if refusal is None:
                await self._serve_admitted(head, exchange, messages, held)
            else:
                await self._refuse(refusal, exchange, messages)
                if not (head.is_whole or head.is_held):
                    raise MessageError("the body of a refused call is not read")
        finally:
            exchange.close()
            if held is not None:
                held.release()
            self._running -= 1

    async def _serve_admitted(
        self,
        head: CallHead,
        exchange: LocalExchange,
        messages: MessageStream,
        held: HeldBody | None,
    ) -> None:
        """Serve a call that has a slot, or may wait for one or for its body."""
        messages.channel.watch_lost(exchange.abort)
        expiry = self._timers.call_at(exchange.call.deadline, exchange.abort)
        try:
            if head.is_held:
                await self._run_held(exchange, messages, held)
            else:
                if held is not None:
                    held.complete()
                await self._run(exchange, messages, is_whole=head.is_whole)
        finally:
            expiry.cancel()
            messages.channel.watch_lost(None)

    def _to_call(self, head: CallHead) -> Call:
        return Call(
            service=head.service,
            method=head.method,
            target=head.target,
            fields=head.fields,
            body=head.body,
            is_whole=head.is_whole,
            length=head.length,
            priority=head.priority,
            deadline=self._timers.now() + head.budget,
            request_id=head.request_id,
            start_by=self._timers.now() + head.start_within,
            is_idempotent=head.is_idempotent,
            is_repeat=head.is_repeat,
            workspace=head.workspace,
            depth=head.depth,
        )

    async def _run(
        self, exchange: LocalExchange, messages: MessageStream, *, is_whole: bool
    ) -> None:
        refusal = await exchange.start()
        if refusal is not None:
            await self._refuse(refusal, exchange, messages)
            if not is_whole:
                raise MessageError("the body of a refused call is not read")
            return
        messages.channel.send_nowait(ADMITTED)
        if is_whole:
            await self._answer(exchange, messages)
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward_body, exchange, messages)
            await self._answer(exchange, messages)

    async def _run_held(
        self, exchange: LocalExchange, messages: MessageStream, held: HeldBody | None
    ) -> None:
        """Run a call whose body is sent only after admission.

        A call with a large body takes a slot only once the body has been received.  Nothing is sent
        to the target before the body is complete, so the calling daemon may send the call to
        another host until it has sent the end of the body.
        """
        is_large = exchange.call.length > LARGEST_INLINE_BODY
        refusal = exchange.reserve() if is_large else await exchange.enter()
        if refusal is not None:
            await self._refuse(refusal, exchange, messages)
            return
        messages.channel.send_nowait(ADMITTED)
        body = await self._receive_body(exchange, messages, held)
        if body is None:
            await self._refuse(_NO_ROOM_REFUSAL, exchange, messages)
            raise MessageError("the rest of a dropped body is not read")
        exchange.hold(body)
        refusal = await exchange.enter() if is_large else None
        if refusal is not None:
            await self._refuse(refusal, exchange, messages)
            return
        refusal = await exchange.send_head()
        if refusal is not None:
            await self._refuse(refusal, exchange, messages)
            return
        await self._answer(exchange, messages)

    async def _receive_body(
        self, exchange: LocalExchange, messages: MessageStream, held: HeldBody | None
    ) -> bytes | None:
        """Receive the body of a call; return `None` if it stood still and was dropped."""
        if held is None:
            return await _receive_pushed_body(messages)
        body = None
        remaining = exchange.call.deadline - self._timers.now()
        with self._timers.timeout(remaining) as scope:
            held.on_dropped = scope.cancel
            if exchange.call.length > LARGEST_INLINE_BODY:
                body = await self._receive_requested_body(exchange, messages, held)
            else:
                body = await _receive_pushed_body(messages)
        if held.is_dropped:
            return None
        if body is None:
            raise MessageError("a body was not complete before the deadline of its call")
        held.complete()
        return body

    async def _receive_requested_body(
        self, exchange: LocalExchange, messages: MessageStream, held: HeldBody
    ) -> bytes:
        """Receive a large body in requested chunks, within the window of the host's link."""
        transfer = self._window.open(exchange.call.length)

        def on_lost() -> None:
            exchange.abort()
            transfer.end()

        messages.channel.watch_lost(on_lost)
        parts = []
        try:
            while True:
                while size := transfer.try_request():
                    messages.channel.send_nowait(CALL_CODEC.encode(Ask(size)))
                if not transfer.in_flight and transfer.remaining:
                    held.complete()  # it waits for other bodies, and not for its sender
                    if size := await transfer.request():
                        messages.channel.send_nowait(CALL_CODEC.encode(Ask(size)))
                    held.expect()
                message = None
                with self._timers.timeout(_STALL_TIMEOUT_SECONDS):
                    message = await messages.receive()
                match message:
                    case None:
                        transfer.record_received(transfer.in_flight)  # the data may still arrive
                    case Part(data):
                        transfer.record_received(len(data))
                        held.note_received(len(data))
                        parts.append(data)
                    case Finish():
                        return b"".join(parts)
                    case other:
                        raise MessageError(f"unexpected {type(other).__name__} in a body")
        finally:
            transfer.end()
            messages.channel.watch_lost(exchange.abort)

    @staticmethod
    async def _forward_body(exchange: LocalExchange, messages: MessageStream) -> None:
        while True:
            match await messages.receive():
                case Part(data):
                    await exchange.send_part(data)
                case Finish(trailers):
                    await exchange.finish(unflatten_headers(trailers))
                    return
                case other:
                    raise MessageError(f"unexpected {type(other).__name__} in a body")

    def _report_outcome(self, exchange: LocalExchange, outcome: str, reason: str) -> None:
        """Emit an event with the outcome of a forwarded call."""
        call = exchange.call
        self._events.offer_ended(
            OfferEnded(
                request_id=call.request_id.decode("latin-1"),
                service=call.service,
                outcome=outcome,
                reason=reason,
                load=round(exchange.load, 2),
                ms=round((self._timers.now() - exchange.since) * 1000, 1),
                workspace=call.workspace,
            )
        )

    async def _refuse(
        self, refusal: NotRun, exchange: LocalExchange, messages: MessageStream
    ) -> None:
        self._timers.account.move(ProcessorPart.REFUSED)
        self._report_outcome(exchange, "not_run", refusal.reason)
        await messages.send(
            Refused(
                refusal.reason,
                refusal.retry_after,
                refusal.is_overload,
                exchange.load,
                refusal.is_by_target,
                exchange.mean_seconds,
                refusal.is_barred,
                pack_notices(exchange.notices),
            )
        )

    async def _answer(self, exchange: LocalExchange, messages: MessageStream) -> None:
        answer = await exchange.answer()
        match answer:
            case NotRun():
                await self._refuse(answer, exchange, messages)
            case OutcomeUnknown(reason, is_blamed=is_blamed):
                self._report_outcome(exchange, "unknown", reason)
                await messages.send(Lost(reason, is_blamed))
            case Answer():
                self._report_outcome(exchange, "answered", "")
                await messages.send(_to_answer_head(answer, exchange))
                if not answer.is_whole:
                    await self._relay_body(exchange, messages)

    async def _relay_body(self, exchange: LocalExchange, messages: MessageStream) -> None:
        """Relay the body of a response until its end, the deadline of the call at the latest.

        The call holds its slot until then, so a calling daemon that does not read must not keep it.
        """
        cut = self._timers.call_at(
            exchange.call.deadline + _UNREAD_CUT_SECONDS, messages.channel.abort
        )
        reason = ""
        try:
            reason = await self._relay_parts(exchange, messages)
        except StreamLostError as error:
            reason = str(error)
            raise
        finally:
            cut.cancel()
            if reason:
                self._report_outcome(exchange, "cut", reason)

    @staticmethod
    async def _relay_parts(exchange: LocalExchange, messages: MessageStream) -> str:
        """Relay a body; return why it broke off at the target, or an empty string at its end."""
        while True:
            try:
                part = await exchange.next_part()
            except StreamLostError as error:
                await messages.send(Lost(str(error)))
                return str(error)
            match part:
                case BodyPart(data):
                    await messages.send(Part(data))
                case End(trailers):
                    await messages.send(Finish(flatten_headers(trailers)))
                    return ""


async def _receive_pushed_body(messages: MessageStream) -> bytes:
    """Receive a body that is sent without requests."""
    parts = []
    while not isinstance(message := await messages.receive(), Finish):
        if not isinstance(message, Part):
            raise MessageError(f"unexpected {type(message).__name__} in a body")
        parts.append(message.data)
    return b"".join(parts)


def _to_answer_head(answer: Answer, exchange: LocalExchange) -> AnswerHead:
    return AnswerHead(
        status=answer.status,
        fields=answer.fields,
        body=answer.body,
        is_whole=answer.is_whole,
        length=answer.length,
        ends_by_close=answer.ends_by_close,
        trailers=flatten_headers(answer.trailers),
        load=exchange.load,
        mean_seconds=exchange.mean_seconds,
        lacks_inner=answer.is_nested_failure,
        notices=pack_notices(exchange.notices),
    )
