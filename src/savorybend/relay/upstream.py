"""Client connections to servers, with one HTTP/1.1 request at a time."""

import asyncio
import collections.abc
import enum
import re
import typing

import structlog

from savorybend.relay import answerlog
from savorybend.relay import bytebudget
from savorybend.relay import http1
from savorybend.relay import pacedwriter
from savorybend.relay import responselimits
from savorybend.relay import responseparser
from savorybend.relay import writebatch

# Bounds what a connection remembers of the IDs that it carried.
_MAX_REQUESTS = 400
_FIRST_FAILURE = 300

_log = structlog.get_logger()


class NoResponse(typing.NamedTuple):
    """The connection ended, or the data received was no valid response.

    Attributes:
        reason: Why there is no response.
        garbled: Whether data arrived that isn't a complete response.
    """

    reason: str
    garbled: bool


Result = responseparser.Response | NoResponse
OnResult = collections.abc.Callable[[Result], None]


class Match(enum.Enum):
    """How the headers of a response fit a request."""

    OWN = "it bears the request's ID"
    ANOTHER = "it bears another ID"
    UNNAMED = "it bears no ID"
    AMBIGUOUS = "it bears several IDs"


class PendingRequest(typing.NamedTuple):
    """A request whose response is awaited.

    Attributes:
        match: Returns how the headers of a response fit the request.
        callback: Receives the result.
        request_id: ID of the request; empty if it has none.
    """

    match: collections.abc.Callable[[http1.Headers], Match]
    callback: OnResult
    request_id: str = ""


class Observer(typing.Protocol):
    """Receives what arrives on a connection beyond the awaited responses."""

    def on_surplus(
        self,
        connection: "ServerConnection",
        request_id: str,
        cause: str,
        response: responseparser.Response,
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
        response: responseparser.Response,
    ) -> None:
        """Does nothing."""


_NO_OBSERVER = _NoObserver()
# A response of which only a part arrived.
_UNKNOWN = responseparser.Response(0, [], b"")


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
        budget: bytebudget.Budget,
        number: int = 0,
        observer: Observer = _NO_OBSERVER,
        use: bytebudget.Use = bytebudget.Use.RESPONSES,
    ):
        self._on_idle = on_idle
        self._on_end = on_end
        self._number = number
        self._observer = observer
        self._parser = responseparser.create_response_parser(
            limits, budget, use
        )
        self._budget = budget
        self._use = use
        self._waiter: bytebudget.Waiter | None = None
        self._writer = pacedwriter.create_paced_writer()
        self._transport: asyncio.Transport | None = None
        self._expected: PendingRequest | None = None
        self._unusable = False
        # Hashes, as an ID may be as long as a head.
        self._carried_ids: set[int] = set()
        self._requests = 0
        self._surplus = 0
        self.idle_since_s = 0.0

    @property
    def usable(self) -> bool:
        """Whether another request can be sent."""
        return not (
            self._unusable or self._expected or self._transport.is_closing()
        )

    @property
    def place(self) -> answerlog.Place:
        """The current place on this connection."""
        return answerlog.Place(self._number, self._requests, self._surplus)

    def carried(self, request_id: str) -> bool:
        """Returns whether a request with this ID was sent on it.

        Requests without an ID are all taken for the same one.
        """
        return hash(request_id) in self._carried_ids

    def send(
        self,
        head: bytes,
        expected: PendingRequest,
        body: pacedwriter.Data = b"",
    ) -> None:
        """Sends a request.

        Args:
            head: Its head, with the empty line.
            expected: Receives the result.
            body: Its body, which must not change meanwhile.
        """
        self._requests += 1
        self._carried_ids.add(hash(expected.request_id))
        if self._requests >= _MAX_REQUESTS:
            self._unusable = True
        self._expected = expected
        if len(body) <= pacedwriter.WHOLE_BYTES:
            self._writer.write(head + body)
            return
        self._writer.write(head)
        self._writer.write(body)

    def abort(self) -> None:
        """Closes the connection at once, without calling the callback."""
        self._drop_bytes()
        self._expected = None
        self._unusable = True
        self._transport.abort()

    def close(self) -> None:
        """Closes the connection; drops what is left of a large body."""
        self._unusable = True
        self._writer.clear()
        self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = transport
        self._writer.attach(transport)

    def pause_writing(self) -> None:
        """Stops writing, since the server reads slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Goes on writing."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parses received data, all of it before a response is passed on."""
        if self._expected is None:
            # Data that arrives while no request is pending belongs to none.
            self._note_surplus(answerlog.WITHOUT_REQUEST, _UNKNOWN)
            self.abort()
            return
        self._receive(lambda: self._parser.feed(data))

    def eof_received(self) -> bool:
        """Completes a response that is delimited by the connection's end."""
        self._unusable = True
        if self._expected is not None:
            self._receive(self._parser.finish)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request."""
        self._unusable = True
        if self._parser.in_head:
            self._finish(NoResponse("head broken off", True))
        elif self._parser.begun:
            self._finish(NoResponse("answer broken off", True))
        else:
            self._finish(NoResponse(repr(exc) if exc else "closed", False))
        self._on_end(self)

    def _receive(self, parse: collections.abc.Callable[[], None]) -> None:
        error = ""
        try:
            parse()
        except responseparser.GarbledError as garbled:
            error = str(garbled)
        self._handle_responses(error)
        if self._parser.needed_bytes and self._waiter is None:
            self._wait_for_room()

    def _wait_for_room(self) -> None:
        """Stops reading until there is room for the body."""
        self._transport.pause_reading()
        self._waiter = self._budget.hold_later(
            self._use,
            self._parser.needed_size,
            self._on_room,
            self._parser.needed_bytes,
        )

    def _on_room(self, buffer: bytebudget.HeldBuffer) -> None:
        self._waiter = None
        if self._expected is None or self._transport.is_closing():
            return
        self._parser.provide(buffer)
        self._transport.resume_reading()
        self._receive(lambda: self._parser.feed(b""))

    def _drop_bytes(self) -> None:
        """Drops what is received and what is to be sent."""
        self._parser.release()
        self._writer.clear()
        if self._waiter is not None:
            self._waiter.cancel()
            self._waiter = None

    def _handle_responses(self, error: str) -> None:
        """Passes on the response to the pending request, if it is there.

        Args:
            error: What is wrong with the data behind the last response; empty
                if nothing is.
        """
        result: Result | None = None
        surplus: list[responseparser.Response] = []
        for response in self._parser.take():
            if result is None:
                result = self._match(response)
            else:
                surplus.append(response)
        if error or self._parser.begun:
            surplus.append(_UNKNOWN)
        match result:
            case responseparser.Response(body=body) if (
                surplus and responseparser.contains_status_line(body)
            ):
                self._give_up("response within a response")
            case responseparser.Response() if self._is_doubtful(
                result, surplus
            ):
                self._give_up("answers that differ")
            case responseparser.Response():
                for response in surplus:
                    self._note_surplus(answerlog.WITHOUT_REQUEST, response)
                self._end_request(result)
            case NoResponse(reason=reason):
                self._give_up(reason)
            case None if error:
                self._give_up(error)

    def _give_up(self, reason: str) -> None:
        self._transport.abort()
        self._finish(NoResponse(reason, True))

    def _match(self, response: responseparser.Response) -> Result | None:
        """Returns what a response means to the pending request.

        Returns None if the request goes on waiting.
        """
        match self._expected.match(response.headers):
            case Match.OWN if self._is_doubled(response):
                return NoResponse("answer within its own body", True)
            case Match.OWN:
                return response
            case Match.UNNAMED if self._requests == 1 and not self._surplus:
                return response
            case Match.UNNAMED:
                # It may belong to an earlier request.
                return NoResponse("no request ID on a used connection", True)
            case Match.AMBIGUOUS:
                return NoResponse("several request IDs", True)
        # The framing of what follows can't be trusted.
        self._note_surplus(answerlog.OF_ANOTHER_REQUEST, response)
        return None

    def _is_doubtful(
        self,
        response: responseparser.Response,
        surplus: list[responseparser.Response],
    ) -> bool:
        """Returns whether a failure is followed by what may be its own answer.

        A refusal promises that the request doesn't run, so it must be certain.
        """
        if response.status < _FIRST_FAILURE:
            return False
        return any(
            other != response
            and self._expected.match(other.headers) is not Match.ANOTHER
            for other in surplus
        )

    def _is_doubled(self, response: responseparser.Response) -> bool:
        """Returns whether a body holds the answer to its own request."""
        request_id = self._expected.request_id.encode("latin-1")
        if not request_id or request_id not in response.body:
            return False
        named = rb":[ \t]*" + re.escape(request_id) + rb"[ \t]*\r?\n"
        return bool(
            re.search(named, response.body)
        ) and responseparser.contains_status_line(response.body)

    def _end_request(self, response: responseparser.Response) -> None:
        if self._writer.unsent_bytes:
            # The response came before the whole request was written.
            self._unusable = True
        expected, self._expected = self._expected, None
        if self._unusable or not self._parser.reusable:
            self.close()
        else:
            self._on_idle(self)
        self._call(expected, response)

    def _finish(self, result: NoResponse) -> None:
        self._drop_bytes()
        self._unusable = True
        expected, self._expected = self._expected, None
        if expected is not None:
            self._call(expected, result)

    def _call(self, expected: PendingRequest, result: Result) -> None:
        writebatch.CURRENT.begin()
        try:
            expected.callback(result)
        except Exception:  # noqa: BLE001
            # A mistake of this program, not of the server.
            _log.exception("response_handler_failed")
            self.abort()
        finally:
            writebatch.CURRENT.end()

    def _note_surplus(
        self, cause: str, response: responseparser.Response
    ) -> None:
        self._unusable = True
        self._surplus += 1
        waiting = "" if self._expected is None else self._expected.request_id
        self._observer.on_surplus(self, waiting, cause, response)
