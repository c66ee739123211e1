"""Sites of real processes.

A module that needs another site than the chain overrides `site_and_caller`.
"""

import pytest
import pytest_asyncio

from standins import site as sites
from tests.integration import started

CHAIN = (
    sites.Worker("front-1", "east", "front", children=("/front=GET:/middle",)),
    sites.Worker("middle-1", "east", "middle", children=("/middle=GET:/back",)),
    sites.Worker("back-1", "east", "back"),
)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def site_and_caller():
    """A site of three services that call one another, and a caller."""
    async with started.create(CHAIN, HEADER_LIMIT_BYTES="4096") as both:
        yield both


@pytest.fixture(scope="module")
def site(site_and_caller):
    """The module's site."""
    return site_and_caller[0]


@pytest.fixture(scope="module")
def maruyama(site_and_caller):
    """A caller with a key in force."""
    return site_and_caller[1]


@pytest.fixture(scope="module")
def chain(site):
    """The site, where a module relies on its being the chain."""
    return site
