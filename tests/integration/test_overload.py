"""Overload on real processes: doomed work is refused where it enters."""

import asyncio
import collections
import contextlib

import aiohttp
import pytest

from standins import caller
from standins import site as sites
from tests import documents

_CALLERS = 40
_PAUSE_S = 0.02

# The entry has slots to spare, so it has no reason of its own to refuse.
_DEEP = (
    sites.Worker("front-1", "east", "front", 200, 1.0, ("/front=GET:/back",)),
    sites.Worker("back-1", "east", "back", 2, 50.0),
)
_FLAT = (sites.Worker("back-1", "east", "back", 2, 20.0),)


@contextlib.asynccontextmanager
async def _site(workers, off=""):
    async with sites.create_site() as site:
        await site.add(workers, EXPERIMENT=off)
        document = documents.create_site().to_json().encode()
        code, output = await site.ctl("config", "submit", "-", stdin=document)
        assert code == 0, output
        await site.wait_ready()
        yield site


async def _keep_calling(site, key, path, count, results):
    async with aiohttp.ClientSession() as session:
        person = caller.Caller(session, key.text)
        address = next(iter(site.addresses.values())).call
        for _ in range(count):
            results.append(await person.call(address, path))
            await asyncio.sleep(_PAUSE_S)


async def _flood(site, path, count):
    results = []
    await asyncio.gather(
        *(
            _keep_calling(site, documents.OTARU, path, count, results)
            for _ in range(_CALLERS)
        )
    )
    return results


# Without thresholds the front runs every request, and its answer is partial.
@pytest.mark.parametrize(
    ("off", "refused"), [("", True), ("thresholds", False)]
)
async def test_work_that_a_deeper_service_would_refuse_never_starts(
    off, refused
):
    async with _site(_DEEP, off) as site:
        results = await _flood(site, "/front", 150)
        ran = (await site.record("front-1"))["runs"]
    counts = collections.Counter(result.outcome for result in results)
    assert set(counts) <= {"ran", "partial", "not-run"}
    assert bool(counts["not-run"]) == refused
    for result in results:
        if result.outcome == "not-run":
            assert result.request_id not in ran
            assert result.retry_after_s > 0


# Without fairness the calm account waits its turn behind the flood.
@pytest.mark.parametrize(("off", "served"), [("", True), ("fairness", False)])
async def test_a_flood_of_one_account_refuses_nothing_of_another(off, served):
    async with _site(_FLAT, off) as site:
        calm = []
        flood = asyncio.create_task(_flood(site, "/back", 60))
        await _keep_calling(site, documents.MARUYAMA, "/back", 30, calm)
        results = await flood
    assert any(result.reason == "overloaded" for result in results)
    assert all(result.outcome == "ran" for result in calm) == served
