"""Orders read from a restored store that may lack a later order."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from acaciayard_logservice import era_of, offset_of
from acaciayard_timers import TimerService

from ._book import ORDER_HOLD_SECONDS, RolloutBook
from ._fleet import Fleet
from ._orders import RolloutOrder, RolloutStatus, StatusLost, StatusStore, rollout_of
from ._states import Rollout

__all__ = ["HeldOrders"]


@frozen
class _HeldOrder:
    """An order that may be older than the known one."""

    #: The order.
    order: RolloutOrder
    #: When it was read, on the clock of the timer service.
    since: float


class HeldOrders:
    """Holds an order of a later era of the store until it is known not to be an older one.

    `begin` receives an order that is not older, with the previously known rollout and the order's
    age.
    """

    def __init__(
        self,
        *,
        book: RolloutBook,
        fleet: Fleet,
        store: StatusStore,
        timers: TimerService,
        begin: Callable[[RolloutOrder, Rollout | None, float], None],
        note: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._book = book
        self._fleet = fleet
        self._store = store
        self._timers = timers
        self._begin = begin
        self._note = note
        self._held: dict[str, _HeldOrder] = {}

    @property
    def has_any(self) -> bool:
        """Whether any order is held."""
        return bool(self._held)

    @property
    def newest(self) -> int:
        """Position of the newest order that is held, 0 if there is none."""
        return max((held.order.order for held in self._held.values()), default=0)

    def drop(self, service: str) -> None:
        """Drop the held order of a service, as another one was accepted."""
        self._held.pop(service, None)

    @staticmethod
    def may_be_older(order: RolloutOrder, known: Rollout) -> bool:
        """Whether an order of a later era may have been given before the known one."""
        is_other_era = era_of(order.order) != era_of(known.order)
        return is_other_era and not rollout_of(order).is_rewrite_of(known)

    def hold(self, order: RolloutOrder) -> None:
        """Hold an order until the known one is written again; ignore it if it is surely older."""
        is_older = self._book.is_superseded(order.service, order.order, order.version)
        held = self._held.get(order.service)
        if not is_older and (held is None or held.order != order):
            self._held[order.service] = _HeldOrder(order, self._timers.now())
        fields = {"service": order.service, "version": order.version, "older": is_older}
        self._note("rollout_order_held", fields)

    def recheck(self) -> None:
        """Drop held orders older than the known one, and begin those that are later."""
        for service, held in list(self._held.items()):
            known = self._book.find(service)
            if known is not None and known.order >= held.order.order:
                del self._held[service]
                self._note_dropped(held.order, "an order at this position or a later one is known")
            elif known is None or not self.may_be_older(held.order, known):
                del self._held[service]
                self._begin(held.order, known, self._timers.now() - held.since)

    async def release(self) -> None:
        """Begin orders that were held long enough, unless a status shows that they are older.

        Only the leading daemon begins an order; the others learn of it through updates.
        """
        for service, held in list(self._held.items()):
            age = self._timers.now() - held.since
            if age < ORDER_HOLD_SECONDS or not self._fleet.leads():
                continue
            found = await self._store.read(service)
            if isinstance(found, StatusLost) or self._held.get(service) is not held:
                continue
            del self._held[service]
            known = self._book.find(service)
            if known is not None and self._is_older(held.order, known, found.status):
                self._note_dropped(held.order, "a status shows that it was given before")
            else:
                self._begin(held.order, known, age)

    def _is_older(self, order: RolloutOrder, known: Rollout, status: RolloutStatus | None) -> bool:
        """Whether a status shows that an order was begun before the known one.

        Another daemon, which may not have known any order, may have begun it since. Only positions
        of one era tell which order came first; of the positions of two eras, the later one wins, as
        it does when daemons exchange what they know.
        """
        if status is None or not status.is_about(rollout_of(order)):
            return False
        positions = self._book.former_positions(known.service, known.order) | {known.order}
        comparable = [each for each in positions if era_of(each) == era_of(status.order)]
        return status.order < max(comparable, default=known.order)

    def _note_dropped(self, order: RolloutOrder, reason: str) -> None:
        self._note(
            "rollout_order_dropped",
            {
                "service": order.service,
                "version": order.version,
                "order": offset_of(order.order),
                "era": era_of(order.order) or None,
                "reason": reason,
            },
        )
