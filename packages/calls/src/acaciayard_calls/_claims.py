"""Claims of idempotency keys: of all calls with one key, at most one is made.

The log decides: of the claims of a key that stand in its stream the first one holds, and a claim
that was released holds no more.  One daemon per stream, its home, gathers claims into batches; two
daemons that both take themselves for the home are told apart by the order of the log.
"""

from __future__ import annotations

import secrets
from typing import Any, Final

import anyio
import msgpack
from attrs import define, field, frozen

from acaciayard_handover import ClaimAnswer, ClaimRequest, ReleaseRequest
from acaciayard_logservice import (
    Appended,
    AppendUnknown,
    Expired,
    LogService,
    NotAppended,
    Slice,
    Unavailable,
)
from acaciayard_timers import TimerService

__all__ = ["ClaimCoordinator", "ClaimHolder", "ClaimTable"]

#: Claims in one record.
_BATCH: Final = 512
#: Records read at once.
_READ_LIMIT: Final = 512
#: Keys remembered by one home.
_KEYS_KEPT: Final = 200_000
#: Tries to find out what became of an append, and seconds between them.
_LOOKS: Final = 4
_LOOK_EVERY: Final = 0.1
_BATCH_ID_BYTES: Final = 8


@frozen
class ClaimHolder:
    """Who holds a key."""

    #: Identity of the claim.
    claim: bytes
    #: Host that made it.
    host: str


class ClaimTable:
    """What follows from the records of one stream, in their order."""

    def __init__(self) -> None:
        self._holdings: dict[bytes, ClaimHolder] = {}
        self._released: dict[bytes, None] = {}

    def __len__(self) -> int:
        return len(self._holdings)

    def holder(self, key: bytes) -> ClaimHolder | None:
        """Who holds a key."""
        return self._holdings.get(key)

    def fold(self, payload: bytes) -> bytes:
        """Take the next record; returns the identity of its batch, empty for a foreign record."""
        try:
            body = msgpack.unpackb(payload)
            batch, claims, releases = body["batch"], body["claims"], body["releases"]
            for key, claim, host in claims:
                self._claim(key, ClaimHolder(claim, host))
            for key, claim in releases:
                self._release(key, claim)
            return bytes(batch)
        except (ValueError, KeyError, TypeError, msgpack.exceptions.UnpackException):
            return b""

    def _claim(self, key: bytes, holding: ClaimHolder) -> None:
        if holding.claim in self._released or key in self._holdings:
            return
        self._holdings[key] = holding
        if len(self._holdings) > _KEYS_KEPT:
            del self._holdings[next(iter(self._holdings))]

    def _release(self, key: bytes, claim: bytes) -> None:
        """Free a key; a claim released before it arrives is void for ever."""
        self._released[claim] = None
        if len(self._released) > _KEYS_KEPT:
            del self._released[next(iter(self._released))]
        holding = self._holdings.get(key)
        if holding is not None and holding.claim == claim:
            del self._holdings[key]


@define(eq=False)
class _Pending:
    """A claim or a release that waits for its batch."""

    request: ClaimRequest | ReleaseRequest
    done: anyio.Event = field(factory=anyio.Event)
    failure: str = ""


class ClaimCoordinator:
    """Appends the claims of one stream in batches and tells their outcomes."""

    def __init__(self, stream: str, *, log: LogService, timers: TimerService) -> None:
        self._stream = stream
        self._log = log
        self._timers = timers
        self._book = ClaimTable()
        self._next = 0
        self._is_current = False
        self._pending: list[_Pending] = []
        self._working = anyio.Lock()
        self._appends = 0
        self._claims = 0

    @property
    def appends(self) -> int:
        """Records appended so far."""
        return self._appends

    @property
    def claims(self) -> int:
        """Claims taken so far."""
        return self._claims

    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key; returns when the log has decided or does not answer."""
        self._claims += 1
        holder = self._book.holder(request.key) if self._is_current else None
        if holder is None:
            pending = _Pending(request)
            await self._submit(pending)
            if pending.failure:
                return ClaimAnswer(granted=False, holder=b"", host="", reason=pending.failure)
            holder = self._book.holder(request.key)
        if holder is None:
            return ClaimAnswer(False, b"", "", "the claim was released before it was made")
        return ClaimAnswer(holder.claim == request.claim, holder.claim, holder.host, "")

    async def release(self, request: ReleaseRequest) -> None:
        """Free a key whose call has not run; best effort."""
        await self._submit(_Pending(request))

    async def _submit(self, pending: _Pending) -> None:
        self._pending.append(pending)
        async with self._working:
            if not pending.done.is_set():
                await self._write_batch()

    async def _write_batch(self) -> None:
        batch, self._pending = self._pending[:_BATCH], self._pending[_BATCH:]
        failure = "this daemon gave up while it asked the log"
        try:
            failure = await self._decide(batch)
        finally:
            for pending in batch:
                pending.failure = failure
                pending.done.set()

    async def _decide(self, batch: list[_Pending]) -> str:
        """Write a batch and fold the stream up to it; returns why that failed, or nothing."""
        if not self._is_current:
            failure = await self._read_up_to(None)
            if failure:
                return failure
        identity = secrets.token_bytes(_BATCH_ID_BYTES)
        payload = _pack(identity, [pending.request for pending in batch])
        self._appends += 1
        match await self._log.append(self._stream, payload):
            case Appended(offset) if offset == self._next:
                self._book.fold(payload)
                self._next = offset + 1
                return ""
            case Appended(offset):
                return await self._read_up_to(offset)
            case NotAppended(reason):
                return reason
            case AppendUnknown(reason):
                self._is_current = False
        return await self._look_for(identity, reason)

    async def _read_up_to(self, offset: int | None) -> str:
        """Fold records up to and including `offset`, or up to the head for `None`."""
        end = -1 if offset is None else offset + 1
        if end < 0:
            bounds = await self._log.bounds(self._stream)
            if isinstance(bounds, Unavailable):
                return bounds.reason
            end = bounds.head
        self._is_current = False
        while self._next < end:
            match await self._read():
                case Slice(records, _) if records:
                    continue
                case Slice():
                    return "the log lost records that it had confirmed"
                case Unavailable(reason):
                    return reason
        self._is_current = True
        return ""

    async def _read(self) -> Slice | Unavailable:
        """Fold the next records."""
        while True:
            match await self._log.read(self._stream, start=self._next, limit=_READ_LIMIT, wait=0.0):
                case Slice(records, bounds) as found:
                    for record in records:
                        self._book.fold(record.payload)
                        self._next = record.offset + 1
                    return found
                case Expired(bounds):
                    self._next = bounds.first
                case Unavailable() as failure:
                    return failure

    async def _look_for(self, identity: bytes, reason: str) -> str:
        """Find out whether a batch whose append got no answer is in the log."""
        for _ in range(_LOOKS):
            await self._timers.sleep(_LOOK_EVERY)
            found = await self._log.read(
                self._stream, start=self._next, limit=_READ_LIMIT, wait=0.0
            )
            if not isinstance(found, Slice):
                continue
            seen = False
            for record in found.records:
                seen = self._book.fold(record.payload) == identity or seen
                self._next = record.offset + 1
            if seen:
                self._is_current = True
                return ""
        return f"nobody can tell whether the claim is in the log: {reason}"


def _pack(identity: bytes, requests: list[ClaimRequest | ReleaseRequest]) -> bytes:
    claims: list[Any] = []
    releases: list[Any] = []
    for request in requests:
        match request:
            case ClaimRequest(key, claim, host):
                claims.append([key, claim, host])
            case ReleaseRequest(key, claim):
                releases.append([key, claim])
    packed: bytes = msgpack.packb({"batch": identity, "claims": claims, "releases": releases})
    return packed
