"""Identifies the workspace of a request by the API key that it carries.

Nested calls of a target carry no key.  They belong to the workspace of the call for which the
target makes them, which their request identity names (`LocalTargets.parent_of`).  If that call is
not running here, the daemon was restarted or the caller has disconnected: no one waits for the
response, and the workspace cannot be determined.  Such a call is refused as not run; it never runs
for a guessed workspace.

Callers without a key on a route that requires one, and callers with a key that the active
configuration does not contain, are rejected with status 401.
"""

from __future__ import annotations

from typing import Final

from attrs import evolve, frozen

from acaciayard_admission import LocalTargets
from acaciayard_callmodel import UNCOUNTED, CountedCall, Dialect, NotRun, UsageCaps
from acaciayard_http1 import RequestHead, first_header
from acaciayard_resources import PRIORITIES, Workspace
from acaciayard_routing import Plan, Router

from ._refusals import RejectedError

__all__ = ["ANYONE", "Identity", "counted_of", "identity_of"]

#: Retry-After in seconds for a caller without a valid key; new keys are active everywhere by then.
_NO_KEY_RETRY_AFTER_S: Final = 5.0
#: Retry-After in seconds for a nested call whose parent is not running here.
_NO_PARENT_RETRY_AFTER_S: Final = 1.0


@frozen
class Identity:
    """The identity of a caller."""

    #: Name of the workspace, empty if the request needs none.
    workspace: str = ""
    #: Priority class of its calls as an index of `PRIORITIES`; `None` for that of the route.
    priority: int | None = None
    #: Whether the configuration has workspaces.  The key and workspace headers of the caller are
    #: then removed before the call is forwarded.
    is_checked: bool = False
    #: Whether a target makes the call for another one that it runs.
    is_nested: bool = False

    @property
    def may_be_nested(self) -> bool:
        """Whether the call may be a nested one; a call with a key is not."""
        return self.is_nested or not self.is_checked

    def ranked(self, plan: Plan) -> Plan:
        """The plan with the priority class of the workspace, if that has one."""
        if self.priority is None or self.priority == plan.priority:
            return plan
        return evolve(plan, priority=self.priority)


#: Identity of all callers if the configuration has no workspaces.
ANYONE: Final = Identity()
#: Identity of callers of a public route.
_UNNAMED: Final = Identity(is_checked=True)


def identity_of(
    head: RequestHead, plan: Plan, router: Router, *, dialect: Dialect, targets: LocalTargets
) -> Identity:
    """The identity of a request's caller in the configuration of `router`.

    Raises `RejectedError` if the route requires a workspace and the request has none.
    """
    holders = router.key_holders
    if holders.is_empty:
        return ANYONE
    key = first_header(head.headers, dialect.credential)
    if key:
        holder = holders.holder_of(key)
        if holder is not None:
            return _identity_in(holder)
    else:
        request_id = first_header(head.headers, dialect.request_id) if dialect.request_id else b""
        parent = targets.parent_of(request_id)
        if parent is not None:
            return Identity(parent.workspace, is_checked=True, is_nested=True)
        if targets.is_nested(request_id) and not plan.route.public:
            reason = "the call for which it is made does not run here"
            raise RejectedError(503, NotRun(reason, _NO_PARENT_RETRY_AFTER_S))
    if plan.route.public:
        return _UNNAMED
    reason = "no workspace holds this key" if key else "a key of a workspace is needed"
    raise RejectedError(401, NotRun(reason, _NO_KEY_RETRY_AFTER_S))


async def counted_of(identity: Identity, caps: UsageCaps) -> CountedCall:
    """Count a call for its workspace; raises `RejectedError` if the workspace is over its cap.

    Nested calls are not counted: their parent has been counted, and a refusal would waste its work.
    """
    if not caps.has_any or not identity.workspace or identity.is_nested:
        return UNCOUNTED
    counted = await caps.take(identity.workspace)
    if isinstance(counted, NotRun):
        raise RejectedError(429, counted)
    return counted


def _identity_in(holder: Workspace) -> Identity:
    priority = PRIORITIES.index(holder.priority) if holder.priority else None
    return Identity(holder.name, priority, is_checked=True)
