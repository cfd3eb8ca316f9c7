"""Refuses requests that cannot end before the daemon does, while it shuts down."""

from __future__ import annotations

from acaciayard_routing import Plan

from ._identity import Identity
from ._intake import EntryContext, deadline_of
from ._refusals import RejectedError
from ._turns import CallerRequest

__all__ = ["check_grace"]


def check_grace(
    request: CallerRequest, plan: Plan, context: EntryContext, identity: Identity
) -> None:
    """Raise `RejectedError` if a request may be cut by the end of a shutdown.

    A request that is refused without having run may be repeated, and one that is cut may not.  A
    nested call is taken as long as it can end, since its parent was taken and depends on it.
    """
    if not context.is_stopping:
        return
    grace = context.targets.grace
    if context.is_refusing and not _is_nested(request, context, identity):
        raise RejectedError(503, grace.refusal())
    deadline = deadline_of(request.head, plan, context, started=request.started)
    longest = context.durations.longest(plan.route.name)
    refusal = grace.refusal_of(deadline, longest=longest)
    if refusal is not None:
        raise RejectedError(503, refusal)


def _is_nested(request: CallerRequest, context: EntryContext, identity: Identity) -> bool:
    if not identity.may_be_nested:
        return False
    return context.targets.parent_of(request.ended.request_id.encode("latin-1")) is not None
