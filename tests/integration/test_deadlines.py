"""Work whose deadline passed while its VM was paused is not begun."""

import asyncio

import pytest
import pytest_asyncio

from standins import site as sites
from tests.integration import started

pytestmark = pytest.mark.asyncio(loop_scope="module")

_WORKERS = (
    sites.Worker("front-1", "east", "front"),
    sites.Worker("back-1", "east", "back", work_ms=20),
)
_CALLS = 8
_TIMEOUT_S = 0.4
_DEADLINE_S = 10.0
_POLL_S = 0.05


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def made():
    async with started.create(_WORKERS) as both:
        yield both


async def _send(site, person, method):
    headers = {}
    entry = site.addresses["front-1"].call
    if method == "POST":
        [request_id] = await person.take_ids(entry, 1)
        headers["Savorybend-Request-Id"] = request_id
    return await person.call(
        entry,
        "/back/adjust",
        method=method,
        headers=headers,
        timeout_s=_TIMEOUT_S,
    )


async def _wait_served(site, person, method):
    """Waits until the daemon serves again; returns the ID that it ran."""
    async with asyncio.timeout(_DEADLINE_S):
        while True:
            answer = await _send(site, person, method)
            if answer.outcome == "ran":
                return answer.request_id
            await asyncio.sleep(_POLL_S)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_calls_that_ran_out_of_time_are_not_begun_later(
    site, maruyama, method
):
    await _wait_served(site, maruyama, method)
    site.freeze("back-1")
    answers = await asyncio.gather(
        *(_send(site, maruyama, method) for _ in range(_CALLS))
    )
    site.resume("back-1")
    assert {answer.outcome for answer in answers} == {"unknown"}
    late = {answer.request_id for answer in answers}
    served = await _wait_served(site, maruyama, method)
    runs = set((await site.record("back-1"))["runs"])
    print(f"{len(runs & late)} of {len(late)} begun after their deadline")
    assert served in runs
    assert not runs & late
