"""Keeps the HTTP library from sending a request again by itself.

It does so where a reused connection breaks under a method that HTTP calls
idempotent, which a route may not be; and a request that crashed one backend
server would crash the next.
"""

import aiohttp


class ConnectionBrokenError(aiohttp.ClientError):
    """The backend server closed the connection under a request."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request, as a middleware of the HTTP client.

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
