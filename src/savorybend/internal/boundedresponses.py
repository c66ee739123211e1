"""Bounds on the responses of servers, whose bytes may never end.

The HTTP client's library bounds a line and a header, and holds a slow reader's
body back, but not the number of interim responses.
"""

import asyncio
import functools
import typing

import aiohttp
from aiohttp import client_proto
from aiohttp import http

_MAX_INTERIM_RESPONSES = 16
_FIRST_FINAL = 200


class Connector(aiohttp.TCPConnector):
    """Opens a connection for each request, with bounds on its response."""

    def __init__(self):
        super().__init__(limit=0, force_close=True)
        self._factory = functools.partial(
            _ResponseHandler, loop=asyncio.get_running_loop()
        )


class _ResponseHandler(client_proto.ResponseHandler):
    """Gives up a connection with too many interim responses."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._interim_responses = 0

    def feed_data(self, data: typing.Any, size: int = 0) -> None:
        """Queues a response for its reader.

        Args:
            data: The response's head and its body.
            size: Not used by the library.
        """
        message, _ = data
        if message.code < _FIRST_FINAL:
            self._interim_responses += 1
        if self._interim_responses <= _MAX_INTERIM_RESPONSES:
            super().feed_data(data, size)
        elif self.exception() is None:
            self.close()
            self.set_exception(
                http.HttpProcessingError(message="too many interim responses")
            )


async def read(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the rest of a response's body.

    Args:
        response: The response.
        max_bytes: The largest body, in bytes.

    Raises:
        aiohttp.ClientPayloadError: The body broke off, or is larger.
    """
    parts = []
    size = 0
    while data := await response.content.readany():
        size += len(data)
        if size > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"response body of more than {max_bytes} bytes: look at what "
                f"{response.url.host}:{response.url.port} writes"
            )
        parts.append(data)
    return b"".join(parts)


def create_connector() -> Connector:
    """Returns a connector without connections."""
    return Connector()
