"""Mappings with changed copies that cost what is changed."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Final, TypeVar

__all__ = ["Layered", "patched"]

_K = TypeVar("_K")
_V = TypeVar("_V")

#: Entries up to which a mapping is copied: that costs no more than a layer.
_SMALL: Final = 128
#: Entries of a layer from which it is merged with what is below it.  A copy of 10,000 entries takes
#: as long as some twenty steps, so that each step bears a few hundredths of it.
_LARGEST_LAYER: Final = 512


class Layered(Mapping[_K, _V]):
    """A mapping below, and over it a layer with what differs; neither changes any more.

    Example:
        patched({"a": 1, "b": 2}, {"a": 3, "b": None})     # {"a": 3}
    """

    __slots__ = ("_below", "_layer")

    def __init__(self, below: Mapping[_K, _V], layer: Mapping[_K, _V | None]) -> None:
        self._below = below
        self._layer = layer

    def __getitem__(self, key: _K) -> _V:
        if key not in self._layer:
            return self._below[key]
        value = self._layer[key]
        if value is None:
            raise KeyError(key)
        return value

    def get(self, key: _K, default: _V | None = None) -> _V | None:  # type: ignore[override]
        """The value of a key, without an exception where there is none."""
        if key not in self._layer:
            return self._below.get(key, default)
        value = self._layer[key]
        return default if value is None else value

    def __contains__(self, key: object) -> bool:
        if key in self._layer:
            return self._layer[key] is not None  # type: ignore[index]
        return key in self._below

    def __iter__(self) -> Iterator[_K]:
        for key in self._below:
            if key not in self._layer or self._layer[key] is not None:
                yield key
        for key, value in self._layer.items():
            if value is not None and key not in self._below:
                yield key

    def __len__(self) -> int:
        length = len(self._below)
        for key, value in self._layer.items():
            length += (value is not None) - (key in self._below)
        return length

    def merged_with(self, changes: Mapping[_K, _V | None]) -> Layered[_K, _V] | None:
        """A copy with these changes too, `None` where its layer would be too large."""
        if len(self._layer) + len(changes) > _LARGEST_LAYER:
            return None
        return Layered(self._below, {**self._layer, **changes})


def patched(known: Mapping[_K, _V], changes: Mapping[_K, _V | None]) -> Mapping[_K, _V]:
    """A copy with some entries changed, or taken out where the new value is `None`.

    `known` must not change any more: the copy may stand on it.
    """
    if not changes:
        return known
    if isinstance(known, Layered):
        merged = known.merged_with(changes)
        if merged is not None:
            return merged
    elif len(known) > _SMALL and len(changes) <= _LARGEST_LAYER:
        return Layered(known, changes)
    copy = dict(known)
    for key, value in changes.items():
        if value is None:
            copy.pop(key, None)
        else:
            copy[key] = value
    return copy
