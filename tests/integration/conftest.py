"""Sites of real processes."""

import aiohttp
import pytest_asyncio

from standins import caller
from standins import site as sites
from tests import documents

CHAIN = (
    sites.Worker("front-1", "east", "front", children=("/front=GET:/middle",)),
    sites.Worker("middle-1", "east", "middle", children=("/middle=GET:/back",)),
    sites.Worker("back-1", "east", "back"),
)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def chain():
    """A site of three services that call one another, with callers."""
    async with sites.create_site() as site:
        await site.add(CHAIN, HEADER_LIMIT_BYTES="4096")
        document = documents.create_site().to_json().encode()
        code, output = await site.ctl("config", "submit", "-", stdin=document)
        assert code == 0, output
        await site.wait_ready()
        yield site


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def maruyama(chain):
    """A caller with a key in force."""
    async with aiohttp.ClientSession() as session:
        yield caller.Caller(session, documents.MARUYAMA.text)
