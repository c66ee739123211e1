"""The records of the fleet's daemons and the directory of those present."""

import collections.abc
import typing

import msgspec

from savorybend.internal import metrics
from savorybend.internal import sentinels

NO_MEMBER = sentinels.create("NO_MEMBER", "no daemon of that name is known")

SERVING = "serving"
DRAINING = "draining"
LEFT = "left"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A daemon's signed description of itself.

    Attributes:
        name: Its name, unique in the fleet.
        incarnation: Increases with each start of a daemon of this name.
        data_centre: Its data centre.
        service: The service of its backend server.
        call_address: The listener for calls, as `IP:PORT`.
        peer_address: The listener for other daemons, as `IP:PORT`.
        admin_address: The listener for operators, as `IP:PORT`.
        public_key: Its public CURVE key, in Z85.
        state: `SERVING`, `DRAINING`, or `LEFT` in its final record.
        revision: Increases with each change within an incarnation.
        signing_key: Its public Ed25519 key, generated at each start.
        signature: Signature of all other fields by that key.
    """

    name: str
    incarnation: int
    data_centre: str
    service: str
    call_address: str
    peer_address: str
    admin_address: str
    public_key: str
    state: str = SERVING
    revision: int = 0
    signing_key: bytes = b""
    signature: bytes = b""

    @property
    def age_key(self) -> tuple[int, int]:
        """Sort key that orders records of one daemon from old to new."""
        return self.incarnation, self.revision


class MemberUpdated(typing.NamedTuple):
    """A daemon joined, or a newer record of it was stored."""

    record: Record


class MemberRemoved(typing.NamedTuple):
    """A daemon left or was declared dead."""

    record: Record


Change = MemberUpdated | MemberRemoved
Listener = collections.abc.Callable[[Change], None]


class Directory:
    """The daemons present, indexed by name, service and public key."""

    def __init__(self, own: Record):
        self._own_name = own.name
        self._records: dict[str, Record] = {}
        self._by_service: dict[str, tuple[Record, ...]] = {}
        self._taking_work: dict[str, dict[str, Record]] = {}
        self._keys: dict[str, str] = {}
        self._listeners: list[Listener] = []
        self.put(own)

    @property
    def own(self) -> Record:
        """This daemon's own record."""
        return self._records[self._own_name]

    def all(self) -> tuple[Record, ...]:
        """Returns the records of all daemons, this one included."""
        return tuple(self._records.values())

    def get(self, name: str) -> Record | sentinels.Absence:
        """Returns a daemon's record, or `NO_MEMBER`."""
        return self._records.get(name, NO_MEMBER)

    def serving(self, service: str) -> tuple[Record, ...]:
        """Returns the daemons of a service that accept new calls."""
        return self._by_service.get(service, ())

    def name_of_key(self, public_key: str) -> str | sentinels.Absence:
        """Returns the name of a CURVE key's daemon, or `NO_MEMBER`."""
        return self._keys.get(public_key, NO_MEMBER)

    def put(self, record: Record) -> bool:
        """Stores a record if it is newer than the one known.

        Returns:
            Whether the record was stored.
        """
        known = self._records.get(record.name)
        if known is not None and known.age_key >= record.age_key:
            return False
        if known is not None:
            self._keys.pop(known.public_key, None)
            self._unlist(known)
        self._records[record.name] = record
        self._keys[record.public_key] = record.name
        self._list(record)
        self._changed(MemberUpdated(record))
        return True

    def remove(self, name: str, incarnation: int) -> bool:
        """Removes a daemon unless it has restarted since `incarnation`.

        Returns:
            Whether the daemon was removed.
        """
        known = self._records.get(name)
        if name == self._own_name or known is None:
            return False
        if known.incarnation > incarnation:
            return False
        del self._records[name]
        self._keys.pop(known.public_key, None)
        self._unlist(known)
        self._changed(MemberRemoved(known))
        return True

    def subscribe(self, listener: Listener) -> None:
        """Registers `listener` to be called after each change."""
        self._listeners.append(listener)

    def _changed(self, change: Change) -> None:
        metrics.MEMBERS.set(len(self._records))
        for listener in self._listeners:
            listener(change)

    def _list(self, record: Record) -> None:
        if record.state == SERVING:
            # Rebuilds only one service's tuple, since a daemon that starts
            # stores a thousand records at once.
            listed = self._taking_work.setdefault(record.service, {})
            listed[record.name] = record
            self._by_service[record.service] = tuple(listed.values())

    def _unlist(self, record: Record) -> None:
        listed = self._taking_work.get(record.service, {})
        if listed.pop(record.name, None) is not None:
            self._by_service[record.service] = tuple(listed.values())


def create_directory(own: Record) -> Directory:
    """Returns a directory that holds only this daemon's record."""
    return Directory(own)
