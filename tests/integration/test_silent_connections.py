"""Connections that go silent while new ones work, tested on processes."""

import asyncio
import hashlib
import json
import time

import aiohttp
import pytest
import pytest_asyncio

from standins import backend
from standins import caller
from standins import proxy
from standins import site as sites
from tests import documents

pytestmark = pytest.mark.asyncio(loop_scope="module")

# A typical deadline of callers.
_DEADLINE_S = 5.0
_PHOTO_BYTES = 32 * 1024 * 1024
_PART_BYTES = 1024 * 1024
_WORK_S = 0.3
# Longer than the detection of a dead daemon takes in a small fleet.
_DEATH_S = 9.0

_FAULTS = (
    proxy.Fault.SILENT,
    proxy.Fault.SILENT_UP,
    proxy.Fault.SILENT_DOWN,
    proxy.Fault.CUT,
)
_HEADERS = {
    "Authorization": f"Bearer {documents.MARUYAMA.text}",
    "Savorybend-Timeout": str(_DEADLINE_S),
}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def pair():
    """Two daemons that are connected only through proxies."""
    workers = (
        sites.Worker("back-1", "east", "back", work_ms=_WORK_S * 1000),
        sites.Worker("front-1", "east", "front"),
    )
    async with sites.create_site() as site:
        await site.add(workers, proxied=True)
        document = documents.create_site().to_json().encode()
        code, output = await site.ctl("config", "submit", "-", stdin=document)
        assert code == 0, output
        await site.wait_ready()
        yield site


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def person(pair):
    """A caller for the site of two daemons."""
    async with aiohttp.ClientSession() as session:
        yield caller.Caller(session, documents.MARUYAMA.text)


def _silence(site, fault):
    for each in site.proxies.values():
        each.inject(fault, affects_new=False)


async def _runs(site, request_id):
    return (await site.record("back-1"))["runs"].get(request_id, 0)


async def _call(site, person, path="/back"):
    return await person.call(
        site.addresses["front-1"].call, path, timeout_s=_DEADLINE_S
    )


@pytest.mark.parametrize("fault", _FAULTS)
@pytest.mark.parametrize("after_s", [0.0, _WORK_S / 3])
async def test_a_call_is_answered_over_a_new_connection(
    pair, person, fault, after_s
):
    await _call(pair, person)
    if after_s == 0.0:
        _silence(pair, fault)
    call = asyncio.create_task(_call(pair, person))
    await asyncio.sleep(after_s)
    _silence(pair, fault)
    result = await call
    assert result.outcome == "ran", result
    assert json.loads(result.body)["request_id"] == result.request_id
    assert await _runs(pair, result.request_id) == 1


@pytest.mark.parametrize("fault", _FAULTS)
async def test_a_photo_batch_comes_down_whole(pair, fault):
    url = f"http://{pair.addresses['front-1'].call}/back/photos/x"
    sent = {**_HEADERS, "X-Answer-Bytes": str(_PHOTO_BYTES)}
    received, expected = hashlib.sha256(), hashlib.sha256()
    for start in range(0, _PHOTO_BYTES, 65_536):
        expected.update(backend.part_at(start))
    async with pair.session.get(url, headers=sent) as answer:
        received.update(await answer.content.readexactly(_PART_BYTES))
        _silence(pair, fault)
        while data := await answer.content.readany():
            received.update(data)
    assert received.digest() == expected.digest()


@pytest.mark.parametrize("fault", _FAULTS)
async def test_a_photo_batch_goes_up_whole(pair, person, fault):
    sent = hashlib.sha256()

    async def parts():
        for number in range(_PHOTO_BYTES // _PART_BYTES):
            if number == 4:
                _silence(pair, fault)
            data = bytes([number]) * _PART_BYTES
            sent.update(data)
            yield data

    result = await person.call(
        pair.addresses["front-1"].call,
        "/back/photos/x",
        method="PUT",
        data=parts(),
        timeout_s=_DEADLINE_S,
    )
    assert result.outcome == "ran", result
    assert json.loads(result.body)["body_sha256"] == sent.hexdigest()
    assert await _runs(pair, result.request_id) == 1


async def test_a_frozen_peer_goes_on_where_it_stopped(pair, person):
    await _call(pair, person)
    calls = [asyncio.create_task(_call(pair, person)) for _ in range(4)]
    await asyncio.sleep(_WORK_S / 3)
    pair.freeze("back-1")
    calls += [asyncio.create_task(_call(pair, person)) for _ in range(4)]
    await asyncio.sleep(2.0)
    pair.resume("back-1")
    for result in await asyncio.gather(*calls):
        assert result.outcome == "ran", result
        assert await _runs(pair, result.request_id) == 1


async def test_a_peer_that_restarted_leaves_its_calls_unknown(pair, person):
    await _call(pair, person)
    call = asyncio.create_task(_call(pair, person))
    await asyncio.sleep(_WORK_S / 3)
    pair.kill("back-1")
    await pair.wait_ended("back-1")
    await pair.start_daemon("back-1")
    result = await call
    assert (result.outcome, result.status) == ("unknown", 502)
    assert result.seconds < _DEADLINE_S
    await pair.wait_listening("back-1")
    await pair.wait_ready()
    assert (await _call(pair, person)).outcome == "ran"


@pytest.mark.parametrize(
    "fault",
    [proxy.Fault.SILENT, proxy.Fault.SILENT_UP, proxy.Fault.SILENT_DOWN],
)
async def test_an_idle_silent_connection_ends_no_membership(
    pair, person, fault
):
    # Probes lost on an idle silent connection made two daemons declare each
    # other dead, which aborted the calls between them.
    assert (await _call(pair, person)).outcome == "ran"
    _silence(pair, fault)
    end_s = time.monotonic() + _DEATH_S
    while time.monotonic() < end_s:
        for name in pair.workers:
            known = {row["name"] for row in await pair.ask(name, "daemons")}
            assert known == set(pair.workers)
        await asyncio.sleep(0.2)
    assert (await _call(pair, person)).outcome == "ran"
