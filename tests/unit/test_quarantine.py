"""Suspects are quarantined at their second death, and cleared by an answer."""

import pytest

from savorybend.internal import bodies
from savorybend.internal import members
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
    directory = members.create_directory(_record("back-1"))
    directory.put(_record("back-2"))
    transport, clock = _Transport(), fakes.create_clock()
    parts = quarantine.Parts(transport, directory, clock)
    return quarantine.create_quarantine(parts), transport, clock


def _call(target, **headers):
    return requests.create_call(target=target, headers=list(headers.items()))


def test_two_deaths_quarantine_this_content_alone(made):
    kept, _, _ = made
    for trace in ("1", "2"):
        assert not kept.blocks(_call("/back/x"), _BODY)
        kept.note_death(_call("/back/x", traceparent=trace), _BODY)
    assert kept.blocks(_call("/back/x", traceparent="3"), _BODY)
    assert not kept.blocks(_call("/back/y"), _BODY)
    assert not kept.blocks(_call("/back/x"), bodies.WholeBody(b"other"))


def test_an_answer_clears_one_that_was_there_by_chance(made):
    kept, transport, _ = made
    kept.note_death(_call("/back/x"), _BODY)
    kept.note_answer(_call("/back/x"), _BODY)
    kept.note_death(_call("/back/x"), _BODY)
    assert not kept.blocks(_call("/back/x"), _BODY)
    kinds = [type(message) for _, message in transport.sent]
    assert kinds == [wire.Death, wire.Cleared, wire.Death]


def test_a_death_told_twice_counts_once(made):
    kept, transport, _ = made
    kept.note_death(_call("/back/x"), _BODY)
    [(peer, first)] = transport.sent
    assert peer == "back-2"
    other = wire.Death(first.fingerprint, 7)
    transport.handlers[wire.Death]("back-1", first)
    assert not kept.blocks(_call("/back/x"), _BODY)
    transport.handlers[wire.Death]("back-2", other)
    assert kept.blocks(_call("/back/x"), _BODY)


def test_a_quarantine_ends(made):
    kept, _, clock = made
    for _ in range(2):
        kept.note_death(_call("/back/x"), _BODY)
    clock.advance(3600.0)
    assert not kept.blocks(_call("/back/x"), _BODY)
    kept.note_death(_call("/back/x"), _BODY)
    assert not kept.blocks(_call("/back/x"), _BODY)
