"""Messages between the membership parts of daemons.

Members travel as bytes made by `MEMBER_CODEC`: a record is packed once by its owner and passed on
unopened, and a record that is known already is recognised without opening it.
"""

from __future__ import annotations

from typing import Final

from attrs import field, frozen

from acaciayard_wire import MessageCodec

from ._member import PORT, Member, is_ip

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
    """Are you there?"""

    #: Chosen by the asker; the answer carries it back.
    number: int
    #: Host of the asker.
    host: str
    #: Log position that the asker holds.
    position: int
    #: Packed members that may be news.
    updates: list[bytes]


@frozen
class Ack:
    """I am here."""

    #: Number of the probe.
    number: int
    #: Host that answers.
    host: str
    #: Log position that it holds.
    position: int
    #: Packed members that may be news.
    updates: list[bytes]
    #: Stands for all that it knows: equal numbers mean equal tables; 0 where it does not tell.
    summary: int = 0


@frozen
class ProbeRequest:
    """Ask that member for me; its answer is to be passed on."""

    #: Number for the answer to carry back.
    number: int
    #: IP number of the member.
    ip: str = field(validator=is_ip)
    #: Control port of the member.
    port: int = field(validator=PORT)


@frozen
class Gossip:
    """News that was not asked for."""

    #: Packed members.
    updates: list[bytes]


@frozen
class DigestOffer:
    """First message of an exchange: digests of all I know, by bucket."""

    #: One number per bucket.
    digests: list[int]


@frozen
class DigestReply:
    """What I know in the buckets that differ; tell me what you know there."""

    #: The buckets.
    buckets: list[int]
    #: Packed members in them.
    updates: list[bytes]


@frozen
class Records:
    """Last message of an exchange: what the other end lacks."""

    #: Packed members.
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
