"""The rejected alternative to seats: daemons exchange shares of a cap's rate according to demand.

Each daemon has a share of the rate and a bucket that it refills; the shares sum to one. A daemon
without tokens asks several others, which give half of their tokens and a part of their share away.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import anyio
from attrs import define, frozen

from acaciayard_callmodel import UNCOUNTED, CountedCall, NotRun, UsageCaps
from acaciayard_quotas import CapRules
from acaciayard_resources import Configuration, Workspace
from acaciayard_timers import TimerService

#: Most daemons that one without tokens asks, one after the other.
MAX_ASKED = 3
#: Part of its share that a daemon transfers to one without tokens.
GIVEN_SHARE = 0.25
RESPONSE_TIMEOUT = 0.05


@frozen
class TokenWanted:
    host: str
    number: int
    workspace: str


@frozen
class TokensGiven:
    number: int
    workspace: str
    tokens: float
    share: float


@define
class _State:
    share: float
    tokens: float
    refilled_at: float


class SharingCaps(UsageCaps):
    """Counts calls against a local bucket."""

    def __init__(
        self,
        own: str,
        *,
        peers: Callable[[], list[str]],
        first_share: float,
        rules: CapRules,
        timers: TimerService,
        seed: random.Random,
        send: Callable[[str, object], None],
    ) -> None:
        self._own = own
        self._peers = peers
        self._first_share = first_share
        self._rules = rules
        self._timers = timers
        self._seed = seed
        self._send = send
        self._caps: dict[str, Workspace] = {}
        self._states: dict[str, _State] = {}
        self._pending: dict[int, anyio.Event] = {}
        self._numbers = itertools.count()

    def use(self, configuration: Configuration) -> None:
        """Apply the caps of a new configuration."""
        self._caps = {each.name: each for each in configuration.all_of(Workspace)}
        for name in self._caps:
            self._states.setdefault(name, _State(self._first_share, 0.0, self._timers.now()))

    def _refilled(self, cap: Workspace) -> _State:
        state = self._states[cap.name]
        now = self._timers.now()
        window_calls = cap.calls_per_second * self._rules.window + cap.burst
        depth = 0.7 * (0.1 * window_calls + 20) * state.share
        added = window_calls / self._rules.window * state.share * (now - state.refilled_at)
        state.tokens = max(state.tokens, min(depth, state.tokens + added))
        state.refilled_at = now
        return state

    async def take(self, workspace: str) -> CountedCall | NotRun:
        cap = self._caps[workspace]
        state = self._refilled(cap)
        others = [host for host in self._peers() if host != self._own]
        for host in self._seed.sample(others, min(MAX_ASKED, len(others))):
            if state.tokens >= 1:
                break
            number = next(self._numbers)
            event = self._pending[number] = anyio.Event()
            self._send(host, TokenWanted(self._own, number, workspace))
            with self._timers.timeout(RESPONSE_TIMEOUT):
                await event.wait()
            self._pending.pop(number, None)
        if state.tokens >= 1:
            state.tokens -= 1
            return UNCOUNTED
        return NotRun("over the cap", 1.0)

    def give_back(self, counted: CountedCall) -> None:
        pass

    def handle_message(self, message: object) -> None:
        """Handle a message from another daemon."""
        match message:
            case TokenWanted(host, number, workspace):
                state = self._refilled(self._caps[workspace])
                tokens = state.tokens / 2
                share = state.share * GIVEN_SHARE
                state.tokens -= tokens
                state.share -= share
                self._send(host, TokensGiven(number, workspace, tokens, share))
            case TokensGiven(number, workspace, tokens, share):
                state = self._refilled(self._caps[workspace])
                state.tokens += tokens
                state.share += share
                if event := self._pending.get(number):
                    event.set()
