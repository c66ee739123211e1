"""Metrics of the room for bodies."""

import collections.abc

from prometheus_client import core
from prometheus_client import registry

from savorybend.relay import bytebudget


class ByteMetrics(registry.Collector):
    """Metrics that are read when they are rendered."""

    def __init__(self, budget: bytebudget.Budget):
        self._budget = budget

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yields the metrics."""
        held = core.GaugeMetricFamily(
            "savorybend_held_bytes",
            "Bytes of bodies that this daemon holds or keeps room for",
            labels=["use"],
        )
        limits = core.GaugeMetricFamily(
            "savorybend_held_limit_bytes",
            "Bytes of bodies that it may hold",
            labels=["use"],
        )
        refused = core.CounterMetricFamily(
            "savorybend_bodies_refused",
            "Bodies that were refused or dropped for want of memory",
            labels=["use"],
        )
        for use in bytebudget.Use:
            held.add_metric([use.value], self._budget.held_bytes[use])
            limits.add_metric([use.value], self._budget.limit_bytes(use))
            refused.add_metric([use.value], self._budget.refusals[use])
        yield held
        yield limits
        yield refused
        yield core.GaugeMetricFamily(
            "savorybend_bodies_waiting",
            "Bodies that wait for memory",
            self._budget.waiting,
        )


def create_byte_metrics(budget: bytebudget.Budget) -> ByteMetrics:
    """Returns the metrics of a budget."""
    return ByteMetrics(budget)
