"""FindingsError: what is wrong with an input, where, and what to do about it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from attrs import evolve, frozen

__all__ = ["NOWHERE", "Finding", "FindingsError", "Place"]

#: Line number of a place that has none.
_NO_LINE: Final = 0


@frozen
class Place:
    """Where in an input something stands."""

    #: The file or other source, such as `"manifest.toml"`; empty when there is none.
    source: str = ""
    #: Line in the source, from 1; 0 where the source has no lines.
    line: int = _NO_LINE
    #: Path inside the input, such as `"route.histories.service"`.
    path: str = ""

    def with_changes(self, **changes: Any) -> Place:
        """A copy with some attributes changed."""
        return evolve(self, **changes)

    def at(self, step: str) -> Place:
        """The place one step further inside."""
        return self.with_changes(path=f"{self.path}.{step}" if self.path else step)

    def __str__(self) -> str:
        position = f"{self.source}:{self.line}" if self.line != _NO_LINE else self.source
        return ": ".join(part for part in (position, self.path) if part)


#: The place of an input that has no place.
NOWHERE: Final = Place()


@frozen
class Finding:
    """One thing that is wrong."""

    #: Where it stands.
    place: Place
    #: What is wrong, without a full stop.
    message: str
    #: What would mend it.
    remedy: str

    def with_changes(self, **changes: Any) -> Finding:
        """A copy with some attributes changed."""
        return evolve(self, **changes)

    def __str__(self) -> str:
        return f"{self.place}: {self.message} (remedy: {self.remedy})"


@frozen
class FindingsError(Exception):
    """Everything that is wrong with an input, reported together.

    Example:

        raise FindingsError.of([Finding(place, "port is missing", "add port = 7400")])
    """

    #: In the order of the input.
    items: tuple[Finding, ...]

    @classmethod
    def of(cls, items: Iterable[Finding]) -> FindingsError:
        """FindingsError made of any iterable."""
        return cls(tuple(items))

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.items)
