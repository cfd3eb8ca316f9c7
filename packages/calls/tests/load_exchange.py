"""An attempt of a call at a modelled target, through its real gate."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import anyio
from attrs import field, frozen

from acaciayard_admission import HeldSlot
from acaciayard_admission._target_answers import refused_by_target
from acaciayard_callmodel import Answer, Call, Exchange, NotRun, OutcomeUnknown
from acaciayard_calls import Answered, DispatchContext
from acaciayard_calls._attempt import Attempt
from acaciayard_http1 import BodyPart, End, Headers
from acaciayard_routing import Candidate

if TYPE_CHECKING:
    from load_model import Host, Mesh

__all__ = ["ModelParts"]

#: Seconds one way between failure domains, and inside of one.
DOMAIN_LINK: Final = 0.0009
NEAR_LINK: Final = 0.0002


@frozen
class ModelParts(DispatchContext):
    """Call parts whose attempts go to modelled targets."""

    mesh: Mesh = field(kw_only=True)

    def attempt(self, call: Call, candidate: Candidate, *, route: str) -> Attempt:
        self.picker.begin(candidate)
        mesh = self.mesh
        here = mesh.hosts[self.host]
        there = mesh.hosts[candidate.host]
        exchange = ModelExchange(call, mesh, here, there)
        return Attempt(candidate, exchange, self.picker, self.timers.now())  # type: ignore[arg-type]


class ModelExchange(Exchange):
    """An attempt at a modelled target: through its real gate, then some time of work."""

    def __init__(self, call: Call, mesh: Mesh, here: Host, there: Host) -> None:
        self._call = call
        self._mesh = mesh
        self._there = there
        near = here.target.domain == there.target.domain
        self._link = 0.0 if here is there else NEAR_LINK if near else DOMAIN_LINK
        self._scope: anyio.CancelScope | None = None
        self._slot: HeldSlot | None = None
        self._is_aborted = False
        self._is_acknowledged = False
        self._was_sent = False
        self.load = -1.0
        self.mean_seconds = 0.0

    @property
    def was_sent(self) -> bool:
        return self._was_sent

    @property
    def is_acknowledged(self) -> bool:
        return self._is_acknowledged

    @property
    def is_committed(self) -> bool:
        return self._was_sent

    async def start(self) -> NotRun | None:
        return None

    async def answer(self) -> Answer | NotRun | OutcomeUnknown:
        if not self._is_aborted:
            with anyio.CancelScope() as scope:
                self._scope = scope
                return await self._run()
        return OutcomeUnknown("cut")

    async def _run(self) -> Answer | NotRun | OutcomeUnknown:
        timers = self._mesh.timers
        target = self._there.target
        gate = self._there.gate
        call = self._call
        await timers.sleep(self._link)
        self._is_acknowledged = True
        entered: HeldSlot | NotRun | None
        if target.gone[0] <= timers.now() < target.gone[1]:
            entered = NotRun("the target drains", 0.1)
        else:
            asked = {"workspace": call.workspace, "is_inner": call.depth > 0}
            entered = gate.try_enter(call.priority, call.deadline, call.start_by, **asked)
            if entered is None:
                entered = await gate.wait(call.priority, call.deadline, **asked)
        if isinstance(entered, NotRun):
            self._tell_load()
            await timers.sleep(self._link)
            return entered
        self._slot = entered
        self._was_sent = True
        if timers.now() >= target.sheds_from and self._there.seed.random() < target.sheds:
            refusal = refused_by_target(503, gate)
            entered.release(is_good=False)
            self._slot = None
            self._tell_load()
            await timers.sleep(self._link)
            return refusal
        status = await self._work(call)
        is_lost = timers.now() >= target.loses_from and self._there.seed.random() < target.loses
        entered.release(is_good=not is_lost)
        self._there.busy += timers.now() - entered.since
        self._slot = None
        self._tell_load()
        await timers.sleep(self._link)
        if is_lost:
            return OutcomeUnknown("the target gave no whole answer: reset")
        self._mesh.answers += 1
        self._mesh.crossed += self._link == DOMAIN_LINK
        return Answer(status, b"", b"", True, 0, is_nested_failure=status >= 500)

    def _tell_load(self) -> None:
        self.load = self._there.gate.load
        self.mean_seconds = self._there.gate.mean_seconds

    async def _work(self, call: Call) -> int:
        """The target's own work, and the calls that it makes."""
        mesh = self._mesh
        kind = mesh.classes[call.target[1:].decode()]
        spread = kind.spread
        drawn = self._there.seed.lognormvariate(-spread * spread / 2, spread)
        await mesh.timers.sleep(kind.work * drawn * self._slowness())
        if self._there.seed.random() >= kind.nested_share:
            return 200
        outcomes: list[object] = []

        async def ask() -> None:
            called = mesh.classes[kind.nested]
            left = min(called.deadline, call.deadline - mesh.timers.now())
            outcomes.append(await self._there.serve(called, left, call))

        if kind.nested_together:
            async with anyio.create_task_group() as tasks:
                for _ in range(kind.nested_times):
                    tasks.start_soon(ask)
        else:
            while len(outcomes) < kind.nested_times and all(map(_is_answer, outcomes)):
                await ask()
        return 200 if all(map(_is_answer, outcomes)) else 500

    def _slowness(self) -> float:
        target = self._there.target
        first, last = target.slow_between
        is_slow = first <= self._mesh.timers.now() < last
        slowness = target.slowness * (target.slows if is_slow else 1.0)
        return slowness * (target.noise if self._is_noisy() else 1.0)

    def _is_noisy(self) -> bool:
        """Whether the target is in one of its slow spans."""
        target = self._there.target
        if not target.noisy_share:
            return False
        span = int(self._mesh.timers.now() / target.noise_span)
        return random.Random(f"{target.host}/{span}").random() < target.noisy_share

    def abort(self) -> None:
        self._is_aborted = True
        if self._scope is not None:
            self._scope.cancel()

    def close(self) -> None:
        if self._slot is not None:
            self._there.busy += self._mesh.timers.now() - self._slot.since
            self._slot.release()
            self._slot = None

    async def wait_admitted(self) -> NotRun | None:
        return None

    async def send_part(self, data: bytes) -> None:
        raise NotImplementedError

    async def finish(self, trailers: Headers) -> None:
        raise NotImplementedError

    async def next_part(self) -> BodyPart | End:
        return End()


def _is_answer(outcome: object) -> bool:
    return isinstance(outcome, Answered)
