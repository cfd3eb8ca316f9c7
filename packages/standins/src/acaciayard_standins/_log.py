"""A stand-in for the platform's log service: everything in memory, with faults to switch on."""

from __future__ import annotations

import time
from collections import deque
from enum import Enum
from typing import Any, Final

import anyio
import msgpack
from attrs import define, field
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

__all__ = ["Fault", "LogStandIn", "log_application"]

_MSGPACK: Final = "application/msgpack"
#: Longest time for which a read may wait, in seconds.
_LONGEST_WAIT: Final = 30.0


class Fault(Enum):
    """What may be wrong with the log."""

    #: Nothing.
    NONE = "none"
    #: Every request is answered 503.
    DOWN = "down"
    #: Every request is answered late.
    SLOW = "slow"
    #: Appends take effect and their answers are lost.
    LOSE_ANSWERS = "lose_answers"


@define
class _Stream:
    first: int = 0
    records: deque[tuple[float, bytes]] = field(factory=deque)

    @property
    def head(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


class LogStandIn:
    """Streams with offsets, limited retention and a cap on appends a second."""

    def __init__(self, *, retention: float, appends_per_second: float) -> None:
        self._retention = retention
        self._rate = appends_per_second
        self._tokens = appends_per_second
        self._counted_at = time.monotonic()
        self._streams: dict[str, _Stream] = {}
        self._arrived = anyio.Condition()
        self.fault = Fault.NONE
        self.delay = 0.0
        self.reads = 0
        self.appends = 0

    def stream(self, name: str) -> _Stream:
        """A stream without its expired records."""
        stream = self._streams.setdefault(name, _Stream())
        horizon = time.monotonic() - self._retention
        while stream.records and stream.records[0][0] < horizon:
            stream.records.popleft()
            stream.first += 1
        return stream

    def expire_all(self) -> None:
        """Let every record expire now."""
        for stream in self._streams.values():
            stream.first = stream.head
            stream.records.clear()

    def expire_before(self, name: str, offset: int) -> None:
        """Let the records of a stream before `offset` expire now."""
        stream = self.stream(name)
        while stream.records and stream.first < offset:
            stream.records.popleft()
            stream.first += 1

    def may_append(self) -> bool:
        """Whether the cap on appends allows another one now."""
        now = time.monotonic()
        self._tokens = min(self._rate, self._tokens + (now - self._counted_at) * self._rate)
        self._counted_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def append(self, name: str, payload: bytes) -> int:
        """Add a record; returns its offset."""
        stream = self.stream(name)
        offset = stream.head
        stream.records.append((time.monotonic(), payload))
        self.appends += 1
        async with self._arrived:
            self._arrived.notify_all()
        return offset

    async def wait_for(self, name: str, offset: int, seconds: float) -> None:
        """Wait until a stream has a record at `offset`, at most so many seconds."""
        with anyio.move_on_after(min(seconds, _LONGEST_WAIT)):
            async with self._arrived:
                while self.stream(name).head <= offset:
                    await self._arrived.wait()


class _LogApi:
    """The handlers."""

    def __init__(self, log: LogStandIn) -> None:
        self._log = log

    async def _hindrance(self) -> Response | None:
        if self._log.fault is Fault.SLOW:
            await anyio.sleep(self._log.delay)
        if self._log.fault is Fault.DOWN:
            return JSONResponse({"error": "the log is down"}, status_code=503)
        return None

    async def append(self, request: Request) -> Response:
        payload = await request.body()
        hindrance = await self._hindrance()
        if hindrance is not None:
            return hindrance
        if not self._log.may_append():
            return JSONResponse({"error": "too many appends"}, status_code=429)
        offset = await self._log.append(request.path_params["stream"], payload)
        if self._log.fault is Fault.LOSE_ANSWERS:
            return JSONResponse({"error": "the answer was lost"}, status_code=500)
        return JSONResponse({"offset": offset})

    async def read(self, request: Request) -> Response:
        self._log.reads += 1
        hindrance = await self._hindrance()
        if hindrance is not None:
            return hindrance
        name = request.path_params["stream"]
        start = int(request.query_params["start"])
        limit = int(request.query_params["limit"])
        await self._log.wait_for(name, start, float(request.query_params["wait"]))
        if self._log.fault is Fault.DOWN:
            return JSONResponse({"error": "the log is down"}, status_code=503)
        stream = self._log.stream(name)
        body: dict[str, Any] = {"first": stream.first, "head": stream.head}
        if start < stream.first:
            return Response(msgpack.packb(body), status_code=410, media_type=_MSGPACK)
        index = start - stream.first
        records = list(stream.records)[index : index + limit]
        body["records"] = [[start + step, record] for step, (_, record) in enumerate(records)]
        return Response(msgpack.packb(body), media_type=_MSGPACK)

    async def bounds(self, request: Request) -> Response:
        self._log.reads += 1
        hindrance = await self._hindrance()
        if hindrance is not None:
            return hindrance
        stream = self._log.stream(request.path_params["stream"])
        return JSONResponse({"first": stream.first, "head": stream.head})

    async def set_fault(self, request: Request) -> Response:
        body = await request.json()
        self._log.fault = Fault(body.get("fault", "none"))
        self._log.delay = float(body.get("delay", 0.0))
        if body.get("expire_all"):
            self._log.expire_all()
        if "expire_before" in body:
            self._log.expire_before(body["stream"], int(body["expire_before"]))
        return JSONResponse({"fault": self._log.fault.value})

    async def counters(self, _request: Request) -> Response:
        return JSONResponse({"reads": self._log.reads, "appends": self._log.appends})


def log_application(log: LogStandIn) -> Starlette:
    """The stand-in as an ASGI application."""
    api = _LogApi(log)
    return Starlette(
        routes=[
            Route("/streams/{stream}/records", api.append, methods=["POST"]),
            Route("/streams/{stream}/records", api.read, methods=["GET"]),
            Route("/streams/{stream}", api.bounds),
            Route("/faults", api.set_fault, methods=["POST"]),
            Route("/counters", api.counters),
        ]
    )
