"""Metrics in the text exposition format of Prometheus."""

from __future__ import annotations

import bisect
import itertools
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, Any, Final

from attrs import frozen

from acaciayard_http1 import HttpReply, RequestHead
from acaciayard_timers import NO_ACCOUNT, ProcessorAccount

from ._call_log import CallLog

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["Counts", "Gauge", "MetricsPage"]

_CONTENT_TYPE: Final = b"text/plain; version=0.0.4"
#: Bucket bounds in milliseconds; half the goals of the known deployments, the goals, and their time
#: limits lie between two of them.
_BUCKETS_MS: Final = (5, 10, 20, 50, 100, 150, 200, 300, 500, 750, 1000, 2000, 5000)


@frozen
class Gauge:
    """A gauge that is read when metrics are requested."""

    #: Name without the prefix of the project.
    name: str
    #: Help text, with the unit.
    help: str
    #: Returns the value.
    read: Callable[[], float]


@frozen
class Counts:
    """A labelled counter that is read when metrics are requested."""

    #: Name without the prefix of the project.
    name: str
    #: Help text.
    help: str
    #: Label names.
    labels: tuple[str, ...]
    #: Returns the values by label values.
    read: Callable[[], Mapping[Any, int]]


class MetricsPage:
    """Renders the metrics of all parts; does no work until it is requested."""

    def __init__(
        self,
        calls: CallLog,
        gauges: tuple[Gauge, ...],
        counts: tuple[Counts, ...] = (),
        *,
        account: ProcessorAccount = NO_ACCOUNT,
    ) -> None:
        self._account = account
        self._calls = calls
        self._counts = counts
        self._gauges = gauges

    async def answer(self, _head: RequestHead, _body: bytes) -> HttpReply:
        """Return the metrics page."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)  # type: ignore[arg-type]
        return HttpReply(200, generate_latest(registry), _CONTENT_TYPE)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics, for the exposition library."""
        from prometheus_client.core import GaugeMetricFamily, HistogramMetricFamily

        yield _counter(
            "acaciayard_calls",
            "Calls of callers on this host that have ended",
            labels=("route", "outcome", "status"),
            counts=self._calls.ended,
        )
        yield _counter(
            "acaciayard_losses",
            "Calls of callers on this host not answered well in their latency goal",
            labels=("route", "cause"),
            counts=self._calls.losses,
        )
        yield _counter(
            "acaciayard_offers",
            "Calls handed over by other daemons that have ended at the target here",
            labels=("service", "outcome"),
            counts=self._calls.offers,
        )
        times = HistogramMetricFamily(
            "acaciayard_call_ms", "Milliseconds of answered calls", labels=("route",)
        )
        for route, histogram in sorted(self._calls.histograms().items()):
            times.add_metric((route,), _buckets(histogram), sum_value=_sum_ms(histogram))
        yield times
        yield _counter(
            "acaciayard_processor_seconds",
            "Processor time of this process by the part that used it, in seconds",
            labels=("part",),
            counts={(part.value,): spent for part, spent in self._account.seconds().items()},
        )
        yield _counter(
            "acaciayard_task_steps",
            "How often tasks of each part were woken",
            labels=("part",),
            counts={(part.value,): count for part, count in self._account.steps.items()},
        )
        for counts in self._counts:
            yield _counter(
                f"acaciayard_{counts.name}", counts.help, labels=counts.labels, counts=counts.read()
            )
        for gauge in self._gauges:
            yield GaugeMetricFamily(f"acaciayard_{gauge.name}", gauge.help, value=gauge.read())


def _counter(
    name: str, help_text: str, *, labels: tuple[str, ...], counts: Mapping[Any, float]
) -> Metric:
    """Build a counter with a sample for each combination of labels that has occurred."""
    from prometheus_client.core import CounterMetricFamily

    counter = CounterMetricFamily(name, help_text, labels=labels)
    for values, count in sorted(counts.items()):
        counter.add_metric(values, count)
    return counter


def _buckets(histogram: Any) -> list[tuple[str, float]]:
    """Return cumulative counts by bound; one pass over the histogram takes milliseconds."""
    counts = [0] * (len(_BUCKETS_MS) + 1)
    for item in histogram.get_recorded_iterator():
        bucket = bisect.bisect_left(_BUCKETS_MS, item.value_iterated_to / 1000)
        counts[bucket] += item.count_added_in_this_iter_step
    bounds = [*map(str, _BUCKETS_MS), "+Inf"]
    return list(zip(bounds, map(float, itertools.accumulate(counts)), strict=True))


def _sum_ms(histogram: Any) -> float:
    return float(histogram.get_mean_value() * histogram.get_total_count() / 1000)
