"""Client connections to servers, with one HTTP/1.1 request at a time."""

import asyncio
import collections.abc
import typing

import httptools
import structlog

from savorybend.relay import answerlog
from savorybend.relay import http1
from savorybend.relay import responselimits
from savorybend.relay import writebatch

_HEAD_END = b"\r\n\r\n"
_PROTOCOL = b"HTTP/"
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL = 200

_log = structlog.get_logger()


class Response(typing.NamedTuple):
    """A complete response of a server.

    Attributes:
        status: The HTTP status.
        headers: Names in lower case, and values.
        body: The complete body.
    """

    status: int
    headers: http1.Headers
    body: bytes


class NoResponse(typing.NamedTuple):
    """The connection ended, or the data received was no valid response.

    Attributes:
        reason: Why there is no response.
        garbled: Whether data arrived that isn't a complete response.
    """

    reason: str
    garbled: bool


Result = Response | NoResponse
OnResult = collections.abc.Callable[[Result], None]


class PendingRequest(typing.NamedTuple):
    """A request whose response is awaited.

    Attributes:
        accepts: Returns whether a response belongs to the request; others are
            discarded.
        callback: Receives the result.
        request_id: ID of the request; empty if it has none.
    """

    accepts: collections.abc.Callable[[http1.Headers], bool]
    callback: OnResult
    request_id: str = ""


class Observer(typing.Protocol):
    """Receives what arrives on a connection beyond the awaited responses."""

    def on_surplus(
        self,
        connection: "ServerConnection",
        request_id: str,
        cause: str,
        response: Response,
    ) -> None:
        """Handles a response that no request waits for.

        Args:
            connection: Where it arrived.
            request_id: ID of the request that waits there; empty if none does.
            cause: One of the causes of `answerlog`.
            response: The response as far as it is known, without its body.
        """


class _NoObserver:
    """Ignores everything."""

    def on_surplus(
        self,
        connection: "ServerConnection",
        request_id: str,
        cause: str,
        response: Response,
    ) -> None:
        """Does nothing."""


_NO_OBSERVER = _NoObserver()


class _LimitError(Exception):
    """A response goes beyond a limit."""


class ServerConnection(asyncio.Protocol):
    """A connection to a server, for one request at a time.

    Attributes:
        idle_since_s: When its last response was complete, in seconds.
    """

    def __init__(
        self,
        on_idle: collections.abc.Callable[["ServerConnection"], None],
        on_end: collections.abc.Callable[["ServerConnection"], None],
        limits: responselimits.Limits,
        memory: responselimits.BodyMemory,
        number: int = 0,
        observer: Observer = _NO_OBSERVER,
    ):
        self._number = number
        self._observer = observer
        self._carried_ids: set[str] = set()
        self._requests = 0
        self._surplus = 0
        self._limits = limits
        self._memory = memory
        # The head that is being received; a parser that gets it in pieces
        # takes time that grows with the square of a header's length.
        self._head: bytearray | None = bytearray()
        self._interim_responses = 0
        self._framing_bytes = 0
        # Of all responses on this connection.
        self._received_body_bytes = 0
        self._on_idle = on_idle
        self._on_end = on_end
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._expected: PendingRequest | None = None
        self._headers: http1.Headers = []
        self._body = bytearray()
        self._unusable = False
        self._ends_with_connection = False
        self._begun = False
        self.idle_since_s = 0.0

    @property
    def usable(self) -> bool:
        """Whether another request can be sent."""
        return not (
            self._unusable or self._expected or self._transport.is_closing()
        )

    @property
    def headers(self) -> http1.Headers:
        """Headers of the last response."""
        return self._headers

    @property
    def place(self) -> answerlog.Place:
        """The current place on this connection."""
        return answerlog.Place(self._number, self._requests, self._surplus)

    def carried(self, request_id: str) -> bool:
        """Returns whether a request with this ID was sent on it."""
        return request_id in self._carried_ids

    def send(self, data: bytes, expected: PendingRequest) -> None:
        """Sends a request; its result goes to the callback of `expected`."""
        self._requests += 1
        if expected.request_id:
            self._carried_ids.add(expected.request_id)
        self._expected = expected
        self._transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once, without calling the callback."""
        self._release_body()
        self._expected = None
        self._unusable = True
        self._transport.abort()

    def close(self) -> None:
        """Closes the connection after pending writes."""
        self._unusable = True
        self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        if self._expected is None:
            # Data that arrives while no request is pending belongs to none.
            self._note_surplus(answerlog.WITHOUT_REQUEST, 0)
            self.abort()
            return
        writebatch.CURRENT.begin()
        try:
            self._receive(data)
        except _LimitError as error:
            self._fail(str(error), True)
            self.abort()
        except httptools.HttpParserCallbackError:
            # A mistake of this program, not of the server.
            _log.exception("response_handler_failed")
            self._fail("response handler failed", True)
            self.abort()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("garbled response", True)
            self.abort()
        finally:
            writebatch.CURRENT.end()

    def _receive(self, data: bytes) -> None:
        while data:
            if self._head is None:
                self._receive_body(data)
                return
            data = self._receive_head(data)

    def _receive_head(self, data: bytes) -> bytes:
        """Collects a head and parses it once complete; returns the rest."""
        head = self._head
        collected = len(head)
        searched = max(0, collected - len(_HEAD_END) + 1)
        head += data[: self._limits.head_bytes + 1]
        if not _PROTOCOL.startswith(bytes(head[: len(_PROTOCOL)])):
            raise _LimitError("garbled response")
        end = head.find(_HEAD_END, searched)
        if end < 0:
            if len(head) > self._limits.head_bytes:
                raise _LimitError("response head too large")
            return b""
        end += len(_HEAD_END)
        self._head = None
        self._feed(bytes(head[:end]))
        return data[end - collected :]

    def _receive_body(self, data: bytes) -> None:
        before = self._received_body_bytes
        self._feed(data)
        if self._expected is None:
            # The response is complete; the counts are those of the next one.
            return
        body_bytes = self._received_body_bytes - before
        self._framing_bytes += len(data) - body_bytes
        if not self._limits.allows_framing(
            self._framing_bytes, len(self._body)
        ):
            raise _LimitError("response framing too large")

    def _feed(self, data: bytes) -> None:
        self._error: _LimitError | None = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            if self._error is None:
                raise
            raise self._error from None

    def _refuse(self, reason: str) -> None:
        """Ends parsing from a callback of the parser."""
        self._error = _LimitError(reason)
        raise self._error

    def eof_received(self) -> bool:
        """Completes a response that is delimited by the connection's end."""
        self._unusable = True
        if self._ends_with_connection and self._expected is not None:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request."""
        self._unusable = True
        if self._head:
            self._fail("head broken off", True)
        elif self._begun:
            self._fail("answer broken off", True)
        else:
            self._fail(repr(exc) if exc else "closed", False)
        self._on_end(self)

    def on_message_begin(self) -> None:
        """Starts a new response."""
        self._begun = True
        # Also of a surplus response that follows within the same data.
        self._head = None
        self._ends_with_connection = False
        if self._expected is None:
            self._unusable = True
            self._note_surplus(answerlog.WITHOUT_REQUEST, 0)
        else:
            self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        if self._expected is None:
            return
        if len(self._headers) >= self._limits.headers:
            self._refuse("too many headers in a response")
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determines whether the response ends with the connection."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL:
            self._interim_responses += 1
            if self._interim_responses > self._limits.interim_responses:
                self._refuse("too many interim responses")
        if self._announced_bytes() > self._limits.body_bytes:
            self._refuse("response body too large")
        if status < _FIRST_FINAL or status in (_NO_CONTENT, _NOT_MODIFIED):
            return
        names = {name for name, _ in self._headers}
        self._ends_with_connection = not names & {
            b"content-length",
            b"transfer-encoding",
        }

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body."""
        self._received_body_bytes += len(part)
        if self._expected is None:
            return
        self._body += part
        in_memory = self._memory.take(len(part))
        if len(self._body) > self._limits.body_bytes:
            self._refuse("response body too large")
        if not in_memory:
            self._refuse("response bodies use too much memory")

    def on_message_complete(self) -> None:
        """Passes a complete final response to the callback."""
        self._head = bytearray()
        if self._expected is None:
            return
        if self._parser.get_status_code() < _FIRST_FINAL:
            return
        if not self._parser.should_keep_alive():
            self._unusable = True
        self._complete()

    def _complete(self) -> None:
        self._begun = False
        if not self._expected.accepts(self._headers):
            # A surplus response to an earlier request. The framing of what
            # follows can't be trusted, so the connection isn't reused.
            self._unusable = True
            self._note_surplus(
                answerlog.OF_ANOTHER_REQUEST, self._parser.get_status_code()
            )
            self._release_body()
            return
        expected, self._expected = self._expected, None
        status = self._parser.get_status_code()
        response = Response(status, self._headers, bytes(self._body))
        self._release_body()
        if self._transport.get_write_buffer_size():
            # The response came before the whole request was written.
            self._unusable = True
        if self._unusable:
            self._transport.close()
        else:
            self._on_idle(self)
        expected.callback(response)

    def _note_surplus(self, cause: str, status: int) -> None:
        self._surplus += 1
        waiting = "" if self._expected is None else self._expected.request_id
        headers = self._headers if status else []
        self._observer.on_surplus(
            self, waiting, cause, Response(status, headers, b"")
        )

    def _announced_bytes(self) -> int:
        """Returns the length of the body that the head tells; 0 for none."""
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                return int(value)
        return 0

    def _release_body(self) -> None:
        """Gives back the memory of the body."""
        self._memory.release(len(self._body))
        self._body = bytearray()
        self._framing_bytes = 0
        self._interim_responses = 0

    def _fail(self, reason: str, garbled: bool) -> None:
        self._release_body()
        expected, self._expected = self._expected, None
        if expected is not None:
            expected.callback(NoResponse(reason, garbled))
