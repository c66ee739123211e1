"""The gate beside a backend server is fair, and refuses what is in vain."""

import asyncio
import collections

import hypothesis
import pytest
from hypothesis import strategies

from savorybend.internal import concurrency
from savorybend.internal import experiments
from savorybend.internal import outcomes
from savorybend.internal import shares
from savorybend.internal import timers
from tests import fakes
from tests import requests

_SLOTS = 4


class Stage:
    """A gate, its clock, and the calls that entered it."""

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
        """Sends a call; returns a refusal that came at once, or None."""
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
                self._never_before(call)
                self.working.append(permit)
            case outcomes.Refuse() as refusal:
                self.refused.append((call, refusal))
                if refusal.reason is outcomes.OVERLOADED:
                    self._never_after(call)

    def _never_before(self, call):
        waiting = [c.priority for t, c in self.waiting.items() if not t.done()]
        assert all(priority >= call.priority for priority in waiting)

    def _never_after(self, call):
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
        stage = Stage(slots=2)
        for what, value in steps:
            match what:
                case "send":
                    await stage.send(priority=value)
                case "finish":
                    await stage.finish()
                case "advance":
                    await stage.advance(value / 100)

    asyncio.run(run())


async def _saturate(stage, demands, rounds):
    """Sends each account's calls in each round; serves as many as slots."""
    for _ in range(rounds):
        for account, count in demands.items():
            for _ in range(count):
                await stage.send(account)
        for _ in range(_SLOTS):
            await stage.finish()
        await stage.advance(0.02)


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
    stage = Stage(off="adaptive")
    asyncio.run(_saturate(stage, demands, rounds))
    room = sum(stage.served.values()) / rounds
    wanted = [shares.Demand(count, 1.0) for count in demands.values()]
    level = shares.water_level(wanted, room)
    for account, count in demands.items():
        share = min(count, level) * rounds
        assert stage.served[account] >= 0.9 * share


async def test_an_account_that_asks_for_little_goes_next():
    # Behind a round of all accounts that always wait, it was shed meanwhile.
    stage = Stage(slots=8, off="adaptive,newest")
    for account in ["first"] * 8 + ["a", "b", "c", "d"] * 2:
        await stage.send(account)
    # They always wait, so nothing of their shares is left over.
    for account in ["a", "b", "c", "d"] * 4:
        await stage.finish()
        await stage.send(account)
    await stage.finish()
    await stage.send("sparse")
    await stage.finish()
    assert stage.served["sparse"] == 1


def test_an_account_at_several_times_its_rate_costs_the_others_nothing():
    served = []
    for flood in (1, 10):
        stage = Stage(off="adaptive")
        asyncio.run(_saturate(stage, {"calm": 1, "flood": flood}, 60))
        served.append(stage.served["calm"])
    assert served[0] == served[1] == 60


@pytest.mark.parametrize("left_s", [0.0, 0.01, 0.04])
async def test_a_call_that_cannot_be_in_time_is_refused_at_once(left_s):
    stage = Stage()
    await stage.send()
    await stage.finish(latency_s=0.1)
    refusal = await stage.send(left_s=left_s)
    assert refusal.reason is outcomes.TOO_LATE


async def test_a_route_that_was_too_slow_is_tried_again():
    stage = Stage()
    await stage.send()
    await stage.finish(latency_s=10.0)
    assert await stage.send(left_s=1.0)
    await stage.advance(1.5)
    assert isinstance(await stage.send(left_s=1.0), concurrency.Permit)


async def test_nobody_waits_just_to_be_refused_at_the_deadline():
    stage = Stage(slots=1)
    await stage.send()
    await stage.send(left_s=60.0)
    await stage.send(left_s=60.0, priority=0)
    await stage.advance(0.2)
    await stage.advance(0.2)
    assert {refusal.reason for _, refusal in stage.refused} == {
        outcomes.OVERLOADED
    }
    assert all(refusal.retry_after_s > 0 for _, refusal in stage.refused)
    assert stage.gate.waiting == 0


async def test_the_newest_call_goes_first_once_the_queue_stands():
    stage = Stage(slots=3)
    for _ in range(3):
        await stage.send()
    await stage.send()
    await stage.advance(0.06)
    await stage.send(account="older")
    await stage.advance(0.03)
    await stage.send(account="older", left_s=7.0)
    stage.clock.advance(0.02)
    await stage.finish()
    await stage.finish()
    left = [call.deadline_s - 1000.0 for call in stage.waiting.values()]
    assert len(left) == 1
    assert not any(seconds < 10.0 for seconds in left)


async def test_the_most_important_class_may_queue_longer():
    stage = Stage(slots=2)
    for _ in range(6):
        await stage.send(priority=0)
    assert not stage.refused
    await stage.send(priority=1)
    assert [call.priority for call, _ in stage.refused] == [1]


async def test_a_caller_who_leaves_gives_its_place_back():
    stage = Stage(slots=1)
    await stage.send()
    await stage.send()
    task = next(iter(stage.waiting))
    task.cancel()
    await asyncio.sleep(0)
    assert stage.gate.waiting == 0
    stage.waiting.clear()
    await stage.finish()
    assert stage.gate.in_use == 0


@pytest.mark.parametrize(("depth", "raised"), [(0, False), (1, True)])
async def test_only_calls_that_cost_something_raise_the_threshold(
    depth, raised
):
    stage = Stage(slots=2)
    for _ in range(20):
        await stage.send(depth=depth)
    await stage.advance(0.3)
    assert stage.refused
    assert (stage.gate.threshold > 0) == raised


# Entries once refused what a gate beside them would have taken, for up to two
# seconds after an overload.
async def test_the_threshold_is_not_for_calls_that_enter_beside_the_gate():
    stage = Stage(slots=2)
    for _ in range(20):
        await stage.send(depth=1)
    await stage.advance(0.3)
    assert stage.gate.threshold_for(requests.create_lookup(depth=1)) > 0
    assert stage.gate.threshold_for(requests.create_lookup(depth=0)) == 0


# The gate once gave the place of a caller who had just left to its cancelled
# future, and the error took the call that had ended down with it.
async def test_a_caller_who_leaves_as_its_turn_comes_is_passed_over():
    stage = Stage(slots=2)
    await stage.send()
    await stage.send()
    await stage.send(account="leaving")
    await stage.send(account="staying")
    (leaving,) = (
        task
        for task, call in stage.waiting.items()
        if call.client_account == "leaving"
    )
    stage.waiting.pop(leaving)
    leaving.cancel()
    await stage.finish()
    assert stage.served["staying"] == 1
