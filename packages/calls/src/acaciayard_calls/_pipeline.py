"""The requests of one caller's connection that are under way, and whose turn it is to answer.

A caller may send further requests before the first is answered.  Those that do no harm when they
run twice are worked on side by side; answers leave in the order of the requests.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import anyio
from attrs import define, field

from acaciayard_callmodel import Call, CallEnded, CallWatch
from acaciayard_http1 import RequestHead

__all__ = ["MAX_BUFFERED_BYTES", "MAX_PIPELINED_REQUESTS", "CallerRequest", "RequestPipeline"]

#: Requests of one connection that are under way at most.  Fewer than the slots of a usual target,
#: so that one connection cannot take the whole room of one; further requests wait in the socket.
MAX_PIPELINED_REQUESTS: Final = 4
#: Bytes of heads and ready answers behind the first request from which a connection is not read
#: on: two answers of the largest size that is held whole.
MAX_BUFFERED_BYTES: Final = 128 * 1024


@define(eq=False)
class CallerRequest:
    """A request that was read and is not answered yet."""

    #: Its first line and headers.
    head: RequestHead
    #: When that was read, by the timer service.
    started: float
    #: What is told of it once it has ended.
    ended: CallEnded = field(factory=CallEnded)
    #: Whether a part of its body has not been read.
    body_unread: bool = False
    #: Whether a target may have got a part of it whose answer is not known.
    is_handed_over: bool = False
    #: Gives its call up; `None` where it goes on without its caller.
    watch: CallWatch | None = None
    #: The call that a target here makes it for; `None` for a caller's own.
    parent: Call | None = None
    #: Whether it runs beside others: it has begun whatever is before it.
    runs_concurrently: bool = False
    #: Bytes that are held for it while others are before it.
    buffered_bytes: int = 0
    _turn: anyio.Event | None = None

    def note(self, outcome: str, status: int, reason: str = "") -> None:
        """Note how it ends."""
        self.ended.outcome = outcome
        self.ended.status = status
        self.ended.reason = reason

    async def wait(self) -> None:
        """Wait until all requests before it have ended."""
        self._turn = anyio.Event()
        await self._turn.wait()

    def wake(self) -> None:
        """Its turn has come."""
        if self._turn is not None:
            self._turn.set()


class RequestPipeline:
    """The requests of one connection that are under way, in the order in which they were read."""

    def __init__(self) -> None:
        #: The request that is answered next; `None` while none is under way.
        self.first: CallerRequest | None = None
        self._requests: deque[CallerRequest] = deque()
        self._emptied: anyio.Event | None = None

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
        return sum(each.buffered_bytes for each in requests) < MAX_BUFFERED_BYTES

    @property
    def has_concurrent_request(self) -> bool:
        """Whether a request behind the first may be running at a target."""
        return len(self._requests) > 1 and self._requests[1].runs_concurrently

    def begin(self, request: CallerRequest) -> None:
        """A request was read."""
        if self.first is None:
            self.first = request
        else:
            request.ended.behind = len(self._requests)
            request.buffered_bytes = _size_of(request.head)
        self._requests.append(request)

    def end(self, request: CallerRequest) -> None:
        """A request has ended, answered or not."""
        self._requests.remove(request)
        if self._requests:
            self.first = self._requests[0]
            self.first.wake()
            return
        self.first = None
        if self._emptied is not None:
            self._emptied.set()

    async def all_ended(self) -> None:
        """Wait until all requests that were read have ended; none may be read meanwhile."""
        if self._requests:
            self._emptied = anyio.Event()
            await self._emptied.wait()

    def give_up(self) -> None:
        """The caller has gone: give up all its calls that nobody else waits for."""
        for request in tuple(self._requests):
            if request.watch is not None:
                request.watch.give_up()


def _size_of(head: RequestHead) -> int:
    return len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
