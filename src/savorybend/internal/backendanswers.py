"""Responses of backend servers, and what shows that one isn't whole or own.

A connection carries one request, so its response belongs to that request. What
is left to find are a response that breaks off without its framing showing it,
and one that is joined from two, since the server broke off and began again.
"""

import asyncio
import re

import aiohttp
from aiohttp import client_proto
from aiohttp import connector
from aiohttp import http

from savorybend.internal import boundedresponses
from savorybend.internal import errors
from savorybend.internal import headers
from savorybend.internal import logs

_PROTOCOL = b"HTTP/"
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}", re.IGNORECASE)
_STATUS_LINE_BYTES = 12
# What a status line leaves at the end of a body that is cut within it.
_CUT_STATUS_LINE = re.compile(
    rb"H(T(T(P(/([0-9](\.([0-9]( ([0-9][0-9]?)?)?)?)?)?)?)?)?)?\Z",
    re.IGNORECASE,
)
_JOINED = "a response within a response"
_SWITCHING_PROTOCOLS = 101
_NO_CONTENT = 204
_NOT_MODIFIED = 304
# Larger bodies are streamed; those of the platform and of daemons are smaller.
_MAX_WHOLE_BYTES = 16 << 20

_log = logs.get()


class Response(aiohttp.ClientResponse):
    """A response that is the only one on its connection."""

    _connection_end: asyncio.Future | None = None
    _only_protocol: client_proto.ResponseHandler | None = None
    _request_id = ""
    _last_bytes = b""
    _holds_status_line = False

    async def start(self, connection: connector.Connection) -> "Response":
        """Receives the head; see the base class."""
        self._only_protocol = connection.protocol
        self._connection_end = connection.protocol.closed
        if self._connection_end is not None:
            self._connection_end.add_done_callback(_retrieve)
        await super().start(connection)
        return self

    async def read(self) -> bytes:
        """Returns the whole body.

        Raises:
            aiohttp.ClientPayloadError: The body broke off, or has no end.
        """
        if self._body is None:
            try:
                self._body = await boundedresponses.read(self, _MAX_WHOLE_BYTES)
            except BaseException:
                self.close()
                raise
        return await super().read()

    def check_head(self, request_id: str) -> None:
        """Checks that the head can be that of a request's response.

        Raises:
            errors.AnswerUnusableError: It can't.
        """
        self._request_id = request_id
        if self.status == _SWITCHING_PROTOCOLS:
            raise self._unusable("a change of protocol that wasn't asked for")
        if _PROTOCOL.decode() in self.reason.upper() or any(
            _STATUS_LINE.search(value) for _, value in self.raw_headers
        ):
            raise self._unusable(_JOINED)
        named = self.headers.getall(headers.REQUEST_ID, [])
        # A backend server that passes the headers of its child call's answer
        # on names the child call.
        own = [f"{name}/".startswith(f"{request_id}/") for name in named]
        if len(own) > 1 or not all(own):
            raise self._unusable("the ID of another request")

    async def read_whole(self) -> bytes:
        """Returns the body.

        Raises:
            aiohttp.ClientError: The body broke off.
            errors.AnswerLostError: The body broke off.
            errors.AnswerUnusableError: The body is joined from two responses.
        """
        data = await self.read()
        self._look_through(data)
        self._check_end()
        return data

    def check_alone(self) -> None:
        """Checks that nothing stands behind a response that was read.

        Raises:
            errors.AnswerUnusableError: Something does.
        """
        if self._is_followed():
            raise self._unusable("more than a refusal")

    async def read_part(self) -> bytes:
        """Returns the next part of the body, empty at the end.

        Raises:
            aiohttp.ClientError: The body broke off.
            errors.AnswerLostError: The body broke off.
            errors.AnswerUnusableError: The body is joined from two responses.
        """
        data = await self.content.readany()
        if data:
            self._look_through(data)
        else:
            self._check_end()
        return data

    def _look_through(self, data: bytes) -> None:
        seen = self._last_bytes + data
        if _PROTOCOL in seen.upper() and _STATUS_LINE.search(seen):
            self._holds_status_line = True
        self._last_bytes = seen[1 - _STATUS_LINE_BYTES :]

    def _check_end(self) -> None:
        if self._ends_with_connection():
            if not _ended_in_good_order(self._connection_end):
                raise errors.AnswerLostError(
                    "the connection was reset within an answer without length"
                )
            if self._holds_status_line:
                raise self._unusable(_JOINED)
            return
        if self._is_followed() and (
            self._holds_status_line or _CUT_STATUS_LINE.search(self._last_bytes)
        ):
            raise self._unusable(_JOINED)

    def _ends_with_connection(self) -> bool:
        if self.method == "HEAD" or self.status in (_NO_CONTENT, _NOT_MODIFIED):
            return False
        coding = self.headers.get("Transfer-Encoding", "")
        return self.content_length is None and "chunked" not in coding.lower()

    def _is_followed(self) -> bool:
        """Returns whether more was received behind the response."""
        protocol = self._only_protocol
        return len(protocol) > 0 or isinstance(
            protocol.exception(), http.HttpProcessingError
        )

    def _unusable(self, problem: str) -> errors.AnswerUnusableError:
        _log.warning(
            "answer_unusable", request_id=self._request_id, problem=problem
        )
        return errors.AnswerUnusableError(
            f"the backend server's answer holds {problem}: look at what it "
            "writes to the request's connection"
        )


def _retrieve(connection_end: asyncio.Future) -> None:
    # Without this the event loop logs the error of a connection's end.
    if not connection_end.cancelled():
        connection_end.exception()


def _ended_in_good_order(connection_end: asyncio.Future | None) -> bool:
    if connection_end is None or not connection_end.done():
        return False
    return not connection_end.cancelled() and not connection_end.exception()
