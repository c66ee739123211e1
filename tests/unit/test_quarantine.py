"""Tests that suspects are tried once, then quarantined or cleared."""

import asyncio

import msgspec
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
    """Records sent messages and the subscribed handlers."""

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


def _restarted(name, revision=0):
    return msgspec.structs.replace(
        _record(name), incarnation=2, revision=revision
    )


@pytest.fixture
def quarantine_setup():
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


def _reason(suspects, call, body=_BODY):
    refusal = suspects.check(call, body)
    return refusal.reason.name if refusal else ""


def _crash(suspects, *runs):
    for run in runs:
        suspects.end(run)
        suspects.note_crash(run)


def _receive_death(transport, call, peer="back-2", sequence=7, body=_BODY):
    fingerprint = fingerprints.of_content(call, body)
    message = wire.Death(fingerprint, sequence)
    transport.handlers[wire.Death](peer, message)


def test_two_crashes_quarantine_only_this_content(quarantine_setup):
    suspects, transport, _ = quarantine_setup
    first = _call("/back/x", traceparent="1")
    _receive_death(transport, first)
    assert _reason(suspects, first) == ""
    _crash(suspects, suspects.begin(_call("/back/x", traceparent="2"), _BODY))
    assert _reason(suspects, _call("/back/x", traceparent="3")) == "quarantined"
    assert _reason(suspects, _call("/back/y")) == ""
    assert _reason(suspects, _call("/back/x"), bodies.WholeBody(b"other")) == ""


def test_an_answer_clears_a_suspect(quarantine_setup):
    suspects, transport, _ = quarantine_setup
    call = _call("/back/x")
    first, other = (suspects.begin(call, _BODY) for _ in range(2))
    _crash(suspects, first)
    suspects.note_answer(other)
    _crash(suspects, suspects.begin(call, _BODY))
    assert _reason(suspects, call) == "suspect"
    kinds = [type(message) for _, message in transport.sent]
    assert kinds == [wire.Death, wire.Cleared, wire.Death]


def test_a_crash_reported_twice_counts_once(quarantine_setup):
    suspects, transport, clock = quarantine_setup
    call = _call("/back/x")
    _crash(suspects, suspects.begin(call, _BODY))
    [(peer, first)] = transport.sent
    assert peer == "back-2"
    transport.handlers[wire.Death]("back-1", first)
    assert _reason(suspects, call) == "suspect"
    _receive_death(transport, call)
    assert _reason(suspects, call) == "quarantined"


def test_copies_in_flight_during_one_crash_count_once(quarantine_setup):
    # Two copies of a popular lookup were quarantined after a single crash,
    # which another request had caused.
    suspects, transport, clock = quarantine_setup
    call = _call("/back/x")
    copies = [suspects.begin(call, _BODY) for _ in range(3)]
    clock.advance(1.0)
    _crash(suspects, *copies)
    assert len(transport.sent) == 1
    assert _reason(suspects, call) == "suspect"


def test_a_quarantine_expires(quarantine_setup):
    suspects, transport, clock = quarantine_setup
    call = _call("/back/x")
    for sequence in (1, 2):
        _receive_death(transport, call, sequence=sequence)
    assert _reason(suspects, call) == "quarantined"
    clock.advance(3600.0)
    assert _reason(suspects, call) == ""
    _receive_death(transport, call, sequence=3)
    assert _reason(suspects, call) != "quarantined"


@pytest.mark.parametrize("number", range(20))
def test_exactly_one_daemon_without_a_crash_runs_the_trial(number):
    names = ("back-1", "back-2", "back-3", "back-4")
    call = _call(f"/back/{number}")
    chosen = set()
    trying = []
    for name in names:
        others = [other for other in names if other != name]
        suspects, transport, _ = _create(name, others)
        _receive_death(transport, call, "back-2")
        refusal = suspects.check(call, _BODY)
        chosen.add(refusal.tried_by if refusal else name)
        if refusal is None:
            trying.append(name)
    assert len(trying) == 1
    assert chosen == set(trying)
    assert chosen != {"back-2"}


async def test_copies_wait_for_the_trial_and_run_after_its_answer(
    quarantine_setup,
):
    suspects, transport, _ = quarantine_setup
    call = _call("/back/x")
    _receive_death(transport, call)
    trial = suspects.begin(call, _BODY)
    assert isinstance(suspects.begin(call, _BODY), outcomes.Refuse)
    copy = asyncio.create_task(suspects.wait(call, _BODY))
    await asyncio.sleep(0)
    assert not copy.done()
    suspects.note_answer(trial)
    suspects.end(trial)
    await copy
    assert _reason(suspects, call) == ""


@pytest.mark.parametrize("crashes", [False, True])
async def test_the_next_copy_is_tried_unless_the_trial_crashed(
    quarantine_setup, crashes
):
    suspects, transport, _ = quarantine_setup
    call = _call("/back/x")
    _receive_death(transport, call)
    trial = suspects.begin(call, _BODY)
    copy = asyncio.create_task(suspects.wait(call, _BODY))
    await asyncio.sleep(0)
    suspects.end(trial)
    if crashes:
        suspects.note_crash(trial)
    await copy
    assert _reason(suspects, call) == ("quarantined" if crashes else "")


async def test_a_copy_waits_no_longer_than_its_deadline(quarantine_setup):
    suspects, transport, clock = quarantine_setup
    call = _call("/back/x")._replace(deadline_s=clock.now_s())
    _receive_death(transport, call)
    assert isinstance(suspects.begin(call, _BODY), quarantine.Run)
    await suspects.wait(call, _BODY)
    assert _reason(suspects, call) == "suspect"


def _relay(transport, receiver):
    """Hands on what a daemon sent to one that is called `back-2`."""
    for peer, message in transport.sent:
        if peer == "back-2":
            receiver.handlers[type(message)]("back-1", message)


def _quarantined_twice(seen_by=("back-3", "back-3")):
    directory = members.create_directory(_record("back-1"))
    transport, clock = _Transport(), fakes.create_clock()
    parts = quarantine.Parts(transport, directory, clock)
    suspects = quarantine.create_quarantine(parts)
    call = _call("/back/x")
    for sequence, peer in enumerate(seen_by):
        _receive_death(transport, call, peer, sequence)
    return directory, transport, clock, call, suspects


@pytest.mark.parametrize("left", [False, True])
def test_a_daemon_that_starts_learns_of_earlier_crashes(left):
    directory, transport, _, call, _ = _quarantined_twice()
    other, received, _ = _create("back-2", others=("back-1",))
    directory.put(_record("back-2"))
    if left:
        transport.sent.clear()
        directory.remove("back-2", 1)
        directory.put(_restarted("back-2"))
    _relay(transport, received)
    _relay(transport, received)
    assert _reason(other, call) == "quarantined"
    directory.put(_restarted("back-2", revision=1))
    assert len(transport.sent) == (2 if left else 4)


def test_a_crash_that_was_passed_on_counts_once():
    directory, transport, _, call, _ = _quarantined_twice(("back-3",))
    other, received, _ = _create("back-2", others=("back-1", "back-3"))
    _receive_death(received, call, "back-3", 0)
    directory.put(_record("back-2"))
    _relay(transport, received)
    assert _reason(other, call) != "quarantined"


def test_passing_a_crash_on_does_not_prolong_its_quarantine():
    directory, transport, clock, call, _ = _quarantined_twice()
    clock.advance(3000.0)
    directory.put(_record("back-2"))
    other, received, later = _create("back-2", others=("back-1",))
    _relay(transport, received)
    assert _reason(other, call) == "quarantined"
    later.advance(700.0)
    assert _reason(other, call) == ""


def test_an_older_report_of_a_crash_does_not_undo_an_answer():
    suspects, transport, _ = _create("back-1")
    call = _call("/back/x")
    _crash(suspects, suspects.begin(call, _BODY))
    [(_, death)] = transport.sent
    other, received, _ = _create("back-2", others=("back-1",))
    received.handlers[wire.Death]("back-1", death)
    other.note_answer(quarantine.Run(call, _BODY, 0.0))
    received.handlers[wire.Death]("back-1", death)
    _crash(other, other.begin(call, _BODY))
    assert _reason(other, call) != "quarantined"


def test_an_answer_heard_before_the_crash_that_it_clears_still_clears_it():
    suspects, transport, _ = _create("back-1")
    call = _call("/back/x")
    _crash(suspects, suspects.begin(call, _BODY))
    suspects.note_answer(quarantine.Run(call, _BODY, 0.0))
    [(_, death), (_, cleared)] = transport.sent
    other, received, _ = _create("back-2", others=("back-1",))
    received.handlers[wire.Cleared]("back-1", cleared)
    received.handlers[wire.Death]("back-1", death)
    _crash(other, other.begin(call, _BODY))
    assert _reason(other, call) != "quarantined"
