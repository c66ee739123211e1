"""Logs are bounded, and a stalled reader doesn't block the daemon."""

import os

import pytest
import structlog

from savorybend.relay import logs


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_lines_come_out_whole_and_in_order(pipe):
    reading, writing = pipe
    sink = logs.Sink(writing)
    for number in range(100):
        sink.msg(f"line {number}")
    sink.flush()
    text = os.read(reading, 1 << 16).decode()
    assert text.splitlines() == [f"line {number}" for number in range(100)]


def test_a_reader_that_stalls_costs_bounded_memory_and_is_counted(pipe):
    reading, writing = pipe
    sink = logs.Sink(writing)
    for _ in range(50_000):
        sink.msg("x" * 100)
        sink.flush()
    assert sink.pending_bytes <= 1 << 20
    assert sink.dropped > 0
    first = os.read(reading, 1 << 20)
    sink.flush()
    rest = os.read(reading, 1 << 20)
    lines = (first + rest).decode().splitlines()
    assert set(lines[:-1]) == {"x" * 100}


def test_lines_about_requests_are_limited_and_others_are_not(pipe):
    _, writing = pipe
    sink = logs.Sink(writing)

    def passes(event):
        try:
            sink.limit_rate(None, "info", {"event": event})
        except structlog.DropEvent:
            return False
        return True

    requests = [passes("call_refused") for _ in range(1000)]
    assert 0 < sum(requests) < 1000
    assert all(passes("peer_lost") for _ in range(1000))
    sink.start_interval()
    assert passes("call_refused")
