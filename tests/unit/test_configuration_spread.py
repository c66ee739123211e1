"""Tests that a configuration reaches every daemon and is never reverted."""

import math
import random
import zlib

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from savorybend.internal import configdistribution
from savorybend.internal import configstore
from savorybend.internal.wire import configuration as wire
from savorybend.internal.wire import membership as membership_wire
from tests import documents
from tests import fakes
from tests import schedules

_TARGET_S = 3.0


def _create_text(accounts=0):
    site = documents.create_site()
    rng = random.Random(accounts)
    for number in range(accounts):
        name = f"a-{number}"
        # Random salts and hashes don't compress, so the text has several parts.
        salt, digest = rng.randbytes(16).hex(), rng.randbytes(32).hex()
        site.add_client_account(name, rate_per_s=1.0, burst=1.0)
        site.add_key(name, f"{name}-key", salt=salt, hash=digest)
    return site.to_json().encode()


_TEXT = _create_text()


def _versions(fleet):
    return {m.store.version for m in fleet.members.values()}


# Each row: number of client accounts, minimum number of parts.
_SIZES = ((0, 1), (2500, 3))


@pytest.mark.parametrize("row", _SIZES, ids=["small", "many parts"])
def test_one_watcher_is_enough_for_the_fleet(row):
    accounts, fewest_parts = row
    fleet = fakes.create_fleet(60, ("east", "west", "north"))
    fleet.advance(5)
    text = _create_text(accounts)
    packed = len(zlib.compress(text))
    assert math.ceil(packed / configdistribution.PART_BYTES) >= fewest_parts
    fleet.members["m0"].store.offer(7, text)
    fleet.advance(_TARGET_S)
    assert _versions(fleet) == {7}
    assert {m.store.in_force.text for m in fleet.members.values()} == {text}


def test_a_holder_gone_in_the_middle_is_replaced_by_another():
    fleet = fakes.create_fleet(6)
    fleet.advance(2)
    late = fleet.members["m5"]
    fleet.part(["m5"], [f"m{n}" for n in range(5)])
    fleet.members["m0"].store.offer(7, _TEXT)
    fleet.advance(0.5)
    fleet.cut.clear()
    late.distributor.on_standing(
        "m0", membership_wire.ConfigurationStatus(7, 0.0)
    )
    late.distributor.on_standing(
        "m1", membership_wire.ConfigurationStatus(7, 0.0)
    )
    fleet.frozen.add("m0")
    fleet.advance(1)
    assert late.store.version == 7


# Each row: the defect, the invalid part that a peer sends.
_GARBLED = (
    ("not compressed", wire.Part(7, 0, 3, "0" * 64, b"abc")),
    ("wrong digest", wire.Part(7, 0, 9, "0" * 64, b"x\x9c\x03\0\0\0\0\x01")),
    ("empty", wire.Part(7, 0, 9, "0" * 64, b"")),
    ("another version", wire.Part(8, 0, 3, "0" * 64, b"abc")),
    ("another offset", wire.Part(7, 5, 3, "0" * 64, b"abc")),
)


@pytest.mark.parametrize("row", _GARBLED, ids=[row[0] for row in _GARBLED])
def test_a_garbled_part_changes_nothing(row):
    fleet = fakes.create_fleet(2)
    member = fleet.members["m0"]
    member.distributor.on_standing(
        "m1", membership_wire.ConfigurationStatus(7, 0.0)
    )
    member.inbox.append(("m1", fakes.codec.encode(row[1])))
    fleet.advance(1)
    assert member.store.version == 0
    member.store.offer(9, _TEXT)
    assert member.store.version == 9


def test_a_document_that_breaks_a_rule_is_asked_for_once():
    fleet = fakes.create_fleet(2)
    member = fleet.members["m0"]
    standing = membership_wire.ConfigurationStatus(7, 0.0)
    member.distributor._refused = 7
    before = fleet.sent_messages
    member.distributor.on_standing("m1", standing)
    assert fleet.sent_messages == before


def test_the_age_is_never_too_low():
    fleet = fakes.create_fleet(8, ("east", "west"))
    watcher = fleet.members["m0"]
    for _ in range(20):
        watcher.store.confirm(fleet.clock.now_s())
        fleet.advance(1)
    confirmed_s = fleet.clock.now_s() - 1
    fleet.advance(30)
    for member in fleet.members.values():
        assert member.store.age_s >= fleet.clock.now_s() - confirmed_s - 1e-6
        assert member.store.age_s < math.inf


def test_a_daemon_that_heard_nobody_admits_to_no_age():
    store = configstore.create_store(fakes.create_clock())
    store.offer(1, _TEXT)
    assert store.age_s == math.inf


@hypothesis.settings(max_examples=80, stateful_step_count=30)
class Schedules(schedules.Faults):
    """Checks that versions never decrease under partitions and restarts."""

    names = strategies.sampled_from([f"m{n}" for n in range(5)])

    def __init__(self):
        super().__init__()
        self.fleet = fakes.create_fleet(5, ("east", "west"))
        self.version = 0
        self.highest = {}

    @stateful.rule(name=names)
    def accept(self, name):
        self.version += 1
        self.fleet.members[name].store.offer(self.version, _TEXT)

    @stateful.precondition(lambda self: self.version > 1)
    @stateful.rule(name=names, behind=strategies.integers(1, 3))
    def replay(self, name, behind):
        store = self.fleet.members[name].store
        store.offer(max(1, self.version - behind), _TEXT)

    @stateful.rule(steps=strategies.integers(1, 20))
    def pass_time(self, steps):
        for _ in range(steps):
            self.fleet.advance(0.1, 0.1)
            self.never_lower()

    @stateful.invariant()
    def never_lower(self):
        for name, member in self.fleet.members.items():
            version = member.store.version
            assert version >= self.highest.get(name, 0)
            self.highest[name] = version

    def teardown(self):
        self.heal()
        self.rejoin()
        self.fleet.advance(_TARGET_S, 0.1)
        assert _versions(self.fleet) == {self.version}


TestSchedules = Schedules.TestCase
