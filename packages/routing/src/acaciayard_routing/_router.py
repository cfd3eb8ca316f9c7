"""Matches calls to the routes of the active configuration."""

from __future__ import annotations

import random
from collections.abc import Generator, Iterator
from typing import Final, TypeVar

from attrs import evolve, frozen

from acaciayard_resources import (
    ANY_HOST,
    PRIORITIES,
    Configuration,
    DomainPolicy,
    DrainOrder,
    ResourceKey,
    RetryPolicy,
    Route,
    Service,
    TimeoutPolicy,
    Workspace,
    kind_of,
    names_in,
)

from ._key_holders import NO_KEY_HOLDERS, KeyHolders

__all__ = ["Plan", "Router"]

_Key = TypeVar("_Key")

#: Routes that are processed before the event loop gets a turn; about 0.3 ms.
_ROUTES_PER_SLICE: Final = 64
_NO_RETRY: Final = RetryPolicy(name="none", attempts=1, budget_percent=0.0)
_DEFAULT_DOMAIN: Final = DomainPolicy(name="default")
_DEFAULT_TIMEOUT: Final = TimeoutPolicy(name="default")


@frozen
class Plan:
    """The settings that apply to a call; they stay the same for its whole life."""

    #: The route that matched.
    route: Route
    #: The service that answers the call, one of several if the route splits its calls.
    service: Service
    #: The retry policy.
    retry: RetryPolicy
    #: The timeout policy.
    timeout: TimeoutPolicy
    #: Priority class, as an index into `PRIORITIES`.
    priority: int
    #: Seconds within which an answer has its full value; 0 if the route has no latency goal.
    latency_goal: float


class _RouteEntry:
    """A route with the plans of its services, which get calls in proportion to their weights.

    Uses smooth weighted round robin: with every call each service gains its weight as credit, and
    the service with the most credit gets the call and loses the sum of all weights.  After any
    number of calls no service is off its share by more than one call, which a random choice
    reaches only after thousands.  The initial credits are random, since many daemons start at the
    same moment.
    """

    def __init__(self, source: Route, plans: tuple[Plan, ...]) -> None:
        #: The route as it stands in the configuration.
        self.source = source
        #: The route without the services whose weight is zero.
        self.route = route = _without_zero_weights(source)
        self.plans = plans
        self._weights = tuple(weight for _, weight in route.split)
        total = sum(self._weights)
        self._credits = [random.uniform(0, total) for _ in self._weights]

    def next_plan(self) -> Plan:
        """Return the plan for the next call."""
        if len(self.plans) == 1:
            return self.plans[0]
        credits = self._credits
        for index, weight in enumerate(self._weights):
            credits[index] += weight
        selected = max(range(len(credits)), key=credits.__getitem__)
        credits[selected] -= sum(self._weights)
        return self.plans[selected]


#: Host, path and method of calls; an empty method stands for any method.
_MatchKey = tuple[str, str, str]


class _SupersededTable:
    """The table of a router whose dict a later router has taken over and changed.

    Holds the replaced entries and looks up all others in the table of the successor.
    """

    def __init__(self, replaced: dict[_MatchKey, _RouteEntry | None], successor: Router) -> None:
        self._replaced = replaced
        self._successor = successor

    def get(self, key: _MatchKey) -> _RouteEntry | None:
        """Return the entry that the table held before the successor took it over."""
        table: _SupersededTable | dict[_MatchKey, _RouteEntry] = self
        while isinstance(table, _SupersededTable):
            if key in table._replaced:
                return table._replaced[key]
            table = table._successor._table
        return table.get(key)


class Router:
    """The routes of one configuration, indexed for matching.

    The longest path wins.  Among equal paths a route for the exact host wins over a route for any
    host, and a route for the exact method over a route for any method.  A path that ends with a
    slash matches only the paths below it.

    Entries that have not changed are reused from an `earlier` router.  If the configuration lists
    its changes, the router takes over the whole table and replaces only the changed entries, so
    that changing one route costs the same with a hundred routes as with ten thousand.  The earlier
    router keeps the replaced entries, and its matches stay the same.
    """

    def __init__(self, configuration: Configuration, earlier: Router | None = None) -> None:
        for _ in self._initialize(configuration, earlier):
            pass

    @classmethod
    def in_slices(
        cls, configuration: Configuration, earlier: Router | None = None
    ) -> Generator[None, None, Router]:
        """Build a router in slices; the generator yields about every millisecond."""
        router = cls.__new__(cls)
        yield from router._initialize(configuration, earlier)
        return router

    def _initialize(
        self, configuration: Configuration, earlier: Router | None
    ) -> Generator[None, None, None]:
        self._configuration = configuration
        self._table: dict[_MatchKey, _RouteEntry] | _SupersededTable = {}
        self._entries_by_name: dict[str, _RouteEntry] = {}
        self._drain_orders = frozenset(
            (order.host, order.service) for order in configuration.all_of(DrainOrder)
        )
        workspaces = tuple(configuration.all_of(Workspace))
        self._key_holders = KeyHolders(workspaces) if workspaces else NO_KEY_HOLDERS
        self._domains = {policy.name: policy for policy in configuration.all_of(DomainPolicy)}
        if earlier is None or not self._patch(earlier):
            yield from self._build(earlier)

    def _build(self, earlier: Router | None) -> Generator[None, None, None]:
        """Build the table from all routes."""
        earlier_entries: dict[str, _RouteEntry] = {}
        policies: frozenset[tuple[str, str]] = frozenset()
        if earlier is not None:
            earlier_entries = earlier._entries_by_name
            policies = _changed_policies(self._configuration, earlier.configuration)
        table: dict[_MatchKey, _RouteEntry] = {}
        for number, route in enumerate(self._configuration.all_of(Route), start=1):
            entry = earlier_entries.get(route.name)
            if (
                entry is None
                or entry.source is not route
                or (policies and not policies.isdisjoint(names_in(route)))
            ):
                entry = self._entry_for(route, entry)
            self._entries_by_name[route.name] = entry
            for key in _match_keys(route):
                table[key] = entry
            if number % _ROUTES_PER_SLICE == 0:
                yield
        self._table = table

    def _patch(self, earlier: Router) -> bool:
        """Take over the table of an earlier router and apply the changes.

        Returns false if that is not possible.  All new entries are built before the table changes.
        """
        changed = self._configuration.changed_since(earlier.configuration)
        table = earlier._table
        if changed is None or isinstance(table, _SupersededTable):
            return False
        changed_entries: dict[str, _RouteEntry | None] = {}
        replacements: dict[_MatchKey, _RouteEntry | None] = {}
        routes = self._affected_routes(changed, earlier)
        for name in routes:
            earlier_route = earlier.configuration.find(Route, name)
            if earlier_route is not None:
                replacements.update((key, None) for key in _match_keys(earlier_route))
        for name in routes:
            route = self._configuration.find(Route, name)
            entry = self._entry_for(route, earlier._entries_by_name.get(name)) if route else None
            changed_entries[name] = entry
            if route is not None:
                replacements.update((key, entry) for key in _match_keys(route))
        earlier._table = _SupersededTable({key: table.get(key) for key in replacements}, self)
        self._table, self._entries_by_name = table, earlier._entries_by_name
        _replace(table, replacements)
        _replace(self._entries_by_name, changed_entries)
        return True

    def _affected_routes(self, changed: tuple[ResourceKey, ...], earlier: Router) -> list[str]:
        """Return the routes that have changed, or that refer to a resource that has changed.

        Only resources that exist in both configurations count, since no earlier route can refer to
        a new one.
        """
        routes = [key.name for key in changed if key.kind == _ROUTE_KIND]
        now, before = self._configuration, earlier.configuration
        policies = {
            (key.kind, key.name)
            for key in changed
            if key.kind in _POLICY_KINDS
            and before.has(key.kind, key.name)
            and now.has(key.kind, key.name)
        }
        if policies:
            routes.extend(
                route.name
                for route in now.all_of(Route)
                if not policies.isdisjoint(names_in(route))
            )
        return routes

    @property
    def configuration(self) -> Configuration:
        """The configuration that the routes come from."""
        return self._configuration

    @property
    def key_holders(self) -> KeyHolders:
        """The index of API keys of this configuration."""
        return self._key_holders

    def _entry_for(self, route: Route, earlier: _RouteEntry | None) -> _RouteEntry:
        names = tuple(name for name, weight in route.split if weight > 0) or (route.service,)
        plans = tuple(self._plan(route, name) for name in names)
        if earlier is None:
            return _RouteEntry(route, plans)
        if earlier.plans == plans:
            earlier.source = route
            return earlier
        entry = _RouteEntry(route, plans)
        if earlier.route.split == entry.route.split:
            entry._credits = earlier._credits
        return entry

    def _plan(self, route: Route, service_name: str) -> Plan:
        configuration = self._configuration
        service = configuration.find(Service, service_name)
        assert service is not None, "no accepted configuration has a dangling route"
        return Plan(
            route=route,
            service=service,
            retry=configuration.find(RetryPolicy, route.retry) or _NO_RETRY,
            timeout=configuration.find(TimeoutPolicy, route.timeout) or _DEFAULT_TIMEOUT,
            priority=PRIORITIES.index(route.priority),
            latency_goal=route.latency_goal_ms / 1000,
        )

    def match(self, *, host: str, path: str, method: str) -> Plan | None:
        """Return the plan for a call, or `None` if no route matches."""
        name = host.partition(":")[0]
        for prefix in _prefixes(path):
            for candidate in (name, ANY_HOST):
                for allowed_method in (method, ""):
                    entry = self._table.get((candidate, prefix, allowed_method))
                    if entry is not None:
                        return entry.next_plan()
        return None

    def drained_hosts(self, service: str) -> frozenset[str]:
        """Return the hosts that a drain order drains, for all services or for this one."""
        if not self._drain_orders:
            return _NO_HOSTS
        return frozenset(host for host, of in self._drain_orders if of in ("", service))

    def domain_policy(self, domain: str) -> DomainPolicy:
        """Return the policy that controls which calls leave or enter a failure domain."""
        return self._domains.get(domain, _DEFAULT_DOMAIN)


_NO_HOSTS: Final[frozenset[str]] = frozenset()


#: The kind of routes, and the kinds of the other resources that a plan is built from.
_ROUTE_KIND: Final = kind_of(Route)
_POLICY_KINDS: Final = tuple(kind_of(cls) for cls in (Service, RetryPolicy, TimeoutPolicy))


def _match_keys(route: Route) -> Iterator[_MatchKey]:
    """Yield the table keys of a route."""
    for method in route.methods or ("",):
        yield (route.host, route.path, method)


def _replace(table: dict[_Key, _RouteEntry], changes: dict[_Key, _RouteEntry | None]) -> None:
    """Apply changed entries to a table; `None` removes an entry."""
    for key, entry in changes.items():
        if entry is None:
            table.pop(key, None)
        else:
            table[key] = entry


def _changed_policies(now: Configuration, before: Configuration) -> frozenset[tuple[str, str]]:
    """Return the resources, other than routes, that plans use and that differ between the two."""
    changed = set()
    for cls in (Service, RetryPolicy, TimeoutPolicy):
        for resource in now.all_of(cls):
            if before.find(cls, resource.name) not in (None, resource):
                changed.add((kind_of(cls), resource.name))
    return frozenset(changed)


def _without_zero_weights(route: Route) -> Route:
    """Return the route without the services whose weight is zero."""
    if all(weight > 0 for _, weight in route.split):
        return route
    return evolve(route, split=tuple(share for share in route.split if share[1] > 0))


def _prefixes(path: str) -> Iterator[str]:
    """Yield the path and its parents, longest first, each with and without its last slash."""
    yield path
    end = path.rfind("/")
    while end >= 0:
        if end + 1 < len(path):
            yield path[: end + 1]
        if end > 0:
            yield path[:end]
        end = path.rfind("/", 0, end)
