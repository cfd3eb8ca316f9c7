"""State and measures of one daemon, as `acaciayard status` shows them."""

from __future__ import annotations

import resource
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

from attrs import frozen
from hdrh.histogram import HdrHistogram

from acaciayard_admission import LocalTargets
from acaciayard_calls import Claimer, Dispatcher, EntryServer
from acaciayard_handover import CallServer
from acaciayard_logservice import HttpLogService
from acaciayard_membership import MemberTable
from acaciayard_resources import Invariants
from acaciayard_spread import Spread
from acaciayard_timers import PauseDetector
from acaciayard_wire import BodyBudget, ControlPort, Traffic

__all__ = ["StatusSources", "status_view"]

_STATM: Final = Path("/proc/self/statm")
_PAGE: Final = resource.getpagesize()
_PEERS_SHOWN: Final = 10


@frozen
class StatusSources:
    """The parts that the status is read from."""

    #: Who else is there.
    table: MemberTable
    #: What this daemon holds and has in force.
    spread: Spread
    #: The log, with its counters.
    log: HttpLogService
    #: Bytes by purpose.
    traffic: Traffic
    #: Pauses of the process.
    pause: PauseDetector
    #: Promises that were found broken.
    invariants: Invariants
    #: Targets on this host.
    targets: LocalTargets
    #: Calls from callers.
    entry: EntryServer
    #: Request bodies that this process holds.
    bodies: BodyBudget
    #: Calls from other daemons.
    calls: CallServer
    #: Retries.
    dispatcher: Dispatcher
    #: Claims.
    claimer: Claimer
    #: Streams and datagrams of daemons.
    port: ControlPort


def status_view(sources: StatusSources, convergence: Any) -> dict[str, Any]:
    """Everything as JSON values."""
    own = sources.table.own
    spread = sources.spread
    holder = spread.holder
    recovery = spread.recovery.state
    domains = Counter(member.domain for member in sources.table.present())
    return {
        "host": own.host,
        "failure_domain": own.domain,
        "incarnation": own.incarnation,
        "version_in_force": holder.in_force_version,
        "version_accepted": holder.state.version,
        "position": holder.position,
        "confirmed": holder.confirmed,
        "digest": holder.state.digest.hex(),
        "held_because": holder.held_because,
        "recovered": recovery.is_done,
        "recovery": recovery.reason,
        "feeder": spread.is_feeder,
        "upstream": sorted(spread.links.upstream),
        "log": spread.log_reason or "ok",
        "log_age_s": None if spread.log_age is None else round(spread.log_age, 3),
        "log_reads": sources.log.reads,
        "log_appends": sources.log.appends,
        "members": dict(sorted(domains.items())),
        "violations": dict(sources.invariants.violations),
        "pauses": sources.pause.pauses,
        "rejected_messages": sources.port.rejected,
        "convergence": _histogram_view(convergence),
        "control_bytes": sources.traffic.control_bytes(),
        "traffic": {
            purpose.value: {"sent": totals.sent, "received": totals.received}
            for purpose, totals in sources.traffic.totals().items()
        },
        "busiest_peers": [
            {"peer": each.peer, "purpose": each.purpose.value, "bytes": each.count}
            for each in sources.traffic.busiest_peers(_PEERS_SHOWN)
        ],
        "calls": _calls_view(sources),
        "cpu_seconds": time.process_time(),
        "rss_bytes": _rss(),
    }


def _calls_view(sources: StatusSources) -> dict[str, Any]:
    return {
        "served": sources.entry.served,
        "running": sources.entry.running,
        "running_for_others": sources.calls.running,
        "bodies_held_bytes": sources.bodies.held,
        "bodies_refused": sources.bodies.refused,
        "bodies_dropped": sources.bodies.dropped,
        "retries": sources.dispatcher.retries,
        "claims": sources.claimer.claims,
        "claim_appends": sources.claimer.appends,
        "targets": [
            {
                "name": target.announcement.name,
                "service": target.announcement.service,
                "slots": target.gate.slots,
                "running": target.gate.running,
                "waiting": target.gate.waiting,
                "closed": target.gate.is_closed,
            }
            for target in sources.targets.all
        ],
    }


def _histogram_view(histogram: HdrHistogram) -> dict[str, Any]:
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    return {
        "count": count,
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "max_ms": histogram.get_max_value() / 1000,
    }


def _rss() -> int:
    return int(_STATM.read_text().split()[1]) * _PAGE
