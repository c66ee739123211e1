"""Detects that the backend server is lost or reachable again."""

import collections.abc

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import backgroundtasks
from savorybend.relay import directory
from savorybend.relay import pool

# The backend server counts as lost if it sends no response for this long while
# requests are in progress and its next announcement is overdue.
_RESPONSE_TIMEOUT_S = 1.2


class Watchdog:
    """Detects that the backend server is lost or reachable again."""

    def __init__(
        self,
        server: backend.BackendServer,
        connections: pool.Pool,
        clock: timers.Clock,
        start: backgroundtasks.Start,
    ):
        self._server = server
        self._pool = connections
        self._clock = clock
        self._start = start
        self._probing = False

    def tick(self, running: int) -> None:
        """Updates the state; called a few times a second.

        Args:
            running: Number of requests that the backend server is processing.
        """
        self._pool.sweep()
        if self._server.state == directory.LOST:
            self._probe()
            return
        silent_s = self._clock.now_s() - self._pool.last_answer_s
        if running and silent_s > _RESPONSE_TIMEOUT_S and self._server.overdue:
            self._pool.close_idle()
            self._server.lose("no response and no announcement")

    def check(self, callback: collections.abc.Callable[[bool], None]) -> None:
        """Probes the backend server and marks it lost if it can't be reached.

        Args:
            callback: Called with whether it accepts a connection.
        """
        self._start(self._check(callback))

    def _probe(self) -> None:
        # While announcements are overdue, an accepted connection is no proof
        # of recovery: a hung server accepts connections without responding.
        if self._probing or self._server.overdue:
            return
        self._probing = True
        self._start(self._probe_once())

    async def _probe_once(self) -> None:
        try:
            reached = await self._pool.probe()
        finally:
            self._probing = False
        if reached:
            self._server.regain()

    async def _check(
        self, callback: collections.abc.Callable[[bool], None]
    ) -> None:
        alive = await self._pool.probe()
        if not alive:
            self._pool.close_idle()
            self._server.lose("connection broke and reconnecting failed")
        callback(alive)
