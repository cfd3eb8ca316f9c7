"""Rendezvous hashing: daemons that know the same members choose the same ones."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from ._member import Member

__all__ = ["rendezvous"]


def rendezvous(purpose: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    """The `count` members chosen for `purpose`, in order of preference.

    The removal of a member changes the choice only if that member was chosen.
    """

    def hash_of(member: Member) -> bytes:
        text = f"{purpose}\0{member.host}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(members, key=hash_of)[:count])
