"""Counters of calls to the store and of bytes sent to other daemons.

Both are priced on some platforms, and both can grow faster than the fleet, so
operators see them by kind.
"""

import collections
import collections.abc

from prometheus_client import core
from prometheus_client import registry

_LOCAL = "local"
_REMOTE = "remote"


class Traffic(registry.Collector):
    """Counts since the daemon's start."""

    def __init__(self):
        self._store_calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._messages: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._bytes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @property
    def store_calls(self) -> collections.Counter[tuple[str, str]]:
        """Calls to the store by operation and kind of objects."""
        return self._store_calls

    def count_store_call(self, operation: str, kind: str) -> None:
        """Counts a call to the store, when it is sent.

        Args:
            operation: `get`, `list`, `list-stale`, `watch`, `create`,
                `replace` or `delete`.
            kind: Name of the kind of objects.
        """
        self._store_calls[operation, kind] += 1

    def count_message(self, message: str, remote: bool, size: int) -> None:
        """Counts a message that is sent to another daemon.

        Args:
            message: Name of its type.
            remote: Whether the other daemon is in another data centre.
            size: Its size with the length prefix, in bytes.
        """
        key = (message, _REMOTE if remote else _LOCAL)
        self._messages[key] += 1
        self._bytes[key] += size

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yields the metrics."""
        yield _metric(
            "savorybend_store_calls",
            "Calls to the store",
            ["operation", "kind"],
            self._store_calls,
        )
        labels = ["message", "scope"]
        yield _metric(
            "savorybend_peer_messages",
            "Messages sent to other daemons",
            labels,
            self._messages,
        )
        yield _metric(
            "savorybend_peer_bytes",
            "Bytes sent to other daemons, by whether they leave the data "
            "centre",
            labels,
            self._bytes,
        )


def _metric(
    name: str,
    text: str,
    labels: list[str],
    counts: collections.Counter[tuple[str, str]],
) -> core.Metric:
    found = core.CounterMetricFamily(name, text, labels=labels)
    for values, count in counts.items():
        found.add_metric(list(values), count)
    return found


def create_traffic() -> Traffic:
    """Returns counters at zero."""
    return Traffic()
