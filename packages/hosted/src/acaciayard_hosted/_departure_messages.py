"""How a departure is kept in the platform's store, and the messages about it between daemons."""

from __future__ import annotations

import hashlib
from typing import Final

from attrs import field, frozen
from attrs.validators import and_, min_len

from acaciayard_logservice import KeyedRecord
from acaciayard_membership import COUNT, NAME, Departure
from acaciayard_wire import MessageCodec, MessageError

__all__ = [
    "DEPARTURE_MESSAGES",
    "DEPARTURE_STREAM",
    "DepartureStored",
    "HostDeparture",
    "StoreDeparture",
    "departure_key",
    "pack_departure",
    "unpack_departure",
]

#: The keyed stream of departures.
DEPARTURE_STREAM: Final = "keyed.departures"
#: Bytes of a key before it is written in hexadecimal.
_KEY_BYTES: Final = 16


@frozen
class HostDeparture:
    """A departure of a target, with the host of the target."""

    #: Name of the host.
    host: str = field(validator=and_(NAME, min_len(1)))
    #: Name of the target.
    target: str = field(validator=and_(NAME, min_len(1)))
    #: Start time in Unix milliseconds, see `Departure`.
    born: int = field(validator=COUNT)
    #: Whether the target reports that time.
    is_exact: bool

    @property
    def departure(self) -> Departure:
        """The departure without its host."""
        return Departure(self.target, self.born, is_exact=self.is_exact)


@frozen
class StoreDeparture(HostDeparture):
    """A datagram that asks a daemon to write a departure for one that the store turns away."""


@frozen
class DepartureStored(HostDeparture):
    """A datagram that answers `StoreDeparture`: the store has the departure."""


DEPARTURE_MESSAGES: Final[dict[int, type]] = {
    67: StoreDeparture,
    68: DepartureStored,
}
_CODEC: Final = MessageCodec({1: HostDeparture})


def departure_key(host: str, target: str) -> str:
    """Return the key of a target's departure; names may be longer than a key."""
    name = f"{host}\0{target}".encode()
    return hashlib.blake2b(name, digest_size=_KEY_BYTES).hexdigest()


def pack_departure(host: str, departure: Departure) -> bytes:
    """Encode a departure as the value of its record."""
    packed = HostDeparture(host, departure.target, departure.born, departure.is_exact)
    return _CODEC.encode(packed)


def unpack_departure(record: KeyedRecord) -> HostDeparture:
    """Decode the departure in a record; raises `MessageError` if it holds none."""
    unpacked = _CODEC.decode(record.value)
    assert isinstance(unpacked, HostDeparture)
    if record.key != departure_key(unpacked.host, unpacked.target):
        raise MessageError("the key is not that of the departure")
    return unpacked
