"""The token bucket of one seat."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

from attrs import define

from ._limits import SeatLimit

__all__ = ["TokenBucket"]

#: Longest retry delay, in seconds, that a refused caller is given.
_MAX_RETRY_AFTER: Final = 5.0


#: Greatest share of a seat's available tokens that one grant may take, so that a single daemon
#: can't empty the bucket while tokens are scarce.
_MAX_GRANT_SHARE: Final = 0.25


@define
class _Grant:
    """Tokens granted to another daemon that may not have been spent yet."""

    #: Host that holds the tokens, and the number of its request.
    holder: tuple[str, int]
    #: Tokens that have not been returned.
    count: int
    #: When the tokens expire at their holder.
    expires_at: float


class TokenBucket:
    """A token bucket that counts granted tokens as present until they expire.

    Tokens are added at the seat's rate while fewer than its depth exist, in the bucket or at a
    holder. In any time span, therefore, no more tokens can be spent than exist at its start plus
    those added during it, even if messages are lost, delayed or duplicated.

    Example:
        bucket = TokenBucket(limit, refill_from=0.0)
        bucket.grant(("oslo-3", 17), wanted=4, now=1.0, share=1.0)      # 4, or fewer if scarce
    """

    def __init__(self, limit: SeatLimit, *, refill_from: float) -> None:
        self._limit = limit
        self._tokens = 0.0
        self._refilled_at = refill_from
        self._grants: deque[_Grant] = deque()
        self._granted = 0
        self._backlog = 0.0
        self._backlog_at = refill_from

    @property
    def limit(self) -> SeatLimit:
        """The limit of the seat."""
        return self._limit

    @property
    def held_elsewhere(self) -> int:
        """Granted tokens that have neither expired nor been returned."""
        return self._granted

    def tokens(self, *, now: float, share: float) -> float:
        """Refill the bucket at `share` of the rate and return the available tokens."""
        self._expire_grants(now)
        if now > self._refilled_at:
            added = self._limit.rate * share * (now - self._refilled_at)
            headroom = max(0.0, self._limit.depth - self._granted - self._tokens)
            self._tokens += min(added, headroom)
            self._refilled_at = now
        return self._tokens

    def set_limit(self, limit: SeatLimit, *, now: float, share: float) -> None:
        """Apply a changed limit.

        A lower limit removes surplus tokens at once; a higher one adds none.
        """
        self.tokens(now=now, share=share)
        self._limit = limit
        self._tokens = max(0.0, min(self._tokens, limit.depth - self._granted))

    def grant(self, holder: tuple[str, int], *, wanted: int, now: float, share: float) -> int:
        """Grant up to `wanted` tokens for the seat's TTL and return how many were granted."""
        tokens = math.floor(self.tokens(now=now, share=share))
        count = min(wanted, tokens, max(1, math.floor(tokens * _MAX_GRANT_SHARE)))
        if count > 0:
            self._tokens -= count
            self._granted += count
            self._grants.append(_Grant(holder, count, now + self._limit.ttl))
        return max(0, count)

    def take_back(self, holder: tuple[str, int], count: int, *, now: float) -> None:
        """Return unspent tokens to the bucket; tokens that have expired count as spent."""
        self._expire_grants(now)
        for grant in self._grants:
            if grant.holder == holder:
                returned = min(count, grant.count)
                grant.count -= returned
                self._granted -= returned
                self._tokens += returned
                return

    def retry_after(self, refused: float, *, now: float, share: float) -> float:
        """Return the seconds after which `refused` more callers can be served.

        Callers that were refused earlier retry as well, so the delay covers the tokens that all of
        them need.
        """
        rate = max(self._limit.rate * share, 1e-9)
        elapsed = max(0.0, now - self._backlog_at)
        self._backlog = max(0.0, self._backlog - elapsed * rate) + refused
        self._backlog_at = now
        return min(_MAX_RETRY_AFTER, self._backlog / rate)

    def _expire_grants(self, now: float) -> None:
        """Drop expired grants; their tokens were spent or can't be spent any more."""
        while self._grants and self._grants[0].expires_at <= now:
            self._granted -= self._grants.popleft().count
