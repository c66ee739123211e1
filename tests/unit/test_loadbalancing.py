"""Selection by data centre, latency, failures and admission thresholds."""

import collections
import random

from savorybend.internal import calls
from savorybend.internal import experiments
from savorybend.internal import loadbalancing
from savorybend.internal import members
from savorybend.internal import outcomes
from tests import fakes
from tests import requests

_SEED = 1


def _record(name, data_centre="east"):
    return members.Record(name, 1, data_centre, "back", "", "", "", "")


_OWN = _record("own")


class _LoadBalancerSetup:
    """A load balancer with a manual clock and a fixed set of daemons."""

    def __init__(self, records, off=""):
        self.clock = fakes.create_clock()
        self.records = tuple(records)
        self.load_balancer = loadbalancing.create_load_balancer(
            random.Random(_SEED), self.clock, switches=experiments.parse(off)
        )

    def choose(self, **fields):
        return self.load_balancer.choose(
            loadbalancing.Selection(
                _OWN,
                self.records,
                frozenset(),
                requests.create_lookup(**fields),
            )
        )

    def answer(self, name, *, seconds=0.01, threshold=0.0, reason=None):
        started = self.load_balancer.started(name, "back")
        self.clock.advance(seconds)
        answer = calls.create_own_answer(
            outcomes.Outcome.UNKNOWN if reason else outcomes.Outcome.RAN,
            reason or outcomes.INTERNAL,
            "id",
            name,
            threshold=threshold,
        )
        self.load_balancer.ended(started, answer)

    def counts(self, calls_made=200, **fields):
        found = collections.Counter()
        for _ in range(calls_made):
            chosen = self.choose(**fields)
            found[getattr(chosen, "name", "refused")] += 1
        return found


def test_daemons_of_the_same_data_centre_are_preferred():
    setup = _LoadBalancerSetup([_record("near"), _record("far", "west")])
    assert setup.counts() == {"near": 200}


def test_a_saturated_data_centre_spills_to_another():
    setup = _LoadBalancerSetup([_record("near"), _record("far", "west")])
    setup.answer("near", threshold=6.0)
    assert setup.choose(priority=5).name == "far"
    assert setup.choose(priority=2).name == "near"


def test_root_calls_avoid_a_daemon_that_has_just_shed_a_call():
    # The refusal of a root call carries no threshold of the gate that refused
    # it, so further root calls went to the slow daemon of two: 12 to 16% of
    # the calls were lost, instead of 7 to 10%.
    setup = _LoadBalancerSetup([_record("own"), _record("far", "west")])
    started = setup.load_balancer.started("own", "back")
    refusal = outcomes.refuse(outcomes.OVERLOADED)
    setup.load_balancer.ended(
        started, calls.create_not_run_answer(refusal, "id", "own")
    )
    assert setup.counts() == {"far": 200}
    # Child calls stay: calls of class 0 once avoided a daemon that had shed
    # calls of class 3 only.
    assert setup.counts(depth=1) == {"own": 200}
    setup.clock.advance(1.0)
    assert setup.counts() == {"own": 200}


def test_a_slow_daemon_without_failures_is_not_selected():
    setup = _LoadBalancerSetup([_record(name) for name in "abc"])
    for _ in range(30):
        setup.answer("a", seconds=0.5)
        setup.answer("b")
        setup.answer("c")
    assert setup.counts()["a"] == 0


def test_a_quick_refusal_does_not_make_a_daemon_look_fast():
    setup = _LoadBalancerSetup([_record("a"), _record("b")])
    for _ in range(30):
        setup.answer("a", seconds=0.02)
        setup.answer("b", seconds=0.01)
    started = setup.load_balancer.started("a", "back")
    refusal = outcomes.refuse(outcomes.OVERLOADED)
    setup.load_balancer.ended(
        started, calls.create_not_run_answer(refusal, "id", "a")
    )
    assert setup.choose().name == "b"


def test_a_suspected_daemon_is_avoided_and_then_probed_by_one_call():
    setup = _LoadBalancerSetup([_record("a"), _record("b")])
    setup.answer("b", seconds=5.0)
    for _ in range(3):
        setup.answer("a", reason=outcomes.BACKEND_SERVER_LOST)
    assert setup.counts() == {"b": 200}
    setup.clock.advance(1.0)
    assert setup.choose().name == "a"
    setup.load_balancer.started("a", "back")
    assert setup.choose().name == "b"


def test_a_new_daemon_gets_few_calls_at_first():
    setup = _LoadBalancerSetup([_record("a"), _record("b")])
    setup.answer("a")
    setup.clock.advance(60.0)
    setup.answer("b")
    open_calls = []
    for _ in range(40):
        name = setup.choose().name
        open_calls.append(name)
        setup.load_balancer.started(name, "back")
    assert open_calls.count("b") < open_calls.count("a") / 4


def test_root_calls_that_all_daemons_would_shed_are_refused():
    setup = _LoadBalancerSetup([_record("a"), _record("b")])
    setup.answer("a", threshold=6.0)
    setup.answer("b", threshold=6.0)
    refusal = setup.choose(priority=8)
    assert refusal.retry_after_s > 0
    assert refusal.reason is outcomes.OVERLOADED
    assert isinstance(setup.choose(priority=0), members.Record)
    assert isinstance(setup.choose(priority=8, depth=1), members.Record)


def test_a_threshold_decays_when_no_answer_confirms_it():
    setup = _LoadBalancerSetup([_record("a")])
    setup.answer("a", threshold=9.9)
    assert isinstance(setup.choose(priority=8), outcomes.Refuse)
    setup.clock.advance(6.0)
    chosen = [setup.choose(priority=8) for _ in range(50)]
    assert all(
        isinstance(chosen_record, members.Record) for chosen_record in chosen
    )


def test_a_call_is_let_through_as_a_probe_once_per_interval():
    setup = _LoadBalancerSetup([_record("a")])
    setup.answer("a", threshold=9.9)
    let_through = 0
    for _ in range(90):
        setup.clock.advance(0.01)
        let_through += isinstance(setup.choose(priority=8), members.Record)
    assert let_through == 1


def test_the_load_of_a_removed_daemon_is_dropped():
    setup = _LoadBalancerSetup([_record("a")])
    setup.answer("a", threshold=9.9)
    setup.load_balancer.on_change(members.MemberRemoved(_record("a")))
    assert setup.load_balancer.threshold("a", "back") == 0.0
