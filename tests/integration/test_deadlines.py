"""A daemon that was suspended doesn't dispatch calls past their deadline."""

import asyncio

import pytest
import pytest_asyncio

from standins import site as sites
from tests.integration import started

pytestmark = pytest.mark.asyncio(loop_scope="module")

_DAEMONS = (
    sites.Worker("front-1", "east", "front"),
    sites.Worker("back-1", "east", "back", work_ms=20),
)
_CALLS = 8
_CALL_TIMEOUT_S = 0.4
_SERVED_WITHIN_S = 10.0
_POLL_S = 0.05


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def site_and_caller():
    async with started.create(_DAEMONS) as both:
        yield both


async def _send(site, caller, method):
    headers = {}
    entry = site.addresses["front-1"].call
    if method == "POST":
        [request_id] = await caller.take_ids(entry, 1)
        headers["Savorybend-Request-Id"] = request_id
    return await caller.call(
        entry,
        "/back/adjust",
        method=method,
        headers=headers,
        timeout_s=_CALL_TIMEOUT_S,
    )


async def _wait_until_served(site, caller, method):
    """Calls until a call runs; returns the ID of that call."""
    async with asyncio.timeout(_SERVED_WITHIN_S):
        while True:
            answer = await _send(site, caller, method)
            if answer.outcome == "ran":
                return answer.request_id
            await asyncio.sleep(_POLL_S)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_calls_past_their_deadline_are_not_dispatched_after_a_pause(
    site, maruyama, method
):
    await _wait_until_served(site, maruyama, method)
    site.freeze("back-1")
    answers = await asyncio.gather(
        *(_send(site, maruyama, method) for _ in range(_CALLS))
    )
    site.resume("back-1")
    assert {answer.outcome for answer in answers} == {"unknown"}
    late = {answer.request_id for answer in answers}
    served = await _wait_until_served(site, maruyama, method)
    runs = set((await site.record("back-1"))["runs"])
    print(f"{len(runs & late)} of {len(late)} begun after their deadline")
    assert served in runs
    assert not runs & late
