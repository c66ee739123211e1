"""Applies the store's listings and changes of configurations and daemons."""

import typing

import structlog

from savorybend.internal import errors
from savorybend.relay import catalog
from savorybend.relay import directory
from savorybend.relay import fleet
from savorybend.relay import presence
from savorybend.relay import store
from savorybend.relay import suspects

_NULL_DOCUMENT = b"null"

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `StoreUpdates`.

    Attributes:
        own: This daemon's name.
        catalog: The configuration in force.
        directory: The other daemons' statements.
        fleet: The links to the other daemons.
        publisher: Writes this daemon's own record.
        suspects: Requests that crash backend servers.
    """

    own: str
    catalog: catalog.Catalog
    directory: directory.Directory
    fleet: fleet.Fleet
    publisher: presence.Publisher
    suspects: suspects.Suspects


class StoreUpdates:
    """Handlers for the kinds of stored objects that this daemon follows."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def on_configurations(self, listing: store.Listing) -> None:
        """Handles listed or changed configurations."""
        for stored_object in listing.objects:
            if stored_object.value != _NULL_DOCUMENT:
                self._parts.catalog.offer(stored_object.value, "store")

    def on_daemons(self, listing: store.Listing) -> None:
        """Handles the complete listing; removes daemons without a record."""
        self.on_daemon_changes(listing)
        self._parts.directory.note_listed()
        listed = {stored_object.name for stored_object in listing.objects}
        for statement in self._parts.directory.all():
            if statement.daemon not in listed:
                self._parts.fleet.forget(statement.daemon, "listing")
        if self._parts.own not in listed:
            self._parts.publisher.note_deleted()

    def on_daemon_changes(self, listing: store.Listing) -> None:
        """Handles changed and deleted daemon records."""
        for stored_object in listing.objects:
            try:
                record = presence.decode(stored_object.value)
            except errors.InvalidMessageError as error:
                _log.warning(
                    "record_passed_over",
                    name=stored_object.name,
                    error=str(error),
                )
                continue
            self._parts.fleet.on_statement(record.statement, "store")
            for report in record.suspects:
                self._parts.suspects.hear(report, "store")
        for name in listing.deleted:
            if name == self._parts.own:
                self._parts.publisher.note_deleted()
            else:
                self._parts.fleet.forget(name, "store")


def create_store_updates(parts: Parts) -> StoreUpdates:
    """Returns the handlers of store updates."""
    return StoreUpdates(parts)
