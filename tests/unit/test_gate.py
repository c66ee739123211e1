"""Tests of the gate: order of admission, fair shares and refusals."""

import asyncio
import collections

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import concurrency
from savorybend.internal import experiments
from savorybend.internal import fairshare
from savorybend.internal import outcomes
from savorybend.internal import timers
from tests import fakes
from tests import requests

_SLOTS = 4


class _GateSetup:
    """A gate with a manual clock, and the calls sent to it."""

    def __init__(self, slots=_SLOTS, off=""):
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.gate = concurrency.create_gate(
            self.timers, switches=experiments.parse(off)
        )
        self.gate.set_slots(slots)
        self.waiting = {}
        self.working = collections.deque()
        self.served = collections.Counter()
        self.refused = []

    async def send(self, account="a", priority=5, left_s=60.0, depth=0):
        """Sends a call; returns its permit or refusal, or None if it waits."""
        call = requests.create_lookup(
            client_account=account,
            priority=priority,
            depth=depth,
            deadline_s=self.clock.now_s() + left_s,
        )
        task = asyncio.ensure_future(self.gate.acquire(call))
        self.waiting[task] = call
        await self.settle()
        return None if task in self.waiting else task.result()

    async def settle(self):
        for _ in range(3):
            await asyncio.sleep(0)
        done = [task for task in self.waiting if task.done()]
        for task in sorted(
            done, key=lambda one: isinstance(one.result(), outcomes.Refuse)
        ):
            self._end(task, self.waiting.pop(task))

    def _end(self, task, call):
        match task.result():
            case concurrency.Permit() as permit:
                self.served[call.client_account] += 1
                self._check_none_more_important_waits(call)
                self.working.append(permit)
            case outcomes.Refuse() as refusal:
                self.refused.append((call, refusal))
                if refusal.reason is outcomes.OVERLOADED:
                    self._check_none_less_important_waits(call)

    def _check_none_more_important_waits(self, call):
        waiting = [c.priority for t, c in self.waiting.items() if not t.done()]
        assert all(priority >= call.priority for priority in waiting)

    def _check_none_less_important_waits(self, call):
        waiting = [c.priority for t, c in self.waiting.items() if not t.done()]
        assert all(priority <= call.priority for priority in waiting)

    async def finish(self, latency_s=0.01):
        if self.working:
            report = concurrency.Report(latency_s, failed=False)
            self.gate.release(self.working.popleft(), report)
        await self.settle()

    async def advance(self, seconds):
        self.clock.advance(seconds)
        self.timers.run_due()
        await self.settle()


_STEPS = strategies.one_of(
    strategies.tuples(strategies.just("send"), strategies.integers(0, 9)),
    strategies.tuples(strategies.just("finish"), strategies.just(0)),
    strategies.tuples(strategies.just("advance"), strategies.integers(1, 30)),
)


@hypothesis.given(steps=strategies.lists(_STEPS, min_size=20, max_size=80))
def test_no_call_goes_before_or_is_shed_after_a_more_important_one(steps):
    async def run():
        setup = _GateSetup(slots=2)
        for what, value in steps:
            match what:
                case "send":
                    await setup.send(priority=value)
                case "finish":
                    await setup.finish()
                case "advance":
                    await setup.advance(value / 100)

    asyncio.run(run())


async def _saturate(setup, demands, rounds):
    """In each round, sends calls of all accounts and finishes `_SLOTS`."""
    for _ in range(rounds):
        for account, count in demands.items():
            for _ in range(count):
                await setup.send(account)
        for _ in range(_SLOTS):
            await setup.finish()
        await setup.advance(0.02)


@hypothesis.given(
    demands=strategies.dictionaries(
        strategies.sampled_from("abcd"),
        strategies.integers(1, 12),
        min_size=2,
    ).filter(lambda found: sum(found.values()) > 2 * _SLOTS)
)
@hypothesis.settings(max_examples=15)
def test_accounts_share_capacity_evenly_when_it_is_short(demands):
    rounds = 60
    setup = _GateSetup(off="adaptive")
    asyncio.run(_saturate(setup, demands, rounds))
    room = sum(setup.served.values()) / rounds
    wanted = [fairshare.Demand(count, 1.0) for count in demands.values()]
    level = fairshare.water_level(wanted, room)
    for account, count in demands.items():
        share = min(count, level) * rounds
        assert setup.served[account] >= 0.9 * share


async def test_an_account_with_few_calls_goes_next():
    # An account with few calls had to wait for a round of all accounts with a
    # standing queue, and its call was shed during that wait.
    setup = _GateSetup(slots=8, off="adaptive,newest")
    for account in ["first"] * 8 + ["a", "b", "c", "d"] * 2:
        await setup.send(account)
    # These accounts always have calls queued, so they save up no share.
    for account in ["a", "b", "c", "d"] * 4:
        await setup.finish()
        await setup.send(account)
    await setup.finish()
    await setup.send("sparse")
    await setup.finish()
    assert setup.served["sparse"] == 1


def test_an_account_at_several_times_its_rate_takes_nothing_from_others():
    served = []
    for flood in (1, 10):
        setup = _GateSetup(off="adaptive")
        asyncio.run(_saturate(setup, {"calm": 1, "flood": flood}, 60))
        served.append(setup.served["calm"])
    assert served[0] == served[1] == 60


@pytest.mark.parametrize("left_s", [0.0, 0.01, 0.04])
async def test_a_call_that_would_miss_its_deadline_is_refused_at_once(left_s):
    setup = _GateSetup()
    await setup.send()
    await setup.finish(latency_s=0.1)
    refusal = await setup.send(left_s=left_s)
    assert refusal.reason is outcomes.TOO_LATE


async def test_a_route_that_was_too_slow_is_tried_again():
    setup = _GateSetup()
    await setup.send()
    await setup.finish(latency_s=10.0)
    assert await setup.send(left_s=1.0)
    await setup.advance(1.5)
    assert isinstance(await setup.send(left_s=1.0), concurrency.Permit)


async def test_calls_in_a_standing_queue_are_refused_before_their_deadline():
    setup = _GateSetup(slots=1)
    await setup.send()
    await setup.send(left_s=60.0)
    await setup.send(left_s=60.0, priority=0)
    await setup.advance(0.2)
    await setup.advance(0.2)
    assert {refusal.reason for _, refusal in setup.refused} == {
        outcomes.OVERLOADED
    }
    assert all(refusal.retry_after_s > 0 for _, refusal in setup.refused)
    assert setup.gate.waiting == 0


async def test_the_newest_call_goes_first_in_a_standing_queue():
    setup = _GateSetup(slots=3)
    for _ in range(3):
        await setup.send()
    await setup.send()
    await setup.advance(0.06)
    await setup.send(account="older")
    await setup.advance(0.03)
    await setup.send(account="older", left_s=7.0)
    setup.clock.advance(0.02)
    await setup.finish()
    await setup.finish()
    left = [call.deadline_s - 1000.0 for call in setup.waiting.values()]
    assert len(left) == 1
    assert not any(seconds < 10.0 for seconds in left)


async def test_the_most_important_class_may_queue_longer():
    setup = _GateSetup(slots=2)
    for _ in range(6):
        await setup.send(priority=0)
    assert not setup.refused
    await setup.send(priority=1)
    assert [call.priority for call, _ in setup.refused] == [1]


async def test_a_cancelled_caller_frees_its_place_in_the_queue():
    setup = _GateSetup(slots=1)
    await setup.send()
    await setup.send()
    task = next(iter(setup.waiting))
    task.cancel()
    await asyncio.sleep(0)
    assert setup.gate.waiting == 0
    setup.waiting.clear()
    await setup.finish()
    assert setup.gate.in_use == 0


@pytest.mark.parametrize(("depth", "raised"), [(0, False), (1, True)])
async def test_only_refused_child_calls_raise_the_threshold(depth, raised):
    setup = _GateSetup(slots=2)
    for _ in range(20):
        await setup.send(depth=depth)
    await setup.advance(0.3)
    assert setup.refused
    assert (setup.gate.threshold > 0) == raised


# For up to 2 s after an overload, the ingress refused root calls that the gate
# on the same VM would have admitted.
async def test_answers_to_root_calls_carry_no_threshold():
    setup = _GateSetup(slots=2)
    for _ in range(20):
        await setup.send(depth=1)
    await setup.advance(0.3)
    assert setup.gate.threshold_for(requests.create_lookup(depth=1)) > 0
    assert setup.gate.threshold_for(requests.create_lookup(depth=0)) == 0


# The gate granted a permit to the future of a caller cancelled in the same turn
# of the event loop; the resulting error failed the call that had just ended.
async def test_a_caller_cancelled_as_its_turn_comes_is_skipped():
    setup = _GateSetup(slots=2)
    await setup.send()
    await setup.send()
    await setup.send(account="leaving")
    await setup.send(account="staying")
    (leaving,) = (
        task
        for task, call in setup.waiting.items()
        if call.client_account == "leaving"
    )
    setup.waiting.pop(leaving)
    leaving.cancel()
    await setup.finish()
    assert setup.served["staying"] == 1
