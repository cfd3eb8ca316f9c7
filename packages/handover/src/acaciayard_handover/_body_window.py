"""Flow control that limits the bytes of large bodies in flight to this host."""

from __future__ import annotations

from typing import Final

import anyio
from attrs import define, field

__all__ = ["BodyTransfer", "BodyWindow", "window_for_link"]

#: Size of the window, as seconds of transmission on the link of the host.  Answers and small calls
#: queue behind bodies on that link: without flow control, bodies of 60 KB on links of 2.5 Mbit/s
#: delayed them by 30 to 350 ms, at targets that need 40 ms for such a call.
_WINDOW_SECONDS: Final = 0.02
#: Smallest window; a smaller one leaves a slow link idle for a part of each round trip.
_MIN_WINDOW_BYTES: Final = 16 * 1024
#: Window of a host whose link bandwidth is unknown.
_DEFAULT_WINDOW_BYTES: Final = 4 * 1024 * 1024
#: Smallest number of bytes requested from a sender, except at the end of a body.
_MIN_REQUEST_BYTES: Final = 4 * 1024
#: Share of the window that one transfer may fill, so that a stalled sender does not block others.
_MAX_TRANSFER_SHARE: Final = 0.75


def window_for_link(link_mbps: float) -> BodyWindow:
    """Return the window for a link of some bandwidth in Mbit/s, 0 if unknown."""
    if link_mbps <= 0:
        return BodyWindow(_DEFAULT_WINDOW_BYTES)
    return BodyWindow(max(_MIN_WINDOW_BYTES, int(link_mbps * 1e6 / 8 * _WINDOW_SECONDS)))


class BodyWindow:
    """Receive window shared by all large bodies in flight to this host.

    The receiving daemon requests the bytes of a body at the rate of its link.  Older transfers take
    precedence, so that the first body is complete as early as possible.

    Example:
        transfer = window.open(length)
        requested = await transfer.request()    # bytes that the sender may send now
        transfer.record_received(requested)
    """

    def __init__(self, size: int) -> None:
        self._free = size
        self._max_per_transfer = max(_MIN_REQUEST_BYTES, int(size * _MAX_TRANSFER_SHARE))
        self._waiters: list[BodyTransfer] = []
        self._opened = 0

    @property
    def free(self) -> int:
        """Bytes of the window that are not in flight."""
        return self._free

    def open(self, length: int) -> BodyTransfer:
        """Start the transfer of a body of `length` bytes."""
        self._opened += 1
        return BodyTransfer(self, self._opened, length)

    def _available_for(self, transfer: BodyTransfer) -> int:
        """Return how many bytes a transfer may request now, 0 if none."""
        first = min((each.number for each in self._waiters), default=transfer.number)
        if first < transfer.number:
            return 0
        granted = min(self._free, self._max_per_transfer - transfer.in_flight, transfer.remaining)
        return granted if granted >= min(_MIN_REQUEST_BYTES, transfer.remaining) else 0

    def _reserve(self, size: int) -> None:
        self._free -= size

    def _release(self, size: int) -> None:
        self._free += size
        for transfer in sorted(self._waiters, key=lambda each: each.number):
            if not self._available_for(transfer):
                return
            transfer.wake()


@define(eq=False)
class BodyTransfer:
    """Transfer of one body; the caller must call `end`."""

    _window: BodyWindow
    #: Sequence number; transfers with lower numbers take precedence.
    number: int
    #: Bytes that have not been requested yet.
    remaining: int
    #: Bytes that were requested and have not been received.
    in_flight: int = 0
    _is_ended: bool = False
    _wake_event: anyio.Event | None = field(default=None)

    def try_request(self) -> int:
        """Reserve and return bytes to request now; 0 if the window is full or nothing remains."""
        granted = 0 if self._is_ended else self._window._available_for(self)
        self.remaining -= granted
        self.in_flight += granted
        self._window._reserve(granted)
        return granted

    async def request(self) -> int:
        """Like `try_request`, but wait for the window; 0 if the transfer ends meanwhile."""
        while not (granted := self.try_request()) and not self._is_ended and self.remaining:
            self._wake_event = anyio.Event()
            self._window._waiters.append(self)
            try:
                await self._wake_event.wait()
            finally:
                self._window._waiters.remove(self)
        return granted

    def wake(self) -> None:
        """Wake the task that waits in `request`."""
        if self._wake_event is not None:
            self._wake_event.set()

    def record_received(self, size: int) -> None:
        """Release received bytes to the window; bytes beyond those requested are ignored."""
        size = min(size, self.in_flight)
        self.in_flight -= size
        self._window._release(size)

    def end(self) -> None:
        """End the transfer, complete or not, and release its bytes; idempotent."""
        self._is_ended = True
        self.wake()
        self.record_received(self.in_flight)
