"""Checks of a whole configuration, as passes that each look for one class of faults.

A pass says which other passes it depends on; it runs only where those found nothing, so that a
missing service is reported once and not again by every pass that would have used it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Any, ClassVar, Final

import attrs

from ._configuration import Configuration, Stored
from ._findings import Finding, Place
from ._keys import double_keys
from ._model import (
    KINDS,
    Resource,
    ResourceKey,
    RetryPolicy,
    Route,
    TimeoutPolicy,
    Workspace,
)
from ._rules import Reference, Shares, rule_of

__all__ = [
    "CheckPass",
    "ContradictionPass",
    "KeyPass",
    "Match",
    "ReferencePass",
    "ShadowPass",
    "check",
    "contradictions_of",
    "matches_of",
    "names_in",
]

#: Host, path and method of the calls that a route matches, `"*"` for any method.
Match = tuple[str, str, str]

#: Kind of resources that nothing else refers to.
_ROUTE: Final = "route"


class _Difference:
    """What differs between a configuration and an earlier one that was found valid.

    A change is mostly one route among thousands; looking at all of them took 0.15 s of the 0.4 s
    for which a version of 1,200 routes kept a daemon busy, once for each version of a storm.
    """

    def __init__(self, configuration: Configuration, earlier: Configuration | None) -> None:
        before = earlier.stored if earlier is not None else {}
        after = configuration.stored
        self.changed = {key: item for key, item in after.items() if before.get(key) is not item}
        is_same_size = len(after) - sum(key not in before for key in self.changed) == len(before)
        #: Whether something that was there is there no more.
        self.has_removed = not is_same_size
        #: Whether something other than routes has changed.
        self.has_changed_policies = self.has_removed or any(
            key.kind != _ROUTE for key in self.changed
        )


class CheckPass(ABC):
    """One look at a whole configuration."""

    #: Passes that must have found nothing before this one runs.
    depends_on: ClassVar[tuple[type[CheckPass], ...]] = ()

    @abstractmethod
    def findings(self, configuration: Configuration, difference: _Difference) -> Iterator[Finding]:
        """Everything that is wrong with what `difference` says is to be looked at."""


def _place(kind: str, name: str, field: str) -> Place:
    return Place(path=f"{kind}.{name}.{field}")


def _by_kind_and_name(pair: tuple[ResourceKey, Stored]) -> tuple[str, str]:
    """Orders resources as their keys are ordered, without a comparison of keys in Python."""
    return (pair[0].kind, pair[0].name)


def _references_in(cls: type[Any]) -> tuple[tuple[str, Reference | Shares], ...]:
    rules = ((attribute.name, rule_of(attribute)) for attribute in attrs.fields(cls))
    return tuple((name, rule) for name, rule in rules if isinstance(rule, Reference | Shares))


#: The fields of each class that name other resources.  Worked out once: a start reads 1,131 routes,
#: of which each has ten fields.
_REFERENCES: Final = {cls: _references_in(cls) for cls in KINDS.values()}


def names_in(resource: Resource) -> Iterator[tuple[str, str]]:
    """Kind and name of the resources that a resource names."""
    for name, rule in _REFERENCES[type(resource)]:
        named = getattr(resource, name)
        if isinstance(rule, Shares):
            for each, _weight in named:
                yield (rule.kind, each)
        elif named:
            yield (rule.kind, named)


class ReferencePass(CheckPass):
    """Every resource that another one names exists."""

    def findings(self, configuration: Configuration, difference: _Difference) -> Iterator[Finding]:
        looked_at = configuration.stored if difference.has_removed else difference.changed
        for key, item in sorted(looked_at.items(), key=_by_kind_and_name):
            yield from self._of_resource(configuration, key, item.resource)

    def _of_resource(
        self, configuration: Configuration, key: ResourceKey, resource: Resource
    ) -> Iterator[Finding]:
        for name, rule in _REFERENCES[type(resource)]:
            match rule:
                case Reference(kind=kind):
                    named = getattr(resource, name)
                    if named and not configuration.has(kind, named):
                        yield Finding(
                            _place(key.kind, key.name, name),
                            f"there is no {kind} {named!r}",
                            f"create the {kind} in the same change, or name another",
                        )
                case Shares(kind=kind):
                    for named, _weight in getattr(resource, name):
                        if not configuration.has(kind, named):
                            yield Finding(
                                _place(key.kind, key.name, name),
                                f"there is no {kind} {named!r}",
                                f"create the {kind} in the same change, or take its share out",
                            )


def contradictions_of(route: Route, configuration: Configuration) -> Iterator[Finding]:
    """What cannot hold together in a route and the policies that it names."""
    retry = configuration.find(RetryPolicy, route.retry)
    timeout = configuration.find(TimeoutPolicy, route.timeout)
    if retry is not None and retry.attempts > 1 and not route.idempotent:
        yield Finding(
            _place("route", route.name, "retry"),
            f"policy {retry.name!r} retries, but the route is not idempotent",
            "take the retry policy out, or set idempotent = true if a repeat is harmless",
        )
    if retry is not None and timeout is not None and timeout.total_s < retry.per_try_s:
        yield Finding(
            _place("route", route.name, "timeout"),
            f"{timeout.total_s:g} s in all is shorter than one try of" f" {retry.per_try_s:g} s",
            f"raise total_s of {timeout.name!r} or lower per_try_s of {retry.name!r}",
        )
    if route.key_required and route.idempotent:
        yield Finding(
            _place("route", route.name, "key_required"),
            "an idempotent route needs no Idempotency-Key",
            "set only one of idempotent and key_required",
        )
    if not route.path.startswith("/"):
        yield Finding(
            _place("route", route.name, "path"),
            f"{route.path!r} does not start with '/'",
            f"use '/{route.path}'",
        )


class ContradictionPass(CheckPass):
    """Policies of a route that cannot hold together."""

    depends_on = (ReferencePass,)

    @staticmethod
    def _looked_at(configuration: Configuration, difference: _Difference) -> Iterator[Route]:
        if difference.has_changed_policies:
            yield from configuration.all_of(Route)
            return
        for item in difference.changed.values():
            if isinstance(item.resource, Route):
                yield item.resource

    def findings(self, configuration: Configuration, difference: _Difference) -> Iterator[Finding]:
        for route in self._looked_at(configuration, difference):
            yield from contradictions_of(route, configuration)


def matches_of(route: Route) -> Iterator[Match]:
    """What calls a route matches; no two routes may share one of them."""
    for method in route.methods or ("*",):
        yield (route.host, route.path, method)


class ShadowPass(CheckPass):
    """Two routes that match exactly the same calls."""

    def findings(self, configuration: Configuration, difference: _Difference) -> Iterator[Finding]:
        if not self._has_doubles(configuration):
            return
        seen: dict[Match, str] = {}
        for route in sorted(configuration.all_of(Route), key=lambda r: r.name):
            for match in matches_of(route):
                other = seen.setdefault(match, route.name)
                if other != route.name:
                    yield Finding(
                        _place("route", route.name, "path"),
                        f"matches the same calls as route {other!r}",
                        "give one of them another host, path or method",
                    )

    @staticmethod
    def _has_doubles(configuration: Configuration) -> bool:
        matches = [m for route in configuration.all_of(Route) for m in matches_of(route)]
        return len(set(matches)) < len(matches)


class KeyPass(CheckPass):
    """No key is held twice."""

    def findings(self, configuration: Configuration, difference: _Difference) -> Iterator[Finding]:
        if any(isinstance(item.resource, Workspace) for item in difference.changed.values()):
            yield from double_keys(configuration.all_of(Workspace))


_PASSES: Final[tuple[CheckPass, ...]] = (
    ReferencePass(),
    ContradictionPass(),
    ShadowPass(),
    KeyPass(),
)


def check(
    configuration: Configuration, *, earlier: Configuration | None = None
) -> tuple[Finding, ...]:
    """Run all passes and return every finding; empty for a valid configuration.

    `earlier` is a configuration that was found valid: what stands in both is not looked at again.

    Example:
        check(later, earlier=earlier) == check(later)
    """
    difference = _Difference(configuration, earlier)
    findings: list[Finding] = []
    failed: set[type[CheckPass]] = set()
    for step in _PASSES:
        if failed.intersection(step.depends_on):
            continue
        found = list(step.findings(configuration, difference))
        if found:
            failed.add(type(step))
            findings.extend(found)
    return tuple(findings)
