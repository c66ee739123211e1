"""Responses without end are given up by every reader of them."""

import asyncio

import aiohttp
import pytest

from savorybend.internal import errors
from savorybend.internal import platform
from savorybend.internal import sessions
from standins import rawbackend
from tests import floods

_MAX_SENT_BYTES = 32 << 20


class _Flood:
    """Writes bytes without end, and counts those that were taken."""

    def __init__(self, name):
        self.sent_bytes = 0
        self._name = name

    async def answer(self, exchange):
        for data in floods.write(self._name):
            exchange.writer.write(data)
            await exchange.writer.drain()
            self.sent_bytes += len(data)


@pytest.mark.parametrize("name", floods.FLOODS)
async def test_a_reader_gives_up_a_response_without_end(name):
    # The store's client, the command line and daemons read such ones for as
    # long as they had time.
    flood = _Flood(name)
    server = rawbackend.create_raw_server(flood.answer)
    async with (
        server.serve(),
        sessions.create_session() as session,
        asyncio.timeout(20.0),
    ):
        with pytest.raises(aiohttp.ClientError):
            async with session.get(f"http://{server.address}/") as response:
                await response.read()
    assert flood.sent_bytes <= _MAX_SENT_BYTES


async def test_the_platforms_client_gives_up_a_body_without_end():
    flood = _Flood("a body without length")
    server = rawbackend.create_raw_server(flood.answer)
    async with server.serve(), sessions.create_session() as session:
        client = platform.create_platform(f"http://{server.address}", session)
        with pytest.raises(errors.PlatformUnavailableError):
            await client.get("config", "main")
    assert flood.sent_bytes <= _MAX_SENT_BYTES


async def test_some_interim_responses_come_before_a_final_one():
    async def answer(exchange):
        await exchange.write(
            b"HTTP/1.1 100 Continue\r\n\r\n" * 16,
            rawbackend.create_response(200, b"done"),
        )

    server = rawbackend.create_raw_server(answer)
    async with (
        server.serve(),
        sessions.create_session() as session,
        session.get(f"http://{server.address}/") as response,
    ):
        assert await response.read() == b"done"
