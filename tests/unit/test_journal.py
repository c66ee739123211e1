"""Tests that the journal is bounded and accounts don't evict each other."""

import math

import hypothesis
from hypothesis import strategies

from savorybend.internal import journal

_ACCOUNTS = ("maruyama", "otaru", "")
_note = strategies.tuples(
    strategies.sampled_from(_ACCOUNTS),
    strategies.integers(0, 30),
    strategies.text(max_size=300),
)


@hypothesis.given(
    notes=strategies.lists(_note, max_size=200),
    entries=strategies.integers(1, 10),
    size=strategies.integers(1000, 10_000),
)
def test_entries_and_size_stay_within_their_limits(notes, entries, size):
    kept = journal.create_journal("back-1", entries, size)
    for account, number, detail in notes:
        request_id = f"{account}-{number}"
        kept.note(request_id, "admitted", detail, client_account=account)
        found = kept.find(journal.Query("", "", 0, 1000))
        assert len(found) <= entries
        assert kept.size <= size or len(found) == 1
    for entry in kept.find(journal.Query("", "", 0, 1000)):
        assert kept.get_entry(entry.request_id) is entry


def test_an_account_with_many_requests_evicts_only_its_own():
    kept = journal.create_journal("back-1", 100)
    kept.note("quiet", "admitted", client_account="otaru")
    for number in range(1000):
        kept.note(f"loud-{number}", "admitted", client_account="maruyama")
    assert kept.get_entry("quiet")


def test_unauthenticated_requests_evict_no_others():
    kept = journal.create_journal("back-1", 5000)
    for number in range(4000):
        kept.note(f"real-{number}", "admitted", client_account="maruyama")
    for number in range(3000):
        kept.note(f"stranger-{number}", "sending-refused", "key-unknown")
    assert all(kept.get_entry(f"real-{number}") for number in range(4000))


def test_a_later_unknown_outcome_does_not_replace_ran():
    kept = journal.create_journal("back-1", 10)
    kept.note_outcome("a", "answered", "ran", "")
    kept.note_outcome("a", "answered-caller", "unknown", "too-late")
    assert kept.get_entry("a").outcome == "ran"


def test_a_request_resent_endlessly_keeps_a_bounded_entry():
    kept = journal.create_journal("back-1", 10)
    for _ in range(1000):
        kept.note("a", "sending-refused", "limited")
    assert len(kept.get_entry("a").events) <= 32
    assert kept.find(journal.Query("", "", math.inf, 10)) == []
