"""A minimal HTTP/1.1 client for services that receive a few requests per second.

A request takes about a tenth of the CPU time of a general-purpose client. A failed request is
reported as `NotSent` or `Unanswered`, because clients of a log must know whether the request can
have reached the service.
"""

from __future__ import annotations

import math
from typing import Final

from attrs import frozen

from acaciayard_timers import TimerService
from acaciayard_wire import Address, ByteStream, Purpose, StreamLostError, Traffic, connect

from ._messages import BodyPart, End, Framing, Headers, HttpError, Limits
from ._reader import ResponseReader
from ._writer import request_bytes

__all__ = ["HttpClient", "HttpResponse", "NotSent", "Unanswered"]

_LIMITS: Final = Limits(headers=100, head_bytes=32 * 1024, body_bytes=64 * 1024 * 1024)
#: Timeout for opening a connection.
_CONNECT_TIMEOUT_S: Final = 1.0
#: Idle connections kept for reuse.
_MAX_IDLE_CONNECTIONS: Final = 2
#: Connections that were idle for longer are closed instead of reused.
_IDLE_TIMEOUT_S: Final = 20.0


@frozen
class HttpResponse:
    """A complete response."""

    #: Status code.
    status: int
    #: Complete body.
    body: bytes
    #: Header fields, with lowercase names.
    headers: Headers = ()


@frozen
class NotSent:
    """The request failed before any of it was sent, so the service cannot have received it."""

    #: Why it was not sent.
    reason: str


@frozen
class Unanswered:
    """The request was sent without receiving a complete response; it may have been executed."""

    #: Why there is no complete response.
    reason: str


@frozen
class _Connection:
    stream: ByteStream
    reader: ResponseReader
    last_used: float


class HttpClient:
    """Sends requests to one service over a small pool of persistent connections.

    Example:
        match await client.request(b"GET", b"/status", within=1.0):
            case HttpResponse(200, body): ...
    """

    def __init__(self, address: Address, *, timers: TimerService, traffic: Traffic) -> None:
        self._address = address
        self._timers = timers
        self._traffic = traffic
        self._idle_connections: list[_Connection] = []
        self._received_at = -math.inf

    @property
    def address(self) -> Address:
        """Address of the service."""
        return self._address

    @property
    def received_at(self) -> float:
        """When a part of a response arrived last, by the timer service; `-inf` before the first."""
        return self._received_at

    async def request(
        self,
        method: bytes,
        target: bytes,
        *,
        body: bytes = b"",
        content_type: bytes = b"application/json",
        within: float,
        is_fresh: bool = False,
    ) -> HttpResponse | NotSent | Unanswered:
        """Send one request and read its response.

        `within` is the timeout in seconds for connecting, sending and reading the response. With
        `is_fresh` the request goes out on a new connection.
        """
        connection: _Connection | None = None
        sent = False
        began = self._timers.now()
        kind = "new"
        try:
            with self._timers.timeout(within):
                connection = None if is_fresh else self._pop_idle_connection()
                if connection is None:
                    connection = await self._open_connection()
                else:
                    kind = "kept"
                fields = b"host: %s\r\n" % str(self._address).encode()
                if body:
                    fields += b"content-type: %s\r\n" % content_type
                framing = Framing.NONE if method == b"GET" else Framing.SIZED
                head = request_bytes(method, target, fields, framing=framing, length=len(body))
                sent = True
                connection.stream.send_nowait(head + body)
                response, connection = await self._read_response(connection), None
                return response
            return self._failure(sent, f"no answer in {within:g} s on a {kind} connection")
        except (StreamLostError, HttpError) as error:
            return self._failure(sent, str(error))
        finally:
            if connection is not None:
                connection.stream.abort()
                self._close_unproved(began)

    def _failure(self, sent: bool, reason: str) -> NotSent | Unanswered:
        return Unanswered(reason) if sent else NotSent(reason)

    async def _read_response(self, connection: _Connection) -> HttpResponse:
        head = await connection.reader.next_head()
        self._received_at = self._timers.now()
        parts = []
        while True:
            match await connection.reader.next_part():
                case BodyPart(data):
                    self._received_at = self._timers.now()
                    parts.append(data)
                case End():
                    break
        is_clean = not (connection.reader.has_pending or connection.stream.has_unread)
        if head.keep_alive and is_clean and len(self._idle_connections) < _MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(
                _Connection(connection.stream, connection.reader, self._timers.now())
            )
        else:
            connection.stream.close()
        return HttpResponse(head.status, b"".join(parts), head.headers)

    def _pop_idle_connection(self) -> _Connection | None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            is_expired = self._timers.now() - connection.last_used > _IDLE_TIMEOUT_S
            if not (is_expired or connection.stream.is_lost or connection.stream.has_unread):
                return connection
            connection.stream.abort()
        return None

    def _close_unproved(self, since: float) -> None:
        """Close the kept connections that have carried no response after `since`.

        What silenced one connection, without a reset, may have silenced all that stood.
        """
        for connection in self._idle_connections:
            if connection.last_used <= since:
                connection.stream.abort()
        self._idle_connections = [c for c in self._idle_connections if c.last_used > since]

    async def _open_connection(self) -> _Connection:
        address = self._address
        with self._timers.timeout(_CONNECT_TIMEOUT_S):
            stream = await connect(
                address.ip, address.port, traffic=self._traffic, purpose=Purpose.LOG
            )
            return _Connection(stream, ResponseReader(stream, _LIMITS), self._timers.now())
        raise StreamLostError(f"{address} took no connection in {_CONNECT_TIMEOUT_S:g} s")
