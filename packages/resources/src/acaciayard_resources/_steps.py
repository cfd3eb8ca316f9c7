"""The check of a configuration that differs little from one that was found valid.

Each rule can be broken by some changes only, so that a step of one route looks at that route, at
what it names and at the routes that it might shadow, whatever the number of the others:

- A name that leads nowhere: by a resource that is new or changed, or by taking away what is named.
- Policies that contradict each other: by a route that is new or changed, or by a policy that stays
  under its name and changes.  What is new under its name was named by nobody, since that would
  have been a name that leads nowhere.
- Two routes that match the same calls: by a route that is new or changed.
- A key that is held twice: by a workspace that is new or changed; all of them are looked at then.

A step never finds what is wrong; where it is not sure it says so, and `check` looks at everything.
"""

from __future__ import annotations

from collections.abc import Collection, Generator, Mapping
from typing import Final

from attrs import frozen

from ._checks import Match, contradictions_of, matches_of, names_in
from ._configuration import EMPTY, Configuration
from ._keys import double_keys
from ._layered import patched
from ._model import ResourceKey, Route, Workspace

__all__ = ["NOTHING_YET", "ValidConfiguration", "check_step"]

#: Resources that are looked at in one go; some 0.2 ms.
_AT_ONCE: Final = 64


@frozen
class ValidConfiguration:
    """A configuration that was found valid, with what the check of the next one asks of it."""

    #: The configuration.
    configuration: Configuration
    #: How often each resource is named by others, by kind and name; those that are named.
    named: Mapping[tuple[str, str], int]
    #: The route of each match.
    matches: Mapping[Match, str]


#: What a first configuration is a step from.
NOTHING_YET: Final = ValidConfiguration(EMPTY, {}, {})


def check_step(
    before: ValidConfiguration, later: Configuration, changed: Collection[ResourceKey]
) -> Generator[None, None, ValidConfiguration | None]:
    """Whether `later` is valid, where it differs from the one before in the `changed` resources.

    Yields now and then, so that others may run in between.  Returns `None` where it is not sure.
    """
    step = _Step(before, later)
    for number, key in enumerate(changed):
        step.take_away(key)
        if number % _AT_ONCE == _AT_ONCE - 1:
            yield
    for number, key in enumerate(changed):
        if not step.add(key):
            return None
        if number % _AT_ONCE == _AT_ONCE - 1:
            yield
    if not (step.is_all_there(changed) and step.do_changed_policies_fit(changed)):
        return None
    if not step.is_each_key_held_once(changed):
        return None
    return step.result()


class _Step:
    """What a step changes in the counts of names and in the matches."""

    def __init__(self, before: ValidConfiguration, later: Configuration) -> None:
        self._before = before
        self._later = later
        self._named: dict[tuple[str, str], int] = {}
        self._matches: dict[Match, str | None] = {}

    def _count(self, key: tuple[str, str]) -> int:
        known = self._named.get(key)
        return self._before.named.get(key, 0) if known is None else known

    def take_away(self, key: ResourceKey) -> None:
        """Forget what a changed resource was before."""
        item = self._before.configuration.stored.get(key)
        if item is None:
            return
        for named in names_in(item.resource):
            self._named[named] = self._count(named) - 1
        if isinstance(item.resource, Route):
            for match in matches_of(item.resource):
                self._matches[match] = None

    def add(self, key: ResourceKey) -> bool:
        """Look at what a changed resource is now; false where something may be wrong with it."""
        item = self._later.stored.get(key)
        if item is None:
            return True
        for named in names_in(item.resource):
            self._named[named] = self._count(named) + 1
        return not isinstance(item.resource, Route) or self._add_route(item.resource)

    def _add_route(self, route: Route) -> bool:
        for match in matches_of(route):
            if self._route_of(match) is not None:
                return False
            self._matches[match] = route.name
        return next(contradictions_of(route, self._later), None) is None

    def _route_of(self, match: Match) -> str | None:
        if match in self._matches:
            return self._matches[match]
        return self._before.matches.get(match)

    def is_all_there(self, changed: Collection[ResourceKey]) -> bool:
        """Whether all that is named is there, of what was taken away or is named otherwise now."""
        has = self._later.has
        return all(count == 0 or has(*key) for key, count in self._named.items()) and not any(
            self._count((key.kind, key.name)) and not has(key.kind, key.name) for key in changed
        )

    def do_changed_policies_fit(self, changed: Collection[ResourceKey]) -> bool:
        """Whether routes fit the policies that have stayed under their names and changed."""
        earlier = self._before.configuration.stored
        policies = {
            (key.kind, key.name)
            for key in changed
            if key.kind in _POLICIES and key in earlier and key in self._later.stored
        }
        if not policies:
            return True
        return not any(
            finding
            for route in self._later.all_of(Route)
            if policies.intersection(names_in(route))
            for finding in contradictions_of(route, self._later)
        )

    def is_each_key_held_once(self, changed: Collection[ResourceKey]) -> bool:
        """Whether no key of a workspace is held twice, where workspaces have changed."""
        if not any(key.kind == _WORKSPACE for key in changed):
            return True
        return next(double_keys(self._later.all_of(Workspace)), None) is None

    def result(self) -> ValidConfiguration:
        """The configuration, valid now."""
        named = {key: count or None for key, count in self._named.items()}
        return ValidConfiguration(
            self._later,
            patched(self._before.named, named),
            patched(self._before.matches, self._matches),
        )


#: The kind of workspaces.
_WORKSPACE: Final = "workspace"
#: Kinds of resources that a route has to fit.
_POLICIES: Final = frozenset({"retry_policy", "timeout_policy"})
