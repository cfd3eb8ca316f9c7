"""Host settings, read from a TOML file and validated as a whole."""

from ._settings import (
    DetectorSection,
    HostSection,
    HostSettings,
    LimitsSection,
    LogSection,
    MeshSection,
    PortsSection,
    ShutdownSection,
    SnapshotsSection,
    load_settings,
    parse_settings,
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
