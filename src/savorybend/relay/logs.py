"""Logs on standard output that never block and stay bounded under load."""

import collections
import logging
import os
import sys

import structlog

# A reader that stalls costs memory up to this, and lines beyond it.
_MAX_BUFFER_BYTES = 1 << 20
# Decisions about single requests beyond so many a second are counted only.
_MAX_REQUEST_LINES_PER_S = 200
_WRITE_BYTES = 1 << 16
# Bounded by the number of requests, so these are what is left out first.
_REQUEST_EVENTS = frozenset(
    {"call_refused", "call_failed", "call_turned_away", "call_sent_elsewhere"}
)


class Sink:
    """Gathers lines, and writes them when the reader has room."""

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        self._dropped = 0
        self._left_out = 0
        self._allowed = _MAX_REQUEST_LINES_PER_S

    @property
    def pending_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return self._bytes

    @property
    def dropped(self) -> int:
        """Lines dropped since the last report of them."""
        return self._dropped

    def __call__(self, *args: object) -> "Sink":
        """Returns itself, as the logging library's factory of loggers."""
        return self

    def limit_rate(self, logger: object, name: str, event: dict) -> dict:
        """Leaves out lines about requests beyond what a second may have."""
        if event.get("event") in _REQUEST_EVENTS:
            if self._allowed <= 0:
                self._left_out += 1
                raise structlog.DropEvent
            self._allowed -= 1
        return event

    def msg(self, line: str) -> None:
        """Takes a line."""
        data = line.encode(errors="replace") + b"\n"
        if self._bytes + len(data) > _MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._lines.append(data)
        self._bytes += len(data)

    log = debug = info = warning = error = critical = exception = msg

    def start_interval(self) -> None:
        """Begins another second; called once in each."""
        self._allowed = _MAX_REQUEST_LINES_PER_S
        if self._left_out or self._dropped:
            left_out, self._left_out = self._left_out, 0
            dropped, self._dropped = self._dropped, 0
            structlog.get_logger().info(
                "lines_left_out", over_rate=left_out, reader_stalled=dropped
            )
        self.flush()

    def flush(self) -> None:
        """Writes what the reader has room for."""
        while self._lines:
            data = self._next()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; a daemon without logs still serves.
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
    """Sends every event to standard output; returns where they gather.

    Args:
        daemon: The daemon's name, which every line carries.
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
