"""What the backend server beside this daemon says of itself."""

import collections.abc
import typing

import structlog

from savorybend.internal import charts
from savorybend.internal import timers
from savorybend.relay import directory

_ANNOUNCEMENTS_MISSED = 2.0

_log = structlog.get_logger()


class Announcement(typing.NamedTuple):
    """What a backend server says of itself.

    Attributes:
        instance: Its ID.
        service: Its service.
        address: Where it listens, `HOST:PORT`.
        slots: Requests that it works on at once.
        draining: Whether it is leaving.
        born_ms: When it started, Unix time in milliseconds; 0 if not said.
        sequence: Rises with each announcement since it started.
        cold_s: How much longer it remains slow, in seconds.
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
    """What became of an announcement.

    Attributes:
        news: Whether others need to know.
        valid: Whether it is of the backend server beside this daemon.
    """

    news: bool
    valid: bool


class StoredState(typing.NamedTuple):
    """The last that was kept of the backend server, from an earlier start.

    Attributes:
        instance: Its ID; empty if there was none.
        service: Its service.
        slots: Requests that it works on at once.
        born_ms: When it started, Unix time in milliseconds.
        sequence: Of its last announcement.
        state: Its state.
    """

    instance: str
    service: str
    slots: int
    born_ms: int
    sequence: int
    state: str


class BackendServer:
    """Which backend server is beside this daemon, and whether it takes calls.

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
        self._known: StoredState | None = None
        self._announced_s = clock.now_s()

    @property
    def state(self) -> str:
        """The state of the chart."""
        return self._state

    @property
    def current(self) -> Announcement | None:
        """Its last announcement; None before the first."""
        return self._current

    @property
    def takes_calls(self) -> bool:
        """Whether calls may be given to it."""
        return self._state == directory.READY

    @property
    def overdue(self) -> bool:
        """Whether its next announcement is missing."""
        waited_s = self._clock.now_s() - self._announced_s
        return waited_s > _ANNOUNCEMENTS_MISSED * self._interval_s

    def restore(self, known: StoredState) -> None:
        """Takes what was kept before this daemon started.

        One that was ready is taken for ready until it says something else: it
        may have to be waited for, and each request names its instance.
        """
        if self._current is not None or not known.instance:
            return
        self._known = known
        if known.state not in (directory.READY, directory.LOST):
            return
        self._current = Announcement(
            instance=known.instance,
            service=known.service,
            address=self._address,
            slots=known.slots,
            draining=False,
            born_ms=known.born_ms,
            sequence=known.sequence,
            cold_s=0.0,
        )
        self._known = None
        self._step("announce")
        self._log_change("kept from before")
        self._on_change()

    def announce(self, said: Announcement) -> AnnouncementResult:
        """Takes an announcement."""
        if said.address != self._address:
            self._reject(said, "address isn't that of the one beside us")
            return AnnouncementResult(news=False, valid=False)
        if self._is_old(said):
            self._reject(said, "older than what is known")
            return AnnouncementResult(news=False, valid=True)
        before = (self._state, self._current and self._current.instance)
        slots = self._current.slots if self._current else 0
        self._current = said
        self._known = None
        self._announced_s = self._clock.now_s()
        self._step("drain" if said.draining else "announce")
        news = before != (self._state, said.instance) or slots != said.slots
        if news:
            self._log_change()
            self._on_change()
        return AnnouncementResult(news=news, valid=True)

    def withdraw(self, instance: str, born_ms: int) -> AnnouncementResult:
        """Notes that a backend server takes its leave."""
        current = self._current
        if current is None or current.instance != instance:
            known = self._known
            if known is not None and known.instance == instance:
                self._known = known._replace(state=directory.ABSENT)
            return AnnouncementResult(news=False, valid=True)
        if born_ms and born_ms < current.born_ms:
            return AnnouncementResult(news=False, valid=True)
        if self._state == directory.ABSENT:
            return AnnouncementResult(news=False, valid=True)
        self._step("withdraw")
        self._log_change()
        self._on_change()
        return AnnouncementResult(news=True, valid=True)

    def lose(self, reason: str) -> None:
        """Notes that it can't be reached, or isn't the one announced."""
        if self._state == directory.READY:
            self._step("lose")
            self._log_change(reason)
            self._on_change()

    def regain(self) -> None:
        """Notes that it can be reached again."""
        if self._state == directory.LOST:
            self._step("regain")
            self._log_change("reached again")
            self._on_change()

    def _is_old(self, said: Announcement) -> bool:
        current = self._current
        if current is None:
            return self._known is not None and self._is_older(said, self._known)
        if said.born_ms != current.born_ms:
            return said.born_ms < current.born_ms
        if said.instance != current.instance:
            return False
        if self._state == directory.ABSENT:
            # It has taken its leave for good.
            return True
        return said.sequence <= current.sequence

    def _is_older(self, said: Announcement, known: StoredState) -> bool:
        if said.born_ms != known.born_ms:
            return said.born_ms < known.born_ms
        if said.instance != known.instance:
            return False
        leaving = known.state in (directory.DRAINING, directory.ABSENT)
        return leaving and not said.draining

    def _step(self, trigger: str) -> None:
        self._state = self._chart.next_state(self._state, trigger)

    def _reject(self, said: Announcement, reason: str) -> None:
        _log.info(
            "announcement_passed_over",
            instance=said.instance,
            address=said.address,
            born_ms=said.born_ms,
            sequence=said.sequence,
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
