"""Takes over what the store tells of configurations and of daemons."""

import typing

import structlog

from savorybend.internal import errors
from savorybend.relay import catalog
from savorybend.relay import directory
from savorybend.relay import fleet
from savorybend.relay import presence
from savorybend.relay import store

_NOTHING = b"null"

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """What is told.

    Attributes:
        own: This daemon's name.
        catalog: The configuration in force.
        directory: Who is there.
        fleet: The links to them.
        publisher: Keeps this daemon's own record.
    """

    own: str
    catalog: catalog.Catalog
    directory: directory.Directory
    fleet: fleet.Fleet
    publisher: presence.Publisher


class StoreUpdates:
    """Listings and changes of the kinds that this daemon follows."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def on_configurations(self, listing: store.Listing) -> None:
        """Takes configurations, whether listed or changed."""
        for found in listing.objects:
            if found.value != _NOTHING:
                self._parts.catalog.offer(found.value, "store")

    def on_daemons(self, listing: store.Listing) -> None:
        """Takes all daemons' records; who has none is gone."""
        self.on_daemon_changes(listing)
        self._parts.directory.note_listed()
        kept = {found.name for found in listing.objects}
        for statement in self._parts.directory.all():
            if statement.daemon not in kept:
                self._parts.fleet.forget(statement.daemon, "listing")
        if self._parts.own not in kept:
            self._parts.publisher.note_deleted()

    def on_daemon_changes(self, listing: store.Listing) -> None:
        """Takes the records that changed, and those that were removed."""
        for found in listing.objects:
            try:
                record = presence.decode(found.value)
            except errors.InvalidMessageError as error:
                _log.warning(
                    "record_passed_over", name=found.name, error=str(error)
                )
                continue
            self._parts.fleet.on_statement(record.statement, "store")
        for name in listing.deleted:
            if name == self._parts.own:
                self._parts.publisher.note_deleted()
            else:
                self._parts.fleet.forget(name, "store")


def create_store_updates(parts: Parts) -> StoreUpdates:
    """Returns what follows the store's kinds."""
    return StoreUpdates(parts)
