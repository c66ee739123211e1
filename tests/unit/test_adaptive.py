"""Tests that the concurrency limit converges on a backend server's capacity."""

import random
import statistics

import hypothesis
from hypothesis import strategies

from savorybend.internal import adaptive

_WORK_S = 0.01
_NOISE = 0.5


def _run_saturated(limit, slots, calls, rng, work_s=_WORK_S):
    """Completes calls at a backend server under constant excess demand.

    Returns the mean throughput over the last half, as a fraction of capacity.
    """
    fractions = []
    for _ in range(calls):
        in_use = limit.value
        latency_s = work_s * max(1.0, in_use / slots)
        noise = rng.uniform(1 - _NOISE, 1 + _NOISE)
        fractions.append(min(1.0, in_use / slots))
        limit.observe(latency_s * noise, in_use, failed=False)
    return statistics.mean(fractions[calls // 2 :])


@hypothesis.given(
    slots=strategies.sampled_from([4, 8, 20, 60]),
    error_factor=strategies.sampled_from([0.1, 0.5, 1.0, 3.0, 10.0]),
    seed=strategies.integers(0, 2**16),
)
@hypothesis.settings(max_examples=20)
def test_a_wrong_announcement_is_corrected(slots, error_factor, seed):
    limit = adaptive.create_adaptive_limit(max(1, int(slots * error_factor)))
    calls = 20_000 + 300 * slots
    fraction = _run_saturated(limit, slots, calls, random.Random(seed))
    assert fraction >= 0.9
    assert limit.value <= 2 * slots


@hypothesis.given(
    slots=strategies.sampled_from([8, 25, 60]),
    slowdown=strategies.floats(2, 10),
)
@hypothesis.settings(max_examples=10)
def test_slowness_unrelated_to_concurrency_keeps_the_limit(slots, slowdown):
    fractions = []
    for work_s in (_WORK_S, _WORK_S * slowdown):
        rng = random.Random(1)
        limit = adaptive.create_adaptive_limit(slots)
        _run_saturated(limit, slots, 30 * slots, rng)
        fractions.append(
            _run_saturated(limit, slots, 600 + 60 * slots, rng, work_s)
        )
    assert fractions[1] >= 0.9 * fractions[0]


def test_calls_below_the_limit_leave_it_unchanged():
    limit = adaptive.create_adaptive_limit(100)
    for number in range(2000):
        limit.observe(0.01 * (1 + number % 7), 10, failed=False)
    assert limit.value == 100


def test_failures_lower_the_limit():
    limit = adaptive.create_adaptive_limit(100)
    for _ in range(2000):
        limit.observe(1.0, limit.value, failed=True)
    assert limit.value < 20
