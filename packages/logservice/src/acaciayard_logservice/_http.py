"""The log service over HTTP.

POST /streams/{stream}/records               body: the record; answer: {"offset": 7}
GET  /streams/{stream}/records?start=&limit=&wait=
     answer: msgpack {"first": 0, "head": 8, "records": [[7, bytes]]}; 410 once expired
GET  /streams/{stream}                       answer: {"first": 0, "head": 8}
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import httpx
import msgpack

from ._interface import (
    Appended,
    AppendUnknown,
    Bounds,
    Expired,
    LogRecord,
    LogService,
    NotAppended,
    Slice,
    Unavailable,
)

__all__ = ["HttpLogService", "http_log_service"]

#: Seconds to wait for an answer, beyond what a read asked to wait.
_ANSWER_WITHIN: Final = 3.0
#: Bytes of a request or status line and of a header beyond its name and value.
_LINE_OVERHEAD: Final = 12
_HEADER_OVERHEAD: Final = 4
#: Errors of a body that lacks what it should tell, such as one that has broken off.
_UNREADABLE: Final = (ValueError, KeyError, TypeError)


class HttpLogService(LogService):
    """Speaks to the log service by one pool of connections.

    `count` is told the bytes sent and received with every answer, headers included.
    """

    def __init__(self, client: httpx.AsyncClient, *, count: Callable[[int, int], None]) -> None:
        self._client = client
        self._count = count
        self._reads = 0
        self._appends = 0

    @property
    def reads(self) -> int:
        """Requests so far that read records or bounds."""
        return self._reads

    @property
    def appends(self) -> int:
        """Requests so far that appended."""
        return self._appends

    async def append(self, stream: str, payload: bytes) -> Appended | NotAppended | AppendUnknown:
        self._appends += 1
        try:
            answer = await self._client.post(f"/streams/{stream}/records", content=payload)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return NotAppended(f"cannot reach the log: {_text(error)}")
        except httpx.HTTPError as error:
            return AppendUnknown(f"no answer from the log: {_text(error)}")
        self._add_up(answer)
        match answer.status_code:
            case 200:
                return _appended(answer)
            case 429 | 503:
                return NotAppended(f"the log answered {answer.status_code}")
            case status:
                return AppendUnknown(f"the log answered {status}")

    async def read(
        self, stream: str, *, start: int, limit: int, wait: float
    ) -> Slice | Expired | Unavailable:
        self._reads += 1
        params = {"start": start, "limit": limit, "wait": wait}
        try:
            answer = await self._client.get(
                f"/streams/{stream}/records", params=params, timeout=_ANSWER_WITHIN + wait
            )
        except httpx.HTTPError as error:
            return Unavailable(f"cannot read the log: {_text(error)}")
        self._add_up(answer)
        if answer.status_code not in (200, 410):
            return Unavailable(f"the log answered {answer.status_code}")
        try:
            body = msgpack.unpackb(answer.content)
            bounds = Bounds(first=int(body["first"]), head=int(body["head"]))
            if answer.status_code == 410:
                return Expired(bounds)
            records = tuple(LogRecord(int(o), bytes(p)) for o, p in body["records"])
        except (*_UNREADABLE, msgpack.exceptions.UnpackException) as error:
            return Unavailable(f"the log's answer makes no sense: {error}")
        return Slice(records, bounds)

    async def bounds(self, stream: str) -> Bounds | Unavailable:
        self._reads += 1
        try:
            answer = await self._client.get(f"/streams/{stream}")
        except httpx.HTTPError as error:
            return Unavailable(f"cannot read the log: {_text(error)}")
        self._add_up(answer)
        if answer.status_code != 200:
            return Unavailable(f"the log answered {answer.status_code}")
        try:
            body = answer.json()
            return Bounds(first=int(body["first"]), head=int(body["head"]))
        except _UNREADABLE as error:
            return Unavailable(f"the log's answer makes no sense: {error}")

    def _add_up(self, answer: httpx.Response) -> None:
        request = answer.request
        sent = _LINE_OVERHEAD + len(str(request.url.raw_path)) + len(request.content)
        sent += _size_of(request.headers)
        received = _LINE_OVERHEAD + len(answer.content) + _size_of(answer.headers)
        self._count(sent, received)


def _appended(answer: httpx.Response) -> Appended | AppendUnknown:
    """The place of a record, unless the answer that tells it has broken off."""
    try:
        return Appended(int(answer.json()["offset"]))
    except _UNREADABLE as error:
        return AppendUnknown(f"the log's answer makes no sense: {error}")


def _size_of(headers: httpx.Headers) -> int:
    return sum(len(name) + len(value) + _HEADER_OVERHEAD for name, value in headers.raw)


def _text(error: Exception) -> str:
    return str(error) or type(error).__name__


def http_log_service(url: str, *, count: Callable[[int, int], None]) -> HttpLogService:
    """The log service at `url`, such as `"http://127.0.0.1:9400"`."""
    client = httpx.AsyncClient(base_url=url, timeout=_ANSWER_WITHIN, trust_env=False)
    return HttpLogService(client, count=count)
