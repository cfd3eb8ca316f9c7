"""Rendezvous hashing: every daemon that knows the same members picks the same ones of them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ._member import Member

__all__ = ["rendezvous"]


def rendezvous(purpose: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    """The `count` members that are to serve `purpose`, the first choice first.

    A member that goes changes the choice only where it was chosen itself.
    """

    def rank(member: Member) -> bytes:
        text = f"{purpose}\0{member.host}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(members, key=rank)[:count])
