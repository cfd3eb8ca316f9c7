"""Maps API keys to the workspaces that hold them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from acaciayard_resources import Workspace, digest_of_key

__all__ = ["NO_KEY_HOLDERS", "KeyHolders"]


class KeyHolders:
    """Index of the workspaces of one configuration by the digests of their API keys.

    Example:
        holder = KeyHolders(configuration.all_of(Workspace)).holder_of(b"3nr26tta828m")
    """

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._workspaces = tuple(workspaces)
        self._holders = {
            digest: workspace for workspace in self._workspaces for digest in workspace.keys
        }

    @property
    def is_empty(self) -> bool:
        """Whether no workspaces are configured, in which case calls need no key."""
        return not self._workspaces

    def holder_of(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds a key, or `None` if no workspace does.

        The lookup is by digest, so its duration reveals nothing about similar keys.
        """
        return self._holders.get(digest_of_key(key))


#: The index for a configuration without workspaces.
NO_KEY_HOLDERS: Final = KeyHolders(())
