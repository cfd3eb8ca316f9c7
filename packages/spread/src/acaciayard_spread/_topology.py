"""Who replicates with whom: a tree in each failure domain, and a ring of their feeders."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from typing import Final

from acaciayard_membership import Member, rendezvous

__all__ = ["FEEDERS", "feeders_of", "is_feeder", "upstream_of"]

#: Daemons of a failure domain that read the log.
FEEDERS: Final = 2
#: Children of a daemon in the tree, on average.
FAN_OUT: Final = 8


def _order(domain: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Members of a failure domain in the order of the tree, feeders first."""
    inside = [member for member in members if member.domain == domain]
    return rendezvous(f"tree:{domain}", inside, len(inside))


def feeders_of(domain: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """The daemons of a failure domain that read the log."""
    return _order(domain, members)[:FEEDERS]


def is_feeder(own: Member, members: Iterable[Member]) -> bool:
    """Whether a daemon reads the log."""
    return any(member.host == own.host for member in feeders_of(own.domain, members))


def upstream_of(
    own: Member, members: Collection[Member], *, avoid: Collection[str] = ()
) -> tuple[Member, ...]:
    """The daemons to which a daemon opens sessions; `avoid` names hosts that failed just now.

    A feeder opens one to a feeder of the next failure domain and, unless it is the first, one to
    the first feeder of its own.  Any other daemon has one parent among the first eighth or so of
    those before it, picked by a hash of the pair so that it seldom changes as others come and go.
    """
    usable = [m for m in members if m.host == own.host or m.host not in avoid]
    order = _order(own.domain, usable)
    index = next((i for i, member in enumerate(order) if member.host == own.host), 0)
    if index >= FEEDERS:
        seniors = order[: max(FEEDERS, index // FAN_OUT)]
        return (min(seniors, key=lambda senior: _pair_rank(own.host, senior.host)),)
    chosen = list(_next_domain_feeders(own, usable)[index : index + 1])
    if not chosen:
        chosen = list(_next_domain_feeders(own, usable)[:1])
    if index > 0:
        chosen.append(order[0])
    return tuple(chosen)


def _next_domain_feeders(own: Member, members: Collection[Member]) -> tuple[Member, ...]:
    """Feeders of the failure domain that follows in the ring, empty when there is none."""
    domains = sorted({member.domain for member in members} | {own.domain})
    following = domains[(domains.index(own.domain) + 1) % len(domains)]
    return () if following == own.domain else feeders_of(following, members)


def _pair_rank(child: str, parent: str) -> bytes:
    return hashlib.blake2b(f"{child}\0{parent}".encode(), digest_size=8).digest()
