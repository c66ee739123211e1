"""What announcements make of the backend server, old ones included."""

import hypothesis
from hypothesis import strategies

from savorybend.relay import backend
from savorybend.relay import directory
from tests import fakes

_ADDRESS = "10.0.0.1:80"


def _server(changes=None):
    seen = [] if changes is None else changes
    return backend.BackendServer(
        _ADDRESS, 1.5, fakes.create_clock(), lambda: seen.append(1)
    )


def _said(**changes):
    return backend.Announcement(
        instance="i-1",
        service="ledger",
        address=_ADDRESS,
        slots=10,
        draining=False,
        born_ms=1000,
        sequence=1,
        cold_s=0.0,
    )._replace(**changes)


def test_an_announcement_makes_it_take_calls():
    server = _server()
    server.announce(_said())
    assert server.takes_calls


def test_a_late_announcement_does_not_take_back_a_drain():
    server = _server()
    server.announce(_said(sequence=4))
    server.announce(_said(sequence=6, draining=True))
    server.announce(_said(sequence=5))
    assert server.state == directory.DRAINING


def test_an_announcement_of_an_earlier_incarnation_is_passed_over():
    server = _server()
    server.announce(_said(instance="i-2", born_ms=2000))
    server.announce(_said(sequence=99))
    assert server.current.instance == "i-2"


def test_the_same_id_born_anew_counts_from_one_again():
    server = _server()
    server.announce(_said(sequence=50, draining=True))
    server.announce(_said(sequence=1, born_ms=5000))
    assert server.takes_calls


def test_one_that_took_its_leave_is_not_called_back_by_a_late_announcement():
    server = _server()
    server.announce(_said(sequence=4))
    server.withdraw("i-1", 1000)
    server.announce(_said(sequence=9))
    assert server.state == directory.ABSENT


def test_a_leave_that_is_said_twice_is_news_once():
    changes = []
    server = _server(changes)
    server.announce(_said())
    server.withdraw("i-1", 1000)
    before = len(changes)
    server.withdraw("i-1", 1000)
    assert len(changes) == before


def test_a_leave_of_another_instance_changes_nothing():
    server = _server()
    server.announce(_said())
    server.withdraw("i-0", 0)
    assert server.takes_calls


def test_an_announcement_of_another_address_is_not_valid():
    server = _server()
    taken = server.announce(_said(address="10.0.0.9:80"))
    assert not taken.valid
    assert server.current is None


def test_after_a_restart_a_late_announcement_does_not_end_a_kept_leave():
    server = _server()
    server.restore(_known(directory.DRAINING))
    server.announce(_said(sequence=9))
    assert not server.takes_calls


def _known(state):
    return backend.StoredState("i-1", "ledger", 10, 1000, 7, state)


def test_after_a_restart_one_that_was_ready_takes_calls_at_once():
    # Waiting for its next announcement cost its whole service, where all
    # daemons were killed together.
    changes = []
    server = _server(changes)
    server.restore(_known(directory.READY))
    assert server.takes_calls
    assert server.current.instance == "i-1"
    assert changes


def test_what_was_kept_does_not_replace_what_was_said_since():
    server = _server()
    server.announce(_said(sequence=9, draining=True))
    server.restore(_known(directory.READY))
    assert server.state == directory.DRAINING


def test_a_daemon_that_stopped_does_not_make_its_backend_server_leaving():
    # The record said draining of both, and after a restart while the record
    # could not be removed, no announcement was taken any more.
    server = _server()
    server.restore(_known(directory.READY))
    server.announce(_said(sequence=8))
    assert server.takes_calls


def test_a_lost_one_is_back_with_its_next_announcement():
    server = _server()
    server.announce(_said())
    server.lose("test")
    assert not server.takes_calls
    server.announce(_said(sequence=2))
    assert server.takes_calls


@hypothesis.given(
    order=strategies.permutations(range(1, 8)),
    leaves_at=strategies.integers(1, 7),
)
def test_any_order_of_arrival_ends_where_the_last_word_said(order, leaves_at):
    server = _server()
    for sequence in order:
        server.announce(
            _said(sequence=sequence, draining=sequence >= leaves_at)
        )
    assert server.state == directory.DRAINING
