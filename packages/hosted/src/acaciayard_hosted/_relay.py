"""Distributes versions between daemons: pushed within a failure domain, pulled elsewhere."""

from __future__ import annotations

import random
import zlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import Final

import anyio
import anyio.abc
import structlog
from attrs import evolve

from acaciayard_membership import Member, Membership
from acaciayard_timers import TimerService
from acaciayard_wire import (
    Address,
    ControlPort,
    MessageError,
    MessageStream,
    Purpose,
    StreamLostError,
)

from ._age import UNKNOWN_AGE, ConfigurationAge
from ._delta import DeltaError, apply_delta, digest_of, make_delta
from ._feeding import Feeding
from ._version_messages import VersionHeld, VersionPush, VersionReply, VersionRequest
from ._versions import AcceptedVersion, AcceptedVersions

__all__ = ["VersionRelay"]

#: Seconds that a daemon waits for the push of a newer version before it asks for it.
_PUSH_WAIT: Final = 0.25
#: Timeout, in seconds, for asking one daemon; on the thinnest links a whole document takes half of
#: it.
_REQUEST_TIMEOUT: Final = 3.0
#: Seconds without a reply after which another daemon is asked beside the first: its host may be
#: gone, or the stream may have gone silent.
_SECOND_ASK_DELAY: Final = 0.7
#: Seconds within which the feeder of another failure domain confirms that it holds a version.
#: Otherwise other daemons of that domain are told to push it.
_CONFIRM_TIMEOUT: Final = 0.4
#: How often others are told, and how many at once.
_MAX_DELEGATIONS: Final = 2
_DELEGATES: Final = 2
#: Documents that decompress to more bytes are rejected.
_MAX_DOCUMENT_BYTES: Final = 64 * 1024 * 1024
#: Largest delta, in bytes, that fits into one datagram.
_MAX_PUSH_BYTES: Final = 1200
#: Number of earlier documents kept as bases of deltas.
_MAX_KEPT_DOCUMENTS: Final = 8
#: Base of a reply that holds the whole document.
_NO_BASE: Final = 0


class VersionRelay:
    """Pushes new versions to other daemons, and pulls versions from daemons that are ahead.

    A daemon that reads a version from the store pushes it to the feeders of the other failure
    domains, and these to the daemons of their domains. A feeder that does not confirm it in time
    may have ended or be cut off, and its domain would not hear of the version; then other daemons
    of the domain are told to push it.

    Each probe between daemons carries the version of its sender, so a daemon that is behind learns
    of it within a second or two as long as it reaches any other.
    """

    def __init__(
        self,
        *,
        versions: AcceptedVersions,
        members: Membership,
        feeding: Feeding,
        port: ControlPort,
        timers: TimerService,
        seed: random.Random,
        log: structlog.typing.FilteringBoundLogger,
        age: ConfigurationAge,
    ) -> None:
        self._age = age
        self._versions = versions
        self._members = members
        self._feeding = feeding
        self._port = port
        self._timers = timers
        self._random = seed
        self._log = log
        self._ahead: dict[str, int] = {}
        #: Daemons that were asked and have not replied yet.
        self._asked: set[str] = set()
        self._is_behind = anyio.Event()
        self._documents: OrderedDict[int, bytes] = OrderedDict()
        self._replies: dict[int, VersionReply] = {}
        #: The version before the one in force.
        self._before: AcceptedVersion | None = None
        #: Newest version that this daemon was told to push in its failure domain, and by whom.
        self._told_to_push: tuple[int, Address] | None = None
        #: The newest version that each other failure domain has confirmed.
        self._confirmed: dict[str, int] = {}
        members.on_position(self.note_ahead)
        port.on_stream(VersionRequest, Purpose.SPREAD, self._serve)
        port.on_datagram(VersionPush, self._on_push)
        port.on_datagram(VersionHeld, self._on_held)
        versions.on_version(self._on_version)

    # --- pushing ------------------------------------------------------------------------------

    def _on_version(self, before: AcceptedVersion | None, now: AcceptedVersion) -> None:
        version = now.configuration.version
        self._documents[version] = now.document
        self._replies.clear()
        if len(self._documents) > _MAX_KEPT_DOCUMENTS:
            self._documents.popitem(last=False)
        self._before = before
        is_feeder = self._feeding.is_feeder
        if now.is_first_hand and (is_feeder or before is not None):
            self._push(self._feeding.audience())
            self._push_to_domains(version, self._feeding.other_heads())
        elif before is not None and is_feeder:
            self._push(self._feeding.audience())
        self._confirm_push()

    def _push(self, receivers: Iterable[Member], *, is_for_domain: bool = False) -> None:
        """Push the version in force."""
        now = self._versions.newest
        if now is not None:
            push = evolve(self._make_push(self._before, now), is_for_domain=is_for_domain)
            for member in receivers:
                self._port.send_datagram(push, member.control)

    def _push_to_domains(self, version: int, heads: Sequence[Member]) -> None:
        """Push a version to other failure domains, and have others push it there if need be."""
        self._push(heads, is_for_domain=True)
        if heads and self._before is not None:
            self._delegate_later(version, heads, _MAX_DELEGATIONS)

    def _delegate_later(self, version: int, tried: Sequence[Member], left: int) -> None:
        due = self._timers.now() + _CONFIRM_TIMEOUT
        self._timers.call_at(due, lambda: self._delegate(version, tried, left))

    def _delegate(self, version: int, tried: Sequence[Member], left: int) -> None:
        """Tell other daemons to push the newest version in domains that have not confirmed one."""
        missing = {m.domain for m in tried if self._confirmed.get(m.domain, 0) < version}
        hosts = {member.host for member in tried}
        chosen: list[Member] = []
        for domain in sorted(missing):
            others = [m for m in self._members.table.others() if m.domain == domain]
            untried = [m for m in others if m.host not in hosts] or others
            chosen.extend(self._random.sample(untried, min(_DELEGATES, len(untried))))
        if not chosen:
            return
        self._log.info(
            "version_delegated",
            version=version,
            domains=",".join(sorted(missing)),
            hosts=",".join(member.host for member in chosen),
        )
        self._push(chosen, is_for_domain=True)
        if left > 1:
            self._delegate_later(version, (*tried, *chosen), left - 1)

    def _on_held(self, held: VersionHeld, sender: Address) -> None:
        for member in self._members.table.others():
            if member.control == sender:
                known = self._confirmed.get(member.domain, 0)
                self._confirmed[member.domain] = max(known, held.version)

    def _confirm_push(self) -> None:
        """Confirm a version that this daemon was told to push, once it is in force."""
        if self._told_to_push is None or self._told_to_push[0] > self._versions.version:
            return
        version, sender = self._told_to_push
        self._told_to_push = None
        if not self._feeding.is_feeder:
            self._push(self._feeding.audience())
        self._port.send_datagram(VersionHeld(version), sender)

    def _make_push(self, before: AcceptedVersion | None, now: AcceptedVersion) -> VersionPush:
        """Build the push for a version; its delta is empty if too large for one datagram."""
        version = now.configuration.version
        if before is None:
            digest = digest_of(now.document)
            return VersionPush(
                version, _NO_BASE, b"", digest, now.offset, now.newest_order, self._age_ms()
            )
        reply = self._make_reply(before.configuration.version)
        delta = reply.delta if len(reply.delta) <= _MAX_PUSH_BYTES else b""
        return VersionPush(
            version,
            reply.base,
            delta,
            reply.digest,
            reply.offset,
            reply.newest_order,
            self._age_ms(),
        )

    def _age_ms(self) -> int:
        age = self._age.seconds
        return -1 if age == UNKNOWN_AGE else round(age * 1000)

    def _on_push(self, push: VersionPush, sender: Address) -> None:
        if push.is_for_domain:
            self._told_to_push = (push.version, sender)
        if push.version <= self._versions.version:
            self._confirm_push()
            return
        if push.delta and push.base == self._versions.version:
            reply = VersionReply(
                push.version,
                push.base,
                push.delta,
                push.digest,
                push.offset,
                push.newest_order,
                push.age_ms,
            )
            if self._accept_reply(reply, sender):
                return
        for member in self._members.table.others():
            if member.control == sender:
                self.note_ahead(member.host, push.version)

    def _make_reply(self, base: int) -> VersionReply:
        """Build a reply with the local version, as a delta to `base` if that document is kept."""
        newest = self._versions.newest
        if newest is None or newest.configuration.version <= base:
            return VersionReply(self._versions.version, base, b"", b"", -1)
        reply_base = base if base in self._documents else _NO_BASE
        reply = self._replies.get(reply_base)
        if reply is None:
            document = newest.document
            if reply_base == _NO_BASE:
                delta = zlib.compress(document, 1)
            else:
                delta = make_delta(self._documents[reply_base], document)
            reply = VersionReply(
                newest.configuration.version,
                reply_base,
                delta,
                digest_of(document),
                newest.offset,
                newest.newest_order,
            )
            self._replies[reply_base] = reply
        return reply

    async def _serve(self, request: VersionRequest, stream: MessageStream) -> None:
        reply = self._make_reply(request.version)
        await stream.send(evolve(reply, age_ms=self._age_ms()))

    # --- catching up --------------------------------------------------------------------------

    def note_ahead(self, host: str, version: int) -> None:
        """Catch up with a daemon if its version is newer."""
        if version > self._versions.version:
            self._ahead[host] = version
            self._is_behind.set()

    async def run(self) -> None:
        """Catch up with daemons that are ahead; never returns."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._is_behind.wait()
                self._is_behind = anyio.Event()
                if self._versions.newest is not None:
                    await self._timers.sleep(_PUSH_WAIT * self._random.uniform(0.5, 1.5))
                await self._catch_up(tasks)

    async def _catch_up(self, tasks: anyio.abc.TaskGroup) -> None:
        """Ask daemons that are ahead, the next one beside one that does not reply soon."""
        while (member := self._next_ahead()) is not None:
            # A whole document may take seconds on a thin link, and two of them twice as long.
            is_first = self._versions.newest is None
            ended = anyio.Event()
            tasks.start_soon(self._ask_beside, member, ended)
            with self._timers.timeout(_REQUEST_TIMEOUT if is_first else _SECOND_ASK_DELAY):
                await ended.wait()

    async def _ask_beside(self, member: Member, ended: anyio.Event) -> None:
        self._asked.add(member.host)
        try:
            await self.ask(member.control)
        finally:
            self._asked.discard(member.host)
            ended.set()

    def _next_ahead(self) -> Member | None:
        """The daemon to ask next, in the own failure domain if possible, `None` if none is ahead.

        Daemons that were asked and have not replied yet are left out.
        """
        own = self._members.table.own.domain
        self._ahead = {h: v for h, v in self._ahead.items() if v > self._versions.version}
        found = [self._members.table.find(host) for host in self._ahead.keys() - self._asked]
        members = [member for member in found if member is not None]
        if not members:
            return None
        chosen = max(members, key=lambda m: (m.domain == own, self._ahead[m.host], m.host))
        del self._ahead[chosen.host]
        return chosen

    async def ask(self, address: Address) -> bool:
        """Ask one daemon; returns true if its version was newer and is now in force."""
        with self._timers.timeout(_REQUEST_TIMEOUT):
            try:
                stream = await self._port.connect(address, Purpose.SPREAD)
            except StreamLostError as error:
                self._log.debug("version_not_asked", peer=str(address), reason=str(error))
                return False
            try:
                await stream.send(VersionRequest(self._versions.version))
                reply = await stream.receive()
                if not isinstance(reply, VersionReply) or not self._accept_reply(reply, address):
                    return False
                await self._versions.until_read()
                return self._versions.version >= reply.version
            except (StreamLostError, MessageError) as error:
                self._log.debug("version_not_got", peer=str(address), reason=str(error))
            finally:
                stream.close()
        return False

    def _accept_reply(self, reply: VersionReply, address: Address) -> bool:
        if reply.version <= self._versions.version:
            return False
        document = self._decode_document(reply, address)
        if document is None:
            return False
        self._age.note_answer(f"peer {address.ip}", age_s=reply.age_ms / 1000)
        return self._versions.offer(
            document,
            source=f"peer {address.ip}",
            version=reply.version,
            offset=reply.offset,
            newest_order=reply.newest_order,
        )

    def _decode_document(self, reply: VersionReply, address: Address) -> bytes | None:
        """Return the whole document of a reply, `None` if it does not apply to the local one."""
        newest = self._versions.newest
        try:
            if reply.base == _NO_BASE:
                document = zlib.decompressobj().decompress(reply.delta, _MAX_DOCUMENT_BYTES)
            elif newest is not None and reply.base == newest.configuration.version:
                document = apply_delta(newest.document, reply.delta)
            else:
                return None
        except (DeltaError, zlib.error) as error:
            self._log.warning("version_spoiled", peer=str(address), reason=str(error))
            return None
        if digest_of(document) != reply.digest:
            self._log.warning("version_spoiled", peer=str(address), reason="digest differs")
            return None
        return document
