"""What a field of a resource or of the settings may hold.

A rule stands in the metadata of an `attrs` field; `decode_fields` reads a whole mapping by the
rules of a class and reports everything that is wrong with it.
"""

from __future__ import annotations

import difflib
import re
from collections.abc import Iterator, Mapping
from typing import Any, Final, TypeVar

import attrs
from attrs import frozen

from ._findings import Finding, FindingsError, Place

__all__ = [
    "Choice",
    "Digests",
    "Flag",
    "Names",
    "Number",
    "Reference",
    "Rule",
    "Shares",
    "Text",
    "checked",
    "decode_fields",
    "rule_of",
]

_T = TypeVar("_T")
_RULE: Final = "acaciayard.rule"
#: Hexadecimal digits of a digest.
_DIGEST: Final = re.compile("[0-9a-f]{64}")
_NAME_CHARACTERS: Final = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-_.")


@frozen
class Text:
    """Any text up to a length."""

    #: Longest text allowed, in characters.
    longest: int = 200
    #: Whether the text may be empty.
    may_be_empty: bool = False
    #: Whether the text is a name: lower-case letters, digits, `-`, `_` and `.`.
    is_name: bool = False


@frozen
class Number:
    """A number in a range, both ends included."""

    #: Smallest value.
    least: float
    #: Largest value.
    most: float
    #: Whether it must be whole.
    whole: bool = False


@frozen
class Choice:
    """One of a few words."""

    #: The words.
    words: tuple[str, ...]


@frozen
class Flag:
    """True or false."""


@frozen
class Reference:
    """The name of another resource, or empty for none."""

    #: Kind of the resource that is named.
    kind: str
    #: Whether a name must be given.
    required: bool = False


@frozen
class Names:
    """A list of texts."""

    #: Longest list allowed.
    longest: int = 100


@frozen
class Shares:
    """Names of other resources, each with its weight: `[["novero", 90], ["krajums", 10]]`."""

    #: Kind of the resources that are named.
    kind: str
    #: Longest list allowed.
    longest: int = 16


@frozen
class Digests:
    """A list of SHA-256 digests in hexadecimal digits, for secrets that must not be kept."""

    #: Longest list allowed.
    longest: int = 100


Rule = Text | Number | Choice | Flag | Reference | Names | Shares | Digests


def checked(rule: Rule, *, default: Any = attrs.NOTHING) -> Any:
    """An `attrs` field that holds what `rule` allows."""
    return attrs.field(default=default, metadata={_RULE: rule})


def rule_of(attribute: attrs.Attribute[Any]) -> Rule:
    """The rule of a field made by `checked`."""
    rule: Rule = attribute.metadata[_RULE]
    return rule


def decode_fields(
    cls: type[_T], values: Mapping[str, Any], *, place: Place, lines: Mapping[str, int] = {}
) -> _T:
    """An instance of `cls` made of `values`; raises `FindingsError` with all that is wrong.

    `lines` tells the line of each key where the source has lines.
    """

    def where(key: str) -> Place:
        line = lines.get(key, place.line)
        return place.at(key).with_changes(line=line)

    attributes = {a.name: a for a in attrs.fields(cls) if _RULE in a.metadata}  # type: ignore[arg-type]
    findings: list[Finding] = []
    accepted: dict[str, Any] = {}
    for key in values:
        if key not in attributes:
            findings.append(_unknown(where(key), key, list(attributes)))
    for name, attribute in attributes.items():
        if name not in values:
            if attribute.default is attrs.NOTHING:
                findings.append(Finding(where(name), "is missing", f"add a line {name} = …"))
            continue
        value = values[name]
        problems = list(_problems(rule_of(attribute), value, where(name)))
        findings.extend(problems)
        if not problems:
            accepted[name] = _frozen(value)
    if findings:
        raise FindingsError.of(findings)
    return cls(**accepted)


def _frozen(value: Any) -> Any:
    """Lists as tuples, at every depth."""
    if isinstance(value, list | tuple):
        return tuple(_frozen(item) for item in value)
    return value


def _unknown(place: Place, key: str, known: list[str]) -> Finding:
    close = difflib.get_close_matches(key, known, n=1)
    remedy = f"did you mean {close[0]}?" if close else f"known here: {', '.join(known)}"
    return Finding(place, "is not known", remedy)


def _problems(rule: Rule, value: Any, place: Place) -> Iterator[Finding]:
    match rule:
        case Text():
            yield from _text_problems(rule, value, place)
        case Number():
            yield from _number_problems(rule, value, place)
        case Choice(words):
            if value not in words:
                yield Finding(place, f"{value!r} is not one of them", f"use {', '.join(words)}")
        case Flag():
            if not isinstance(value, bool):
                yield Finding(place, f"{value!r} is no truth value", "use true or false")
        case Reference(kind, required):
            if not isinstance(value, str) or (required and not value):
                yield Finding(place, f"{value!r} names nothing", f"give the name of a {kind}")
        case Names(longest):
            if not isinstance(value, list | tuple) or not all(isinstance(v, str) for v in value):
                yield Finding(place, f"{value!r} is no list of texts", 'use ["a", "b"]')
            elif len(value) > longest:
                yield Finding(place, f"has {len(value)} items", f"use at most {longest}")
        case Digests(longest):
            yield from _digest_problems(longest, value, place)
        case Shares(kind, longest):
            yield from _share_problems(kind, longest, value, place)


def _digest_problems(longest: int, value: Any, place: Place) -> Iterator[Finding]:
    """What is wrong with a list of digests; wrong items are not shown, they may be secrets."""
    if not isinstance(value, list | tuple):
        yield Finding(place, "is no list of digests", 'use ["<64 hexadecimal digits>"]')
        return
    if len(value) > longest:
        yield Finding(place, f"has {len(value)} items", f"use at most {longest}")
    remedy = "give the 64 lower-case hexadecimal digits of the secret's SHA-256"
    for index, item in enumerate(value):
        where = place.with_changes(path=f"{place.path}[{index}]")
        if item == "":
            yield Finding(where, "is empty", remedy)
        elif not isinstance(item, str) or not _DIGEST.fullmatch(item):
            yield Finding(where, "is no digest", remedy)


def _share_problems(kind: str, longest: int, value: Any, place: Place) -> Iterator[Finding]:
    remedy = f'use a list of a {kind} and a weight each, like [["a", 90], ["b", 10]]'
    if not isinstance(value, list | tuple) or len(value) > longest:
        yield Finding(place, f"{value!r} is no list of up to {longest} shares", remedy)
        return
    for item in value:
        if not (isinstance(item, list | tuple) and len(item) == 2 and isinstance(item[0], str)):
            yield Finding(place, f"{item!r} is no share", remedy)
        elif isinstance(item[1], bool) or not isinstance(item[1], int | float) or item[1] < 0:
            yield Finding(place, f"{item[1]!r} is no weight", "use a number from 0 up")


def _text_problems(rule: Text, value: Any, place: Place) -> Iterator[Finding]:
    if not isinstance(value, str):
        yield Finding(place, f"{value!r} is no text", "put it in quotes")
    elif not value and not rule.may_be_empty:
        yield Finding(place, "is empty", "give a text")
    elif len(value) > rule.longest:
        yield Finding(place, f"has {len(value)} characters", f"use at most {rule.longest}")
    elif rule.is_name and not _NAME_CHARACTERS.issuperset(value):
        yield Finding(place, f"{value!r} is no name", "use a-z, 0-9, '-', '_' and '.'")


def _number_problems(rule: Number, value: Any, place: Place) -> Iterator[Finding]:
    if isinstance(value, bool) or not isinstance(value, int | float):
        yield Finding(place, f"{value!r} is no number", "write it without quotes")
    elif rule.whole and not isinstance(value, int):
        yield Finding(place, f"{value!r} is not whole", "leave out the fraction")
    elif not rule.least <= value <= rule.most:
        yield Finding(place, f"{value} is out of range", f"use {rule.least:g} to {rule.most:g}")
