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
from ._retry_loans import RETRY_LOAN_MESSAGES, RetryLoans, RetryShortage
from ._server import CallServer

__all__ = [
    "CLAIM_MESSAGES",
    "CallServer",
    "ClaimAnswer",
    "ClaimRequest",
    "OutcomeAnswer",
    "OutcomeRequest",
    "ReleaseRequest",
    "RETRY_LOAN_MESSAGES",
    "RemoteExchange",
    "RetryLoans",
    "RetryShortage",
    "StreamPool",
    "call_pool",
]
