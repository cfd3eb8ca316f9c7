"""Reads what the kernel knows of processes, and guards the machine."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Any, Final

import click
import httpx
from attrs import frozen

__all__ = ["DaemonSample", "cpu_seconds", "guard_machine", "rss_bytes", "sample_daemon"]

_TICKS: Final = os.sysconf("SC_CLK_TCK")
_PAGE: Final = os.sysconf("SC_PAGE_SIZE")
#: Processes that a run may start, and its share of the machine's memory.
_MOST_PROCESSES: Final = 300
_MEMORY_SHARE: Final = 0.5


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def rss_bytes(pid: int) -> int:
    """Memory that a process holds."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE


def guard_machine(*, processes: int, megabytes: float) -> None:
    """Refuse a run that would need more than half of the memory or too many processes."""
    total = os.sysconf("SC_PHYS_PAGES") * _PAGE / 1e6
    if processes > _MOST_PROCESSES:
        raise click.ClickException(f"{processes} processes; {_MOST_PROCESSES} at most")
    if megabytes > total * _MEMORY_SHARE:
        raise click.ClickException(
            f"about {megabytes:.0f} MB needed; half of this machine is {total / 2:.0f} MB"
        )


@frozen
class DaemonSample:
    """A daemon at one moment."""

    #: When, by the monotonic clock.
    time: float
    #: Processor time used so far.
    cpu: float
    #: Control bytes so far.
    control_bytes: int
    #: Memory held.
    rss: int
    #: Requests to the log so far that read.
    log_reads: int
    #: All of its status.
    status: dict[str, Any]


def sample_daemon(pid: int, api: str) -> DaemonSample:
    """Ask a daemon and the kernel."""
    status = httpx.get(f"{api}/v1/status", timeout=10.0, trust_env=False).json()
    return DaemonSample(
        time=time.monotonic(),
        cpu=cpu_seconds(pid),
        control_bytes=status["control_bytes"],
        rss=rss_bytes(pid),
        log_reads=status["log_reads"],
        status=status,
    )
