"""The records of membership: what daemons publish about themselves and their targets."""

from __future__ import annotations

import math
from enum import IntEnum
from ipaddress import IPv4Address
from typing import Any, Final

import attrs
from attrs import evolve, field, frozen
from attrs.validators import and_, ge, in_, instance_of, le, max_len, min_len

from acaciayard_wire import Address

__all__ = [
    "COUNT",
    "MAX_COUNT",
    "MAX_DEPARTURES",
    "MAX_NAME_LENGTH",
    "MAX_TARGETS",
    "NAME",
    "PORT",
    "Departure",
    "Member",
    "MemberState",
    "Suspicion",
    "TargetInfo",
    "TargetState",
    "validate_amount",
    "validate_ip",
]

#: Maximum length of a name, in characters; names of hosts, targets and services have some tens.
MAX_NAME_LENGTH: Final = 250
#: Maximum of targets on one host; usually it has one or two, and a few that are draining.
MAX_TARGETS: Final = 300
#: Maximum of departures in one record: a host has one or two targets, and a record with more of the
#: longest names would be too large for a datagram.
MAX_DEPARTURES: Final = 24
#: Maximum of suspicions in one record; daemons publish fewer, the bound guards against bad records.
_MAX_SUSPICIONS: Final = 100
#: Length of the fingerprint of a request, in bytes.
_FINGERPRINT_BYTES: Final = 8
#: Validates the name of a host, target, service or version; empty where there is none.
NAME: Final = and_(instance_of(str), max_len(MAX_NAME_LENGTH))
#: Largest number that a record may hold.
MAX_COUNT: Final = 2**63 - 1
#: Validates a whole number that is not negative.
COUNT: Final = and_(instance_of(int), ge(0), le(MAX_COUNT))
#: Validates a port number; 0 where there is no such port.
PORT: Final = and_(instance_of(int), ge(0), le(65535))


def validate_ip(_message: object, _attribute: attrs.Attribute[str], value: str) -> None:
    """Validate an IPv4 address.

    Host names are rejected: resolving one would block, and no caller can wait for it.
    """
    IPv4Address(value)  # raises ValueError


def validate_amount(_record: object, attribute: attrs.Attribute[float], value: float) -> None:
    """Validate a number that is finite and not negative."""
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"{attribute.name} is {value}")


class MemberState(IntEnum):
    """State of a daemon; between records of equal incarnation and sequence the greater one wins."""

    #: It answers probes.
    ALIVE = 0
    #: It did not answer a probe, and may still refute the suspicion.
    SUSPECT = 1
    #: It did not refute the suspicion in time and counts as failed.
    DEAD = 2
    #: It announced that it leaves.
    LEFT = 3


class TargetState(IntEnum):
    """State of a target, as the target reports it."""

    #: Accepts calls.
    READY = 0
    #: Has just started and accepts few calls.
    STARTING = 1
    #: Finishes its running calls and accepts no new ones.
    DRAINING = 2
    #: Its daemon admits no calls to it at present; the target itself remains registered.
    CLOSED = 3


@frozen
class TargetInfo:
    """What a daemon publishes about one of its targets."""

    #: Service that it belongs to.
    service: str = field(validator=NAME)
    #: Name of the target, unique on its host.
    name: str = field(validator=NAME)
    #: Number of calls that it runs concurrently.
    slots: int = field(validator=COUNT)
    #: State that it reports.
    state: int = field(default=TargetState.READY, validator=in_(frozenset(TargetState)))
    #: Start time in Unix milliseconds by the clock of its host; 0 if it does not report one.
    born: int = field(default=0, validator=COUNT)
    #: Version of its software; empty if it does not report one.
    version: str = field(default="", validator=NAME)
    #: Remaining seconds of its slow start when it was first registered, as it reports them.
    cold_s: float = field(default=0.0, validator=validate_amount)


@frozen
class Departure:
    """A start of a target that is leaving or has left, and must not be sent calls again.

    It applies to earlier starts of the target as well, and to none that begins later.
    """

    #: Name of the target.
    target: str = field(validator=and_(NAME, min_len(1)))
    #: Start time in Unix milliseconds by the clock of its host.
    born: int = field(validator=COUNT)
    #: Whether the target reports that time; otherwise it is when the leaving was reported.
    is_exact: bool = True


@frozen
class Suspicion:
    """Evidence that a request ends targets: it was running when they ended.

    Of two suspicions about one request the one with the greater `age` wins.
    """

    #: Hash of the content of the request.
    fingerprint: bytes = field(
        validator=and_(instance_of(bytes), min_len(_FINGERPRINT_BYTES), max_len(_FINGERPRINT_BYTES))
    )
    #: Incremented with each new observation.
    sequence: int = field(validator=COUNT)
    #: Consecutive targets that ended while running it; 0 once a target has answered it.
    ends: int = field(validator=COUNT)

    def with_changes(self, **changes: Any) -> Suspicion:
        """A copy with the given attributes changed."""
        return evolve(self, **changes)

    def next(self, *, ends: int) -> Suspicion:
        """The suspicion after one more observation, with `ends` consecutive ends.

        Both numbers stop at the largest one that a record may hold.
        """
        return self.with_changes(
            sequence=min(self.sequence + 1, MAX_COUNT), ends=min(ends, MAX_COUNT)
        )

    @property
    def age(self) -> tuple[int, int]:
        """Sort key among all suspicions about this request; the greatest is the newest."""
        return (self.sequence, self.ends)


@frozen
class Member:
    """A record of one daemon.

    Records come from other daemons, and perhaps from other writers.  The validators raise
    `ValueError` for values out of bounds, so that no other code needs to check states or ports.

    Records of one daemon are ordered by `(incarnation, sequence, state)`; the greatest wins,
    whatever the order in which they arrive.
    """

    #: Name of the host.
    host: str = field(validator=and_(NAME, min_len(1)))
    #: Increases with every start of the daemon.
    incarnation: int = field(validator=COUNT)
    #: Increases with every change that the daemon makes to its record.
    sequence: int = field(validator=COUNT)
    #: State of the daemon, a `MemberState`.
    state: int = field(validator=in_(frozenset(MemberState)))
    #: Failure domain.
    domain: str = field(validator=NAME)
    #: IPv4 address of all its ports.
    ip: str = field(validator=validate_ip)
    #: Port for control messages between daemons, TCP and UDP.
    control_port: int = field(validator=PORT)
    #: Port for calls between daemons.
    call_port: int = field(validator=PORT)
    #: Port for operators and for the targets on its host.
    api_port: int = field(validator=PORT)
    #: Targets on its host.
    targets: tuple[TargetInfo, ...] = field(default=(), validator=max_len(MAX_TARGETS))
    #: Whether the platform's store answers its requests.
    has_store_access: bool = True
    #: Bandwidth of its link in Mbit/s, 0 if unknown.
    link_mbps: float = field(default=0.0, validator=validate_amount)
    #: Whether its address is published in the platform's store.
    is_listed: bool = False
    #: Its own observations of requests that were running when targets ended.
    suspicions: tuple[Suspicion, ...] = field(default=(), validator=max_len(_MAX_SUSPICIONS))
    #: Starts of targets on its host that must not be sent calls again, also after it has restarted.
    departures: tuple[Departure, ...] = field(default=(), validator=max_len(MAX_DEPARTURES))
    #: Whether `departures` includes what earlier processes on its host knew.
    knows_departures: bool = False

    def with_changes(self, **changes: Any) -> Member:
        """A copy with the given attributes changed."""
        return evolve(self, **changes)

    @property
    def age(self) -> tuple[int, int, int]:
        """Sort key among all records of this daemon; the greatest is the newest."""
        return (self.incarnation, self.sequence, self.state)

    @property
    def is_present(self) -> bool:
        """Whether it counts as running: alive or suspect, but neither dead nor left."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def control(self) -> Address:
        """Address of its control port."""
        return Address(self.ip, self.control_port)

    @property
    def calls(self) -> Address:
        """Address of its port for calls from other daemons."""
        return Address(self.ip, self.call_port)
