"""What this daemon knows of the requests it saw, in bounded memory."""

import collections
import heapq
import itertools
import time
import typing

import msgspec

from savorybend.internal import sentinels

NOT_SEEN = sentinels.create("NOT_SEEN", "this daemon's journal lacks it")

# An entry keeps the first events and the last one, so that a request resent
# without end can't grow it.
_MOST_EVENTS = 32
_MOST_BYTES = 24 * 1024 * 1024
# Requests of no known account: whoever has no key can send any ID.
_MOST_OF_STRANGERS = 1000
_PROVEN = frozenset({"ran", "partial"})
# What CPython takes for an entry and an event beside their texts.
_ENTRY_BYTES = 500
_EVENT_BYTES = 160


# The collector needn't visit what can be part of no cycle, and the journal
# holds most of a daemon's objects: a visit would hold up the calls in flight.
class Event(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Something that happened to a request.

    Attributes:
        time_s: When, in seconds since 1970 on this VM's clock.
        daemon: The daemon that saw it.
        what: `admitted`, `dispatched`, `answered`, `refused` and so on.
        detail: What a support engineer wants to know beside that.
    """

    time_s: float
    daemon: str
    what: str
    detail: str = ""


class Entry(msgspec.Struct, gc=False):
    """A request's events at one daemon."""

    request_id: str
    client_account: str
    route: str
    outcome: str
    reason: str
    events: list[Event]


class Query(typing.NamedTuple):
    """Which requests to list.

    Attributes:
        client_account: Name, or empty for any.
        route: Name, or empty for any.
        since_s: Seconds since 1970.
        most: How many at most, the newest first.
    """

    client_account: str
    route: str
    since_s: float
    most: int


class Limits(typing.NamedTuple):
    """How much is kept.

    Attributes:
        entries: Requests.
        size: Bytes.
    """

    entries: int
    size: int


class _Shelf:
    """The requests of one client account, the oldest first."""

    __slots__ = ("entries", "size")

    def __init__(self):
        self.entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self.size = 0


class Journal:
    """Keeps the newest requests; the oldest make room.

    Room is made by the client account that takes up most of it, so that one
    which sends several times its rate leaves the others' requests alone.
    """

    def __init__(self, daemon: str, limits: Limits):
        self._daemon = daemon
        self._limits = limits
        self._shelves: dict[str, _Shelf] = {}
        self._owners: dict[str, str] = {}
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes in use, as far as this module can tell."""
        return self._size

    def note(
        self,
        request_id: str,
        what: str,
        detail: str = "",
        *,
        client_account: str = "",
        route: str = "",
    ) -> Entry:
        """Adds an event to a request, and the request if it is new."""
        owner = self._owners.get(request_id)
        if owner is None:
            entry = self._add(request_id, client_account, route)
            owner = client_account
        else:
            entry = self._shelves[owner].entries[request_id]
        event = Event(time.time(), self._daemon, what, detail)
        if len(entry.events) < _MOST_EVENTS:
            entry.events.append(event)
            self._grow(owner, _EVENT_BYTES + len(detail))
        else:
            self._grow(owner, len(detail) - len(entry.events[-1].detail))
            entry.events[-1] = event
        self._trim(request_id)
        return entry

    def note_outcome(
        self, request_id: str, what: str, outcome: str, reason: str
    ) -> None:
        """Notes a request's outcome."""
        self.note(request_id, what, reason)
        self.set_outcome(request_id, outcome, reason)

    def set_outcome(self, request_id: str, outcome: str, reason: str) -> None:
        """Sets a request's outcome without an event of its own.

        What ran has run, whatever a later sending is told.
        """
        entry = self.get_entry(request_id)
        if not entry:
            return
        if entry.outcome in _PROVEN and outcome not in _PROVEN:
            return
        entry.outcome = outcome
        entry.reason = reason

    def get_entry(self, request_id: str) -> Entry | sentinels.Absence:
        """Returns a request's entry, or `NOT_SEEN`."""
        owner = self._owners.get(request_id)
        if owner is None:
            return NOT_SEEN
        return self._shelves[owner].entries[request_id]

    def find(self, query: Query) -> list[Entry]:
        """Returns the entries that a query asks for, the newest first."""
        shelves = self._shelves.values()
        if query.client_account:
            shelf = self._shelves.get(query.client_account)
            shelves = [shelf] if shelf else []
        newest = [reversed(shelf.entries.values()) for shelf in shelves]
        merged = heapq.merge(*newest, key=_started_s, reverse=True)
        fitting = (entry for entry in merged if _fits(entry, query))
        return list(itertools.islice(fitting, query.most))

    def _add(self, request_id: str, client_account: str, route: str) -> Entry:
        entry = Entry(request_id, client_account, route, "", "", [])
        shelf = self._shelves.setdefault(client_account, _Shelf())
        shelf.entries[request_id] = entry
        self._owners[request_id] = client_account
        self._grow(client_account, _ENTRY_BYTES + len(request_id))
        return entry

    def _grow(self, client_account: str, size: int) -> None:
        self._shelves[client_account].size += size
        self._size += size

    def _trim(self, newest: str) -> None:
        strangers = self._shelves.get("")
        if strangers and len(strangers.entries) > _MOST_OF_STRANGERS:
            self._remove("", next(iter(strangers.entries)))
        while (
            len(self._owners) > self._limits.entries
            or self._size > self._limits.size
        ):
            largest = max(self._shelves, key=lambda n: self._shelves[n].size)
            request_id = next(iter(self._shelves[largest].entries))
            if request_id == newest and len(self._owners) == 1:
                return
            self._remove(largest, request_id)

    def _remove(self, owner: str, request_id: str) -> None:
        shelf = self._shelves[owner]
        entry = shelf.entries.pop(request_id)
        del self._owners[request_id]
        details = sum(_EVENT_BYTES + len(e.detail) for e in entry.events)
        self._grow(owner, -(_ENTRY_BYTES + len(request_id) + details))
        if not shelf.entries:
            del self._shelves[owner]


def _started_s(entry: Entry) -> float:
    return entry.events[0].time_s if entry.events else 0.0


def _fits(entry: Entry, query: Query) -> bool:
    if query.route not in ("", entry.route):
        return False
    return bool(entry.events) and entry.events[-1].time_s >= query.since_s


def create_journal(
    daemon: str, entries: int, size: int = _MOST_BYTES
) -> Journal:
    """Returns an empty journal that keeps `entries` requests."""
    return Journal(daemon, Limits(entries, size))
