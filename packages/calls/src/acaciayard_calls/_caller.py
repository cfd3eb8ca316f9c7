"""One caller's connection: reading requests, ordering responses, and closing."""

from __future__ import annotations

import contextlib
from typing import Final

import anyio

from acaciayard_http1 import Framing, HttpError, RequestHead, RequestReader
from acaciayard_wire import ByteStream, StreamLostError

from ._answers import AnswerWriter
from ._intake import EntryContext
from ._refusals import RejectedError, error_bytes
from ._request_runs import ConnectionParts, RequestRuns
from ._turns import CallerRequest, RequestPipeline

__all__ = ["CallerConnection"]

#: Seconds and bytes spent on reading the rest of a refused request before closing, since closing
#: with unread data resets the connection and the caller might lose the response.
_LINGER_S: Final = 1.0
_LINGER_BYTES: Final = 4 * 1024 * 1024
#: Seconds for which requests must have been waiting without a pause, so that a connection counts as
#: backlogged.
_BACKLOGGED_S: Final = 1.0
#: Reason of a request that did not run, or whose response was not sent, as the connection closed.
_CLOSED_BEFORE_TURN: Final = "an answer before it closed the connection"


class CallerConnection:
    """Reads requests, runs them, and writes the responses in the order of the requests.

    One task at a time reads the connection, and runs the request that it has read.  A further task
    is started only if more bytes arrive while the request may run concurrently with later ones.
    """

    def __init__(self, stream: ByteStream, context: EntryContext) -> None:
        self._stream = stream
        self._context = context
        self._timers = context.timers
        self._reader = RequestReader(stream, context.limits)
        self._pipeline = RequestPipeline(stream.hold)
        self._is_reading = False
        self._is_closing = False
        self._extra_readers = 0
        self._extra_readers_ended: anyio.Event | None = None
        self._idle_since = self._timers.now()
        #: When a request was last read that had not been waiting, or behind which none was.
        self._caught_up_at = self._idle_since
        #: When the head that is being received was first noticed, and `_idle_since` at that time.
        self._head_noticed = (0.0, -1.0)
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
                wait_turn=self._wait_turn,
                read_ahead=self._read_ahead,
            ),
            context,
        )

    @property
    def running(self) -> int:
        """Requests that are being served."""
        return len(self._pipeline)

    @property
    def is_idle(self) -> bool:
        """Whether no request is being served, read or answered."""
        return not (self.running or self._reader.is_mid_head or self._has_unread)

    @property
    def _has_unread(self) -> bool:
        """Whether bytes of further requests were received, or an error behind the last one."""
        return self._stream.has_unread or self._reader.has_pending

    @property
    def idle_since(self) -> float:
        """When the last request ended, by the timer service."""
        return self._idle_since

    @property
    def peer(self) -> str:
        """Address of the caller, for logs."""
        return self._stream.peer

    def close_if_timed_out(self) -> None:
        """Close the connection if the next request, or the rest of its head, is not there in time.

        Called periodically for all connections, which is cheaper than one timer per request.
        """
        if self.running:
            return
        now = self._timers.now()
        if self._reader.is_mid_head:
            noticed, idle_since = self._head_noticed
            if idle_since != self._idle_since:
                self._head_noticed = (now, self._idle_since)
                return
            if now - noticed < self._context.head_for:
                return
            with contextlib.suppress(StreamLostError):
                timeout_error = HttpError(408, "the request came too slowly")
                self._stream.send_nowait(error_bytes(timeout_error, may_have_run=False))
            self._context.events.caller_cut(self._stream.peer, "slow_head", 0, now - noticed)
        elif now - self._idle_since < self._context.idle_for:
            return
        self._stream.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being served."""
        if not self.running:
            self._stream.close()

    def _keeps_alive(self, head: RequestHead) -> bool:
        """Whether the connection stays open after the response that is written now.

        While the daemon stops, a connection closes only after the last request that may be running,
        since callers resend the requests behind a response that closes the connection.
        """
        first = self._pipeline.first
        if not head.keep_alive or first is None or first.body_unread:
            self._is_closing = True
        elif self._context.is_stopping:
            self._is_closing = self._is_closing or not self._pipeline.has_concurrent_request
        return not self._is_closing

    def _note_closing(self) -> None:
        self._is_closing = True

    async def run(self) -> None:
        """Serve requests until the caller closes or something ends the connection."""
        await self._serve_requests()
        if self._extra_readers:
            self._extra_readers_ended = anyio.Event()
            await self._extra_readers_ended.wait()

    async def _serve_requests(self) -> None:
        """Read and serve requests until another task takes over or the connection ends."""
        request: CallerRequest | None = None
        try:
            while True:
                self._is_reading = True
                is_caught_up = not self._has_unread
                head = await self._reader.next_head()
                if head is None or self._is_closing:
                    return  # `_is_reading` stays set, so that no other task reads
                if self._context.is_stopping and self._pipeline.first is not None:
                    return  # the connection closes after the requests in progress
                self._is_reading = False
                now = self._timers.now()
                if is_caught_up or not self._has_unread:
                    self._caught_up_at = now
                request = CallerRequest(
                    head,
                    now,
                    is_backlogged=now - self._caught_up_at > _BACKLOGGED_S,
                    body_unread=head.framing is not Framing.NONE,
                )
                self._pipeline.begin(request)
                await self._serve(request)
                request = None  # errors from here on are not caused by this request
                if self._is_closing:
                    break
                if self._is_reading or self._pipeline.first is not None:
                    self._read_ahead()
                    return
                if self._has_unread:
                    await self._stream.yield_turn()  # one that was refused may not have waited
            self._stream.close()
        except* HttpError as group:
            await self._send_error(group, request)
            self._close()
        except* StreamLostError:
            self._close()  # the caller has disconnected, so no response can be sent

    def _close(self) -> None:
        """Close the connection; requests that wait for earlier ones do not start."""
        self._is_closing = True
        self._stream.close()

    # --- reading ------------------------------------------------------------------------------

    def _read_ahead(self) -> None:
        """Start a task that reads ahead, if data is available and the pipeline permits it."""
        tasks = self._context.tasks
        if (
            tasks is None
            or self._is_reading
            or self._is_closing
            or not self._pipeline.may_read_ahead
        ):
            return
        if self._has_unread:
            self._is_reading = True
            self._extra_readers += 1
            tasks.start_soon(self._run_extra_reader)

    async def _run_extra_reader(self) -> None:
        """Serve requests concurrently with earlier ones; an error ends only this connection."""
        try:
            await self._serve_requests()
        except Exception as error:
            self._is_closing = True
            self._stream.abort()
            self._context.events.connection_failed(error)
        finally:
            self._extra_readers -= 1
            if not self._extra_readers and self._extra_readers_ended is not None:
                self._extra_readers_ended.set()

    async def _wait_turn(self, request: CallerRequest) -> None:
        """Wait until all earlier requests are answered.

        Raises `StreamLostError` if the connection closes, so that the request gets no response.
        """
        wait_started = self._timers.now()
        try:
            await request.wait()
        finally:
            request.ended.held_ms += round((self._timers.now() - wait_started) * 1000, 1)
        if self._is_closing and not request.runs_concurrently:
            request.note("not_run", 0, _CLOSED_BEFORE_TURN)
        if self._is_closing:
            raise StreamLostError(_CLOSED_BEFORE_TURN)

    # --- errors -------------------------------------------------------------------------------

    async def _send_error(
        self, group: ExceptionGroup[HttpError], request: CallerRequest | None
    ) -> None:
        if self._answers.is_mid_answer:
            self._stream.reset()
            return
        if request is None:  # the malformed request is answered after the earlier ones
            await self._pipeline.all_ended()
            if self._is_closing:
                return
        fault = group.exceptions[0]
        assert isinstance(fault, HttpError)
        may_have_run = request is not None and request.is_handed_over
        try:
            await self._stream.send(error_bytes(fault, may_have_run=may_have_run))
            await self._linger()
        except StreamLostError:
            pass  # the caller has disconnected, so no response can be sent

    async def _linger(self) -> None:
        remaining = _LINGER_BYTES
        with self._timers.timeout(_LINGER_S):
            while remaining > 0:
                data = await self._stream.receive()
                if not data:
                    return
                remaining -= len(data)

    # --- one request --------------------------------------------------------------------------

    async def _serve(self, request: CallerRequest) -> None:
        """Serve a request, and record whether the connection can be used again."""
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
            request.ended.is_overload = rejected.refusal.is_overload
            if self._pipeline.first is not request:
                await self._wait_turn(request)
            await self._answers.send_refusal(request.head, rejected.refusal, rejected.status)
            is_answered = True
        except HttpError as fault:
            request.note("rejected", fault.status, fault.reason)
            if self._pipeline.first is not request:
                await self._wait_turn(request)
            raise
        finally:
            self._idle_since = self._timers.now()
            request.ended.ms = round((self._idle_since - request.started) * 1000, 1)
            if not is_answered or self._context.is_stopping:
                self._is_closing = not (is_answered and self._keeps_alive(request.head))
            self._pipeline.end(request)
            if self._pipeline.first is None:
                self._stream.watch_lost(None)
            self._context.events.call_ended(request.ended)
        if request.body_unread:
            await self._linger()
