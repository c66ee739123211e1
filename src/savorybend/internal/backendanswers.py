"""Responses of backend servers, and what shows that one isn't whole."""

import asyncio

import aiohttp
from aiohttp import connector

from savorybend.internal import errors

_NO_CONTENT = 204
_NOT_MODIFIED = 304


class Response(aiohttp.ClientResponse):
    """A response that is the only one on its connection."""

    _connection_end: asyncio.Future | None = None

    async def start(self, connection: connector.Connection) -> "Response":
        """Receives the head; see the base class."""
        self._connection_end = connection.protocol.closed
        if self._connection_end is not None:
            self._connection_end.add_done_callback(_retrieve)
        await super().start(connection)
        return self

    async def read_part(self) -> bytes:
        """Returns the next part of the body, empty at the end.

        Raises:
            aiohttp.ClientError: The body broke off.
            errors.AnswerLostError: The body broke off.
        """
        data = await self.content.readany()
        if not data:
            self._check_end()
        return data

    def _check_end(self) -> None:
        if self._ends_with_connection() and not _ended_in_good_order(
            self._connection_end
        ):
            raise errors.AnswerLostError(
                "the connection was reset within an answer without length"
            )

    def _ends_with_connection(self) -> bool:
        if self.method == "HEAD" or self.status in (_NO_CONTENT, _NOT_MODIFIED):
            return False
        coding = self.headers.get("Transfer-Encoding", "")
        return self.content_length is None and "chunked" not in coding.lower()


def _retrieve(connection_end: asyncio.Future) -> None:
    # Without this the event loop logs the error of a connection's end.
    if not connection_end.cancelled():
        connection_end.exception()


def _ended_in_good_order(connection_end: asyncio.Future | None) -> bool:
    if connection_end is None or not connection_end.done():
        return False
    return not connection_end.cancelled() and not connection_end.exception()
