"""What a daemon asks of the platform is bounded."""

import random

import hypothesis
from hypothesis import strategies

from savorybend.internal import budget
from savorybend.internal import configwatch
from tests import fakes

# The stated bound of a daemon: calls a second, and at once.
_RATE_PER_S = 4.0
_BURST = 12.0
_MOST_WATCHERS = 6


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from((0.0, 0.01, 0.2, 3.0)),
        min_size=30,
        max_size=60,
    )
)
def test_no_schedule_exceeds_the_budget(pauses_s):
    clock = fakes.create_clock()
    allowance = budget.create_budget(clock)
    made_s = []
    for pause_s in pauses_s:
        clock.advance(pause_s)
        made_s.append(clock.now_s() + allowance.take())
    made_s.sort()
    for first, start_s in enumerate(made_s):
        for last, end_s in enumerate(made_s[first:], first):
            most = _BURST + _RATE_PER_S * (end_s - start_s)
            assert last - first + 1 <= most + 1e-6


@hypothesis.given(strategies.integers())
def test_backoff_grows_with_jitter_to_a_bound(seed):
    backoff = budget.create_backoff(random.Random(seed))
    waits_s = [backoff.fail() for _ in range(20)]
    assert all(0 < wait_s <= 20 for wait_s in waits_s)
    assert waits_s[-1] >= 10
    backoff.reset()
    assert backoff.fail() < 1


def _watchers(fleet):
    chosen = []
    for member in fleet.members.values():
        parts = configwatch.Parts(
            member.store, None, member.directory, fleet.clock, None
        )
        if configwatch.create_watcher(parts).should_watch:
            chosen.append(member.directory.own.data_centre)
    return sorted(chosen)


def test_three_daemons_of_each_data_centre_watch():
    fleet = fakes.create_fleet(40, ("east", "west"))
    for member in fleet.members.values():
        member.store.confirm(fleet.clock.now_s())
    assert _watchers(fleet) == ["east"] * 3 + ["west"] * 3


def test_a_long_outage_brings_a_bounded_number_to_the_platform():
    fleet = fakes.create_fleet(40, ("east", "west"))
    for member in fleet.members.values():
        member.store.confirm(fleet.clock.now_s())
    fleet.clock.advance(3600)
    for centre in ("east", "west"):
        assert _watchers(fleet).count(centre) == _MOST_WATCHERS
