"""Parses the responses of a server that arrive on one connection."""

import typing

import httptools

from savorybend.relay import http1
from savorybend.relay import responselimits

_HEAD_END = b"\r\n\r\n"
_PROTOCOL = b"HTTP/"
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


class GarbledError(Exception):
    """The data isn't a response, or goes beyond a limit."""


class ResponseParser:
    """Parses the responses on one connection."""

    def __init__(
        self, limits: responselimits.Limits, memory: responselimits.BodyMemory
    ):
        self._limits = limits
        self._memory = memory
        self._parser = httptools.HttpResponseParser(self)
        # The head that is being received; a parser that gets it in pieces
        # takes time that grows with the square of a header's length.
        self._head: bytearray | None = bytearray()
        self._headers: http1.Headers = []
        self._body = bytearray()
        self._complete: list[Response] = []
        self._error: GarbledError | None = None
        self._begun = False
        self._ends_with_connection = False
        self._reusable = True
        self._interim_responses = 0
        self._framing_bytes = 0
        # Of all responses on this connection.
        self._received_body_bytes = 0

    @property
    def reusable(self) -> bool:
        """Whether the connection stays open after the last response."""
        return self._reusable

    @property
    def begun(self) -> bool:
        """Whether a part of a response has arrived that isn't complete."""
        return self._begun or bool(self._head)

    @property
    def in_head(self) -> bool:
        """Whether the part that has arrived is a part of a head."""
        return bool(self._head)

    def take(self) -> list[Response]:
        """Returns the final responses that were completed since last time."""
        complete, self._complete = self._complete, []
        return complete

    def feed(self, data: bytes) -> None:
        """Parses received data.

        Raises:
            GarbledError: The data isn't a response, or goes beyond a limit.
                Responses that are complete before it can be taken.
        """
        while data:
            if self._head is None:
                self._feed_body(data)
                return
            data = self._feed_head(data)

    def finish(self) -> None:
        """Completes a response that is delimited by the connection's end."""
        self._reusable = False
        if self._ends_with_connection and self._begun:
            self._end_response()

    def release(self) -> None:
        """Gives back the memory of the body that is being received."""
        self._memory.release(len(self._body))
        self._body = bytearray()
        self._framing_bytes = 0
        self._interim_responses = 0

    def on_message_begin(self) -> None:
        """Starts a new response."""
        self._begun = True
        # Also of a response that follows another within the same data.
        self._head = None
        self._ends_with_connection = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
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
        self._body += part
        in_memory = self._memory.take(len(part))
        if len(self._body) > self._limits.body_bytes:
            self._refuse("response body too large")
        if not in_memory:
            self._refuse("response bodies use too much memory")

    def on_message_complete(self) -> None:
        """Keeps a complete final response."""
        self._head = bytearray()
        if self._parser.get_status_code() >= _FIRST_FINAL:
            self._reusable = self._parser.should_keep_alive()
            self._end_response()

    def _end_response(self) -> None:
        self._begun = False
        status = self._parser.get_status_code()
        self._complete.append(
            Response(status, self._headers, bytes(self._body))
        )
        self.release()

    def _feed_head(self, data: bytes) -> bytes:
        """Collects a head and parses it once complete; returns the rest."""
        head = self._head
        collected = len(head)
        searched = max(0, collected - len(_HEAD_END) + 1)
        head += data[: self._limits.head_bytes + 1]
        if not _PROTOCOL.startswith(bytes(head[: len(_PROTOCOL)])):
            raise GarbledError("garbled response")
        end = head.find(_HEAD_END, searched)
        if end < 0:
            if len(head) > self._limits.head_bytes:
                raise GarbledError("response head too large")
            return b""
        end += len(_HEAD_END)
        self._head = None
        self._parse(bytes(head[:end]))
        return data[end - collected :]

    def _feed_body(self, data: bytes) -> None:
        before = self._received_body_bytes
        completed = len(self._complete)
        self._parse(data)
        if len(self._complete) > completed:
            # The counts are those of the next response.
            return
        body_bytes = self._received_body_bytes - before
        self._framing_bytes += len(data) - body_bytes
        if not self._limits.allows_framing(
            self._framing_bytes, len(self._body)
        ):
            raise GarbledError("response framing too large")

    def _parse(self, data: bytes) -> None:
        self._error = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            if self._error is None:
                raise
            raise self._error from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            raise GarbledError("garbled response") from None

    def _refuse(self, reason: str) -> None:
        """Ends parsing from a callback of the parser."""
        self._error = GarbledError(reason)
        raise self._error

    def _announced_bytes(self) -> int:
        """Returns the length of the body that the head tells; 0 for none."""
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                return int(value)
        return 0


def create_response_parser(
    limits: responselimits.Limits, memory: responselimits.BodyMemory
) -> ResponseParser:
    """Returns the parser of a new connection.

    Args:
        limits: Bounds on each response.
        memory: Memory of the bodies on all connections.
    """
    return ResponseParser(limits, memory)
