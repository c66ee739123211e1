"""HTTP/1.1 server for callers, with answers in the order of the requests.

Parsing is left to httptools. Callbacks are used in place of tasks, since a task
for each request takes more CPU time than all decisions about the request.
"""

import asyncio
import collections
import collections.abc
import itertools
import typing

import httptools
import structlog

from savorybend.internal import timers
from savorybend.relay import http1
from savorybend.relay import writebatch

# Connections examined for closing when a new one exceeds the limit.
_EVICTION_CANDIDATES = 8
_EVICTION_IDLE_S = 0.3
# Pipelined requests that one connection may have under way.
_MAX_PIPELINED = 32
_BAD_REQUEST = 400
_MAX_CONNECTIONS = 1000
_PAYLOAD_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431

_log = structlog.get_logger()


class RequestLimits(typing.Protocol):
    """Limits on callers' requests, as currently in force."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Exchange:
    """A request of a caller, and its answer.

    Attributes:
        method: The HTTP method.
        target: Path and query, as sent.
        headers: Names in lower case, and values.
        body: The complete body.
        on_disconnect: Called if the caller disconnects before the answer.
        on_shutdown: Called if the daemon ends before the answer; gives one.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "on_disconnect",
        "on_shutdown",
        "_connection",
        "_keep",
        "_answer",
    )

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection
        self._answer: bytes | None = None
        self._keep = True
        self.method = b""
        self.target = b""
        self.headers: http1.Headers = []
        self.body = b""
        self.on_disconnect: collections.abc.Callable[[], None] | None = None
        self.on_shutdown: collections.abc.Callable[[], None] | None = None

    @property
    def answered(self) -> bool:
        """Whether the request has been answered."""
        return self._answer is not None

    @property
    def keep(self) -> bool:
        """Whether the connection stays open after the answer."""
        return self._keep

    @property
    def answer(self) -> bytes | None:
        """The bytes of the answer; None before it is given."""
        return self._answer

    def reply(self, status: int, head: bytes, body: bytes) -> None:
        """Answers the request; a second answer is ignored.

        Args:
            status: The HTTP status.
            head: Header lines, without those of the framing.
            body: The complete body.
        """
        if self._answer is not None:
            return
        close = b"" if self._keep and not self._connection.closing else _CLOSE
        self._keep = not close
        self.on_disconnect = None
        self.on_shutdown = None
        self._answer = b"%s%sContent-Length: %d\r\n%s\r\n%s" % (
            http1.status_line(status),
            head,
            len(body),
            close,
            body,
        )
        self._connection.flush()

    def close_after_reply(self) -> None:
        """Closes the connection after this answer."""
        self._keep = False


_CLOSE = b"Connection: close\r\n"

Handler = collections.abc.Callable[[Exchange], None]


class CallerServer:
    """Serves the connections of callers at one listener."""

    def __init__(
        self,
        handler: Handler,
        clock: timers.Clock,
        bounds: RequestLimits,
        max_connections: int = _MAX_CONNECTIONS,
    ):
        # Ordered by their last request, the least recent first.
        self._connections: dict[CallerConnection, None] = {}
        self._max_connections = max_connections
        self._closing = False
        self.handler = handler
        self.clock = clock
        self.bounds = bounds

    @property
    def closing(self) -> bool:
        """Whether each connection is closed after its next answer.

        That is also so while there are too many connections: without free
        descriptors no caller is accepted and no backend server is reached.
        """
        return self._closing or len(self._connections) > self._max_connections

    @property
    def busy(self) -> int:
        """Number of requests that wait for an answer."""
        return sum(one.pending for one in self._connections)

    @property
    def writing(self) -> int:
        """Number of connections whose caller hasn't taken all answers."""
        return sum(one.writing for one in self._connections)

    def create(self) -> "CallerConnection":
        """Returns the protocol for a new connection."""
        return CallerConnection(self)

    def add(self, connection: "CallerConnection") -> None:
        """Adds a new connection; above the limit, closes idle ones."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            self._close_some_idle()

    def mark_used(self, connection: "CallerConnection") -> None:
        """Records that a request arrived on a connection."""
        if self._connections.pop(connection, self) is None:
            self._connections[connection] = None

    def discard(self, connection: "CallerConnection") -> None:
        """Removes a closed connection."""
        self._connections.pop(connection, None)

    def start_closing(self) -> None:
        """Closes each connection after its next answer from now on."""
        self._closing = True

    def end_requests(self) -> None:
        """Answers all requests that still wait for an answer."""
        for connection in list(self._connections):
            connection.end_requests()

    def close_idle(self) -> None:
        """Closes the connections without a request under way."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def sweep(self) -> None:
        """Closes connections that are idle or send too slowly."""
        now_s = self.clock.now_s()
        for connection in list(self._connections):
            connection.sweep(now_s)

    def _close_some_idle(self) -> None:
        now_s = self.clock.now_s()
        for connection in list(
            itertools.islice(self._connections, _EVICTION_CANDIDATES)
        ):
            if connection.idle_s(now_s) > _EVICTION_IDLE_S:
                connection.close_if_idle()


class CallerConnection(asyncio.Protocol):
    """A caller's connection; answers are sent in the order of requests."""

    def __init__(self, callers: CallerServer):
        self._callers = callers
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[Exchange] = collections.deque()
        self._current: Exchange | None = None
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._last_activity_s = 0.0
        self._refused = False

    @property
    def pending(self) -> int:
        """Number of requests that wait for an answer."""
        return len(self._queue)

    @property
    def writing(self) -> bool:
        """Whether bytes of answers wait to be written."""
        return self._transport.get_write_buffer_size() > 0

    @property
    def closing(self) -> bool:
        """Whether the connection is closed after its next answer."""
        return self._callers.closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers the connection."""
        self._transport = transport
        self._last_activity_s = self._callers.clock.now_s()
        self._callers.add(self)

    def data_received(self, data: bytes) -> None:
        """Parses received data; passes complete requests to the handler."""
        if self._refused:
            return
        writebatch.CURRENT.begin()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            # A mistake of this program. The request may have been passed on,
            # so no status is true.
            _log.exception("request_handler_failed")
            self._transport.abort()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(_BAD_REQUEST)
        finally:
            writebatch.CURRENT.end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies pending requests that their caller has disconnected."""
        self._callers.discard(self)
        waiting, self._queue = self._queue, collections.deque()
        for exchange in waiting:
            if not exchange.answered and exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._current = Exchange(self)
        self._callers.mark_used(self)
        self._body = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._last_activity_s = self._callers.clock.now_s()

    def on_url(self, part: bytes) -> None:
        """Collects a part of the target; refuses it above the header limit."""
        self._header_bytes += len(part)
        if self._header_bytes > self._callers.bounds.header_bytes:
            self._refuse(_HEADERS_TOO_LARGE)
            return
        self._current.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; refuses the request above the header limit."""
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._callers.bounds.header_bytes:
            self._refuse(_HEADERS_TOO_LARGE)
            return
        self._current.headers.append((name.lower(), value))

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body; refuses the request above the limit."""
        self._body_bytes += len(part)
        if self._body_bytes > self._callers.bounds.body_bytes:
            self._refuse(_PAYLOAD_TOO_LARGE)
            return
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Passes a complete request to the handler."""
        if self._refused:
            return
        exchange = self._current
        self._current = None
        exchange.method = self._parser.get_method()
        exchange.body = b"".join(self._body)
        self._body = []
        if not self._parser.should_keep_alive():
            exchange.close_after_reply()
        self._queue.append(exchange)
        if len(self._queue) >= _MAX_PIPELINED:
            self._transport.pause_reading()
        self._callers.handler(exchange)

    def flush(self) -> None:
        """Writes the answers that are next in order."""
        queue = self._queue
        while queue and queue[0].answered:
            exchange = queue.popleft()
            if self._transport.is_closing():
                continue
            self._transport.write(exchange.answer)
            if not exchange.keep:
                # Pipelined requests after it count as unread and are resent.
                self._transport.close()
        self._last_activity_s = self._callers.clock.now_s()
        if len(queue) < _MAX_PIPELINED and not self._transport.is_closing():
            self._transport.resume_reading()

    def end_requests(self) -> None:
        """Answers the requests that still wait for an answer."""
        for exchange in list(self._queue):
            if not exchange.answered and exchange.on_shutdown is not None:
                exchange.on_shutdown()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is under way."""
        if not self._queue and self._current is None:
            self._transport.close()

    def idle_s(self, now_s: float) -> float:
        """Returns how long no request has been under way, in seconds."""
        if self._queue or self._current is not None:
            return 0.0
        return now_s - self._last_activity_s

    def sweep(self, now_s: float) -> None:
        """Closes the connection if it is idle or sends too slowly."""
        if self._queue:
            return
        bounds = self._callers.bounds
        waited_s = now_s - self._last_activity_s
        if self._current is None:
            if waited_s > bounds.idle_timeout_s:
                self._transport.close()
        elif not self._body_bytes and waited_s > bounds.header_timeout_s:
            self._transport.close()

    def _refuse(self, status: int) -> None:
        if self._refused:
            return
        self._refused = True
        exchange = Exchange(self)
        exchange.close_after_reply()
        self._queue.append(exchange)
        exchange.reply(status, b"", b"")
