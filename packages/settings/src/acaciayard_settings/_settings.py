"""Settings of one host.

An example of a settings file:

[host]
name = "novero-1"
failure_domain = "riga-a"
address = "127.0.0.1"

[ports]
control = 7400
calls = 7401
entry = 7402
api = 7403

[log]
url = "http://127.0.0.1:9400"

[mesh]
seeds = ["127.0.0.1:7400"]
"""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, TypeVar

from attrs import field, frozen

from acaciayard_resources import (
    Finding,
    FindingsError,
    Names,
    Number,
    Place,
    Text,
    checked,
    decode_fields,
)

__all__ = [
    "DetectorSection",
    "HostSection",
    "HostSettings",
    "LimitsSection",
    "LogSection",
    "MeshSection",
    "PortsSection",
    "ShutdownSection",
    "SnapshotsSection",
    "load_settings",
    "parse_settings",
]

_T = TypeVar("_T")
_PORT_NUMBER: Final = Number(0, 65535, whole=True)
_SECTION_HEADER: Final = re.compile(r"^\s*\[\s*([a-z_]+)\s*\]")
_KEY_ASSIGNMENT: Final = re.compile(r"^\s*([A-Za-z_][A-Za-z0-9_-]*)\s*=")


@frozen
class HostSection:
    """`[host]`: identity and location of this host."""

    #: Host name, unique in the mesh.
    name: str = checked(Text(longest=100, is_name=True))
    #: Failure domain that the host belongs to.
    failure_domain: str = checked(Text(longest=100, is_name=True))
    #: IP address that all ports are bound to and that other hosts connect to.
    address: str = checked(Text())


@frozen
class PortsSection:
    """`[ports]`: port numbers; with 0 the kernel assigns a free port."""

    #: Control traffic between daemons, over TCP and UDP.
    control: int = checked(_PORT_NUMBER, default=7400)
    #: Calls forwarded between daemons.
    calls: int = checked(_PORT_NUMBER, default=7401)
    #: Calls from clients.
    entry: int = checked(_PORT_NUMBER, default=7402)
    #: API for operators and for the targets on this host.
    api: int = checked(_PORT_NUMBER, default=7403)


@frozen
class LogSection:
    """`[log]`: connection to the platform's log service."""

    #: Base URL of the log service.
    url: str = checked(Text())


@frozen
class MeshSection:
    """`[mesh]`: how to find the other daemons."""

    #: Control addresses of the daemons to contact first, as `"ip:port"`; list a few in every
    #: failure domain.
    seeds: tuple[str, ...] = checked(Names(), default=())


@frozen
class DetectorSection:
    """`[detector]`: timing of the failure detector."""

    #: Interval between probes, in seconds.
    period_s: float = checked(Number(0.02, 60), default=1.0)
    #: Timeout of a direct probe, in seconds.
    direct_s: float = checked(Number(0.01, 60), default=0.3)
    #: Timeout of an indirect probe, which other daemons relay, in seconds.
    indirect_s: float = checked(Number(0.01, 60), default=0.6)
    #: Time that a suspected daemon has to refute the suspicion, in seconds.
    suspicion_s: float = checked(Number(0.05, 300), default=2.5)


@frozen
class SnapshotsSection:
    """`[snapshots]`: when a snapshot of the state is appended to the log."""

    #: Number of records since the latest snapshot after which a new one is written.
    every_records: int = checked(Number(1, 1_000_000, whole=True), default=500)
    #: Seconds after which a new snapshot is written; keep this well below the log's retention.
    every_s: float = checked(Number(0.1, 604_800), default=600.0)
    #: Interval between checks whether a snapshot is due, in seconds.
    look_s: float = checked(Number(0.05, 600), default=2.0)


@frozen
class LimitsSection:
    """`[limits]`: what the process may use."""

    #: Memory that the process may use, in megabytes; it bounds the request bodies that the process
    #: holds.
    memory_mb: float = checked(Number(64, 1_048_576), default=300.0)


@frozen
class ShutdownSection:
    """`[shutdown]`: timing of a graceful shutdown."""

    #: Seconds that calls in progress have to finish; the remaining ones are then aborted, and
    #: the log records this.
    grace_s: float = checked(Number(0, 86_400), default=3600.0)
    #: Seconds that the other daemons have to notice the shutdown before any socket is closed.
    notice_s: float = checked(Number(0, 60), default=0.5)


@frozen
class HostSettings:
    """All settings of one host."""

    #: Identity and location of this host.
    host: HostSection
    #: Connection to the log service.
    log: LogSection
    #: Port numbers of this host.
    ports: PortsSection = field(factory=PortsSection)
    #: How to find the other daemons.
    mesh: MeshSection = field(factory=MeshSection)
    #: Timing of the failure detector.
    detector: DetectorSection = field(factory=DetectorSection)
    #: When snapshots are written.
    snapshots: SnapshotsSection = field(factory=SnapshotsSection)
    #: What the process may use.
    limits: LimitsSection = field(factory=LimitsSection)
    #: Timing of a graceful shutdown.
    shutdown: ShutdownSection = field(factory=ShutdownSection)


_SECTION_TYPES: Final[dict[str, type]] = {
    "host": HostSection,
    "log": LogSection,
    "ports": PortsSection,
    "mesh": MeshSection,
    "detector": DetectorSection,
    "snapshots": SnapshotsSection,
    "limits": LimitsSection,
    "shutdown": ShutdownSection,
}
_REQUIRED_SECTIONS: Final = ("host", "log")


def load_settings(path: Path) -> HostSettings:
    """Read a settings file; raises `FindingsError` with all errors found in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = Place(source=str(path))
        raise FindingsError.of(
            [Finding(place, f"cannot be read: {error}", "check the path")]
        ) from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str = "host.toml") -> HostSettings:
    """Parse settings from TOML text; raises `FindingsError` with all errors found."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        place = Place(source=source)
        raise FindingsError.of(
            [Finding(place, f"is not valid TOML: {error}", "fix the syntax")]
        ) from error
    return _SettingsParser(source, text).parse(document)


class _SettingsParser:
    """Parses all sections and collects the errors of every one of them."""

    def __init__(self, source: str, text: str) -> None:
        self._source = source
        self._section_lines, self._key_lines = _find_line_numbers(text)
        self._findings: list[Finding] = []

    def parse(self, document: Mapping[str, Any]) -> HostSettings:
        for name in document:
            if name not in _SECTION_TYPES:
                remedy = f"sections are {', '.join(f'[{known}]' for known in _SECTION_TYPES)}"
                self._findings.append(
                    Finding(self._section_place(name), "is not a known section", remedy)
                )
        sections = {
            name: self._parse_section(name, cls, document) for name, cls in _SECTION_TYPES.items()
        }
        if not self._findings:
            self._findings.extend(self._address_findings(sections))
        if self._findings:
            raise FindingsError.of(self._findings)
        return HostSettings(**sections)

    def _section_place(self, section: str) -> Place:
        return Place(source=self._source, line=self._section_lines.get(section, 0), path=section)

    def _parse_section(self, name: str, cls: type, document: Mapping[str, Any]) -> Any:
        values = document.get(name)
        if values is None and name in _REQUIRED_SECTIONS:
            self._findings.append(Finding(self._section_place(name), "is missing", f"add [{name}]"))
            return None
        if values is not None and not isinstance(values, dict):
            self._findings.append(
                Finding(self._section_place(name), "is not a section", f"use [{name}]")
            )
            return None
        try:
            return decode_fields(
                cls,
                values or {},
                place=self._section_place(name),
                lines=self._key_lines.get(name, {}),
            )
        except FindingsError as error:
            self._findings.extend(error.items)
            return None

    def _address_findings(self, sections: Mapping[str, Any]) -> Iterator[Finding]:
        place = self._section_place("host").at("address")
        address = sections["host"].address
        if not _is_ip_address(address):
            yield Finding(place, f"{address!r} is not an IP address", 'use one like "10.1.2.3"')
        for seed in sections["mesh"].seeds:
            ip, _, port = seed.rpartition(":")
            if not _is_ip_address(ip) or not port.isdigit() or int(port) > 65535:
                yield Finding(
                    self._section_place("mesh").at("seeds"),
                    f"{seed!r} is not a socket address",
                    'use one like "10.1.2.3:7400"',
                )


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _find_line_numbers(text: str) -> tuple[dict[str, int], dict[str, dict[str, int]]]:
    """Return the line numbers of the section headers, and those of the keys by section."""
    lines: dict[str, int] = {}
    keys: dict[str, dict[str, int]] = {}
    section = ""
    for line_number, line in enumerate(text.splitlines(), start=1):
        if header := _SECTION_HEADER.match(line):
            section = header.group(1)
            lines.setdefault(section, line_number)
        elif key := _KEY_ASSIGNMENT.match(line):
            keys.setdefault(section, {}).setdefault(key.group(1), line_number)
    return lines, keys
