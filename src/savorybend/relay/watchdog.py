"""Finds out that a backend server is lost, and that it is back."""

import asyncio
import collections.abc

from savorybend.internal import timers
from savorybend.relay import backend
from savorybend.relay import directory
from savorybend.relay import pool

# Without an answer for so long, though requests are under way, and with the
# next announcement overdue, it is taken for lost.
_SILENT_S = 1.2


class Watchdog:
    """Finds out that a backend server is lost, and that it is back."""

    def __init__(
        self,
        server: backend.BackendServer,
        connections: pool.Pool,
        clock: timers.Clock,
        tasks: set,
    ):
        self._server = server
        self._pool = connections
        self._clock = clock
        self._tasks = tasks
        self._probing = False

    def tick(self, running: int) -> None:
        """Looks after it; called a few times a second.

        Args:
            running: Requests that it works on.
        """
        self._pool.sweep()
        if self._server.state == directory.LOST:
            self._probe()
            return
        silent_s = self._clock.now_s() - self._pool.answered_s
        if running and silent_s > _SILENT_S and self._server.overdue:
            self._pool.close_idle()
            self._server.lose("no answer and no announcement")

    def check(self, callback: collections.abc.Callable[[bool], None]) -> None:
        """Finds out whether it is still there; a dead one is lost then.

        Args:
            callback: Gets whether it takes a connection.
        """
        self._start(self._check(callback))

    def _probe(self) -> None:
        # Where announcements are missing too, only the next one says that it
        # is back: a connection may be taken by what doesn't answer on it.
        if self._probing or self._server.overdue:
            return
        self._probing = True
        self._start(self._try())

    def _start(self, work: collections.abc.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _try(self) -> None:
        reached = await self._pool.probe()
        self._probing = False
        if reached:
            self._server.regain()

    async def _check(
        self, callback: collections.abc.Callable[[bool], None]
    ) -> None:
        alive = await self._pool.probe()
        if not alive:
            self._pool.close_idle()
            self._server.lose("a connection broke, and none is taken")
        callback(alive)
