"""Disables the automatic retries of the HTTP client library.

The library resends a request when a reused connection breaks and HTTP defines
the method as idempotent. A route may not be idempotent, and a request that
crashed one backend server would crash the next.
"""

import aiohttp


class ConnectionBrokenError(aiohttp.ClientError):
    """The backend server closed the connection during a request."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request once; a middleware of the HTTP client.

    Raises:
        ConnectionBrokenError: The connection broke; the request may have run.
        aiohttp.ClientConnectorError: There was no connection, so nothing ran.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(
            f"{error}: ask about the request by its ID"
        ) from error
