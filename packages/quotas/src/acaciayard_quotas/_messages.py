"""Datagrams by which daemons request, grant and return tokens."""

from __future__ import annotations

import math
from typing import Final

from attrs import field, frozen
from attrs.validators import and_, ge, lt

__all__ = ["QUOTA_MESSAGES", "TokenRequest", "TokenResponse", "TokenReturn"]

_SECONDS: Final = and_(ge(0.0), lt(math.inf))


@frozen
class TokenRequest:
    """Asks the owner of a seat for tokens, each of which allows one call of the workspace."""

    #: Host that sends the request.
    host: str
    #: Number that the sender never uses twice within one process lifetime; the response repeats it.
    number: int
    #: Name of the workspace.
    workspace: str
    #: Index of the seat that is asked.
    seat: int = field(validator=ge(0))
    #: Tokens wanted.
    wanted: int = field(validator=ge(1))
    #: Calls that the sender has refused on its own since its last request.
    refused: int = field(default=0, validator=ge(0))


@frozen
class TokenResponse:
    """The response to a `TokenRequest`."""

    #: Host that sends the response.
    host: str
    #: Number of the request.
    number: int
    #: Tokens granted, which may be 0.
    granted: int = field(validator=ge(0))
    #: Seconds after which the tokens expire, counted from when the request was sent.
    ttl: float = field(default=0.0, validator=_SECONDS)
    #: Seconds for which the sender of the request should not ask this seat again.
    backoff: float = field(default=0.0, validator=_SECONDS)
    #: Seconds after which a caller that is refused now should retry.
    retry_after: float = field(default=0.0, validator=_SECONDS)
    #: Whether the daemon that was asked considers itself the owner of the seat, and may grant.
    is_owner: bool = True


@frozen
class TokenReturn:
    """Returns granted tokens that were not spent and never will be."""

    #: Host that the tokens were granted to.
    host: str
    #: Number of the request that they were granted for.
    number: int
    #: Name of the workspace.
    workspace: str
    #: Index of the seat that granted the tokens.
    seat: int = field(validator=ge(0))
    #: Tokens returned.
    count: int = field(validator=ge(1))


QUOTA_MESSAGES: Final[dict[int, type]] = {
    80: TokenRequest,
    81: TokenResponse,
    82: TokenReturn,
}
