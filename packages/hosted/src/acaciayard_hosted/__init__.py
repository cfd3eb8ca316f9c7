"""A daemon for platforms that keep the accepted configuration and supervise the hosts."""

from ._call_log import CallLog
from ._eras import EraChange, EraGuard
from ._follower import StoreFollower, StoreKey
from ._logs import BoundedLines, bounded_logger
from ._platform import Handler, Platform, RolloutWords, StoredDepartures
from ._readiness import Readiness
from ._relay import VersionRelay
from ._rollouts import HostedRollouts
from ._run import run_platform_daemon
from ._settings import HostedSettings, RetrySettings, RolloutSettings
from ._version_messages import RELAY_MESSAGES
from ._versions import AcceptedVersion, AcceptedVersions, ConfigurationReader

__all__ = [
    "RELAY_MESSAGES",
    "AcceptedVersion",
    "AcceptedVersions",
    "BoundedLines",
    "CallLog",
    "ConfigurationReader",
    "EraChange",
    "EraGuard",
    "Handler",
    "HostedRollouts",
    "HostedSettings",
    "Platform",
    "Readiness",
    "RetrySettings",
    "RolloutSettings",
    "RolloutWords",
    "StoreFollower",
    "StoreKey",
    "StoredDepartures",
    "VersionRelay",
    "bounded_logger",
    "run_platform_daemon",
]
