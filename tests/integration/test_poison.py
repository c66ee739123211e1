"""Tests that a request which crashes backend servers is quarantined."""

import asyncio
import collections

import aiohttp
import pytest
import pytest_asyncio

from standins import site as sites
from tests.integration import started

pytestmark = pytest.mark.asyncio(loop_scope="module")

_BACKS = tuple(f"back-{number}" for number in range(1, 5))
_WORKERS = (
    sites.Worker("front-1", "east", "front"),
    sites.Worker("front-2", "east", "front"),
    *(sites.Worker(name, "east", "back") for name in _BACKS),
)
_ENTRIES = ("front-1", *_BACKS)
_SENDINGS = 20
_COPIES = 8
_POLL_S = 0.05
_DEADLINE_S = 10.0


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def site_and_caller():
    async with started.create(_WORKERS) as both:
        yield both


async def _send_poison(site, caller, method, entry):
    headers = {"X-Crash": method}
    path = "/back/poison"
    if method == "POST":
        path = "/back/adjust"
        [request_id] = await caller.take_ids(entry, 1)
        headers["Savorybend-Request-Id"] = request_id
    return await caller.call(entry, path, method=method, headers=headers)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_poison_request_crashes_at_most_two_backend_servers(
    site, maruyama, method
):
    answers = []
    for number in range(_SENDINGS):
        entry = site.addresses[_ENTRIES[number % len(_ENTRIES)]].call
        answers.append(await _send_poison(site, maruyama, method, entry))
        other = await maruyama.call(entry, "/back/harmless")
        assert other.outcome == "ran"
    crashed = [n for n in _BACKS if site.ended(sites.backend_of(n))]
    assert 0 < len(crashed) <= 2
    assert (answers[-1].status, answers[-1].outcome) == (422, "not-run")
    assert answers[-1].reason == "quarantined"
    reasons = {answer.reason for answer in answers}
    assert reasons == {"backend-server-lost", "quarantined"}
    await _replace(site, crashed)


async def _replace(site, crashed):
    for name in crashed:
        await site.start_backend(name)
        await _wait_listening(site, name)
    await site.wait_ready()


async def _wait_listening(site, name):
    # Its daemon may not have noticed the crash, so the daemon's state can't be
    # used to wait.
    async with asyncio.timeout(_DEADLINE_S):
        while True:
            try:
                await site.record(name)
            except aiohttp.ClientError:
                await asyncio.sleep(_POLL_S)
            else:
                return


async def test_concurrent_copies_crash_at_most_one_more_backend_server(
    site, maruyama
):
    entries = [site.addresses[name].call for name in _ENTRIES]
    issuer = entries[0]
    first = await _send_copy(maruyama, issuer, issuer)
    assert first.reason == "backend-server-lost"
    copies = [
        _send_copy(maruyama, issuer, entries[number % len(entries)])
        for number in range(_SENDINGS)
    ]
    answers = await asyncio.gather(*copies)
    crashed = [n for n in _BACKS if site.ended(sites.backend_of(n))]
    reasons = collections.Counter((a.outcome, a.reason) for a in answers)
    print(len(crashed), dict(reasons))
    assert 0 < len(crashed) <= 2
    # A refusal on the VM where a copy entered was reported as
    # "issuer-unreachable".
    assert {reason for _, reason in reasons} <= {
        "backend-server-lost",
        "suspect",
        "quarantined",
    }
    await _replace(site, crashed)


async def _send_copy(caller, issuer, entry):
    [request_id] = await caller.take_ids(issuer, 1)
    return await caller.call(
        entry,
        "/back/adjust",
        method="POST",
        headers={"X-Crash": "at-once", "Savorybend-Request-Id": request_id},
    )


async def _look_up(caller, entry, size):
    headers = {"X-Answer-Bytes": str(size)} if size else {}
    return await caller.call(entry, "/back/popular", headers=headers)


# Uses two ingress daemons, since each has its own budget of ten retries.
@pytest.mark.parametrize(
    ("size", "entry"), [(0, "front-1"), (1_000_000, "front-2")]
)
async def test_unrelated_lookups_in_flight_during_a_crash_run_elsewhere(
    site, maruyama, size, entry
):
    for name in _BACKS:
        await site.control(name, slow=1000)
    address = site.addresses[entry].call
    copies = [
        asyncio.create_task(_look_up(maruyama, address, size))
        for _ in range(_COPIES)
    ]
    victim, count = await _wait_for_copies(site)
    # Several copies are in flight at the only backend server that is killed.
    assert count > 1
    for name in _BACKS:
        await site.control(name, slow=1)
    site.kill(sites.backend_of(victim))
    answers = await asyncio.gather(*copies)
    reasons = collections.Counter((a.outcome, a.reason) for a in answers)
    print(dict(reasons))
    assert set(reasons) == {("ran", "")}
    await site.wait_ended(sites.backend_of(victim))
    await _replace(site, [victim])
    # The lookup is no longer a suspect, so copies run concurrently.
    copies = [
        _look_up(maruyama, site.addresses[name].call, size)
        for name in _ENTRIES * 3
    ]
    answers = await asyncio.gather(*copies)
    assert {answer.outcome for answer in answers} == {"ran"}


async def _wait_for_copies(site):
    """Returns the backend server that has the most copies, and how many."""
    async with asyncio.timeout(_DEADLINE_S):
        while True:
            held = {n: (await site.record(n))["in_use"] for n in _BACKS}
            if sum(held.values()) == _COPIES:
                return max(held.items(), key=lambda item: item[1])
            await asyncio.sleep(_POLL_S)
