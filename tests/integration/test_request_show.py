"""`savorybendctl request` tells outcomes apart, whatever has failed."""

import asyncio

import pytest
import pytest_asyncio

from standins import site as sites
from tests.integration import started

pytestmark = pytest.mark.asyncio(loop_scope="module")

_WORKERS = (
    sites.Worker("front-1", "east", "front", children=("/front=GET:/back",)),
    sites.Worker("back-1", "east", "back"),
    sites.Worker("back-2", "west", "back"),
)
_POLL_S = 0.05


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def site_and_caller():
    async with started.create(_WORKERS) as both:
        yield both


async def _outcome(site, request_id):
    code, output = await site.ctl("request", "show", request_id)
    assert code == 0, output
    [line] = [ln for ln in output.splitlines() if ln.startswith("outcome ")]
    return line.removeprefix("outcome").strip()


async def _replace_vm(site, name):
    for process in (name, sites.backend_of(name)):
        site.kill(process)
        await site.wait_ended(process)
    await site.start_daemon(name)
    await site.start_backend(name)
    await site.wait_listening(name)
    await site.wait_ready()


async def _adjust(site, person, issuer, entry):
    [request_id] = await person.take_ids(site.addresses[issuer].call, 1)
    answer = await person.call(
        site.addresses[entry].call,
        "/back/adjust",
        method="POST",
        headers={"Savorybend-Request-Id": request_id},
    )
    return request_id, answer


async def test_ran_refused_and_answered_in_part(site, maruyama):
    front = site.addresses["front-1"].call
    ran = await maruyama.call(front, "/front")
    assert await _outcome(site, ran.request_id) == "ran"
    child = f"{ran.request_id}/1"
    assert await _outcome(site, child) == "ran"
    refused = await maruyama.call(front, "/middle")
    told = await _outcome(site, refused.request_id)
    assert told == "refused, nothing ran (no-backend-server)"
    for name in ("back-1", "back-2"):
        await site.control(name, fail=True)
    partial = await maruyama.call(front, "/front")
    for name in ("back-1", "back-2"):
        await site.control(name, fail=False)
    assert await _outcome(site, partial.request_id) == "answered in part"
    _, listed = await site.ctl(
        "request", "list", "--client-account", "maruyama", "--since", "15m"
    )
    rows = [line for line in listed.splitlines() if ran.request_id in line]
    assert len(rows) == 1
    assert " ran" in rows[0]


async def test_never_seen(site, maruyama):
    [unused] = await maruyama.take_ids(site.addresses["back-1"].call, 1)
    told = await _outcome(site, unused)
    assert told == "never seen (the ID was issued and not used)"
    issuer, incarnation, _ = unused.split(".")
    told = await _outcome(site, f"{issuer}.{incarnation}.ffffff")
    assert told == "never seen (the ID was never issued)"


async def test_in_flight_and_a_backend_server_lost(site, maruyama):
    await site.control("back-1", slow=10_000)
    back = site.addresses["back-1"].call
    [request_id] = await maruyama.take_ids(back, 1)
    call = asyncio.create_task(
        maruyama.call(
            back,
            "/back/adjust",
            method="POST",
            headers={"Savorybend-Request-Id": request_id},
        )
    )
    while (await site.record("back-1"))["in_use"] == 0:
        await asyncio.sleep(_POLL_S)
    assert await _outcome(site, request_id) == "in flight"
    site.kill(sites.backend_of("back-1"))
    assert (await call).outcome == "unknown"
    assert await _outcome(site, request_id) == "unknown (backend-server-lost)"
    await site.start_backend("back-1")
    await site.wait_ready()


async def test_its_vm_was_lost(site, maruyama):
    served, answer = await _adjust(site, maruyama, "back-2", "back-2")
    assert answer.outcome == "ran"
    await _replace_vm(site, "back-2")
    told = await _outcome(site, served)
    assert told == "can't be known: its VM was lost (back-2); see its effect"
    elsewhere, answer = await _adjust(site, maruyama, "front-1", "front-1")
    assert answer.outcome == "ran"
    # The entry's journal is gone too, but the backend server's daemon knows.
    await _replace_vm(site, "front-1")
    assert await _outcome(site, elsewhere) == "ran"
