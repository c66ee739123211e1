"""Passes the daemons' records on to the daemons that don't watch the store."""

import collections.abc
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import frames
from savorybend.relay import replica
from savorybend.relay import store
from savorybend.relay import watchers

_log = structlog.get_logger()

Send = collections.abc.Callable[[frames.Message], None]


class Parts(typing.NamedTuple):
    """Dependencies of `RecordFeed`.

    Attributes:
        replica: The copy of the records.
        push: Sends a message to each daemon that follows this one.
        clock: The source of time.
    """

    replica: replica.Replica
    push: Send
    clock: timers.Clock


class RecordFeed:
    """Applies records from the store and from peers, and passes them on."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._read_s = parts.clock.now_s()
        self.state = watchers.State.IDLE

    @property
    def feed(self) -> frames.Feed:
        """What this daemon tells others of its reads."""
        return frames.Feed(
            self.state, self._parts.replica.position, self.read_age_s
        )

    @property
    def read_age_s(self) -> float:
        """Age of this daemon's own last read of the configuration."""
        return self._parts.clock.now_s() - self._read_s

    def note_read(self) -> None:
        """Notes that this daemon has read the configuration in the store."""
        self._read_s = self._parts.clock.now_s()

    def on_listing(self, listing: store.Listing) -> None:
        """Applies the complete records that this daemon read in the store."""
        until = frames.Position(listing.era, listing.revision)
        self._apply(frames.Records(None, until, list(listing.objects), []))

    def on_changes(self, listing: store.Listing) -> None:
        """Applies the changes that this daemon's watch of the store found."""
        after = frames.Position(listing.era, listing.after)
        until = frames.Position(listing.era, listing.revision)
        self._apply(
            frames.Records(
                after, until, list(listing.objects), list(listing.deleted)
            )
        )

    def misses(self, position: frames.Position | None) -> bool:
        """Returns whether this daemon's copy is behind a position."""
        own = self._parts.replica.position
        return position is not None and (own is None or position > own)

    def on_follow(self, message: frames.Follow, send: Send) -> None:
        """Sends a daemon what it misses; later changes are pushed to it."""
        if self._parts.replica.position is not None:
            send(self._parts.replica.since(message.position))

    def on_records(self, message: frames.Records, send: Send) -> None:
        """Applies records that a daemon sent; requests what is missing."""
        if self._apply(message) is replica.Result.GAP:
            _log.info("records_missed", until=message.until.revision)
            send(frames.Follow(self._parts.replica.position))

    def _apply(self, records: frames.Records) -> replica.Result:
        result = self._parts.replica.apply(records)
        news = records.objects or records.deleted
        # Complete records are large; daemons that lack them ask for them when
        # they hear of the position.
        if result is replica.Result.APPLIED and news and records.after:
            self._parts.push(records)
        return result


def create_record_feed(parts: Parts) -> RecordFeed:
    """Returns a feed for the daemons that follow this one."""
    return RecordFeed(parts)
