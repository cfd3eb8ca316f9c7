"""Fair queueing of the waiting calls of one priority level by workspace."""

from __future__ import annotations

from collections import deque
from typing import Final, Generic, Protocol, TypeVar

from attrs import define, field

__all__ = ["FairQueue", "QueuedCall"]

#: Weight of the latest call in the moving average of the call durations of a workspace.
_SMOOTHING: Final = 0.2
#: Maximum number of workspaces whose mean call duration is remembered.
_MAX_REMEMBERED_MEANS: Final = 256


class QueuedCall(Protocol):
    """A call that can be queued."""

    @property
    def workspace(self) -> str:
        """The workspace that the call is made for; empty for none."""


_W = TypeVar("_W", bound=QueuedCall)


@define(eq=False)
class _Flow(Generic[_W]):
    """The waiting calls of one workspace, in order of arrival."""

    #: The waiting calls.
    calls: deque[_W] = field(factory=deque)
    #: Virtual time at which its first call starts.
    virtual_start: float = 0.0


class FairQueue(Generic[_W]):
    """A queue that shares slot time fairly among workspaces, first in, first out within each.

    Uses start-time fair queueing.  Virtual time counts work: the first call of a flow starts at the
    virtual time at which the previous call of the flow finishes, and the flow with the earliest
    start is next.  Calls of a workspace with many requests thus wait behind each other and not in
    front of other workspaces.  With at most one workspace it is a plain FIFO queue.

    A flow exists while calls of its workspace wait.  A workspace that returns after an idle period
    starts at the current virtual time, so that it gains no turns by being idle.

    Example:
        queue.append(waiter)
        first = queue.popleft(seconds=0.07)
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[_W]] = {}
        self._mean_seconds: dict[str, float] = {}
        self._virtual_time = 0.0
        self._virtual_finishes: dict[str, float] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def workspaces(self) -> int:
        """Number of workspaces with waiting calls."""
        return len(self._flows)

    def __contains__(self, call: object) -> bool:
        return any(call in flow.calls for flow in self._flows.values())

    def append(self, call: _W) -> None:
        """Add a call to the flow of its workspace."""
        flow = self._flows.get(call.workspace)
        if flow is None:
            virtual_start = max(self._virtual_time, self._virtual_finishes.pop(call.workspace, 0.0))
            flow = self._flows[call.workspace] = _Flow(virtual_start=virtual_start)
        flow.calls.append(call)
        self._length += 1

    def popleft(self, *, seconds: float) -> _W:
        """Remove and return the next call; `seconds` is the mean call duration in this queue."""
        workspace = self._next()
        flow = self._flows[workspace]
        self._virtual_time = flow.virtual_start
        flow.virtual_start += self._mean_seconds.get(workspace, seconds)
        call = flow.calls.popleft()
        self._after_removal(workspace, flow)
        return call

    def pop(self) -> _W:
        """Remove and return the last call of the workspace with the most waiting calls."""
        workspace = max(self._flows, key=lambda name: len(self._flows[name].calls))
        flow = self._flows[workspace]
        call = flow.calls.pop()
        self._after_removal(workspace, flow)
        return call

    def remove(self, call: _W) -> None:
        """Remove a call; raises `ValueError` if it is not in the queue."""
        flow = self._flows.get(call.workspace)
        if flow is None:
            raise ValueError("the call is not in the queue")
        flow.calls.remove(call)
        self._after_removal(call.workspace, flow)

    def ahead_of(self, workspace: str) -> int:
        """Return how many calls are served before another call of a workspace.

        This assumes that each other workspace gets one turn between two calls of this workspace.
        """
        if len(self._flows) <= 1 and workspace in self._flows:
            return self._length
        own = self._flows.get(workspace)
        turns = len(own.calls) + 1 if own is not None else 1
        others = (
            min(len(flow.calls), turns) for name, flow in self._flows.items() if name != workspace
        )
        return turns - 1 + sum(others)

    def note_duration(self, workspace: str, seconds: float) -> None:
        """Record for how long a call of a workspace has occupied its slot."""
        if not workspace:
            return
        previous_mean = self._mean_seconds.pop(workspace, seconds)
        self._mean_seconds[workspace] = previous_mean + _SMOOTHING * (seconds - previous_mean)
        if len(self._mean_seconds) > _MAX_REMEMBERED_MEANS:
            del self._mean_seconds[next(iter(self._mean_seconds))]

    def _next(self) -> str:
        if len(self._flows) == 1:
            return next(iter(self._flows))
        return min(self._flows, key=lambda name: self._flows[name].virtual_start)

    def _after_removal(self, workspace: str, flow: _Flow[_W]) -> None:
        self._length -= 1
        if flow.calls:
            return
        del self._flows[workspace]
        if flow.virtual_start <= self._virtual_time or not workspace:
            return
        self._virtual_finishes = {
            name: finish
            for name, finish in self._virtual_finishes.items()
            if finish > self._virtual_time
        }
        self._virtual_finishes[workspace] = flow.virtual_start
