"""Metrics as text in the exposition format of Prometheus."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from acaciayard_http1 import HttpReply, RequestHead

from ._call_log import CallLog

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["Gauge", "MetricsPage"]

_TEXT: Final = b"text/plain; version=0.0.4"
#: Bounds of the buckets of times, in milliseconds; half the goals of the deployments known, the
#: goals, and their time limits lie between two of them.
_BUCKETS_MS: Final = (5, 10, 20, 50, 100, 150, 200, 300, 500, 750, 1000, 2000, 5000)


@frozen
class Gauge:
    """A number that is read when metrics are asked for."""

    #: Name without the project's prefix.
    name: str
    #: What it says, with its unit.
    help: str
    #: Reads it.
    read: Callable[[], float]


class MetricsPage:
    """Collects what the parts count; it costs nothing until somebody asks."""

    def __init__(self, calls: CallLog, gauges: tuple[Gauge, ...]) -> None:
        self._calls = calls
        self._gauges = gauges

    async def answer(self, _head: RequestHead, _body: bytes) -> HttpReply:
        """The page."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]
        return HttpReply(200, generate_latest(registry), _TEXT)

    def collect(self) -> Iterator[Metric]:
        """All metrics, for the exposition library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        ended = CounterMetricFamily(
            "acaciayard_calls",
            "Calls of callers on this host that have ended",
            labels=("route", "outcome", "status"),
        )
        for labels, count in sorted(self._calls.ended.items()):
            ended.add_metric(labels, count)
        yield ended
        losses = CounterMetricFamily(
            "acaciayard_losses",
            "Calls of callers on this host not answered well in their latency goal",
            labels=("route", "cause"),
        )
        for loss, count in sorted(self._calls.losses.items()):
            losses.add_metric(loss, count)
        yield losses
        offers = CounterMetricFamily(
            "acaciayard_offers",
            "Calls handed over by other daemons that have ended at the target here",
            labels=("service", "outcome"),
        )
        for offer, count in sorted(self._calls.offers.items()):
            offers.add_metric(offer, count)
        yield offers
        times = HistogramMetricFamily(
            "acaciayard_call_ms", "Milliseconds of answered calls", labels=("route",)
        )
        for route, histogram in sorted(self._calls.histograms().items()):
            times.add_metric((route,), _buckets(histogram), sum_value=_sum_ms(histogram))
        yield times
        for gauge in self._gauges:
            yield GaugeMetricFamily(f"acaciayard_{gauge.name}", gauge.help, value=gauge.read())


def _buckets(histogram: Any) -> list[tuple[str, float]]:
    found = [(str(bound), float(_count_below(histogram, bound * 1000))) for bound in _BUCKETS_MS]
    return [*found, ("+Inf", float(histogram.get_total_count()))]


def _count_below(histogram: Any, microseconds: int) -> int:
    return sum(
        item.count_added_in_this_iter_step
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= microseconds
    )


def _sum_ms(histogram: Any) -> float:
    return float(histogram.get_mean_value() * histogram.get_total_count() / 1000)
