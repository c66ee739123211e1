"""Tests of the quarantine of requests that crash backend servers."""

from savorybend.relay import suspects
from tests import fakes
from tests.relay import samples


def _suspects(told=None):
    seen = [] if told is None else told
    return suspects.create_suspects(
        fakes.create_clock(), lambda *message: seen.append(message)
    )


def test_three_deaths_quarantine_a_content_whoever_sends_it():
    held = _suspects()
    for instance in "abc":
        assert not held.quarantined(samples.call())
        held.note_crash(samples.call(), instance, "i-1")
    assert held.quarantined(samples.call(request_id="another"))
    assert not held.quarantined(samples.call(body=b"other"))


def test_copies_under_way_together_are_one_death():
    held = _suspects()
    for _ in range(5):
        held.note_crash(samples.call(), "a", "i-1")
    assert not held.quarantined(samples.call())


def test_an_answer_clears_a_suspect_and_others_are_told():
    told = []
    held = _suspects(told)
    held.note_crash(samples.call(), "a", "i-1")
    held.note_answer(samples.call())
    assert [deaths for _, deaths in told] == [1, 0]


def test_deaths_that_others_tell_of_count_too():
    held = _suspects()
    content = suspects.digest(samples.call())
    held.hear(content, 1, "b")
    held.hear(content, 1, "b")
    held.note_crash(samples.call(), "a", "i-1")
    assert held.quarantined(samples.call())
