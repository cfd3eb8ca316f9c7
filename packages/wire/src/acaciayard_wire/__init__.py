"""Typed msgpack messages between daemons, over streams and datagrams whose bytes are counted."""

from ._body_budget import BodyBudget, HeldBody
from ._codec import MessageCodec, MessageError
from ._connection_buffers import ConnectionBuffers, ConnectionReset
from ._control import Address, ControlPort, DatagramHandler, StreamHandler
from ._faults import FaultHandler, raise_fault, trace_of, watch_callbacks
from ._memory import MemoryShares, memory_shares
from ._messages import MAX_MESSAGE_BYTES, MessageStream
from ._stream import ByteStream, Listener, StreamLostError, StreamRefusedError, connect, listen
from ._stream_end import EndKind, StreamEnd
from ._traffic import PeerTraffic, Purpose, Traffic, TrafficTotals

__all__ = [
    "MAX_MESSAGE_BYTES",
    "Address",
    "MessageError",
    "BodyBudget",
    "ByteStream",
    "ConnectionBuffers",
    "ConnectionReset",
    "ControlPort",
    "DatagramHandler",
    "EndKind",
    "FaultHandler",
    "HeldBody",
    "Listener",
    "MemoryShares",
    "MessageCodec",
    "MessageStream",
    "PeerTraffic",
    "Purpose",
    "StreamEnd",
    "StreamHandler",
    "StreamRefusedError",
    "StreamLostError",
    "Traffic",
    "TrafficTotals",
    "connect",
    "listen",
    "memory_shares",
    "raise_fault",
    "trace_of",
    "watch_callbacks",
]
