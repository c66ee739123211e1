"""Finds the requests that a crashed backend server was running.

A crash doesn't always break the connections, the caller may have left before,
and the next start may accept connections before the loss is noticed. Requests
without an answer are therefore kept until it is known what became of the
backend server's incarnation that had them.
"""

import collections.abc

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import contents
from savorybend.relay import directory
from savorybend.relay import suspicion

# A request that ended without an answer can be blamed for this long.
_BLAMED_FOR_S = 10.0
_MAX_ENDED = 256

_LEAVING = (directory.DRAINING, directory.ABSENT)


class SentRequest:
    """A request that was sent to the backend server.

    Attributes:
        request: The request.
        incarnation: The incarnation that it was sent to.
        ended_s: When it ended without an answer; None if it hasn't.
    """

    __slots__ = ("request", "incarnation", "ended_s")

    def __init__(self, request: contents.Request, incarnation: "Incarnation"):
        self.request = request
        self.incarnation = incarnation
        self.ended_s: float | None = None


class Incarnation:
    """One start of the backend server, as far as this daemon can tell.

    Attributes:
        instance: Its ID.
        born_ms: When it started, Unix time in milliseconds; 0 if not stated.
        leaving: Whether its end was announced.
        crash: ID of the crash that ended it; None while none is known.
        unanswered: Requests sent to it that got no answer.
    """

    __slots__ = ("instance", "born_ms", "leaving", "crash", "unanswered")

    def __init__(self, instance: str, born_ms: int):
        self.instance = instance
        self.born_ms = born_ms
        self.leaving = False
        self.crash: str | None = None
        self.unanswered: set[SentRequest] = set()


# Called with a request, the ID of the crash that is blamed on it, and the
# backend server's ID.
OnCrash = collections.abc.Callable[[contents.Request, str, str], None]


class Crashes:
    """Unanswered requests by incarnation of the backend server."""

    def __init__(self, clock: timers.Clock, on_crash: OnCrash):
        self._clock = clock
        self._on_crash = on_crash
        self._current = Incarnation("", 0)

    def begin(self, request: contents.Request) -> SentRequest:
        """Notes that a request is sent to the current incarnation."""
        sent = SentRequest(request, self._current)
        self._current.unanswered.add(sent)
        return sent

    def note_answer(self, sent: SentRequest) -> None:
        """Notes that a request was answered, so that it isn't blamed."""
        sent.incarnation.unanswered.discard(sent)

    def note_end(self, sent: SentRequest) -> None:
        """Notes that a request was lost or given up before its answer."""
        sent.ended_s = self._clock.now_s()
        sent.request.release_body()
        incarnation = sent.incarnation
        if incarnation.crash is not None:
            incarnation.unanswered.discard(sent)
            self._on_crash(
                sent.request, incarnation.crash, incarnation.instance
            )

    def note_gone(self, incarnation: Incarnation) -> None:
        """Notes that an incarnation crashed; blames its requests."""
        if incarnation.crash is None:
            incarnation.crash = suspicion.create_id()
        blamed, incarnation.unanswered = incarnation.unanswered, set()
        for sent in blamed:
            self._on_crash(
                sent.request, incarnation.crash, incarnation.instance
            )

    def on_server_change(self, server: backend.BackendServer) -> None:
        """Applies a new state of the backend server."""
        announced = server.current
        if announced is None:
            return
        previous = self._current
        same = (previous.instance, previous.born_ms) == (
            announced.instance,
            announced.born_ms,
        )
        # One that is back after a crash may be as before in all it announces.
        if not same or (previous.crash is not None and server.takes_calls):
            self._current = Incarnation(announced.instance, announced.born_ms)
        if not same and not previous.leaving:
            self.note_gone(previous)
        self._current.leaving = server.state in _LEAVING

    def sweep(self) -> None:
        """Forgets requests that ended too long ago to be blamed."""
        unanswered = self._current.unanswered
        oldest_s = self._clock.now_s() - _BLAMED_FOR_S
        ended = [one for one in unanswered if one.ended_s is not None]
        ended.sort(key=lambda sent: sent.ended_s, reverse=True)
        for index, sent in enumerate(ended):
            if index >= _MAX_ENDED or sent.ended_s < oldest_s:
                unanswered.discard(sent)


def create_crashes(clock: timers.Clock, on_crash: OnCrash) -> Crashes:
    """Returns an object without requests."""
    return Crashes(clock, on_crash)
