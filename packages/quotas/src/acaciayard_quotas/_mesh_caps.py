"""Enforces workspace caps on one daemon, with tokens that seat owners grant."""

from __future__ import annotations

import itertools
import math
import random
import zlib
from collections import Counter
from collections.abc import Callable
from typing import Final

import anyio
from attrs import define, field, frozen

from acaciayard_callmodel import UNCOUNTED, CountedCall, NotRun, UsageCaps
from acaciayard_resources import Configuration, Workspace
from acaciayard_timers import TimerService

from ._granting import SeatBuckets, SeatOwnershipChange, SeatStatus
from ._holdings import HeldTokens, TokenBatch
from ._limits import CapRules, limit_of
from ._messages import TokenRequest, TokenResponse, TokenReturn
from ._seats import HANDOVER_DELAY, Seats

__all__ = ["MeshCaps"]

#: Seconds to wait for the response of a seat owner; a round trip takes a few milliseconds.
_RESPONSE_TIMEOUT: Final = 0.05
#: Rounds of requests for one call; a seat whose response is missing is asked again, as datagrams
#: may be lost.
_MAX_ROUNDS: Final = 2
#: Seconds for which a seat without an owner, or with one that doesn't respond, is not asked again.
_UNREACHABLE_BACKOFF: Final = 0.25
#: Retry delay, in seconds, of a caller that is refused because no seat was reachable.
_UNREACHED_RETRY_AFTER: Final = 0.3
#: Shortest retry delay, in seconds, and the range of its random jitter factor.
_MIN_RETRY_AFTER: Final = 0.05
_RETRY_JITTER: Final = (0.8, 1.3)
#: Share of the TTL after which unspent tokens are returned to their seat, and the seconds between
#: checks.
_IDLE_TTL_SHARE: Final = 0.6
_IDLE_CHECK_INTERVAL: Final = 0.1
#: Seconds without a message from any other daemon after which this one serves its own share of each
#: cap. By then no other side of the partition counts it as one of its daemons.
_FALLBACK_AFTER: Final = HANDOVER_DELAY + 1.0
#: Most workspaces whose refusals are counted by name; those of further ones are counted together.
_MAX_NAMED_WORKSPACES: Final = 200
_OTHERS: Final = "(others)"


@frozen
class _TokenCall(CountedCall):
    """A call that was counted with a token."""

    workspace: str
    batch: TokenBatch


@define(eq=False)
class _PendingRequest:
    """A token request that awaits its response."""

    request: TokenRequest
    sent_at: float
    responded: anyio.Event = field(factory=anyio.Event)
    response: TokenResponse | None = None


@define(eq=False)
class _WorkspaceState:
    """Client-side state of one workspace's cap."""

    held_tokens: HeldTokens = field(factory=HeldTokens)
    #: Seat that is asked first, modulo the number of seats.
    preferred_seat: int = 0
    #: By seat, until when it is not asked, and when it is expected to have tokens.
    backoff_until: dict[int, float] = field(factory=dict)
    retry_at: dict[int, float] = field(factory=dict)
    #: Tokens wanted by requests that await a response.
    wanted: int = 0
    #: Number of recent calls, each weighted by exponential decay over the token TTL.
    usage: float = 0.0
    used_at: float = 0.0
    #: Calls refused here that were not reported to any seat yet.
    unreported_refusals: int = 0
    #: Tokens of the local fallback bucket that is used while this daemon is isolated.
    fallback_tokens: float = 0.0
    fallback_refilled_at: float = 0.0


class MeshCaps(UsageCaps):
    """Counts calls against tokens that the owners of a workspace's seats grant.

    A call is counted at once if a token is available locally. Otherwise a seat is asked for as many
    tokens as were recently used, and then the next seat if that one has no tokens or does not
    respond.

    Example:
        caps = MeshCaps("oslo-1", seats=seats, rules=rules, timers=timers, seed=seed, send=send)
        caps.use(configuration)
        counted = await caps.take("north")
    """

    def __init__(
        self,
        own: str,
        *,
        seats: Seats,
        rules: CapRules,
        timers: TimerService,
        seed: random.Random,
        send: Callable[[str, object], None],
        tell: Callable[[SeatOwnershipChange], None] = lambda _: None,
    ) -> None:
        self._own = own
        self._seats = seats
        self._rules = rules
        self._timers = timers
        self._seed = seed
        self._send = send
        self._seat_buckets = SeatBuckets(own, seats=seats, rules=rules, timers=timers, tell=tell)
        self._caps: dict[str, Workspace] = {}
        self._states: dict[str, _WorkspaceState] = {}
        self._pending: dict[int, _PendingRequest] = {}
        # A random start keeps late responses to an earlier process of this daemon from matching.
        self._numbers = itertools.count(seed.randrange(1 << 48))
        self._refused: Counter[str] = Counter()
        self._unreached = 0
        self._has_tokens = anyio.Event()

    @property
    def has_any(self) -> bool:
        return bool(self._caps)

    @property
    def refused(self) -> Counter[str]:
        """Calls refused by this daemon by workspace, for a bounded number of names."""
        return self._refused

    @property
    def unreached(self) -> int:
        """Calls refused by this daemon because no seat was reachable."""
        return self._unreached

    def held(self, workspace: str) -> int:
        """Unexpired tokens of a workspace that this daemon holds."""
        state = self._states.get(workspace)
        return state.held_tokens.count(self._timers.now()) if state is not None else 0

    def local_seats(self, workspace: str) -> tuple[SeatStatus, ...]:
        """Snapshots of the seats of a workspace that this daemon owns."""
        return self._seat_buckets.reports(workspace)

    def use(self, configuration: Configuration) -> None:
        """Apply the caps of a new configuration."""
        self._caps = {each.name: each for each in configuration.all_of(Workspace) if each.has_cap}
        self._states = {name: s for name, s in self._states.items() if name in self._caps}
        self._seat_buckets.use(self._caps)

    # --- counting calls ---------------------------------------------------------------------------

    async def take(self, workspace: str) -> CountedCall | NotRun:
        cap = self._caps.get(workspace)
        if cap is None:
            return UNCOUNTED
        state = self._state_of(cap)
        self._record_use(state, cap)
        batch = state.held_tokens.take(self._timers.now())
        if batch is None:
            batch = await self._request_tokens(state, cap)
        if batch is not None:
            return _TokenCall(workspace, batch)
        return self._refuse(state, cap)

    def give_back(self, counted: CountedCall) -> None:
        if isinstance(counted, _TokenCall):
            state = self._states.get(counted.workspace)
            if state is not None:
                state.held_tokens.give_back(counted.batch, self._timers.now())

    def _state_of(self, cap: Workspace) -> _WorkspaceState:
        state = self._states.get(cap.name)
        if state is None:
            preferred_seat = zlib.crc32(f"{self._own}\0{cap.name}".encode())
            state = self._states[cap.name] = _WorkspaceState(preferred_seat=preferred_seat)
        return state

    def _record_use(self, state: _WorkspaceState, cap: Workspace) -> None:
        now = self._timers.now()
        ttl = limit_of(cap, self._rules).ttl
        state.usage = 1 + state.usage * math.exp((state.used_at - now) / ttl)
        state.used_at = now

    def _refuse(self, state: _WorkspaceState, cap: Workspace) -> NotRun:
        name = cap.name if cap.name in self._refused or self._can_name_more() else _OTHERS
        self._refused[name] += 1
        state.unreported_refusals += 1
        now = self._timers.now()
        seats = limit_of(cap, self._rules).seats
        known = [state.retry_at[seat] for seat in range(seats) if seat in state.retry_at]
        if not known:
            self._unreached += 1
            reason = f"who counts the calls of workspace {cap.name!r} is out of reach"
            return NotRun(reason, _UNREACHED_RETRY_AFTER * self._seed.uniform(*_RETRY_JITTER))
        retry_after = max(_MIN_RETRY_AFTER, min(known) - now) * self._seed.uniform(*_RETRY_JITTER)
        reason = (
            f"workspace {cap.name!r} is over its cap of {cap.calls_per_second:g} calls a second"
        )
        return NotRun(reason, retry_after)

    def _can_name_more(self) -> bool:
        return len(self._refused) < _MAX_NAMED_WORKSPACES

    # --- requesting tokens ------------------------------------------------------------------------

    async def _request_tokens(self, state: _WorkspaceState, cap: Workspace) -> TokenBatch | None:
        count = limit_of(cap, self._rules).seats
        candidates = [(state.preferred_seat + step) % count for step in range(count)]
        for _ in range(_MAX_ROUNDS):
            candidates = [each for each in candidates if self._may_ask(state, each)]
            for seat in tuple(candidates):
                has_responded = await self._request_from(state, cap.name, seat)
                batch = state.held_tokens.take(self._timers.now())
                if batch is not None:
                    state.preferred_seat = seat
                    return batch
                if has_responded:
                    candidates.remove(seat)
            if not candidates:
                break
        for seat in candidates:
            self._back_off(state, seat)
        return self._take_fallback(state, cap)

    def _may_ask(self, state: _WorkspaceState, seat: int) -> bool:
        return state.backoff_until.get(seat, 0.0) <= self._timers.now()

    async def _request_from(self, state: _WorkspaceState, workspace: str, seat: int) -> bool:
        """Request tokens from a seat and keep those granted.

        Returns `False` if the response is missing, so that asking again may help.
        """
        owner = self._seats.owner_of(workspace, seat)
        if owner is None or self._seats.is_isolated:
            self._back_off(state, seat)
            return True
        wanted = max(1, math.floor(state.usage) - state.wanted)
        request = TokenRequest(
            self._own, next(self._numbers), workspace, seat, wanted, state.unreported_refusals
        )
        state.unreported_refusals = 0
        pending = _PendingRequest(request, self._timers.now())
        if owner == self._own:
            self._apply_response(state, pending, self._seat_buckets.handle_request(request))
            return True
        self._pending[request.number] = pending
        state.wanted += wanted
        try:
            self._send(owner, request)
            with self._timers.timeout(_RESPONSE_TIMEOUT):
                await pending.responded.wait()
        finally:
            state.wanted -= wanted
            self._pending.pop(request.number, None)
        if pending.response is None:
            return False
        self._apply_response(state, pending, pending.response)
        return True

    def _back_off(self, state: _WorkspaceState, seat: int) -> None:
        """Stop asking a seat for a while, as nobody grants its tokens at present."""
        state.backoff_until[seat] = self._timers.now() + _UNREACHABLE_BACKOFF
        state.retry_at.pop(seat, None)

    def _apply_response(
        self, state: _WorkspaceState, pending: _PendingRequest, response: TokenResponse
    ) -> None:
        now = self._timers.now()
        request = pending.request
        if not response.is_owner:
            self._back_off(state, request.seat)
            return
        state.retry_at[request.seat] = now + response.retry_after
        if response.granted:
            expires_at = pending.sent_at + response.ttl
            batch = TokenBatch(
                response.host,
                request.number,
                request.seat,
                response.granted,
                pending.sent_at,
                expires_at,
            )
            state.held_tokens.add(batch)
            self._has_tokens.set()
        else:
            state.backoff_until[request.seat] = now + response.backoff

    def _take_fallback(self, state: _WorkspaceState, cap: Workspace) -> TokenBatch | None:
        """Take a token from the local fallback bucket.

        The bucket serves this daemon's share of the cap once it has been isolated for long enough.
        """
        fallback_for = self._seats.isolated_for - _FALLBACK_AFTER
        if fallback_for <= 0:
            return None
        now = self._timers.now()
        rate = cap.calls_per_second / self._seats.count
        refilled_at = max(state.fallback_refilled_at, now - fallback_for)
        state.fallback_tokens = min(
            max(1.0, rate), state.fallback_tokens + rate * (now - refilled_at)
        )
        state.fallback_refilled_at = now
        if state.fallback_tokens < 1:
            return None
        state.fallback_tokens -= 1
        return TokenBatch(self._own, 0, 0, 0, now, now)

    # --- messages from other daemons --------------------------------------------------------------

    def handle_request(self, request: TokenRequest) -> None:
        """Answer the token request of another daemon."""
        self._send(request.host, self._seat_buckets.handle_request(request))

    def handle_response(self, response: TokenResponse) -> None:
        """Complete the request that awaits the response; ignore late and duplicate responses."""
        pending = self._pending.get(response.number)
        if pending is not None and pending.response is None:
            pending.response = response
            pending.responded.set()

    def handle_return(self, message: TokenReturn) -> None:
        """Take back unspent tokens from another daemon."""
        self._seat_buckets.handle_return(message)

    async def run(self) -> None:
        """Return unused tokens until cancelled; no timer runs while none are held."""
        while True:
            await self._has_tokens.wait()
            await self._timers.sleep(_IDLE_CHECK_INTERVAL)
            if not self.return_idle():
                self._has_tokens = anyio.Event()

    def return_idle(self) -> bool:
        """Return tokens that were unused for most of their TTL.

        Returns whether any batches are left.
        """
        now = self._timers.now()
        for name, state in self._states.items():
            for batch in state.held_tokens.pop_idle(now, age=_IDLE_TTL_SHARE):
                message = TokenReturn(self._own, batch.number, name, batch.seat, batch.count)
                batch.count = 0
                if batch.owner == self._own:
                    self._seat_buckets.handle_return(message)
                else:
                    self._send(batch.owner, message)
        return any(state.held_tokens.has_any for state in self._states.values())
