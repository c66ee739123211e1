"""Call messages are delivered once and in order over faulty connections."""

import collections
import itertools

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from savorybend.internal import linkmonitor
from savorybend.internal import links
from savorybend.internal import members
from savorybend.internal import peers
from savorybend.internal import timers
from savorybend.internal.wire import calls
from tests import fakes

_TICK_S = 0.1
_NAMES = ("one", "two")
# Long enough to detect and replace a silent connection several times.
_SETTLE_TICKS = 100


def _record(name):
    fields = ("east", "back", "call", "peer", "admin", f"key-{name}")
    return members.Record(name, 1, *fields)


class _Network:
    """Simulated connections: lists of messages in transit, by sender."""

    def __init__(self):
        self.ends = {}
        self.current = {}
        self.numbers = itertools.count(1)
        self.under_way = collections.defaultdict(list)
        self.silent = set()

    def create_end(self, name):
        return _End(self, name)

    def open(self, name):
        self.current[name] = next(self.numbers)

    def put(self, name, routing_id, data):
        if (name, routing_id) not in self.silent:
            self.under_way[name, routing_id].append(data)

    def deliver(self, key, index, keep):
        sender, routing_id = key
        data = self.under_way[key][index]
        if not keep:
            del self.under_way[key][index]
        if not self.under_way[key]:
            del self.under_way[key]
        receiver = _NAMES[1 - _NAMES.index(sender)]
        self.current.setdefault(receiver, routing_id)
        self.ends[receiver].receive(sender, data, routing_id)


class _End:
    """One transport's interface to the simulated network."""

    def __init__(self, network, name):
        self._network = network
        self._name = name

    def send(self, peer, data):
        if self._name not in self._network.current:
            self._network.open(self._name)
        routing_id = self._network.current[self._name]
        self._network.put(self._name, routing_id, data)

    def answer(self, peer, data, routing_id):
        self._network.put(self._name, routing_id, data)

    def select_connection(self, peer, routing_id):
        self._network.current[self._name] = routing_id

    def reopen(self, peer):
        self._network.open(self._name)

    def drop(self, peer):
        self._network.current.pop(self._name, None)

    def close_idle(self, busy):
        pass


class Exchange(stateful.RuleBasedStateMachine):
    """Two transports over connections that lose, repeat, reorder messages."""

    def __init__(self):
        super().__init__()
        self.clock = fakes.create_clock()
        self.timers = timers.create_manual_timer_service(self.clock)
        self.network = _Network()
        self.sent = {name: [] for name in _NAMES}
        self.seen = {name: [] for name in _NAMES}
        self.broken = []
        for name in _NAMES:
            directory = members.create_directory(_record(name))
            for other in _NAMES:
                directory.put(_record(other))
            end = peers.Transport(directory, self.timers)
            end.set_connections(self.network.create_end(name))
            end.subscribe(calls.CallCancel, self._keep(name))
            end.subscribe_breaks(self.broken.append)
            self.network.ends[name] = end

    def _keep(self, name):
        return lambda peer, message: self.seen[name].append(message.stream)

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def send(self, name):
        number = len(self.sent[name])
        self.sent[name].append(number)
        other = _NAMES[1 - _NAMES.index(name)]
        self.network.ends[name].send(other, calls.CallCancel(number))

    @stateful.precondition(lambda self: self.network.under_way)
    @stateful.rule(data=strategies.data(), keep=strategies.booleans())
    def deliver(self, data, keep):
        key = data.draw(strategies.sampled_from(list(self.network.under_way)))
        most = len(self.network.under_way[key]) - 1
        self.network.deliver(key, data.draw(strategies.integers(0, most)), keep)

    @stateful.precondition(lambda self: self.network.current)
    @stateful.rule(data=strategies.data(), name=strategies.sampled_from(_NAMES))
    def go_silent(self, data, name):
        routing_ids = sorted(set(self.network.current.values()))
        routing_id = data.draw(strategies.sampled_from(routing_ids))
        self.network.silent.add((name, routing_id))
        self.network.under_way.pop((name, routing_id), None)

    @stateful.rule(ticks=strategies.integers(1, 20))
    def wait(self, ticks):
        for _ in range(ticks):
            self.clock.advance(_TICK_S)
            self.timers.run_due()

    @stateful.invariant()
    def nothing_is_seen_twice_or_out_of_order(self):
        for name, other in (_NAMES, _NAMES[::-1]):
            seen = self.seen[other]
            assert seen == self.sent[name][: len(seen)]

    def teardown(self):
        for _ in range(_SETTLE_TICKS):
            self.wait(1)
            while self.network.under_way:
                self.network.deliver(
                    next(iter(self.network.under_way)), 0, False
                )
        for name, other in (_NAMES, _NAMES[::-1]):
            assert self.seen[other] == self.sent[name]
            assert self.network.ends[name].waiting == 0
        assert not self.broken


Exchange.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestExchange = Exchange.TestCase


def test_an_idle_link_exchanges_nothing():
    machine = Exchange()
    machine.send("one")
    machine.teardown()
    machine.wait(1000)
    assert not machine.network.under_way


def test_what_was_given_up_breaks_the_link_at_both_ends():
    machine = Exchange()
    machine.send("one")
    machine.wait(2)
    machine.clock.advance(linkmonitor.GIVE_UP_AFTER_S)
    machine.wait(1)
    machine.network.under_way.clear()
    assert machine.broken == ["two"]
    machine.send("one")
    for _ in range(_SETTLE_TICKS):
        machine.wait(1)
        while machine.network.under_way:
            machine.network.deliver(
                next(iter(machine.network.under_way)), 0, False
            )
    assert machine.broken == ["two", "one"]
    assert machine.seen["two"] == [1]


def test_a_new_call_is_refused_while_too_much_waits():
    link = links.create_link("key")
    while not link.full:
        link.add(calls.CallChunk(1, bytes(65_536), False))
    assert link.waiting <= links.MAX_UNACKNOWLEDGED_BYTES // 65_536 + 1
    link.acknowledge(link.oldest)
    assert not link.full


# Each row: seconds between decisions, then the state that follows them.
_PATIENCE = (
    ((linkmonitor.PROBE_AFTER_S / 2,), "settled", linkmonitor.Wait),
    ((linkmonitor.PROBE_AFTER_S,), "probing", linkmonitor.Probe),
    (
        (linkmonitor.PROBE_AFTER_S, linkmonitor.SILENT_AFTER_S / 2),
        "probing",
        linkmonitor.Wait,
    ),
    (
        (linkmonitor.PROBE_AFTER_S, linkmonitor.SILENT_AFTER_S),
        "reopening",
        linkmonitor.Reopen,
    ),
    ((linkmonitor.GIVE_UP_AFTER_S,), "settled", linkmonitor.GiveUp),
)


@pytest.mark.parametrize("row", _PATIENCE, ids=str)
def test_silence_is_decided_by_the_time_without_progress(row):
    steps, state, action = row
    watch = linkmonitor.create_link_monitor()
    now_s = 1000.0
    watch.decide(now_s, 1)
    for step_s in steps:
        now_s += step_s + 1e-9
        decided = watch.decide(now_s, 1)
    assert isinstance(decided, action)
    assert watch.state == state
    watch.decide(now_s, 2)
    assert watch.state == "settled"
