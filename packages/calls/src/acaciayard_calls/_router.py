"""Matches calls to the routes of the configuration in force."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from attrs import frozen

from acaciayard_resources import (
    ANY_HOST,
    PRIORITIES,
    Configuration,
    DomainPolicy,
    DrainOrder,
    RetryPolicy,
    Route,
    Service,
    TimeoutPolicy,
)

__all__ = ["Plan", "Router"]

_NO_RETRY: Final = RetryPolicy(name="none", attempts=1, budget_percent=0.0)
_DEFAULT_TIMEOUT: Final = TimeoutPolicy(name="default")


@frozen
class Plan:
    """Everything that one configuration says about a call; fixed for the life of the call."""

    #: The route that matched.
    route: Route
    #: Its service.
    service: Service
    #: How it is retried.
    retry: RetryPolicy
    #: How long it may take.
    timeout: TimeoutPolicy
    #: Priority class as an index of `PRIORITIES`.
    priority: int
    #: The configuration.
    configuration: Configuration


class Router:
    """The routes of one configuration, indexed for matching.

    The longest path wins; of equal paths a route for the very host wins over one for any host, and
    a route for the very method over one for any.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._plans: dict[tuple[str, str, str], Plan] = {}
        for route in configuration.all_of(Route):
            plan = self._plan(route)
            for method in route.methods or ("",):
                self._plans[(route.host, route.path.rstrip("/"), method)] = plan
        self._drained = frozenset(
            (order.host, order.service) for order in configuration.all_of(DrainOrder)
        )
        self._domains = {policy.name: policy for policy in configuration.all_of(DomainPolicy)}

    @property
    def configuration(self) -> Configuration:
        """The configuration that is matched against."""
        return self._configuration

    def _plan(self, route: Route) -> Plan:
        configuration = self._configuration
        service = configuration.find(Service, route.service)
        assert service is not None, "no accepted configuration has a dangling route"
        return Plan(
            route=route,
            service=service,
            retry=configuration.find(RetryPolicy, route.retry) or _NO_RETRY,
            timeout=configuration.find(TimeoutPolicy, route.timeout) or _DEFAULT_TIMEOUT,
            priority=PRIORITIES.index(route.priority),
            configuration=configuration,
        )

    def match(self, *, host: str, path: str, method: str) -> Plan | None:
        """The plan for a call, or `None` when no route matches."""
        name = host.partition(":")[0]
        for prefix in _prefixes(path):
            for candidate in (name, ANY_HOST):
                for verb in (method, ""):
                    plan = self._plans.get((candidate, prefix, verb))
                    if plan is not None:
                        return plan
        return None

    def is_drained(self, host: str, service: str) -> bool:
        """Whether a drain order holds for a host and a service."""
        drained = self._drained
        return bool(drained) and ((host, "") in drained or (host, service) in drained)

    def domain_policy(self, domain: str) -> DomainPolicy:
        """How calls are kept within a failure domain."""
        return self._domains.get(domain) or DomainPolicy(name=domain or "default")


def _prefixes(path: str) -> Iterator[str]:
    """The path and its parents, longest first, without trailing slashes; ends with `""`."""
    prefix = path.rstrip("/")
    while prefix:
        yield prefix
        prefix = prefix.rpartition("/")[0]
    yield ""
