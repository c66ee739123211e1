"""Non-blocking logs on standard output, bounded in memory and rate."""

import collections
import logging
import os
import sys

import structlog

# Buffer for a stalled reader; lines beyond it are dropped.
_MAX_BUFFER_BYTES = 1 << 20
# Lines about single requests beyond this rate are only counted.
_MAX_REQUEST_LINES_PER_S = 200
_WRITE_BYTES = 1 << 16
# Their number grows with the number of requests, so these are left out first.
_REQUEST_EVENTS = frozenset(
    {
        "answer_after_surplus",
        "answer_garbled",
        "answer_passed_over",
        "call_answered_elsewhere",
        "call_failed",
        "call_refused",
        "call_sent_elsewhere",
        "call_turned_away",
        "outcome_passed_over",
    }
)


class Sink:
    """Buffers lines, and writes them as far as the reader accepts them."""

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._dropped = 0
        self._left_out = 0
        self._allowed = _MAX_REQUEST_LINES_PER_S

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes."""
        return self._bytes

    @property
    def dropped(self) -> int:
        """Lines dropped since the last report of them."""
        return self._dropped

    def __call__(self, *args: object) -> "Sink":
        """Returns itself, to serve as structlog's logger factory."""
        return self

    def limit_rate(self, logger: object, name: str, event: dict) -> dict:
        """Drops events about requests beyond the limit per second.

        Raises:
            structlog.DropEvent: The event is over the limit.
        """
        if event.get("event") in _REQUEST_EVENTS:
            if self._allowed <= 0:
                self._left_out += 1
                raise structlog.DropEvent
            self._allowed -= 1
        return event

    def msg(self, line: str) -> None:
        """Buffers a line, or drops it if the buffer is full."""
        data = line.encode(errors="replace") + b"\n"
        if self._bytes + len(data) > _MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._lines.append(data)
        self._bytes += len(data)

    log = debug = info = warning = error = critical = exception = msg

    def start_interval(self) -> None:
        """Starts the next one-second interval; reports lines left out."""
        self._allowed = _MAX_REQUEST_LINES_PER_S
        if self._left_out or self._dropped:
            left_out, self._left_out = self._left_out, 0
            dropped, self._dropped = self._dropped, 0
            structlog.get_logger().info(
                "lines_left_out", over_rate=left_out, reader_stalled=dropped
            )
        self.flush()

    def flush(self) -> None:
        """Writes as much as the reader accepts."""
        while self._lines:
            data = self._next()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone; the daemon continues without logs.
                self._dropped += len(self._lines)
                self._lines.clear()
                self._bytes = 0
                return
            self._bytes -= written
            if written < len(data):
                self._lines.appendleft(data[written:])
                return

    def _next(self) -> bytes:
        parts = [self._lines.popleft()]
        size = len(parts[0])
        while self._lines and size < _WRITE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        return b"".join(parts)


def configure(daemon: str) -> Sink:
    """Configures structlog for standard output; returns the sink.

    Args:
        daemon: The daemon's name, included in every line.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    sink = Sink(descriptor)
    structlog.configure(
        processors=[
            sink.limit_rate,
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"],
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=sink,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(daemon=daemon)
    return sink
