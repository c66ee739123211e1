"""The interface to the platform's object store."""

import collections.abc
import typing

from savorybend.internal import errors
from savorybend.internal import sentinels

NO_OBJECT = sentinels.create("NO_OBJECT", "the store has no such object")


class HistoryGoneError(errors.SavorybendError):
    """The store no longer has the changes since a revision; list again."""


class Kind(typing.NamedTuple):
    """A kind of objects in the store, by its name in this system.

    Attributes:
        name: `configuration` or `daemons`; the adapter maps it to the store's
            name.
    """

    name: str


CONFIGURATION = Kind("configuration")
DAEMONS = Kind("daemons")


class StoredObject(typing.NamedTuple):
    """An object in the store.

    Attributes:
        name: Its name, unique in its kind.
        revision: The store's revision of its last change.
        value: The value that its owner wrote, as JSON.
    """

    name: str
    revision: int
    value: bytes


class Listing(typing.NamedTuple):
    """The objects of a kind, or the changes among them.

    Attributes:
        revision: The store's revision to watch from.
        objects: All objects, or the changed ones.
        deleted: Names of the deleted objects.
        after: Revision that the changes follow; None if this is complete.
        era: Era of all revisions; see `Store.era`.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...] = ()
    after: int | None = None
    era: int = 0


class Store(typing.Protocol):
    """Operations of the store.

    Each operation raises `errors.PlatformUnavailableError` if there is no
    usable answer; a write may have been executed then, or may be executed
    later.
    """

    @property
    def era(self) -> int:
        """The newest era that the store has told; 0 for none.

        It increases when the store comes back from an older copy: what was
        written since the copy is lost, and revisions are given out again.
        """

    @property
    def calls(self) -> collections.abc.Mapping[tuple[str, str], int]:
        """Calls so far by operation and name of the kind."""

    async def get(
        self, kind: Kind, name: str
    ) -> StoredObject | sentinels.Absence:
        """Returns an object, or `NO_OBJECT`."""

    async def list(self, kind: Kind, stale: bool = False) -> Listing:
        """Returns all objects of a kind.

        Args:
            kind: The kind.
            stale: Whether the result may be seconds old, which is cheaper. Its
                revision must not be watched from.
        """

    async def watch(
        self, kind: Kind, after: int, wait_s: float, era: int = 0
    ) -> Listing:
        """Returns the changes after a revision, waiting for the first one.

        Args:
            kind: The kind.
            after: The revision.
            wait_s: How long to wait, in seconds.
            era: Era of the revision; 0 if the store told none.

        Raises:
            HistoryGoneError: The store no longer has these changes.
        """

    async def create(self, kind: Kind, name: str, value: bytes) -> StoredObject:
        """Creates an object.

        Raises:
            errors.ConflictError: An object of this name exists.
        """

    async def replace(
        self, kind: Kind, name: str, value: bytes, expected: int
    ) -> StoredObject:
        """Replaces an object that has the revision `expected`.

        Raises:
            errors.ConflictError: It has another revision, or doesn't exist.
        """

    async def delete(self, kind: Kind, name: str, expected: int) -> None:
        """Deletes an object that has the revision `expected`, if it exists.

        Raises:
            errors.ConflictError: It has another revision.
        """
