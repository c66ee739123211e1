"""Metrics that a daemon exports to Prometheus."""

import collections.abc
import functools

import prometheus_client
from prometheus_client import metrics_core

# Fine-grained below the 1.2 ms that savorybend may add, coarse above.
_LATENCY_BUCKETS_S = (
    0.0005,
    0.001,
    0.0015,
    0.002,
    0.003,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)

_CALL_SECONDS = prometheus_client.Histogram(
    "savorybend_call_seconds",
    "Time from a call's arrival at its entry to the end of its answer.",
    ("client_account", "priority", "outcome"),
    buckets=_LATENCY_BUCKETS_S,
)
_BACKEND_SECONDS = prometheus_client.Histogram(
    "savorybend_backend_seconds",
    "Time that the backend server on this VM took for a call.",
    ("priority",),
    buckets=_LATENCY_BUCKETS_S,
)
_REFUSALS = prometheus_client.Counter(
    "savorybend_refusals",
    "Calls refused at this daemon, by reason.",
    ("client_account", "reason"),
)
_PLATFORM_CALLS = prometheus_client.Counter(
    "savorybend_platform_calls",
    "Calls made to the platform's object API.",
    ("operation",),
)
_PEER_REFUSALS = prometheus_client.Counter(
    "savorybend_peer_refusals",
    "Connections and messages of other daemons that were refused.",
    ("cause",),
)
PEER_CONNECTIONS = prometheus_client.Gauge(
    "savorybend_peer_connections",
    "Daemons with which this daemon has a connection open.",
)
SILENT_CONNECTIONS = prometheus_client.Counter(
    "savorybend_silent_connections",
    "Connections to daemons that were replaced because they went silent.",
)
RESENT = prometheus_client.Counter(
    "savorybend_peer_messages_resent",
    "Messages sent again over a connection that replaced a silent one.",
)
ABANDONED_LINKS = prometheus_client.Counter(
    "savorybend_peer_links_abandoned",
    "Times that messages to a daemon were given up with the calls they carry.",
)
HALF_OPEN_REQUESTS = prometheus_client.Counter(
    "savorybend_half_open_requests",
    "HTTP connections closed because a request's head was never finished.",
)
_QUEUE_SECONDS = prometheus_client.Histogram(
    "savorybend_queue_seconds",
    "Time that calls waited beside the backend server on this VM.",
    ("client_account", "priority"),
    buckets=_LATENCY_BUCKETS_S,
)
_SHED = prometheus_client.Counter(
    "savorybend_shed",
    "Calls refused to relieve a backend server, by where that was decided.",
    ("client_account", "priority", "reason", "place"),
)
CONCURRENCY_LIMIT = prometheus_client.Gauge(
    "savorybend_concurrency_limit",
    "Calls that the backend server on this VM may work on at once.",
)
THRESHOLD = prometheus_client.Gauge(
    "savorybend_admission_threshold",
    "This daemon's own admission threshold, from 0 (refuses nothing) to 10.",
)
CONFIGURATION_VERSION = prometheus_client.Gauge(
    "savorybend_configuration_version",
    "Version of the configuration in force.",
)
CONFIGURATION_AGE_S = prometheus_client.Gauge(
    "savorybend_configuration_age_seconds",
    "Seconds since the configuration in force was last confirmed.",
)
MEMBERS = prometheus_client.Gauge(
    "savorybend_members", "Daemons that this daemon knows, itself included."
)
_IN_FLIGHT = prometheus_client.Gauge(
    "savorybend_calls_in_flight", "Calls in flight at this daemon."
)
LIMIT_PARTS_ENTRUSTED = prometheus_client.Gauge(
    "savorybend_limit_parts_entrusted",
    "Parts of the data centre's share that this daemon lends from.",
)
LIMIT_PARTS_OWNED = prometheus_client.Gauge(
    "savorybend_limit_parts_owned",
    "Parts of the data centre's share that this daemon owns.",
)
LIMIT_LEDGER_AGE_S = prometheus_client.Gauge(
    "savorybend_limit_ledger_age_seconds",
    "Seconds since this daemon read the data centre's ledger of parts.",
)
LIMIT_MESSAGES_UNSENT = prometheus_client.Counter(
    "savorybend_limit_messages_unsent",
    "Messages about limits that no connection took.",
)


class UnlockedGauge:
    """A number that changes several times per call.

    The library's own metrics acquire a lock for each change, which a single
    thread doesn't need.
    """

    __slots__ = ("_value",)

    def __init__(self):
        self._value = 0

    @property
    def value(self) -> int:
        """The current value."""
        return self._value

    def inc(self, amount: int = 1) -> None:
        """Adds `amount` to the value."""
        self._value += amount

    def dec(self) -> None:
        """Subtracts one from the value."""
        self._value -= 1


IN_FLIGHT = UnlockedGauge()
SENT = UnlockedGauge()
RECEIVED = UnlockedGauge()
SENT_BYTES = UnlockedGauge()
RECEIVED_BYTES = UnlockedGauge()

_IN_FLIGHT.set_function(lambda: IN_FLIGHT.value)


class _PeerTraffic:
    """Collects the traffic exchanged with other daemons."""

    def collect(self) -> collections.abc.Iterator[metrics_core.Metric]:
        """Yields the metrics; the library calls it for each scrape."""
        yield _by_direction(
            "savorybend_peer_messages",
            "Messages exchanged with other daemons.",
            SENT,
            RECEIVED,
        )
        yield _by_direction(
            "savorybend_peer_bytes",
            "Bytes of messages exchanged with other daemons, before "
            "encryption.",
            SENT_BYTES,
            RECEIVED_BYTES,
        )


def _by_direction(
    name: str, documentation: str, sent: UnlockedGauge, received: UnlockedGauge
) -> metrics_core.Metric:
    family = metrics_core.CounterMetricFamily(
        name, documentation, labels=("direction",)
    )
    family.add_metric(("sent",), sent.value)
    family.add_metric(("received",), received.value)
    return family


prometheus_client.REGISTRY.register(_PeerTraffic())


@functools.cache
def call_seconds(
    client_account: str, priority: int, outcome: str
) -> prometheus_client.Histogram:
    """Returns the histogram of calls of one account, class and outcome."""
    return _CALL_SECONDS.labels(client_account, str(priority), outcome)


@functools.cache
def backend_seconds(priority: int) -> prometheus_client.Histogram:
    """Returns the histogram of the backend server's time for one class."""
    return _BACKEND_SECONDS.labels(str(priority))


@functools.cache
def queue_seconds(
    client_account: str, priority: int
) -> prometheus_client.Histogram:
    """Returns the histogram of one account's and class's time in the queue."""
    return _QUEUE_SECONDS.labels(client_account, str(priority))


@functools.cache
def shed(
    client_account: str, priority: int, reason: str, place: str
) -> prometheus_client.Counter:
    """Returns the counter of calls shed of one account and class.

    Args:
        client_account: The account.
        priority: The class.
        reason: Why the call was shed.
        place: `gate` beside the backend server, or `entry` upstream of it.
    """
    return _SHED.labels(client_account, str(priority), reason, place)


@functools.cache
def refusals(client_account: str, reason: str) -> prometheus_client.Counter:
    """Returns the counter of one account's refusals for one reason."""
    return _REFUSALS.labels(client_account, reason)


@functools.cache
def peer_refusals(cause: str) -> prometheus_client.Counter:
    """Returns the counter of refused connections and messages."""
    return _PEER_REFUSALS.labels(cause)


def count_platform_call(operation: str) -> None:
    """Counts one call to the platform."""
    _PLATFORM_CALLS.labels(operation).inc()


def render() -> bytes:
    """Returns all metrics in Prometheus's text format."""
    return prometheus_client.generate_latest()
