"""Replication topology: a tree in each failure domain, and a ring that links their feeders."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from typing import Final

from acaciayard_membership import Member, rendezvous

__all__ = ["FEEDERS", "feeders_of", "is_feeder", "upstream_of"]

#: Number of daemons in a failure domain that read the log.
FEEDERS: Final = 2
#: Average number of children of a daemon in the tree.
FAN_OUT: Final = 8


def _tree_order(domain: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Members of a failure domain in tree order, feeders first."""
    in_domain = [member for member in members if member.domain == domain]
    return rendezvous(f"tree:{domain}", in_domain, len(in_domain))


def feeders_of(domain: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """The daemons of a failure domain that read the log."""
    return _tree_order(domain, members)[:FEEDERS]


def is_feeder(own: Member, members: Iterable[Member]) -> bool:
    """Whether the daemon `own` reads the log."""
    return any(member.host == own.host for member in feeders_of(own.domain, members))


def upstream_of(
    own: Member, members: Collection[Member], *, avoid: Collection[str] = ()
) -> tuple[Member, ...]:
    """The daemons with which `own` opens sessions; `avoid` holds hosts that failed recently.

    A feeder opens one with a feeder of the next failure domain and, unless it is the first, one
    with the first feeder of its own domain.  Any other daemon has one parent, chosen among about
    the first eighth of the daemons before it in tree order.  The choice uses a hash of the pair,
    so that it rarely changes when other members do.
    """
    usable = [m for m in members if m.host == own.host or m.host not in avoid]
    tree = _tree_order(own.domain, usable)
    index = next((i for i, member in enumerate(tree) if member.host == own.host), 0)
    if index >= FEEDERS:
        candidates = tree[: max(FEEDERS, index // FAN_OUT)]
        return (min(candidates, key=lambda candidate: _hash_pair(own.host, candidate.host)),)
    upstream = list(_next_domain_feeders(own, usable)[index : index + 1])
    if not upstream:
        upstream = list(_next_domain_feeders(own, usable)[:1])
    if index > 0:
        upstream.append(tree[0])
    return tuple(upstream)


def _next_domain_feeders(own: Member, members: Collection[Member]) -> tuple[Member, ...]:
    """Feeders of the next failure domain in the ring; empty if there is only one domain."""
    domains = sorted({member.domain for member in members} | {own.domain})
    next_domain = domains[(domains.index(own.domain) + 1) % len(domains)]
    return () if next_domain == own.domain else feeders_of(next_domain, members)


def _hash_pair(child: str, parent: str) -> bytes:
    return hashlib.blake2b(f"{child}\0{parent}".encode(), digest_size=8).digest()
