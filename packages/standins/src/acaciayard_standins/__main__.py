"""Runs a stand-in: `python -m acaciayard_standins log` or `… target`."""

from __future__ import annotations

import functools
import json
import signal
import socket

import anyio
import click
from hypercorn.asyncio import serve
from hypercorn.config import Config

from acaciayard_http1 import Framing, RequestHead, response_bytes

from ._announcer import Announcer
from ._log import LogStandIn, log_application
from ._target import TargetStandIn


@click.group()
def main() -> None:
    """Stand-ins for what the platform gives; they keep everything in memory."""


@main.command()
@click.option("--port", default=0, help="Port; 0 has the kernel choose one.")
@click.option("--retention", default=86_400.0, help="Seconds for which records are kept.")
@click.option("--appends-per-second", default=400.0, help="Cap on appends.")
def log(port: int, retention: float, appends_per_second: float) -> None:
    """Run the log service."""
    anyio.run(_run_log, port, retention, appends_per_second)


async def _run_log(port: int, retention: float, appends_per_second: float) -> None:
    listening = socket.create_server(("127.0.0.1", port), backlog=512)
    config = Config()
    config.bind = [f"fd://{listening.fileno()}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.2
    config.keep_alive_timeout = 3600.0
    stopped = anyio.Event()
    log_service = LogStandIn(retention=retention, appends_per_second=appends_per_second)
    click.echo(f"event=ready port={listening.getsockname()[1]}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_stop_on_signal, stopped)
        await serve(
            log_application(log_service),  # type: ignore[arg-type]
            config,
            shutdown_trigger=stopped.wait,
        )
        tasks.cancel_scope.cancel()


async def _stop_on_signal(stopped: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopped.set()


@main.command()
@click.option("--api", required=True, help="API of the daemon on this host.")
@click.option("--service", required=True, help="Service to answer for.")
@click.option("--name", required=True, help="Name of the target.")
@click.option("--slots", default=9, help="Calls run at once.")
@click.option("--connections", default=130, help="Connections taken.")
@click.option("--port", default=0, help="Port; 0 has the kernel choose one.")
def target(api: str, service: str, name: str, slots: int, connections: int, port: int) -> None:
    """Run a target that announces itself to the daemon at API."""
    anyio.run(
        functools.partial(_run_target, api, service, name, slots, connections, port),
        backend_options={"use_uvloop": True},
    )


async def _run_target(
    api: str, service: str, name: str, slots: int, connections: int, port: int
) -> None:
    stand_in = TargetStandIn(name)
    async with anyio.create_task_group() as tasks:
        announcer = Announcer(api, service, name, "", slots, connections)
        control = _Control(stand_in, announcer)
        await stand_in.open("127.0.0.1", tasks, control=control.answer, port=port)
        announcer.address = f"127.0.0.1:{stand_in.port}"
        click.echo(f"event=ready port={stand_in.port}")
        tasks.start_soon(announcer.run)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()


class _Control:
    """Answers requests under `/standin/`: the journal, and switches for faults."""

    def __init__(self, target: TargetStandIn, announcer: Announcer) -> None:
        self._target = target
        self._announcer = announcer

    def answer(self, head: RequestHead) -> bytes | None:
        """The answer to a request for the stand-in itself, `None` for a call."""
        path = head.path.decode("latin-1")
        if not path.startswith("/standin/"):
            return None
        verb, _, value = path.removeprefix("/standin/").partition("/")
        match verb:
            case "fail":
                self._target.fails_with = int(value)
            case "slow":
                self._target.slow_ms = float(value)
            case "state":
                self._announcer.state = value
            case "journal":
                return _json(self._journal())
            case _:
                return _json({"error": f"unknown {verb!r}"}, status=404)
        return _json({"done": path})

    def _journal(self) -> dict[str, object]:
        journal = self._target.journal
        return {
            "started": dict(journal.started),
            "finished": dict(journal.finished),
            "keys": dict(journal.keys),
            "running": journal.running,
            "most_running": journal.most_running,
        }


def _json(value: object, status: int = 200) -> bytes:
    body = json.dumps(value).encode()
    fields = b"content-type: application/json\r\n"
    return response_bytes(status, fields, framing=Framing.SIZED, length=len(body)) + body


main()
