"""The end of a daemon: nothing new, what is under way ends, then the end."""

import asyncio
import collections.abc
import typing

import structlog

from savorybend.internal import timers
from savorybend.relay import callers

# The platform asks once a second whether a daemon is ready, and sends callers
# elsewhere after two refusals.
_NOTICED_S = 2.6
# Until its own callers have gone, other daemons may go on using the backend
# server beside it: it works all the while, and where daemons are stopped in
# turn, a service of a few backend servers would have none left otherwise.
_SERVES_S = 2.0
_STEP_S = 0.05
# What is taken later than this might not end within the grace.
_TAKES_S = 3.0
# What is still under way so long before the daemon is killed is lost anyway.
_RESERVE_S = 0.8

_log = structlog.get_logger()


class Parts(typing.NamedTuple):
    """What a leave is made of.

    Attributes:
        callers: The connections of callers.
        busy: Returns how many calls are under way.
        withdraw: Tells the other daemons that no more calls are taken.
        clock: The time.
        grace_s: How long it may take, in seconds.
    """

    callers: callers.Callers
    busy: collections.abc.Callable[[], int]
    withdraw: collections.abc.Callable[[], None]
    clock: timers.Clock
    grace_s: float


class Shutdown:
    """Waits for the stop to be asked for, then until it is over."""

    def __init__(self, parts: Parts):
        self._parts = parts
        self._asked = asyncio.Event()
        self._began_s = 0.0

    @property
    def begun(self) -> bool:
        """Whether a stop was asked for."""
        return self._asked.is_set()

    @property
    def takes_calls(self) -> bool:
        """Whether a call may still begin here."""
        if not self.begun:
            return True
        return self._passed_s() < _TAKES_S

    @property
    def serves_peers(self) -> bool:
        """Whether other daemons may still use the backend server here."""
        return not self.begun or self._passed_s() < _SERVES_S

    def begin(self) -> None:
        """Asks for the stop."""
        self._began_s = self._parts.clock.now_s()
        self._parts.callers.start_closing()
        self._asked.set()
        _log.info("daemon_leaving", busy=self._parts.busy())

    async def wait(self) -> None:
        """Returns when nothing is under way any more, or time is over."""
        await self._asked.wait()
        while self.serves_peers:
            await asyncio.sleep(_STEP_S)
        self._parts.withdraw()
        while not self._over():
            await asyncio.sleep(_STEP_S)
        self._parts.callers.close_idle()

    def _over(self) -> bool:
        passed_s = self._passed_s()
        if passed_s >= self._parts.grace_s - _RESERVE_S:
            return True
        return passed_s >= _NOTICED_S and self._parts.busy() == 0

    def _passed_s(self) -> float:
        return self._parts.clock.now_s() - self._began_s


def create_shutdown(parts: Parts) -> Shutdown:
    """Returns a leave that wasn't asked for yet."""
    return Shutdown(parts)
