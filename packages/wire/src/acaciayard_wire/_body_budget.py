"""Bounds the bytes of request bodies that a process holds, over all its connections."""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Final

from attrs import define

from acaciayard_timers import TimerService

__all__ = ["BodyBudget", "HeldBody"]

#: Seconds without progress after which a body may be dropped for one that arrives.
_STILL_SECONDS: Final = 0.3
#: Bytes within that time that count as progress, so that single bytes do not keep a body's place.
_PROGRESS_BYTES: Final = 4 * 1024
#: Divisor of the budget that gives the bytes of released bodies after which garbage is collected.
_COLLECTION_DIVISOR: Final = 2
#: Divisor of the budget that gives the part for small bodies alone.
_SMALL_DIVISOR: Final = 8


def _no_operation() -> None:
    """Called when a body is dropped that nothing waits for."""


class BodyBudget:
    """The request bodies that a process holds: those that arrive, and those of running calls.

    A body that finds no room displaces those that have stood still for longest.  If all others go
    on or are complete, it finds none.  A part of the budget is kept for small bodies, so that large
    ones do not keep out ordinary requests.

    Example:
        held = budget.open()
        if not held.grow(len(data)):
            ...  # refuse the request
        held.complete()  # it is not dropped from here on
        held.release()
    """

    def __init__(self, size: int, *, small_body: int, timers: TimerService) -> None:
        self._size = size
        self._small_body = small_body
        self._timers = timers
        self._held = 0
        self._released = 0
        self._refused = 0
        self._dropped = 0
        #: The bodies that are not complete, by the time of their last progress.
        self._growing: dict[HeldBody, None] = {}

    @property
    def held(self) -> int:
        """Bytes that are held now."""
        return self._held

    @property
    def refused(self) -> int:
        """Number of bodies so far that found no room."""
        return self._refused

    @property
    def dropped(self) -> int:
        """Number of bodies so far that were dropped for others."""
        return self._dropped

    def open(self) -> HeldBody:
        """Start to hold a body; the owner must release it."""
        body = HeldBody(self, self._timers.now())
        self._growing[body] = None
        return body

    def _limit_for(self, size: int) -> int:
        """Return how many bytes may be held with a body of this size among them."""
        if size <= self._small_body:
            return self._size
        return self._size - self._size // _SMALL_DIVISOR

    def _make_room(self, body: HeldBody, size: int) -> bool:
        """Drop bodies that stand still until there is room; return whether there is."""
        limit = self._limit_for(body.size + size)
        still_since = self._timers.now() - _STILL_SECONDS
        while self._held + size > limit:
            longest = next(iter(self._growing), None)
            if longest is None or longest is body or longest.progressed_at > still_since:
                self._refused += 1
                return False
            self._dropped += 1
            longest._drop()
        return True

    def _note_released(self, size: int) -> None:
        """Collect garbage once large bodies of some size have been released.

        An ended call may be part of a reference cycle.  The collector counts objects and not bytes,
        so that on its own it would leave the bodies of many calls in memory.
        """
        self._held -= size
        if size <= self._small_body:
            return
        self._released += size
        if self._released >= self._size // _COLLECTION_DIVISOR:
            self._released = 0
            gc.collect()

    def _note_progress(self, body: HeldBody) -> None:
        body.progressed_at = self._timers.now()
        if body in self._growing:
            del self._growing[body]
            self._growing[body] = None


@define(eq=False)
class HeldBody:
    """The room of one body; the owner must release it."""

    _budget: BodyBudget
    #: When it last progressed, on the clock of the timer service.
    progressed_at: float
    #: Bytes for which it holds room.
    size: int = 0
    #: Called if it is dropped; the owner lets go of the body and need not release it.
    on_dropped: Callable[[], None] = _no_operation
    #: Whether it was dropped for another body.
    is_dropped: bool = False
    _unmarked: int = 0

    def grow(self, size: int) -> bool:
        """Take room for bytes that have arrived; return whether there is any."""
        self.note_received(size)
        return self.reserve(size)

    def reserve(self, size: int) -> bool:
        """Take room for bytes that will arrive; return whether there is any."""
        budget = self._budget
        if self.is_dropped:
            return False
        is_full = budget._held + size > budget._limit_for(self.size + size)
        if is_full and not budget._make_room(self, size):
            return False
        self.size += size
        budget._held += size
        return True

    def note_received(self, size: int) -> None:
        """Record that bytes have arrived."""
        self._unmarked += size
        if self._unmarked >= _PROGRESS_BYTES:
            self._unmarked = 0
            self._budget._note_progress(self)

    def complete(self) -> None:
        """Record that it does not wait for its sender, so that it is not dropped."""
        self._budget._growing.pop(self, None)

    def expect(self) -> None:
        """Record that it waits for its sender again, from now on."""
        self._budget._growing[self] = None
        self._budget._note_progress(self)

    def release(self) -> None:
        """Give the room back; further calls have no effect."""
        self._budget._growing.pop(self, None)
        size, self.size = self.size, 0
        self._budget._note_released(size)

    def _drop(self) -> None:
        self.is_dropped = True
        self.release()
        self.on_dropped()
