"""Metrics of what this daemon knows of the fleet and the store."""

import collections
import collections.abc
import typing

from prometheus_client import core
from prometheus_client import registry

from savorybend.relay import directory
from savorybend.relay import recordfeed


class Parts(typing.NamedTuple):
    """Dependencies of `FleetMetrics`.

    Attributes:
        directory: The other daemons.
        feed: This daemon's copy of the records.
        version: Returns the version of the configuration in force.
        read_age_s: Returns the age of the newest read of the configuration
            that this daemon made or heard of, in seconds.
    """

    directory: directory.Directory
    feed: recordfeed.RecordFeed
    version: collections.abc.Callable[[], int]
    read_age_s: collections.abc.Callable[[], float]


class FleetMetrics(registry.Collector):
    """Gauges that are read when they are rendered."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yields the metrics."""
        daemons = core.GaugeMetricFamily(
            "savorybend_known_daemons",
            "Other daemons by the state of their backend servers",
            labels=["state"],
        )
        states = collections.Counter(
            statement.state for statement in self._parts.directory.all()
        )
        for state, count in states.items():
            daemons.add_metric([state], count)
        yield daemons
        yield core.GaugeMetricFamily(
            "savorybend_store_watch",
            "0: follows other daemons, 1: watches the store, 2: fails to",
            int(self._parts.feed.state),
        )
        position = self._parts.feed.feed.position
        yield core.GaugeMetricFamily(
            "savorybend_records_revision",
            "Revision of the store that the known records are up to",
            position.revision if position else 0,
        )
        yield core.GaugeMetricFamily(
            "savorybend_store_era",
            "Era of the store that the known records are of; it increases when "
            "the store comes back from an older copy",
            position.era if position else 0,
        )
        yield core.GaugeMetricFamily(
            "savorybend_configuration_version",
            "Version of the configuration in force",
            self._parts.version(),
        )
        yield core.GaugeMetricFamily(
            "savorybend_store_read_age_seconds",
            "Age of the newest read of the configuration in the store, by this "
            "daemon or by a watcher that told of it",
            self._parts.read_age_s(),
        )


def create_fleet_metrics(parts: Parts) -> FleetMetrics:
    """Returns the metrics of a daemon."""
    return FleetMetrics(parts)
