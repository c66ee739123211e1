"""The metrics page includes values counted outside of the library."""

import pytest
from prometheus_client import parser

from savorybend.internal import metrics


def _value(sample: str, **labels: str) -> float:
    page = metrics.render().decode()
    return next(
        found.value
        for family in parser.text_string_to_metric_families(page)
        for found in family.samples
        if found.name == sample and found.labels == labels
    )


@pytest.mark.parametrize(
    ("tally", "sample", "direction"),
    [
        (metrics.SENT, "savorybend_peer_messages_total", "sent"),
        (metrics.RECEIVED, "savorybend_peer_messages_total", "received"),
        (metrics.SENT_BYTES, "savorybend_peer_bytes_total", "sent"),
        (metrics.RECEIVED_BYTES, "savorybend_peer_bytes_total", "received"),
    ],
)
def test_traffic_is_shown_by_direction(tally, sample, direction):
    before = _value(sample, direction=direction)
    tally.inc()
    tally.inc(5)
    assert _value(sample, direction=direction) == before + 6


def test_calls_in_flight_go_up_and_down():
    before = _value("savorybend_calls_in_flight")
    metrics.IN_FLIGHT.inc()
    assert _value("savorybend_calls_in_flight") == before + 1
    metrics.IN_FLIGHT.dec()
    assert _value("savorybend_calls_in_flight") == before
