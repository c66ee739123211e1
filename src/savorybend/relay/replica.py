"""A copy of the daemons' records, kept up to date by changes in order.

The copy is at a position of the store's history. Changes lead from one
position to a later one, so the copy can take them from the store or from any
daemon that has them, and a gap shows by itself.
"""

import collections
import collections.abc
import enum
import typing

from savorybend.relay import frames
from savorybend.relay import store

# Deletions remembered for daemons that missed them; one that missed more gets
# the complete state.
_MAX_DELETIONS = 1_000


class Result(enum.Enum):
    """What became of changes."""

    APPLIED = "applied"
    OUTDATED = "outdated"
    GAP = "gap"


class Consumer(typing.Protocol):
    """Receives what is new in the copy."""

    def on_daemons(self, listing: store.Listing) -> None:
        """Handles the complete records."""

    def on_daemon_changes(self, listing: store.Listing) -> None:
        """Handles changed and deleted records."""


class Replica:
    """The records at a position of the store's history."""

    def __init__(self, consumer: Consumer):
        self._consumer = consumer
        self._position: frames.Position | None = None
        self._objects: dict[str, store.StoredObject] = {}
        # Position's revision at which a deletion was learned, oldest first.
        self._deletions: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Deletions up to this revision aren't all remembered.
        self._horizon = 0

    @property
    def position(self) -> frames.Position | None:
        """Position of the copy, or None without one."""
        return self._position

    @property
    def names(self) -> collections.abc.Collection[str]:
        """Names of the daemons that have records."""
        return self._objects.keys()

    def apply(self, records: frames.Records) -> Result:
        """Applies records that the store or a daemon sent."""
        if records.after is None:
            return self._replace(records)
        if self._position is None or records.after.era != self._position.era:
            return Result.GAP
        if records.until <= self._position:
            return Result.OUTDATED
        if records.after > self._position:
            return Result.GAP
        changed = [
            found
            for found in records.objects
            if found.revision > self._position.revision
        ]
        for found in changed:
            self._objects[found.name] = found
            self._deletions.pop(found.name, None)
        for name in records.deleted:
            self._objects.pop(name, None)
            self._remember_deletion(name, records.until.revision)
        self._position = records.until
        self._consumer.on_daemon_changes(
            store.Listing(
                records.until.revision, tuple(changed), tuple(records.deleted)
            )
        )
        return Result.APPLIED

    def since(self, position: frames.Position | None) -> frames.Records:
        """Returns the changes since a position, or the complete records.

        Raises:
            ValueError: There is no copy yet.
        """
        if self._position is None:
            raise ValueError("there is no copy of the records yet")
        known = (
            position is not None
            and position.era == self._position.era
            and position.revision >= self._horizon
        )
        if not known:
            return frames.Records(
                None, self._position, list(self._objects.values()), []
            )
        changed = [
            found
            for found in self._objects.values()
            if found.revision > position.revision
        ]
        deleted = [
            name
            for name, revision in self._deletions.items()
            if revision > position.revision
        ]
        return frames.Records(position, self._position, changed, deleted)

    def _replace(self, records: frames.Records) -> Result:
        if self._position is not None and records.until <= self._position:
            return Result.OUTDATED
        self._objects = {found.name: found for found in records.objects}
        self._deletions.clear()
        self._horizon = records.until.revision
        self._position = records.until
        self._consumer.on_daemons(
            store.Listing(
                records.until.revision,
                tuple(records.objects),
                era=records.until.era,
            )
        )
        return Result.APPLIED

    def _remember_deletion(self, name: str, revision: int) -> None:
        self._deletions.pop(name, None)
        self._deletions[name] = revision
        if len(self._deletions) > _MAX_DELETIONS:
            _, self._horizon = self._deletions.popitem(last=False)


def create_replica(consumer: Consumer) -> Replica:
    """Returns a replica without a copy yet."""
    return Replica(consumer)
