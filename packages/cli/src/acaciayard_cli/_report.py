"""`report`: how fast the error budget of every service burns."""

from __future__ import annotations

import io
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from attrs import frozen
from hdrh.histogram import HdrHistogram

__all__ = ["Burn", "Level", "burn_rate", "merge_levels", "write_html"]

_LEAST_US: Final = 1
_MOST_US: Final = 3_600_000_000
_DIGITS: Final = 2
#: Burn rates from which an operator is to act: in the short window and in the long one.
ACT_FROM: Final = 14.4
LOOK_FROM: Final = 3.0


@frozen
class Burn:
    """Calls in one window."""

    #: Length of the window in minutes.
    minutes: int
    #: Calls answered well.
    good: int
    #: Other calls.
    bad: int
    #: How many times faster than allowed the error budget is used.
    rate: float


@frozen
class Level:
    """The level of one service over all daemons that answered."""

    #: Name of the service.
    service: str
    #: Share of calls to be answered well, in percent.
    objective_percent: float
    #: Calls answered well and not.
    good: int
    bad: int
    #: Windows, the shortest first.
    burns: tuple[Burn, ...]
    #: Times of calls in microseconds.
    histogram: HdrHistogram

    @property
    def verdict(self) -> str:
        """`act`, `look` or `ok`."""
        shortest = self.burns[0].rate if self.burns else 0.0
        longer = self.burns[1].rate if len(self.burns) > 1 else 0.0
        if shortest >= ACT_FROM and longer >= ACT_FROM:
            return "act"
        return "look" if max(shortest, longer) >= LOOK_FROM else "ok"

    def percentile_ms(self, percent: float) -> float:
        """Time within which so many percent of the calls ended, in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percent)) / 1000

    def as_json(self) -> dict[str, Any]:
        """The level as plain values."""
        return {
            "service": self.service,
            "objective_percent": self.objective_percent,
            "good": self.good,
            "bad": self.bad,
            "p50_ms": self.percentile_ms(50),
            "p99_ms": self.percentile_ms(99),
            "burn": {str(burn.minutes): round(burn.rate, 3) for burn in self.burns},
            "verdict": self.verdict,
        }


def burn_rate(good: int, bad: int, objective_percent: float) -> float:
    """The share of bad calls over the share that is allowed.

    Example:

        burn_rate(98, 2, 99.0)      # 2.0
    """
    calls = good + bad
    allowed = 1 - objective_percent / 100
    return (bad / calls) / allowed if calls else 0.0


def merge_levels(hosts: Mapping[str, Sequence[Mapping[str, Any]]]) -> list[Level]:
    """Levels by service, added up over hosts."""
    by_service: dict[str, list[Mapping[str, Any]]] = {}
    for reports in hosts.values():
        for report in reports:
            by_service.setdefault(report["service"], []).append(report)
    return [_merge(service, reports) for service, reports in sorted(by_service.items())]


def _merge(service: str, reports: Sequence[Mapping[str, Any]]) -> Level:
    objective = float(reports[0]["objective_percent"])
    histogram = HdrHistogram(_LEAST_US, _MOST_US, _DIGITS)
    for report in reports:
        histogram.decode_and_add(report["histogram"])
    burns = []
    for minutes in sorted({int(m) for report in reports for m in report["windows"]}):
        counts = [report["windows"].get(str(minutes), (0, 0)) for report in reports]
        good = sum(count[0] for count in counts)
        bad = sum(count[1] for count in counts)
        burns.append(Burn(minutes, good, bad, burn_rate(good, bad, objective)))
    return Level(
        service=service,
        objective_percent=objective,
        good=sum(int(report["good"]) for report in reports),
        bad=sum(int(report["bad"]) for report in reports),
        burns=tuple(burns),
        histogram=histogram,
    )


def write_html(levels: Sequence[Level], path: Path) -> None:
    """Write the report as a page that stands alone, with a plot of burn rates and of times."""
    rows = "\n".join(_row(level) for level in levels)
    path.write_text(
        f"""<!doctype html>
<meta charset="utf-8">
<title>Service levels</title>
<style>
body {{ font: 16px/1.5 sans-serif; margin: 2rem auto; max-width: 60rem; color: #222 }}
table {{ border-collapse: collapse; width: 100% }}
td, th {{ padding: .3rem .6rem; border-bottom: 1px solid #ddd; text-align: right }}
td:first-child, th:first-child {{ text-align: left }}
.act {{ background: #f9d0c9 }} .look {{ background: #fbeec2 }} .ok {{ background: #dcefdc }}
svg {{ max-width: 100%; height: auto }}
</style>
<h1>Service levels</h1>
<p>A burn rate of 1 uses up the error budget exactly; <b>act</b> from {ACT_FROM:g} in both short
windows, <b>look</b> from {LOOK_FROM:g} in one.</p>
<table>
<tr><th>service<th>objective<th>calls<th>bad<th>p50 ms<th>p99 ms<th>burn<th>verdict</tr>
{rows}
</table>
{_plots(levels)}
""",
        encoding="utf-8",
    )


def _row(level: Level) -> str:
    burns = " / ".join(f"{burn.rate:.2f}" for burn in level.burns)
    return (
        f'<tr class="{level.verdict}"><td>{level.service}<td>{level.objective_percent:g} %'
        f"<td>{level.good + level.bad}<td>{level.bad}<td>{level.percentile_ms(50):.1f}"
        f"<td>{level.percentile_ms(99):.1f}<td>{burns}<td>{level.verdict}</tr>"
    )


def _plots(levels: Sequence[Level]) -> str:
    """Burn rates by service and window, and distributions of times, as inline SVG."""
    if not levels:
        return "<p>No calls yet.</p>"
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 0.5 * len(levels) + 3))
    names = [level.service for level in levels]
    windows = [burn.minutes for burn in levels[0].burns]
    height = 0.8 / max(1, len(windows))
    for index, minutes in enumerate(windows):
        places = [row + index * height for row in range(len(levels))]
        rates = [level.burns[index].rate for level in levels]
        left.barh(places, rates, height=height, label=f"{minutes} min")
    left.set_yticks([row + 0.3 for row in range(len(levels))], names)
    left.axvline(1.0, color="black", linewidth=1)
    left.set_xlabel("burn rate")
    left.legend()
    percents = [10, 25, 50, 75, 90, 95, 99, 99.9]
    for level in levels:
        right.plot(percents, [level.percentile_ms(p) for p in percents], label=level.service)
    right.set_yscale("log")
    right.set_xlabel("percent of calls")
    right.set_ylabel("ms")
    right.legend()
    figure.tight_layout()
    drawing = io.StringIO()
    figure.savefig(drawing, format="svg")
    pyplot.close(figure)
    text = drawing.getvalue()
    return text[text.index("<svg") :]
