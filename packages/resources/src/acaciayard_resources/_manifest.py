"""Manifests: the resources of a deployment as a TOML file.

[[service]]
name = "novero"

[[route]]
name = "histories"
path = "/histories"
service = "novero"
idempotent = true
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from typing import Any, Final

from attrs import field, frozen

from ._configuration import Configuration, Stored
from ._findings import Finding, FindingsError, Place
from ._model import KINDS, Resource, ResourceKey, key_of
from ._records import Deletion, Proposal, Put, decode_resource

__all__ = ["Change", "Manifest", "changes_between", "parse_manifest", "proposal_for"]

_TABLE: Final = re.compile(r"^\s*\[\[\s*([a-z_]+)\s*\]\]")
_KEY: Final = re.compile(r"^\s*([A-Za-z_][A-Za-z0-9_-]*)\s*=")


@frozen
class Manifest:
    """The resources of one file, with the line on which each of them starts."""

    #: Resources in the order of the file.
    resources: tuple[Resource, ...]
    #: Places by identity.
    places: dict[ResourceKey, Place] = field(factory=dict)

    def locate(self, finding: Finding) -> Finding:
        """The finding with the line of its resource, where the manifest holds that."""
        kind, _, rest = finding.place.path.partition(".")
        name = rest.rpartition(".")[0] or rest
        known = self.places.get(ResourceKey(kind, name)) or self.places.get(ResourceKey(kind, rest))
        if known is None:
            return finding
        place = finding.place.with_changes(source=known.source, line=known.line)
        return finding.with_changes(place=place)


@frozen
class _Table:
    """The lines of one `[[kind]]` table."""

    kind: str
    line: int
    keys: dict[str, int] = field(factory=dict)


def _tables(text: str) -> Iterator[_Table]:
    table: _Table | None = None
    for number, line in enumerate(text.splitlines(), start=1):
        if heading := _TABLE.match(line):
            if table is not None:
                yield table
            table = _Table(heading.group(1), number)
        elif table is not None and (key := _KEY.match(line)):
            table.keys.setdefault(key.group(1), number)
    if table is not None:
        yield table


def parse_manifest(text: str, *, source: str = "manifest.toml") -> Manifest:
    """Read a manifest; raises `FindingsError` with everything that is wrong in the whole file."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        place = Place(source=source, line=_line_in(str(error)))
        raise FindingsError.of(
            [Finding(place, f"is no TOML: {error}", "mend the syntax")]
        ) from error
    return _Reader(source, text).read(document)


def _line_in(message: str) -> int:
    found = re.search(r"at line (\d+)", message)
    return int(found.group(1)) if found else 0


class _Reader:
    """Reads one parsed document and collects its findings."""

    def __init__(self, source: str, text: str) -> None:
        self._source = source
        self._tables: dict[str, list[_Table]] = {}
        for table in _tables(text):
            self._tables.setdefault(table.kind, []).append(table)
        self._findings: list[Finding] = []
        self._resources: dict[ResourceKey, Resource] = {}
        self._places: dict[ResourceKey, Place] = {}

    def read(self, document: dict[str, Any]) -> Manifest:
        for kind, tables in document.items():
            if kind not in KINDS:
                remedy = f"use [[{']], [['.join(KINDS)}]]"
                self._report(self._place(kind, 0), f"there is no kind {kind!r}", remedy)
            elif not isinstance(tables, list):
                self._report(self._place(kind, 0), "is no list of tables", f"use [[{kind}]]")
            else:
                for index, values in enumerate(tables):
                    self._read_table(kind, index, values)
        if self._findings:
            raise FindingsError.of(self._findings)
        return Manifest(tuple(self._resources.values()), self._places)

    def _report(self, place: Place, message: str, remedy: str) -> None:
        self._findings.append(Finding(place, message, remedy))

    def _table(self, kind: str, index: int) -> _Table:
        tables = self._tables.get(kind, [])
        return tables[index] if index < len(tables) else _Table(kind, 0)

    def _place(self, kind: str, index: int) -> Place:
        return Place(source=self._source, line=self._table(kind, index).line, path=kind)

    def _read_table(self, kind: str, index: int, values: Any) -> None:
        place = self._place(kind, index)
        if not isinstance(values, dict):
            self._report(place, "is no table", f"use [[{kind}]]")
            return
        place = place.at(str(values.get("name", index)))
        try:
            resource = decode_resource(
                kind, values, place=place, lines=self._table(kind, index).keys
            )
        except FindingsError as findings:
            self._findings.extend(findings.items)
            return
        key = key_of(resource)
        if key in self._resources:
            first = self._places[key].line
            self._report(place, f"stands already on line {first}", "keep one of them")
            return
        self._resources[key] = resource
        self._places[key] = place


@frozen
class Change:
    """The difference of one resource between a manifest and a configuration."""

    #: The resource.
    key: ResourceKey
    #: Its form in the manifest; `None` when it is to be deleted.
    wanted: Resource | None
    #: Its present form; `None` when it does not exist.
    present: Stored | None

    @property
    def verb(self) -> str:
        """`create`, `update` or `delete`."""
        if self.present is None:
            return "create"
        return "delete" if self.wanted is None else "update"


def changes_between(
    manifest: Manifest, configuration: Configuration, *, prune: bool
) -> tuple[Change, ...]:
    """What applying the manifest would change; with `prune` also what it would delete."""
    changes = []
    wanted_keys = set()
    for resource in manifest.resources:
        key = key_of(resource)
        wanted_keys.add(key)
        present = configuration.stored.get(key)
        if present is None or present.resource != resource:
            changes.append(Change(key, resource, present))
    if prune:
        for key, item in sorted(configuration.stored.items()):
            if key not in wanted_keys:
                changes.append(Change(key, None, item))
    return tuple(changes)


def proposal_for(
    changes: tuple[Change, ...], *, change_id: str, author: str, time: float
) -> Proposal:
    """The proposal that makes `changes`, conditional on what was read."""
    puts = []
    deletions = []
    for change in changes:
        revision = change.present.revision if change.present is not None else 0
        if change.wanted is not None:
            puts.append(Put(change.wanted, revision))
        else:
            deletions.append(Deletion(change.key, revision))
    return Proposal(
        change_id=change_id, author=author, time=time, puts=tuple(puts), deletions=tuple(deletions)
    )
