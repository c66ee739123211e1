"""Graceful shutdown: stop accepting calls, then drain calls in progress."""

import asyncio
import collections.abc
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
_POLL_INTERVAL_S = 0.05
# Calls accepted later than this might not end within the grace period.
_ACCEPTS_CALLS_S = 3.0
# The shutdown ends this long before the platform kills the daemon: calls still
# in progress then would be lost in any case.
_EXIT_MARGIN_S = 0.8

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """Dependencies of `Shutdown`.

    Attributes:
        callers: The connections of callers.
        busy: Returns the number of calls in progress.
        withdraw: Tells the other daemons that no more calls are accepted.
        clock: The source of time.
        grace_s: Grace period until the daemon is killed, in seconds.
    """

    callers: callers.CallerServer
    busy: collections.abc.Callable[[], int]
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
        if not self.begun:
            return True
        return self._elapsed_s() < _ACCEPTS_CALLS_S

    @property
    def serves_peers(self) -> bool:
        """Whether calls from other daemons are still accepted."""
        return not self.begun or self._elapsed_s() < _SERVES_PEERS_S

    def begin(self) -> None:
        """Begins the shutdown."""
        self._started_s = self._parts.clock.now_s()
        self._parts.callers.start_closing()
        self._requested.set()
        _log.info("daemon_leaving", busy=self._parts.busy())

    async def wait(self) -> None:
        """Waits until no call is in progress or the grace period runs out."""
        await self._requested.wait()
        while self.serves_peers:
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._parts.withdraw()
        while not self._is_over():
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._parts.callers.close_idle()

    def _is_over(self) -> bool:
        elapsed_s = self._elapsed_s()
        if elapsed_s >= self._parts.grace_s - _EXIT_MARGIN_S:
            return True
        return elapsed_s >= _MIN_DURATION_S and self._parts.busy() == 0

    def _elapsed_s(self) -> float:
        return self._parts.clock.now_s() - self._started_s


def create_shutdown(parts: Parts) -> Shutdown:
    """Returns a shutdown that has not been requested yet."""
    return Shutdown(parts)
