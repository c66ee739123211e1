"""Sessions of the HTTP client, with a connection for each request.

HTTP/1.1 doesn't name the request that a response belongs to. Whatever a server
wrote too much on a connection would be read as the response to the next
request on it, so a connection carries one request.
"""

import aiohttp

from savorybend.internal import backendanswers
from savorybend.internal import boundedresponses


def create_session() -> aiohttp.ClientSession:
    """Returns a session that opens a connection for each request."""
    return aiohttp.ClientSession(
        connector=boundedresponses.create_connector(),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        response_class=backendanswers.Response,
        timeout=aiohttp.ClientTimeout(total=None),
    )
