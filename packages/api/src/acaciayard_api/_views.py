"""What the API shows, as JSON values."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from acaciayard_calls import LevelReport
from acaciayard_membership import Member, MemberState, Suspicion, TargetState
from acaciayard_quotas import SeatStatus
from acaciayard_resources import Finding, Outcome, Stored, Workspace, spec_of
from acaciayard_spread import AcceptedChange

from ._changes import Progress

__all__ = [
    "accepted_view",
    "finding_views",
    "level_view",
    "member_view",
    "outcome_view",
    "progress_view",
    "stored_view",
    "suspect_view",
    "workspace_view",
]


def finding_views(findings: Iterable[Finding]) -> list[dict[str, str]]:
    """FindingsError with their places as text."""
    return [{"place": str(f.place), "message": f.message, "remedy": f.remedy} for f in findings]


def stored_view(item: Stored) -> dict[str, Any]:
    """A resource with its revision."""
    return {
        "kind": item.key.kind,
        "name": item.key.name,
        "revision": item.revision,
        "author": item.author,
        "time": item.time,
        "spec": spec_of(item.resource),
    }


def outcome_view(outcome: Outcome) -> dict[str, Any]:
    """What became of a change."""
    return {
        "change": outcome.change_id,
        "state": "accepted" if outcome.is_accepted else "rejected",
        "version": outcome.version,
        "position": outcome.position,
        "findings": finding_views(outcome.findings),
    }


def progress_view(progress: Progress) -> dict[str, Any]:
    """How far a change has spread."""
    return {
        "version": progress.version,
        "members": progress.members,
        "held": progress.held,
        "in_force": progress.in_force,
        "lacking": list(progress.lacking),
        "seconds": round(progress.seconds, 4),
        "everywhere": progress.is_everywhere,
    }


def accepted_view(change: AcceptedChange) -> dict[str, Any]:
    """An accepted change as an event of a watch."""
    return {
        "type": "accepted",
        "version": change.version,
        "change": change.change_id,
        "puts": [str(key) for key in change.puts],
        "deletions": [str(key) for key in change.deletions],
    }


def member_view(member: Member) -> dict[str, Any]:
    """A daemon with its targets."""
    return {
        "host": member.host,
        "failure_domain": member.domain,
        "state": MemberState(member.state).name.lower(),
        "incarnation": member.incarnation,
        "control": str(member.control),
        "api": f"{member.ip}:{member.api_port}",
        "targets": [
            {
                "service": target.service,
                "name": target.name,
                "slots": target.slots,
                "state": TargetState(target.state).name.lower(),
            }
            for target in member.targets
        ],
    }


def level_view(report: LevelReport) -> dict[str, Any]:
    """The level of a service."""
    return {
        "service": report.service,
        "objective_percent": report.objective_percent,
        "good": report.good,
        "bad": report.bad,
        "windows": {str(window): list(counts) for window, counts in report.windows.items()},
        "histogram": report.histogram,
    }


def suspect_view(suspicion: Suspicion, is_barred: bool) -> dict[str, Any]:
    """A request that is suspected of ending the targets that run it."""
    return {
        "fingerprint": suspicion.fingerprint.hex(),
        "ends": suspicion.ends,
        "barred": is_barred,
    }


def workspace_view(
    workspace: Workspace, *, refused: int, held: int, seats: Iterable[SeatStatus]
) -> dict[str, Any]:
    """A workspace, and what one daemon knows of its cap; its keys are counted and not shown."""
    return {
        "name": workspace.name,
        "keys": len(workspace.keys),
        "priority": workspace.priority,
        "calls_per_second": workspace.calls_per_second,
        "burst": workspace.burst,
        "refused": refused,
        "held": held,
        "seats": [
            {
                "seat": seat.seat,
                "tokens": seat.tokens,
                "held_elsewhere": seat.held_elsewhere,
                "per_second": round(seat.rate, 3),
            }
            for seat in seats
        ],
    }
