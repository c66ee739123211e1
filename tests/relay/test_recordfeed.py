"""Records spread among daemons with few messages, whoever follows whom."""

import collections
import itertools

from savorybend.relay import frames
from savorybend.relay import recordfeed
from savorybend.relay import replica
from savorybend.relay import store
from tests import fakes


class _Consumer:
    def on_daemons(self, listing):
        """Takes the complete records."""

    def on_daemon_changes(self, listing):
        """Takes changes."""


class _Fleet:
    """Daemons that all follow one another, on connections without delay."""

    def __init__(self, size):
        self.sent = collections.deque()
        self.count = 0
        self.copies = [replica.create_replica(_Consumer()) for _ in range(size)]
        self.feeds = [
            recordfeed.create_record_feed(
                recordfeed.Parts(
                    copy,
                    lambda message, own=own: self._push(own, message),
                    fakes.create_clock(),
                )
            )
            for own, copy in enumerate(self.copies)
        ]

    def _push(self, own, message):
        for other in range(len(self.copies)):
            if other != own:
                self.sent.append((own, other, message))

    def deliver(self):
        """Delivers messages until there are none, or too many."""
        for _ in itertools.takewhile(lambda _: self.sent, range(1000)):
            sender, receiver, message = self.sent.popleft()
            self.count += 1

            def reply(answer, sender=sender, receiver=receiver):
                self.sent.append((receiver, sender, answer))

            match message:
                case frames.Records():
                    self.feeds[receiver].on_records(message, reply)
                case frames.Follow():
                    self.feeds[receiver].on_follow(message, reply)
        assert not self.sent

    def positions(self):
        return {copy.position for copy in self.copies}


def _listing(revision, names, after=None):
    found = [store.StoredObject(name, revision, b"{}") for name in names]
    return store.Listing(revision, tuple(found), after=after)


def test_daemons_that_follow_one_another_do_not_repeat_complete_records():
    # Two of them sent each other all records without end, until one had used
    # up its memory.
    fleet = _Fleet(5)
    for feed in fleet.feeds:
        feed.on_listing(_listing(7, "abc"))
    fleet.deliver()
    assert fleet.count <= 5
    assert fleet.positions() == {frames.Position(0, 7)}


def test_a_change_reaches_all_with_one_message_a_connection():
    fleet = _Fleet(5)
    for feed in fleet.feeds:
        feed.on_listing(_listing(7, "abc"))
    fleet.deliver()
    fleet.count = 0
    fleet.feeds[0].on_changes(_listing(8, "a", after=7))
    fleet.deliver()
    assert fleet.count <= 5 * 4
    assert fleet.positions() == {frames.Position(0, 8)}


def test_a_daemon_behind_requests_what_it_misses_once():
    fleet = _Fleet(2)
    for feed in fleet.feeds:
        feed.on_listing(_listing(7, "abc"))
    fleet.deliver()
    fleet.feeds[0].on_changes(_listing(8, "a", after=7))
    fleet.sent.clear()
    fleet.count = 0
    fleet.feeds[0].on_changes(_listing(9, "b", after=8))
    fleet.deliver()
    assert fleet.positions() == {frames.Position(0, 9)}
    assert fleet.count <= 4
