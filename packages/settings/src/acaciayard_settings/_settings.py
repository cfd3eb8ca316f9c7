"""The settings of one host.

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
    "LogSection",
    "MeshSection",
    "PortsSection",
    "ShutdownSection",
    "SnapshotsSection",
    "load_settings",
    "parse_settings",
]

_T = TypeVar("_T")
_PORT: Final = Number(0, 65535, whole=True)
_HEADING: Final = re.compile(r"^\s*\[\s*([a-z_]+)\s*\]")
_KEY: Final = re.compile(r"^\s*([A-Za-z_][A-Za-z0-9_-]*)\s*=")


@frozen
class HostSection:
    """`[host]`: who and where this host is."""

    #: Name, unique in the mesh.
    name: str = checked(Text(longest=100, is_name=True))
    #: Failure domain that it stands in.
    failure_domain: str = checked(Text(longest=100, is_name=True))
    #: IP number on which all ports are opened and which other hosts use.
    address: str = checked(Text())


@frozen
class PortsSection:
    """`[ports]`: port numbers; 0 has the kernel choose one."""

    #: For daemons: control, TCP and UDP.
    control: int = checked(_PORT, default=7400)
    #: For daemons: calls.
    calls: int = checked(_PORT, default=7401)
    #: For callers.
    entry: int = checked(_PORT, default=7402)
    #: For operators and for the targets on this host.
    api: int = checked(_PORT, default=7403)


@frozen
class LogSection:
    """`[log]`: the platform's log service."""

    #: Where it is.
    url: str = checked(Text())


@frozen
class MeshSection:
    """`[mesh]`: the other daemons."""

    #: Control ports of daemons to meet first, as `"ip:port"`; a few in every failure domain.
    seeds: tuple[str, ...] = checked(Names(), default=())


@frozen
class DetectorSection:
    """`[detector]`: how fast failed daemons are found."""

    #: Seconds between two probes.
    period_s: float = checked(Number(0.02, 60), default=1.0)
    #: Seconds for the answer to a direct probe.
    direct_s: float = checked(Number(0.01, 60), default=0.3)
    #: Seconds for the answer through others.
    indirect_s: float = checked(Number(0.01, 60), default=0.6)
    #: Seconds for a suspect to refute.
    suspicion_s: float = checked(Number(0.05, 300), default=2.5)


@frozen
class SnapshotsSection:
    """`[snapshots]`: when the state is written into the log again."""

    #: After so many records since the latest one.
    every_records: int = checked(Number(1, 1_000_000, whole=True), default=500)
    #: After so many seconds; keep it well below the retention of the log.
    every_s: float = checked(Number(0.1, 604_800), default=600.0)
    #: Seconds between two looks.
    look_s: float = checked(Number(0.05, 600), default=2.0)


@frozen
class ShutdownSection:
    """`[shutdown]`: how the daemon stops."""

    #: Seconds for calls under way; what is left then is cut, and the log says so.
    grace_s: float = checked(Number(0, 86_400), default=3600.0)
    #: Seconds for the other daemons to notice before anything closes.
    notice_s: float = checked(Number(0, 60), default=0.5)


@frozen
class HostSettings:
    """All settings of one host."""

    #: Who and where this host is.
    host: HostSection
    #: The log service.
    log: LogSection
    #: Port numbers.
    ports: PortsSection = field(factory=PortsSection)
    #: The other daemons.
    mesh: MeshSection = field(factory=MeshSection)
    #: Finding failed daemons.
    detector: DetectorSection = field(factory=DetectorSection)
    #: Snapshots.
    snapshots: SnapshotsSection = field(factory=SnapshotsSection)
    #: Stopping.
    shutdown: ShutdownSection = field(factory=ShutdownSection)


_SECTIONS: Final[dict[str, type]] = {
    "host": HostSection,
    "log": LogSection,
    "ports": PortsSection,
    "mesh": MeshSection,
    "detector": DetectorSection,
    "snapshots": SnapshotsSection,
    "shutdown": ShutdownSection,
}
_REQUIRED: Final = ("host", "log")


def load_settings(path: Path) -> HostSettings:
    """Read a settings file; raises `FindingsError` with everything that is wrong with it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        place = Place(source=str(path))
        raise FindingsError.of(
            [Finding(place, f"cannot be read: {error}", "check the path")]
        ) from error
    return parse_settings(text, source=str(path))


def parse_settings(text: str, *, source: str = "host.toml") -> HostSettings:
    """Settings made of TOML text; raises `FindingsError`."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        place = Place(source=source)
        raise FindingsError.of(
            [Finding(place, f"is no TOML: {error}", "mend the syntax")]
        ) from error
    return _Reader(source, text).read(document)


class _Reader:
    """Reads all sections and collects what is wrong with any of them."""

    def __init__(self, source: str, text: str) -> None:
        self._source = source
        self._lines, self._keys = _locate(text)
        self._findings: list[Finding] = []

    def read(self, document: Mapping[str, Any]) -> HostSettings:
        for name in document:
            if name not in _SECTIONS:
                remedy = f"sections are {', '.join(f'[{known}]' for known in _SECTIONS)}"
                self._findings.append(Finding(self._place(name), "is not known", remedy))
        sections = {name: self._section(name, cls, document) for name, cls in _SECTIONS.items()}
        if not self._findings:
            self._findings.extend(self._address_findings(sections))
        if self._findings:
            raise FindingsError.of(self._findings)
        return HostSettings(**sections)

    def _place(self, section: str) -> Place:
        return Place(source=self._source, line=self._lines.get(section, 0), path=section)

    def _section(self, name: str, cls: type, document: Mapping[str, Any]) -> Any:
        values = document.get(name)
        if values is None and name in _REQUIRED:
            self._findings.append(Finding(self._place(name), "is missing", f"add [{name}]"))
            return None
        if values is not None and not isinstance(values, dict):
            self._findings.append(Finding(self._place(name), "is no section", f"use [{name}]"))
            return None
        try:
            return decode_fields(
                cls, values or {}, place=self._place(name), lines=self._keys.get(name, {})
            )
        except FindingsError as findings:
            self._findings.extend(findings.items)
            return None

    def _address_findings(self, sections: Mapping[str, Any]) -> Iterator[Finding]:
        place = self._place("host").at("address")
        address = sections["host"].address
        if not _is_ip(address):
            yield Finding(place, f"{address!r} is no IP number", 'use one like "10.1.2.3"')
        for seed in sections["mesh"].seeds:
            ip, _, port = seed.rpartition(":")
            if not _is_ip(ip) or not port.isdigit() or int(port) > 65535:
                yield Finding(
                    self._place("mesh").at("seeds"),
                    f"{seed!r} is no address",
                    'use one like "10.1.2.3:7400"',
                )


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _locate(text: str) -> tuple[dict[str, int], dict[str, dict[str, int]]]:
    """Lines of sections, and lines of keys by section."""
    lines: dict[str, int] = {}
    keys: dict[str, dict[str, int]] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        if heading := _HEADING.match(line):
            section = heading.group(1)
            lines.setdefault(section, number)
        elif key := _KEY.match(line):
            keys.setdefault(section, {}).setdefault(key.group(1), number)
    return lines, keys
