"""Tests that a graceful shutdown completes requests in flight."""

import asyncio

import aiohttp
import pytest

from standins import caller
from standins import site as sites
from tests import documents

pytestmark = pytest.mark.asyncio


async def test_requests_in_flight_finish_after_sigterm():
    async with (
        sites.create_site() as site,
        aiohttp.ClientSession() as session,
    ):
        worker = sites.Worker("back-1", "east", "back", work_ms=1500)
        await site.add([worker])
        document = documents.create_site().to_json().encode()
        await site.ctl("config", "submit", "-", stdin=document)
        await site.wait_ready()
        client = caller.Caller(session, documents.MARUYAMA.text)
        address = site.addresses["back-1"].call
        in_flight = [
            asyncio.create_task(client.call(address, "/back")) for _ in range(8)
        ]
        await asyncio.sleep(0.3)
        site.terminate("back-1")
        results = await asyncio.gather(*in_flight)
        assert {result.outcome for result in results} == {"ran"}
        assert await site.wait_ended("back-1") == 0
