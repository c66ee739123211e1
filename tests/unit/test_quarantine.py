"""Suspects are tried once, quarantined or cleared by what comes of it."""

import asyncio

import pytest

from savorybend.internal import bodies
from savorybend.internal import fingerprints
from savorybend.internal import members
from savorybend.internal import outcomes
from savorybend.internal import quarantine
from savorybend.internal.wire import requests as wire
from tests import fakes
from tests import requests

_BODY = bodies.EMPTY


class _Transport:
    """Keeps what was sent, and hands on what arrives."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, peer, message):
        self.sent.append((peer, message))


def _record(name):
    address = "127.0.0.1:1"
    return members.Record(name, 1, "e", "back", address, address, address, name)


@pytest.fixture
def made():
    return _create("back-1")


def _create(name, others=("back-2",)):
    directory = members.create_directory(_record(name))
    for other in others:
        directory.put(_record(other))
    transport, clock = _Transport(), fakes.create_clock()
    parts = quarantine.Parts(transport, directory, clock)
    return quarantine.create_quarantine(parts), transport, clock


def _call(target, **headers):
    return requests.create_call(target=target, headers=list(headers.items()))


def _reason(kept, call, body=_BODY):
    refusal = kept.check(call, body)
    return refusal.reason.name if refusal else ""


def _die(kept, *runs):
    for run in runs:
        kept.end(run)
        kept.note_crash(run)


def _hear_of_death(transport, call, peer="back-2", sequence=7, body=_BODY):
    fingerprint = fingerprints.of_content(call, body)
    message = wire.Death(fingerprint, sequence)
    transport.handlers[wire.Death](peer, message)


def test_two_deaths_quarantine_this_content_alone(made):
    kept, transport, _ = made
    first = _call("/back/x", traceparent="1")
    _hear_of_death(transport, first)
    assert _reason(kept, first) == ""
    _die(kept, kept.begin(_call("/back/x", traceparent="2"), _BODY))
    assert _reason(kept, _call("/back/x", traceparent="3")) == "quarantined"
    assert _reason(kept, _call("/back/y")) == ""
    assert _reason(kept, _call("/back/x"), bodies.WholeBody(b"other")) == ""


def test_an_answer_clears_one_that_was_there_by_chance(made):
    kept, transport, _ = made
    call = _call("/back/x")
    first, other = (kept.begin(call, _BODY) for _ in range(2))
    _die(kept, first)
    kept.note_answer(other)
    _die(kept, kept.begin(call, _BODY))
    assert _reason(kept, call) == "suspect"
    kinds = [type(message) for _, message in transport.sent]
    assert kinds == [wire.Death, wire.Cleared, wire.Death]


def test_a_death_told_twice_counts_once(made):
    kept, transport, clock = made
    call = _call("/back/x")
    _die(kept, kept.begin(call, _BODY))
    [(peer, first)] = transport.sent
    assert peer == "back-2"
    transport.handlers[wire.Death]("back-1", first)
    assert _reason(kept, call) == "suspect"
    _hear_of_death(transport, call)
    assert _reason(kept, call) == "quarantined"


def test_copies_that_one_backend_server_died_under_count_once(made):
    # Two copies of a popular lookup were quarantined by a single death that
    # another request had caused.
    kept, transport, clock = made
    call = _call("/back/x")
    copies = [kept.begin(call, _BODY) for _ in range(3)]
    clock.advance(1.0)
    _die(kept, *copies)
    assert len(transport.sent) == 1
    assert _reason(kept, call) == "suspect"


def test_a_quarantine_ends(made):
    kept, transport, clock = made
    call = _call("/back/x")
    for sequence in (1, 2):
        _hear_of_death(transport, call, sequence=sequence)
    assert _reason(kept, call) == "quarantined"
    clock.advance(3600.0)
    assert _reason(kept, call) == ""
    _hear_of_death(transport, call, sequence=3)
    assert _reason(kept, call) != "quarantined"


@pytest.mark.parametrize("number", range(20))
def test_one_daemon_of_those_left_tries_a_suspect(number):
    names = ("back-1", "back-2", "back-3", "back-4")
    call = _call(f"/back/{number}")
    chosen = set()
    trying = []
    for name in names:
        others = [other for other in names if other != name]
        kept, transport, _ = _create(name, others)
        _hear_of_death(transport, call, "back-2")
        refusal = kept.check(call, _BODY)
        chosen.add(refusal.tried_by if refusal else name)
        if refusal is None:
            trying.append(name)
    assert len(trying) == 1
    assert chosen == set(trying)
    assert chosen != {"back-2"}


async def test_copies_wait_for_the_trial_and_go_on_when_it_is_answered(made):
    kept, transport, _ = made
    call = _call("/back/x")
    _hear_of_death(transport, call)
    trial = kept.begin(call, _BODY)
    assert isinstance(kept.begin(call, _BODY), outcomes.Refuse)
    copy = asyncio.create_task(kept.wait(call, _BODY))
    await asyncio.sleep(0)
    assert not copy.done()
    kept.note_answer(trial)
    kept.end(trial)
    await copy
    assert _reason(kept, call) == ""


@pytest.mark.parametrize("dies", [False, True])
async def test_the_next_copy_is_tried_unless_the_trial_died(made, dies):
    kept, transport, _ = made
    call = _call("/back/x")
    _hear_of_death(transport, call)
    trial = kept.begin(call, _BODY)
    copy = asyncio.create_task(kept.wait(call, _BODY))
    await asyncio.sleep(0)
    kept.end(trial)
    if dies:
        kept.note_crash(trial)
    await copy
    assert _reason(kept, call) == ("quarantined" if dies else "")


async def test_a_copy_waits_no_longer_than_its_deadline(made):
    kept, transport, clock = made
    call = _call("/back/x")._replace(deadline_s=clock.now_s())
    _hear_of_death(transport, call)
    assert isinstance(kept.begin(call, _BODY), quarantine.Run)
    await kept.wait(call, _BODY)
    assert _reason(kept, call) == "suspect"
