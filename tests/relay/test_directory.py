"""The directory of daemons and its estimate of the fleet size."""

from savorybend.relay import directory
from tests.relay import samples


def test_fleet_size_is_not_one_before_the_first_listing():
    # Otherwise daemons that start together would each lend the full rate.
    daemons = directory.create_directory("me")
    assert daemons.size > 1
    daemons.note_listed()
    assert daemons.size == 1


def test_fleet_size_counts_every_known_daemon():
    daemons = directory.create_directory("me")
    for number in range(20):
        daemons.learn(samples.statement(f"vm-{number}"), "test")
    assert daemons.size == 21
    assert daemons.names == sorted(daemons.names)
