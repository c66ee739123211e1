"""Starts sites with a configuration in force."""

import contextlib

import aiohttp

from standins import caller as callers
from standins import site as sites
from tests import documents


@contextlib.asynccontextmanager
async def create(workers, described=None, **settings):
    """Yields a running site and a caller whose key is configured."""
    described = described or documents.create_site()
    async with (
        sites.create_site() as site,
        aiohttp.ClientSession() as session,
    ):
        await site.add(workers, **settings)
        code, output = await site.ctl(
            "config", "submit", "-", stdin=described.to_json().encode()
        )
        assert code == 0, output
        await site.wait_ready()
        yield site, callers.Caller(session, documents.MARUYAMA.text)


async def start_beside(site, server, slots=8):
    """Starts a daemon beside a server that doesn't announce itself."""
    worker = sites.Worker("back-1", "east", "back")
    await site.add((worker,), backends=False)
    document = documents.create_site().to_json().encode()
    code, output = await site.ctl("config", "submit", "-", stdin=document)
    assert code == 0, output
    url = f"http://{site.addresses['back-1'].local}/savorybend/v1/backend"
    announcement = {"address": server.address, "slots": slots}
    async with site.session.put(url, json=announcement) as response:
        assert response.status == 200
    await site.wait_ready()
