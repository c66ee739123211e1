"""The concurrency limit finds what a backend server can do."""

import random
import statistics

import hypothesis
from hypothesis import strategies

from savorybend.internal import adaptive

_WORK_S = 0.01
_NOISE = 0.5


def _drive(limit, slots, calls, rng, work_s=_WORK_S):
    """Ends calls at a backend server that is always asked for more.

    Returns the mean throughput over the last half, as a part of capacity.
    """
    parts = []
    for _ in range(calls):
        in_use = limit.value
        latency_s = work_s * max(1.0, in_use / slots)
        noise = rng.uniform(1 - _NOISE, 1 + _NOISE)
        parts.append(min(1.0, in_use / slots))
        limit.observe(latency_s * noise, in_use, failed=False)
    return statistics.mean(parts[calls // 2 :])


@hypothesis.given(
    slots=strategies.sampled_from([4, 8, 20, 60]),
    wrong_by=strategies.sampled_from([0.1, 0.5, 1.0, 3.0, 10.0]),
    seed=strategies.integers(0, 2**16),
)
@hypothesis.settings(max_examples=20)
def test_a_wrong_announcement_is_found_out(slots, wrong_by, seed):
    limit = adaptive.create_adaptive_limit(max(1, int(slots * wrong_by)))
    calls = 20_000 + 300 * slots
    part = _drive(limit, slots, calls, random.Random(seed))
    assert part >= 0.9
    assert limit.value <= 2 * slots


@hypothesis.given(
    slots=strategies.sampled_from([8, 25, 60]), slower=strategies.floats(2, 10)
)
@hypothesis.settings(max_examples=10)
def test_slowness_that_more_room_would_not_mend_costs_no_room(slots, slower):
    parts = []
    for work_s in (_WORK_S, _WORK_S * slower):
        rng = random.Random(1)
        limit = adaptive.create_adaptive_limit(slots)
        _drive(limit, slots, 30 * slots, rng)
        parts.append(_drive(limit, slots, 600 + 60 * slots, rng, work_s))
    assert parts[1] >= 0.9 * parts[0]


def test_calls_that_the_limit_did_not_hold_back_leave_it_alone():
    limit = adaptive.create_adaptive_limit(100)
    for number in range(2000):
        limit.observe(0.01 * (1 + number % 7), 10, failed=False)
    assert limit.value == 100


def test_failures_lower_the_limit():
    limit = adaptive.create_adaptive_limit(100)
    for _ in range(2000):
        limit.observe(1.0, limit.value, failed=True)
    assert limit.value < 20
