"""Tests of finding the requests that a crashed backend server was running."""

from savorybend.relay import backend
from savorybend.relay import contents
from savorybend.relay import crashes
from tests import fakes
from tests.relay import samples


class _Daemon:
    """A backend server and what its crashes are blamed on."""

    def __init__(self):
        self.clock = fakes.create_clock()
        self.blamed = []
        self.crashes = crashes.create_crashes(
            self.clock,
            lambda request, crash, instance: self.blamed.append(
                (request, crash)
            ),
        )
        self.server = backend.BackendServer(
            samples.BACKEND_ADDRESS, 1.0, self.clock, self._on_change
        )
        self._sequence = 0
        self.announce()

    def _on_change(self):
        self.crashes.on_server_change(self.server)

    def announce(self, instance="i-1", born_ms=1, draining=False):
        self._sequence += 1
        self.server.announce(
            samples.announcement(
                instance=instance,
                draining=draining,
                born_ms=born_ms,
                sequence=self._sequence,
            )
        )

    def begin(self):
        return self.crashes.begin(contents.Request(samples.call()))

    def requests_blamed(self):
        return [request for request, _ in self.blamed]


def test_a_new_incarnation_blames_what_the_old_one_left_unanswered():
    daemon = _Daemon()
    lost, answered = daemon.begin(), daemon.begin()
    daemon.crashes.note_answer(answered)
    daemon.announce("i-2", born_ms=2)
    assert daemon.requests_blamed() == [lost.request]


def test_a_request_given_up_before_the_crash_was_noticed_is_blamed():
    daemon = _Daemon()
    sent = daemon.begin()
    daemon.crashes.note_end(sent)
    daemon.clock.advance(5)
    daemon.crashes.sweep()
    daemon.announce(born_ms=2)
    assert daemon.requests_blamed() == [sent.request]


def test_a_request_given_up_long_ago_is_not_blamed():
    daemon = _Daemon()
    daemon.crashes.note_end(daemon.begin())
    daemon.clock.advance(11)
    daemon.crashes.sweep()
    daemon.announce(born_ms=2)
    assert not daemon.blamed


def test_an_announced_end_is_no_crash():
    daemon = _Daemon()
    daemon.begin()
    daemon.announce(draining=True)
    daemon.server.withdraw("i-1", 1)
    daemon.announce("i-2", born_ms=2)
    assert not daemon.blamed


def test_crashes_of_one_id_differ_and_copies_of_a_crash_do_not():
    daemon = _Daemon()
    for _ in range(2):
        copies = [daemon.begin(), daemon.begin()]
        daemon.server.lose("gone")
        daemon.crashes.note_gone(copies[0].incarnation)
        daemon.crashes.note_end(copies[1])
        daemon.server.regain()
    assert len({crash for _, crash in daemon.blamed}) == 2
