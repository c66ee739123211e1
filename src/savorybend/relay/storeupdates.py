"""Applies the store's listings and changes of configurations and daemons."""

import collections.abc
import typing

import structlog

from savorybend.internal import errors
from savorybend.internal import timers
from savorybend.relay import directory
from savorybend.relay import firstconfiguration
from savorybend.relay import fleet
from savorybend.relay import presence
from savorybend.relay import store
from savorybend.relay import suspects

_NULL_DOCUMENT = b"null"
# A daemon that another one knows may not have written its record yet.
_REGISTRATION_TIME_S = 2.0
# Well below it, and enough for a thousand daemons at the store's write rate.
_REWRITE_SPREAD_S = 1.0

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `StoreUpdates`.

    Attributes:
        own: This daemon's name.
        timers: Timers.
        configuration: Receives stored configurations.
        directory: The other daemons' statements.
        fleet: The links to the other daemons.
        publisher: Writes this daemon's own record.
        on_lost: Called when the store lost this daemon's own record, or what
            was last written to it.
        random_fraction: Returns a random number from 0 to 1, for jitter.
        suspects: Requests that crash backend servers.
    """

    own: str
    timers: timers.TimerService
    configuration: firstconfiguration.FirstConfiguration
    directory: directory.Directory
    fleet: fleet.Fleet
    publisher: presence.Publisher
    on_lost: collections.abc.Callable[[], None]
    random_fraction: collections.abc.Callable[[], float]
    suspects: suspects.Suspects


class StoreUpdates:
    """Handlers for the kinds of stored objects that this daemon follows."""

    def __init__(self, parts: Parts):
        self._parts = parts
        # Daemons without a record in the last complete listing.
        self._absent: set[str] = set()

    def on_configurations(self, listing: store.Listing) -> None:
        """Handles listed or changed configurations."""
        for stored_object in listing.objects:
            if stored_object.value != _NULL_DOCUMENT:
                self._parts.configuration.offer(stored_object.value)

    def on_daemon_hints(self, listing: store.Listing) -> None:
        """Learns daemons from records that may be out of date."""
        for stored_object in listing.objects:
            self._learn(stored_object)

    def on_daemons(self, listing: store.Listing) -> None:
        """Handles the complete listing; removes daemons without a record."""
        for stored_object in listing.objects:
            self._learn(stored_object)
        self._parts.directory.note_listed()
        listed = {stored_object.name for stored_object in listing.objects}
        self._absent = {
            statement.daemon
            for statement in self._parts.directory.all()
            if statement.daemon not in listed
        }
        if self._absent:
            self._parts.timers.after(_REGISTRATION_TIME_S, self._remove_absent)
        own = next(
            (one for one in listing.objects if one.name == self._parts.own),
            None,
        )
        if self._parts.publisher.note_listed(own, listing.era):
            self._write_again()

    def on_daemon_changes(self, listing: store.Listing) -> None:
        """Handles changed and deleted daemon records."""
        for stored_object in listing.objects:
            self._absent.discard(stored_object.name)
            self._learn(stored_object)
            replaced = (
                stored_object.name == self._parts.own
                and self._parts.publisher.note_changed(stored_object)
            )
            if replaced:
                self._write_again()
        for name in listing.deleted:
            if name == self._parts.own:
                if self._parts.publisher.note_deleted():
                    self._parts.on_lost()
            else:
                self._parts.fleet.forget(name, "store")

    def _learn(self, stored_object: store.StoredObject) -> None:
        try:
            record = presence.decode(stored_object)
        except errors.InvalidMessageError as error:
            _log.warning(
                "record_passed_over", name=stored_object.name, error=str(error)
            )
            return
        self._parts.fleet.on_statement(record.statement, "store")
        for report in record.suspects:
            self._parts.suspects.hear(report, "store")

    def _write_again(self) -> None:
        # All daemons may have to do so at the same time, and two of one name
        # replace each other's record again and again.
        delay_s = _REWRITE_SPREAD_S * self._parts.random_fraction()
        self._parts.timers.after(delay_s, self._parts.on_lost)

    def _remove_absent(self) -> None:
        absent, self._absent = self._absent, set()
        for name in absent:
            self._parts.fleet.forget(name, "listing")


def create_store_updates(parts: Parts) -> StoreUpdates:
    """Returns the handlers of store updates."""
    return StoreUpdates(parts)
