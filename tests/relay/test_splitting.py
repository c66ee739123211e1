"""Tests that calls are split by weight, in short sequences too."""

import collections

import hypothesis
from hypothesis import strategies

from savorybend.relay import calls
from savorybend.relay import splitting
from tests.relay import samples


@hypothesis.given(
    weights=strategies.lists(
        strategies.integers(1, 100), min_size=1, max_size=4
    )
)
def test_shares_follow_the_weights_within_one_call_each(weights):
    targets = tuple(
        calls.Target(f"s{number}", weight)
        for number, weight in enumerate(weights)
    )
    route = samples.route(targets=targets)
    split = splitting.create_split()
    total = sum(weights)
    counts = collections.Counter(split.choose(route) for _ in range(total))
    for target in targets:
        assert counts[target.service] == target.weight


def test_new_weights_begin_afresh():
    split = splitting.create_split()
    old = samples.route(targets=(calls.Target("a", 1), calls.Target("b", 1)))
    split.choose(old)
    new = samples.route(targets=(calls.Target("a", 0.01), calls.Target("b", 1)))
    assert split.choose(new) == "b"
