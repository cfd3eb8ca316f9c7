"""A caller that makes calls one at a time over a kept connection, and checks every answer."""

from __future__ import annotations

import hashlib
import time
from typing import Final

from attrs import field, frozen

from acaciayard_http1 import (
    BodyPart,
    Framing,
    Headers,
    HttpError,
    Limits,
    ResponseReader,
    first_header,
    render_fields,
    request_bytes,
)
from acaciayard_wire import ByteStream, Purpose, StreamLostError, Traffic, connect

__all__ = ["CallResult", "Caller"]

_LIMITS: Final = Limits()


@frozen
class CallResult:
    """What one call ended with."""

    #: HTTP status, 0 when the connection broke.
    status: int
    #: Seconds that it took.
    seconds: float
    #: `not_run`, `outcome_unknown`, or empty for a target's own answer.
    outcome: str = ""
    #: Whether the answer belongs to the call and is whole.
    is_whole: bool = False
    #: Whether it is the kept answer of an earlier call with the same key.
    is_replayed: bool = False
    #: Headers of the answer.
    headers: Headers = field(default=(), repr=False)
    #: Body of the answer.
    body: bytes = field(default=b"", repr=False)


class Caller:
    """One connection to a daemon or a target."""

    def __init__(self, address: tuple[str, int], *, name: str = "bench") -> None:
        self._address = address
        self._name = name.encode()
        self._host = f"{address[0]}:{address[1]}".encode()
        self._stream: ByteStream | None = None
        self._reader: ResponseReader | None = None

    async def call(
        self,
        target: str,
        *,
        token: str,
        method: str = "GET",
        body: bytes = b"",
        headers: Headers = (),
    ) -> CallResult:
        """Make one call; a connection that breaks is told as status 0."""
        started = time.perf_counter()
        try:
            return await self._call(target, token, method, body, headers, started)
        except (StreamLostError, HttpError):
            self.close()
            return CallResult(0, time.perf_counter() - started)

    async def _call(
        self, target: str, token: str, method: str, body: bytes, headers: Headers, started: float
    ) -> CallResult:
        stream, reader = await self._connection()
        sent: Headers = (
            (b"host", self._host),
            (b"x-caller", self._name),
            (b"x-token", token.encode()),
            *headers,
        )
        framing = Framing.SIZED if body else Framing.NONE
        data = request_bytes(
            method.encode(), target.encode(), render_fields(sent), framing=framing, length=len(body)
        )
        await stream.send(data + body)
        head = await reader.next_head(to_head_request=method == "HEAD")
        parts = []
        while isinstance(part := await reader.next_part(), BodyPart):
            parts.append(part.data)
        seconds = time.perf_counter() - started
        if not head.keep_alive:
            self.close()
        answer = b"".join(parts)
        return CallResult(
            status=head.status,
            seconds=seconds,
            outcome=first_header(head.headers, b"x-outcome").decode(),
            is_whole=_is_whole(head.headers, token, body, answer),
            is_replayed=bool(first_header(head.headers, b"x-replayed")),
            headers=head.headers,
            body=answer,
        )

    async def _connection(self) -> tuple[ByteStream, ResponseReader]:
        if self._stream is None or self._reader is None or self._stream.is_lost:
            self._stream = await connect(*self._address, traffic=Traffic(), purpose=Purpose.CALLS)
            self._reader = ResponseReader(self._stream, _LIMITS)
        return self._stream, self._reader

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()
        self._stream = None


def _is_whole(headers: Headers, token: str, sent: bytes, body: bytes) -> bool:
    digest = first_header(headers, b"x-digest")
    return (
        first_header(headers, b"x-token") == token.encode()
        and first_header(headers, b"x-body-digest") == hashlib.sha256(sent).hexdigest().encode()
        and (not digest or digest == hashlib.sha256(body).hexdigest().encode())
    )
