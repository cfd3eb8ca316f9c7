"""A network in the memory of a test: control ports whose messages can be cut, held and lost."""

from __future__ import annotations

from collections import deque
from typing import Final, cast

import anyio
import anyio.abc
import anyio.lowlevel

from acaciayard_timers import Signal, TimerService
from acaciayard_wire import (
    Address,
    ByteStream,
    ControlPort,
    MessageCodec,
    MessageStream,
    Purpose,
    StreamLostError,
    Traffic,
)

__all__ = ["FakeNetwork", "FakePort"]

#: Seconds that a message takes, one way.
_LATENCY: Final = 0.0015
_PORT: Final = 7400


class FakeNetwork:
    """Connects the ports of one test.

    Between two sides of a cut datagrams are lost and streams stand still, as they do when a cable
    is pulled: nobody is told.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._ports: dict[str, FakePort] = {}
        self._side: frozenset[str] = frozenset()
        self._streams: list[FakeStream] = []
        #: Every `lose_every`th datagram is lost; 0 for none.
        self.lose_every = 0
        self._datagrams = 0

    def attach(self, port: FakePort) -> None:
        """Make a port reachable."""
        self._ports[port.ip] = port

    def detach(self, port: FakePort) -> None:
        """The process behind a port is gone: its streams end, as the kernel ends them."""
        if self._ports.get(port.ip) is port:
            del self._ports[port.ip]
        for stream in [s for s in self._streams if port.ip in (s.ip, s.other_ip)]:
            stream.break_off()

    def cut_off(self, ips: set[str]) -> None:
        """Cut some addresses off from all others."""
        self._side = frozenset(ips)

    def heal(self) -> None:
        """End the cut; streams that stood still go on."""
        self._side = frozenset()
        for stream in self._streams:
            stream.pump()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether two addresses are on two sides of the cut."""
        return (one in self._side) != (other in self._side)

    def send(self, sender: FakePort, data: bytes, to: Address) -> None:
        """Carry a datagram."""
        self._datagrams += 1
        lost = self.lose_every and self._datagrams % self.lose_every == 0
        if lost or self.is_cut(sender.ip, to.ip):
            return
        due = self._timers.now() + _LATENCY
        self._timers.call_at(due, lambda: self._arrive(data, sender.address, to))

    def _arrive(self, data: bytes, sender: Address, to: Address) -> None:
        port = self._ports.get(to.ip)
        if port is not None and not self.is_cut(sender.ip, to.ip):
            port.take(data, sender)

    async def connect(self, caller: FakePort, to: Address) -> FakeStream:
        """Open a stream; waits for ever across a cut."""
        await self._timers.sleep(_LATENCY * 2)
        while self.is_cut(caller.ip, to.ip):
            await self._timers.sleep(0.5)
        port = self._ports.get(to.ip)
        if port is None:
            raise StreamLostError(f"nobody listens at {to}")
        near = FakeStream(caller.ip, to.ip, self, self._timers, caller.codec)
        far = FakeStream(to.ip, caller.ip, self, self._timers, port.codec)
        near.other, far.other = far, near
        alive = [s for s in self._streams if not (s.is_lost and s.other and s.other.is_lost)]
        self._streams = [*alive, near, far]
        port.accept(far)
        return near


class _Channel:
    """The part of a byte stream that message streams show to others."""

    def __init__(self, stream: FakeStream) -> None:
        self._stream = stream

    @property
    def is_lost(self) -> bool:
        return self._stream.is_lost

    @property
    def peer(self) -> str:
        return self._stream.other_ip

    def assign(self, purpose: Purpose) -> None:
        """Nothing is counted here."""

    def abort(self) -> None:
        self._stream.close()

    def close(self) -> None:
        self._stream.close()


class FakeStream(MessageStream):
    """One end of a stream in memory; messages pass the codec, as they would on a wire."""

    def __init__(
        self,
        ip: str,
        other_ip: str,
        network: FakeNetwork,
        timers: TimerService,
        codec: MessageCodec,
    ) -> None:
        super().__init__(cast(ByteStream, _Channel(self)), codec)
        self.ip = ip
        self.other_ip = other_ip
        self.other: FakeStream | None = None
        self.is_lost = False
        self._network = network
        self._timers = timers
        self._on_wire: deque[bytes] = deque()
        self._arrived: deque[bytes] = deque()
        self._changed = Signal()

    async def send(self, message: object) -> None:
        if self.is_lost or self.other is None or self.other.is_lost:
            raise StreamLostError(f"{self.other_ip} is gone")
        self._on_wire.append(self._codec.encode(message))
        self._timers.call_at(self._timers.now() + _LATENCY, self.pump)
        await anyio.lowlevel.checkpoint()

    def pump(self) -> None:
        """Let what is on the wire arrive, unless the network is cut."""
        if self.other is None or self._network.is_cut(self.ip, self.other_ip):
            return
        while self._on_wire:
            self.other.arrive(self._on_wire.popleft())
        if self.is_lost:
            self.other.break_off()

    def arrive(self, data: bytes) -> None:
        """Take one message from the wire."""
        self._arrived.append(data)
        self._changed.notify()

    async def receive(self) -> object:
        while not self._arrived:
            if self.is_lost:
                raise StreamLostError(f"{self.other_ip} is gone")
            await self._changed.wait_beyond(self._changed.count)
        return self._codec.decode(self._arrived.popleft())

    def break_off(self) -> None:
        """The connection is gone."""
        self.is_lost = True
        self._changed.notify()

    def close(self) -> None:
        """Close; the other end hears of it after all that was sent, and not across a cut."""
        self.break_off()
        self.pump()


class FakePort(ControlPort):
    """A control port on a `FakeNetwork`."""

    def __init__(self, network: FakeNetwork, *, codec: MessageCodec, ip: str) -> None:
        super().__init__(codec=codec, traffic=Traffic(), address=ip)
        self._network = network
        self.ip = ip

    @property
    def codec(self) -> MessageCodec:
        """How messages are packed."""
        return self._codec

    @property
    def address(self) -> Address:
        return Address(self.ip, _PORT)

    async def open(self, port: int, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self._network.attach(self)

    def accept(self, stream: FakeStream) -> None:
        """Serve a stream that another port has opened."""
        assert self._tasks is not None
        self._tasks.start_soon(self._serve_messages, stream)

    def take(self, data: bytes, sender: Address) -> None:
        """Take a datagram."""
        self._take_datagram(data, sender)

    def send_datagram(self, message: object, to: Address) -> None:
        self._network.send(self, self._codec.encode(message), to)

    async def connect(self, to: Address, purpose: Purpose) -> MessageStream:
        return await self._network.connect(self, to)

    def close(self) -> None:
        self._network.detach(self)
