"""Claims keys for calls that this daemon makes, wherever the home of the key is."""

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

__all__ = ["AlreadyClaimed", "AnswerStore", "Claimed", "Claimer", "kept_of"]

_Reply = TypeVar("_Reply", ClaimAnswer, OutcomeAnswer)

#: Streams of the log over which keys are spread.
SHARDS: Final = 16
#: Daemons that are asked in turn about a key.
_HOMES: Final = 3
#: Seconds for a claim.
_CLAIM_WITHIN: Final = 2.0
#: Seconds for the release of a claim.
_RELEASE_WITHIN: Final = 5.0
#: Bytes of answers that are kept for repeated calls.
_STORE_BYTES: Final = 4 * 1024 * 1024
_ENTRY_OVERHEAD: Final = 500
#: Largest answer that is kept for callers that repeat a call with a key.
_LARGEST_KEPT: Final = 256 * 1024
_KEY_BYTES: Final = 16
_RETRY_AFTER: Final = 1.0
_FREED_SOON: Final = NotRun("the call with this key has not run, its key is free soon", 1.0)


@frozen
class Claimed:
    """The key is held for one call of this daemon."""

    #: Digest of the key with its scope.
    key: bytes
    #: Identity of the claim.
    claim: bytes


@frozen
class AlreadyClaimed:
    """Another call has the key."""

    #: Identity of its claim.
    claim: bytes
    #: Host whose daemon made the call.
    host: str


@define(eq=False)
class _Entry:
    done: anyio.Event = field(factory=anyio.Event)
    answer: Answer | NotRun | None = None


class AnswerStore:
    """Answers to calls with keys, kept in memory for callers that repeat them."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        self._bytes = 0

    def begin(self, claim: bytes) -> None:
        """A call is about to be made."""
        self._entries[claim] = _Entry()

    def finish(self, claim: bytes, answer: Answer | NotRun | None) -> None:
        """The call has ended; `None` when nobody can tell how."""
        entry = self._entries.get(claim)
        if entry is None:
            return
        entry.answer = answer
        self._bytes += _size_of(entry)
        entry.done.set()
        while self._bytes > _STORE_BYTES and self._entries:
            _, dropped = self._entries.popitem(last=False)
            self._bytes -= _size_of(dropped)

    async def find(self, claim: bytes, *, within: float) -> Answer | NotRun | None:
        """How a call ended, waiting for its end; `None` when that is not kept."""
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
    """The claims of one daemon: those it makes and those it is the home of."""

    def __init__(
        self, *, table: MemberTable, log: LogService, port: ControlPort, timers: TimerService
    ) -> None:
        self._table = table
        self._log = log
        self._port = port
        self._timers = timers
        self._homes: dict[int, ClaimCoordinator] = {}
        self._store = AnswerStore(timers)
        self._pool = StreamPool(self._open, timers=timers)
        self._tasks: anyio.abc.TaskGroup | None = None
        port.on_stream(ClaimRequest, Purpose.CLAIMS, self._serve)
        port.on_stream(ReleaseRequest, Purpose.CLAIMS, self._serve)
        port.on_stream(OutcomeRequest, Purpose.CLAIMS, self._serve)

    @property
    def store(self) -> AnswerStore:
        """Answers kept for callers that repeat a call."""
        return self._store

    @property
    def appends(self) -> int:
        """Records that this daemon appended as a home."""
        return sum(home.appends for home in self._homes.values())

    @property
    def claims(self) -> int:
        """Claims that this daemon took as a home."""
        return sum(home.claims for home in self._homes.values())

    async def run(self) -> None:
        """Keep the streams to homes in order and release claims, for ever."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._pool.run()

    # --- for calls of this daemon -------------------------------------------------------------

    async def claim(self, scope: str, key: bytes) -> Claimed | AlreadyClaimed | NotRun:
        """Claim a caller's key for one call."""
        digest = hashlib.blake2b(key, digest_size=_KEY_BYTES, person=_person(scope)).digest()
        claim = secrets.token_bytes(_KEY_BYTES)
        request = ClaimRequest(digest, claim, self._table.own.host)
        self._store.begin(claim)
        answer = await self._ask_home(request)
        if answer.granted:
            return Claimed(digest, claim)
        self._store.finish(claim, None)
        if answer.holder:
            return AlreadyClaimed(answer.holder, answer.host)
        return NotRun(f"the key cannot be claimed: {answer.reason}", _RETRY_AFTER)

    async def _ask_home(self, request: ClaimRequest) -> ClaimAnswer:
        """Ask the home of a key, or the next one where that is gone.

        Which home is asked decides nothing; the order of the log does.
        """
        with self._timers.timeout(_CLAIM_WITHIN):
            for home in self._homes_of(request.key):
                if home.host == self._table.own.host:
                    return await self._own_home(request.key).claim(request)
                answer = await self._ask(home, request, ClaimAnswer)
                if answer is not None:
                    return answer
            return ClaimAnswer(False, b"", "", "no home of the key answers")
        return ClaimAnswer(False, b"", "", f"no answer within {_CLAIM_WITHIN:g} s")

    def finish(self, claimed: Claimed, answer: Answer | NotRun | None) -> None:
        """The call has ended; a key whose call has certainly not run is freed, best effort.

        The caller has its answer at once, before the key is free; who repeats the call meanwhile
        is told `NotRun` again.
        """
        self._store.finish(claimed.claim, answer)
        if isinstance(answer, NotRun) and self._tasks is not None:
            self._tasks.start_soon(self._release, claimed)

    async def _release(self, claimed: Claimed) -> None:
        request = ReleaseRequest(claimed.key, claimed.claim)
        with self._timers.timeout(_RELEASE_WITHIN):
            home = self._homes_of(claimed.key)[0]
            if home.host == self._table.own.host:
                await self._own_home(claimed.key).release(request)
            else:
                await self._ask(home, request, ClaimAnswer)

    async def earlier_answer(
        self, taken: AlreadyClaimed, *, within: float
    ) -> Answer | NotRun | None:
        """How the call that holds a key ended, `None` when nobody can tell."""
        if taken.host == self._table.own.host:
            return await self._store.find(taken.claim, within=within)
        member = self._table.find(taken.host)
        if member is None or not member.is_present:
            return None
        reply: OutcomeAnswer | None = None
        with self._timers.timeout(within):
            request = OutcomeRequest(taken.claim, within)
            reply = await self._ask(member, request, OutcomeAnswer)
        if reply is None or not (reply.is_known or reply.is_not_run):
            return None
        if reply.is_not_run:
            return _FREED_SOON
        return Answer(reply.status, reply.fields, reply.body, True, len(reply.body))

    async def _ask(self, member: Member, request: object, expected: type[_Reply]) -> _Reply | None:
        """Ask another daemon; `None` when it does not answer."""
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

    # --- as a home ----------------------------------------------------------------------------

    def _homes_of(self, key: bytes) -> tuple[Member, ...]:
        """The home of a key, and those that stand in for it."""
        return rendezvous(f"claims:{_shard_of(key)}", self._table.present(), _HOMES)

    def _own_home(self, key: bytes) -> ClaimCoordinator:
        shard = _shard_of(key)
        home = self._homes.get(shard)
        if home is None:
            home = ClaimCoordinator(f"claims-{shard}", log=self._log, timers=self._timers)
            self._homes[shard] = home
        return home

    async def _serve(self, first: object, stream: MessageStream) -> None:
        request = first
        while True:
            await stream.send(await self._reply(request))
            request = await stream.receive()

    async def _reply(self, request: object) -> ClaimAnswer | OutcomeAnswer:
        match request:
            case ClaimRequest(key):
                return await self._own_home(key).claim(request)
            case ReleaseRequest(key, claim):
                await self._own_home(key).release(request)
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


def kept_of(outcome: Answered | NotRun | OutcomeUnknown) -> Answer | NotRun | None:
    """What is kept for callers that repeat a call, `None` when nobody can tell how it ended."""
    match outcome:
        case Answered(answer) if answer.is_whole and len(answer.body) <= _LARGEST_KEPT:
            return answer
        case NotRun():
            return outcome
        case _:
            return None
