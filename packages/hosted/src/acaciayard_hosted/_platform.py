"""The interface between the daemon and an adapter for a platform."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import frozen
from structlog.typing import FilteringBoundLogger

from acaciayard_admission import LocalTargets
from acaciayard_callmodel import Dialect
from acaciayard_http1 import HttpReply, RequestHead
from acaciayard_logservice import KeyedLog, KeyedRecord
from acaciayard_rollouts import RolloutOrder, RolloutStatus
from acaciayard_timers import TimerService
from acaciayard_wire import Traffic

from ._follower import StoreKey
from ._settings import HostedSettings
from ._versions import ConfigurationReader

__all__ = ["Handler", "Platform", "RolloutWords", "StoredDepartures"]

#: Answers HTTP requests at one of the addresses that the platform uses.
Handler = Callable[[RequestHead, bytes], Awaitable[HttpReply]]


class OpenStore(Protocol):
    """Creates the client of the platform's store."""

    def __call__(
        self, settings: HostedSettings, *, timers: TimerService, traffic: Traffic
    ) -> KeyedLog: ...


class StoredDepartures(Protocol):
    """What a handler of announcements waits for before it acknowledges a departure."""

    async def wait_stored(self, target: str) -> bool:
        """Wait until the departure of a target outlives all daemons; return whether it does.

        If not, the report of the target must not be acknowledged; it has taken effect all the same.
        """


class RolloutWords(Protocol):
    """The platform's encoding of rollout orders and rollout status."""

    #: The keyed stream of the status of rollouts.
    status_stream: str

    def status_key(self, service: str) -> str:
        """Return the key of a service's status."""

    def read_order(self, record: KeyedRecord) -> RolloutOrder | None:
        """Decode the order in a record, `None` if the record is about something else.

        Raises `FindingsError` for an order that cannot be used.
        """

    def write_status(self, status: RolloutStatus) -> bytes:
        """Encode a status for the platform."""

    def read_status(self, record: KeyedRecord) -> RolloutStatus | None:
        """Decode the status in a record, `None` if it cannot be read."""


@frozen
class Platform:
    """The adapter of a platform.

    All decisions, state and recovery are the daemon's; an adapter only supplies the platform's
    names and encodings.
    """

    #: Header fields that callers and targets use.
    dialect: Dialect
    #: Location of the configuration in the store.
    configuration: StoreKey
    #: Parses the configuration.
    read_configuration: ConfigurationReader
    #: Creates the client of the store.
    open_store: OpenStore
    #: Creates the handler of targets' announcements; it logs announcements that it cannot use.
    announcements: Callable[[LocalTargets, StoredDepartures, FilteringBoundLogger], Handler]
    #: Encoding of rollout orders, and of the status shown to operators.
    rollouts: RolloutWords
    #: Path of the platform's readiness check.
    readiness_path: bytes
    #: Reads the settings again; raises `FindingsError`.
    read_settings: Callable[[], HostedSettings]
