"""Counters of call outcomes, and latency histograms.

They are plain numbers while calls are handled, and are converted to metrics
only when they are read: the metrics library's own counters take more CPU time
than choosing a backend server.
"""

import bisect
import collections
import collections.abc

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from savorybend.relay import calls

_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
# Label combinations beyond this number are counted together.
_MAX_SERIES = 2_000
_OTHER = ("other", "other", "other", "other", "other")
_LABELS = ["client_account", "route", "service", "status", "reason"]


class Counters(registry.Collector):
    """Counts by client account, route, service, status and reason."""

    def __init__(self):
        self._counts: collections.Counter[tuple] = collections.Counter()
        self._buckets: dict[str, list[int]] = {}
        self._sums: collections.Counter[str] = collections.Counter()
        self._others: list[registry.Collector] = []

    def include(self, other: registry.Collector) -> None:
        """Renders the metrics of another collector as well."""
        self._others.append(other)

    def record_call(
        self, call: calls.Call, status: int, reason: str, took_s: float
    ) -> None:
        """Counts a finished call.

        Args:
            call: The call.
            status: The HTTP status; 0 if the caller had disconnected.
            reason: `ran`, or one of the reasons in `outcomes`.
            took_s: Time from its entry to its answer, in seconds.
        """
        self._count(
            (call.client_account, call.route, call.service, status, reason)
        )
        buckets = self._buckets.get(call.route)
        if buckets is None:
            if len(self._buckets) >= _MAX_SERIES:
                return
            buckets = self._buckets[call.route] = [0] * (len(_BUCKETS_S) + 1)
        buckets[bisect.bisect_left(_BUCKETS_S, took_s)] += 1
        self._sums[call.route] += took_s

    def record_rejection(self, status: int, reason: str) -> None:
        """Counts a request that was rejected before it became a call."""
        self._count(("", "", "", status, reason))

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yields the metrics."""
        counts = core.CounterMetricFamily(
            "savorybend_calls", "Calls by what became of them", labels=_LABELS
        )
        for labels, count in self._counts.items():
            counts.add_metric([str(one) for one in labels], count)
        yield counts
        times = core.HistogramMetricFamily(
            "savorybend_call_seconds", "Time to the answer", labels=["route"]
        )
        for route, buckets in self._buckets.items():
            cumulated = 0
            pairs = []
            for bound, count in zip(_BUCKETS_S, buckets, strict=False):
                cumulated += count
                pairs.append((str(bound), cumulated))
            pairs.append(("+Inf", cumulated + buckets[-1]))
            times.add_metric([route], pairs, self._sums[route])
        yield times

    def render(self) -> bytes:
        """Returns all metrics in Prometheus's text format."""
        found = prometheus_client.CollectorRegistry()
        for collector in (self, *self._others):
            found.register(collector)
        return prometheus_client.generate_latest(found)

    def _count(self, labels: tuple) -> None:
        if labels not in self._counts and len(self._counts) >= _MAX_SERIES:
            labels = _OTHER
        self._counts[labels] += 1


def create_counters() -> Counters:
    """Returns counters at zero."""
    return Counters()
