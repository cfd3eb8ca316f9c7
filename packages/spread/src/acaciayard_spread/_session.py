"""A replication session: two daemons keep each other up to date over one stream."""

from __future__ import annotations

from typing import Final

import anyio
from attrs import define, field

from acaciayard_resources import SnapshotRecord, decode_record, encode_record, snapshot_of
from acaciayard_wire import MessageError, MessageStream, StreamLostError

from ._holder import Holder
from ._messages import Hello, Progress, RecordBatch, Whole
from ._witnesses import Witnesses

__all__ = ["Session", "SessionContext"]

#: Records in one message at most.
_BATCH: Final = 256


@define
class SessionContext:
    """What all sessions of a daemon share."""

    #: Name of this host.
    host: str
    #: What this daemon holds.
    holder: Holder
    #: Who else holds what.
    witnesses: Witnesses
    #: Sessions that are open, by the other host; while a link is repaired there may be two.
    open: dict[str, list[Session]] = field(factory=dict)

    def enter(self, session: Session) -> None:
        """A session starts."""
        self.open.setdefault(session.peer, []).append(session)

    def leave(self, session: Session) -> None:
        """A session is over; with the last one the other host is no witness any more."""
        others = self.open[session.peer]
        others.remove(session)
        if not others:
            del self.open[session.peer]
            self.witnesses.forget(session.peer)

    def hello(self) -> Hello:
        """The greeting of this daemon as of now."""
        state = self.holder.state
        return Hello(self.host, state.position, state.digest, self.holder.confirmed)


class Session:
    """One session; both ends run the same code.

    Each end sends what the other lacks.  Where the other lacks nothing it is told the position
    alone, which serves as the acknowledgement that makes this daemon a witness.
    """

    def __init__(self, context: SessionContext, stream: MessageStream, greeting: Hello) -> None:
        self._context = context
        self._holder = context.holder
        self._stream = stream
        self._peer = greeting.host
        self._peer_position = greeting.position
        self._peer_confirmed = greeting.confirmed
        self._told_position = context.holder.position
        self._told_confirmed = context.holder.confirmed
        self._greeting = greeting

    @property
    def peer(self) -> str:
        """The other host."""
        return self._peer

    async def run(self, *, until_caught_up: bool = False) -> None:
        """Replicate until the stream is lost, or until this daemon has caught up.

        Raises `StreamLostError` or `MessageError`.
        """
        if not self._holder.agrees(self._greeting.position, self._greeting.digest):
            raise MessageError(f"{self._peer} holds other records at one position")
        self._context.enter(self)
        try:
            self._note_peer(self._greeting.position, self._greeting.confirmed)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_all)
                await self._receive_all(until_caught_up)
                tasks.cancel_scope.cancel()
        except* (StreamLostError, MessageError) as group:
            raise StreamLostError(f"session with {self._peer}: {group.exceptions[0]}") from group
        finally:
            self._context.leave(self)

    def close(self) -> None:
        """End the session; `run` then raises `StreamLostError`."""
        self._stream.channel.abort()

    # --- sending ------------------------------------------------------------------------------

    async def _send_all(self) -> None:
        while True:
            seen = self._holder.changed.count
            while (message := self._next_message()) is not None:
                await self._stream.send(message)
            await self._holder.changed.wait_beyond(seen)

    def _next_message(self) -> RecordBatch | Whole | Progress | None:
        position = self._holder.position
        confirmed = self._holder.confirmed
        message: RecordBatch | Whole | Progress | None = None
        if position > self._peer_position:
            message = self._missing(confirmed)
        elif position > self._told_position or self._knows_more(confirmed):
            message = Progress(position, confirmed)
        if message is not None:
            self._told_position = position
            self._told_confirmed = confirmed
        return message

    def _knows_more(self, confirmed: int) -> bool:
        """Whether the peer has not been told how much is confirmed, and does not know it."""
        return confirmed > max(self._told_confirmed, self._peer_confirmed)

    def _missing(self, confirmed: int) -> RecordBatch | Whole:
        start = self._peer_position
        payloads = self._holder.records_from(start, _BATCH)
        if payloads is None:
            self._peer_position = self._holder.position
            return Whole(encode_record(snapshot_of(self._holder.state)), confirmed)
        self._peer_position = start + len(payloads)
        return RecordBatch(start, payloads, confirmed)

    # --- receiving ----------------------------------------------------------------------------

    async def _receive_all(self, until_caught_up: bool) -> None:
        while not (until_caught_up and self._holder.position >= self._peer_position):
            match await self._stream.receive():
                case RecordBatch(start, payloads, confirmed):
                    self._holder.take_records(start, payloads)
                    self._note_peer(start + len(payloads), confirmed)
                case Whole(snapshot, confirmed):
                    self._take_whole(snapshot, confirmed)
                case Progress(position, confirmed):
                    self._note_peer(position, confirmed)
                case other:
                    raise MessageError(f"unexpected {type(other).__name__} in a session")

    def _take_whole(self, snapshot: bytes, confirmed: int) -> None:
        record = decode_record(snapshot)
        if not isinstance(record, SnapshotRecord):
            raise MessageError("a whole state that is no snapshot")
        self._holder.take_snapshot(record)
        self._note_peer(record.position, confirmed)

    def _note_peer(self, position: int, confirmed: int) -> None:
        self._peer_position = max(self._peer_position, position)
        self._peer_confirmed = max(self._peer_confirmed, confirmed)
        self._context.witnesses.note(self._peer, position)
        self._holder.confirm(min(self._peer_confirmed, self._holder.position))
