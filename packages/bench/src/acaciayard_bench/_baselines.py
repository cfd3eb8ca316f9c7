"""What the call path is compared with: a bare relay, and hypercorn with httpx."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Final

import anyio
import anyio.abc
import click
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from acaciayard_http1 import (
    BodyPart,
    Framing,
    HttpError,
    Limits,
    RequestHead,
    RequestReader,
    ResponseReader,
    render_fields,
    request_bytes,
    response_bytes,
)
from acaciayard_wire import ByteStream, Purpose, StreamLostError, Traffic, connect, listen

__all__ = ["run_bare_relay", "run_library_relay"]

_METHODS: Final = ["GET", "POST"]


async def _until_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return


async def run_bare_relay(target: tuple[str, int]) -> None:
    """Relay requests without bodies over one connection per caller, and nothing else."""

    async def relay(stream: ByteStream) -> None:
        traffic = Traffic()
        onward = await connect(*target, traffic=traffic, purpose=Purpose.CALLS)
        requests = RequestReader(stream, Limits())
        answers = ResponseReader(onward, Limits())
        try:
            while (head := await requests.next_head()) is not None:
                await requests.next_part()
                await _relay_one(head, stream, onward, answers)
        except (StreamLostError, HttpError):
            pass  # one of the ends is gone
        finally:
            stream.close()
            onward.close()

    async with anyio.create_task_group() as tasks:
        listener = await listen(
            "127.0.0.1",
            0,
            traffic=Traffic(),
            purpose=Purpose.CALLS,
            on_stream=lambda stream: tasks.start_soon(relay, stream),
        )
        click.echo(f"event=ready port={listener.port}")
        await _until_signal()
        tasks.cancel_scope.cancel()


async def _relay_one(
    head: RequestHead, stream: ByteStream, onward: ByteStream, answers: ResponseReader
) -> None:
    await onward.send(
        request_bytes(head.method, head.target, render_fields(head.headers), framing=Framing.NONE)
    )
    answer = await answers.next_head()
    body = b""
    while isinstance(part := await answers.next_part(), BodyPart):
        body += part.data
    headers = tuple(field for field in answer.headers if field[0] != b"content-length")
    data = response_bytes(
        answer.status, render_fields(headers), framing=Framing.SIZED, length=len(body)
    )
    await stream.send(data + body)


async def run_library_relay(target: tuple[str, int]) -> None:
    """Relay with hypercorn in and httpx out."""
    url = f"http://{target[0]}:{target[1]}"
    client = httpx.AsyncClient(base_url=url, trust_env=False)

    async def relay(request: Request) -> Response:
        answer = await client.request(
            request.method, request.url.path, params=request.query_params, headers=request.headers
        )
        return Response(answer.content, answer.status_code)

    listening = socket.create_server(("127.0.0.1", 0), backlog=128)
    config = Config()
    config.bind = [f"fd://{listening.fileno()}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.1
    application = Starlette(routes=[Route("/{path:path}", relay, methods=_METHODS)])
    click.echo(f"event=ready port={listening.getsockname()[1]}")
    stopped = asyncio.Event()
    async with anyio.create_task_group() as tasks:

        async def stop() -> None:
            await _until_signal()
            stopped.set()

        tasks.start_soon(stop)
        await serve(application, config, shutdown_trigger=stopped.wait)  # type: ignore[arg-type]
        tasks.cancel_scope.cancel()
