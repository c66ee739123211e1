"""A request is sent to a backend server at most once."""

import asyncio

import aiohttp
import pytest

from savorybend.internal import sendonce

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
async def test_a_request_on_a_broken_connection_is_not_sent_again(method):
    # aiohttp resends GET, PUT and DELETE when a reused connection breaks, so a
    # PUT on a non-idempotent route ran twice.
    seen = []

    async def serve(reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            seen.append(head)
            if len(seen) > 1:
                break
            writer.write(_ANSWER)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server, aiohttp.ClientSession() as session:
        for _ in range(2):
            try:
                async with session.request(
                    method,
                    f"http://{host}:{port}/",
                    middlewares=(sendonce.send_once,),
                ):
                    pass
            except sendonce.ConnectionBrokenError:
                break
    assert len(seen) == 2
