"""A whole configuration: an immutable set of resources with its version."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, TypeVar

from attrs import evolve, field, frozen

from ._model import Resource, ResourceKey, kind_of
from ._table import ResourceTable, Stored

__all__ = ["ABSENT", "EMPTY", "Configuration", "Stored"]

#: Revision of a resource that does not exist.
ABSENT: Final = 0

_R = TypeVar("_R", bound=Resource)


@frozen
class Configuration:
    """One version: all of its resources, never part of them.

    Example:

        configuration.find(Service, "novero")     # the service, or None
    """

    #: Version; it grows with every accepted change, and 0 is the empty configuration.
    version: int
    #: Resources by identity.
    stored: Mapping[ResourceKey, Stored]
    #: The same resources by kind and name.
    _table: ResourceTable = field(init=False, eq=False, repr=False)
    _kinds: Mapping[str, Mapping[str, Stored]] = field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        object.__setattr__(self, "_table", ResourceTable.of(self.stored))
        object.__setattr__(self, "_kinds", self._table.kinds)

    def patched(self, version: int, changes: Mapping[ResourceKey, Stored | None]) -> Configuration:
        """A later version with some resources changed, or taken out where there is `None`."""
        return Configuration(version, self._table.patched(changes))

    def changed_since(self, earlier: Configuration) -> tuple[ResourceKey, ...] | None:
        """The resources that differ, `None` where this one was not patched from `earlier`."""
        return self._table.changed_since(earlier._table)

    def with_changes(self, **changes: Any) -> Configuration:
        """A copy with some attributes changed."""
        return evolve(self, **changes)

    def find(self, cls: type[_R], name: str) -> _R | None:
        """The resource of a class by name, or `None`."""
        item = self._kinds[kind_of(cls)].get(name)
        return item.resource if item is not None else None  # type: ignore[return-value]

    def all_of(self, cls: type[_R]) -> Iterator[_R]:
        """All resources of a class."""
        for item in self._kinds[kind_of(cls)].values():
            yield item.resource  # type: ignore[misc]

    def has(self, kind: str, name: str) -> bool:
        """Whether there is a resource of a kind with this name."""
        return name in self._kinds[kind]

    def revision_of(self, key: ResourceKey) -> int:
        """Revision of a resource, `ABSENT` where it does not exist."""
        item = self.stored.get(key)
        return item.revision if item is not None else ABSENT


#: The configuration before the first change.
EMPTY: Final = Configuration(version=0, stored=MappingProxyType({}))
