"""What daemons tell each other about the statements of targets, within the messages of a call.

Each notice is packed by itself: nearly all messages carry none, and an empty list of bytes keeps
them on the fast path of the codec.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from acaciayard_callmodel import StartNotice
from acaciayard_wire import MessageCodec, MessageError

__all__ = ["pack_notices", "unpack_notices"]

_CODEC: Final = MessageCodec({1: StartNotice})


def pack_notices(notices: Iterable[StartNotice]) -> list[bytes]:
    """Encode notices for a message."""
    return [_CODEC.encode(notice) for notice in notices]


def unpack_notices(packed: Iterable[bytes]) -> tuple[StartNotice, ...]:
    """Decode the notices of a message; raises `MessageError`."""
    notices = tuple(_CODEC.decode(each) for each in packed)
    if not all(isinstance(notice, StartNotice) for notice in notices):
        raise MessageError("a notice of another kind")
    return notices  # type: ignore[return-value]  # checked above
