"""Tests of which calls are started, queued or refused."""

from savorybend.relay import admission
from savorybend.relay import callqueue
from savorybend.relay import capacity
from savorybend.relay import outcomes
from tests import fakes
from tests.relay import samples


class _Harness:
    """A call queue with the started and the refused calls."""

    def __init__(self, limit):
        self.clock = fakes.create_clock()
        estimator = capacity.create_capacity_estimator(self.clock)
        self.call_queue = samples.call_queue(self.clock, estimator)
        self.call_queue.set_limit(limit)
        self.entered = []
        self.refused = []

    def enter(self, name, **changes):
        changes.setdefault("deadline_s", self.clock.now_s() + 5.0)
        waiting = callqueue.QueuedCall(
            samples.call(request_id=name, **changes),
            lambda one: self.entered.append(one.call.request_id),
            lambda one, why: self.refused.append((one.call.request_id, why)),
        )
        self.call_queue.enter(waiting)
        return waiting

    def finish(self, waiting, took_s):
        self.clock.advance(took_s)
        self.call_queue.leave(waiting, True)


def test_no_more_calls_are_in_than_the_limit():
    harness = _Harness(2)
    for name in "abcd":
        harness.enter(name)
    assert harness.entered == ["a", "b"]
    assert harness.call_queue.load.waiting == 2


def test_a_child_call_goes_before_every_call_that_enters():
    harness = _Harness(2)
    first = harness.enter("first")
    harness.enter("second")
    harness.enter("entering", priority=0)
    harness.enter("child", priority=admission.UNKNOWN_CHILD)
    harness.finish(first, 0.01)
    assert harness.entered[-1] == "child"


def test_the_more_important_call_goes_first():
    harness = _Harness(2)
    first = harness.enter("first")
    harness.enter("second")
    harness.enter("less", priority=2)
    harness.enter("more", priority=0)
    harness.finish(first, 0.01)
    assert harness.entered[-1] == "more"


def test_a_call_that_cannot_be_in_time_is_refused_at_once():
    harness = _Harness(1)
    first = harness.enter("first")
    harness.finish(first, 1.0)
    harness.enter("running")
    harness.enter("doomed", deadline_s=harness.clock.now_s() + 0.5)
    name, why = harness.refused[0]
    assert name == "doomed"
    assert why.reason == outcomes.OVERLOADED
    assert why.retry_after_s > 0


def test_a_call_whose_time_ran_out_while_it_waited_is_refused_not_run():
    harness = _Harness(1)
    harness.enter("running")
    harness.enter("waits", deadline_s=harness.clock.now_s() + 0.2)
    harness.clock.advance(0.3)
    harness.call_queue.sweep()
    assert harness.refused[0][1].reason == outcomes.TOO_LATE
    assert harness.entered == ["running"]


def test_everybody_who_waits_may_go_elsewhere_when_the_server_leaves():
    harness = _Harness(1)
    harness.enter("running")
    harness.enter("waits")
    harness.call_queue.set_limit(0)
    harness.call_queue.refuse_all(outcomes.DRAINING)
    assert harness.refused[0][1] == outcomes.NotRun(outcomes.DRAINING)


def test_a_withdrawn_call_is_never_started():
    harness = _Harness(1)
    first = harness.enter("first")
    second = harness.enter("second")
    assert harness.call_queue.withdraw(second)
    harness.finish(first, 0.01)
    assert harness.entered == ["first"]
    assert harness.call_queue.load.running == 0


def test_one_that_waits_in_vain_is_told_while_it_can_still_come_back():
    # Guards against child calls that overtake a queued call until 3 ms before
    # its deadline: 471 of 1,000 lookups got no answer in time.
    harness = _Harness(1)
    running = harness.enter("running")
    harness.enter(
        "entering", priority=1, deadline_s=harness.clock.now_s() + 0.4
    )
    for number in range(20):
        child = harness.enter(f"{number}", priority=admission.UNKNOWN_CHILD)
        harness.finish(running, 0.01)
        running = child
    told = [name for name, _ in harness.refused]
    assert told == ["entering"]
    assert len(harness.entered) == 21


def test_what_a_running_request_waits_for_keeps_its_place():
    harness = _Harness(1)
    harness.enter("running")
    harness.enter(
        "child",
        priority=admission.UNKNOWN_CHILD,
        deadline_s=harness.clock.now_s() + 0.4,
    )
    harness.clock.advance(0.3)
    harness.call_queue.sweep()
    assert harness.refused == []
