"""Serves the API with hypercorn."""

from __future__ import annotations

import socket
from typing import Final

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette

__all__ = ["ApiServer"]

_BACKLOG: Final = 256
#: Seconds that open watches get when the server stops.
_GRACE: Final = 0.5


class ApiServer:
    """One listening socket with the API behind it."""

    def __init__(self, *, address: str, port: int) -> None:
        #: What is served; must be set before `run`.
        self.application: Starlette = Starlette()
        self._socket = socket.create_server((address, port), backlog=_BACKLOG)
        self._stopped = anyio.Event()
        self._ended = anyio.Event()

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self._socket.getsockname()[1])

    async def run(self) -> None:
        """Serve until `stop`."""
        config = Config()
        config.bind = [f"fd://{self._socket.fileno()}"]
        config.accesslog = None
        config.errorlog = None
        config.graceful_timeout = _GRACE
        try:
            await serve(
                self.application,  # type: ignore[arg-type]
                config,
                shutdown_trigger=self._stopped.wait,
            )
        finally:
            self._ended.set()

    async def stop(self) -> None:
        """Take no more requests, and return when those under way have ended or had their time."""
        self._stopped.set()
        await self._ended.wait()
