"""The conductor's interface to the daemons and targets of a mesh."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from attrs import frozen

__all__ = ["Fleet", "MemberStart"]


@frozen
class MemberStart:
    """One process lifetime of a daemon."""

    #: Name of the host.
    host: str
    #: Incarnation number of the daemon.
    incarnation: int


class Fleet:
    """Callables by which a conductor queries the daemons and targets."""

    def __init__(
        self,
        *,
        present: Callable[[], frozenset[MemberStart]],
        lost_within: Callable[[float], frozenset[MemberStart]],
        slots: Callable[[str], Counter[str]],
        hosts: Callable[[str], Counter[str]],
        leads: Callable[[], bool],
        has_majority: Callable[[], bool],
    ) -> None:
        #: Daemons considered running.
        self.present = present
        #: Daemons lost within the given seconds, which may still run on the other side of a
        #: partition.
        self.lost_within = lost_within
        #: Slots of a service by version.
        self.slots = slots
        #: Number of targets of a service by version.
        self.hosts = hosts
        #: Whether this daemon leads.
        self.leads = leads
        #: Whether a majority of all daemons is considered running; a partitioned minority must not
        #: take itself for the whole mesh.
        self.has_majority = has_majority
