"""Open-loop load: calls start at their times, however long those before them take."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

import anyio
from attrs import frozen

from acaciayard_standins import Caller, CallResult

__all__ = ["Asked", "Done", "open_load"]

#: Connections kept for reuse, per entry.
_IDLE: Final = 200


@frozen
class Asked:
    """A call to make."""

    #: Label by which results are told apart.
    label: str
    #: Path and query.
    target: str
    #: Milliseconds that the caller waits; 0 for as long as it takes.
    deadline_ms: int = 0


@frozen
class Done:
    """A call that was made."""

    #: What was asked.
    asked: Asked
    #: What it ended with.
    result: CallResult


async def open_load(
    entries: Sequence[tuple[str, int]],
    *,
    rate: float,
    seconds: float,
    seed: int,
    ask: Callable[[random.Random], Asked],
) -> list[Done]:
    """Make calls at random times at a mean rate, each through a random entry."""
    source = random.Random(seed)
    idle: dict[tuple[str, int], deque[Caller]] = {entry: deque(maxlen=_IDLE) for entry in entries}
    done: list[Done] = []

    async def one(entry: tuple[str, int], asked: Asked, token: str) -> None:
        caller = idle[entry].popleft() if idle[entry] else Caller(entry)
        headers = ((b"x-deadline-ms", b"%d" % asked.deadline_ms),) if asked.deadline_ms else ()
        result = await caller.call(asked.target, token=token, headers=headers)
        done.append(Done(asked, result))
        idle[entry].append(caller)

    async with anyio.create_task_group() as tasks:
        end = time.monotonic() + seconds
        due = time.monotonic()
        count = 0
        while due < end:
            await anyio.sleep(max(0.0, due - time.monotonic()))
            tasks.start_soon(one, source.choice(entries), ask(source), f"o{seed}-{count}")
            count += 1
            due += source.expovariate(rate)
    for callers in idle.values():
        for caller in callers:
            caller.close()
    return done
