"""The backend server's state after announcements, outdated ones included."""

import hypothesis
from hypothesis import strategies

from savorybend.relay import backend
from savorybend.relay import directory
from tests import fakes
from tests.relay import samples


def _server(changes=None):
    seen = [] if changes is None else changes
    return backend.BackendServer(
        samples.BACKEND_ADDRESS,
        1.5,
        fakes.create_clock(),
        lambda: seen.append(1),
    )


def test_announced_server_takes_calls():
    server = _server()
    server.announce(samples.announcement())
    assert server.takes_calls


def test_late_announcement_does_not_undo_a_drain():
    server = _server()
    server.announce(samples.announcement(sequence=4))
    server.announce(samples.announcement(sequence=6, draining=True))
    server.announce(samples.announcement(sequence=5))
    assert server.state == directory.DRAINING


def test_announcement_of_an_earlier_instance_is_ignored():
    server = _server()
    server.announce(samples.announcement(instance="i-2", born_ms=2000))
    server.announce(samples.announcement(sequence=99))
    assert server.current.instance == "i-2"


def test_restart_with_the_same_id_restarts_the_sequence():
    server = _server()
    server.announce(samples.announcement(sequence=50, draining=True))
    server.announce(samples.announcement(sequence=1, born_ms=5000))
    assert server.takes_calls


def test_late_announcement_does_not_undo_a_withdrawal():
    server = _server()
    server.announce(samples.announcement(sequence=4))
    server.withdraw("i-1", 1000)
    server.announce(samples.announcement(sequence=9))
    assert server.state == directory.ABSENT


def test_repeated_withdrawal_is_one_change():
    changes = []
    server = _server(changes)
    server.announce(samples.announcement())
    server.withdraw("i-1", 1000)
    before = len(changes)
    server.withdraw("i-1", 1000)
    assert len(changes) == before


def test_withdrawal_of_another_instance_is_ignored():
    server = _server()
    server.announce(samples.announcement())
    server.withdraw("i-0", 0)
    assert server.takes_calls


def test_announcement_from_another_address_is_invalid():
    server = _server()
    result = server.announce(samples.announcement(address="10.0.0.9:80"))
    assert not result.valid
    assert server.current is None


def test_late_announcement_does_not_undo_a_restored_drain():
    server = _server()
    server.remember(_stored_state(directory.DRAINING))
    server.announce(samples.announcement(sequence=9))
    assert not server.takes_calls


def _stored_state(state):
    return backend.StoredState("i-1", "ledger", 10, 1000, 7, state)


def test_restored_ready_server_takes_calls_at_once():
    # When all daemons were killed together, waiting for the next announcements
    # left whole services without any backend server.
    changes = []
    server = _server(changes)
    server.remember(_stored_state(directory.READY))
    server.restore()
    assert server.takes_calls
    assert server.current.instance == "i-1"
    assert changes


def test_restored_state_does_not_replace_a_newerannouncement():
    server = _server()
    server.announce(samples.announcement(sequence=9, draining=True))
    server.remember(_stored_state(directory.READY))
    server.restore()
    assert server.state == directory.DRAINING


def test_daemon_shutdown_does_not_mark_its_backend_server_draining():
    # The record used to store the daemon's draining state for the backend
    # server as well. If the record could not be removed, every announcement
    # after the restart was ignored.
    server = _server()
    server.remember(_stored_state(directory.READY))
    server.restore()
    server.announce(samples.announcement(sequence=8))
    assert server.takes_calls


def test_lost_server_is_ready_after_its_nextannouncement():
    server = _server()
    server.announce(samples.announcement())
    server.lose("test")
    assert not server.takes_calls
    server.announce(samples.announcement(sequence=2))
    assert server.takes_calls


def test_an_announcement_once_more_says_nothing_new_of_a_lost_server():
    server = _server()
    server.announce(samples.announcement())
    server.lose("test")
    server.announce(samples.announcement())
    assert not server.takes_calls


@hypothesis.given(
    order=strategies.permutations(range(1, 8)),
    drains_at=strategies.integers(1, 7),
)
def test_final_state_does_not_depend_on_arrival_order(order, drains_at):
    server = _server()
    for sequence in order:
        server.announce(
            samples.announcement(
                sequence=sequence, draining=sequence >= drains_at
            )
        )
    assert server.state == directory.DRAINING
