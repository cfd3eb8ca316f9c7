"""The baseline for spreading: every daemon polls the log by itself once a second."""

from __future__ import annotations

import signal
import time
from typing import Final

import anyio
import click

from acaciayard_logservice import HttpLogService, Slice, http_log_service
from acaciayard_resources import START, FoldState, fold
from acaciayard_spread import CONFIGURATION_STREAM

__all__ = ["run_pollers"]

_PERIOD: Final = 1.0
_LIMIT: Final = 512


class _Pollers:
    """Some pollers in one process, each with a state of its own."""

    def __init__(self, count: int, log_url: str) -> None:
        self._count = count
        self._log_url = log_url
        self._reached: dict[int, int] = {}
        self.bytes = 0

    def _add(self, sent: int, received: int) -> None:
        self.bytes += sent + received

    async def run_one(self, number: int) -> None:
        log = http_log_service(self._log_url, count=self._add)
        await anyio.sleep(_PERIOD * number / self._count)
        state = START
        due = time.monotonic()
        while True:
            state = await self._poll(log, state)
            due += _PERIOD
            await anyio.sleep(max(0.0, due - time.monotonic()))

    async def _poll(self, log: HttpLogService, state: FoldState) -> FoldState:
        found = await log.read(CONFIGURATION_STREAM, start=state.position, limit=_LIMIT, wait=0.0)
        if not isinstance(found, Slice):
            return state
        for record in found.records:
            after = fold(state, record.payload)
            if not isinstance(after, FoldState):
                return state
            if after.version != state.version:
                self._note(after.version)
            state = after
        return state

    def _note(self, version: int) -> None:
        self._reached[version] = self._reached.get(version, 0) + 1
        if self._reached[version] == self._count:
            click.echo(
                f"event=in_force version={version} monotonic={time.monotonic():.6f}"
                f" bytes={self.bytes}"
            )


async def run_pollers(count: int, log_url: str) -> None:
    """Poll until SIGTERM."""
    pollers = _Pollers(count, log_url)
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(pollers.run_one, number)
        click.echo("event=ready")
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        click.echo(f"event=ended bytes={pollers.bytes}")
        tasks.cancel_scope.cancel()
