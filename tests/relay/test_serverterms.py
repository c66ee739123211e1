"""Tests of the conditions that a backend server names in its responses."""

import math

import pytest

from savorybend.platform import headers
from savorybend.relay import backend
from savorybend.relay import conditions
from savorybend.relay import directory
from savorybend.relay import outcomes
from savorybend.relay import serverterms
from tests import fakes
from tests.relay import samples

_LIMITED = conditions.Limited(10.0)


class _Harness:
    def __init__(self):
        self.clock = fakes.create_clock()
        self.rate_per_s = math.inf
        self._sequence = 0
        self.server = backend.BackendServer(
            samples.BACKEND_ADDRESS, 1.0, self.clock, lambda: None
        )
        self.terms = serverterms.create_server_terms(
            serverterms.Parts(self.server, self.clock, self._set_rate)
        )
        self.announce("i-1", 1)
        self.clock.advance(1.0)

    def _set_rate(self, rate_per_s):
        self.rate_per_s = rate_per_s

    def announce(self, instance, born_ms):
        self._sequence += 1
        self.server.announce(
            samples.announcement(
                instance=instance, born_ms=born_ms, sequence=self._sequence
            )
        )
        self.terms.on_server_change()

    def answer(self, limit, took_s=0.1, leaving=False):
        named = conditions.Conditions(limit, leaving)
        sent_s = self.clock.now_s() - took_s
        self.terms.note_answer(serverterms.Answered(sent_s, named))


def test_an_answer_that_was_overtaken_does_not_end_the_limit():
    harness = _Harness()
    harness.answer(_LIMITED)
    harness.clock.advance(0.05)
    harness.answer(conditions.Unlimited(), took_s=0.2)
    assert harness.rate_per_s == 10.0
    harness.clock.advance(0.1)
    harness.answer(conditions.Unlimited(), took_s=0.1)
    assert harness.rate_per_s == math.inf


def test_a_stricter_limit_holds_at_once():
    harness = _Harness()
    harness.answer(_LIMITED)
    harness.answer(conditions.Limited(3.0), took_s=0.5)
    assert harness.rate_per_s == 3.0


def test_an_invalid_limit_leaves_the_one_in_force():
    harness = _Harness()
    harness.answer(_LIMITED)
    harness.clock.advance(1.0)
    harness.answer(conditions.Invalid(b"fast"))
    assert harness.rate_per_s == 10.0


@pytest.mark.parametrize("instance", ["i-1", "i-2"])
def test_a_restarted_server_has_no_limit_until_it_names_one(instance):
    harness = _Harness()
    harness.answer(_LIMITED)
    harness.clock.advance(1.0)
    harness.announce(instance, 2)
    assert harness.rate_per_s == math.inf
    harness.answer(_LIMITED, took_s=0.5)
    assert harness.rate_per_s == math.inf


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], conditions.Unlimited()),
        ([b"12.5"], conditions.Limited(12.5)),
        ([b"0"], conditions.Limited(0.0)),
        ([b"8", b"3"], conditions.Limited(3.0)),
        ([b"-1"], conditions.Invalid(b"-1")),
        ([b"nan"], conditions.Invalid(b"nan")),
        ([b"inf"], conditions.Invalid(b"inf")),
        ([b"1_0"], conditions.Invalid(b"1_0")),
        ([b""], conditions.Invalid(b"")),
        ([b"8", b"fast"], conditions.Invalid(b"fast")),
        ([b"1" * 5000], conditions.Invalid(b"1" * 32)),
    ],
)
def test_a_limit_is_read_from_a_response(values, expected):
    found = headers.Backend().conditions(
        [(b"server-limit", value) for value in values]
    )
    assert found == conditions.Conditions(expected, False)


def test_a_server_that_says_it_leaves_is_not_ready_again():
    harness = _Harness()
    harness.answer(conditions.Unlimited(), leaving=True)
    assert harness.server.state == directory.DRAINING
    harness.announce("i-1", 1)
    assert harness.server.state == directory.DRAINING
    harness.announce("i-1", 2)
    assert harness.server.state == directory.READY


_TOLD_LIMIT = outcomes.Terms("i-1", 1, 10.0)


def test_a_limit_told_by_others_holds_until_the_server_answers():
    harness = _Harness()
    harness.terms.note_told("vm-2", _TOLD_LIMIT)
    assert harness.rate_per_s == 10.0
    harness.clock.advance(1.0)
    harness.answer(conditions.Unlimited())
    assert harness.rate_per_s == math.inf
    harness.terms.note_told("vm-3", outcomes.Terms("i-1", 1, 5.0))
    assert harness.rate_per_s == math.inf


def test_terms_told_before_the_server_is_known_hold_once_it_is():
    harness = _Harness()
    limited = outcomes.Terms("i-2", 2, 10.0)
    harness.terms.note_told("vm-2", limited)
    assert harness.rate_per_s == math.inf
    harness.announce("i-2", 2)
    assert harness.rate_per_s == 10.0


def test_a_departure_told_by_others_holds_for_that_start_of_the_server():
    harness = _Harness()
    left = outcomes.Terms("i-2", 2, leaving=True)
    harness.terms.note_told("vm-2", left)
    assert harness.server.state == directory.READY
    harness.announce("i-2", 2)
    assert harness.server.state == directory.DRAINING
    harness.announce("i-2", 3)
    assert harness.server.state == directory.READY


def test_a_told_departure_holds_when_another_tells_only_a_limit():
    harness = _Harness()
    left = outcomes.Terms("i-1", 1, leaving=True)
    harness.terms.note_told("vm-2", left)
    harness.terms.note_told("vm-3", _TOLD_LIMIT)
    assert harness.terms.leaving
    assert harness.rate_per_s == 10.0
