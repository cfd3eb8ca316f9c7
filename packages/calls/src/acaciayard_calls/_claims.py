"""Claims of idempotency keys, which ensure that at most one call runs per key.

The order of a log stream decides: the first claim of a key in the stream is valid until it is
released.  For each stream, one daemon acts as coordinator and appends claims in batches.  If two
daemons take themselves for the coordinator, the order of their records in the log decides.
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

#: Maximum number of claims and releases in one record.
_MAX_BATCH: Final = 512
#: Maximum number of records per read.
_READ_LIMIT: Final = 512
#: Maximum number of keys that one coordinator remembers.
_MAX_KEYS: Final = 200_000
#: Reads to find out whether an append with unknown outcome succeeded, and seconds between them.
_MAX_LOOKUPS: Final = 4
_LOOKUP_INTERVAL_S: Final = 0.1
_BATCH_ID_BYTES: Final = 8


@frozen
class ClaimHolder:
    """The valid claim of a key."""

    #: Identity of the claim.
    claim: bytes
    #: Host that made the claim.
    host: str


class ClaimTable:
    """The state of all claims of one log stream, built by applying its records in order."""

    def __init__(self) -> None:
        self._holders: dict[bytes, ClaimHolder] = {}
        self._released: dict[bytes, None] = {}

    def __len__(self) -> int:
        return len(self._holders)

    def holder(self, key: bytes) -> ClaimHolder | None:
        """The valid claim of a key, `None` if there is none."""
        return self._holders.get(key)

    def apply(self, payload: bytes) -> bytes:
        """Apply the next record; returns its batch identity, empty if it cannot be decoded."""
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

    def _claim(self, key: bytes, holder: ClaimHolder) -> None:
        if holder.claim in self._released or key in self._holders:
            return
        self._holders[key] = holder
        if len(self._holders) > _MAX_KEYS:
            del self._holders[next(iter(self._holders))]

    def _release(self, key: bytes, claim: bytes) -> None:
        """Release a key; a claim that is released before it appears in the log never holds."""
        self._released[claim] = None
        if len(self._released) > _MAX_KEYS:
            del self._released[next(iter(self._released))]
        holder = self._holders.get(key)
        if holder is not None and holder.claim == claim:
            del self._holders[key]


@define(eq=False)
class _Pending:
    """A claim or release that waits to be appended in a batch."""

    request: ClaimRequest | ReleaseRequest
    done: anyio.Event = field(factory=anyio.Event)
    failure: str = ""


class ClaimCoordinator:
    """Appends the claims of one log stream in batches and returns their outcomes."""

    def __init__(self, stream: str, *, log: LogService, timers: TimerService) -> None:
        self._stream = stream
        self._log = log
        self._timers = timers
        self._table = ClaimTable()
        self._next = 0
        self._is_current = False
        self._pending: list[_Pending] = []
        self._write_lock = anyio.Lock()
        self._appends = 0
        self._claims = 0

    @property
    def appends(self) -> int:
        """Number of append requests sent so far."""
        return self._appends

    @property
    def claims(self) -> int:
        """Number of claims received so far."""
        return self._claims

    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key; returns once the log has decided or the append has failed."""
        self._claims += 1
        holder = self._table.holder(request.key) if self._is_current else None
        if holder is None:
            pending = _Pending(request)
            await self._submit(pending)
            if pending.failure:
                return ClaimAnswer(granted=False, holder=b"", host="", reason=pending.failure)
            holder = self._table.holder(request.key)
        if holder is None:
            return ClaimAnswer(False, b"", "", "the claim was released before it was made")
        return ClaimAnswer(holder.claim == request.claim, holder.claim, holder.host, "")

    async def release(self, request: ReleaseRequest) -> None:
        """Release a key whose call did not run; best effort."""
        await self._submit(_Pending(request))

    async def _submit(self, pending: _Pending) -> None:
        self._pending.append(pending)
        async with self._write_lock:
            if not pending.done.is_set():
                await self._write_batch()

    async def _write_batch(self) -> None:
        batch, self._pending = self._pending[:_MAX_BATCH], self._pending[_MAX_BATCH:]
        failure = "this daemon gave up while it asked the log"
        try:
            failure = await self._append_batch(batch)
        finally:
            for pending in batch:
                pending.failure = failure
                pending.done.set()

    async def _append_batch(self, batch: list[_Pending]) -> str:
        """Append a batch and apply the stream up to it; returns why that failed, empty on success.

        If another daemon appended records meanwhile, those are read and applied first.
        """
        if not self._is_current:
            failure = await self._read_up_to(None)
            if failure:
                return failure
        identity = secrets.token_bytes(_BATCH_ID_BYTES)
        payload = _pack(identity, [pending.request for pending in batch])
        self._appends += 1
        match await self._log.append(self._stream, payload):
            case Appended(offset) if offset == self._next:
                self._table.apply(payload)
                self._next = offset + 1
                return ""
            case Appended(offset):
                return await self._read_up_to(offset)
            case NotAppended(reason):
                return reason
            case AppendUnknown(reason):
                self._is_current = False
        return await self._find_batch(identity, reason)

    async def _read_up_to(self, offset: int | None) -> str:
        """Apply records up to and including `offset`, or up to the head of the log for `None`."""
        end = -1 if offset is None else offset + 1
        if end < 0:
            bounds = await self._log.bounds(self._stream)
            if isinstance(bounds, Unavailable):
                return bounds.reason
            end = bounds.head
        self._is_current = False
        while self._next < end:
            match await self._read_next():
                case Slice(records, _) if records:
                    continue
                case Slice():
                    return "the log lost records that it had confirmed"
                case Unavailable(reason):
                    return reason
        self._is_current = True
        return ""

    async def _read_next(self) -> Slice | Unavailable:
        """Read and apply the next records, skipping expired ones."""
        while True:
            match await self._log.read(self._stream, start=self._next, limit=_READ_LIMIT, wait=0.0):
                case Slice(records, bounds) as found:
                    for record in records:
                        self._table.apply(record.payload)
                        self._next = record.offset + 1
                    return found
                case Expired(bounds):
                    self._next = bounds.first
                case Unavailable() as failure:
                    return failure

    async def _find_batch(self, identity: bytes, reason: str) -> str:
        """Find out whether a batch whose append was not acknowledged is in the log."""
        for _ in range(_MAX_LOOKUPS):
            await self._timers.sleep(_LOOKUP_INTERVAL_S)
            found = await self._log.read(
                self._stream, start=self._next, limit=_READ_LIMIT, wait=0.0
            )
            if not isinstance(found, Slice):
                continue
            seen = False
            for record in found.records:
                seen = self._table.apply(record.payload) == identity or seen
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
