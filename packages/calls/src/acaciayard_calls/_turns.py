"""The pipelined requests of one caller's connection, and the order of their responses.

A caller may send further requests before the first one is answered (HTTP pipelining).  Idempotent
ones run concurrently; the responses are sent in the order of the requests.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

import anyio
from attrs import define, field

from acaciayard_callmodel import Call, CallEnded, CallWatch
from acaciayard_http1 import RequestHead

__all__ = ["MAX_BUFFERED_BYTES", "MAX_PIPELINED_REQUESTS", "CallerRequest", "RequestPipeline"]

#: Maximum number of requests of one connection in progress.  It is lower than the slots of a usual
#: target, so that one connection cannot use them all; further requests wait in the socket buffer.
MAX_PIPELINED_REQUESTS: Final = 4
#: Bytes of heads and finished responses behind the first request from which no further request is
#: read: two responses of the largest size that is buffered completely.
MAX_BUFFERED_BYTES: Final = 128 * 1024


@define(eq=False)
class CallerRequest:
    """A request that was read and is not answered yet."""

    #: Its request line and headers.
    head: RequestHead
    #: When the head was read, on the clock of the timer service.
    started: float
    #: Whether its connection was backlogged then: the caller sends faster than it is answered.
    is_backlogged: bool = False
    #: The event that is reported when it has ended.
    ended: CallEnded = field(factory=CallEnded)
    #: Whether a part of its body has not been read.
    body_unread: bool = False
    #: Whether a target may have received a part of it without a known outcome.
    is_handed_over: bool = False
    #: Cancels its call; `None` if the call continues without its caller.
    watch: CallWatch | None = None
    #: The call for which a target on this host makes it; `None` if it is not nested.
    parent: Call | None = None
    #: Whether it runs concurrently with earlier requests, so that it may already have run.
    runs_concurrently: bool = False
    #: Bytes that are buffered for it while earlier requests are not answered.
    buffered_bytes: int = 0
    _turn: anyio.Event | None = None

    def note(self, outcome: str, status: int, reason: str = "") -> None:
        """Record its outcome for the event that is reported."""
        self.ended.outcome = outcome
        self.ended.status = status
        self.ended.reason = reason

    async def wait(self) -> None:
        """Wait until all earlier requests have ended."""
        self._turn = anyio.Event()
        await self._turn.wait()

    def wake(self) -> None:
        """Resume `wait`, as all earlier requests have ended."""
        if self._turn is not None:
            self._turn.set()


class RequestPipeline:
    """The requests of one connection in progress, in the order in which they were read.

    `on_held` is called with the bytes that are held for the requests behind the first one, each
    time they have changed.
    """

    def __init__(self, on_held: Callable[[int], None] = lambda _: None) -> None:
        #: The request that is answered next; `None` if none is in progress.
        self.first: CallerRequest | None = None
        self._requests: deque[CallerRequest] = deque()
        self._emptied: anyio.Event | None = None
        self._on_held = on_held
        self._held = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def may_read_ahead(self) -> bool:
        """Whether a further request may be read before the first one is answered."""
        requests = self._requests
        if not requests or len(requests) >= MAX_PIPELINED_REQUESTS:
            return False
        last = requests[-1]
        if not last.runs_concurrently or not last.head.keep_alive:
            return False
        return self._held < MAX_BUFFERED_BYTES

    @property
    def has_concurrent_request(self) -> bool:
        """Whether a request after the first one may be running at a target."""
        return len(self._requests) > 1 and self._requests[1].runs_concurrently

    def begin(self, request: CallerRequest) -> None:
        """Add a request that was read."""
        if self.first is None:
            self.first = request
        else:
            request.ended.behind = len(self._requests)
            self.hold(request, _size_of(request.head))
        self._requests.append(request)

    def hold(self, request: CallerRequest, count: int) -> None:
        """Note that `count` more bytes are held for a request behind the first one."""
        request.buffered_bytes += count
        self._held += count
        self._on_held(self._held)

    def end(self, request: CallerRequest) -> None:
        """Remove a request that has ended, and resume the next one."""
        self._requests.remove(request)
        if request.buffered_bytes:
            self._held -= request.buffered_bytes
            self._on_held(self._held)
        if self._requests:
            self.first = self._requests[0]
            self.first.wake()
            return
        self.first = None
        if self._emptied is not None:
            self._emptied.set()

    async def all_ended(self) -> None:
        """Wait until all requests have ended; no request may be added meanwhile."""
        if self._requests:
            self._emptied = anyio.Event()
            await self._emptied.wait()

    def give_up(self) -> None:
        """Cancel all calls that depend on the caller, which has disconnected."""
        for request in tuple(self._requests):
            if request.watch is not None:
                request.watch.give_up()


def _size_of(head: RequestHead) -> int:
    return len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
