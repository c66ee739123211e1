"""Calls go to near, quick and trusted daemons, and doomed ones nowhere."""

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


class Stage:
    """A tracker, its clock and the daemons that it knows."""

    def __init__(self, records, off=""):
        self.clock = fakes.create_clock()
        self.records = tuple(records)
        self.tracker = loadbalancing.create_load_balancer(
            random.Random(_SEED), self.clock, switches=experiments.parse(off)
        )

    def choose(self, **fields):
        return self.tracker.choose(
            loadbalancing.Selection(
                _OWN,
                self.records,
                frozenset(),
                requests.create_lookup(**fields),
            )
        )

    def answer(self, name, *, seconds=0.01, threshold=0.0, reason=None):
        given = self.tracker.started(name, "back")
        self.clock.advance(seconds)
        answer = calls.create_own_answer(
            outcomes.Outcome.UNKNOWN if reason else outcomes.Outcome.RAN,
            reason or outcomes.INTERNAL,
            "id",
            name,
            threshold=threshold,
        )
        self.tracker.ended(given, answer)

    def counts(self, calls_made=200, **fields):
        found = collections.Counter()
        for _ in range(calls_made):
            chosen = self.choose(**fields)
            found[getattr(chosen, "name", "refused")] += 1
        return found


def test_the_own_data_centre_goes_first():
    stage = Stage([_record("near"), _record("far", "west")])
    assert stage.counts() == {"near": 200}


def test_a_saturated_data_centre_spills_to_another():
    stage = Stage([_record("near"), _record("far", "west")])
    stage.answer("near", threshold=6.0)
    assert stage.choose(priority=5).name == "far"
    assert stage.choose(priority=2).name == "near"


def test_calls_that_enter_pass_over_a_daemon_that_has_just_shed_one():
    # An answer to them carries no threshold of the gate that refused, and
    # they went on to one slow daemon of two: 12 to 16% were lost, not 7 to 10.
    stage = Stage([_record("own"), _record("far", "west")])
    given = stage.tracker.started("own", "back")
    refusal = outcomes.refuse(outcomes.OVERLOADED)
    stage.tracker.ended(
        given, calls.create_not_run_answer(refusal, "id", "own")
    )
    assert stage.counts() == {"far": 200}
    # Calls of class 0 once left a daemon that had shed some of class 3.
    assert stage.counts(depth=1) == {"own": 200}
    stage.clock.advance(1.0)
    assert stage.counts() == {"own": 200}


def test_a_slow_daemon_that_reports_health_gets_little():
    stage = Stage([_record(name) for name in "abc"])
    for _ in range(30):
        stage.answer("a", seconds=0.5)
        stage.answer("b")
        stage.answer("c")
    assert stage.counts()["a"] == 0


def test_a_quick_refusal_does_not_make_a_daemon_look_fast():
    stage = Stage([_record("a"), _record("b")])
    for _ in range(30):
        stage.answer("a", seconds=0.02)
        stage.answer("b", seconds=0.01)
    given = stage.tracker.started("a", "back")
    refusal = outcomes.refuse(outcomes.OVERLOADED)
    stage.tracker.ended(given, calls.create_not_run_answer(refusal, "id", "a"))
    assert stage.choose().name == "b"


def test_a_suspect_is_avoided_and_then_probed_by_one_call():
    stage = Stage([_record("a"), _record("b")])
    stage.answer("b", seconds=5.0)
    for _ in range(3):
        stage.answer("a", reason=outcomes.BACKEND_SERVER_LOST)
    assert stage.counts() == {"b": 200}
    stage.clock.advance(1.0)
    assert stage.choose().name == "a"
    stage.tracker.started("a", "back")
    assert stage.choose().name == "b"


def test_a_daemon_that_is_new_starts_slowly():
    stage = Stage([_record("a"), _record("b")])
    stage.answer("a")
    stage.clock.advance(60.0)
    stage.answer("b")
    open_calls = []
    for _ in range(40):
        name = stage.choose().name
        open_calls.append(name)
        stage.tracker.started(name, "back")
    assert open_calls.count("b") < open_calls.count("a") / 4


def test_doomed_calls_are_refused_at_their_entry():
    stage = Stage([_record("a"), _record("b")])
    stage.answer("a", threshold=6.0)
    stage.answer("b", threshold=6.0)
    refusal = stage.choose(priority=8)
    assert refusal.retry_after_s > 0
    assert refusal.reason is outcomes.OVERLOADED
    assert isinstance(stage.choose(priority=0), members.Record)
    assert isinstance(stage.choose(priority=8, depth=1), members.Record)


def test_a_threshold_fades_when_no_reply_confirms_it():
    stage = Stage([_record("a")])
    stage.answer("a", threshold=9.9)
    assert isinstance(stage.choose(priority=8), outcomes.Refuse)
    stage.clock.advance(6.0)
    chosen = [stage.choose(priority=8) for _ in range(50)]
    assert all(isinstance(one, members.Record) for one in chosen)


def test_a_call_is_let_through_now_and_then_to_hear_news():
    stage = Stage([_record("a")])
    stage.answer("a", threshold=9.9)
    let_through = 0
    for _ in range(90):
        stage.clock.advance(0.01)
        let_through += isinstance(stage.choose(priority=8), members.Record)
    assert let_through == 1


def test_nothing_is_left_of_a_daemon_that_is_gone():
    stage = Stage([_record("a")])
    stage.answer("a", threshold=9.9)
    stage.tracker.on_change(members.Gone(_record("a")))
    assert stage.tracker.threshold("a", "back") == 0.0
