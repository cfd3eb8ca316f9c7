"""Events that the call path reports about each call, for logs and metrics."""

from __future__ import annotations

from typing import Final

from attrs import define, field, frozen

__all__ = ["NO_EVENTS", "CallEnded", "CallEvents", "OfferEnded", "Try"]


@frozen
class Try:
    """One attempt of a call at a host, and its outcome."""

    #: Name of the host.
    host: str
    #: `"answer 200"`, `"refused: …"` or `"unknown: …"`, with the suffix `" by v2"` in a rollout.
    outcome: str
    #: Duration in milliseconds.
    ms: float

    @property
    def is_unknown(self) -> bool:
        """Whether it is unknown whether the call ran at the host."""
        return self.outcome.startswith("unknown")


@define
class CallEnded:
    """The end of a caller's request: its final response was sent, or the caller disconnected."""

    #: Identity of the request, empty if callers send none.
    request_id: str = ""
    #: Matched route, empty if there is none.
    route: str = ""
    #: Service of the route.
    service: str = ""
    #: Version of the configuration with which the request was matched.
    version: int = 0
    #: `"answered"`, `"cut"`, `"not_run"`, `"unknown"`, `"rejected"` or `"caller_gone"`.
    outcome: str = "caller_gone"
    #: Status sent to the caller, 0 for none.
    status: int = 0
    #: Reason for an outcome other than `"answered"`.
    reason: str = ""
    #: Retry-After in seconds that was sent with a refusal, negative if none was sent.
    retry_after: float = -1.0
    #: Milliseconds from the head of the request to the end of its response.
    ms: float = 0.0
    #: Latency goal in milliseconds, 0 if the route has none.
    goal_ms: float = 0.0
    #: Whether a refusal was due to overload.
    is_overload: bool = False
    #: Whether the target itself refused.
    is_by_target: bool = False
    #: Whether it was refused as a request that crashes targets.
    is_barred: bool = False
    #: Estimated milliseconds since its caller first sent it, 0 if it is not a retry.
    age_ms: float = 0.0
    #: Hexadecimal fingerprint of the request, equal for repeated requests; set if the outcome of an
    #: attempt was unknown, otherwise empty.
    fingerprint: str = ""
    #: Workspace of the request, empty for none.
    workspace: str = ""
    #: Number of earlier requests of its connection that were unanswered when it was read.
    behind: int = 0
    #: Milliseconds for which it waited for the responses to those.
    held_ms: float = 0.0
    #: Finished attempts in order.
    tries: list[Try] = field(factory=list)
    #: Whether the retry budget of its service allowed no further attempt.
    is_over_retry_budget: bool = False


@frozen
class OfferEnded:
    """The end of a call that another daemon offered to a target on this host."""

    #: Identity of the request, empty if callers send none.
    request_id: str
    #: Service of the target.
    service: str
    #: `"answered"`, `"cut"`, `"not_run"` or `"unknown"`; `"cut"` follows `"answered"`, which is
    #: reported when the response begins.
    outcome: str
    #: Reason for an outcome other than `"answered"`.
    reason: str
    #: Running and queued calls at the target per slot.
    load: float
    #: Duration on this host in milliseconds.
    ms: float
    #: Workspace of the call, empty for none.
    workspace: str = ""


class CallEvents:
    """Receives the events of calls; this base class ignores those of ended calls."""

    def call_ended(self, ended: CallEnded) -> None:
        """Handle the end of a caller's request at this entry."""

    def offer_ended(self, ended: OfferEnded) -> None:
        """Handle the end of a call that another daemon offered to a target on this host."""

    def caller_cut(self, peer: str, reason: str, held: int, seconds: float) -> None:
        """Handle a caller's connection that was closed because of a limit.

        `held` are the bytes that it held, `seconds` how long it had made no progress.
        """

    def connection_failed(self, error: Exception) -> None:
        """Handle an unexpected exception that ended one connection.

        The default re-raises it in the task of the connection.  A daemon overrides this method so
        that its other connections, often hundreds, continue.
        """
        raise error


#: For daemons that report no events about single calls.
NO_EVENTS: Final = CallEvents()
