"""Tests of the limit on the rate of requests to the backend server."""

import math

import hypothesis
from hypothesis import strategies

from savorybend.relay import callqueue
from savorybend.relay import capacity
from savorybend.relay import outcomes
from savorybend.relay import ratelimit
from tests import fakes
from tests.relay import samples

_WINDOW_S = 4.0
_RATES = strategies.floats(0.25, 500.0)
_PAUSES = strategies.lists(strategies.floats(0.0, 3.0), max_size=40)


def _allowed(rate_per_s):
    """Returns the requests that a server accepts in a window."""
    return _WINDOW_S * rate_per_s * 1.5 + 5


def _most_in_window(times):
    return max(
        (
            sum(1 for one in times if start <= one < start + _WINDOW_S)
            for start in times
        ),
        default=0,
    )


@hypothesis.given(rate_per_s=_RATES, pauses_s=_PAUSES)
def test_no_window_has_more_requests_than_the_limit_allows(
    rate_per_s, pauses_s
):
    clock = fakes.create_clock()
    limit = ratelimit.create_rate_limit(clock)
    limit.set_rate(rate_per_s)
    times = []
    for pause_s in pauses_s:
        clock.advance(pause_s)
        while limit.take():
            times.append(clock.now_s())
    assert _most_in_window(times) <= _allowed(rate_per_s)


@hypothesis.given(rate_per_s=_RATES)
def test_requests_without_pause_use_all_that_the_limit_allows(rate_per_s):
    clock = fakes.create_clock()
    limit = ratelimit.create_rate_limit(clock)
    limit.set_rate(rate_per_s)
    taken = 0
    for _ in range(1000):
        clock.advance(max(limit.wait_s(0), 1e-6))
        taken += limit.take()
    elapsed_s = clock.now_s() - fakes.create_clock().now_s()
    assert taken >= math.floor(elapsed_s * rate_per_s) - 1


def test_a_limit_of_zero_lets_the_server_say_that_it_is_over():
    clock = fakes.create_clock()
    limit = ratelimit.create_rate_limit(clock)
    limit.set_rate(0.0)
    assert not limit.take()
    clock.advance(_WINDOW_S * 2)
    assert limit.take()


class _Harness:
    """A call queue with many slots and a limit on the rate."""

    def __init__(self, rate_per_s):
        self.clock = fakes.create_clock()
        estimator = capacity.create_capacity_estimator(self.clock)
        self.timers = samples.timer_service(self.clock)
        self.queue = callqueue.create_call_queue(
            callqueue.Parts(self.timers, lambda: 0.5, estimator)
        )
        self.queue.set_limit(100)
        self.queue.set_rate(rate_per_s)
        self.started = []
        self.refused = {}

    def enter(self, name, **changes):
        waiting = callqueue.QueuedCall(
            samples.call(request_id=name, **changes),
            lambda one: self.started.append(one.call.request_id),
            lambda one, why: self.refused.update({one.call.request_id: why}),
        )
        self.queue.enter(waiting)

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.timers.run_due()
        self.queue.sweep()


def test_a_call_starts_as_soon_as_the_limit_allows():
    harness = _Harness(20)
    harness.enter("a")
    harness.enter("b", priority=0)
    harness.advance(0.051)
    assert harness.started == ["b"]
    harness.advance(0.051)
    assert harness.started == ["b", "a"]


def test_a_call_that_would_wait_long_is_refused_and_told_when_to_come_back():
    harness = _Harness(2)
    harness.enter("a")
    assert harness.refused["a"].reason == outcomes.SERVER_LIMIT
    assert harness.refused["a"].elsewhere
    harness.clock.advance(harness.refused["a"].retry_after_s)
    harness.enter("b")
    assert harness.started == ["b"]


def test_calls_start_at_once_when_the_limit_ends():
    harness = _Harness(20)
    harness.enter("a")
    harness.enter("b")
    harness.queue.set_rate(math.inf)
    assert harness.started == ["a", "b"]
