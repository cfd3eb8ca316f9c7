"""The header fields by which callers, daemons and targets tell each other about a call.

The project's own names are the defaults; a deployment whose callers and targets use other names
hands another `Dialect` to the parts of the call path:

    Dialect(deadline=b"x-time-left-ms", request_id=b"x-request-id")
"""

from __future__ import annotations

from typing import Any, Final

from attrs import evolve, frozen

__all__ = ["OWN_DIALECT", "Dialect"]


@frozen
class Dialect:
    """Names of header fields, in lower case; an empty name means that there is no such field."""

    #: Milliseconds that the caller still waits; towards a target what is left of them.
    deadline: bytes = b"x-deadline-ms"
    #: Who calls; used for limits by caller.
    caller: bytes = b"x-caller"
    #: Idempotency key of a call.
    key: bytes = b"idempotency-key"
    #: How many calls stand behind one another.
    depth: bytes = b"x-call-depth"
    #: Number of the attempt, sent with the second and further ones.
    attempt: bytes = b"x-call-attempt"
    #: Identity of the request, which targets repeat in their answers.
    request_id: bytes = b""
    #: Identity of the target that is meant; another one refuses the call.
    expected_target: bytes = b""
    #: By this a target says that it has not run the call.
    not_run: bytes = b""
    #: By this a target proves that an answer is its own; a success without it is spoiled.
    response_signature: bytes = b""
    #: Service of the host that the call came from; set by the entry whatever the caller sent.
    origin: bytes = b""
    #: Key of the caller's workspace; looked at, and taken out, where there are workspaces.
    credential: bytes = b"x-api-key"
    #: Workspace that a call is made for; set by the entry whatever the caller sent, where there are
    #: workspaces.
    workspace: bytes = b"x-workspace"
    #: Whether `Retry-After` may hold fractions of a second.
    has_fractional_retry_after: bool = False

    def with_changes(self, **changes: Any) -> Dialect:
        """A copy with some attributes changed."""
        return evolve(self, **changes)

    @property
    def replaced(self) -> frozenset[bytes]:
        """Fields of a caller's request that are not passed on as they came."""
        names = (self.deadline, self.depth, self.attempt, self.expected_target, self.origin)
        return frozenset(name for name in (*names, b"expect") if name)

    @property
    def identifying(self) -> frozenset[bytes]:
        """Fields that are not passed on as they came where the configuration has workspaces."""
        return frozenset(name for name in (self.credential, self.workspace) if name)


#: The names that this project gives.
OWN_DIALECT: Final = Dialect()
