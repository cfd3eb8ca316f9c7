"""Accounting of the processor time of this process, by part of the program."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Coroutine, Generator
from enum import Enum
from typing import Any, Final, Generic, TypeVar

__all__ = ["NO_ACCOUNT", "ProcessorAccount", "ProcessorPart"]

_Result = TypeVar("_Result")
_SECONDS_PER_NANOSECOND: Final = 1e-9


class ProcessorPart(Enum):
    """A part of the program whose processor time is counted separately."""

    #: `Enum.__hash__` is Python code, and two members are looked up at each switch.
    __hash__ = object.__hash__

    #: Startup, before any other part runs.
    START = "start"
    #: Reading and validating configurations and putting them in force.
    VERSIONS = "versions"
    #: Calls from callers on this host.
    ENTRY = "entry"
    #: Calls forwarded by other daemons to targets on this host.
    TARGET = "target"
    #: Calls forwarded by other daemons that this daemon refuses.
    REFUSED = "refused"
    #: Messages between daemons: membership, replication of versions, rollouts.
    EXCHANGE = "exchange"
    #: The timer service and the callbacks of its timers.
    TIMERS = "timers"
    #: Log lines.
    LOGS = "logs"
    #: The cyclic garbage collector.
    COLLECTOR = "collector"
    #: Everything else: the event loop, sockets, other threads.
    REST = "rest"


class ProcessorAccount:
    """Counts the processor time of the thread that runs the event loop, by part.

    Exactly one part is charged at any time, so that the parts add up to the processor time of the
    process; that of other threads is charged to `ProcessorPart.REST`.  Time of a part that runs
    inside another one is not charged to the outer part:

        before = account.switch(ProcessorPart.LOGS)
        try:
            write(line)
        finally:
            account.switch(before)

    A switch reads a system clock and takes 0.5 us; a call needs ten to twenty of them.
    """

    def __init__(
        self,
        clock: Callable[[], int] = time.thread_time_ns,
        process_clock: Callable[[], int] = time.process_time_ns,
    ) -> None:
        self._clock = clock
        self._process_clock = process_clock
        self._spent = dict.fromkeys(ProcessorPart, 0)
        self._steps = dict.fromkeys(ProcessorPart, 0)
        self._part = ProcessorPart.START
        self._charged_until = 0
        self._task: _CountedTask[Any] | None = None

    @property
    def steps(self) -> dict[ProcessorPart, int]:
        """Number of steps of tasks (from one wait to the next) so far, by part."""
        return dict(self._steps)

    def switch(self, part: ProcessorPart) -> ProcessorPart:
        """Charge `part` from now on; returns the part that was charged before."""
        now = self._clock()
        before = self._part
        self._spent[before] += now - self._charged_until
        self._charged_until = now
        self._part = part
        return before

    def seconds(self) -> dict[ProcessorPart, float]:
        """Seconds charged so far, by part; their sum is the processor time of the process."""
        self.switch(self._part)
        spent = dict(self._spent)
        spent[ProcessorPart.REST] += self._process_clock() - sum(spent.values())
        return {part: max(0, count) * _SECONDS_PER_NANOSECOND for part, count in spent.items()}

    async def run(
        self,
        part: ProcessorPart,
        work: Callable[..., Coroutine[Any, Any, _Result]],
        *args: Any,
    ) -> _Result:
        """Run `work(*args)` in the current task and charge it to `part`.

        Example:
            tasks.start_soon(account.run, ProcessorPart.EXCHANGE, probe, member)
        """
        return await _CountedTask(self, part, work(*args))

    def begin(self, part: ProcessorPart) -> None:
        """Charge what the current task does next to `part`; has no effect outside of `run`."""
        if self._task is not None:
            self._task.begin(part)

    def move(self, part: ProcessorPart) -> None:
        """Charge what the current task has done since `begin`, and does next, to `part`.

        Whether a call is refused is known only at its end, and refused calls are counted
        separately.
        """
        if self._task is not None:
            self._task.move(part)

    def watch_collector(self) -> None:
        """Charge garbage collections to `ProcessorPart.COLLECTOR`, not to the interrupted part."""
        before = [self._part]

        def note(phase: str, _info: dict[str, int]) -> None:
            if phase == "start":
                before[0] = self.switch(ProcessorPart.COLLECTOR)
                self._steps[ProcessorPart.COLLECTOR] += 1
            else:
                self.switch(before[0])

        gc.callbacks.append(note)


class _CountedTask(Generic[_Result]):
    """Awaitable that charges each step of a coroutine to a part, which may change."""

    __slots__ = ("_account", "_mark", "_part", "_spent", "_work")

    def __init__(
        self,
        account: ProcessorAccount,
        part: ProcessorPart,
        work: Coroutine[Any, Any, _Result],
    ) -> None:
        self._account = account
        self._part = part
        self._work = work
        self._mark = 0
        self._spent = 0

    def begin(self, part: ProcessorPart) -> None:
        """Charge what comes next to `part`."""
        account = self._account
        account.switch(part)
        self._part = part
        self._spent = 0
        self._mark = account._spent[part]

    def move(self, part: ProcessorPart) -> None:
        """Charge what was done since `begin`, and what comes next, to `part`."""
        account = self._account
        account.switch(part)
        spent = self._spent + account._spent[self._part] - self._mark
        account._spent[self._part] -= spent
        account._spent[part] += spent
        self._part = part
        self._spent = 0
        self._mark = account._spent[part]

    def __await__(self) -> Generator[Any, Any, _Result]:
        """Run the coroutine and charge each of its steps, from one wait to the next."""
        account = self._account
        switch = account.switch
        spent = account._spent
        work = self._work
        send = work.send
        thrown: BaseException | None = None
        while True:
            part = self._part
            outer = switch(part)
            outer_task = account._task
            account._task = self
            account._steps[part] += 1
            self._mark = spent[part]
            try:
                awaited = send(None) if thrown is None else work.throw(thrown)
            except StopIteration as end:
                result: _Result = end.value
                return result
            finally:
                switch(outer)
                account._task = outer_task
                part = self._part
                self._spent += spent[part] - self._mark
                thrown = None  # its traceback refers to this frame
            try:
                yield awaited
            except GeneratorExit:
                work.close()
                raise
            except BaseException as error:
                thrown = error


def _no_clock() -> int:
    return 0


#: Account that counts nothing, for programs and tests that do not need one.
NO_ACCOUNT: Final = ProcessorAccount(_no_clock, _no_clock)
