"""The token buckets of the seats that a daemon owns."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Final

from attrs import frozen

from acaciayard_resources import Workspace
from acaciayard_timers import TimerService

from ._bucket import TokenBucket
from ._limits import CapRules, limit_of
from ._messages import TokenRequest, TokenResponse, TokenReturn
from ._seats import Seats

__all__ = ["SeatBuckets", "SeatOwnershipChange", "SeatStatus"]

#: Shortest and longest time, in seconds, for which a daemon that was granted nothing doesn't ask
#: the seat again. This bounds the requests for a workspace far over its cap: 64 daemons ask a seat
#: at most 640 times a second.
_EMPTY_BACKOFF_RANGE: Final = (0.1, 1.0)


@frozen
class SeatOwnershipChange:
    """This daemon has started or stopped granting tokens for a seat."""

    workspace: str
    seat: int
    is_held: bool


@frozen
class SeatStatus:
    """A snapshot of a seat's token bucket."""

    #: Index of the seat.
    seat: int
    #: Tokens available in the bucket.
    tokens: float
    #: Granted tokens that have neither expired nor been returned.
    held_elsewhere: int
    #: Refill rate in tokens a second.
    rate: float


class SeatBuckets:
    """Grants tokens from the buckets of the seats that this daemon owns.

    No method waits or sends messages.
    """

    def __init__(
        self,
        own: str,
        *,
        seats: Seats,
        rules: CapRules,
        timers: TimerService,
        tell: Callable[[SeatOwnershipChange], None] = lambda _: None,
    ) -> None:
        self._own = own
        self._seats = seats
        self._rules = rules
        self._timers = timers
        self._tell = tell
        self._workspaces: Mapping[str, Workspace] = {}
        self._buckets: dict[tuple[str, int], TokenBucket] = {}
        self._refill_starts: dict[tuple[str, int], float] = {}

    def use(self, workspaces: Mapping[str, Workspace]) -> None:
        """Apply the caps of a new configuration."""
        self._workspaces = workspaces
        now = self._timers.now()
        for key, bucket in tuple(self._buckets.items()):
            workspace = workspaces.get(key[0])
            if workspace is None or key[1] >= limit_of(workspace, self._rules).seats:
                self._drop(key)
            else:
                limit = limit_of(workspace, self._rules)
                bucket.set_limit(limit, now=now, share=self._seats.share)

    def handle_request(self, request: TokenRequest) -> TokenResponse:
        """Grant tokens to the daemon that sent `request`, and build the response."""
        bucket = self._bucket(request.workspace, request.seat)
        if bucket is None:
            return TokenResponse(self._own, request.number, 0, is_owner=False)
        now = self._timers.now()
        share = self._seats.share
        limit = bucket.limit
        granted = bucket.grant(
            (request.host, request.number), wanted=request.wanted, now=now, share=share
        )
        is_empty = granted == 0
        retry_after = bucket.retry_after(
            (request.refused + is_empty) / limit.seats, now=now, share=share
        )
        backoff = (
            min(_EMPTY_BACKOFF_RANGE[1], max(_EMPTY_BACKOFF_RANGE[0], 1 / limit.rate))
            if is_empty
            else 0.0
        )
        return TokenResponse(self._own, request.number, granted, limit.ttl, backoff, retry_after)

    def handle_return(self, message: TokenReturn) -> None:
        """Put unspent tokens that another daemon returns back into their bucket."""
        bucket = self._buckets.get((message.workspace, message.seat))
        if bucket is not None:
            bucket.take_back((message.host, message.number), message.count, now=self._timers.now())

    def reports(self, workspace: str) -> tuple[SeatStatus, ...]:
        """Snapshots of the seats of a workspace that this daemon owns."""
        now = self._timers.now()
        share = self._seats.share
        return tuple(
            SeatStatus(
                seat,
                round(bucket.tokens(now=now, share=share), 1),
                bucket.held_elsewhere,
                bucket.limit.rate * share,
            )
            for (name, seat), bucket in sorted(self._buckets.items())
            if name == workspace
        )

    def _bucket(self, name: str, seat: int) -> TokenBucket | None:
        """Return the bucket of a seat, or `None` if this daemon may not grant its tokens."""
        key = (name, seat)
        workspace = self._workspaces.get(name)
        refill_start = self._seats.refill_start(name, seat) if workspace is not None else None
        if workspace is None or refill_start is None:
            self._drop(key)
            return None
        limit = limit_of(workspace, self._rules)
        if seat >= limit.seats:
            return None
        bucket = self._buckets.get(key)
        if bucket is None or refill_start > self._refill_starts[key]:
            if bucket is None:
                self._tell(SeatOwnershipChange(name, seat, is_held=True))
            bucket = self._buckets[key] = TokenBucket(limit, refill_from=refill_start)
            self._refill_starts[key] = refill_start
        return bucket

    def _drop(self, key: tuple[str, int]) -> None:
        if self._buckets.pop(key, None) is not None:
            self._tell(SeatOwnershipChange(*key, is_held=False))
