"""Compact updates restore to the full update and can't forge another."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from savorybend.internal import compactupdates
from savorybend.internal import members
from savorybend.internal import roster as rosters
from savorybend.internal.wire import membership as wire
from tests import fakes

_FIRST = fakes.create_record("a")


def _revise(revision, state=members.SERVING):
    return fakes.sign(
        msgspec.structs.replace(_FIRST, revision=revision, state=state)
    )


def _create_roster(record):
    directory = members.create_directory(fakes.create_record("own"))
    roster = rosters.create_roster(
        directory, fakes.create_clock(), fakes.create_signer("own")
    )
    roster.apply(wire.Update(record, rosters.ALIVE))
    return roster


@hypothesis.given(
    known=strategies.integers(0, 3),
    told=strategies.integers(1, 4),
    announced=strategies.sampled_from((members.SERVING, members.DRAINING)),
)
def test_a_signed_update_is_restored_from_any_revision(known, told, announced):
    update = wire.Update(_revise(told, announced), rosters.ALIVE, 2.0)
    whole, brief = compactupdates.split_updates([update])
    assert not whole
    roster = _create_roster(_revise(known))
    assert compactupdates.restore(roster, brief[0]) == update
    assert roster.apply(update) == (told > known)


def test_a_departure_is_restored():
    update = wire.Update(_revise(1, members.LEFT), rosters.LEFT)
    _, brief = compactupdates.split_updates([update])
    roster = _create_roster(_FIRST)
    assert roster.apply(compactupdates.restore(roster, brief[0]))
    assert roster.get("a").state == rosters.LEFT


@pytest.mark.parametrize("state", [rosters.SUSPECT, rosters.DEAD])
def test_a_suspicion_applies_only_to_the_revision_it_names(state):
    _, brief = compactupdates.split_updates([wire.Update(_revise(1), state)])
    assert compactupdates.restore(_create_roster(_revise(2)), brief[0]) is None
    roster = _create_roster(_revise(1))
    assert roster.apply(compactupdates.restore(roster, brief[0]))
    assert roster.get("a").state == rosters.SUSPECT


@pytest.mark.parametrize("state", [rosters.SUSPECT, rosters.DEAD])
def test_a_daemon_refutes_a_suspicion_of_an_earlier_revision(state):
    # Guards against a daemon that ignores such a suspicion: it was declared
    # dead when its first refutation was lost on a silent connection.
    _, brief = compactupdates.split_updates([wire.Update(_FIRST, state)])
    own = members.create_directory(_FIRST)
    signer = fakes.create_signer("a")
    roster = rosters.create_roster(own, fakes.create_clock(), signer)
    roster.announce(state=members.SERVING)
    told = []
    roster.subscribe(told.append)
    roster.apply(compactupdates.restore(roster, brief[0]))
    assert told == [wire.Update(roster.own, rosters.ALIVE)]


def test_a_new_start_is_sent_as_a_full_update():
    update = wire.Update(_FIRST, rosters.ALIVE)
    assert compactupdates.split_updates([update]) == ([update], [])


_TOLD = compactupdates.split_updates([wire.Update(_revise(1), rosters.ALIVE)])[
    1
][0]
# Each row: what is wrong, and the changed fields of the compact update.
_WRONG = (
    ("an unknown name", {"name": "b"}),
    ("another start", {"incarnation": 2}),
    ("another revision", {"revision": 2}),
    ("another state", {"announced_state": members.DRAINING}),
    ("a garbled signature", {"signature": b"x" * 64}),
    ("no signature", {"signature": b""}),
    ("a state that is none", {"state": "nonsense"}),
)


@pytest.mark.parametrize("row", _WRONG, ids=[row[0] for row in _WRONG])
def test_a_compact_update_that_is_not_authentic_is_rejected(row):
    roster = _create_roster(_FIRST)
    brief = msgspec.structs.replace(_TOLD, **row[1])
    update = compactupdates.restore(roster, brief)
    assert update is None or not roster.apply(update)
    assert roster.get("a").record == _FIRST
