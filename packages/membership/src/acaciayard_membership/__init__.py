"""Membership: which daemons run, where, and with which targets, as soft state among them."""

from ._detector import DetectorSettings, FailureDetector
from ._exchange import Exchanger, Joined, JoinFailed
from ._gossip import GossipQueue, GossipSender
from ._member import (
    COUNT,
    MAX_COUNT,
    MAX_DEPARTURES,
    MAX_NAME_LENGTH,
    MAX_TARGETS,
    NAME,
    Departure,
    Member,
    MemberState,
    Suspicion,
    TargetInfo,
    TargetState,
    validate_amount,
)
from ._messages import MEMBER_CODEC, MEMBERSHIP_MESSAGES
from ._news import member_log_fields
from ._rendezvous import rendezvous
from ._service import Membership, membership
from ._table import BUCKETS, MemberTable, PeersByDomain

__all__ = [
    "BUCKETS",
    "COUNT",
    "MAX_COUNT",
    "MAX_DEPARTURES",
    "MAX_NAME_LENGTH",
    "MAX_TARGETS",
    "MEMBERSHIP_MESSAGES",
    "MEMBER_CODEC",
    "NAME",
    "Departure",
    "DetectorSettings",
    "Exchanger",
    "FailureDetector",
    "GossipQueue",
    "GossipSender",
    "JoinFailed",
    "Joined",
    "Member",
    "MemberState",
    "MemberTable",
    "Membership",
    "PeersByDomain",
    "Suspicion",
    "TargetInfo",
    "TargetState",
    "member_log_fields",
    "membership",
    "rendezvous",
    "validate_amount",
]
