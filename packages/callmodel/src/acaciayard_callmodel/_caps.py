"""The interface through which entries enforce the usage caps of workspaces."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

from ._call import NotRun

__all__ = ["NO_CAPS", "UNCOUNTED", "CountedCall", "UsageCaps"]


class CountedCall:
    """A call that its workspace may make; `UsageCaps.give_back` reverts its count."""


#: A call that is not counted for any workspace.
UNCOUNTED: Final = CountedCall()


class UsageCaps(ABC):
    """The usage caps of all workspaces, enforced across all daemons.

    They are checked before the body of a call is read.

    Example:
        counted = await caps.take("north")
        if not isinstance(counted, NotRun) and was_refused_elsewhere:
            caps.give_back(counted)
    """

    @property
    def has_any(self) -> bool:
        """Whether any workspace has a cap, so that calls must be counted."""
        return True

    @abstractmethod
    async def take(self, workspace: str) -> CountedCall | NotRun:
        """Count a call of a workspace; returns a refusal if its cap is exhausted.

        It may wait a few milliseconds for messages of other daemons.
        """

    @abstractmethod
    def give_back(self, counted: CountedCall) -> None:
        """Revert the count of a call that has not reached a target and never will."""


class _NoCaps(UsageCaps):
    @property
    def has_any(self) -> bool:
        return False

    async def take(self, workspace: str) -> CountedCall | NotRun:
        return UNCOUNTED

    def give_back(self, counted: CountedCall) -> None:
        pass


#: Usage caps for configurations in which no workspace has a cap.
NO_CAPS: Final[UsageCaps] = _NoCaps()
