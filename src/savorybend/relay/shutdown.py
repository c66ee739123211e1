"""Graceful shutdown: stop accepting calls, then drain calls in progress.

All limits follow from the grace period, after which the platform kills the
daemon: calls that enter meanwhile end by `work_ends_s`; whoever has no answer
at the answer limit gets one then; the daemon ends once all answers are written,
or shortly before it would be killed.
"""

import asyncio
import collections.abc
import math
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import callers

# Least duration of a shutdown. The platform checks readiness once a second and
# redirects callers after two failed checks.
_MIN_DURATION_S = 2.6
# For this long, other daemons may go on using the backend server, which still
# works. Otherwise a rolling restart of the daemons could leave a service of a
# few backend servers without any.
_SERVES_PEERS_S = 2.0
# By then the platform has redirected callers.
_ACCEPTS_CALLS_S = 3.0
# Both of these end after this part of a short grace period at the latest.
_MAX_ACCEPTING_FRACTION = 0.5
_POLL_INTERVAL_S = 0.05
# How long before the kill calls must have ended, so that the answers of the
# backend servers, 504 among them, arrive before the answer limit.
_WORK_MARGIN_S = 1.1
# How long before the kill the remaining calls are answered without them.
_ANSWER_MARGIN_S = 0.8
# How long before the kill the daemon ends, though answers aren't all written.
_EXIT_MARGIN_S = 0.3
# Shortest grace period in which the margins fit as they are.
_USUAL_GRACE_S = 4.0

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `Shutdown`.

    Attributes:
        callers: The connections of callers.
        busy: Returns the number of calls in progress.
        writing: Returns the number of connections with answers to write.
        withdraw: Tells the other daemons that no more calls are accepted.
        clock: The source of time.
        grace_s: Grace period until the daemon is killed, in seconds.
    """

    callers: callers.CallerServer
    busy: collections.abc.Callable[[], int]
    writing: collections.abc.Callable[[], int]
    withdraw: collections.abc.Callable[[], None]
    clock: timers.Clock
    grace_s: float


class Shutdown:
    """Waits for a shutdown request, then until the shutdown is over."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._requested = asyncio.Event()
        self._started_s = 0.0

    @property
    def begun(self) -> bool:
        """Whether a shutdown was requested."""
        return self._requested.is_set()

    @property
    def takes_calls(self) -> bool:
        """Whether new calls from callers are still accepted."""
        return self._accepts(_ACCEPTS_CALLS_S)

    @property
    def serves_peers(self) -> bool:
        """Whether calls from other daemons are still accepted."""
        return self._accepts(_SERVES_PEERS_S)

    @property
    def work_ends_s(self) -> float:
        """When all calls must have ended; infinite before a shutdown.

        Unit: seconds of the clock.
        """
        if not self.begun:
            return math.inf
        return self._before_kill_s(_WORK_MARGIN_S)

    def begin(self) -> None:
        """Begins the shutdown."""
        self._started_s = self._parts.clock.now_s()
        self._parts.callers.start_closing()
        self._requested.set()
        _log.info("daemon_leaving", busy=self._parts.busy())

    async def wait(self) -> None:
        """Waits until all calls are answered or the grace period runs out."""
        await self._requested.wait()
        while self.serves_peers:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._parts.withdraw()
        while not self._is_over():
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._parts.callers.end_requests()
        self._parts.callers.close_idle()
        await self._write_answers()

    async def _write_answers(self) -> None:
        """Waits until all answers are written or the kill is near."""
        ends_s = self._before_kill_s(_EXIT_MARGIN_S)
        while self._parts.writing():
            left_s = ends_s - self._parts.clock.now_s()
            if left_s <= 0:
                break
            await asyncio.sleep(min(_POLL_INTERVAL_S, left_s))

    def _is_over(self) -> bool:
        now_s = self._parts.clock.now_s()
        if now_s >= self._before_kill_s(_ANSWER_MARGIN_S):
            return True
        ended = self._parts.busy() == 0 and self._parts.writing() == 0
        return ended and now_s - self._started_s >= _MIN_DURATION_S

    def _accepts(self, usual_s: float) -> bool:
        """Returns whether a time since the shutdown's start isn't over."""
        if not self.begun:
            return True
        limit_s = min(usual_s, self._parts.grace_s * _MAX_ACCEPTING_FRACTION)
        return self._parts.clock.now_s() - self._started_s < limit_s

    def _before_kill_s(self, margin_s: float) -> float:
        """Returns the time that precedes the kill by a margin."""
        grace_s = self._parts.grace_s
        margin_s *= min(1.0, grace_s / _USUAL_GRACE_S)
        return self._started_s + grace_s - margin_s


def create_shutdown(parts: Parts) -> Shutdown:
    """Returns a shutdown that has not been requested yet."""
    return Shutdown(parts)
