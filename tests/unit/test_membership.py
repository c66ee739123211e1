"""Membership: probes, gossip, refutation, repair and claims to names."""

import itertools

import hypothesis
import msgspec
import prometheus_client
import pytest
from hypothesis import stateful
from hypothesis import strategies

from savorybend.internal import hashtree
from savorybend.internal import members
from savorybend.internal import membership
from savorybend.internal import roster as rosters
from savorybend.internal.wire import membership as wire
from tests import fakes
from tests import schedules

_STATES = strategies.sampled_from(["alive", "suspect", "dead", "left"])
_NAMES = strategies.sampled_from(["a", "b", "c"])


def _update(name, incarnation, revision, state):
    record = fakes.create_record(name, incarnation=incarnation)
    told = members.LEFT if state == rosters.LEFT else members.SERVING
    record = msgspec.structs.replace(record, revision=revision, state=told)
    return wire.Update(fakes.sign(record), state)


_UPDATES = strategies.lists(
    strategies.builds(
        _update,
        _NAMES,
        strategies.integers(1, 3),
        strategies.integers(0, 3),
        _STATES,
    ),
    max_size=8,
)


def _create_roster(updates):
    directory = members.create_directory(fakes.create_record("own"))
    roster = rosters.create_roster(
        directory, fakes.create_clock(), fakes.create_signer("own")
    )
    for update in updates:
        roster.apply(update)
    return roster


def _settle(roster):
    """Expires every suspicion, since no daemon here can refute one."""
    for name in ("a", "b", "c"):
        # As when the platform, which resolves claims, is unavailable.
        roster.suspect_holder(name)
    while suspected := roster.in_state("suspect"):
        for entry in suspected:
            roster.expire(entry.record.name)
    return roster


def _known(roster):
    return {e.record.name: e.key for e in roster.entries() if e.state != "left"}


@hypothesis.given(_UPDATES, strategies.randoms(use_true_random=False))
def test_the_order_of_updates_makes_no_difference(updates, rng):
    shuffled = list(updates)
    rng.shuffle(shuffled)
    first = _settle(_create_roster(updates))
    second = _settle(_create_roster(shuffled))
    assert _known(first) == _known(second)
    root = hashtree.ROOT
    assert first.tree.children(root) == second.tree.children(root)


@hypothesis.given(_UPDATES)
def test_the_directory_holds_exactly_the_daemons_present(updates):
    roster = _create_roster(updates)
    living = {
        entry.record.name
        for entry in roster.entries()
        if entry.state in ("alive", "suspect")
    }
    names = {r.name for r in roster._directory.all()}
    assert names == living


def test_a_restart_under_the_same_name_wins():
    roster = _create_roster([_update("a", 1, 9, "dead")])
    assert roster.apply(_update("a", 2, 0, "alive"))
    assert not roster.apply(_update("a", 1, 9, "left"))
    assert roster.get("a").state == "alive"


def test_a_replaced_daemon_is_notified_of_the_later_start():
    fleet = fakes.create_fleet(3)
    old = fleet.members["m0"]
    new = fleet.add("m0", incarnation=2)
    fleet.announced = {"m0": new.directory.own}
    fleet.join("m0", "m1")
    seen = []
    old.membership.roster.subscribe_replaced(lambda: seen.append(True))
    request = wire.JoinRequest(old.directory.own, False, [])
    old.membership.apply_updates(
        fleet.members["m1"].bootstrap.answer(request).updates
    )
    assert seen


def _forge(base, **fields):
    """Returns a record with the given name but another daemon's signature."""
    return fakes.create_signer("mallory").sign(
        msgspec.structs.replace(base, **fields)
    )


_HELD = fakes.sign(
    msgspec.structs.replace(fakes.create_record("a", incarnation=5), revision=3)
)
_MALLORY = fakes.create_record("mallory")
# Each row: what is wrong, the record, its state, and the cause counted.
_FORGED = (
    (
        "unsigned",
        msgspec.structs.replace(_HELD, revision=4, signature=b""),
        "alive",
        "forged-record",
    ),
    (
        "altered",
        msgspec.structs.replace(_HELD, revision=4),
        "alive",
        "forged-record",
    ),
    ("another key", _forge(_HELD, revision=4), "alive", "forged-record"),
    ("a later start", _forge(_HELD, incarnation=6), "alive", "claimed-name"),
    ("a later death", _forge(_HELD, incarnation=6), "dead", "claimed-name"),
    ("a departure", _HELD, "left", "forged-record"),
    (
        "a departure by another",
        _forge(_HELD, revision=4, state=members.LEFT),
        "left",
        "forged-record",
    ),
    (
        "another's connections",
        fakes.sign(
            msgspec.structs.replace(_MALLORY, public_key=_HELD.public_key)
        ),
        "alive",
        "forged-record",
    ),
    (
        "oversized",
        fakes.sign(
            msgspec.structs.replace(_HELD, revision=4, service="x" * 4096)
        ),
        "alive",
        "forged-record",
    ),
    (
        "replayed",
        fakes.create_record("a", incarnation=5),
        "alive",
        "old-record",
    ),
)


def _refused(cause):
    return (
        prometheus_client.REGISTRY.get_sample_value(
            "savorybend_peer_refusals_total", {"cause": cause}
        )
        or 0.0
    )


@pytest.mark.parametrize("row", _FORGED, ids=[row[0] for row in _FORGED])
def test_a_forged_update_does_not_replace_a_living_holder(row):
    _, record, state, cause = row
    roster = _create_roster([wire.Update(_HELD, "alive")])
    roster.subscribe_claims(lambda name: roster.resolve_claim(name, _HELD))
    before = _refused(cause)
    assert not roster.apply(wire.Update(record, state))
    assert roster.get("a").record == _HELD
    assert roster.get("a").state == "alive"
    assert roster._directory.name_of_key(_HELD.public_key) == "a"
    assert _refused(cause) == before + 1


# Each row: the changed fields of a daemon's record that another key signed.
_OF_OWN = ({"revision": 99}, {"incarnation": 99})


@pytest.mark.parametrize("fields", _OF_OWN, ids=["revision", "incarnation"])
def test_a_forged_record_does_not_stop_a_daemon(fields):
    fleet = fakes.create_fleet(3)
    own = fleet.members["m0"].directory.own
    fleet.announced = {"m0": own}
    seen = []
    roster = fleet.members["m0"].membership.roster
    roster.subscribe_replaced(lambda: seen.append(True))
    fleet.members["m0"].membership.apply_updates(
        [wire.Update(_forge(own, **fields), "alive")]
    )
    assert not seen
    assert roster.own == own


def test_without_the_platform_a_holder_that_refutes_keeps_its_name():
    fleet = fakes.create_fleet(6)
    own = fleet.members["m0"].directory.own
    claim = wire.Update(_forge(own, incarnation=2), "alive")
    fleet.members["m1"].membership.apply_updates([claim])
    fleet.advance(10)
    views = [m.directory.get("m0") for m in fleet.members.values()]
    assert {view.signing_key for view in views} == {own.signing_key}
    new = fleet.add("m0", incarnation=3)
    fleet.join("m0", "m1")
    fleet.advance(10)
    views = [m.directory.get("m0") for m in fleet.members.values()]
    assert {view.signing_key for view in views} == {
        new.directory.own.signing_key
    }


def _disagree(fleet):
    return [m for m in fleet.members.values() if m.sees() != set(fleet.members)]


def test_an_update_reaches_a_large_fleet_in_five_rounds():
    fleet = fakes.create_fleet(200, ("east", "west", "north"))
    fleet.advance(5)
    fleet.add("late", "east")
    fleet.join("late", "m0")
    fleet.advance(5 * (membership.GOSSIP_DELAY_S + fleet.delay_s), 0.01)
    assert not _disagree(fleet)


def test_a_dead_member_is_removed_and_living_ones_are_kept():
    fleet = fakes.create_fleet(12, ("east", "west"))
    del fleet.members["m3"]
    fleet.advance(15)
    assert not _disagree(fleet)


def test_a_member_rejoins_after_a_long_pause():
    fleet = fakes.create_fleet(6)
    fleet.frozen.add("m0")
    fleet.advance(20)
    others = [m for n, m in fleet.members.items() if n != "m0"]
    assert all("m0" not in m.sees() for m in others)
    fleet.frozen.clear()
    # Another member's attempt to reach a lost one, as `Bootstrap` makes.
    fleet.join("m1", "m0")
    fleet.advance(5)
    assert not _disagree(fleet)


def test_a_pause_shorter_than_the_suspicion_removes_no_member():
    fleet = fakes.create_fleet(6)
    seen = []
    for member in fleet.members.values():
        member.directory.subscribe(seen.append)
    fleet.frozen.add("m0")
    fleet.advance(2.4)
    fleet.frozen.clear()
    fleet.advance(10)
    assert not [c for c in seen if isinstance(c, members.MemberRemoved)]


def _accused(fleet):
    """Returns the members that had to refute a suspicion."""
    return {n for n, m in fleet.members.items() if m.directory.own.revision}


def test_one_broken_path_raises_no_suspicion():
    fleet = fakes.create_fleet(8)
    fleet.part(["m0"], ["m1"])
    fleet.advance(30)
    assert not _accused(fleet)


def test_a_suspicion_does_not_expire_during_a_pause():
    fleet = fakes.create_fleet(6)
    paused = fleet.members["m0"]
    fleet.frozen.add("m1")
    while paused.membership.roster.get("m1").state != "suspect":
        fleet.advance(0.1)
    fleet.frozen = {"m0"}
    fleet.advance(4)
    seen = []
    paused.directory.subscribe(seen.append)
    # m1's refutation was lost with the connections.
    paused.inbox.clear()
    fleet.frozen.clear()
    fleet.advance(6)
    assert not [
        c
        for c in seen
        if isinstance(c, members.MemberRemoved) and c.record.name == "m1"
    ]


def test_a_member_that_was_paused_suspects_no_other():
    fleet = fakes.create_fleet(6)
    fleet.advance(2)
    fleet.frozen.add("m0")
    fleet.advance(4)
    fleet.frozen.clear()
    # Its connections broke during the pause, and the replies were lost.
    fleet.members["m0"].inbox.clear()
    fleet.advance(4)
    assert _accused(fleet) <= {"m0"}


def test_a_partitioned_data_centre_rejoins_after_one_join():
    fleet = fakes.create_fleet(30, ("east", "west", "north"))
    east = {f"m{n}" for n in range(0, 30, 3)}
    rest = set(fleet.members) - east
    fleet.part(east, rest)
    fleet.advance(20)
    assert all(fleet.members[name].sees() == east for name in east)
    assert all(fleet.members[name].sees() == rest for name in rest)
    fleet.cut.clear()
    fleet.join("m0", "m1")
    fleet.advance(10)
    assert not _disagree(fleet)


def test_a_member_that_left_is_not_restored():
    fleet = fakes.create_fleet(8)
    fleet.members["m0"].membership.leave()
    del fleet.members["m0"]
    fleet.advance(60)
    assert not _disagree(fleet)


@hypothesis.settings(max_examples=40, stateful_step_count=15)
class Schedules(schedules.Faults):
    """Partitions, pauses, drains and restarts; afterwards all views agree."""

    def __init__(self):
        super().__init__()
        self.fleet = fakes.create_fleet(6, ("east", "west"))
        self.incarnations = itertools.count(2)

    names = strategies.sampled_from([f"m{n}" for n in range(6)])

    @stateful.rule(seconds=strategies.integers(1, 8))
    def pass_time(self, seconds):
        self.fleet.advance(seconds, 0.1)

    @stateful.rule(name=names, state=strategies.sampled_from("sd"))
    def change(self, name, state):
        wanted = members.SERVING if state == "s" else members.DRAINING
        self.fleet.members[name].membership.set_state(wanted)

    @stateful.rule(name=names)
    def restart(self, name):
        old = self.fleet.members[name].directory.own
        self.fleet.add(name, old.data_centre, next(self.incarnations))
        self.fleet.frozen.discard(name)

    def teardown(self):
        self.heal()
        for _ in range(2):
            self.fleet.advance(6, 0.1)
            self.rejoin()
        self.fleet.advance(12, 0.1)
        views = [
            {r.name: r for r in m.directory.all()}
            for m in self.fleet.members.values()
        ]
        assert len(views[0]) == 6
        assert all(view == views[0] for view in views)


TestSchedules = Schedules.TestCase
