"""Names of the header fields that callers, daemons and targets exchange about a call.

The defaults are the names of this project.  A deployment with callers and targets that use other
names passes its own `Dialect` to the call path:

    Dialect(deadline=b"x-time-left-ms", request_id=b"x-request-id")
"""

from __future__ import annotations

from typing import Any, Final

from attrs import evolve, frozen

__all__ = ["OWN_DIALECT", "Dialect"]


@frozen
class Dialect:
    """Names of header fields in lower case; an empty name means that the field is not used."""

    #: Milliseconds that the caller will wait; in requests to a target, the remaining ones.
    deadline: bytes = b"x-deadline-ms"
    #: Name of the caller, used for limits by caller.
    caller: bytes = b"x-caller"
    #: Idempotency key of a call.
    key: bytes = b"idempotency-key"
    #: Nesting depth of a call.
    depth: bytes = b"x-call-depth"
    #: Number of the attempt, sent with the second and later ones.
    attempt: bytes = b"x-call-attempt"
    #: Identity of the request, which targets repeat in their responses.
    request_id: bytes = b""
    #: Identity of the intended target; any other target refuses the call.
    expected_target: bytes = b""
    #: Marks a response by which a target states that it has not run the call.
    not_run: bytes = b""
    #: Authenticates a target's response; a successful response without it is treated as corrupt.
    response_signature: bytes = b""
    #: Calls per second that a target takes from all daemons together, stated in its responses.
    rate_limit: bytes = b""
    #: States that a target is leaving, in its responses.
    leaving: bytes = b""
    #: Service of the host from which the call came; the entry overwrites the caller's value.
    origin: bytes = b""
    #: API key of the caller's workspace; checked and removed if the configuration has workspaces.
    credential: bytes = b"x-api-key"
    #: Workspace of the call; the entry overwrites the caller's value if the configuration has
    #: workspaces.
    workspace: bytes = b"x-workspace"
    #: Whether `Retry-After` may contain fractions of a second.
    has_fractional_retry_after: bool = False

    def with_changes(self, **changes: Any) -> Dialect:
        """A copy with some attributes changed."""
        return evolve(self, **changes)

    @property
    def replaced(self) -> frozenset[bytes]:
        """Fields of a caller's request that are removed or replaced before it is forwarded."""
        names = (self.deadline, self.depth, self.attempt, self.expected_target, self.origin)
        return frozenset(name for name in (*names, b"expect") if name)

    @property
    def identifying(self) -> frozenset[bytes]:
        """Fields that are also removed or replaced if the configuration has workspaces."""
        return frozenset(name for name in (self.credential, self.workspace) if name)


#: The default names.
OWN_DIALECT: Final = Dialect()
