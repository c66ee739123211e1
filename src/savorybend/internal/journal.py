"""Events of the requests that this daemon saw, in bounded memory."""

import collections
import heapq
import itertools
import time
import typing

import msgspec

from savorybend.internal import sentinels

NOT_SEEN = sentinels.create("NOT_SEEN", "this daemon's journal lacks it")

# An entry keeps its first events and the last one, so that a request resent
# endlessly can't grow it.
_MAX_EVENTS = 32
_MAX_BYTES = 24 * 1024 * 1024
# Limits entries without a known account, since senders without a key can send
# any ID.
_MAX_UNAUTHENTICATED = 1000
_PROVEN_OUTCOMES = frozenset({"ran", "partial"})
# Memory that CPython uses for an entry and an event, without their texts.
_ENTRY_BYTES = 500
_EVENT_BYTES = 160


# gc=False, since events and entries can't be part of a reference cycle. The
# journal holds most of a daemon's objects, and traversing them would stall the
# calls in flight.
class Event(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An event of a request.

    Attributes:
        time_s: When, in seconds since 1970 on this VM's clock.
        daemon: The daemon that saw it.
        what: Kind of event, such as `admitted`, `dispatched`, `answered` or
            `refused`.
        detail: Further information for support engineers; may be empty.
    """

    time_s: float
    daemon: str
    what: str
    detail: str = ""


class Entry(msgspec.Struct, gc=False):
    """A request's events at one daemon.

    Attributes:
        request_id: The request's ID.
        client_account: Name, or empty if unknown.
        route: Name, or empty if unknown.
        outcome: Value of `outcomes.Outcome`, or empty while there is none.
        reason: Name of an `outcomes.Reason`, or empty.
        events: In the order in which they happened.
    """

    request_id: str
    client_account: str
    route: str
    outcome: str
    reason: str
    events: list[Event]


class Query(typing.NamedTuple):
    """Filter for the requests to list.

    Attributes:
        client_account: Name, or empty for any.
        route: Name, or empty for any.
        since_s: Only requests whose last event is not before this time, in
            seconds since 1970.
        most: Maximum number of entries.
    """

    client_account: str
    route: str
    since_s: float
    most: int


class Limits(typing.NamedTuple):
    """Limits of a journal's size.

    Attributes:
        entries: Maximum number of requests.
        size: Maximum size in bytes.
    """

    entries: int
    size: int


class _AccountEntries:
    """The entries of one client account, the oldest first."""

    __slots__ = ("entries", "size")

    def __init__(self):
        self.entries: collections.OrderedDict[str, Entry] = (
            collections.OrderedDict()
        )
        self.size = 0


class Journal:
    """Keeps the newest requests and evicts the oldest.

    Entries are evicted from the client account that uses the most memory, so
    that an account which sends several times its rate doesn't evict the
    requests of others.
    """

    def __init__(self, daemon: str, limits: Limits):
        self._daemon = daemon
        self._limits = limits
        self._accounts: dict[str, _AccountEntries] = {}
        self._owners: dict[str, str] = {}
        self._size = 0

    @property
    def size(self) -> int:
        """Estimated size in bytes."""
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
        """Adds an event to a request's entry, which is created if needed.

        Args:
            request_id: The request's ID.
            what: Kind of event.
            detail: Further information.
            client_account: Account of a new entry.
            route: Route of a new entry.
        """
        owner = self._owners.get(request_id)
        if owner is None:
            entry = self._add(request_id, client_account, route)
            owner = client_account
        else:
            entry = self._accounts[owner].entries[request_id]
        event = Event(time.time(), self._daemon, what, detail)
        if len(entry.events) < _MAX_EVENTS:
            entry.events.append(event)
            self._add_size(owner, _EVENT_BYTES + len(detail))
        else:
            self._add_size(owner, len(detail) - len(entry.events[-1].detail))
            entry.events[-1] = event
        self._evict(request_id)
        return entry

    def note_outcome(
        self, request_id: str, what: str, outcome: str, reason: str
    ) -> None:
        """Adds an event with a request's outcome and sets the outcome."""
        self.note(request_id, what, reason)
        self.set_outcome(request_id, outcome, reason)

    def set_outcome(self, request_id: str, outcome: str, reason: str) -> None:
        """Sets a request's outcome without adding an event.

        The outcome stays `ran` or `partial` once it is, whatever the outcome
        of a request resent later.
        """
        entry = self.get_entry(request_id)
        if not entry:
            return
        if (
            entry.outcome in _PROVEN_OUTCOMES
            and outcome not in _PROVEN_OUTCOMES
        ):
            return
        entry.outcome = outcome
        entry.reason = reason

    def get_entry(self, request_id: str) -> Entry | sentinels.Absence:
        """Returns a request's entry, or `NOT_SEEN`."""
        owner = self._owners.get(request_id)
        if owner is None:
            return NOT_SEEN
        return self._accounts[owner].entries[request_id]

    def find(self, query: Query) -> list[Entry]:
        """Returns the entries that match a query, the newest first."""
        accounts = self._accounts.values()
        if query.client_account:
            account = self._accounts.get(query.client_account)
            accounts = [account] if account else []
        newest = [reversed(account.entries.values()) for account in accounts]
        merged = heapq.merge(*newest, key=_started_s, reverse=True)
        matching = (entry for entry in merged if _matches(entry, query))
        return list(itertools.islice(matching, query.most))

    def _add(self, request_id: str, client_account: str, route: str) -> Entry:
        entry = Entry(request_id, client_account, route, "", "", [])
        account = self._accounts.setdefault(client_account, _AccountEntries())
        account.entries[request_id] = entry
        self._owners[request_id] = client_account
        self._add_size(client_account, _ENTRY_BYTES + len(request_id))
        return entry

    def _add_size(self, client_account: str, size: int) -> None:
        self._accounts[client_account].size += size
        self._size += size

    def _evict(self, newest: str) -> None:
        unauthenticated = self._accounts.get("")
        if (
            unauthenticated
            and len(unauthenticated.entries) > _MAX_UNAUTHENTICATED
        ):
            self._remove("", next(iter(unauthenticated.entries)))
        while (
            len(self._owners) > self._limits.entries
            or self._size > self._limits.size
        ):
            largest = max(self._accounts, key=lambda n: self._accounts[n].size)
            request_id = next(iter(self._accounts[largest].entries))
            if request_id == newest and len(self._owners) == 1:
                return
            self._remove(largest, request_id)

    def _remove(self, owner: str, request_id: str) -> None:
        account = self._accounts[owner]
        entry = account.entries.pop(request_id)
        del self._owners[request_id]
        details = sum(_EVENT_BYTES + len(e.detail) for e in entry.events)
        self._add_size(owner, -(_ENTRY_BYTES + len(request_id) + details))
        if not account.entries:
            del self._accounts[owner]


def _started_s(entry: Entry) -> float:
    return entry.events[0].time_s if entry.events else 0.0


def _matches(entry: Entry, query: Query) -> bool:
    if query.route not in ("", entry.route):
        return False
    return bool(entry.events) and entry.events[-1].time_s >= query.since_s


def create_journal(
    daemon: str, entries: int, size: int = _MAX_BYTES
) -> Journal:
    """Returns an empty journal with limits in requests and bytes."""
    return Journal(daemon, Limits(entries, size))
