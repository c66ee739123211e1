"""Who is there, and how many there may be."""

from savorybend.relay import directory
from tests.relay import samples


def test_a_daemon_that_has_not_seen_the_list_does_not_think_itself_alone():
    # Daemons that start together would each lend all of a rate otherwise.
    known = directory.create_directory("me")
    assert known.size > 1
    known.note_listed()
    assert known.size == 1


def test_every_daemon_that_is_heard_of_counts():
    known = directory.create_directory("me")
    for number in range(20):
        known.learn(samples.statement(f"vm-{number}"), "test")
    assert known.size == 21
    assert known.names == sorted(known.names)
