"""Log fields for a member whose state has changed."""

from __future__ import annotations

from ._member import Member, MemberState

__all__ = ["member_log_fields"]


def member_log_fields(before: Member | None, now: Member) -> dict[str, object] | None:
    """The fields of a log line, or `None` when neither state nor incarnation has changed.

    Records also change whenever a target is added or removed; such changes are not logged.
    """
    if before is not None and (before.state, before.incarnation) == (now.state, now.incarnation):
        return None
    return {
        "member": now.host,
        "state": MemberState(now.state).name.lower(),
        "incarnation": now.incarnation,
        "failure_domain": now.domain,
    }
