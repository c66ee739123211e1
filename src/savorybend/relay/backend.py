"""State of this daemon's backend server, from its announcements."""

import collections.abc
import typing

import structlog

from savorybend.internal import charts
from savorybend.internal import timers
from savorybend.relay import directory

_OVERDUE_INTERVALS = 2.0

_log = structlog.get_logger()


class Announcement(typing.NamedTuple):
    """An announcement by a backend server.

    Attributes:
        instance: ID of the backend server.
        service: The service that it provides.
        address: Its listening address, `HOST:PORT`.
        slots: Number of requests that it processes concurrently.
        draining: Whether it is shutting down.
        born_ms: When it started, Unix time in milliseconds; 0 if not stated.
        sequence: Increases with each announcement since it started.
        cold_s: Remaining warm-up time in which it is slow, in seconds.
    """

    instance: str
    service: str
    address: str
    slots: int
    draining: bool
    born_ms: int
    sequence: int
    cold_s: float


class AnnouncementResult(typing.NamedTuple):
    """The result of applying an announcement or a withdrawal.

    Attributes:
        changed: Whether it changed what this daemon publishes.
        valid: Whether it came from this daemon's backend server.
    """

    changed: bool
    valid: bool


class StoredState(typing.NamedTuple):
    """The backend server's state as stored by an earlier start of this daemon.

    Attributes:
        instance: ID of the backend server; empty if there was none.
        service: The service that it provides.
        slots: Number of requests that it processes concurrently.
        born_ms: When it started, Unix time in milliseconds.
        sequence: Sequence number of its last stored announcement.
        state: A state of the chart `announcement`.
    """

    instance: str
    service: str
    slots: int
    born_ms: int
    sequence: int
    state: str

    @property
    def in_service(self) -> bool:
        """Whether it was ready, or only out of reach."""
        return self.state in (directory.READY, directory.LOST)


class BackendServer:
    """Tracks this daemon's backend server and whether it accepts calls.

    The states are those of the chart `announcement`.
    """

    def __init__(
        self,
        address: str,
        interval_s: float,
        clock: timers.Clock,
        on_change: collections.abc.Callable[[], None],
    ):
        self._address = address
        self._interval_s = interval_s
        self._clock = clock
        self._on_change = on_change
        self._chart = charts.load("announcement")
        self._state = self._chart.initial
        self._current: Announcement | None = None
        self._restored: StoredState | None = None
        self._departed: tuple[str, int] | None = None
        self._last_announced_s = clock.now_s()

    @property
    def state(self) -> str:
        """The current state of the chart `announcement`."""
        return self._state

    @property
    def current(self) -> Announcement | None:
        """The last announcement, or the restored one; None without either."""
        return self._current

    @property
    def takes_calls(self) -> bool:
        """Whether it accepts calls."""
        return self._state == directory.READY

    @property
    def departed(self) -> bool:
        """Whether the current one has said that it leaves or is gone."""
        return self._departed is not None and self._departed == self.identity

    @property
    def overdue(self) -> bool:
        """Whether no announcement has arrived for too many intervals."""
        waited_s = self._clock.now_s() - self._last_announced_s
        return waited_s > _OVERDUE_INTERVALS * self._interval_s

    @property
    def identity(self) -> tuple[str, int] | None:
        """ID and start, in Unix milliseconds, of `current`; None without."""
        if self._current is None:
            return None
        return (self._current.instance, self._current.born_ms)

    @property
    def can_restore(self) -> bool:
        """Whether `restore` would take a backend server into service."""
        stored = self._restored
        if stored is None or not stored.in_service:
            return False
        return (stored.instance, stored.born_ms) != self._departed

    def remember(self, stored: StoredState) -> None:
        """Notes the state that an earlier start of this daemon stored.

        From then on announcements older than it are ignored, and a backend
        server that had left stays out of service.
        """
        if not stored.instance:
            return
        if self._current is None:
            self._restored = stored
        if not stored.in_service:
            identity = (stored.instance, stored.born_ms)
            self.depart(identity, "had left before this start")

    def restore(self) -> None:
        """Takes the remembered backend server back into service.

        It counts as ready until it announces otherwise, since its next
        announcement may take a while. This is safe because each request names
        the instance that it is meant for. Does nothing without `can_restore`:
        it has left, or a backend server has announced itself since the start.
        """
        if not self.can_restore:
            return
        stored = self._restored
        self._current = Announcement(
            instance=stored.instance,
            service=stored.service,
            address=self._address,
            slots=stored.slots,
            draining=False,
            born_ms=stored.born_ms,
            sequence=stored.sequence,
            cold_s=0.0,
        )
        self._restored = None
        self._apply_trigger("announce")
        self._log_change("restored from the store")
        self._on_change()

    def announce(self, announcement: Announcement) -> AnnouncementResult:
        """Applies an announcement unless it is invalid or outdated."""
        if announcement.address != self._address:
            self._log_rejection(
                announcement,
                "address is not that of this daemon's backend server",
            )
            return AnnouncementResult(changed=False, valid=False)
        if self._is_outdated(announcement):
            self._log_rejection(announcement, "older than the known state")
            return AnnouncementResult(changed=False, valid=True)
        identity = (announcement.instance, announcement.born_ms)
        if announcement.draining:
            self._note_departure(identity)
        elif identity == self._departed:
            # It isn't coming back: a late announcement, or it leaves without
            # saying so in its announcements.
            announcement = announcement._replace(draining=True)
        previous = (self._state, self.identity)
        slots = self._current.slots if self._current else 0
        self._current = announcement
        self._restored = None
        self._last_announced_s = self._clock.now_s()
        self._apply_trigger("drain" if announcement.draining else "announce")
        changed = (
            previous != (self._state, self.identity)
            or slots != announcement.slots
        )
        if changed:
            self._log_change()
            self._on_change()
        return AnnouncementResult(changed=changed, valid=True)

    def withdraw(self, instance: str, born_ms: int) -> AnnouncementResult:
        """Applies the withdrawal of a backend server.

        Args:
            instance: ID of the backend server.
            born_ms: When it started, Unix time in milliseconds; 0 if not
                stated.
        """
        current = self._current
        if current is None or current.instance != instance:
            if born_ms:
                self._note_departure((instance, born_ms))
            stored = self._restored
            if stored is not None and stored.instance == instance:
                self._restored = stored._replace(state=directory.ABSENT)
            return AnnouncementResult(changed=False, valid=True)
        if born_ms and born_ms < current.born_ms:
            return AnnouncementResult(changed=False, valid=True)
        if self._state == directory.ABSENT:
            return AnnouncementResult(changed=False, valid=True)
        self._note_departure(self.identity)
        self._apply_trigger("withdraw")
        self._log_change()
        self._on_change()
        return AnnouncementResult(changed=True, valid=True)

    def depart(self, identity: tuple[str, int], reason: str) -> None:
        """Takes a backend server out of service until another one announces.

        Args:
            identity: Its `identity`; others are out of service already.
            reason: How its departure became known, for the log.
        """
        self._note_departure(identity)
        if self.identity != identity:
            return
        if self._state in (directory.READY, directory.LOST):
            self._apply_trigger("drain")
            self._log_change(reason)
            self._on_change()

    def lose(self, reason: str) -> None:
        """Marks a ready backend server as lost.

        It is unreachable, or another instance than the announced one.
        """
        if self._state == directory.READY:
            self._apply_trigger("lose")
            self._log_change(reason)
            self._on_change()

    def regain(self) -> None:
        """Marks a lost backend server as reachable again."""
        if self._state == directory.LOST:
            self._apply_trigger("regain")
            self._log_change("reachable again")
            self._on_change()

    def _note_departure(self, identity: tuple[str, int]) -> None:
        _, born_ms = identity
        if self._departed is None or born_ms >= self._departed[1]:
            self._departed = identity

    def _is_outdated(self, announcement: Announcement) -> bool:
        current = self._current
        if current is None:
            return self._restored is not None and self._is_older_than_stored(
                announcement, self._restored
            )
        if announcement.born_ms != current.born_ms:
            return announcement.born_ms < current.born_ms
        if announcement.instance != current.instance:
            return False
        if self._state == directory.ABSENT:
            # A withdrawn instance doesn't come back.
            return True
        return announcement.sequence <= current.sequence

    def _is_older_than_stored(
        self, announcement: Announcement, stored: StoredState
    ) -> bool:
        if announcement.born_ms != stored.born_ms:
            return announcement.born_ms < stored.born_ms
        if announcement.instance != stored.instance:
            return False
        return not stored.in_service and not announcement.draining

    def _apply_trigger(self, trigger: str) -> None:
        self._state = self._chart.next_state(self._state, trigger)

    def _log_rejection(self, announcement: Announcement, reason: str) -> None:
        _log.info(
            "announcement_passed_over",
            instance=announcement.instance,
            address=announcement.address,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            reason=reason,
        )

    def _log_change(self, reason: str = "announced") -> None:
        _log.info(
            "backend_server_changed",
            state=self._state,
            instance=self._current.instance,
            sequence=self._current.sequence,
            slots=self._current.slots,
            reason=reason,
        )
