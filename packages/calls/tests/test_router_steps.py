"""Incremental routers, which reuse the unchanged plans of the router before them.

Each must match calls like a router that is built from scratch.  So must the earlier routers, since
calls that started under an earlier version still use its router, also while versions follow each
other quickly with one changed route each.
"""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from acaciayard_resources import (
    Configuration,
    ResourceKey,
    ResourceTable,
    RetryPolicy,
    Route,
    Service,
    Stored,
    TimeoutPolicy,
    key_of,
)
from acaciayard_routing import Plan, Router

HOSTS = ["*", "x"]
PATHS = ["/p/", "/q/", "/"]
BASE = (
    Service(name="a"),
    Service(name="b"),
    RetryPolicy(name="r"),
    TimeoutPolicy(name="t"),
)
#: Match criteria of the routes, all different, so that no two routes match the same calls.
MATCH_KEYS = [
    (host, path, methods) for host in HOSTS for path in PATHS for methods in ((), ("GET",))
]


def stored(resource: Any) -> Stored:
    return Stored(resource, 1, "test", 0.0)


def route(index: int, *, service: str = "a", retry: str = "", name: int = 0) -> Route:
    host, path, methods = MATCH_KEYS[index]
    return Route(
        name=f"n{index}-{name}",
        host=host,
        path=path,
        methods=methods,
        service=service,
        retry=retry,
        idempotent=True,
        timeout="t",
    )


ROUTES = st.builds(
    route,
    st.integers(0, len(MATCH_KEYS) - 1),
    service=st.sampled_from(["a", "b"]),
    retry=st.sampled_from(["", "r"]),
    name=st.integers(0, 1),
)
POLICIES = st.one_of(
    st.builds(TimeoutPolicy, name=st.just("t"), total_s=st.integers(1, 3)),
    st.builds(RetryPolicy, name=st.just("r"), attempts=st.integers(1, 3)),
    st.builds(Service, name=st.just("a"), queue_length=st.integers(1, 3)),
)
UPDATES = st.lists(st.lists(st.tuples(ROUTES | POLICIES, st.booleans()), max_size=3), max_size=9)


def initial_configuration() -> Configuration:
    resources = [*BASE, *(route(index) for index in range(len(MATCH_KEYS)))]
    return Configuration(1, ResourceTable.of({key_of(each): stored(each) for each in resources}))


def changes_of(configuration: Configuration, update: list[Any]) -> dict[ResourceKey, Stored | None]:
    """Returns changes after which no two routes match the same calls."""
    changes: dict[ResourceKey, Stored | None] = {}
    for resource, is_deleted in update:
        if isinstance(resource, Route):
            for other in configuration.all_of(Route):
                if (other.host, other.path, other.methods) == (
                    resource.host,
                    resource.path,
                    resource.methods,
                ):
                    changes[key_of(other)] = None
            for key, item in list(changes.items()):
                if item is not None and item.resource.name.startswith(
                    resource.name.partition("-")[0] + "-"
                ):
                    changes[key] = None
            changes[key_of(resource)] = None if is_deleted else stored(resource)
        else:
            changes[key_of(resource)] = stored(resource)
    return changes


def plans_of(router: Router) -> list[Plan | None]:
    return [
        router.match(host=host, path=path + "z", method=method)
        for host in ("x", "y")
        for path in PATHS
        for method in ("GET", "PUT")
    ]


class IncrementalRouterTest(unittest.TestCase):
    @given(UPDATES, st.booleans())
    def test_each_router_matches_like_a_new_one(
        self, updates: list[Any], lists_changes: bool
    ) -> None:
        """Also where a configuration does not list its changes."""
        configuration = initial_configuration()
        router = Router(configuration)
        routers = [(router, plans_of(router))]
        for version, update in enumerate(updates, start=2):
            configuration = configuration.patched(version, changes_of(configuration, update))
            if not lists_changes:
                configuration = Configuration(version, dict(configuration.stored))
            router = Router(configuration, router)
            routers.append((router, plans_of(Router(configuration))))
            for each, expected in routers:
                self.assertEqual(plans_of(each), expected)

    def test_only_routes_that_name_a_new_policy_are_planned_again(self) -> None:
        configuration = initial_configuration()
        router = Router(configuration)
        new = route(3, retry="new")
        policy = RetryPolicy(name="new")
        changes = {key_of(new): stored(new), key_of(policy): stored(policy)}
        with_changes = configuration.patched(2, changes)
        without_changes = Configuration(2, dict(with_changes.stored))
        for name, next_configuration in (("patched", with_changes), ("rebuilt", without_changes)):
            with self.subTest(name):
                plan_spy = mock.Mock(side_effect=Router._plan, autospec=True)
                with mock.patch.object(
                    Router, "_plan", lambda *parts, plan_spy=plan_spy: plan_spy(*parts)
                ):
                    Router(
                        next_configuration, Router(configuration) if name == "rebuilt" else router
                    )
                self.assertEqual(plan_spy.call_count, 1 + len(MATCH_KEYS) * (name == "rebuilt"))


if __name__ == "__main__":
    unittest.main()
