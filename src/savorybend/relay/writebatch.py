"""Batches the writes that one event causes, and flushes them when it ends.

Several messages to one peer then cost one system call. None of them waits for
another iteration of the event loop, which would itself cost one more.
"""

import asyncio
import collections.abc

Flush = collections.abc.Callable[[], None]


class WriteBatch:
    """The writes deferred while an event is handled."""

    __slots__ = ("_depth", "_flushes")

    def __init__(self):
        self._depth = 0
        self._flushes: list[Flush] = []

    def begin(self) -> None:
        """Marks the start of an event; events may nest."""
        self._depth += 1

    def end(self) -> None:
        """Marks the end of an event; flushes if it was the outermost."""
        self._depth -= 1
        if self._depth == 0 and self._flushes:
            self._run()

    def defer(self, flush: Flush) -> None:
        """Calls `flush` at the event's end, or in the loop's next iteration."""
        if not self._flushes and self._depth == 0:
            asyncio.get_running_loop().call_soon(self._run)
        self._flushes.append(flush)

    def _run(self) -> None:
        flushes, self._flushes = self._flushes, []
        for flush in flushes:
            flush()


# A process runs one event loop, which handles one event at a time.
CURRENT = WriteBatch()
