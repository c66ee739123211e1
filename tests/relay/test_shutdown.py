"""The limits of a shutdown follow from the grace period."""

import asyncio
import math

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import timers
from savorybend.relay import shutdown
from tests import fakes

_GRACES_S = [0.5, 1.0, 2.0, 4.0, 6.0, 10.0]


class _Callers:
    def __init__(self):
        self.closing = False
        self.ended = False
        self.closed = False

    def start_closing(self):
        self.closing = True

    def end_requests(self):
        self.ended = True

    def close_idle(self):
        self.closed = True


def _shutdown(
    grace_s,
    clock,
    busy=lambda: 0,
    withdraw=lambda: None,
    writing=lambda: 0,
):
    return shutdown.create_shutdown(
        shutdown.Parts(
            callers=_Callers(),
            busy=busy,
            writing=writing,
            withdraw=withdraw,
            clock=clock,
            grace_s=grace_s,
        )
    )


def test_before_a_shutdown_calls_may_last_as_long_as_they_like():
    clock = fakes.create_clock()
    stopping = _shutdown(6.0, clock)
    clock.advance(100.0)
    assert stopping.takes_calls
    assert stopping.serves_peers
    assert stopping.work_ends_s == math.inf


@hypothesis.given(grace_s=strategies.floats(0.2, 60.0))
def test_calls_are_refused_before_those_accepted_must_end(grace_s):
    # With a grace of two seconds, the daemon was killed under its calls.
    clock = fakes.create_clock()
    stopping = _shutdown(grace_s, clock)
    started_s = clock.now_s()
    stopping.begin()
    assert started_s < stopping.work_ends_s < started_s + grace_s
    clock.advance(stopping.work_ends_s - clock.now_s())
    assert not stopping.takes_calls
    assert not stopping.serves_peers


@pytest.mark.parametrize("grace_s", [0.5, 1.0, 2.0])
async def test_a_shutdown_ends_before_the_kill_whoever_is_busy(grace_s):
    withdrawn = []
    stopping = _shutdown(
        grace_s,
        timers.SystemClock(),
        busy=lambda: 1,
        writing=lambda: 1,
        withdraw=lambda: withdrawn.append(True),
    )
    stopping.begin()
    async with asyncio.timeout(grace_s):
        await stopping.wait()
    assert withdrawn


@pytest.mark.parametrize("grace_s", _GRACES_S)
def test_calls_have_most_of_the_grace_period_to_end(grace_s):
    clock = fakes.create_clock()
    stopping = _shutdown(grace_s, clock)
    stopping.begin()
    assert stopping.work_ends_s - clock.now_s() >= 0.7 * grace_s
