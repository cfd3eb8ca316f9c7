"""The resources of a configuration, with changed copies that cost what is changed."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from attrs import frozen

from ._layered import patched
from ._model import KINDS, Resource, ResourceKey, key_of

__all__ = ["ResourceTable", "Stored"]


@frozen
class Stored:
    """A resource with what is known of its last change."""

    #: The resource.
    resource: Resource
    #: Version of the configuration in which it got its present form.
    revision: int
    #: Who changed it last.
    author: str
    #: When, in seconds since the epoch by the author's daemon; for people only.
    time: float

    @property
    def key(self) -> ResourceKey:
        """The identity of the resource."""
        return key_of(self.resource)


class ResourceTable(Mapping[ResourceKey, Stored]):
    """Resources by identity, kept by kind and name.

    A table that was patched tells what it changed, so that whoever holds what was made of the one
    before looks at those resources alone.

    Example:
        later = table.patched({key: stored, other: None})
        later.changed_since(table)      # (key, other)
    """

    __slots__ = ("_changed", "_identity", "_kinds", "_origin")

    def __init__(
        self,
        kinds: Mapping[str, Mapping[str, Stored]],
        *,
        origin: object = None,
        changed: tuple[ResourceKey, ...] = (),
    ) -> None:
        self._kinds = kinds
        #: Stands for this table in those patched from it, which so keep none before them alive.
        self._identity = object()
        self._origin = origin
        self._changed = changed

    @classmethod
    def of(cls, stored: Mapping[ResourceKey, Stored]) -> ResourceTable:
        """A table of any mapping."""
        if isinstance(stored, ResourceTable):
            return stored
        kinds: dict[str, dict[str, Stored]] = {kind: {} for kind in KINDS}
        for key, item in stored.items():
            kinds[key.kind][key.name] = item
        return cls(kinds)

    @property
    def kinds(self) -> Mapping[str, Mapping[str, Stored]]:
        """The resources by kind and name."""
        return self._kinds

    def patched(self, changes: Mapping[ResourceKey, Stored | None]) -> ResourceTable:
        """A copy with some resources changed, or taken out where there is `None`."""
        by_kind: dict[str, dict[str, Stored | None]] = {}
        for key, item in changes.items():
            by_kind.setdefault(key.kind, {})[key.name] = item
        kinds = dict(self._kinds)
        for kind, changed in by_kind.items():
            kinds[kind] = patched(kinds[kind], changed)
        return ResourceTable(kinds, origin=self._identity, changed=tuple(changes))

    def changed_since(self, earlier: ResourceTable) -> tuple[ResourceKey, ...] | None:
        """What differs from `earlier`; `None` where this one was not patched from it."""
        if earlier is self:
            return ()
        return self._changed if self._origin is earlier._identity else None

    def __getitem__(self, key: ResourceKey) -> Stored:
        try:
            return self._kinds[key.kind][key.name]
        except KeyError:
            raise KeyError(key) from None

    def get(  # type: ignore[override]
        self, key: ResourceKey, default: Stored | None = None
    ) -> Stored | None:
        """The resource of a key, without an exception where there is none."""
        items = self._kinds.get(key.kind)
        return default if items is None else items.get(key.name, default)

    def __iter__(self) -> Iterator[ResourceKey]:
        for kind, items in self._kinds.items():
            for name in items:
                yield ResourceKey(kind, name)

    def __len__(self) -> int:
        return sum(len(items) for items in self._kinds.values())
