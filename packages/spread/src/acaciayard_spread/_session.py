"""Replication sessions, in which two daemons update each other over one stream."""

from __future__ import annotations

from typing import Final

import anyio
from attrs import define, field

from acaciayard_resources import SnapshotRecord, decode_record, encode_record, snapshot_of
from acaciayard_wire import MessageError, MessageStream, StreamLostError

from ._holder import Holder
from ._messages import FullState, Hello, Progress, RecordBatch
from ._witnesses import Witnesses

__all__ = ["Session", "SessionContext"]

#: Maximum of records in one message.
_MAX_BATCH: Final = 256


@define
class SessionContext:
    """State that all sessions of a daemon share."""

    #: Name of this host.
    host: str
    #: Replica of the configuration stream on this daemon.
    holder: Holder
    #: Positions that other daemons have acknowledged.
    witnesses: Witnesses
    #: Open sessions by the peer's host; there may be two with one peer, such as while catching up.
    open: dict[str, list[Session]] = field(factory=dict)

    def add(self, session: Session) -> None:
        """Register a session that starts."""
        self.open.setdefault(session.peer, []).append(session)

    def remove(self, session: Session) -> None:
        """Remove a session that has ended; after the last one its host is no longer a witness."""
        others = self.open[session.peer]
        others.remove(session)
        if not others:
            del self.open[session.peer]
            self.witnesses.forget(session.peer)

    def hello(self) -> Hello:
        """The first message of a session, with the current state of this daemon."""
        state = self.holder.state
        return Hello(self.host, state.position, state.digest, self.holder.confirmed)


class Session:
    """One replication session; both ends run the same code.

    Each end sends the records that the other one lacks.  If it lacks none, only the position is
    sent, which acknowledges the records held and makes this daemon a witness of them.
    """

    def __init__(self, context: SessionContext, stream: MessageStream, peer_hello: Hello) -> None:
        self._context = context
        self._holder = context.holder
        self._stream = stream
        self._peer = peer_hello.host
        self._peer_position = peer_hello.position
        self._peer_confirmed = peer_hello.confirmed
        self._sent_position = context.holder.position
        self._sent_confirmed = context.holder.confirmed
        self._peer_hello = peer_hello

    @property
    def peer(self) -> str:
        """Host at the other end."""
        return self._peer

    async def run(self, *, until_caught_up: bool = False) -> None:
        """Replicate until the stream is lost or, if requested, until this daemon has caught up.

        Raises `StreamLostError`, or `MessageError` if the peer holds different records.
        """
        if not self._holder.matches_digest(self._peer_hello.position, self._peer_hello.digest):
            raise MessageError(f"{self._peer} holds different records at the same position")
        self._context.add(self)
        try:
            self._update_peer(self._peer_hello.position, self._peer_hello.confirmed)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_all)
                await self._receive_all(until_caught_up)
                tasks.cancel_scope.cancel()
        except* (StreamLostError, MessageError) as group:
            raise StreamLostError(f"session with {self._peer}: {group.exceptions[0]}") from group
        finally:
            self._context.remove(self)

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

    def _next_message(self) -> RecordBatch | FullState | Progress | None:
        position = self._holder.position
        confirmed = self._holder.confirmed
        message: RecordBatch | FullState | Progress | None = None
        if position > self._peer_position:
            message = self._missing_records(confirmed)
        elif position > self._sent_position or self._has_unsent_confirmation(confirmed):
            message = Progress(position, confirmed)
        if message is not None:
            self._sent_position = position
            self._sent_confirmed = confirmed
        return message

    def _has_unsent_confirmation(self, confirmed: int) -> bool:
        """Whether the peer knows only a lower confirmed position and was not sent this one."""
        return confirmed > max(self._sent_confirmed, self._peer_confirmed)

    def _missing_records(self, confirmed: int) -> RecordBatch | FullState:
        start = self._peer_position
        payloads = self._holder.records_from(start, _MAX_BATCH)
        if payloads is None:
            self._peer_position = self._holder.position
            return FullState(encode_record(snapshot_of(self._holder.state)), confirmed)
        self._peer_position = start + len(payloads)
        return RecordBatch(start, payloads, confirmed)

    # --- receiving ----------------------------------------------------------------------------

    async def _receive_all(self, until_caught_up: bool) -> None:
        while not (until_caught_up and self._holder.position >= self._peer_position):
            match await self._stream.receive():
                case RecordBatch(start, payloads, confirmed):
                    self._holder.fold_records(start, payloads)
                    self._update_peer(start + len(payloads), confirmed)
                case FullState(snapshot, confirmed):
                    self._install_full_state(snapshot, confirmed)
                case Progress(position, confirmed):
                    self._update_peer(position, confirmed)
                case other:
                    raise MessageError(f"unexpected {type(other).__name__} in a session")

    def _install_full_state(self, snapshot: bytes, confirmed: int) -> None:
        record = decode_record(snapshot)
        if not isinstance(record, SnapshotRecord):
            raise MessageError("the full state is not a snapshot record")
        self._holder.install_snapshot(record)
        self._update_peer(record.position, confirmed)

    def _update_peer(self, position: int, confirmed: int) -> None:
        self._peer_position = max(self._peer_position, position)
        self._peer_confirmed = max(self._peer_confirmed, confirmed)
        self._context.witnesses.acknowledge(self._peer, position)
        self._holder.confirm(min(self._peer_confirmed, self._holder.position))
