"""A minimal HTTP/1.1 server for probes, reports and metrics, without streaming of bodies."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

import anyio.abc
from attrs import frozen

from acaciayard_wire import (
    ByteStream,
    FaultHandler,
    Listener,
    Purpose,
    StreamLostError,
    Traffic,
    listen,
    raise_fault,
)

from ._messages import BodyPart, End, Framing, HttpError, Limits, RequestHead
from ._reader import RequestReader
from ._writer import response_bytes

__all__ = ["HttpReply", "HttpService"]

_LIMITS: Final = Limits(headers=100, head_bytes=16 * 1024, body_bytes=1024 * 1024)
#: The response to a request whose handler has failed.
_FAULT: Final = HttpError(500, "the request could not be processed")


@frozen
class HttpReply:
    """A complete response."""

    #: Status code.
    status: int
    #: Complete body.
    body: bytes = b""
    #: Media type of the body.
    content_type: bytes = b"application/json"
    #: Additional header fields, as lines that each end in `\\r\\n`.
    fields: bytes = b""


class HttpService:
    """Serves all requests with one handler, over persistent connections.

    An unexpected exception of the handler is passed to `on_fault`, and ends its connection after a
    response with status 500.

    Example:
        service = HttpService(handle, traffic=traffic)
        await service.open("127.0.0.1", 8080, tasks)
    """

    def __init__(
        self,
        handler: Callable[[RequestHead, bytes], Awaitable[HttpReply]],
        *,
        traffic: Traffic,
        on_fault: FaultHandler = raise_fault,
    ) -> None:
        self._on_fault = on_fault
        self._handler = handler
        self._traffic = traffic
        self._listener: Listener | None = None
        self._streams: set[ByteStream] = set()

    @property
    def port(self) -> int:
        """Port of the listening socket."""
        assert self._listener is not None, "the service is not listening yet"
        return self._listener.port

    async def open(self, address: str, port: int, tasks: anyio.abc.TaskGroup) -> None:
        """Start listening and serve connections in the task group `tasks`."""
        self._listener = await listen(
            address,
            port,
            traffic=self._traffic,
            purpose=Purpose.MEMBERSHIP,
            on_stream=lambda stream: tasks.start_soon(self._serve, stream),
        )

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        if self._listener is not None:
            self._listener.close()
        for stream in self._streams:
            stream.close()

    async def _serve(self, stream: ByteStream) -> None:
        reader = RequestReader(stream, _LIMITS)
        self._streams.add(stream)
        try:
            while (head := await reader.next_head()) is not None:
                reply = await self._handler(head, await _read_body(reader))
                await stream.send(_encode_reply(reply, keep_alive=head.keep_alive))
                if not head.keep_alive:
                    return
        except HttpError as error:
            self._send_error(stream, error)
        except StreamLostError:
            pass  # the client disconnected, so no response can be sent
        except Exception as error:
            self._on_fault(error)
            self._send_error(stream, _FAULT)
        finally:
            self._streams.discard(stream)
            stream.close()

    @staticmethod
    def _send_error(stream: ByteStream, error: HttpError) -> None:
        reply = HttpReply(error.status, error.reason.encode(), b"text/plain")
        with contextlib.suppress(StreamLostError):  # the client disconnected
            stream.send_nowait(_encode_reply(reply, keep_alive=False))


async def _read_body(reader: RequestReader) -> bytes:
    parts = []
    while True:
        match await reader.next_part():
            case BodyPart(data):
                parts.append(data)
            case End():
                return b"".join(parts)


def _encode_reply(reply: HttpReply, *, keep_alive: bool) -> bytes:
    head = response_bytes(
        reply.status,
        b"content-type: %s\r\n%s" % (reply.content_type, reply.fields),
        framing=Framing.SIZED,
        length=len(reply.body),
        keep_alive=keep_alive,
    )
    return head + reply.body
