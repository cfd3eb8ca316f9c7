"""The replica that one daemon holds of the configuration stream, and its version in force."""

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

#: Records kept for peers that lag behind; a peer that lags further is sent the full state.
_MAX_RECORDS: Final = 1024
#: Accepted changes kept for watches that resume from an earlier version.
_MAX_CHANGES: Final = 1024


@frozen
class AcceptedChange:
    """An accepted change, as watches report it."""

    #: Version that it produced.
    version: int
    #: Identity of the change.
    change_id: str
    #: Resources that it created or replaced.
    puts: tuple[ResourceKey, ...]
    #: Resources that it deleted.
    deletions: tuple[ResourceKey, ...]


@frozen
class _ChainEntry:
    """A record and the digest of the hash chain before it."""

    digest_before: bytes
    payload: bytes


class Holder:
    """Folds records in order and without gaps, and puts complete versions in force.

    A version is put in force once `confirm` has reported that enough daemons hold it and the floor
    has been reached.  The floor is the position up to which this host may have had versions in
    force before its last start; below it, an older version could follow a newer one.
    """

    def __init__(self, invariants: Invariants) -> None:
        self._invariants = invariants
        self._state = START
        self._history: deque[_ChainEntry] = deque(maxlen=_MAX_RECORDS)
        self._changes: deque[AcceptedChange] = deque(maxlen=_MAX_CHANGES)
        self._changes_from = 0
        self._pending: list[Configuration] = []
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
        """The state that results from all records held."""
        return self._state

    @property
    def position(self) -> int:
        """Offset of the next record to fold."""
        return self._state.position

    @property
    def confirmed(self) -> int:
        """Position up to which enough daemons are known to hold all records."""
        return self._confirmed

    @property
    def in_force(self) -> Configuration | None:
        """The configuration that calls are served with, or `None` until recovery has finished."""
        return self._in_force

    @property
    def in_force_version(self) -> int:
        """The version in force, -1 if there is none."""
        return -1 if self._in_force is None else self._in_force.version

    @property
    def floor(self) -> int | None:
        """Position to reach before any version is put in force; `None` while it is unknown."""
        return self._floor

    @property
    def held_because(self) -> str:
        """Why the next record cannot be folded; empty if it can."""
        return self._held_because

    @property
    def changed(self) -> Signal:
        """Notified when the position, the confirmed position or the version in force changes."""
        return self._changed

    def records_from(self, position: int, limit: int) -> list[bytes] | None:
        """At most `limit` records from `position` on, or `None` if they are no longer kept."""
        first = self.position - len(self._history)
        if position < first:
            return None
        index = position - first
        count = min(limit, len(self._history) - index)
        return [self._history[index + step].payload for step in range(count)]

    def matches_digest(self, position: int, digest: bytes) -> bool:
        """Whether the hash chain up to `position` has this digest; true if it is not kept here."""
        if position == self.position:
            matches = digest == self._state.digest
        else:
            index = len(self._history) - (self.position - position)
            known = 0 <= index < len(self._history)
            matches = not known or self._history[index].digest_before == digest
        return self._invariants.expect(matches, Invariant.SAME_RECORDS)

    def changes_after(self, version: int) -> list[AcceptedChange] | None:
        """Accepted changes after a version, or `None` if not all of them are kept."""
        if version < self._changes_from:
            return None
        return [change for change in self._changes if change.version > version]

    @property
    def history_start(self) -> int:
        """The version after which all accepted changes are kept."""
        return self._changes_from

    def on_in_force(self, listener: Callable[[Configuration], None]) -> None:
        """Call `listener` with every configuration put in force from now on."""
        self._listeners.append(listener)

    def on_accepted(self, listener: Callable[[AcceptedChange], None]) -> None:
        """Call `listener` with every accepted change folded from now on."""
        self._accept_listeners.append(listener)

    # --- changing -----------------------------------------------------------------------------

    def fold_records(self, start: int, payloads: Sequence[bytes]) -> int:
        """Fold those of the records that come next; returns how many were folded."""
        folded = 0
        for offset, payload in enumerate(payloads, start=start):
            if offset == self.position and self._fold_next(payload):
                folded += 1
        if folded:
            self._changed.notify()
        return folded

    def _fold_next(self, payload: bytes) -> bool:
        before = self._state
        after = fold(before, payload)
        if isinstance(after, Held):
            self._held_because = after.reason
            return False
        self._held_because = ""
        self._history.append(_ChainEntry(before.digest, payload))
        self._state = after
        if after.version != before.version:
            self._add_change(before, after)
        return True

    def _add_change(self, before: FoldState, after: FoldState) -> None:
        self._pending.append(after.configuration)
        change = _change_between(before, after)
        if len(self._changes) == self._changes.maxlen:
            self._changes_from = self._changes[0].version
        self._changes.append(change)
        for listener in self._accept_listeners:
            listener(change)

    def install_snapshot(self, record: SnapshotRecord) -> bool:
        """Replace the state by a snapshot; returns false if the snapshot is not ahead of it."""
        if record.position <= self.position:
            return False
        self._state = restore(record)
        self._history.clear()
        self._changes.clear()
        self._changes_from = self._state.version
        self._pending = [self._state.configuration]
        self._held_because = ""
        self._changed.notify()
        return True

    def set_floor(self, position: int) -> None:
        """Set the position up to which versions may have been in force before the last start."""
        self._floor = position
        self._put_in_force()

    def confirm(self, position: int) -> None:
        """Note that enough daemons hold all records before `position`."""
        if position > self._confirmed:
            self._confirmed = position
            self._changed.notify()
        self._put_in_force()

    def _put_in_force(self) -> None:
        reached = min(self._confirmed, self.position)
        if self._floor is None or reached < self._floor:
            return
        ready = [c for c in self._pending if c.version <= reached]
        self._pending = [c for c in self._pending if c.version > reached]
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


def _change_between(before: FoldState, after: FoldState) -> AcceptedChange:
    """The accepted change between two consecutive states."""
    old, new = before.configuration, after.configuration
    return AcceptedChange(
        version=after.version,
        change_id=list(after.outcomes)[-1],
        puts=tuple(sorted(k for k, item in new.stored.items() if item.revision == new.version)),
        deletions=tuple(sorted(key for key in old.stored if key not in new.stored)),
    )
