"""Parses the responses of a server that arrive on one connection.

A server that breaks off and begins again joins two responses. What is parsed
as one response is used only if no part of another is within it.
"""

import re
import typing

import httptools

from savorybend.relay import bytebudget
from savorybend.relay import http1
from savorybend.relay import responselimits

_HEAD_END = b"\r\n\r\n"
_PROTOCOL = b"HTTP/"
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
_STATUS_LINE_BYTES = 12
_JOINED = "response within a response"
_MAX_LENGTH_DIGITS = 18
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_FIRST_FINAL = 200
# Room for a body of unknown length while it is short.
_GROWTH_BYTES = 65_536


class Response(typing.NamedTuple):
    """A complete response of a server.

    Attributes:
        status: The HTTP status.
        headers: Names in lower case, and values.
        body: The complete body; `bytes`, or a held buffer if it is large.
    """

    status: int
    headers: http1.Headers
    body: bytes | bytearray


class GarbledError(Exception):
    """The data isn't a response, or goes beyond a limit."""


def contains_status_line(data: bytes) -> bool:
    """Returns whether another response may begin within some data."""
    return _PROTOCOL in data and _STATUS_LINE.search(data) is not None


class ResponseParser:
    """Parses the responses on one connection."""

    def __init__(
        self,
        limits: responselimits.Limits,
        budget: bytebudget.Budget,
        use: bytebudget.Use,
    ):
        self._limits = limits
        self._budget = budget
        self._use = use
        self._parser = httptools.HttpResponseParser(self)
        # The head that is being received; a parser that gets it in pieces
        # takes time that grows with the square of a header's length.
        self._head: bytearray | None = bytearray()
        self._headers: http1.Headers = []
        self._reason = b""
        self._body = bytearray()
        # How much of the body has arrived; its buffer may be longer.
        self._body_bytes = 0
        # Room of a body of unknown length.
        self._room_bytes = bytebudget.COUNTED_BYTES
        # Size of the buffer that is needed before more is parsed; 0 for none.
        self._needed_bytes = 0
        self._unparsed = b""
        self._complete: list[Response] = []
        self._error: GarbledError | None = None
        self._begun = False
        self._ends_with_connection = False
        # Bytes of the body that are to come; None if the head doesn't tell.
        self._left_bytes: int | None = None
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

    @property
    def needed_bytes(self) -> int:
        """Room without which nothing more is parsed, in bytes; 0 for none."""
        return self._needed_bytes

    @property
    def needed_size(self) -> int:
        """Size of the buffer that takes the needed room, in bytes.

        A body of unknown length is appended to an empty one.
        """
        return 0 if self._left_bytes is None else self._needed_bytes

    def provide(self, buffer: bytebudget.HeldBuffer) -> None:
        """Provides the buffer that is needed.

        Args:
            buffer: A buffer with room for `needed_bytes`.
        """
        if self._left_bytes is None:
            buffer += self._body
        self._body = buffer
        self._needed_bytes = 0

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
        if self._unparsed:
            data, self._unparsed = self._unparsed + data, b""
        while data:
            if self._needed_bytes:
                self._unparsed = data
                return
            completed = len(self._complete)
            if self._head is None:
                data = self._feed_body(data)
            else:
                data = self._feed_head(data)
            if data and len(self._complete) > completed:
                self._check_followed(data)

    def finish(self) -> None:
        """Completes a response that is delimited by the connection's end.

        Raises:
            GarbledError: It may be joined from two, which no length shows.
        """
        self._reusable = False
        if not (self._ends_with_connection and self._begun):
            return
        if self._unparsed:
            raise GarbledError("response without room for its body")
        if contains_status_line(self._body):
            raise GarbledError(_JOINED)
        self._end_response()

    def release(self) -> None:
        """Drops the body that is being received, which gives back its room."""
        self._body = bytearray()
        self._body_bytes = 0
        self._room_bytes = bytebudget.COUNTED_BYTES
        self._needed_bytes = 0
        self._unparsed = b""
        self._framing_bytes = 0
        self._interim_responses = 0

    def on_message_begin(self) -> None:
        """Starts a new response."""
        self._begun = True
        # Also of a response that follows another within the same data.
        self._head = None
        self._ends_with_connection = False
        self._left_bytes = None
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Checks the reason phrase, which may come in parts."""
        self._reason += reason
        if _PROTOCOL in self._reason:
            self._refuse(_JOINED)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        if len(self._headers) >= self._limits.headers:
            self._refuse("too many headers in a response")
        if contains_status_line(value):
            self._refuse(_JOINED)
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
        if b"transfer-encoding" in names:
            return
        if b"content-length" in names:
            self._left_bytes = self._announced_bytes()
            self._reserve(self._left_bytes)
        else:
            self._ends_with_connection = True

    def on_body(self, part: bytes) -> None:
        """Collects a part of the body."""
        self._received_body_bytes += len(part)
        begin = self._body_bytes
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse("response body too large")
        if self._left_bytes is None:
            self._body += part
            self._reserve_for_growth()
            return
        self._left_bytes -= len(part)
        self._body[begin : self._body_bytes] = part

    def on_message_complete(self) -> None:
        """Keeps a complete final response."""
        self._head = bytearray()
        if self._parser.get_status_code() >= _FIRST_FINAL:
            self._reusable = self._parser.should_keep_alive()
            self._end_response()

    def _end_response(self) -> None:
        self._begun = False
        status = self._parser.get_status_code()
        body = self._body
        match body:
            case bytebudget.HeldBuffer():
                body.shrink(len(body))
            case _:
                body = bytes(body)
        self._complete.append(Response(status, self._headers, body))
        self._body = bytearray()
        self._body_bytes = 0
        self._room_bytes = bytebudget.COUNTED_BYTES
        self._framing_bytes = 0
        self._interim_responses = 0

    def _reserve(self, size: int) -> None:
        """Takes room for a body of known length, or asks for it."""
        if size <= bytebudget.COUNTED_BYTES:
            return
        if size <= bytebudget.SMALL_BYTES:
            self._body = self._budget.hold_small(size)
            return
        buffer = self._budget.hold(self._use, size)
        if buffer is None:
            self._needed_bytes = size
        else:
            self._body = buffer

    def _reserve_for_growth(self) -> None:
        """Takes room for a body of unknown length once it is large."""
        if self._body_bytes <= self._room_bytes:
            return
        if self._body_bytes <= _GROWTH_BYTES:
            self._room_bytes = _GROWTH_BYTES
            self.provide(self._budget.hold_small(0, _GROWTH_BYTES))
            return
        # Two that grow little by little would wait for each other.
        self._room_bytes = max(self._limits.body_bytes, self._body_bytes)
        buffer = self._budget.hold(self._use, 0, self._room_bytes)
        if buffer is None:
            self._needed_bytes = self._room_bytes
        else:
            self.provide(buffer)

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

    def _feed_body(self, data: bytes) -> bytes:
        """Parses a part of a body; returns what is known to follow it."""
        rest = b""
        if self._left_bytes is not None:
            data, rest = data[: self._left_bytes], data[self._left_bytes :]
        before = self._received_body_bytes
        completed = len(self._complete)
        self._parse(data)
        if len(self._complete) == completed:
            if rest:
                raise GarbledError("response goes beyond its length")
            self._check_framing(len(data) - self._received_body_bytes + before)
        return rest

    def _check_framing(self, received_bytes: int) -> None:
        self._framing_bytes += received_bytes
        if not self._limits.allows_framing(
            self._framing_bytes, self._body_bytes
        ):
            raise GarbledError("response framing too large")

    def _check_followed(self, rest: bytes) -> None:
        """Drops a response whose body holds the beginning of what follows.

        Raises:
            GarbledError: It does.
        """
        body = self._complete[-1].body
        seen = body[-_STATUS_LINE_BYTES:] + rest[:_STATUS_LINE_BYTES]
        found = _STATUS_LINE.search(seen)
        begun = found is not None and found.start() < len(
            body[-_STATUS_LINE_BYTES:]
        )
        if begun or contains_status_line(body):
            self._complete.pop()
            raise GarbledError(_JOINED)

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
            if name == b"content-length":
                return self._parse_length(value.strip())
        return 0

    def _parse_length(self, value: bytes) -> int:
        if not value.isdigit() or len(value) > _MAX_LENGTH_DIGITS:
            self._refuse("invalid Content-Length")
        return int(value)


def create_response_parser(
    limits: responselimits.Limits,
    budget: bytebudget.Budget,
    use: bytebudget.Use,
) -> ResponseParser:
    """Returns the parser of a new connection.

    Args:
        limits: Bounds on each response.
        budget: Room for the bodies on all connections.
        use: What the room is for.
    """
    return ResponseParser(limits, budget, use)
