"""Messages that carry versions of the configuration between daemons."""

from __future__ import annotations

from typing import Final

from attrs import frozen

__all__ = ["RELAY_MESSAGES", "VersionHeld", "VersionPush", "VersionReply", "VersionRequest"]


@frozen
class VersionRequest:
    """First message of a stream: requests the peer's version if it is newer."""

    #: Version that the requesting daemon has.
    version: int


@frozen
class VersionReply:
    """A newer version, as a delta."""

    #: Its number; at most the requested one if there is nothing newer.
    version: int
    #: Base version of the delta; 0 for a whole document, compressed.
    base: int
    #: The delta.
    delta: bytes
    #: Digest of the whole document.
    digest: bytes
    #: Position from which to continue reading the store, negative if unknown.
    offset: int
    #: Position of the newest rollout order that may precede `offset`, 0 if there is none.
    newest_order: int = 0
    #: Age of the sender's configuration in milliseconds, negative if unknown.
    age_ms: int = -1


@frozen
class VersionPush:
    """A datagram that brings a newer version."""

    #: Its number.
    version: int
    #: Base version of the delta.
    base: int
    #: The delta; empty if it is too large, and then the version has to be requested.
    delta: bytes
    #: Digest of the whole document.
    digest: bytes
    #: Position from which to continue reading the store, negative if unknown.
    offset: int
    #: Position of the newest rollout order that may precede `offset`, 0 if there is none.
    newest_order: int = 0
    #: Age of the sender's configuration in milliseconds, negative if unknown.
    age_ms: int = -1
    #: Whether the receiver confirms with `VersionHeld`, and pushes the version in its domain.
    is_for_domain: bool = False


@frozen
class VersionHeld:
    """A datagram that confirms a version that the sender pushes in its failure domain."""

    #: Its number.
    version: int


RELAY_MESSAGES: Final[dict[int, type]] = {
    60: VersionRequest,
    61: VersionReply,
    62: VersionPush,
    66: VersionHeld,
}
