"""Ports for processes that are told theirs before they start.

A port that the kernel gives out and that is let go of again may be given to any other process
before the one that it was meant for opens it.  So ports are taken from below the range of the
kernel's, and each one is claimed until the claiming process ends.
"""

from __future__ import annotations

import random
import socket
from pathlib import Path
from typing import Final

__all__ = ["claim_port"]

#: The first port that is handed out; below are those of well-known services.
_FIRST: Final = 10_000
#: Where the kernel says which ports it gives out by itself, and where that range starts usually.
_KERNEL_RANGE: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
_USUAL_START: Final = 32_768
#: Ports that are tried before giving up.
_TRIES: Final = 1_000

#: The claims of this process: sockets whose names hold a port until the process ends.
_claims: Final[list[socket.socket]] = []


def claim_port(ip: str, *, udp: bool = False) -> int:
    """A port of an address that nothing else gets while this process lives.

    It is free for streams, and with `udp` for datagrams as well.

    Example:

        port = claim_port("127.0.0.1")
        start_server("--port", str(port))
    """
    source = random.SystemRandom()
    last = _kernel_start() - 1
    for _ in range(_TRIES):
        port = source.randint(_FIRST, last)
        if not _claim(ip, port):
            continue
        if _is_free(ip, port, socket.SOCK_STREAM) and (
            not udp or _is_free(ip, port, socket.SOCK_DGRAM)
        ):
            return port
    raise OSError(f"no port of {ip} is free")


def _kernel_start() -> int:
    """The first port that the kernel gives out by itself."""
    try:
        return int(_KERNEL_RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        return _USUAL_START  # a system that does not tell; its range is assumed to be the usual one


def _claim(ip: str, port: int) -> bool:
    """Claim a port among all processes that ask here; false where another one has it."""
    claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        # The kernel forgets an abstract name when the process that holds it ends, however it ends.
        claim.bind(f"\0acaciayard-port-{ip}-{port}")
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True


def _is_free(ip: str, port: int, kind: socket.SocketKind) -> bool:
    """Whether no process listens there."""
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True
