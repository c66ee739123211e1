"""Tests that retries stay a fraction of the calls."""

import hypothesis
from hypothesis import strategies

from savorybend.relay import retrybudget
from tests import fakes

_WINDOW_S = 10.0
_TERMS = retrybudget.Terms(per_call=0.02, reserve=2.0, window_s=_WINDOW_S)


@hypothesis.given(
    gaps=strategies.lists(strategies.floats(0, 0.5), min_size=1, max_size=400)
)
def test_repeats_never_exceed_what_two_windows_earned(gaps):
    clock = fakes.create_clock()
    budget = retrybudget.create_retry_budget(_TERMS, clock)
    repeats = 0
    for gap_s in gaps:
        clock.advance(gap_s)
        budget.note_call("ledger")
        while budget.take("ledger"):
            repeats += 1
    assert repeats <= _TERMS.reserve + _TERMS.per_call * len(gaps)


def test_what_a_lost_vm_had_under_way_can_be_repeated_at_once():
    # With only a fixed reserve of two, all but two of the reads that a lost VM
    # was running were refused.
    clock = fakes.create_clock()
    budget = retrybudget.create_retry_budget(_TERMS, clock)
    for _ in range(1000):
        clock.advance(0.01)
        budget.note_call("ledger")
    assert sum(budget.take("ledger") for _ in range(50)) >= 12


def test_services_have_budgets_of_their_own():
    budget = retrybudget.create_retry_budget(_TERMS, fakes.create_clock())
    assert budget.take("ledger")
    assert budget.take("ledger")
    assert not budget.take("ledger")
    assert budget.take("shop")
