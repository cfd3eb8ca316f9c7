"""What each mechanism of the call path is worth, on the loads of `test_overload`.

Each mechanism is switched off in turn, and every load is played with the same seeds with and
without it.  The table tells what all calls earned, by their worth, and how much of it is due to the
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
    """Something that can be switched off."""

    #: What it does.
    name: str
    #: Switches it off while it is entered.
    off: Callable[[], contextlib.AbstractContextManager[Any]]


def _all_first(self: FirstRequestEstimator, _route: str, *, timeout: float) -> float:
    return self._timers.now()


def _whole_domain(_self: Picker, usable: Any, *_: Any, **__: Any) -> Any:
    return usable


def _any_of_pool(self: Picker, pool: Any, *_: Any) -> Any:
    return self._seed.choice(pool)


def _all_by_rank(self: Gate, line: int, _workspace: str) -> list[float]:
    coming = [len(q) + n for q, n in zip(self._waiting, self._reserved, strict=True)]
    return [float(count) if p <= line else 0.0 for p, count in enumerate(coming)]


def _without_fastest(call: Any, parent: Any, *, is_full: bool) -> Any:
    return call.with_changes(priority=0, start_by=float("inf"), is_repeat=parent.is_repeat)


def _nested_as_others(call: Any, _parent: Any, *, is_full: bool) -> Any:
    return call.with_changes(prefers_fastest=is_full)


def _late_return(status: int, _gate: Gate) -> NotRun:
    return NotRun(f"refused with {status}", 0.05, is_overload=True, is_by_target=True)


#: The mechanisms, each with the way in which it is switched off.
MECHANISMS: Final = (
    Mechanism(
        "first calls before repeats",
        lambda: mock.patch.object(FirstRequestEstimator, "of", _all_first),
    ),
    Mechanism(
        "back after 0.2 to 0.33 of the time left (0.1 to 0.3)",
        lambda: mock.patch.object(call_run, "_RETRY_AFTER_SHARES", (0.1, 0.3)),
    ),
    Mechanism(
        "at once back to targets that shed",
        lambda: mock.patch("load_exchange.refused_by_target", _late_return),
    ),
    Mechanism("sound targets first", lambda: mock.patch.object(Picker, "_healthy", _whole_domain)),
    Mechanism("free slots first", lambda: mock.patch.object(offers, "_NO_WAIT_OFFERS", 0)),
    Mechanism(
        "no eager offer to a host known to be full",
        lambda: mock.patch.object(Picker, "is_full", lambda _self, _candidate: False),
    ),
    Mechanism(
        "choice by expected time",
        lambda: mock.patch.object(Picker, "_best_of_sample", _any_of_pool),
    ),
    Mechanism(
        "own failure domain first", lambda: mock.patch.object(Picker, "_pool", _whole_domain)
    ),
    Mechanism("ejection", lambda: mock.patch.object(picker, "_FAILURES_TO_EJECT", 10**9)),
    Mechanism(
        "second try beside a slow one",
        lambda: mock.patch.object(call_run.CallRun, "_may_hedge", lambda _self: False),
    ),
    Mechanism("waits by turns", lambda: mock.patch.object(Gate, "_ahead_of", _all_by_rank)),
    Mechanism("nested calls first", lambda: mock.patch("load_model.nested", _nested_as_others)),
    Mechanism(
        "nested calls of full targets to the fastest",
        lambda: mock.patch("load_model.nested", _without_fastest),
    ),
)


def loads() -> dict[str, Load]:
    """The loads, by name."""
    return {
        "calm": mesh_load(5, share=0.7, seconds=4.0),
        "mild": mesh_load(4, share=1.1, seconds=4.0),
        "scarce": mesh_load(3, seconds=4.0),
        "deep": mesh_load(3, share=1.6, seconds=4.0),
        "shed": with_targets(mesh_load(5, seconds=4.0), 5, sheds=0.55, sheds_from=1.0),
        "lose": with_targets(mesh_load(5, share=0.75, seconds=4.0), 3, loses=0.4, loses_from=1.0),
        "second": narrowed(mesh_load(5, share=0.9, seconds=4.0)),
        "slow": slowed(mesh_load(5, share=0.9, seconds=4.0)),
    }


def narrowed(load: Load) -> Load:
    """The load with fewer slots at the second service, which is then short of them."""
    targets = [evolve(t, slots=3) if t.service == "second" else t for t in load.targets]
    return evolve(load, targets=tuple(targets))


def slowed(load: Load) -> Load:
    """The load with one target of the first service five times slower."""
    first, *others = load.targets
    return evolve(load, targets=(evolve(first, slowness=5 * first.slowness), *others))


def earned(load: Load, seed: int) -> float:
    """What all calls earned, as a part of what they could."""
    outcome = run_load(load, seed=seed)
    worths = {kind.name: kind.worth for kind in load.classes}
    could = sum(worths[name] * t.asked for name, t in outcome.tallies.items())
    return sum(worths[name] * t.asked * t.earned for name, t in outcome.tallies.items()) / could


def rows(seeds: range) -> Iterator[str]:
    """The table, line by line."""
    played = loads()
    with_all = {name: [earned(load, seed) for seed in seeds] for name, load in played.items()}
    yield "| mechanism | " + " | ".join(played) + " |"
    yield "|---" * (len(played) + 1) + "|"
    means = (f"{statistics.mean(values):.3f}" for values in with_all.values())
    yield "| all on: earned | " + " | ".join(means) + " |"
    for mechanism in MECHANISMS:
        cells = []
        for name, load in played.items():
            with mechanism.off():
                without = [earned(load, seed) for seed in seeds]
            gains = [a - b for a, b in zip(with_all[name], without, strict=True)]
            cells.append(f"{statistics.mean(gains):+.3f}")
        yield f"| {mechanism.name} | " + " | ".join(cells) + " |"


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=2, help="seeds for each load")
    options = parser.parse_args()
    for row in rows(range(1, options.seeds + 1)):
        print(row, flush=True)


if __name__ == "__main__":
    main()
