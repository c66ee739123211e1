"""Finds the requests that a crashed backend server was running.

A crash doesn't always break the connections, the caller may have left before,
and the next start may accept connections before the loss is noticed. Requests
without an answer are therefore kept until it is known what became of the
backend server's incarnation that had them.
"""

import collections.abc
import secrets
import typing

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import directory

# A request that ended without an answer can be blamed for this long.
_BLAMED_FOR_S = 10.0
_MAX_ENDED = 256
_ID_BYTES = 8

_LEAVING = (directory.DRAINING, directory.ABSENT)


class Runs(typing.Protocol):
    """A request sent to the backend server."""

    number: int
    incarnation: "Incarnation"
    ended_s: float | None


class Incarnation:
    """One start of the backend server, as far as this daemon can tell.

    Attributes:
        identity: Its ID and when it started.
        leaving: Whether its end was announced.
        crash: ID of the crash that ended it; None while none is known.
        runs: Requests sent to it that got no answer, by number.
    """

    __slots__ = ("identity", "leaving", "crash", "runs")

    def __init__(self, identity: tuple[str, int]):
        self.identity = identity
        self.leaving = False
        self.crash: str | None = None
        self.runs: dict[int, Runs] = {}


OnCrash = collections.abc.Callable[[typing.Any, str], None]


class Crashes:
    """Unanswered requests by incarnation of the backend server."""

    def __init__(self, clock: timers.Clock, on_crash: OnCrash):
        self._clock = clock
        self._on_crash = on_crash
        self._current = Incarnation(("", 0))

    def begin(self, run: Runs) -> None:
        """Notes that a request is sent to the current incarnation."""
        run.incarnation = self._current
        run.ended_s = None
        self._current.runs[run.number] = run

    def note_answer(self, run: Runs) -> None:
        """Notes that a request was answered, so that it isn't blamed."""
        if run.incarnation is not None:
            run.incarnation.runs.pop(run.number, None)

    def note_end(self, run: Runs) -> None:
        """Notes that a request was lost or given up before its answer."""
        run.ended_s = self._clock.now_s()
        incarnation = run.incarnation
        if incarnation.crash is not None:
            incarnation.runs.pop(run.number, None)
            self._on_crash(run, incarnation.crash)

    def note_gone(self, incarnation: Incarnation) -> None:
        """Notes that an incarnation crashed; blames its requests."""
        if incarnation.crash is None:
            incarnation.crash = secrets.token_hex(_ID_BYTES)
        runs, incarnation.runs = incarnation.runs, {}
        for run in runs.values():
            self._on_crash(run, incarnation.crash)

    def on_server_change(self, server: backend.BackendServer) -> None:
        """Applies a new state of the backend server."""
        if server.current is None:
            return
        identity = (server.current.instance, server.current.born_ms)
        previous = self._current
        if previous.identity != identity:
            self._current = Incarnation(identity)
            if not previous.leaving:
                self.note_gone(previous)
        elif previous.crash is not None and server.takes_calls:
            # It has the ID of the one that crashed.
            self._current = Incarnation(identity)
        self._current.leaving = server.state in _LEAVING

    def sweep(self) -> None:
        """Forgets requests that ended too long ago to be blamed."""
        runs = self._current.runs
        oldest_s = self._clock.now_s() - _BLAMED_FOR_S
        ended = [one for one in runs.values() if one.ended_s is not None]
        ended.sort(key=lambda run: run.ended_s)
        excess = len(ended) - _MAX_ENDED
        for index, run in enumerate(ended):
            if index < excess or run.ended_s < oldest_s:
                del runs[run.number]


def create_crashes(clock: timers.Clock, on_crash: OnCrash) -> Crashes:
    """Returns an object without requests.

    Args:
        clock: The clock.
        on_crash: Called with each request that a crash is blamed on and the
            ID of the crash.
    """
    return Crashes(clock, on_crash)
