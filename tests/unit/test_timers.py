"""The timer service calls back when it should."""

import pytest

from savorybend.internal import timers
from tests import fakes


def _create():
    clock = fakes.create_clock()
    return clock, timers.create_manual_timer_service(clock)


def test_after_calls_once():
    clock, service = _create()
    seen = []
    service.after(2.0, lambda: seen.append(clock.now_s()))
    for _ in range(5):
        clock.advance(1.0)
        service.run_due()
    assert seen == [1002.0]


def test_every_calls_until_cancelled():
    clock, service = _create()
    seen = []
    subscription = service.every(1.0, lambda: seen.append(clock.now_s()))
    for _ in range(3):
        clock.advance(1.0)
        service.run_due()
    subscription.cancel()
    clock.advance(1.0)
    service.run_due()
    assert seen == [1001.0, 1002.0, 1003.0]


def test_calls_missed_in_a_pause_are_made_once():
    clock, service = _create()
    seen = []
    service.every(1.0, lambda: seen.append(clock.now_s()))
    clock.advance(60.5)
    service.run_due()
    assert len(seen) == 1
    clock.advance(0.5)
    service.run_due()
    assert len(seen) == 2


def test_an_interval_of_zero_is_refused():
    _, service = _create()
    with pytest.raises(ValueError, match="above zero"):
        service.every(0, lambda: None)
