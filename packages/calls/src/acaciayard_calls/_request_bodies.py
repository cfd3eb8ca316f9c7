"""Receives the bodies of requests, within the time and the room that they have."""

from __future__ import annotations

from collections import deque
from typing import Final

from attrs import define, field

from acaciayard_callmodel import NotRun
from acaciayard_http1 import CONTINUE, BodyPart, End, HttpError, RequestReader
from acaciayard_routing import Plan
from acaciayard_wire import ByteStream, HeldBody

from ._intake import EntryContext, deadline_of
from ._refusals import RejectedError
from ._turns import CallerRequest

__all__ = ["BodyReceiver", "ReceivedBody"]

#: Longest time in seconds for which a body may stand still, whatever its route allows; a slow or
#: lossy link delays a part of it by about a second.
_MAX_STILL_S: Final = 5.0
#: Bytes up to which the parts of a body are joined as they arrive.
_SMALL_PART_BYTES: Final = 16 * 1024
#: Refusal of a request for whose body this process has no room, with seconds until a retry.
_NO_ROOM: Final = NotRun("too many bodies arrive at this daemon", 0.1, is_overload=True)


@define
class ReceivedBody:
    """What was received of a body before its call is made; the owner must release it."""

    #: Whether it is complete; the rest of any other body is forwarded as it arrives.
    is_whole: bool = True
    #: The room that it takes, `None` if nothing was received.
    held: HeldBody | None = None
    _parts: deque[bytes] = field(factory=deque)
    #: The last parts, while they are small: an object takes more memory than a few bytes.
    _small: bytearray = field(factory=bytearray)

    @property
    def is_empty(self) -> bool:
        """Whether nothing was received, or all of it was taken."""
        return not (self._parts or self._small)

    def append(self, data: bytes) -> None:
        """Add bytes that were received."""
        if len(data) < _SMALL_PART_BYTES or self._small:
            self._small += data
            if len(self._small) >= _SMALL_PART_BYTES:
                self._parts.append(bytes(self._small))
                self._small.clear()
        else:
            self._parts.append(data)

    def take(self) -> bytes:
        """Remove and return the first bytes; empty if none are left."""
        if self._parts:
            return self._parts.popleft()
        data = bytes(self._small)
        self._small.clear()
        return data

    def take_all(self) -> bytes:
        """Remove and return all bytes."""
        if len(self._parts) == 1 and not self._small:
            return self._parts.pop()
        data = b"".join((*self._parts, self._small))
        self._parts.clear()
        self._small.clear()
        return data

    def release(self) -> None:
        """Let go of the bytes and give their room back; further calls have no effect."""
        self._parts.clear()
        self._small.clear()
        if self.held is not None:
            self.held.release()


class BodyReceiver:
    """Receives the bodies of the requests of one connection.

    Example:
        received = ReceivedBody(held=context.bodies.open())
        try:
            await receiver.receive(request, plan, received)
        finally:
            received.release()
    """

    def __init__(self, stream: ByteStream, reader: RequestReader, context: EntryContext) -> None:
        self._stream = stream
        self._reader = reader
        self._context = context
        self._timers = context.timers

    async def receive(self, request: CallerRequest, plan: Plan, received: ReceivedBody) -> None:
        """Receive a body until its end, or until it is too large to be buffered.

        Raises `HttpError` if it does not arrive in time, and `RejectedError` if there is no room.
        """
        held = received.held
        assert held is not None, "the parts need room"
        if request.head.expects_continue:
            await self._stream.send(CONTINUE)
        deadline = deadline_of(request.head, plan, self._context, started=request.started)
        with self._timers.timeout(deadline - self._timers.now()) as scope:
            held.on_dropped = scope.cancel
            await self._receive_parts(request, plan, received, held)
            if not held.is_dropped:
                held.complete()
                return
        if held.is_dropped:
            raise HttpError(408, "the body stood still, and its room was needed")
        raise HttpError(408, "the body was not complete before the deadline of its call")

    async def _receive_parts(
        self, request: CallerRequest, plan: Plan, received: ReceivedBody, held: HeldBody
    ) -> None:
        while True:
            match await self.next_part(request, plan):
                case BodyPart(data):
                    if not held.grow(len(data)):
                        raise RejectedError(503, self._no_room(request, plan))
                    received.append(data)
                    if held.size > self._context.max_buffered_body:
                        received.is_whole = False
                        return
                case End():
                    return

    def _no_room(self, request: CallerRequest, plan: Plan) -> NotRun:
        deadline = deadline_of(request.head, plan, self._context, started=request.started)
        return self._context.dispatcher.spread_retry(_NO_ROOM, deadline)

    async def next_part(self, request: CallerRequest, plan: Plan) -> BodyPart | End:
        """Return the next bytes of a body; raises `HttpError` if it stands still."""
        still = min(plan.timeout.idle_s, _MAX_STILL_S)
        with self._timers.timeout(still):
            part = await self._reader.next_part()
            if isinstance(part, End):
                request.body_unread = False
            return part
        raise HttpError(408, f"the body stood still for {still:g} s")
