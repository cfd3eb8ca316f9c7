"""The gauges and counters of a daemon for operators."""

from __future__ import annotations

from attrs import frozen

from acaciayard_admission import LocalTargets, RetryBudgets, Suspects
from acaciayard_calls import Dispatcher, EntryServer
from acaciayard_handover import StreamPool
from acaciayard_membership import Membership
from acaciayard_quotas import MeshCaps
from acaciayard_rollouts import RolloutBook
from acaciayard_timers import EventLoopTimers, PauseDetector
from acaciayard_wire import BodyBudget, ControlPort, Traffic

from ._call_log import CallLog
from ._departures import DepartureStore
from ._eras import EraGuard
from ._follower import StoreFollower
from ._logs import BoundedLines
from ._metrics import Counts, Gauge
from ._versions import AcceptedVersions
from ._watch import StoreWatch

__all__ = [
    "GaugeSources",
    "connection_counts",
    "daemon_gauges",
    "read_counts",
    "retry_counts",
    "target_counts",
    "workspace_counts",
]


@frozen
class GaugeSources:
    """The parts that the gauges read."""

    #: The configuration in force.
    versions: AcceptedVersions
    #: The members of the mesh.
    members: Membership
    #: The platform's store.
    store: EraGuard
    #: Reader of the configuration.
    follower: StoreFollower
    #: Watches whether the store answers the lead.
    watch: StoreWatch
    #: Connections of callers.
    entry: EntryServer
    #: Dispatcher of the calls sent from this host.
    dispatcher: Dispatcher
    #: Retry budgets of the services.
    budgets: RetryBudgets
    #: Targets on this host.
    targets: LocalTargets
    #: Departures of targets on this host.
    departures: DepartureStore
    #: Requests suspected of ending targets.
    suspects: Suspects
    #: Rollouts of services to other versions.
    rollouts: RolloutBook
    #: Log output.
    lines: BoundedLines
    #: Outcomes of calls.
    calls: CallLog
    #: Pauses of the process.
    pause: PauseDetector
    #: Messages between daemons.
    port: ControlPort
    #: Traffic in bytes, by purpose.
    traffic: Traffic
    #: Request bodies that this process holds.
    bodies: BodyBudget
    #: Timers.
    timers: EventLoopTimers
    #: Streams to other daemons.
    pool: StreamPool
    #: Caps of workspaces.
    caps: MeshCaps


def daemon_gauges(of: GaugeSources) -> tuple[Gauge, ...]:
    """All gauges of a daemon; each is read when metrics are requested."""
    return (
        Gauge("version", "Version in force", lambda: of.versions.version),
        Gauge(
            "configuration_age_seconds",
            "Seconds since the store last confirmed the version in force, -1 before the first time",
            lambda: of.follower.age.seconds,
        ),
        Gauge(
            "store_reads_overdue",
            "Reads of the store that were overdue and got a second one beside them",
            lambda: of.follower.reads.overdue,
        ),
        Gauge(
            "store_doubts",
            "Times that this daemon missed word of an answer of the store",
            lambda: of.watch.doubts,
        ),
        Gauge("members", "Daemons that count as running", lambda: of.members.table.present_count),
        Gauge("retries", "Repeats of calls so far", lambda: of.dispatcher.retries),
        Gauge(
            "slots", "Slots of the targets here", lambda: sum(t.gate.slots for t in of.targets.all)
        ),
        Gauge(
            "slot_seconds",
            "Seconds for which slots of the targets here were held",
            lambda: sum(t.gate.busy_seconds for t in of.targets.all),
        ),
        Gauge(
            "waited_seconds",
            "Seconds for which calls waited for slots here",
            lambda: sum(t.gate.waited_seconds for t in of.targets.all),
        ),
        Gauge(
            "inner_waited_seconds",
            "Seconds of them for which calls made for other calls waited",
            lambda: sum(t.gate.inner_waited_seconds for t in of.targets.all),
        ),
        Gauge(
            "workspaces_waiting",
            "Workspaces with calls that wait for one target here, at most",
            lambda: max((t.gate.workspaces_waiting for t in of.targets.all), default=0),
        ),
        Gauge("targets_ended", "Targets that ended at work so far", lambda: of.targets.ended),
        Gauge("targets_limited", "Targets here that state a limit", lambda: of.targets.limited),
        Gauge("departures", "Departures that outlive this process", lambda: of.departures.known),
        Gauge(
            "departures_unstored",
            "Departures among them that the store does not have yet",
            lambda: of.departures.unstored,
        ),
        Gauge("suspects", "Requests under suspicion", lambda: of.suspects.suspected),
        Gauge("barred", "Requests that are refused", lambda: of.suspects.barred),
        Gauge("calls_barred", "Calls refused as barred", lambda: of.suspects.refused),
        Gauge("rollouts", "Services that move now", lambda: of.rollouts.running),
        Gauge("rollout_calls", "Calls sent to versions on trial", lambda: of.rollouts.exposed),
        Gauge("store_era", "Era of the store, as last heard of", lambda: of.store.era),
        Gauge(
            "store_era_changes",
            "Times that the store came back from another copy",
            lambda: of.store.era_changes,
        ),
        Gauge(
            "store_answers_late",
            "Answers of an earlier era of the store that were dropped",
            lambda: of.store.late_answers,
        ),
        Gauge("caps_unreached", "Calls refused with no seat in reach", lambda: of.caps.unreached),
        Gauge("rejected", "Bad configurations so far", lambda: of.versions.rejected),
        Gauge("tries", "Offers of calls of callers here so far", lambda: of.calls.tries),
        Gauge("timers_set", "Timers set so far", lambda: of.timers.timers_set),
        Gauge(
            "reply_waits_extended",
            "Waits for replies so far that a pause of this process has extended",
            lambda: of.timers.extended_waits,
        ),
        Gauge("streams_opened", "Streams for calls opened so far", lambda: of.pool.opened),
        Gauge("lines_written", "Log lines written so far", lambda: of.lines.written),
        Gauge("passed_over", "Versions not read for newer ones", lambda: of.versions.passed_over),
        Gauge("lines_dropped", "Log lines dropped so far", lambda: of.lines.dropped),
        Gauge(
            "pipelined",
            "Requests so far that were read behind unanswered ones of their connection",
            lambda: of.calls.pipelined,
        ),
        Gauge("caller_connections", "Open connections of callers", lambda: of.entry.connections),
        Gauge(
            "caller_bytes_held",
            "Bytes held by connections of callers that hold more than 8 KB",
            lambda: of.entry.held_bytes,
        ),
        Gauge("faults", "Connections and datagrams ended by a fault", lambda: of.calls.faults),
        Gauge(
            "datagrams_unsent",
            "Datagrams so far that could not be sent to another daemon",
            lambda: of.port.unsent,
        ),
        Gauge("bodies_held_bytes", "Bytes of bodies held for calls now", lambda: of.bodies.held),
        Gauge(
            "bodies_refused",
            "Bodies so far for which there was no room",
            lambda: of.bodies.refused,
        ),
        Gauge(
            "bodies_dropped",
            "Bodies so far that stood still and were dropped for others",
            lambda: of.bodies.dropped,
        ),
        Gauge("pauses", "Pauses of the process so far", lambda: of.pause.pauses),
        Gauge("control_bytes", "Bytes for control so far", of.traffic.control_bytes),
    )


def connection_counts(of: GaugeSources) -> tuple[Counts, ...]:
    """The counters of the connections of callers."""
    return (
        Counts(
            "caller_connections_cut",
            "Connections of callers closed because of a limit, by reason",
            ("reason",),
            lambda: of.calls.callers_cut,
        ),
    )


def target_counts(of: GaugeSources) -> tuple[Counts, ...]:
    """The counters of what targets here get."""
    return (
        Counts(
            "target_calls",
            "Calls sent to targets here, by attempt and by whether the target stated a limit",
            ("attempt", "limit"),
            lambda: of.targets.sent,
        ),
        Counts(
            "target_unrequested",
            "Connections to targets here that held bytes which answer no request, by where",
            ("where",),
            lambda: of.targets.unrequested,
        ),
        Counts(
            "target_answer_ends",
            "Responses of targets here that end with their connection, by how that ended",
            ("end",),
            lambda: of.targets.answer_ends,
        ),
    )


def read_counts(of: GaugeSources) -> tuple[Counts, ...]:
    """The counters of reads of the configuration from the store."""
    return (
        Counts(
            "store_reads",
            "Reads of the configuration by this daemon, by kind and outcome",
            ("kind", "outcome"),
            lambda: of.follower.reads.outcomes,
        ),
    )


def retry_counts(of: GaugeSources) -> tuple[Counts, ...]:
    """The counters of the retry budgets."""
    return (
        Counts(
            "retry_decisions",
            "Decisions of the retry budgets on this host, by service and kind",
            ("service", "decision"),
            lambda: of.budgets.decisions,
        ),
    )


def workspace_counts(of: GaugeSources) -> tuple[Counts, ...]:
    """The counters by workspace, each with a bounded number of workspaces."""
    return (
        Counts(
            "workspace_calls",
            "Calls of callers on this host that have ended, by workspace",
            ("workspace", "outcome", "status"),
            lambda: of.calls.by_workspace,
        ),
        Counts(
            "workspace_refused",
            "Calls refused here for the cap of their workspace",
            ("workspace",),
            lambda: {(name,): count for name, count in of.caps.refused.items()},
        ),
    )
