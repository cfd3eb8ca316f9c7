"""A stand-in for a target: answers over HTTP, announces itself, and writes down what it ran.

What it does with a call is asked for in the call's own query:

    /work?ms=20             answer after 20 ms
    /work?bytes=1000        with so many bytes of body
    /work?fail=500          with that status
    /work?cut=1             end the connection in the middle of the answer
    /work?drip_ms=10        a pause between pieces of the body

Every answer carries the request's `x-token` and the SHA-256 of the request's body, and every body
that was asked for by size can be checked against its `x-digest`.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from typing import Final
from urllib.parse import parse_qs

import anyio
import anyio.abc
from attrs import define, field, frozen

from acaciayard_http1 import (
    CONTINUE,
    BodyPart,
    End,
    Framing,
    Headers,
    HttpError,
    Limits,
    RequestHead,
    RequestReader,
    first_header,
    render_fields,
    response_bytes,
)
from acaciayard_wire import ByteStream, Listener, Purpose, StreamLostError, Traffic, listen

__all__ = ["Journal", "TargetStandIn"]

_PIECE: Final = 64 * 1024
#: A body is this text over and over.
_FILLING: Final = bytes(range(256)) * 256


@define
class Journal:
    """What the target ran."""

    #: Runs started, by token.
    started: Counter[str] = field(factory=Counter)
    #: Runs finished, by token.
    finished: Counter[str] = field(factory=Counter)
    #: Runs started, by idempotency key.
    keys: Counter[str] = field(factory=Counter)
    #: Calls running now, and the most at once.
    running: int = 0
    most_running: int = 0


@frozen
class _Wish:
    """What a call asks the target to do."""

    ms: float = 0.0
    size: int = 0
    fail: int = 200
    cut: bool = False
    drip_ms: float = 0.0


def _wish_of(head: RequestHead) -> _Wish:
    query = parse_qs(head.target.partition(b"?")[2].decode("latin-1"))

    def number(name: str, default: float) -> float:
        return float(query[name][0]) if name in query else default

    return _Wish(
        ms=number("ms", 0),
        size=int(number("bytes", 0)),
        fail=int(number("fail", 200)),
        cut=bool(number("cut", 0)),
        drip_ms=number("drip_ms", 0),
    )


class TargetStandIn:
    """One target."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._listener: Listener | None = None
        self.journal = Journal()
        #: Status with which every call is answered at once while set; for a target that lies.
        self.fails_with = 0
        #: Milliseconds added to every call.
        self.slow_ms = 0.0

    @property
    def port(self) -> int:
        """Where it listens."""
        assert self._listener is not None, "the target does not listen yet"
        return self._listener.port

    async def open(
        self,
        address: str,
        tasks: anyio.abc.TaskGroup,
        *,
        control: Callable[[RequestHead], bytes | None],
        port: int = 0,
    ) -> None:
        """Listen; requests that `control` answers are not calls."""
        self._listener = await listen(
            address,
            port,
            traffic=Traffic(),
            purpose=Purpose.CALLS,
            on_stream=lambda stream: tasks.start_soon(self._serve, stream, control),
        )

    async def _serve(
        self, stream: ByteStream, control: Callable[[RequestHead], bytes | None]
    ) -> None:
        reader = RequestReader(stream, Limits())
        try:
            while (head := await reader.next_head()) is not None:
                answer = control(head)
                if answer is not None:
                    await reader.next_part()
                    await stream.send(answer)
                elif not await self._run(head, reader, stream):
                    return
        except (StreamLostError, HttpError):
            pass  # the daemon has given the call up
        finally:
            stream.close()

    async def _run(self, head: RequestHead, reader: RequestReader, stream: ByteStream) -> bool:
        journal = self.journal
        token = first_header(head.headers, b"x-token").decode("latin-1")
        key = first_header(head.headers, b"idempotency-key").decode("latin-1")
        journal.started[token] += 1
        if key:
            journal.keys[key] += 1
        journal.running += 1
        journal.most_running = max(journal.most_running, journal.running)
        try:
            if head.expects_continue:
                await stream.send(CONTINUE)
            digest = hashlib.sha256()
            while isinstance(part := await reader.next_part(), BodyPart):
                digest.update(part.data)
            assert isinstance(part, End)
            done = await self._answer(head, digest.hexdigest(), token, stream)
            journal.finished[token] += 1
            return done
        finally:
            journal.running -= 1

    async def _answer(self, head: RequestHead, digest: str, token: str, stream: ByteStream) -> bool:
        wish = _wish_of(head)
        status = self.fails_with or wish.fail
        wait = 0.0 if self.fails_with else wish.ms + self.slow_ms
        if wait and not await self._wait(wait / 1000, stream):
            raise StreamLostError("the daemon has cancelled the call")
        headers: Headers = (
            (b"x-target", self._name.encode()),
            (b"x-token", token.encode("latin-1")),
            (b"x-body-digest", digest.encode()),
        )
        if wish.size <= _PIECE and not wish.cut and not wish.drip_ms:
            body = _filling(wish.size)
            headers = (*headers, (b"x-digest", hashlib.sha256(body).hexdigest().encode()))
            data = response_bytes(
                status,
                render_fields(headers),
                framing=Framing.SIZED,
                length=wish.size,
                bodiless=status in (204, 304),
            )
            await stream.send(data if head.method == b"HEAD" else data + body)
            return True
        await stream.send(
            response_bytes(status, render_fields(headers), framing=Framing.SIZED, length=wish.size)
        )
        return await self._stream_body(wish, stream)

    async def _stream_body(self, wish: _Wish, stream: ByteStream) -> bool:
        left = wish.size
        while left > 0:
            piece = min(left, _PIECE if not wish.drip_ms else 1024)
            await stream.send(_filling(piece))
            left -= piece
            if wish.cut and left <= wish.size // 2:
                stream.close()
                return False
            if wish.drip_ms:
                await anyio.sleep(wish.drip_ms / 1000)
        return True

    @staticmethod
    async def _wait(seconds: float, stream: ByteStream) -> bool:
        """Wait; false when the daemon has cancelled the call meanwhile."""
        with anyio.CancelScope() as scope:
            stream.watch_lost(scope.cancel)
            try:
                await anyio.sleep(seconds)
            finally:
                stream.watch_lost(None)
        return not scope.cancelled_caught


def _filling(size: int) -> bytes:
    whole, rest = divmod(size, len(_FILLING))
    return _FILLING * whole + _FILLING[:rest]
