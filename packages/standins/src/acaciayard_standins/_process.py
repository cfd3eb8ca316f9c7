"""A process whose log lines can be waited for."""

from __future__ import annotations

import contextlib
import os
import re
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Final

from attrs import frozen

__all__ = ["LogLine", "ProcessError", "StandInProcess"]

_PAIR: Final = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
#: Seconds for a process to say that it is ready, or to end.
_START_WITHIN: Final = 30.0
_END_WITHIN: Final = 15.0
#: State, major faults, user and system time in /proc/PID/stat, counted from behind the name.
_STAT_FIELDS: Final = (0, 9, 11, 12)


class ProcessError(Exception):
    """A process has ended, or has not said in time what was waited for."""


@frozen
class LogLine:
    """One event that a process has logged."""

    #: Name of the event.
    event: str
    #: All key=value pairs.
    pairs: Mapping[str, str]


def _parse(line: str) -> LogLine:
    pairs = {key: value.strip('"') for key, value in _PAIR.findall(line)}
    return LogLine(pairs.get("event", ""), pairs)


class StandInProcess:
    """Starts a Python module as a process of its own and follows its log."""

    def __init__(self, name: str, arguments: list[str]) -> None:
        self._name = name
        self._arguments = arguments
        self._lines: list[LogLine] = []
        self._changed = threading.Condition()
        self._process: subprocess.Popen[str] | None = None
        self._started_at = 0.0

    @property
    def name(self) -> str:
        """Name for messages."""
        return self._name

    @property
    def pid(self) -> int:
        """Id of the running process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def lines(self) -> tuple[LogLine, ...]:
        """Everything logged since the latest start."""
        with self._changed:
            return tuple(self._lines)

    def start(self) -> None:
        """Start the process without waiting for it."""
        self._lines = []
        self._started_at = time.monotonic()
        self._process = subprocess.Popen(
            [sys.executable, "-u", *self._arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        threading.Thread(target=self._follow, args=(self._process,), daemon=True).start()

    def _follow(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            with self._changed:
                if process is self._process:
                    self._lines.append(_parse(line) if "event=" in line else _raw(line))
                    self._changed.notify_all()
        with self._changed:
            self._changed.notify_all()

    def wait_ready(self) -> LogLine:
        """The line with which the process says that it is ready."""
        return self.wait_for(lambda line: line.event == "ready", within=_START_WITHIN)

    def wait_for(self, wanted: Callable[[LogLine], bool], *, within: float) -> LogLine:
        """The first line since the start that is wanted; raises `ProcessError`."""
        deadline = time.monotonic() + within
        seen = 0
        with self._changed:
            while True:
                for line in self._lines[seen:]:
                    if wanted(line):
                        return line
                seen = len(self._lines)
                left = deadline - time.monotonic()
                if left <= 0 or not self.is_running:
                    raise ProcessError(self._account(within))
                self._changed.wait(min(left, 0.5))

    def _account(self, within: float) -> str:
        assert self._process is not None
        tail = "\n".join(line.pairs.get("raw", str(dict(line.pairs))) for line in self._lines[-30:])
        age = time.monotonic() - self._started_at
        status = self._process.poll()
        if status is not None:
            return (
                f"{self._name} has ended with status {status} {age:.1f} s after its start:\n{tail}"
            )
        return (
            f"{self._name} did not log it within {within:g} s; it runs since {age:.1f} s:"
            f" {_usage(self.pid)}\n{tail}"
        )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            os.kill(self.pid, number)

    def kill(self) -> None:
        """End the process at once."""
        if self._process is not None:
            self.signal(signal.SIGKILL)
            self._process.wait(_END_WITHIN)

    def stop(self) -> None:
        """Ask the process to end, and wait for it."""
        if self._process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self._process.wait(_END_WITHIN)
        self.kill()

    def wait_end(self, within: float) -> int:
        """The exit status, once the process has ended."""
        assert self._process is not None
        return self._process.wait(within)

    def freeze(self) -> None:
        """Stop the process in its tracks."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)


def _usage(pid: int) -> str:
    """What a process has used, to tell one that hangs from one that gets no processor or disk."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return "usage unknown"  # it has just ended, or this system has no /proc
    state, disk_reads, *ticks = (fields[index] for index in _STAT_FIELDS)
    seconds = sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")
    return f"state {state}, {seconds:.2f} s of processor time, {disk_reads} pages read from disk"


def _raw(line: str) -> LogLine:
    return LogLine("", {"raw": line.rstrip()})
