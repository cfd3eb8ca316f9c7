"""Ablation of the mechanisms of the call path, on the loads of `test_overload`.

Disables each mechanism in turn, and simulates every load with the same seeds with and without it.
The table shows the utility of all calls, weighted by their value, and how much of it is due to each
mechanism:

    python packages/calls/tests/ablation.py --seeds 3
"""

from __future__ import annotations

import argparse
import contextlib
import statistics
from collections.abc import Callable, Iterator
from typing import Any, Final
from unittest import mock

from attrs import evolve, frozen
from load import Load
from load_model import run_load
from test_overload import mesh_load, with_targets

from acaciayard_admission import Gate
from acaciayard_callmodel import NotRun
from acaciayard_calls import _call_run as call_run
from acaciayard_calls._first_asked import FirstRequestEstimator
from acaciayard_routing import Picker
from acaciayard_routing import _offers as offers
from acaciayard_routing import _picker as picker


@frozen
class Mechanism:
    """A mechanism that can be disabled."""

    #: Description, as printed in the table.
    name: str
    #: Returns a context manager that disables the mechanism.
    disable: Callable[[], contextlib.AbstractContextManager[Any]]


def _treat_as_first(self: FirstRequestEstimator, _route: str, **_: float) -> float:
    return self._timers.now()


def _all_usable(_self: Picker, usable: Any, *_: Any, **__: Any) -> Any:
    return usable


def _choose_any(self: Picker, pool: Any, *_: Any) -> Any:
    return self._seed.choice(pool)


def _order_by_rank(self: Gate, line: int, _workspace: str) -> list[float]:
    ahead = [len(q) + n for q, n in zip(self._waiting, self._reserved, strict=True)]
    return [float(count) if p <= line else 0.0 for p, count in enumerate(ahead)]


def _ignore_speed(call: Any, parent: Any, *, is_full: bool) -> Any:
    return call.with_changes(priority=0, start_by=float("inf"), is_repeat=parent.is_repeat)


def _nested_without_priority(call: Any, _parent: Any, *, is_full: bool) -> Any:
    return call.with_changes(prefers_fastest=is_full)


def _hear_nothing(_self: Picker, *_: Any, **__: Any) -> None:
    return


def _refuse_with_short_delay(status: int, _gate: Gate) -> NotRun:
    return NotRun(f"refused with {status}", 0.05, is_overload=True, is_by_target=True)


#: Mechanisms in the order of the table.
MECHANISMS: Final = (
    Mechanism(
        "first calls before retries",
        lambda: mock.patch.object(FirstRequestEstimator, "of", _treat_as_first),
    ),
    Mechanism(
        "retry-after of 0.2 to 0.33 of the time left (0.1 to 0.3)",
        lambda: mock.patch.object(call_run, "_RETRY_AFTER_SHARES", (0.1, 0.3)),
    ),
    Mechanism(
        "immediate retry at targets that shed",
        lambda: mock.patch("load_exchange.refused_by_target", _refuse_with_short_delay),
    ),
    Mechanism("healthy targets first", lambda: mock.patch.object(Picker, "_healthy", _all_usable)),
    Mechanism("free slots first", lambda: mock.patch.object(offers, "_NO_WAIT_OFFERS", 0)),
    Mechanism(
        "no eager offer to a host known to be full",
        lambda: mock.patch.object(Picker, "is_full", lambda _self, _candidate: False),
    ),
    Mechanism(
        "choice by expected time", lambda: mock.patch.object(Picker, "_best_of_sample", _choose_any)
    ),
    Mechanism(
        "stated limits known to entries", lambda: mock.patch.object(Picker, "hear", _hear_nothing)
    ),
    Mechanism("own failure domain first", lambda: mock.patch.object(Picker, "_pool", _all_usable)),
    Mechanism("ejection", lambda: mock.patch.object(picker, "_FAILURES_TO_EJECT", 10**9)),
    Mechanism(
        "hedging of slow attempts",
        lambda: mock.patch.object(call_run.CallRun, "_may_hedge", lambda _self: False),
    ),
    Mechanism(
        "weighted turns in the queue", lambda: mock.patch.object(Gate, "_ahead_of", _order_by_rank)
    ),
    Mechanism(
        "nested calls first", lambda: mock.patch("load_model.nested", _nested_without_priority)
    ),
    Mechanism(
        "nested calls of full targets to the fastest target",
        lambda: mock.patch("load_model.nested", _ignore_speed),
    ),
)


def all_loads() -> dict[str, Load]:
    """Returns the loads by name."""
    return {
        "calm": mesh_load(5, share=0.7, seconds=4.0),
        "mild": mesh_load(4, share=1.1, seconds=4.0),
        "scarce": mesh_load(3, seconds=4.0),
        "deep": mesh_load(3, share=1.6, seconds=4.0),
        "shed": with_targets(mesh_load(5, seconds=4.0), 5, shed_share=0.55, shed_from=1.0),
        "lose": with_targets(
            mesh_load(5, share=0.75, seconds=4.0), 3, loss_share=0.4, loss_from=1.0
        ),
        "second": with_few_slots(mesh_load(5, share=0.9, seconds=4.0)),
        "limited": with_targets(mesh_load(5, share=0.9, seconds=4.0), 2, stated_rate=5.0),
        "slow": with_slow_target(mesh_load(5, share=0.9, seconds=4.0)),
    }


def with_few_slots(load: Load) -> Load:
    """Returns the load with too few slots at the second service."""
    targets = [evolve(t, slots=3) if t.service == "second" else t for t in load.targets]
    return evolve(load, targets=tuple(targets))


def with_slow_target(load: Load) -> Load:
    """Returns the load with one target of the first service five times slower."""
    first, *others = load.targets
    return evolve(load, targets=(evolve(first, slowness=5 * first.slowness), *others))


def utility(load: Load, seed: int) -> float:
    """Returns the utility of all calls as a share of the attainable utility."""
    outcome = run_load(load, seed=seed)
    values = {call_class.name: call_class.value for call_class in load.classes}
    attainable = sum(values[name] * t.issued for name, t in outcome.tallies.items())
    return (
        sum(values[name] * t.issued * t.utility for name, t in outcome.tallies.items()) / attainable
    )


def table_rows(seeds: range) -> Iterator[str]:
    """Yields the lines of the table."""
    workloads = all_loads()
    baseline = {name: [utility(load, seed) for seed in seeds] for name, load in workloads.items()}
    yield "| mechanism | " + " | ".join(workloads) + " |"
    yield "|---" * (len(workloads) + 1) + "|"
    means = (f"{statistics.mean(values):.3f}" for values in baseline.values())
    yield "| all enabled: utility | " + " | ".join(means) + " |"
    for mechanism in MECHANISMS:
        cells = []
        for name, load in workloads.items():
            with mechanism.disable():
                without = [utility(load, seed) for seed in seeds]
            gains = [a - b for a, b in zip(baseline[name], without, strict=True)]
            cells.append(f"{statistics.mean(gains):+.3f}")
        yield f"| {mechanism.name} | " + " | ".join(cells) + " |"


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2, help="number of seeds per load")
    options = parser.parse_args()
    for row in table_rows(range(1, options.seeds + 1)):
        print(row, flush=True)


if __name__ == "__main__":
    main()
