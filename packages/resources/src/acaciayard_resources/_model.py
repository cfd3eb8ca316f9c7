"""The resources that operators publish."""

from __future__ import annotations

from typing import Any, Final

import attrs
from attrs import frozen

from ._rules import Choice, Digests, Flag, Names, Number, Reference, Shares, Text, checked

__all__ = [
    "ANY_HOST",
    "KINDS",
    "PRIORITIES",
    "CallerLimit",
    "DomainPolicy",
    "DrainOrder",
    "EntryLimits",
    "Resource",
    "ResourceKey",
    "RetryPolicy",
    "Route",
    "Service",
    "TimeoutPolicy",
    "Workspace",
    "key_of",
    "kind_of",
    "spec_of",
]

#: The priority classes, the first served first.
PRIORITIES: Final = ("interactive", "normal", "bulk")
#: A route's host that matches every `Host` header.
ANY_HOST: Final = "*"

_NAME: Final = Text(longest=100, is_name=True)
_LONGEST_SECONDS: Final = 86_400


@frozen(order=True, cache_hash=True)
class ResourceKey:
    """The identity of a resource; its hash is kept, since versions of thousands are compared."""

    #: Kind, a key of `KINDS` such as `"route"`.
    kind: str
    #: Name, unique within its kind.
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


@frozen
class Service:
    """A group of targets that do the same work, with what is promised for it."""

    #: Name that targets announce and routes refer to.
    name: str = checked(_NAME)
    #: Share of calls to be answered well, in percent; the rest is the error budget.
    objective_percent: float = checked(Number(0, 99.999), default=99.0)
    #: A call counts as answered well when it took at most so many milliseconds.
    objective_ms: float = checked(Number(1, 3_600_000), default=1000.0)
    #: Calls that may wait at one target's daemon.
    queue_length: int = checked(Number(0, 10_000, whole=True), default=64)
    #: Seconds over which a target that has just come gets a growing share of the calls.
    warm_up_s: float = checked(Number(0, 600), default=10.0)


@frozen
class Route:
    """Which calls go to which service, and how."""

    #: Name of the route.
    name: str = checked(_NAME)
    #: Service that answers; it must exist in the same configuration.
    service: str = checked(Reference("service", required=True))
    #: `Host` header to match, or `"*"`.
    host: str = checked(Text(), default=ANY_HOST)
    #: Start of the path to match; the longest match wins.
    path: str = checked(Text(), default="/")
    #: Methods to match; an empty list matches all.
    methods: tuple[str, ...] = checked(Names(), default=())
    #: Whether running a call twice does no harm; only then may it be retried once sent.
    idempotent: bool = checked(Flag(), default=False)
    #: Whether callers must send an `Idempotency-Key`.
    key_required: bool = checked(Flag(), default=False)
    #: Priority class.
    priority: str = checked(Choice(PRIORITIES), default="normal")
    #: Retry policy by name; empty for none.
    retry: str = checked(Reference("retry_policy"), default="")
    #: Timeout policy by name; empty for the built-in one.
    timeout: str = checked(Reference("timeout_policy"), default="")
    #: Milliseconds within which an answer is worth its full value to the caller; 0 for no goal.
    latency_goal_ms: float = checked(Number(0, 3_600_000), default=0.0)
    #: Services that share the calls by weight; empty where `service` gets all of them.
    split: tuple[tuple[str, float], ...] = checked(Shares("service"), default=())
    #: Whether callers need no key of a workspace, where the configuration has workspaces.
    public: bool = checked(Flag(), default=False)


@frozen
class RetryPolicy:
    """How often and how fast a call is tried again."""

    #: Name of the policy.
    name: str = checked(_NAME)
    #: Tries in all, the first included.
    attempts: int = checked(Number(1, 10, whole=True), default=2)
    #: Seconds one try may take.
    per_try_s: float = checked(Number(0.01, _LONGEST_SECONDS), default=5.0)
    #: Retries allowed per hundred calls of the service.
    budget_percent: float = checked(Number(0, 100), default=10.0)
    #: Milliseconds before the first retry; doubled for each further one, with jitter.
    backoff_ms: float = checked(Number(0, 60_000), default=10.0)


@frozen
class TimeoutPolicy:
    """How long a call may take."""

    #: Name of the policy.
    name: str = checked(_NAME)
    #: Seconds for the whole call, retries and the body of the answer included.
    total_s: float = checked(Number(0.01, _LONGEST_SECONDS), default=15.0)
    #: Seconds a body may stand still.
    idle_s: float = checked(Number(0.1, _LONGEST_SECONDS), default=30.0)


@frozen
class CallerLimit:
    """How much one caller may ask for, per daemon it talks to."""

    #: The caller, as in its `X-Caller` header.
    name: str = checked(_NAME)
    #: Calls a second in the long run.
    calls_per_second: float = checked(Number(0.01, 1_000_000), default=100.0)
    #: Calls that may come at once beyond that.
    burst: int = checked(Number(1, 1_000_000, whole=True), default=100)
    #: Calls open at once.
    concurrent: int = checked(Number(1, 1_000_000, whole=True), default=100)


@frozen
class DrainOrder:
    """An order that the targets on a host get no new calls."""

    #: Name of the order.
    name: str = checked(_NAME)
    #: Host to drain.
    host: str = checked(Text())
    #: Service to drain on it; empty for all.
    service: str = checked(Reference("service"), default="")


@frozen
class DomainPolicy:
    """How calls are kept within a failure domain."""

    #: The failure domain.
    name: str = checked(_NAME)
    #: Whether calls from other failure domains may spill over into this one.
    accepts_spill: bool = checked(Flag(), default=True)
    #: Load of the own domain, in percent of its slots, from which calls spill over.
    spill_percent: float = checked(Number(1, 1000), default=80.0)


@frozen
class EntryLimits:
    """What callers may send to an entry, and how long they may take."""

    #: Name; the limits named `"default"` hold on every host.
    name: str = checked(_NAME)
    #: Bytes of the first line and all header fields of a request.
    head_bytes: int = checked(Number(1024, 1 << 20, whole=True), default=32 * 1024)
    #: Bytes of a body; 0 for no limit.
    body_bytes: int = checked(Number(0, 1 << 40, whole=True), default=0)
    #: Seconds for the head of a request, from its first byte.
    head_s: float = checked(Number(0.1, 3600), default=75.0)
    #: Seconds that a connection may stay open between two requests.
    idle_s: float = checked(Number(0.1, 86_400), default=75.0)


@frozen
class Workspace:
    """Callers who share keys, a priority class and a usage cap.

    Once a configuration has workspaces, callers of routes that are not public show the key of one.

    Example:
        Workspace(name="north", keys=(digest_of_key(b"3nr26tta828m"),), calls_per_second=20)
    """

    #: Name, which targets are told.
    name: str = checked(_NAME)
    #: Digests of its keys by `digest_of_key`; the keys themselves stand in no configuration.
    keys: tuple[str, ...] = checked(Digests(), default=())
    #: Priority class of its calls; empty for those of the routes.
    priority: str = checked(Choice(("", *PRIORITIES)), default="")
    #: Calls a second in the long run, by way of all daemons together; 0 for no cap.
    calls_per_second: float = checked(Number(0, 1_000_000), default=0.0)
    #: Calls beyond that in any one of the spans over which operators count, of 5 s where the host's
    #: settings say nothing else.
    burst: int = checked(Number(0, 10_000_000, whole=True), default=0)

    @property
    def has_cap(self) -> bool:
        """Whether its calls are counted."""
        return self.calls_per_second > 0


Resource = (
    Service
    | Route
    | RetryPolicy
    | TimeoutPolicy
    | CallerLimit
    | DrainOrder
    | DomainPolicy
    | EntryLimits
    | Workspace
)

#: Every kind of resource by the name it has in manifests, in the log and in the API.
KINDS: Final[dict[str, type[Resource]]] = {
    "service": Service,
    "route": Route,
    "retry_policy": RetryPolicy,
    "timeout_policy": TimeoutPolicy,
    "caller_limit": CallerLimit,
    "drain_order": DrainOrder,
    "domain_policy": DomainPolicy,
    "entry_limits": EntryLimits,
    "workspace": Workspace,
}
_KIND_OF: Final = {cls: kind for kind, cls in KINDS.items()}


def kind_of(cls: type[Any]) -> str:
    """The name of a kind in manifests, in the log and in the API."""
    return _KIND_OF[cls]


def key_of(resource: Resource) -> ResourceKey:
    """The identity of a resource."""
    return ResourceKey(_KIND_OF[type(resource)], resource.name)


def spec_of(resource: Resource) -> dict[str, Any]:
    """The resource as plain values, as in the log and the API."""
    values = attrs.asdict(resource)
    return {k: list(v) if isinstance(v, tuple) else v for k, v in values.items()}
