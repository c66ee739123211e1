"""Gathers what one event has to send, and sends it when the event is over.

Several messages to one peer then cost one system call, and none of them waits
for another turn of the loop, which would cost one more by itself.
"""

import asyncio
import collections.abc

Flush = collections.abc.Callable[[], None]


class WriteBatch:
    """The event that is being handled."""

    __slots__ = ("_depth", "_flushes")

    def __init__(self):
        self._depth = 0
        self._flushes: list[Flush] = []

    def begin(self) -> None:
        """Notes that an event is being handled."""
        self._depth += 1

    def end(self) -> None:
        """Sends what was gathered, if this was the outermost event."""
        self._depth -= 1
        if self._depth == 0 and self._flushes:
            self._run()

    def defer(self, flush: Flush) -> None:
        """Calls `flush` when the event is over, or in the loop's next turn."""
        if not self._flushes and self._depth == 0:
            asyncio.get_running_loop().call_soon(self._run)
        self._flushes.append(flush)

    def _run(self) -> None:
        flushes, self._flushes = self._flushes, []
        for flush in flushes:
            flush()


# One loop runs in a process, and handles one event at a time.
CURRENT = WriteBatch()
