"""The newest known statement of each other daemon, from any source."""

import collections.abc
import typing

import msgspec
import structlog

from savorybend.internal import timers
from savorybend.relay import frames
from savorybend.relay import learnedlog

READY = "ready"
DRAINING = "draining"
ABSENT = "absent"
LOST = "lost"

# Least fleet size to assume before the store's listing of daemons arrives. If
# daemons that start together each assumed a fleet of one, each would use the
# full rate of every client account.
_MIN_ASSUMED_SIZE = 8

_log = structlog.get_logger()


class Departure(typing.NamedTuple):
    """A backend server that has left, the newest known one of its daemon.

    Attributes:
        born_ms: When it started, Unix time in milliseconds.
        instance: Its ID.
    """

    born_ms: int
    instance: str


Listener = collections.abc.Callable[[frames.Statement], None]


class Directory:
    """The statements of other daemons."""

    def __init__(self, own: str, learned_log: learnedlog.LearnedLog):
        self._own = own
        self._learned_log = learned_log
        self._statements: dict[str, frames.Statement] = {}
        self._by_service: dict[str, list[frames.Statement]] = {}
        self._names: list[str] = []
        self._changes = 0
        self._indexed_changes = 0
        self._listed = False
        self._removed: dict[str, tuple[int, int]] = {}
        self._departures: dict[str, Departure] = {}
        self._listeners: list[Listener] = []

    @property
    def size(self) -> int:
        """Number of daemons in the fleet, this one included."""
        known = len(self._statements) + 1
        return known if self._listed else max(known, _MIN_ASSUMED_SIZE)

    @property
    def changes(self) -> int:
        """Number of changes so far, for those who keep what they derive."""
        return self._changes

    @property
    def names(self) -> list[str]:
        """Names of the other daemons, sorted."""
        self._index_if_changed()
        return self._names

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each newer statement that is learned."""
        self._listeners.append(listener)

    def get(self, daemon: str) -> frames.Statement | None:
        """Returns a daemon's newest statement, or None if it is unknown."""
        return self._statements.get(daemon)

    def all(self) -> list[frames.Statement]:
        """Returns the newest statement of each other daemon."""
        return list(self._statements.values())

    def of_service(self, service: str) -> list[frames.Statement]:
        """Returns the statements of the other daemons that serve a service."""
        self._index_if_changed()
        return self._by_service.get(service, [])

    def learn(self, statement: frames.Statement, source: str) -> bool:
        """Stores a statement if it is newer; returns whether it was.

        A statement no newer than the last one of a removed daemon is ignored.

        Args:
            statement: A daemon's statement.
            source: Where it came from, for the log.
        """
        name = statement.daemon
        if name == self._own:
            return False
        known = self._statements.get(name)
        if known is not None and known.order >= statement.order:
            return False
        if statement.order <= self._removed.get(name, (0, 0)):
            return False
        if statement.departed:
            departure = Departure(statement.born_ms, statement.instance)
            self.note_departure(name, departure)
        self._statements[name] = self._correct(statement)
        self._changes += 1
        self._learned_log.note(statement, source)
        for listener in self._listeners:
            listener(statement)
        return True

    def departure(self, daemon: str) -> Departure | None:
        """Returns the newest known departure at a daemon, if there was any."""
        return self._departures.get(daemon)

    def note_departure(self, daemon: str, departure: Departure) -> None:
        """Notes that a backend server has left, whatever its daemon states.

        The daemon may have restarted and not know it.
        """
        known = self._departures.get(daemon)
        if known is not None and (
            known == departure or known.born_ms > departure.born_ms
        ):
            return
        self._departures[daemon] = departure
        statement = self._statements.get(daemon)
        if statement is not None:
            self._statements[daemon] = self._correct(statement)
            self._changes += 1

    def _correct(self, statement: frames.Statement) -> frames.Statement:
        """Returns a statement in which no departed backend server is ready."""
        departure = self._departures.get(statement.daemon)
        if departure is None or statement.state != READY:
            return statement
        stated = Departure(statement.born_ms, statement.instance)
        if stated == departure or stated.born_ms < departure.born_ms:
            return msgspec.structs.replace(statement, state=DRAINING)
        return statement

    def note_listed(self) -> None:
        """Notes that the store's listing of daemons has arrived."""
        self._listed = True

    def remove(self, name: str, source: str) -> None:
        """Removes a daemon that has left the fleet.

        Args:
            name: The daemon's name.
            source: Where the removal was learned, for the log.
        """
        statement = self._statements.pop(name, None)
        if statement is None:
            return
        self._removed[name] = statement.order
        self._learned_log.forget(name)
        self._changes += 1
        _log.info("daemon_removed", peer=name, source=source)

    def _index_if_changed(self) -> None:
        """Indexes once for all changes, as a listing brings many."""
        if self._indexed_changes == self._changes:
            return
        self._indexed_changes = self._changes
        index: dict[str, list[frames.Statement]] = {}
        for statement in self._statements.values():
            index.setdefault(statement.service, []).append(statement)
        self._by_service = index
        self._names = sorted(self._statements)


def create_directory(
    own: str, learned_log: learnedlog.LearnedLog | None = None
) -> Directory:
    """Returns an empty directory.

    Args:
        own: Name of its daemon.
        learned_log: Is told of each statement; a new one by default.
    """
    if learned_log is None:
        learned_log = learnedlog.create_learned_log(timers.SystemClock())
    return Directory(own, learned_log)
