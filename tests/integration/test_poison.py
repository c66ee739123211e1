"""A request that crashes backend servers is kept from the next ones."""

import pytest
import pytest_asyncio

from standins import site as sites
from tests.integration import started

pytestmark = pytest.mark.asyncio(loop_scope="module")

_BACKS = tuple(f"back-{number}" for number in range(1, 5))
_WORKERS = (
    sites.Worker("front-1", "east", "front"),
    *(sites.Worker(name, "east", "back") for name in _BACKS),
)
_ENTRIES = ("front-1", *_BACKS)
_SENDINGS = 20


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def made():
    async with started.create(_WORKERS) as both:
        yield both


@pytest.fixture
def site(made):
    return made[0]


@pytest.fixture
def maruyama(made):
    return made[1]


async def _send_poison(site, person, method, entry):
    headers = {"X-Crash": method}
    path = "/back/poison"
    if method == "POST":
        path = "/back/adjust"
        [request_id] = await person.take_ids(entry, 1)
        headers["Savorybend-Request-Id"] = request_id
    return await person.call(entry, path, method=method, headers=headers)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_a_poison_request_kills_at_most_two(site, maruyama, method):
    answers = []
    for number in range(_SENDINGS):
        entry = site.addresses[_ENTRIES[number % len(_ENTRIES)]].call
        answers.append(await _send_poison(site, maruyama, method, entry))
        other = await maruyama.call(entry, "/back/harmless")
        assert other.outcome == "ran"
    dead = [n for n in _BACKS if site.ended(sites.backend_of(n))]
    assert 0 < len(dead) <= 2
    assert (answers[-1].status, answers[-1].outcome) == (422, "not-run")
    assert answers[-1].reason == "quarantined"
    told = {answer.reason for answer in answers}
    assert told == {"backend-server-lost", "quarantined"}
    for name in dead:
        await site.start_backend(name)
    await site.wait_ready()
