"""Forwards calls between daemons: messages, stream pool, client and server."""

from ._messages import (
    CLAIM_MESSAGES,
    ClaimAnswer,
    ClaimRequest,
    OutcomeAnswer,
    OutcomeRequest,
    ReleaseRequest,
)
from ._pool import StreamPool, call_pool
from ._remote import RemoteExchange
from ._server import CallServer

__all__ = [
    "CLAIM_MESSAGES",
    "CallServer",
    "ClaimAnswer",
    "ClaimRequest",
    "OutcomeAnswer",
    "OutcomeRequest",
    "ReleaseRequest",
    "RemoteExchange",
    "StreamPool",
    "call_pool",
]
