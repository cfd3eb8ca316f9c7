"""Claims idempotency keys for calls of this daemon, and coordinates claims of other daemons."""

from __future__ import annotations

import hashlib
import secrets
from collections import OrderedDict
from typing import Final, TypeVar

import anyio
import anyio.abc
from attrs import define, field, frozen

from acaciayard_callmodel import Answer, NotRun, OutcomeUnknown
from acaciayard_handover import (
    ClaimAnswer,
    ClaimRequest,
    OutcomeAnswer,
    OutcomeRequest,
    ReleaseRequest,
    StreamPool,
)
from acaciayard_logservice import LogService
from acaciayard_membership import Member, MemberTable, rendezvous
from acaciayard_timers import TimerService
from acaciayard_wire import (
    Address,
    ControlPort,
    MessageError,
    MessageStream,
    Purpose,
    StreamLostError,
)

from ._attempt import Answered
from ._claims import ClaimCoordinator

__all__ = ["AlreadyClaimed", "AnswerStore", "Claimed", "Claimer", "stored_outcome_of"]

_Reply = TypeVar("_Reply", ClaimAnswer, OutcomeAnswer)

#: Number of log streams over which keys are sharded.
SHARDS: Final = 16
#: Maximum number of daemons to which a claim is sent, one after another.
_MAX_COORDINATORS: Final = 3
#: Timeout of a claim in seconds.
_CLAIM_TIMEOUT_S: Final = 2.0
#: Timeout of a release in seconds.
_RELEASE_TIMEOUT_S: Final = 5.0
#: Maximum size in bytes of the responses that are stored for repeated calls.
_MAX_STORE_BYTES: Final = 4 * 1024 * 1024
_ENTRY_OVERHEAD: Final = 500
#: Size in bytes of the largest response body that is stored for repeated calls with a key.
_MAX_STORED_BODY: Final = 256 * 1024
_KEY_BYTES: Final = 16
_RETRY_AFTER_S: Final = 1.0
_RELEASE_PENDING: Final = NotRun("the call with this key has not run, its key is free soon", 1.0)


@frozen
class Claimed:
    """A key was claimed for a call of this daemon."""

    #: Digest of the key with its scope.
    key: bytes
    #: Identity of the claim.
    claim: bytes


@frozen
class AlreadyClaimed:
    """Another call has already claimed the key."""

    #: Identity of the other call's claim.
    claim: bytes
    #: Host whose daemon made the other call.
    host: str


@define(eq=False)
class _Entry:
    done: anyio.Event = field(factory=anyio.Event)
    answer: Answer | NotRun | None = None


class AnswerStore:
    """Outcomes of calls with keys, kept in memory for callers that repeat them."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        self._bytes = 0

    def begin(self, claim: bytes) -> None:
        """Create the entry of a call that is about to run."""
        self._entries[claim] = _Entry()

    def finish(self, claim: bytes, answer: Answer | NotRun | None) -> None:
        """Store the outcome of a call, `None` if it is unknown; evicts the oldest entries."""
        entry = self._entries.get(claim)
        if entry is None:
            return
        entry.answer = answer
        self._bytes += _size_of(entry)
        entry.done.set()
        while self._bytes > _MAX_STORE_BYTES and self._entries:
            _, dropped = self._entries.popitem(last=False)
            self._bytes -= _size_of(dropped)

    async def find(self, claim: bytes, *, within: float) -> Answer | NotRun | None:
        """Wait up to `within` seconds for the outcome of a call; `None` if it is not stored."""
        entry = self._entries.get(claim)
        if entry is None:
            return None
        with self._timers.timeout(within):
            await entry.done.wait()
        return entry.answer


def _size_of(entry: _Entry) -> int:
    if not entry.done.is_set() and entry.answer is None:
        return 0
    return _ENTRY_OVERHEAD + (len(entry.answer.body) if isinstance(entry.answer, Answer) else 0)


class Claimer:
    """Claims keys for calls of this daemon, and serves as coordinator for some of the streams."""

    def __init__(
        self, *, table: MemberTable, log: LogService, port: ControlPort, timers: TimerService
    ) -> None:
        self._table = table
        self._log = log
        self._port = port
        self._timers = timers
        self._coordinators: dict[int, ClaimCoordinator] = {}
        self._store = AnswerStore(timers)
        self._pool = StreamPool(self._open, timers=timers)
        self._tasks: anyio.abc.TaskGroup | None = None
        port.on_stream(ClaimRequest, Purpose.CLAIMS, self._serve)
        port.on_stream(ReleaseRequest, Purpose.CLAIMS, self._serve)
        port.on_stream(OutcomeRequest, Purpose.CLAIMS, self._serve)

    @property
    def store(self) -> AnswerStore:
        """Outcomes that are stored for callers that repeat a call."""
        return self._store

    @property
    def appends(self) -> int:
        """Number of append requests that this daemon sent as a coordinator."""
        return sum(coordinator.appends for coordinator in self._coordinators.values())

    @property
    def claims(self) -> int:
        """Number of claims that this daemon received as a coordinator."""
        return sum(coordinator.claims for coordinator in self._coordinators.values())

    async def run(self) -> None:
        """Maintain the streams to coordinators and release claims; never returns."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._pool.run()

    # --- for calls of this daemon -------------------------------------------------------------

    async def claim(self, scope: str, key: bytes) -> Claimed | AlreadyClaimed | NotRun:
        """Claim a caller's key within `scope` for one call."""
        digest = hashlib.blake2b(key, digest_size=_KEY_BYTES, person=_person(scope)).digest()
        claim = secrets.token_bytes(_KEY_BYTES)
        request = ClaimRequest(digest, claim, self._table.own.host)
        self._store.begin(claim)
        answer = await self._ask_coordinator(request)
        if answer.granted:
            return Claimed(digest, claim)
        self._store.finish(claim, None)
        if answer.holder:
            return AlreadyClaimed(answer.holder, answer.host)
        return NotRun(f"the key cannot be claimed: {answer.reason}", _RETRY_AFTER_S)

    async def _ask_coordinator(self, request: ClaimRequest) -> ClaimAnswer:
        """Send a claim to the coordinator of its key, or to the next one if that does not answer.

        The result does not depend on which of them is asked, since the order of the log decides.
        """
        with self._timers.timeout(_CLAIM_TIMEOUT_S):
            for coordinator in self._coordinators_of(request.key):
                if coordinator.host == self._table.own.host:
                    return await self._own_coordinator(request.key).claim(request)
                answer = await self._ask(coordinator, request, ClaimAnswer)
                if answer is not None:
                    return answer
            return ClaimAnswer(False, b"", "", "no home of the key answers")
        return ClaimAnswer(False, b"", "", f"no answer within {_CLAIM_TIMEOUT_S:g} s")

    def finish(self, claimed: Claimed, answer: Answer | NotRun | None) -> None:
        """Store the outcome of a call; releases the key, best effort, if the call did not run.

        The caller gets its response before the key is released.  A call that is repeated in the
        meantime is refused with `NotRun` again.
        """
        self._store.finish(claimed.claim, answer)
        if isinstance(answer, NotRun) and self._tasks is not None:
            self._tasks.start_soon(self._release, claimed)

    async def _release(self, claimed: Claimed) -> None:
        request = ReleaseRequest(claimed.key, claimed.claim)
        with self._timers.timeout(_RELEASE_TIMEOUT_S):
            coordinator = self._coordinators_of(claimed.key)[0]
            if coordinator.host == self._table.own.host:
                await self._own_coordinator(claimed.key).release(request)
            else:
                await self._ask(coordinator, request, ClaimAnswer)

    async def earlier_answer(
        self, already_claimed: AlreadyClaimed, *, within: float
    ) -> Answer | NotRun | None:
        """The outcome of the call that claimed a key, `None` if it is unknown."""
        if already_claimed.host == self._table.own.host:
            return await self._store.find(already_claimed.claim, within=within)
        member = self._table.find(already_claimed.host)
        if member is None or not member.is_present:
            return None
        reply: OutcomeAnswer | None = None
        with self._timers.timeout(within):
            request = OutcomeRequest(already_claimed.claim, within)
            reply = await self._ask(member, request, OutcomeAnswer)
        if reply is None or not (reply.is_known or reply.is_not_run):
            return None
        if reply.is_not_run:
            return _RELEASE_PENDING
        return Answer(reply.status, reply.fields, reply.body, True, len(reply.body))

    async def _ask(self, member: Member, request: object, expected: type[_Reply]) -> _Reply | None:
        """Send a request to another daemon; `None` if there is no valid reply."""
        try:
            stream = await self._pool.take(member.control)
        except StreamLostError:
            return None
        answered = False
        try:
            await stream.send(request)
            reply = await stream.receive()
            answered = True
            return reply if isinstance(reply, expected) else None
        except (StreamLostError, MessageError):
            return None
        finally:
            if answered:
                self._pool.give_back(member.control, stream)
            else:
                stream.channel.abort()

    async def _open(self, address: Address) -> MessageStream:
        return await self._port.connect(address, Purpose.CLAIMS)

    # --- as a coordinator ---------------------------------------------------------------------

    def _coordinators_of(self, key: bytes) -> tuple[Member, ...]:
        """The coordinator of a key, followed by its substitutes."""
        return rendezvous(f"claims:{_shard_of(key)}", self._table.present(), _MAX_COORDINATORS)

    def _own_coordinator(self, key: bytes) -> ClaimCoordinator:
        shard = _shard_of(key)
        coordinator = self._coordinators.get(shard)
        if coordinator is None:
            coordinator = ClaimCoordinator(f"claims-{shard}", log=self._log, timers=self._timers)
            self._coordinators[shard] = coordinator
        return coordinator

    async def _serve(self, first: object, stream: MessageStream) -> None:
        request = first
        while True:
            await stream.send(await self._reply(request))
            request = await stream.receive()

    async def _reply(self, request: object) -> ClaimAnswer | OutcomeAnswer:
        match request:
            case ClaimRequest(key):
                return await self._own_coordinator(key).claim(request)
            case ReleaseRequest(key, claim):
                await self._own_coordinator(key).release(request)
                return ClaimAnswer(False, b"", "", "released")
            case OutcomeRequest(claim, within):
                answer = await self._store.find(claim, within=within)
                if isinstance(answer, Answer):
                    return OutcomeAnswer(True, answer.status, answer.fields, answer.body)
                return OutcomeAnswer(False, 0, b"", b"", is_not_run=answer is not None)
            case other:
                raise MessageError(f"unexpected {type(other).__name__} about claims")


def _shard_of(key: bytes) -> int:
    return key[0] % SHARDS


def _person(scope: str) -> bytes:
    return hashlib.blake2b(scope.encode(), digest_size=_KEY_BYTES).digest()


def stored_outcome_of(outcome: Answered | NotRun | OutcomeUnknown) -> Answer | NotRun | None:
    """The outcome that is stored for repeated calls, `None` if it is unknown or too large."""
    match outcome:
        case Answered(answer) if answer.is_whole and len(answer.body) <= _MAX_STORED_BODY:
            return answer
        case NotRun():
            return outcome
        case _:
            return None
