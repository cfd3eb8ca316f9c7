"""Failure detection: probes the members one after the other, as SWIM does."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from typing import Final

import anyio
import anyio.abc
from attrs import frozen

from acaciayard_timers import PauseDetector, ProcessorPart, TimerService
from acaciayard_wire import Address, ControlPort

from ._gossip import GossipQueue
from ._member import Member, MemberState
from ._messages import Ack, Gossip, Probe, ProbeRequest
from ._table import MemberTable

__all__ = ["DetectorSettings", "FailureDetector"]

#: Members that are asked to probe on our behalf when a direct probe got no answer.
_INDIRECT_PROBES: Final = 3
#: Upper bound of the count of failed probes, less answered ones, that lengthens the timeouts.
_MAX_FAILURE_SCORE: Final = 3
#: Consecutive answers, one a second, whose table summary must differ while no update is pending.
_MISMATCHES_TO_REPORT: Final = 2
#: Bytes of updates that are piggybacked on a probe.
_PIGGYBACK_BYTES: Final = 600


@frozen
class DetectorSettings:
    """Probe period and timeouts of the failure detector, in seconds."""

    #: Time between two probes.
    period: float = 1.0
    #: Timeout for the answer to a direct probe.
    direct_timeout: float = 0.3
    #: Timeout for the answer to a probe through other members.
    indirect_timeout: float = 0.6
    #: Time that a suspect has to refute the suspicion.
    suspicion_timeout: float = 2.5


class FailureDetector:
    """Probes members in a random order that visits each one before any is probed again.

    A member that answers neither directly nor through others becomes suspect, and dead when it does
    not refute the suspicion in time.  No state is changed when this process was paused during the
    probe: the answer may have arrived while the process was not running.
    """

    def __init__(
        self,
        *,
        settings: DetectorSettings,
        table: MemberTable,
        gossip: GossipQueue,
        port: ControlPort,
        timers: TimerService,
        pause: PauseDetector,
        seed: random.Random,
        position: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._table = table
        self._gossip = gossip
        self._port = port
        self._timers = timers
        self._pause = pause
        self._seed = seed
        self._position = position
        self._probe_numbers = itertools.count(1)
        #: Probes without an ack, with the host probed, by number.
        self._pending_probes: dict[int, tuple[str, anyio.Event]] = {}
        self._relayed_probes: dict[int, tuple[int, Address]] = {}
        self._probe_order: list[str] = []
        self._tasks: anyio.abc.TaskGroup | None = None
        self._failure_score = 0
        self._position_listeners: list[Callable[[str, int], None]] = []
        self._unknown_sender_listeners: list[Callable[[Address], None]] = []
        self._mismatch_listeners: list[Callable[[Address], None]] = []
        self._mismatches = 0
        port.on_datagram(Probe, self._on_probe)
        port.on_datagram(Ack, self._on_ack)
        port.on_datagram(ProbeRequest, self._on_probe_request)
        port.on_datagram(Gossip, self._on_gossip)
        table.subscribe(self._on_change)

    def on_position(self, listener: Callable[[str, int], None]) -> None:
        """Call `listener` with the host and log position of every probe and ack received."""
        self._position_listeners.append(listener)

    def on_table_mismatch(self, listener: Callable[[Address], None]) -> None:
        """Call `listener` with the address of a daemon whose table differs from this one.

        Differences that pending updates may explain are not reported.
        """
        self._mismatch_listeners.append(listener)

    def on_unknown_sender(self, listener: Callable[[Address], None]) -> None:
        """Call `listener` with the sender's address of every probe from an unknown daemon."""
        self._unknown_sender_listeners.append(listener)

    def probe_some(self, count: int) -> None:
        """Probe some members now, those of the own failure domain first.

        An ack counts as word of its sender; a missing one is no evidence of a failure.
        """
        own = self._table.own.domain
        others = list(self._table.others())
        self._seed.shuffle(others)
        others.sort(key=lambda member: member.domain != own)
        for member in others[:count]:
            self._send_probe(next(self._probe_numbers), member.control, member)

    async def run(self) -> None:
        """Probe one member per period until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            async for _ in self._timers.ticks(self._settings.period, jitter=0.1, seed=self._seed):
                member = self._next_member()
                if member is not None:
                    run = self._timers.account.run
                    tasks.start_soon(run, ProcessorPart.EXCHANGE, self._probe, member)

    def _next_member(self) -> Member | None:
        while True:
            if not self._probe_order:
                self._probe_order = [member.host for member in self._table.others()]
                self._seed.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self._table.find(self._probe_order.pop())
            if member is not None and member.is_present:
                return member

    async def _probe(self, member: Member) -> None:
        pauses = self._pause.pauses
        number = next(self._probe_numbers)
        acked = anyio.Event()
        self._pending_probes[number] = (member.host, acked)
        try:
            self._send_probe(number, member.control, member)
            if await self._wait_for_ack(
                acked, self._settings.direct_timeout * self._timeout_factor
            ):
                self._failure_score = max(0, self._failure_score - 1)
                return
            self._send_indirect_probes(number, member)
            if await self._wait_for_ack(
                acked, self._settings.indirect_timeout * self._timeout_factor
            ):
                return
        finally:
            del self._pending_probes[number]
        self._failure_score = min(_MAX_FAILURE_SCORE, self._failure_score + 1)
        self._pause.check()
        if self._pause.pauses == pauses:
            self._table.set_state(member, MemberState.SUSPECT)

    @property
    def _timeout_factor(self) -> int:
        """Factor for all timeouts granted to other members.

        It grows with consecutive failed probes: these make it likelier that this daemon is slow or
        partitioned than that all the others have failed.
        """
        return 1 + self._failure_score

    async def _wait_for_ack(self, acked: anyio.Event, seconds: float) -> bool:
        with self._timers.timeout(seconds):
            await acked.wait()
        return acked.is_set()

    def _send_probe(self, number: int, to: Address, member: Member | None = None) -> None:
        updates = self._gossip.next_updates(member, _PIGGYBACK_BYTES)
        probe = Probe(number, self._table.own.host, self._position(), updates)
        self._port.send_datagram(probe, to)

    def _send_indirect_probes(self, number: int, member: Member) -> None:
        relays = [m for m in self._table.others() if m.host != member.host]
        for relay_member in self._seed.sample(relays, min(_INDIRECT_PROBES, len(relays))):
            request = ProbeRequest(number, member.ip, member.control_port)
            self._port.send_datagram(request, relay_member.control)

    # --- datagrams ----------------------------------------------------------------------------

    def _on_probe(self, probe: Probe, sender: Address) -> None:
        self._process_piggyback(probe.host, probe.position, probe.updates)
        prober = self._table.find(probe.host)
        updates = self._gossip.next_updates(prober, _PIGGYBACK_BYTES)
        if prober is None:
            for listener in self._unknown_sender_listeners:
                listener(sender)
        if prober is not None and prober.state != MemberState.ALIVE:
            updates.insert(0, self._table.packed(probe.host))
        ack = Ack(probe.number, "", self._position(), updates, self._table.summary)
        self._port.send_datagram(ack, sender)

    def _on_ack(self, ack: Ack, sender: Address) -> None:
        relay = self._relayed_probes.pop(ack.number, None)
        if relay is not None:
            number, requester = relay
            self._port.send_datagram(Ack(number, "", ack.position, []), requester)
        host, acked = self._pending_probes.get(ack.number, ("", None))
        host = host or self._host_at(sender)
        self._process_piggyback(host, ack.position, ack.updates)
        self._compare_tables(ack, host)
        if acked is not None:
            acked.set()

    def _host_at(self, address: Address) -> str:
        """The host at an address, for acks that come late or for a relayed probe."""
        others = self._table.others()
        return next((member.host for member in others if member.control == address), "")

    def _compare_tables(self, ack: Ack, host: str) -> None:
        """Detect that an update has not reached this daemon or the one that answers.

        Updates are passed on at random, and one in ten misses one or two daemons of 195.  While
        updates are still being passed on, tables are expected to differ.
        """
        is_quiescent = self._gossip.is_empty and not ack.updates
        differs = is_quiescent and ack.summary not in (0, self._table.summary)
        self._mismatches = self._mismatches + 1 if differs else 0
        member = self._table.find(host)
        if member is not None and self._mismatches >= _MISMATCHES_TO_REPORT:
            self._mismatches = 0
            for listener in self._mismatch_listeners:
                listener(member.control)

    def _on_probe_request(self, request: ProbeRequest, sender: Address) -> None:
        number = next(self._probe_numbers)
        self._relayed_probes[number] = (request.number, sender)
        expiry = self._timers.now() + self._settings.indirect_timeout
        self._timers.call_at(expiry, lambda: self._forget_relay(number))
        self._send_probe(number, Address(request.ip, request.port))

    def _forget_relay(self, number: int) -> None:
        self._relayed_probes.pop(number, None)

    def _on_gossip(self, gossip: Gossip, _sender: Address) -> None:
        self._merge(gossip.updates)

    def _process_piggyback(self, host: str, position: int, updates: Iterable[bytes]) -> None:
        self._merge(updates)
        for listener in self._position_listeners:
            listener(host, position)

    def _merge(self, updates: Iterable[bytes]) -> None:
        for packed in updates:
            if not self._table.merge(packed):
                self._gossip.note_received(packed)

    # --- suspicion ----------------------------------------------------------------------------

    def _on_change(self, _before: Member | None, now: Member) -> None:
        if now.state == MemberState.SUSPECT and now.host != self._table.own.host:
            due = self._timers.now() + self._settings.suspicion_timeout * self._timeout_factor
            pauses = self._pause.pauses
            self._timers.call_at(due, lambda: self._declare_dead(now, pauses))

    def _declare_dead(self, suspect: Member, pauses: int) -> None:
        self._pause.check()
        if self._pause.pauses != pauses:
            self._on_change(None, suspect)
            return
        self._table.set_state(suspect, MemberState.DEAD)
