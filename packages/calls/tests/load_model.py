"""A mesh under load on a simulated clock: the real classes that decide, on targets made for tests.

What decides is the product's own: the dispatcher with its offers and its picker at each entry, the
gate at each target, and the entry's view of its callers.  Targets, links and callers are models.
No socket is opened and no time passes: the loop's clock jumps to the next thing that is due, so ten
seconds of a thousand calls a second take some seconds of a processor.

Example:
    outcome = run_load(Load(targets=(Target("a", "one", slots=9),), classes=(BROWSE,)), seed=1)
    outcome.of("browse").in_goal
"""

from __future__ import annotations

import asyncio
import random
from typing import Any, Final

import anyio
import anyio.abc
from call_rig import configuration
from jumping_loop import JumpingLoop, LoopTimers
from load import CallClass, Load, Outcome, Tally, Target
from load_exchange import ModelParts

from acaciayard_admission import Gate, GatePolicy, SharedRetryBudgets, Suspects
from acaciayard_callmodel import OWN_DIALECT, Call, CallWatch, NotRun
from acaciayard_calls import Answered, Dispatcher
from acaciayard_calls._first_asked import FirstRequestEstimator
from acaciayard_calls._waits import nested, start_by
from acaciayard_membership import Member, MemberState, MemberTable, TargetInfo
from acaciayard_membership._messages import MEMBER_CODEC
from acaciayard_resources import PRIORITIES, Invariants, RetryPolicy, Route, Service, TimeoutPolicy
from acaciayard_routing import Picker, Router
from acaciayard_timers import TimerService

#: Seconds one way between a caller and its entry.
CALLER_LINK: Final = 0.003
#: Part of the time that it has left which a caller waits at most before it comes back.
MOST_OBEYED: Final = 1 / 3


class Host:
    """A daemon with the target beside it."""

    def __init__(self, mesh: Mesh, target: Target, number: int) -> None:
        self.target = target
        self.mesh = mesh
        self.gate = Gate(
            slots=target.slots,
            queue_length=200,
            timers=mesh.timers,
            policy=GatePolicy(lowest_share=1.0, middle_spare=0, weights=(4, 3, 1), inner_weight=8),
        )
        self.seed = random.Random(f"{mesh.seed_text}/{target.host}")
        self.busy = 0.0
        info = TargetInfo(service=target.service, name=f"t-{target.host}", slots=target.slots)
        self.member = Member(
            host=target.host,
            incarnation=1,
            sequence=1,
            state=int(MemberState.ALIVE),
            domain=target.domain,
            ip="127.0.0.1",
            control_port=1,
            call_port=number,
            api_port=0,
            targets=(info,),
        )
        self.table = MemberTable(self.member, mesh.timers)
        self.first_asked = FirstRequestEstimator(mesh.timers)

    def meet(self, others: list[Host]) -> None:
        """Hear of all hosts, and be ready for callers."""
        for other in others:
            if other is not self:
                self.table.merge(MEMBER_CODEC.encode(other.member))
        budgets = SharedRetryBudgets(
            ratio=0.2, slack=64, window=10, members=lambda: len(others), timers=self.mesh.timers
        )
        self.dispatcher = Dispatcher(
            ModelParts(
                host=self.target.host,
                picker=Picker(table=self.table, timers=self.mesh.timers, seed=self.seed),
                targets=None,  # type: ignore[arg-type]  # only the real exchange asks for them
                pool=None,  # type: ignore[arg-type]
                timers=self.mesh.timers,
                seed=self.seed,
                invariants=Invariants(),
                dialect=OWN_DIALECT,
                suspects=Suspects(timers=self.mesh.timers),
                budgets=budgets,
                tasks=self.mesh.tasks,
                mesh=self.mesh,
            )
        )

    async def serve(self, kind: CallClass, left: float, parent: Call | None) -> object:
        """Have a call run, as the entry of this host does."""
        mesh = self.mesh
        now = mesh.timers.now()
        plan = mesh.router.match(host="h", path=f"/{kind.name}", method="GET")
        assert plan is not None
        first = now if parent is not None else self.first_asked.of(plan.route.name, timeout=left)
        call = Call(
            service=kind.service,
            method=b"GET",
            target=b"/" + kind.name.encode(),
            fields=b"",
            body=b"",
            is_whole=True,
            length=0,
            priority=kind.priority,
            deadline=now + min(left, plan.timeout.total_s),
            is_idempotent=kind.idempotent,
            workspace=kind.workspace,
        )
        if parent is not None:
            call = nested(call, parent, is_full=self.gate.load >= 1)
        else:
            call = call.with_changes(start_by=start_by(plan, first))
        run = self.dispatcher.run(call, plan, mesh.router, CallWatch(), may_retry=True)
        outcome = await run
        if isinstance(outcome, Answered):
            outcome.attempt.close()
        elif isinstance(outcome, NotRun) and parent is None:
            self.first_asked.note_failure(plan.route.name)
        return outcome


class Mesh:
    """All hosts, and the callers."""

    def __init__(self, load: Load, seed: int, timers: TimerService, tasks: Any) -> None:
        self.load = load
        self.timers = timers
        self.tasks = tasks
        self.seed_text = str(seed)
        self.seed = random.Random(seed)
        self.classes = {kind.name: kind for kind in load.classes}
        self.router = _router(load)
        self.answers = 0
        self.crossed = 0
        self.tallies = {kind.name: Tally() for kind in load.classes}
        self.hosts = {
            t.host: Host(self, t, number) for number, t in enumerate(load.targets, start=1)
        }
        for host in self.hosts.values():
            host.meet(list(self.hosts.values()))

    async def ask(self, kind: CallClass, host: Host, is_counted: bool) -> None:
        """One caller's call, with its repeats."""
        tally = self.tallies[kind.name] if is_counted else Tally()
        tally.asked += 1
        started = self.timers.now()
        deadline = started + kind.deadline * self.seed.uniform(1 - kind.patience, 1)
        for number in range(1 + kind.repeats):
            left = deadline - self.timers.now()
            await self.timers.sleep(CALLER_LINK)
            outcome = await host.serve(kind, left, None)
            await self.timers.sleep(CALLER_LINK)
            now = self.timers.now()
            if isinstance(outcome, Answered) and outcome.answer.status == 200 and now < deadline:
                tally.seconds.append(now - started)
                tally.in_goal += now - started <= kind.goal
                tally.late += now - started > kind.goal
                return
            is_refused = isinstance(outcome, NotRun)
            tally.refusals += is_refused
            pause = 0.0
            if isinstance(outcome, NotRun):
                pause = min(outcome.retry_after, (deadline - now) * MOST_OBEYED)
            may_repeat = is_refused or kind.idempotent
            if not may_repeat or number == kind.repeats or now + pause >= deadline:
                break
            await self.timers.sleep(pause)
        tally.refused += is_refused
        tally.failed += not is_refused

    async def arrivals(self, kind: CallClass) -> None:
        """Callers of one class, as a Poisson process over all hosts."""
        hosts = list(self.hosts.values())
        while self.timers.now() < self.load.seconds:
            now = self.timers.now()
            weights = [self.load.swell(now, host.target.domain) for host in hosts]
            await self.timers.sleep(self.seed.expovariate(kind.rate * sum(weights) / len(hosts)))
            is_counted = self.timers.now() >= self.load.uncounted
            self.tasks.start_soon(self.ask, kind, self._host_of(hosts, weights), is_counted)

    def _host_of(self, hosts: list[Host], weights: list[float]) -> Host:
        """The host of a call; equal weights are no weights, so that seeds draw as without them."""
        if min(weights) == max(weights):
            return self.seed.choice(hosts)
        (host,) = self.seed.choices(hosts, weights)
        return host


def _router(load: Load) -> Router:
    resources: list[Any] = [
        Service(name=name, queue_length=200, warm_up_s=0.0)
        for name in sorted({t.service for t in load.targets})
    ]
    for kind in load.classes:
        retry = f"try-{kind.name}"
        if kind.idempotent:
            resources.append(
                RetryPolicy(
                    name=retry,
                    attempts=2,
                    per_try_s=0.6 * kind.goal,
                    budget_percent=100.0,
                    backoff_ms=0.0,
                )
            )
        resources.append(TimeoutPolicy(name=f"in-{kind.name}", total_s=kind.deadline))
        resources.append(
            Route(
                name=kind.name,
                service=kind.service,
                path=f"/{kind.name}",
                idempotent=kind.idempotent,
                priority=PRIORITIES[kind.priority],
                retry=retry if kind.idempotent else "",
                timeout=f"in-{kind.name}",
                latency_goal_ms=kind.goal * 1000,
            )
        )
    return Router(configuration(*resources))


def run_load(load: Load, *, seed: int) -> Outcome:
    """Play a load; the same seed gives the same outcome."""
    outcome: Outcome | None = None

    async def main() -> None:
        nonlocal outcome
        timers = LoopTimers(asyncio.get_running_loop())
        async with anyio.create_task_group() as tasks:
            mesh = Mesh(load, seed, timers, tasks)
            for kind in load.classes:
                if kind.rate:
                    tasks.start_soon(mesh.arrivals, kind)
            await timers.sleep(load.seconds + 6.0)
            tasks.cancel_scope.cancel()
        used = {
            name: host.busy / host.target.slots / load.seconds for name, host in mesh.hosts.items()
        }
        outcome = Outcome(mesh.tallies, used, mesh.crossed / max(1, mesh.answers))

    random.seed(seed)
    anyio.run(main, backend_options={"loop_factory": JumpingLoop})
    assert outcome is not None
    return outcome
