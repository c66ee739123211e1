"""Retry budgets and cancellation along chains of child calls."""

import asyncio
import collections

import pytest
import pytest_asyncio

from standins import site as sites
from tests import documents
from tests.integration import started

pytestmark = pytest.mark.asyncio(loop_scope="module")

_DEPTH = 18
_SERVICES = ("front", "middle", "back")
_RETRIES = 3
_POLL_S = 0.05
_WAIT_LIMIT_S = 10.0


def _hops(service):
    """Returns the child calls that a service makes in the long chain."""
    return tuple(
        f"/hop{hop}/=GET:/hop{hop + 1}/x"
        for hop in range(_DEPTH - 1)
        if _SERVICES[hop % 3] == service
    )


def _chain(service):
    return (*_hops(service), f"/{service}=GET:/{_NEXT_SERVICE[service]}")


_NEXT_SERVICE = {"front": "middle", "middle": "back"}
_DAEMONS = (
    sites.Worker("front-1", "east", "front", children=_chain("front")),
    sites.Worker("middle-1", "east", "middle", children=_chain("middle")),
    sites.Worker("back-1", "east", "back", children=_hops("back")),
)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def site_and_caller():
    document = documents.create_site()
    for hop in range(_DEPTH):
        document.add_route(
            f"hop{hop}", path=f"/hop{hop}", service=_SERVICES[hop % 3]
        )
    async with started.create(_DAEMONS, document) as both:
        yield both


async def _runs_by_depth(site, request_id):
    """Returns the number of runs at each depth of a request's call tree."""
    found = collections.Counter()
    for name in site.workers:
        record = await site.record(name)
        for ran, count in record["runs"].items():
            if ran.startswith(f"{request_id}/") or ran == request_id:
                found[ran.count("/")] += count
    return found


async def test_a_deep_chain_spends_no_more_than_the_budget(site, maruyama):
    for name in site.workers:
        await site.control(name, fail=f"/hop{_DEPTH - 1}", fail_above=True)
    entry = site.addresses["front-1"].call
    for _ in range(3):
        result = await maruyama.call(entry, "/hop0/x")
        runs_by_depth = await _runs_by_depth(site, result.request_id)
        print(sorted(runs_by_depth.items()))
        assert (result.status, result.outcome) == (500, "partial")
        assert set(runs_by_depth) == set(range(_DEPTH))
        assert max(runs_by_depth.values()) <= 1 + _RETRIES
        assert sum(runs_by_depth.values()) <= _DEPTH + _RETRIES
        # The daemon next to the failing service retried the call.
        assert runs_by_depth[_DEPTH - 1] > 1


async def test_a_daemon_retries_only_a_fraction_of_its_calls(site, maruyama):
    await site.control("back-1", fail="/back")
    entry = site.addresses["middle-1"].call
    calls = 100
    for _ in range(calls):
        assert (await maruyama.call(entry, "/back")).status == 500
    record = await site.record("back-1")
    retried = sum(n - 1 for ran, n in record["runs"].items() if "/" not in ran)
    # One retry for ten calls, and the ten saved retries of a new daemon.
    assert 10 <= retried <= calls / 10 + 10


async def _wait_until(site, name, holds):
    async with asyncio.timeout(_WAIT_LIMIT_S):
        while not holds(await site.record(name)):
            await asyncio.sleep(_POLL_S)


async def _start_slow_chain(site, caller, timeout_s):
    """Starts a call that occupies all three backend servers."""
    for name in site.workers:
        await site.control(name, fail=False, slow=1)
    await site.control("back-1", slow=10_000)
    entry = site.addresses["front-1"].call
    call = asyncio.create_task(
        caller.call(entry, "/front", timeout_s=timeout_s)
    )
    for name in site.workers:
        await _wait_until(site, name, lambda record: record["in_use"] == 1)
    return call


async def test_a_chain_is_cancelled_when_its_caller_leaves(site, maruyama):
    before = {n: (await site.record(n))["cancelled"] for n in site.workers}
    call = await _start_slow_chain(site, maruyama, timeout_s=None)
    call.cancel()
    for name, count in before.items():
        await _wait_until(
            site, name, lambda record, n=count: record["cancelled"] == n + 1
        )


async def test_a_chain_stops_at_its_deadline(site, maruyama):
    before = (await site.record("back-1"))["cancelled"]
    call = await _start_slow_chain(site, maruyama, timeout_s=1.0)
    async with asyncio.timeout(_WAIT_LIMIT_S):
        answer = await call
    assert answer.status in (200, 504)
    assert answer.outcome in ("partial", "unknown")
    await _wait_until(
        site, "back-1", lambda record: record["cancelled"] == before + 1
    )
    # The calls above it are cancelled too, or get the answer of their child
    # call in time.
    for name in site.workers:
        await _wait_until(site, name, lambda record: record["in_use"] == 0)
