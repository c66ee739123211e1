"""The connection of one caller, with answers in the order of the requests.

Parsing is left to httptools. Callbacks are used in place of tasks, since a task
for each request takes more CPU time than all decisions about the request.
"""

import asyncio
import collections
import typing

import httptools
import structlog

from savorybend.internal import timers
from savorybend.relay import bytebudget
from savorybend.relay import exchanges
from savorybend.relay import pacedwriter
from savorybend.relay import requestbody
from savorybend.relay import writebatch

# Pipelined requests that one connection may have under way.
_MAX_PIPELINED = 32
_BAD_REQUEST = 400
_PAYLOAD_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
# Bytes that a head within its limit, which counts names and values only, may
# have as sent.
_MAX_RAW_RATIO = 4
# Bytes of framing that a chunked body may have for each byte of its own.
_MAX_FRAMING_RATIO = 8
# Longest wait for room for a body, and how many of one listener's may wait;
# each has some bytes already.
_MAX_ROOM_WAIT_S = 1.0
_MAX_WAITING = 16
# A caller that is still sending when it is answered might lose the answer with
# the connection. For this long, what it sends is read and dropped.
_LINGER_S = 10.0

_log = structlog.get_logger()


class RequestLimits(typing.Protocol):
    """Limits on callers' requests, as currently in force."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Server(typing.Protocol):
    """The listener that a connection came to.

    Attributes:
        handler: Handles requests.
        clock: The clock.
        bounds: Limits on requests.
        budget: Room for their bodies.
    """

    handler: exchanges.Handler
    clock: timers.Clock
    bounds: RequestLimits
    budget: bytebudget.Budget

    @property
    def closing(self) -> bool:
        """Whether each connection is closed after its next answer."""

    @property
    def waiting(self) -> int:
        """Number of requests that wait for room for their body."""

    def add(self, connection: "CallerConnection") -> None:
        """Adds a new connection."""

    def mark_used(self, connection: "CallerConnection") -> None:
        """Records that a request arrived on a connection."""

    def discard(self, connection: "CallerConnection") -> None:
        """Removes a closed connection."""


class _Position(typing.NamedTuple):
    """Where the parser is.

    Attributes:
        request: The request that is being read; None between two.
        in_head: Whether its head isn't complete.
        body_bytes: Bytes of its body so far.
    """

    request: exchanges.Exchange | None
    in_head: bool
    body_bytes: int


class CallerConnection(asyncio.Protocol):
    """A caller's connection; answers are sent in the order of requests."""

    def __init__(self, callers: Server):
        self._callers = callers
        self._transport: asyncio.Transport | None = None
        self._writer = pacedwriter.create_paced_writer()
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[exchanges.Exchange] = collections.deque()
        self._current: exchanges.Exchange | None = None
        self._body = requestbody.create_request_body(
            callers.budget, self._on_room
        )
        self._in_head = True
        self._header_bytes = 0
        # Bytes of this head as sent, and of the body's framing, as far as they
        # are known to be no others.
        self._raw_head_bytes = 0
        self._framing_bytes = 0
        self._last_activity_s = 0.0
        # No request is read any more; what arrives is dropped.
        self._refused = False
        self._lingers = False
        # Bytes of the refused body that are to come; None if it isn't known.
        self._to_drop_bytes: int | None = None
        # The last answer is written.
        self._ended = False
        self._ended_s = 0.0
        self._unsent_bytes = 0
        self._last_progress_s = 0.0

    @property
    def pending(self) -> int:
        """Number of requests that wait for an answer."""
        return len(self._queue)

    @property
    def waiting(self) -> bool:
        """Whether a request waits for room for its body."""
        return self._body.waiting

    @property
    def writing(self) -> bool:
        """Whether bytes of answers wait to be written."""
        return self._writer.unsent_bytes > 0

    @property
    def closing(self) -> bool:
        """Whether the connection is closed after its next answer."""
        return self._callers.closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers the connection."""
        self._transport = transport
        self._writer.attach(transport)
        self._last_activity_s = self._callers.clock.now_s()
        self._callers.add(self)

    def pause_writing(self) -> None:
        """Stops writing, and reads no requests whose answers would wait."""
        self._writer.pause()
        self._update_reading()

    def resume_writing(self) -> None:
        """Goes on writing and reading."""
        self._writer.resume()
        self._update_reading()

    def data_received(self, data: bytes) -> None:
        """Parses received data; passes complete requests to the handler."""
        if self._refused:
            self._drop(len(data))
            return
        before = self._position()
        writebatch.CURRENT.begin()
        try:
            self._parser.feed_data(data)
            self._check_size(before, len(data))
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
        self._writer.clear()
        self._drop_request()
        waiting, self._queue = self._queue, collections.deque()
        for exchange in waiting:
            if not exchange.answered and exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def on_message_begin(self) -> None:
        """Starts a new request."""
        if self._refused:
            return
        self._current = exchanges.Exchange(self)
        self._callers.mark_used(self)
        self._in_head = True
        self._header_bytes = 0
        self._raw_head_bytes = 0
        self._framing_bytes = 0
        self._last_activity_s = self._callers.clock.now_s()

    def on_url(self, part: bytes) -> None:
        """Collects a part of the target; refuses it above the header limit."""
        if self._refused:
            return
        self._header_bytes += len(part)
        if self._header_bytes > self._callers.bounds.header_bytes:
            self._refuse(_HEADERS_TOO_LARGE)
            return
        self._current.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; refuses the request above the header limit."""
        if self._refused:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._callers.bounds.header_bytes:
            self._refuse(_HEADERS_TOO_LARGE)
            return
        self._current.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Takes room for the body, or refuses it before it is read."""
        if self._refused:
            return
        self._in_head = False
        size = self._announced_bytes()
        if size > self._callers.bounds.body_bytes:
            self._refuse(_PAYLOAD_TOO_LARGE, lingers=True)
        else:
            self._reserve(size)

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body; refuses the request above the limit."""
        if self._refused:
            self._drop(len(part))
            return
        self._last_activity_s = self._callers.clock.now_s()
        size = self._body.size + len(part)
        if size > self._callers.bounds.body_bytes:
            self._refuse(_PAYLOAD_TOO_LARGE, lingers=True)
        elif not self._body.append(part):
            self._turn_away()

    def on_message_complete(self) -> None:
        """Passes a complete request to the handler."""
        if self._refused:
            return
        exchange = self._take_request()
        exchange.body = self._body.take()
        if not self._parser.should_keep_alive():
            exchange.close_after_reply()
        self._queue.append(exchange)
        self._update_reading()
        self._callers.handler(exchange)

    def flush(self) -> None:
        """Writes the answers that are next in order."""
        queue = self._queue
        while queue and queue[0].answered:
            exchange = queue.popleft()
            if self._ended or self._transport.is_closing():
                continue
            self._writer.write(exchange.answer)
            if exchange.large_body:
                self._writer.write(exchange.large_body)
            if not exchange.keep:
                # Pipelined requests after it count as unread and are resent.
                self._end()
        self._last_activity_s = self._callers.clock.now_s()
        self._update_reading()

    def end_requests(self) -> None:
        """Answers the requests that still wait for an answer."""
        for exchange in list(self._queue):
            if not exchange.answered and exchange.on_shutdown is not None:
                exchange.on_shutdown()

    def close_if_idle(self) -> None:
        """Closes the connection if no request is under way."""
        if not self._queue and self._current is None:
            self._writer.close()

    def idle_s(self, now_s: float) -> float:
        """Returns how long no request has been under way, in seconds."""
        if self._queue or self._current is not None:
            return 0.0
        return now_s - self._last_activity_s

    def sweep(self, now_s: float) -> None:
        """Closes the connection if it is idle, too slow, or at its end."""
        bounds = self._callers.bounds
        if self._is_stuck(now_s):
            self._transport.abort()
        elif self._ended:
            if now_s - self._ended_s > _LINGER_S:
                self._writer.close()
        elif self._queue or self._unsent_bytes:
            return
        elif self._body.waiting:
            if now_s - self._last_activity_s > _MAX_ROOM_WAIT_S:
                self._turn_away()
        elif self._current is None or self._body.size:
            if now_s - self._last_activity_s > bounds.idle_timeout_s:
                self._writer.close()
        elif now_s - self._last_activity_s > bounds.header_timeout_s:
            self._writer.close()

    def _is_stuck(self, now_s: float) -> bool:
        """Returns whether the caller has taken nothing for too long."""
        unsent_bytes = self._writer.unsent_bytes
        if not unsent_bytes or unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._last_progress_s = now_s
            return False
        stuck_s = now_s - self._last_progress_s
        return stuck_s > self._callers.bounds.idle_timeout_s

    def _position(self) -> "_Position":
        return _Position(self._current, self._in_head, self._body.size)

    def _check_size(self, before: "_Position", received_bytes: int) -> None:
        """Refuses a head or a framing that doesn't end.

        The parser collects a header, or a trailer, until its end.

        Args:
            before: The position before the received bytes, which count only if
                they are all of one head, or of one body.
            received_bytes: Their number.
        """
        now = self._position()
        if self._refused or now.request is None or now[:2] != before[:2]:
            return
        limit_bytes = _MAX_RAW_RATIO * self._callers.bounds.header_bytes
        if now.in_head:
            self._raw_head_bytes += received_bytes
            if self._raw_head_bytes > limit_bytes:
                self._refuse(_HEADERS_TOO_LARGE)
            return
        body_bytes = now.body_bytes - before.body_bytes
        self._framing_bytes += received_bytes - body_bytes
        limit_bytes += _MAX_FRAMING_RATIO * now.body_bytes
        if self._framing_bytes > limit_bytes:
            self._refuse(_BAD_REQUEST)

    def _announced_bytes(self) -> int:
        """Returns the length of the body that the head tells; 0 for none."""
        for name, value in self._current.headers:
            if name == b"content-length":
                return int(value)
        return 0

    def _reserve(self, size: int) -> None:
        """Takes room for a body of known length, waits for it, or refuses."""
        may_wait = self._callers.waiting < _MAX_WAITING
        match self._body.begin(size, may_wait):
            case requestbody.Admission.WAIT:
                self._update_reading()
            case requestbody.Admission.REFUSE:
                self._turn_away()

    def _on_room(self) -> None:
        self._last_activity_s = self._callers.clock.now_s()
        self._update_reading()

    def _take_request(self) -> exchanges.Exchange:
        exchange, self._current = self._current, None
        exchange.method = self._parser.get_method()
        return exchange

    def _drop_request(self) -> None:
        """Drops the request that is being read."""
        self._current = None
        self._body.drop()

    def _update_reading(self) -> None:
        if self._transport.is_closing():
            return
        if not self._refused and (
            len(self._queue) >= _MAX_PIPELINED
            or self._writer.paused
            or self._body.waiting
        ):
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _end(self) -> None:
        """Closes the connection, once its caller can have read the answer."""
        self._ended = True
        self._ended_s = self._callers.clock.now_s()
        if not self._lingers or self._to_drop_bytes == 0:
            self._writer.close()

    def _drop(self, size: int) -> None:
        """Drops bytes of a refused body."""
        if self._to_drop_bytes is None:
            return
        self._to_drop_bytes = max(0, self._to_drop_bytes - size)
        if self._ended and not self._to_drop_bytes:
            self._writer.close()

    def _turn_away(self) -> None:
        """Passes a request to the handler that refuses it, without its body."""
        self._callers.budget.note_refusal(bytebudget.Use.REQUESTS)
        self._note_rest()
        exchange = self._take_request()
        exchange.lacks_room = True
        self._stop_requests(exchange)
        self._callers.handler(exchange)

    def _refuse(self, status: int, lingers: bool = False) -> None:
        if self._refused:
            return
        if lingers:
            self._note_rest()
        exchange = exchanges.Exchange(self)
        self._stop_requests(exchange)
        exchange.reply(status, b"", b"")

    def _note_rest(self) -> None:
        """Notes how much of the body, which is refused, is to come."""
        self._lingers = True
        announced_bytes = self._announced_bytes()
        if announced_bytes:
            self._to_drop_bytes = announced_bytes - self._body.size

    def _stop_requests(self, exchange: exchanges.Exchange) -> None:
        """Makes a request the last one of the connection."""
        self._drop_request()
        self._refused = True
        exchange.close_after_reply()
        self._queue.append(exchange)
        self._update_reading()
