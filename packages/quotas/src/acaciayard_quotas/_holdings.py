"""Tokens that were granted to this daemon and not spent yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from attrs import define

__all__ = ["HeldTokens", "TokenBatch"]


@define(eq=False)
class TokenBatch:
    """Tokens that came with one grant."""

    #: Host that granted the tokens, and the number of the request.
    owner: str
    number: int
    #: Seat that the tokens come from.
    seat: int
    #: Unspent tokens.
    count: int
    #: When the tokens were requested, and when they expire.
    requested_at: float
    expires_at: float


class HeldTokens:
    """Token batches of one workspace, ordered by expiry."""

    def __init__(self) -> None:
        self._batches: deque[TokenBatch] = deque()

    def add(self, batch: TokenBatch) -> None:
        """Append a batch."""
        self._batches.append(batch)

    @property
    def has_any(self) -> bool:
        """Whether any batches are kept, including spent and expired ones."""
        return bool(self._batches)

    def count(self, now: float) -> int:
        """The number of tokens that have not expired."""
        return sum(batch.count for batch in self._batches if batch.expires_at > now)

    def take(self, now: float) -> TokenBatch | None:
        """Spend a token and return its batch, or `None` if no token is left."""
        batches = self._batches
        while batches:
            batch = batches[0]
            if batch.expires_at > now and batch.count > 0:
                batch.count -= 1
                return batch
            batches.popleft()
        return None

    def give_back(self, batch: TokenBatch, now: float) -> None:
        """Return an unspent token to its batch; it is lost if the batch has expired."""
        if batch.expires_at > now:
            batch.count += 1
            if batch not in self._batches:
                self._batches.appendleft(batch)

    def pop_idle(self, now: float, *, age: float) -> Iterator[TokenBatch]:
        """Remove batches older than `age` times their TTL, and yield those with tokens left."""
        for batch in [
            batch
            for batch in self._batches
            if now - batch.requested_at >= age * (batch.expires_at - batch.requested_at)
        ]:
            self._batches.remove(batch)
            if batch.count > 0 and batch.expires_at > now:
                yield batch
