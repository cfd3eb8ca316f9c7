"""Tells from the logs of many hosts why a request ended as it did."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

import click
from attrs import field, frozen

from ._log_lines import LogLine
from ._output import print_json, print_table

__all__ = ["Explanation", "Summary", "explain", "print_explanation", "print_summary", "summarize"]

#: What stands between the identity of a call and the ending of one that its run has made.
_NESTED: Final = "."
#: Status of a call that its workspace may not make now.
_OVER_CAP: Final = "429"
#: Events that tell what a daemon believes, in a summary.
_BELIEFS: Final = (
    "started",
    "stopping",
    "stopped",
    "in_force",
    "configuration_rejected",
    "store_lost",
    "store_regained",
    "member",
    "feeder",
    "leaving_recalled",
    "departures_known",
    "departure_not_acknowledged",
    "cap_seat",
    "connection_failed",
    "handler_failed",
)


@frozen
class Explanation:
    """Why a request ended as it did."""

    #: Identity of the request.
    request: str
    #: The cause, in a sentence.
    cause: str
    #: Its lines and those of the calls that its run has made, by time.
    lines: tuple[LogLine, ...]


def explain(request: str, lines: Iterable[LogLine]) -> Explanation:
    """Why the request `request` ended as it did.

    Example:
        explain("d29bf6ba21f01eb2", read_lines(file)).cause
        # "refused on sidecar-1 after 6.8 ms, not run: 4 hosts were asked, 4 had no slot in time; …"
    """
    own = [line for line in lines if _belongs(line["request"], request) or _was_in(line, request)]
    own.sort(key=lambda line: line.time)
    ended = [line for line in own if line.event == "call_ended" and line["request"] == request]
    cause = _cause(ended[-1], own) if ended else _no_cause(own)
    return Explanation(request, cause, tuple(own))


def _belongs(found: str, request: str) -> bool:
    return bool(found) and (found == request or found.startswith(request + _NESTED))


def _was_in(line: LogLine, request: str) -> bool:
    """Whether the line tells of a target that ended while it ran the request."""
    return request in line["at_work"].split()


def _no_cause(own: list[LogLine]) -> str:
    if not own:
        return (
            "no line tells of this request: it ended well and was not sampled, or the log of the"
            " host that took it in is missing, or its lines were dropped (lines_dropped_before)"
        )
    return (
        f"the host that took the request in has no line; {len(own)} lines tell of offers elsewhere"
    )


def _cause(ended: LogLine, own: list[LogLine]) -> str:
    tries = _tries(ended["tries"])
    where = f"on {ended.host} after {ended['ms']} ms"
    match ended["outcome"]:
        case "not_run":
            back = f"; the caller may come back in {ended['retry_after_s']} s"
            return f"refused {where}, not run: {_refusals(tries)}; last: {ended['reason']}{back}"
        case "cut":
            return f"answer of status {ended['status']} broken off {where}: {ended['reason']}"
        case "unknown":
            last = tries[-1].host if tries else "no host"
            return f"unknown outcome {where}: sent to {last}, {ended['reason']}"
        case "rejected":
            whose = f" for workspace {ended['workspace']}" if ended["workspace"] else ""
            back = f"; the caller may come back in {ended['retry_after_s']} s"
            tail = back if ended["status"] == _OVER_CAP and ended["retry_after_s"] else ""
            return f"rejected {where} with {ended['status']}{whose}: {ended['reason']}{tail}"
        case "caller_gone":
            return f"the caller left {where}: {ended['reason'] or 'before an answer came'}"
        case "answered" if ended["status"] >= "500":
            nested = _failed_calls(ended["request"], own)
            return f"answered {ended['status']} by the target {where}{nested}"
    return f"answered {ended['status']} {where}: {_slowest(tries)}"


@frozen
class _Try:
    """One entry of `tries`: a host, its milliseconds, what came of it."""

    host: str
    ms: float
    outcome: str


def _tries(text: str) -> list[_Try]:
    tries = []
    for part in filter(None, text.split("; ")):
        host, _, rest = part.partition(" ")
        ms, _, outcome = rest.partition("ms ")
        try:
            tries.append(_Try(host, float(ms), outcome))
        except ValueError:
            continue  # a reason with a semicolon of its own: the rest of the entry before
    return tries


def _refusals(tries: list[_Try]) -> str:
    if not tries:
        return "no host was asked"
    full = sum("for a slot" in each.outcome for each in tries)
    limited = sum("for a turn at" in each.outcome for each in tries)
    text = f"{len(tries)} hosts were asked, {full} had no slot in time"
    return f"{text}, {limited} kept to a limit that their target states" if limited else text


def _failed_calls(request: str, own: list[LogLine]) -> str:
    failed = [
        line
        for line in own
        if line.event == "call_ended"
        and line["request"] != request
        and (line["outcome"] != "answered" or line["status"] >= "500")
    ]
    if not failed:
        return "; no call that its run made is known to have failed"
    first = failed[0]
    return f"; a call that its run made to {first['service']} failed: {first['reason']}"


def _slowest(tries: list[_Try]) -> str:
    if not tries:
        return "its tries were not logged"
    slowest = max(tries, key=lambda each: each.ms)
    return f"{len(tries)} tries, the longest {slowest.ms:g} ms at {slowest.host}"


def print_explanation(explanation: Explanation, *, as_json: bool) -> None:
    """Print the cause and the lines that it comes from."""
    if as_json:
        lines = [dict(line.fields) for line in explanation.lines]
        print_json({"request": explanation.request, "cause": explanation.cause, "lines": lines})
        return
    click.echo(explanation.cause)
    print_table(
        ("time", "host", "event", "request", "outcome", "ms", "reason"),
        [
            (
                *(line.time, line.host, line.event, line["request"], line["outcome"], line["ms"]),
                line["reason"],
            )
            for line in explanation.lines
        ],
    )


@frozen
class Summary:
    """What the logs of some hosts tell as a whole."""

    #: Calls that did not end well, by outcome and reason; numbers in reasons are left out.
    causes: Counter[tuple[str, str]] = field(factory=Counter)
    #: Events that tell what a daemon believes.
    beliefs: list[LogLine] = field(factory=list)
    #: Lines that daemons dropped.
    dropped: int = 0


def summarize(lines: Iterable[LogLine]) -> Summary:
    """Count refusals by cause and collect what the daemons came to believe, by time."""
    causes: Counter[tuple[str, str]] = Counter()
    beliefs = []
    dropped = 0
    for line in lines:
        dropped += int(line["lines_dropped_before"] or 0)
        if line.event == "call_ended" and line["outcome"] != "answered":
            causes[(line["outcome"], _without_numbers(line["reason"]))] += 1
        elif line.event in _BELIEFS:
            beliefs.append(line)
    beliefs.sort(key=lambda line: line.time)
    return Summary(causes, beliefs, dropped)


def _without_numbers(reason: str) -> str:
    return " ".join("#" if any(c.isdigit() for c in word) else word for word in reason.split())


def print_summary(summary: Summary, *, as_json: bool) -> None:
    """Print causes, most frequent first, then the timeline."""
    if as_json:
        causes = [[*key, count] for key, count in summary.causes.most_common()]
        timeline = [dict(line.fields) for line in summary.beliefs]
        print_json({"causes": causes, "timeline": timeline, "dropped": summary.dropped})
        return
    print_table(
        ("calls", "outcome", "reason"),
        [(count, *key) for key, count in summary.causes.most_common()],
    )
    click.echo(f"{summary.dropped} lines were dropped")
    shown = ("time", "event", "host", "level")
    for line in summary.beliefs:
        rest = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in shown)
        click.echo(f"{line.time}  {line.host}  {line.event}  {rest}")
