"""Keys of workspaces, which are known by their digests alone."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

from ._findings import Finding, Place
from ._model import Workspace

__all__ = ["digest_of_key", "double_keys"]


def digest_of_key(key: bytes) -> str:
    """The digest by which a key is known: what `printf KEY | sha256sum` prints.

    Keys are long and random, so that nobody finds one by trying; a slow digest would buy nothing
    and cost each call.
    """
    return hashlib.sha256(key).hexdigest()


def double_keys(workspaces: Iterable[Workspace]) -> Iterator[Finding]:
    """A finding for each key that is held a second time: whose call would it be?"""
    first: dict[str, str] = {}
    for workspace in sorted(workspaces, key=lambda each: each.name):
        for index, digest in enumerate(workspace.keys):
            holder = first.setdefault(digest, workspace.name)
            if holder != workspace.name or workspace.keys.index(digest) != index:
                yield Finding(
                    Place(path=f"workspace.{workspace.name}.keys[{index}]"),
                    f"is a key that workspace {holder!r} holds already",
                    "keep it in one of the places",
                )
