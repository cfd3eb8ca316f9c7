"""Usage caps of workspaces, enforced across all daemons without a central coordinator."""

from ._bucket import TokenBucket
from ._connection import ConnectedCaps
from ._granting import SeatBuckets, SeatOwnershipChange, SeatStatus
from ._limits import MAX_TOKEN_TTL, CapRules, SeatLimit, limit_of
from ._mesh_caps import MeshCaps
from ._messages import QUOTA_MESSAGES, TokenRequest, TokenResponse, TokenReturn
from ._seats import HANDOVER_DELAY, Seats

__all__ = [
    "HANDOVER_DELAY",
    "MAX_TOKEN_TTL",
    "QUOTA_MESSAGES",
    "CapRules",
    "ConnectedCaps",
    "SeatBuckets",
    "MeshCaps",
    "SeatLimit",
    "SeatOwnershipChange",
    "SeatStatus",
    "Seats",
    "TokenResponse",
    "TokenRequest",
    "TokenBucket",
    "TokenReturn",
    "limit_of",
]
