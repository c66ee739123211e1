"""Compares ways in which two daemons come to agree on the fleet.

Run: python -m bench.repair
"""

import collections
import time
import typing

import msgspec

from savorybend.internal import hashtree
from savorybend.internal import members
from savorybend.internal import repair as repairs
from savorybend.internal import roster as rosters
from savorybend.internal.wire import codec
from savorybend.internal.wire import membership as wire
from tests import fakes

_SIZES = (10, 30, 100, 300, 1000)
_DIFFERENCES = (0, 1, 10, 100)
# One way, between two daemons of a data centre and of two regions.
_NEAR_S = 0.0005
_FAR_S = 0.030
_STANDING = wire.ConfigurationStatus(1, 0.0)


class Cost(typing.NamedTuple):
    """What an exchange cost until both sides agreed.

    Attributes:
        sent: Bytes of all messages.
        messages: Number of messages.
        hops: Messages one after another.
        cpu_s: Processor time of both sides, codec included.
    """

    sent: int
    messages: int
    hops: int
    cpu_s: float


class _Side:
    """One daemon's roster and its repair."""

    def __init__(self, name: str, send):
        directory = members.create_directory(fakes.create_record(name))
        self.roster = rosters.create_roster(
            directory, fakes.create_clock(), fakes.create_signer(name)
        )
        self.repair = repairs.create_repair(self.roster, send, _wrap)

    def take(self, peer: str, message: typing.Any) -> None:
        """Handles a message of the other side."""
        match message:
            case wire.NodeHashes():
                self.repair.on_node_hashes(peer, message)
            case wire.Leaf():
                self.repair.on_leaf(peer, message)
            case wire.Gossip(updates=updates):
                for update in updates:
                    self.roster.apply(update)


class Pair:
    """Two daemons and the messages between them."""

    def __init__(self, size: int, different: int):
        self._queue: collections.deque = collections.deque()
        self._hop = 0
        self.sides = {
            "a": _Side("a", lambda _, m: self.send("b", m)),
            "b": _Side("b", lambda _, m: self.send("a", m)),
        }
        updates = [
            wire.Update(fakes.create_record(f"daemon-{number:04}"), "alive")
            for number in range(size)
        ]
        updates += [
            wire.Update(fakes.create_record(name), "alive") for name in "ab"
        ]
        for side in self.sides.values():
            for update in updates:
                side.roster.apply(update)
        for number in range(min(different, size)):
            old = updates[number].record
            newer = fakes.sign(msgspec.structs.replace(old, revision=1))
            side = self.sides["ab"[number % 2]]
            side.roster.apply(wire.Update(newer, "alive"))

    def send(self, receiver: str, message: typing.Any) -> None:
        """Queues a message as bytes."""
        data = codec.encode(message)
        self._queue.append((self._hop + 1, receiver, data))

    def run(self, start) -> Cost:
        """Runs an exchange to its end."""
        began_s = time.process_time()
        self._hop = 0
        start(self)
        sent = messages = hops = 0
        while self._queue:
            self._hop, receiver, data = self._queue.popleft()
            sent += len(data)
            messages += 1
            hops = max(hops, self._hop)
            peer = "b" if receiver == "a" else "a"
            message = codec.decode(data)
            match message:
                case wire.Leaf(node=hashtree.ROOT):
                    _answer_vector(self, receiver, message)
                case _:
                    self.sides[receiver].take(peer, message)
        cpu_s = time.process_time() - began_s
        self._check()
        return Cost(sent, messages, hops, cpu_s)

    def _check(self) -> None:
        first, second = (
            side.roster.tree.children(hashtree.ROOT)
            for side in self.sides.values()
        )
        if first != second:
            raise AssertionError("the two sides don't agree")


def _wrap(updates: list[wire.Update]) -> wire.Gossip:
    return wire.Gossip(updates, _STANDING)


def _full(pair: Pair) -> None:
    for name, other in (("a", "b"), ("b", "a")):
        roster = pair.sides[name].roster
        updates = [roster.update_of(entry) for entry in roster.entries()]
        pair.send(other, _wrap(updates))


def _vector(pair: Pair) -> None:
    pair.send("b", wire.Leaf(hashtree.ROOT, _summaries(pair, "a"), True))


def _answer_vector(pair: Pair, own: str, message: wire.Leaf) -> None:
    """Answers a version vector as `Repair.on_leaf` does for one leaf."""
    other = "b" if own == "a" else "a"
    theirs = {summary.name: summary for summary in message.entries}
    roster = pair.sides[own].roster
    newer = [
        roster.update_of(entry)
        for entry in roster.entries()
        if repairs.is_newer(entry, theirs.get(entry.record.name))
    ]
    if newer:
        pair.send(other, _wrap(newer))
    if message.answer:
        leaf = wire.Leaf(hashtree.ROOT, _summaries(pair, own), False)
        pair.send(other, leaf)


def _summaries(pair: Pair, side: str) -> list[wire.Summary]:
    return [
        repairs.summary_of(entry) for entry in pair.sides[side].roster.entries()
    ]


def _signatures(pair: Pair) -> None:
    pair.sides["a"].repair.start("b")


_WAYS = (("full", _full), ("vector", _vector), ("signatures", _signatures))


def main() -> None:
    """Prints the table."""
    print(
        f"{'members':>7} {'differ':>6} {'way':>10} {'bytes':>8} {'msgs':>5} "
        f"{'hops':>4} {'cpu ms':>7} {'near ms':>8} {'far ms':>7}"
    )
    for size in _SIZES:
        for different in _DIFFERENCES:
            if different > size:
                continue
            for name, start in _WAYS:
                cost = Pair(size, different).run(start)
                near_ms = 1000 * (cost.cpu_s + cost.hops * _NEAR_S)
                far_ms = 1000 * (cost.cpu_s + cost.hops * _FAR_S)
                print(
                    f"{size:7} {different:6} {name:>10} {cost.sent:8} "
                    f"{cost.messages:5} {cost.hops:4} "
                    f"{1000 * cost.cpu_s:7.2f} {near_ms:8.2f} {far_ms:7.1f}"
                )


if __name__ == "__main__":
    main()
