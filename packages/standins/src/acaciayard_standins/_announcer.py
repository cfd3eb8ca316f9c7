"""Announces a target stand-in to the daemon on its host."""

from __future__ import annotations

from typing import Final

import anyio
import httpx
from attrs import define

__all__ = ["Announcer"]

_EVERY: Final = 1.0


@define
class Announcer:
    """Repeats an announcement until it is told to stop."""

    #: The daemon's API, such as `"http://127.0.0.1:7403"`.
    api: str
    #: Service that the target answers for.
    service: str
    #: Name of the target.
    name: str
    #: Where the target listens, as `"ip:port"`.
    address: str
    #: Calls that it runs at once.
    slots: int
    #: Connections that it takes.
    connections: int
    #: `ready`, `starting` or `draining`.
    state: str = "ready"

    async def run(self) -> None:
        """Announce for ever; a daemon that does not answer is tried again."""
        async with httpx.AsyncClient(timeout=1.0, trust_env=False) as client:
            while True:
                await self._announce(client)
                await anyio.sleep(_EVERY)

    async def _announce(self, client: httpx.AsyncClient) -> None:
        body = {
            "service": self.service,
            "name": self.name,
            "address": self.address,
            "slots": self.slots,
            "connections": self.connections,
            "state": self.state,
        }
        try:
            await client.post(f"{self.api}/v1/targets", json=body)
        except httpx.HTTPError:
            return  # the daemon may be starting or restarting
