"""Counts from the logs of many hosts what calls were lost by, second by second."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

import click
from attrs import field, frozen

from ._log_lines import LogLine
from ._output import print_json, print_table

__all__ = ["Losses", "count_losses", "print_losses"]

#: Characters of a line's time up to its seconds.
_TO_SECONDS: Final = len("2026-01-01T00:00:00")


@frozen
class Losses:
    """Calls that were not answered well in their goal, as far as they were logged."""

    #: By second, route and cause.
    counts: Counter[tuple[str, str, str]] = field(factory=Counter)
    #: Lines that daemons dropped: calls may be missing.
    dropped: int = 0


def count_losses(lines: Iterable[LogLine]) -> Losses:
    """Count the calls that say what they were lost by.

    Example:
        count_losses(read_lines(file)).counts[("2026-01-01T00:00:03", "quotes", "no_slot")]
    """
    counts: Counter[tuple[str, str, str]] = Counter()
    dropped = 0
    for line in lines:
        dropped += int(line["lines_dropped_before"] or 0)
        if line.event == "call_ended" and line["loss"]:
            counts[(line.time[:_TO_SECONDS], line["route"], line["loss"])] += 1
    return Losses(counts, dropped)


def print_losses(losses: Losses, *, as_json: bool) -> None:
    """Print a row for each second and route, with the most frequent cause first."""
    if as_json:
        rows = [[*key, count] for key, count in sorted(losses.counts.items())]
        print_json({"losses": rows, "dropped": losses.dropped})
        return
    by_route: dict[tuple[str, str], Counter[str]] = {}
    for (second, route, cause), count in losses.counts.items():
        by_route.setdefault((second, route), Counter())[cause] += count
    print_table(
        ("second", "route", "lost", "causes"),
        [
            (second, route, causes.total(), _told(causes))
            for (second, route), causes in sorted(by_route.items())
        ],
    )
    click.echo(f"{losses.dropped} lines were dropped")


def _told(causes: Counter[str]) -> str:
    return ", ".join(f"{cause} {count}" for cause, count in causes.most_common())
