"""One caller's connection: who reads it, whose turn it is, and when it ends."""

from __future__ import annotations

import contextlib
from typing import Final

import anyio

from acaciayard_http1 import Framing, HttpError, RequestHead, RequestReader
from acaciayard_wire import ByteStream, StreamLostError

from ._answers import AnswerWriter
from ._intake import EntryContext
from ._pipeline import CallerRequest, RequestPipeline
from ._refusals import RejectedError, fault_bytes
from ._request_runs import ConnectionParts, RequestRuns

__all__ = ["CallerConnection"]

#: Seconds and bytes spent on reading the rest of a refused request, so that its sender gets to
#: read the answer.
_LINGER: Final = 1.0
_LINGER_BYTES: Final = 4 * 1024 * 1024
#: Why a request that was read did not run, or its answer was not sent.
_BEHIND_CLOSING: Final = "an answer before it closed the connection"


class CallerConnection:
    """Reads requests, has them run, and writes the answers in the order of the requests.

    One task at a time reads; it runs what it has read itself.  Only where further bytes come while
    a request runs that lets others pass is another task started, which reads on.
    """

    def __init__(self, stream: ByteStream, context: EntryContext) -> None:
        self._stream = stream
        self._context = context
        self._timers = context.timers
        self._reader = RequestReader(stream, context.limits)
        self._pipeline = RequestPipeline()
        self._is_reading = False
        self._is_over = False
        self._helpers = 0
        self._helpers_ended: anyio.Event | None = None
        self._idle_since = self._timers.now()
        self._answers = AnswerWriter(
            stream,
            context.timers,
            self._keeps_alive,
            self._note_closing,
            dialect=context.dialect,
        )
        self._runs = RequestRuns(
            ConnectionParts(
                stream=stream,
                reader=self._reader,
                pipeline=self._pipeline,
                answers=self._answers,
                turn_of=self._turn_of,
                read_on=self._read_on,
            ),
            context,
        )

    @property
    def running(self) -> int:
        """Requests that are being served."""
        return len(self._pipeline)

    def close_if_late(self) -> None:
        """Close the connection if its next request is not whole after a long time.

        Called now and then for all connections, which costs a request less than a timer does.
        """
        if self.running or self._timers.now() - self._idle_since < self._context.idle_for:
            return
        if self._reader.is_mid_head:
            with contextlib.suppress(StreamLostError):
                late = HttpError(408, "the request came too slowly")
                self._stream.send_nowait(fault_bytes(late, may_have_run=False))
        self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served."""
        if not self.running:
            self._stream.close()

    def _keeps_alive(self, head: RequestHead) -> bool:
        """Whether the connection may be used again after the answer that is written now.

        A connection that stops ends after what may be running: a caller sends again what lies
        behind an answer that closes.
        """
        first = self._pipeline.first
        if not head.keep_alive or first is None or first.body_unread:
            self._is_over = True
        elif self._context.is_stopping:
            self._is_over = self._is_over or not self._pipeline.has_concurrent_request
        return not self._is_over

    def _note_closing(self) -> None:
        self._is_over = True

    async def run(self) -> None:
        """Serve requests until the caller closes or something ends the connection."""
        await self._take_requests()
        if self._helpers:
            self._helpers_ended = anyio.Event()
            await self._helpers_ended.wait()

    async def _take_requests(self) -> None:
        """Read requests and serve them, until another task goes on or the connection ends."""
        request: CallerRequest | None = None
        try:
            while True:
                self._is_reading = True
                head = await self._reader.next_head()
                if head is None or self._is_over:
                    return  # and nobody reads on
                if self._context.is_stopping and self._pipeline.first is not None:
                    return  # the connection ends after what is under way
                self._is_reading = False
                request = CallerRequest(
                    head, self._timers.now(), body_unread=head.framing is not Framing.NONE
                )
                self._pipeline.begin(request)
                await self._serve(request)
                request = None  # what fails from here on is no fault of its
                if self._is_over:
                    break
                if self._is_reading or self._pipeline.first is not None:
                    self._read_on()
                    return
            self._stream.close()
        except* HttpError as group:
            await self._report_fault(group, request)
            self._end()
        except* StreamLostError:
            self._end()  # the caller is gone; there is nobody to tell

    def _end(self) -> None:
        """Nothing more is read, and what waits for its turn does not start."""
        self._is_over = True
        self._stream.close()

    # --- reading ------------------------------------------------------------------------------

    def _read_on(self) -> None:
        """Have another task read on where bytes wait and the requests under way allow it."""
        tasks = self._context.tasks
        if tasks is None or self._is_reading or self._is_over or not self._pipeline.may_read_ahead:
            return
        if self._stream.has_unread or self._reader.has_pending:
            self._is_reading = True
            self._helpers += 1
            tasks.start_soon(self._help)

    async def _help(self) -> None:
        """Serve requests beside earlier ones; what fails here ends the connection alone."""
        try:
            await self._take_requests()
        except Exception as error:
            self._is_over = True
            self._stream.abort()
            self._context.events.connection_failed(error)
        finally:
            self._helpers -= 1
            if not self._helpers and self._helpers_ended is not None:
                self._helpers_ended.set()

    async def _turn_of(self, request: CallerRequest) -> None:
        """Wait until the requests before this one are answered."""
        since = self._timers.now()
        try:
            await request.wait()
        finally:
            request.ended.held_ms += round((self._timers.now() - since) * 1000, 1)
        if self._is_over and not request.runs_concurrently:
            request.note("not_run", 0, _BEHIND_CLOSING)
        if self._is_over:
            raise StreamLostError(_BEHIND_CLOSING)

    # --- faults -------------------------------------------------------------------------------

    async def _report_fault(
        self, group: ExceptionGroup[HttpError], request: CallerRequest | None
    ) -> None:
        if self._answers.is_mid_answer:
            self._stream.abort()
            return
        if request is None:  # no request could be read; that is told in its turn
            await self._pipeline.all_ended()
            if self._is_over:
                return
        fault = group.exceptions[0]
        assert isinstance(fault, HttpError)
        may_have_run = request is not None and request.is_handed_over
        try:
            await self._stream.send(fault_bytes(fault, may_have_run=may_have_run))
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

    async def _serve(self, request: CallerRequest) -> None:
        """Serve a request, and note where the connection cannot be used again."""
        self._context.served += 1
        is_answered = False
        try:
            if not (request.body_unread or self._reader.take_end()):
                await self._reader.next_part()
            await self._runs.run(request)
            is_answered = True
        except RejectedError as rejected:
            request.note("rejected", rejected.status, rejected.refusal.reason)
            request.ended.retry_after = rejected.refusal.retry_after
            if self._pipeline.first is not request:
                await self._turn_of(request)
            await self._answers.refuse(request.head, rejected.refusal, rejected.status)
            is_answered = True
        except HttpError as fault:
            request.note("rejected", fault.status, fault.reason)
            if self._pipeline.first is not request:
                await self._turn_of(request)
            raise
        finally:
            self._idle_since = self._timers.now()
            request.ended.ms = round((self._idle_since - request.started) * 1000, 1)
            if not is_answered or self._context.is_stopping:
                self._is_over = not (is_answered and self._keeps_alive(request.head))
            self._pipeline.end(request)
            if self._pipeline.first is None:
                self._stream.watch_lost(None)
            self._context.events.call_ended(request.ended)
        if request.body_unread:
            await self._linger()
