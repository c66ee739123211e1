"""Tasks that a daemon runs in the background."""

import asyncio
import collections.abc

import structlog

_log = structlog.get_logger()

Start = collections.abc.Callable[[collections.abc.Coroutine], None]


class BackgroundTasks:
    """Runs coroutines until they end; an error in one is logged."""

    def __init__(self):
        # The event loop has weak references only.
        self._tasks: set[asyncio.Task] = set()

    def start(self, work: collections.abc.Coroutine) -> None:
        """Starts a coroutine."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_end)

    def cancel(self) -> None:
        """Cancels all that haven't ended."""
        for task in list(self._tasks):
            task.cancel()

    def _on_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _log.error("task_failed", exc_info=task.exception())


def create_background_tasks() -> BackgroundTasks:
    """Returns background tasks of which none has been started."""
    return BackgroundTasks()
