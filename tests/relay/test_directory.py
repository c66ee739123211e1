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


def test_a_departed_server_is_not_ready_though_its_daemon_says_so():
    known = directory.create_directory("me")
    known.learn(samples.statement("a", born_ms=5), "test")
    left = {"state": "draining", "departed": True}
    known.learn(samples.statement("a", born_ms=5, serial=2, **left), "test")
    known.remove("a", "test")
    known.learn(samples.statement("a", born_ms=5, boot=2), "test")
    assert known.get("a").state == directory.DRAINING
    known.learn(samples.statement("a", born_ms=4, boot=3), "test")
    assert known.get("a").state == directory.DRAINING
    known.learn(samples.statement("a", born_ms=6, boot=4), "test")
    assert known.get("a").state == directory.READY
