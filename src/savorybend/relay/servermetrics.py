"""Metrics of this daemon's backend server."""

import collections.abc
import typing

from prometheus_client import core
from prometheus_client import registry

from savorybend.relay import conditions
from savorybend.relay import pool
from savorybend.relay import serverterms


class Parts(typing.NamedTuple):
    """Dependencies of `ServerMetrics`.

    Attributes:
        pool: Connections to the backend server.
        terms: The conditions that it names.
    """

    pool: pool.Pool
    terms: serverterms.ServerTerms


class ServerMetrics(registry.Collector):
    """Metrics that are read when they are rendered."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yields the metrics; that of the limit only while there is one."""
        yield core.CounterMetricFamily(
            "savorybend_backend_server_requests",
            "Requests sent to the backend server",
            self._parts.pool.requests_sent,
        )
        unusable = core.CounterMetricFamily(
            "savorybend_backend_server_unusable_answers",
            "Answers of the backend server that can't be used, by cause",
            labels=["cause"],
        )
        for cause, count in self._parts.pool.unusable_answers.items():
            unusable.add_metric([cause], count)
        yield unusable
        match self._parts.terms.limit:
            case conditions.Limited(rate_per_s=rate_per_s):
                yield core.GaugeMetricFamily(
                    "savorybend_backend_server_limit_per_second",
                    "Requests per second that the backend server takes",
                    rate_per_s,
                )
        yield core.GaugeMetricFamily(
            "savorybend_backend_server_leaving",
            "1: the backend server has said that it leaves",
            int(self._parts.terms.leaving),
        )


def create_server_metrics(parts: Parts) -> ServerMetrics:
    """Returns the metrics of a backend server."""
    return ServerMetrics(parts)
