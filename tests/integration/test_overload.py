"""Overload on real processes: admission at the ingress, and fairness."""

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

# front-1 has free slots, so only the overload of back-1 can cause refusals.
_CHAIN_DAEMONS = (
    sites.Worker("front-1", "east", "front", 200, 1.0, ("/front=GET:/back",)),
    sites.Worker("back-1", "east", "back", 2, 50.0),
)
_SINGLE_DAEMON = (sites.Worker("back-1", "east", "back", 2, 20.0),)


@contextlib.asynccontextmanager
async def _site(workers, off=""):
    async with sites.create_site() as site:
        await site.add(workers, EXPERIMENT=off)
        document = documents.create_site().to_json().encode()
        code, output = await site.ctl("config", "submit", "-", stdin=document)
        assert code == 0, output
        await site.wait_ready()
        yield site


async def _call_repeatedly(site, key, path, count, results):
    async with aiohttp.ClientSession() as session:
        client = caller.Caller(session, key.text)
        address = next(iter(site.addresses.values())).call
        for _ in range(count):
            results.append(await client.call(address, path))
            await asyncio.sleep(_PAUSE_S)


async def _flood(site, path, count):
    results = []
    await asyncio.gather(
        *(
            _call_repeatedly(site, documents.OTARU, path, count, results)
            for _ in range(_CALLERS)
        )
    )
    return results


# With thresholds off, front-1 runs every request, and answers `partial` where
# its child call is refused.
@pytest.mark.parametrize(
    ("off", "refused"), [("", True), ("thresholds", False)]
)
async def test_requests_a_child_service_would_shed_are_refused_at_ingress(
    off, refused
):
    async with _site(_CHAIN_DAEMONS, off) as site:
        results = await _flood(site, "/front", 150)
        ran = (await site.record("front-1"))["runs"]
    counts = collections.Counter(result.outcome for result in results)
    assert set(counts) <= {"ran", "partial", "not-run"}
    assert bool(counts["not-run"]) == refused
    for result in results:
        if result.outcome == "not-run":
            assert result.request_id not in ran
            assert result.retry_after_s > 0


# With fairness off, calls of the second account queue behind the flood.
@pytest.mark.parametrize(("off", "served"), [("", True), ("fairness", False)])
async def test_overload_by_one_account_does_not_affect_another(off, served):
    async with _site(_SINGLE_DAEMON, off) as site:
        second_account_results = []
        flood = asyncio.create_task(_flood(site, "/back", 60))
        await _call_repeatedly(
            site, documents.MARUYAMA, "/back", 30, second_account_results
        )
        results = await flood
    assert any(result.reason == "overloaded" for result in results)
    assert (
        all(result.outcome == "ran" for result in second_account_results)
        == served
    )
