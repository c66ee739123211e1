"""What this daemon knows of the requests it saw, in bounded memory."""

import collections
import time
import typing

import msgspec

from savorybend.internal import sentinels

NOT_SEEN = sentinels.create("NOT_SEEN", "this daemon's journal lacks it")

# An entry keeps the first events and the last one, so that a request resent
# without end can't grow it.
_MOST_EVENTS = 32


class Event(msgspec.Struct, frozen=True, array_like=True):
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


class Entry(msgspec.Struct):
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


class Journal:
    """Keeps the newest requests; the oldest make room."""

    def __init__(self, daemon: str, entries: int):
        self._daemon = daemon
        self._limit = entries
        self._entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )

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
        entry = self._entries.get(request_id)
        if entry is None:
            entry = Entry(request_id, client_account, route, "", "", [])
            self._entries[request_id] = entry
            if len(self._entries) > self._limit:
                self._entries.popitem(last=False)
        event = Event(time.time(), self._daemon, what, detail)
        if len(entry.events) < _MOST_EVENTS:
            entry.events.append(event)
        else:
            entry.events[-1] = event
        return entry

    def close(
        self, request_id: str, what: str, outcome: str, reason: str
    ) -> None:
        """Notes a request's outcome."""
        self.note(request_id, what, reason)
        self.settle(request_id, outcome, reason)

    def settle(self, request_id: str, outcome: str, reason: str) -> None:
        """Sets a request's outcome without an event of its own."""
        entry = self._entries.get(request_id)
        if entry is not None:
            entry.outcome = outcome
            entry.reason = reason

    def show(self, request_id: str) -> Entry | sentinels.Absence:
        """Returns a request's entry, or `NOT_SEEN`."""
        return self._entries.get(request_id, NOT_SEEN)

    def find(self, query: Query) -> list[Entry]:
        """Returns the entries that a query asks for, the newest first."""
        found = []
        for entry in reversed(self._entries.values()):
            if len(found) >= query.most:
                break
            if query.client_account not in ("", entry.client_account):
                continue
            if query.route not in ("", entry.route):
                continue
            if entry.events and entry.events[-1].time_s >= query.since_s:
                found.append(entry)
        return found


def create_journal(daemon: str, entries: int) -> Journal:
    """Returns an empty journal that keeps `entries` requests."""
    return Journal(daemon, entries)
