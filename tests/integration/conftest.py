"""Fixtures that run a site of real processes.

A module that needs a site other than `CHAIN` overrides the fixture
`site_and_caller`.
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
    """A site of three services that call one another in turn, and a caller."""
    async with started.create(CHAIN, HEADER_LIMIT_BYTES="4096") as both:
        yield both


@pytest.fixture(scope="module")
def site(site_and_caller):
    """The site that this module's tests share."""
    return site_and_caller[0]


@pytest.fixture(scope="module")
def maruyama(site_and_caller):
    """A caller whose key is configured."""
    return site_and_caller[1]


@pytest.fixture(scope="module")
def chain(site):
    """The site, for tests that rely on the services of `CHAIN`."""
    return site
