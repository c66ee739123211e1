"""Client connections to servers, with one HTTP/1.1 request at a time."""

import asyncio
import collections.abc
import typing

import httptools

from savorybend.relay import http1
from savorybend.relay import writebatch

_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL = 200


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
    """

    accepts: collections.abc.Callable[[http1.Headers], bool]
    callback: OnResult


class ServerConnection(asyncio.Protocol):
    """A connection to a server, for one request at a time.

    Attributes:
        idle_since_s: When its last response was complete, in seconds.
    """

    def __init__(
        self,
        on_idle: collections.abc.Callable[["ServerConnection"], None],
        on_end: collections.abc.Callable[["ServerConnection"], None],
    ):
        self._on_idle = on_idle
        self._on_end = on_end
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._expected: PendingRequest | None = None
        self._headers: http1.Headers = []
        self._body: list[bytes] = []
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

    def send(self, data: bytes, expected: PendingRequest) -> None:
        """Sends a request; its result goes to the callback of `expected`."""
        self._expected = expected
        self._transport.write(data)

    def abort(self) -> None:
        """Closes the connection at once, without calling the callback."""
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
            self.abort()
            return
        writebatch.CURRENT.begin()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("garbled response", True)
            self.abort()
        finally:
            writebatch.CURRENT.end()

    def eof_received(self) -> bool:
        """Completes a response that is delimited by the connection's end."""
        self._unusable = True
        if self._ends_with_connection and self._expected is not None:
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request."""
        self._unusable = True
        self._fail(repr(exc) if exc else "closed", self._begun)
        self._on_end(self)

    def on_message_begin(self) -> None:
        """Starts a new response."""
        self._begun = True
        self._ends_with_connection = False
        if self._expected is None:
            self._unusable = True
        else:
            self._headers = []
            self._body = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        if self._expected is not None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determines whether the response ends with the connection."""
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL or status in (_NO_CONTENT, _NOT_MODIFIED):
            return
        names = {name for name, _ in self._headers}
        self._ends_with_connection = not names & {
            b"content-length",
            b"transfer-encoding",
        }

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body."""
        if self._expected is not None:
            self._body.append(part)

    def on_message_complete(self) -> None:
        """Passes a complete final response to the callback."""
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
            return
        expected, self._expected = self._expected, None
        status = self._parser.get_status_code()
        response = Response(status, self._headers, b"".join(self._body))
        if self._transport.get_write_buffer_size():
            # The response came before the whole request was written.
            self._unusable = True
        if self._unusable:
            self._transport.close()
        else:
            self._on_idle(self)
        expected.callback(response)

    def _fail(self, reason: str, garbled: bool) -> None:
        expected, self._expected = self._expected, None
        if expected is not None:
            expected.callback(NoResponse(reason, garbled))
