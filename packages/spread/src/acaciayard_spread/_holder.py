"""What one daemon holds of the configuration stream, and which version it has in force."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

from attrs import frozen

from acaciayard_resources import (
    START,
    Configuration,
    FoldState,
    Held,
    Invariant,
    Invariants,
    ResourceKey,
    SnapshotRecord,
    fold,
    restore,
)
from acaciayard_timers import Signal

__all__ = ["AcceptedChange", "Holder"]

#: Records kept for peers that are a little behind; those further behind get the whole state.
_RECORDS_KEPT: Final = 1024
#: Accepted changes kept for watches that resume.
_CHANGES_KEPT: Final = 1024


@frozen
class AcceptedChange:
    """An accepted change as watches show it."""

    #: Version that it made.
    version: int
    #: Identity of the change.
    change_id: str
    #: Resources that it created or replaced.
    puts: tuple[ResourceKey, ...]
    #: Resources that it deleted.
    deletions: tuple[ResourceKey, ...]


@frozen
class _Link:
    """A record with the digest of the chain before it."""

    digest_before: bytes
    payload: bytes


class Holder:
    """Folds records as they come, in order and without gaps, and swaps whole versions in force.

    A version is put in force when `confirm` tells that enough daemons hold it, and not before the
    holder has reached its floor: the position below which this host may already have run a version
    before its last start.
    """

    def __init__(self, invariants: Invariants) -> None:
        self._invariants = invariants
        self._state = START
        self._links: deque[_Link] = deque(maxlen=_RECORDS_KEPT)
        self._changes: deque[AcceptedChange] = deque(maxlen=_CHANGES_KEPT)
        self._changes_from = 0
        self._waiting: list[Configuration] = []
        self._in_force: Configuration | None = None
        self._confirmed = 0
        self._floor: int | None = None
        self._held_because = ""
        self._changed = Signal()
        self._listeners: list[Callable[[Configuration], None]] = []
        self._accept_listeners: list[Callable[[AcceptedChange], None]] = []

    # --- reading ------------------------------------------------------------------------------

    @property
    def state(self) -> FoldState:
        """What follows from all records held."""
        return self._state

    @property
    def position(self) -> int:
        """Offset of the next record that is needed."""
        return self._state.position

    @property
    def confirmed(self) -> int:
        """Position that enough daemons are known to hold."""
        return self._confirmed

    @property
    def in_force(self) -> Configuration | None:
        """The configuration that calls are served by, `None` until recovery is over."""
        return self._in_force

    @property
    def in_force_version(self) -> int:
        """Version in force, -1 for none."""
        return -1 if self._in_force is None else self._in_force.version

    @property
    def floor(self) -> int | None:
        """Position that must be reached before anything is put in force; `None` if unknown."""
        return self._floor

    @property
    def held_because(self) -> str:
        """Why the next record cannot be folded, empty when it can."""
        return self._held_because

    @property
    def changed(self) -> Signal:
        """Notified with every change of position, confirmation or version in force."""
        return self._changed

    def records_from(self, position: int, limit: int) -> list[bytes] | None:
        """Records from an offset on, or `None` when they are no longer kept here."""
        first = self.position - len(self._links)
        if position < first:
            return None
        index = position - first
        count = min(limit, len(self._links) - index)
        return [self._links[index + step].payload for step in range(count)]

    def agrees(self, position: int, digest: bytes) -> bool:
        """Whether the chain up to `position` has that digest, as far as is known here."""
        if position == self.position:
            same = digest == self._state.digest
        else:
            index = len(self._links) - (self.position - position)
            known = 0 <= index < len(self._links)
            same = not known or self._links[index].digest_before == digest
        return self._invariants.expect(same, Invariant.SAME_RECORDS)

    def changes_after(self, version: int) -> list[AcceptedChange] | None:
        """Accepted changes after a version, or `None` when not all are kept."""
        if version < self._changes_from:
            return None
        return [change for change in self._changes if change.version > version]

    @property
    def history_start(self) -> int:
        """Version after which all accepted changes are kept."""
        return self._changes_from

    def on_in_force(self, listener: Callable[[Configuration], None]) -> None:
        """Call `listener` with every configuration put in force."""
        self._listeners.append(listener)

    def on_accepted(self, listener: Callable[[AcceptedChange], None]) -> None:
        """Call `listener` with every accepted change folded from now on."""
        self._accept_listeners.append(listener)

    # --- changing -----------------------------------------------------------------------------

    def take_records(self, start: int, payloads: Sequence[bytes]) -> int:
        """Fold the records that come next among these; returns how many were new."""
        taken = 0
        for offset, payload in enumerate(payloads, start=start):
            if offset == self.position and self._take(payload):
                taken += 1
        if taken:
            self._changed.notify()
        return taken

    def _take(self, payload: bytes) -> bool:
        before = self._state
        after = fold(before, payload)
        if isinstance(after, Held):
            self._held_because = after.reason
            return False
        self._held_because = ""
        self._links.append(_Link(before.digest, payload))
        self._state = after
        if after.version != before.version:
            self._note_accepted(before, after)
        return True

    def _note_accepted(self, before: FoldState, after: FoldState) -> None:
        self._waiting.append(after.configuration)
        change = _difference(before, after)
        if len(self._changes) == self._changes.maxlen:
            self._changes_from = self._changes[0].version
        self._changes.append(change)
        for listener in self._accept_listeners:
            listener(change)

    def take_snapshot(self, record: SnapshotRecord) -> bool:
        """Jump forward to a snapshot; false when it is not ahead of what is held."""
        if record.position <= self.position:
            return False
        self._state = restore(record)
        self._links.clear()
        self._changes.clear()
        self._changes_from = self._state.version
        self._waiting = [self._state.configuration]
        self._held_because = ""
        self._changed.notify()
        return True

    def set_floor(self, position: int) -> None:
        """Tell up to where this host may have run versions before its last start."""
        self._floor = position
        self._put_in_force()

    def confirm(self, position: int) -> None:
        """Tell that enough daemons hold all records before `position`."""
        if position > self._confirmed:
            self._confirmed = position
            self._changed.notify()
        self._put_in_force()

    def _put_in_force(self) -> None:
        reached = min(self._confirmed, self.position)
        if self._floor is None or reached < self._floor:
            return
        ready = [c for c in self._waiting if c.version <= reached]
        self._waiting = [c for c in self._waiting if c.version > reached]
        if ready:
            self._swap(ready[-1])
        elif self._in_force is None:
            self._swap(START.configuration)

    def _swap(self, configuration: Configuration) -> None:
        if not self._invariants.expect_step(self._in_force, configuration):
            return
        self._in_force = configuration
        self._changed.notify()
        for listener in self._listeners:
            listener(configuration)


def _difference(before: FoldState, after: FoldState) -> AcceptedChange:
    """The accepted change between two states that are one record apart."""
    old, new = before.configuration, after.configuration
    return AcceptedChange(
        version=after.version,
        change_id=list(after.outcomes)[-1],
        puts=tuple(sorted(k for k, item in new.stored.items() if item.revision == new.version)),
        deletions=tuple(sorted(key for key in old.stored if key not in new.stored)),
    )
