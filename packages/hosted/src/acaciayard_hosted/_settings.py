"""Settings of a daemon for its host."""

from __future__ import annotations

from typing import Any

from attrs import evolve, field, frozen

from acaciayard_quotas import CapRules
from acaciayard_wire import Address

__all__ = ["HostedSettings", "RetrySettings", "RolloutSettings"]


@frozen
class RetrySettings:
    """Limits on retries of calls by all daemons together, by service."""

    #: Retries allowed per call of the service.
    ratio: float = 0.2
    #: Additional retries allowed per window, by all daemons together.
    slack: float = 50.0
    #: Length of the window, in seconds.
    window: float = 10.0


@frozen
class RolloutSettings:
    """Limits on the calls sent to an unproven version."""

    #: Largest share of the calls of its service, over all daemons; 0 if operators order no rollouts
    #: and targets of all versions are equivalent.
    exposure_share: float = 0.0


@frozen
class HostedSettings:
    """Identity, addresses and limits of a host."""

    #: Host name, unique in the mesh.
    name: str
    #: Failure domain.
    failure_domain: str
    #: Service whose target runs on this host; empty for none.
    service: str
    #: Control address, used by other daemons.
    control: Address
    #: Address at which other daemons hand over calls.
    calls: Address
    #: Address for requests of callers on this host.
    entry: Address
    #: Address of the platform's readiness checks.
    readiness: Address
    #: Address for announcements of targets on this host.
    announcements: Address
    #: Address that serves metrics.
    metrics: Address
    #: Address of the platform's store.
    store: Address
    #: Address of `calls` as other daemons reach it through address translation on this host; `None`
    #: for the listening address. Its IP address is that of `control`.
    calls_advertised: Address | None = None
    #: Seconds between two announcements of a target.
    announce_every: float = 1.0
    #: Bandwidth of the host's link in Mbit/s, 0 if unknown.
    link_mbps: float = 0.0
    #: Memory that the process may use, in megabytes.
    memory_mb: float = 300.0
    #: Descriptors that the process may have open.
    max_descriptors: int = 4096
    #: Seconds from the stop signal until the process is killed.
    grace: float = 6.0
    #: Limits on retries.
    retries: RetrySettings = field(factory=RetrySettings)
    #: Limits on rollouts.
    rollouts: RolloutSettings = field(factory=RolloutSettings)
    #: Tolerances beyond the cap of a workspace.
    caps: CapRules = field(factory=CapRules)

    def with_changes(self, **changes: Any) -> HostedSettings:
        """Return a copy with some attributes changed."""
        return evolve(self, **changes)
