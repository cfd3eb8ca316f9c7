"""Rollout orders from operators, and the statuses that are reported back."""

from __future__ import annotations

from abc import ABC, abstractmethod

from attrs import frozen

from acaciayard_logservice import era_of, offset_of

from ._states import Phase, Rollout

__all__ = [
    "RolloutOrder",
    "RolloutStatus",
    "StatusFound",
    "StatusLost",
    "StatusStore",
    "rollout_of",
]


@frozen
class RolloutOrder:
    """An operator's order to move a service to another version."""

    #: Name of the service.
    service: str
    #: The version to move to.
    version: str
    #: Seconds within which the rollout must be decided.
    duration_s: float
    #: Position of the order in the store.
    order: int


@frozen
class RolloutStatus:
    """A rollout status in the store."""

    #: Name of the service.
    service: str
    #: The version of the order.
    version: str
    #: Phase of the rollout.
    phase: Phase
    #: Position of the order; negative if the record does not contain it.
    order: int

    def is_about(self, rollout: Rollout) -> bool:
        """Whether the status is about the order of `rollout`.

        An order that a store has kept when its era changed is at the same offset. If an order was
        lost, its status was lost as well, since that was written later.
        """
        if self.order == rollout.order:
            return True
        return (
            0 <= self.order < rollout.order
            and era_of(self.order) < era_of(rollout.order)
            and offset_of(self.order) == offset_of(rollout.order)
            and self.version == rollout.version
        )


@frozen
class StatusFound:
    """The result of reading a status."""

    #: The newest status of the service; `None` if there is none.
    status: RolloutStatus | None
    #: Position of the end of the store. A conditional write at it fails after any other write, or
    #: if the store has been restored from an older copy since.
    position: int


@frozen
class StatusLost:
    """The store did not respond, or the result of the operation is unknown."""

    #: Description of the error.
    reason: str


class StatusStore(ABC):
    """Store of rollout statuses for operators and for starting daemons."""

    @abstractmethod
    async def read(self, service: str) -> StatusFound | StatusLost:
        """Read the newest status of a service."""

    @abstractmethod
    async def write(self, status: RolloutStatus, *, position: int) -> bool | StatusLost:
        """Write a status at `position`; return `False` if the store has changed since then."""


def rollout_of(order: RolloutOrder, *, base: str = "", age: float = 0.0) -> Rollout:
    """Create the rollout of an order that was just accepted."""
    return Rollout(
        order.service,
        version=order.version,
        base=base,
        order=order.order,
        duration_s=order.duration_s,
        age_s=age,
    )
