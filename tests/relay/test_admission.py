"""Simulates overload of a service and counts the outcomes of calls."""

import collections
import heapq
import itertools
import math
import random

import pytest

from savorybend.relay import admission
from savorybend.relay import callqueue
from savorybend.relay import capacity
from savorybend.relay import outcomes
from tests import fakes
from tests.relay import samples

_STEP_S = 0.005
_SLOTS = 100
_SERVICE_TIME_S = 0.1
_CAPACITY_PER_S = _SLOTS / _SERVICE_TIME_S
_CHILDREN = 4
_LOOKUP = admission.class_of(1, 1)
_READ = admission.class_of(1, 2)


class _Simulation:
    """Simulates a service with direct lookups, and reads with child calls.

    Each read calls the service four times. A read fails if one of its calls is
    refused, and the work of its earlier calls is wasted.
    """

    def __init__(self, seed, admits=True):
        self.clock = fakes.create_clock()
        self.rng = random.Random(seed)
        self.estimator = capacity.create_capacity_estimator(self.clock)
        self.call_queue = samples.call_queue(
            self.clock, self.estimator, self.rng.random
        )
        self.call_queue.set_limit(_SLOTS)
        self.admission = admission.create_admission(self.clock, self._share)
        self.admits = admits
        self.got = collections.Counter()
        self._events = []
        self._order = itertools.count()

    def _share(self, service, route):
        return outcomes.Share(self.estimator.share, "bottleneck")

    def run(self, seconds, lookups_per_s, reads_per_s):
        """Runs a load; returns the number of calls by outcome and kind."""
        self.got = collections.Counter()
        end_s = self.clock.now_s() + seconds
        while self.clock.now_s() < end_s:
            self.clock.advance(_STEP_S)
            self._finish_due()
            self._arrive("lookup", _LOOKUP, lookups_per_s)
            self._arrive("read", _READ, reads_per_s)
            self.call_queue.sweep()
        return self.got

    def _arrive(self, kind, number, per_s):
        count = int(per_s * _STEP_S)
        if self.rng.random() < per_s * _STEP_S - count:
            count += 1
        for _ in range(count):
            self.got["asked", kind] += 1
            call = samples.call(
                service=kind, route=kind, priority=number, client_account="a"
            )
            part = self.admission.admitted_fraction(call)
            if self.admits and self.rng.random() >= part:
                self.got["refused", kind] += 1
                continue
            left = 1 if kind == "lookup" else _CHILDREN
            self._next_call(kind, number, left, self.clock.now_s() + 2.0)

    def _next_call(self, kind, number, left, deadline_s):
        child = kind == "read"
        call = samples.call(
            route=kind,
            priority=admission.class_of_child(number) if child else number,
            deadline_s=deadline_s,
        )

        def enter(waiting):
            due_s = self.clock.now_s() + _SERVICE_TIME_S * self.rng.uniform(
                0.5, 1.5
            )
            heapq.heappush(
                self._events,
                (due_s, next(self._order), waiting, kind, number, left),
            )

        def refuse(waiting, why):
            self.got["failed", kind] += 1

        self.call_queue.enter(callqueue.QueuedCall(call, enter, refuse))

    def _finish_due(self):
        while self._events and self._events[0][0] <= self.clock.now_s():
            _, _, waiting, kind, number, left = heapq.heappop(self._events)
            self.call_queue.leave(waiting, True)
            if left > 1:
                deadline_s = waiting.call.deadline_s
                self._next_call(kind, number, left - 1, deadline_s)
            else:
                self.got["served", kind] += 1


def _work_served(got):
    return got["served", "lookup"] + got["served", "read"] * _CHILDREN


def _served(got):
    return got["served", "lookup"] + got["served", "read"]


@pytest.mark.parametrize("seed", range(3))
def test_twice_what_can_be_done_leaves_most_of_it_done(seed):
    # Without admission control the child calls of reads used all slots, four in
    # ten reads failed, and no lookup was answered.
    load = {"lookups_per_s": 500, "reads_per_s": 400}
    uncontrolled = _Simulation(seed, admits=False)
    uncontrolled.run(5.0, **load)
    without = uncontrolled.run(10.0, **load)
    simulation = _Simulation(seed)
    simulation.run(5.0, **load)
    got = simulation.run(10.0, **load)
    # The stated target: goodput of 90% of the capacity.
    assert _work_served(got) >= 0.9 * 10.0 * _CAPACITY_PER_S
    assert _served(got) > 1.5 * _served(without)


@pytest.mark.parametrize("seed", range(3))
def test_the_more_important_kind_is_refused_last(seed):
    simulation = _Simulation(seed)
    simulation.run(5.0, 500, 400)
    got = simulation.run(10.0, 500, 400)
    lookups = got["served", "lookup"] / got["asked", "lookup"]
    reads = got["served", "read"] / got["asked", "read"]
    assert lookups >= 0.9
    assert lookups > reads


@pytest.mark.parametrize("seed", range(3))
def test_nothing_is_refused_soon_after_the_overload(seed):
    simulation = _Simulation(seed)
    simulation.run(8.0, 800, 400)
    simulation.run(5.0, 200, 100)
    got = simulation.run(5.0, 200, 100)
    assert got["refused", "read"] + got["refused", "lookup"] == 0


def test_a_load_that_fits_is_never_refused():
    simulation = _Simulation(1)
    got = simulation.run(10.0, 300, 120)
    assert got["refused", "read"] + got["refused", "lookup"] == 0


def test_a_share_is_passed_on_by_the_route_whose_runs_make_the_calls():
    clock = fakes.create_clock()
    callees = admission.create_callees(
        clock, lambda service, route: outcomes.Share(0.5, service)
    )
    for _ in range(20):
        callees.note("reads", admission.Callee("bottleneck", "parts"))
    clock.advance(0.2)
    assert set(callees.shares) == {"reads"}
    assert callees.shares["reads"].service == "bottleneck"


def test_a_callee_that_is_no_longer_called_binds_nobody():
    clock = fakes.create_clock()
    callees = admission.create_callees(
        clock, lambda service, route: outcomes.Share(0.5, service)
    )
    callees.note("reads", admission.Callee("bottleneck", "parts"))
    for _ in range(60):
        clock.advance(0.2)
        callees.shares  # noqa: B018  The property ages the counts.
    assert callees.shares == {}


def test_services_that_call_one_another_do_not_keep_a_share_alive():
    clock = fakes.create_clock()
    shares = {"a": 0.5, "b": 0.5}
    circle = {
        name: admission.create_callees(
            clock,
            lambda service, route: outcomes.Share(shares[service], "gone"),
        )
        for name in shares
    }
    for _ in range(200):
        clock.advance(0.1)
        for name, other in (("a", "b"), ("b", "a")):
            for _ in range(10):
                circle[name].note("r", admission.Callee(other, "r"))
            found = circle[name].shares.get("r")
            shares[name] = found.part if found else admission.FULL_SHARE
    assert shares == {"a": admission.FULL_SHARE, "b": admission.FULL_SHARE}


def test_an_accounts_priority_goes_before_its_routes():
    assert admission.class_of(0, 2) < admission.class_of(1, 0)
    assert admission.class_of(None, 1) == admission.class_of(1, 1)
    assert admission.class_of_child(8) < admission.class_of(0, 0)


def test_a_limit_that_ends_leaves_no_refusals_behind():
    clock = fakes.create_clock()
    estimator = capacity.create_capacity_estimator(clock)
    estimator.note_running(1, 10)
    estimator.set_rate(4.0)
    for _ in range(20):
        for _ in range(10):
            estimator.note_arrival()
            estimator.note_shed()
        estimator.note_started(0.0)
        clock.advance(0.25)
        estimator.note_running(1, 10)
    assert estimator.share < 0.1
    estimator.set_rate(math.inf)
    assert estimator.share == admission.FULL_SHARE
