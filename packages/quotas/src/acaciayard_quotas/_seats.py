"""Ownership of the seats of a workspace, as one daemon sees it.

Rendezvous hashing chooses the owner of a seat among the running daemons. At most one daemon may
grant tokens of a seat at a time, although views of the membership differ for a while:

* A daemon that has departed keeps its seats for `HANDOVER_DELAY`, during which nobody grants their
  tokens. If it was only cut off by a network partition, it has noticed by then that it receives no
  messages, and grants nothing more.
* A daemon that has started, has been isolated, or takes over the seat of a departed daemon grants
  nothing for as long as tokens of the previous owner may still be held.
* Daemons that failed without leaving may still run on the other side of a partition. Each side then
  refills its buckets in proportion to its share of all daemons, so that the sides together never
  exceed the full rate.
"""

from __future__ import annotations

import hashlib
import math
from typing import Final

from acaciayard_timers import TimerService

from ._limits import MAX_TOKEN_TTL

__all__ = ["HANDOVER_DELAY", "Seats"]

#: Seconds for which a departed daemon keeps its seats.
HANDOVER_DELAY: Final = 5.0
#: Seconds without a message from any other daemon after which this one considers itself isolated.
#: About once a second each daemon is probed, and receives responses to its own probes.
_ISOLATION_TIMEOUT: Final = 2.5
#: Seconds for which a failed daemon counts as possibly running on the other side of a partition.
_FAILED_RETENTION: Final = 600.0


def _rank(workspace: str, seat: int, host: str) -> bytes:
    text = f"{workspace}\0{seat}\0{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class Seats:
    """The seat owners as one daemon sees them.

    Example:
        seats.note_present("oslo-3")
        seats.owner_of("north", 0)          # "oslo-3", or `None` while the seat has no owner
    """

    def __init__(self, own: str, *, timers: TimerService) -> None:
        self._own = own
        self._timers = timers
        self._present: set[str] = {own}
        self._departed: dict[str, float] = {}
        self._failed: dict[str, float] = {}
        self._removed: dict[str, float] = {}
        self._owners: dict[tuple[str, int], tuple[bytes, str]] = {}
        self._active_since = timers.now()
        self._last_message_at = -math.inf
        self._is_settled = False

    # --- membership events ------------------------------------------------------------------------

    def note_present(self, host: str) -> None:
        """Note that a daemon is running."""
        self._departed.pop(host, None)
        self._failed.pop(host, None)
        self._add(host)

    def _add(self, host: str) -> None:
        if host in self._present:
            return
        self._present.add(host)
        for (workspace, seat), (rank, _) in tuple(self._owners.items()):
            own = _rank(workspace, seat, host)
            if own < rank:
                self._owners[(workspace, seat)] = (own, host)

    def note_departed(self, host: str, *, has_left: bool) -> None:
        """Note that a daemon has failed, or has announced that it leaves."""
        if host == self._own or host in self._departed:
            return
        self._add(host)
        now = self._timers.now()
        self._departed[host] = now
        if not has_left:
            self._failed[host] = now

    def note_message(self) -> None:
        """Note a message from any other daemon."""
        now = self._timers.now()
        if _ISOLATION_TIMEOUT < now - self._last_message_at < math.inf:
            self._active_since = now  # other daemons may have taken over the seats meanwhile
        self._last_message_at = now

    def settle(self) -> None:
        """Note that this daemon has contacted the other daemons, if there are any."""
        if not self._is_settled:
            self._is_settled = True
            self._active_since = self._timers.now()

    # --- derived state ----------------------------------------------------------------------------

    @property
    def is_isolated(self) -> bool:
        """Whether no other daemon is heard from, although others are known."""
        has_others = self._running > 1 or bool(self._failed)
        return has_others and self._timers.now() - self._last_message_at > _ISOLATION_TIMEOUT

    @property
    def isolated_for(self) -> float:
        """Seconds since the last message from another daemon; 0 while this one is not isolated."""
        if not self.is_isolated:
            return 0.0
        return self._timers.now() - max(self._last_message_at, self._active_since)

    @property
    def count(self) -> int:
        """Number of running daemons and of those that may run on the other side of a partition."""
        self._remove_departed()
        return self._running + len(self._failed)

    @property
    def share(self) -> float:
        """Share of all daemons that run on this side of a partition; 1 without a partition."""
        return self._running / self.count

    @property
    def _running(self) -> int:
        return len(self._present) - len(self._departed)

    def owner_of(self, workspace: str, seat: int) -> str | None:
        """Return the daemon that owns a seat, or `None` while no daemon does."""
        host = self._owner(workspace, seat)[1]
        return None if host in self._departed else host

    def refill_start(self, workspace: str, seat: int) -> float | None:
        """When this daemon may start to refill a seat that it owns; `None` if it may not."""
        rank, host = self._owner(workspace, seat)
        if host != self._own or not self._is_settled or self.is_isolated:
            return None
        start = self._active_since
        for departed, when in self._removed.items():
            if _rank(workspace, seat, departed) < rank:
                start = max(start, when)
        return max(start + MAX_TOKEN_TTL, self._released_at(workspace, seat))

    def _released_at(self, workspace: str, seat: int) -> float:
        """When a seat that this recently started daemon takes over from another one is free."""
        if not self._departed or self._timers.now() - self._active_since >= HANDOVER_DELAY:
            return -math.inf
        others = (host for host in self._present if host != self._own)
        _, previous_owner = min((_rank(workspace, seat, host), host) for host in others)
        return (
            self._departed[previous_owner] + HANDOVER_DELAY
            if previous_owner in self._departed
            else -math.inf
        )

    def _owner(self, workspace: str, seat: int) -> tuple[bytes, str]:
        self._remove_departed()
        ranked = self._owners.get((workspace, seat))
        if ranked is None:
            ranked = min((_rank(workspace, seat, host), host) for host in self._present)
            self._owners[(workspace, seat)] = ranked
        return ranked

    def _remove_departed(self) -> None:
        """Remove daemons that departed at least `HANDOVER_DELAY` ago, reassigning their seats."""
        now = self._timers.now()
        if self._departed:
            for host in [h for h, when in self._departed.items() if now - when >= HANDOVER_DELAY]:
                del self._departed[host]
                self._present.discard(host)
                self._removed[host] = now
                for key in [p for p, (_, owner) in self._owners.items() if owner == host]:
                    del self._owners[key]
        if self._removed:
            old = [h for h, when in self._removed.items() if now - when > 2 * MAX_TOKEN_TTL]
            for host in old:
                del self._removed[host]
        if self._failed:
            for host in [h for h, when in self._failed.items() if now - when > _FAILED_RETENTION]:
                del self._failed[host]
