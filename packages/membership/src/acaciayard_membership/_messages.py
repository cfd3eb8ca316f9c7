"""Messages of the membership protocol.

Records of members are transferred as bytes that `MEMBER_CODEC` has encoded: the owner packs its
record once, others forward it unchanged, and a known record is recognised without decoding it.
"""

from __future__ import annotations

from typing import Final

from attrs import field, frozen

from acaciayard_wire import MessageCodec

from ._member import PORT, Member, validate_ip

__all__ = [
    "MEMBERSHIP_MESSAGES",
    "MEMBER_CODEC",
    "Ack",
    "DigestOffer",
    "DigestReply",
    "Gossip",
    "Probe",
    "ProbeRequest",
    "Records",
]

MEMBER_CODEC: Final = MessageCodec({1: Member})


@frozen
class Probe:
    """Asks a member for a sign of life."""

    #: Chosen by the sender; the answer repeats it.
    number: int
    #: Host of the sender.
    host: str
    #: Log position that the sender holds.
    position: int
    #: Packed records that may be new to the receiver.
    updates: list[bytes]


@frozen
class Ack:
    """Answers a `Probe`."""

    #: Number of the probe.
    number: int
    #: Host that answers; empty, since the number tells it to the sender of the probe.
    host: str
    #: Log position that it holds.
    position: int
    #: Packed records that may be new to the receiver.
    updates: list[bytes]
    #: Digest of its whole table: equal numbers mean equal tables; 0 if it does not send one.
    summary: int = 0


@frozen
class ProbeRequest:
    """Asks the receiver to probe a member on the sender's behalf and to forward the answer."""

    #: Number that the forwarded answer repeats.
    number: int
    #: IPv4 address of the member.
    ip: str = field(validator=validate_ip)
    #: Control port of the member.
    port: int = field(validator=PORT)


@frozen
class Gossip:
    """Updates sent in a gossip round."""

    #: Packed records.
    updates: list[bytes]


@frozen
class DigestOffer:
    """First message of an exchange: the sender's digests, by bucket."""

    #: One number per bucket.
    digests: list[int]


@frozen
class DigestReply:
    """Second message of an exchange: all records that its sender has in the differing buckets."""

    #: Numbers of the buckets that differ.
    buckets: list[int]
    #: Packed records in these buckets.
    updates: list[bytes]


@frozen
class Records:
    """Last message of an exchange: the records that the other end lacks."""

    #: Packed records.
    updates: list[bytes]


MEMBERSHIP_MESSAGES: Final[dict[int, type]] = {
    1: Probe,
    2: Ack,
    3: ProbeRequest,
    4: Gossip,
    5: DigestOffer,
    6: DigestReply,
    7: Records,
}
