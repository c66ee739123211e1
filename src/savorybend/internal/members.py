"""The daemons of the fleet, as this daemon knows them."""

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
    """What a daemon announces of itself.

    Attributes:
        name: Its name, unique in the fleet.
        incarnation: Rises with each start of a daemon of this name.
        data_centre: Its data centre.
        service: The service of its backend server.
        call_address: Where callers call, as `IP:PORT`.
        peer_address: Where daemons connect, as `IP:PORT`.
        admin_address: Where operators ask, as `IP:PORT`.
        public_key: Its CURVE key, in Z85.
        state: `SERVING`, `DRAINING`, or `LEFT` in its last word.
        revision: Rises with each change within an incarnation.
        signing_key: Its Ed25519 key, made with each start.
        signature: Of all the other fields, by that key.
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
        """Orders records of one daemon from old to new."""
        return self.incarnation, self.revision


class MemberUpdated(typing.NamedTuple):
    """A daemon is new, or announced something new of itself."""

    record: Record


class MemberRemoved(typing.NamedTuple):
    """A daemon left or was found dead."""

    record: Record


Change = MemberUpdated | MemberRemoved
Listener = collections.abc.Callable[[Change], None]


class Directory:
    """The known daemons, by name, service and key."""

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
        """Returns every known daemon, this one included."""
        return tuple(self._records.values())

    def get(self, name: str) -> Record | sentinels.Absence:
        """Returns a daemon's record, or `NO_MEMBER`."""
        return self._records.get(name, NO_MEMBER)

    def serving(self, service: str) -> tuple[Record, ...]:
        """Returns the daemons that take new work for a service."""
        return self._by_service.get(service, ())

    def name_of_key(self, public_key: str) -> str | sentinels.Absence:
        """Returns which daemon announced a key, or `NO_MEMBER`."""
        return self._keys.get(public_key, NO_MEMBER)

    def put(self, record: Record) -> bool:
        """Takes a record unless a newer one is known; returns if it did."""
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
        """Forgets a daemon unless it has started anew since."""
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
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def _changed(self, change: Change) -> None:
        metrics.MEMBERS.set(len(self._records))
        for listener in self._listeners:
            listener(change)

    def _list(self, record: Record) -> None:
        if record.state == SERVING:
            # Only one service's tuple is made anew: a daemon that starts
            # takes a thousand records at once.
            listed = self._taking_work.setdefault(record.service, {})
            listed[record.name] = record
            self._by_service[record.service] = tuple(listed.values())

    def _unlist(self, record: Record) -> None:
        listed = self._taking_work.get(record.service, {})
        if listed.pop(record.name, None) is not None:
            self._by_service[record.service] = tuple(listed.values())


def create_directory(own: Record) -> Directory:
    """Returns a directory that knows only this daemon."""
    return Directory(own)
