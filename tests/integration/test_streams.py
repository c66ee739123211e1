"""Large bodies: bounded memory, size limits, and resources released."""

import asyncio
import pathlib
import re

import pytest
import pytest_asyncio

from savorybend.internal import bodies
from standins import caller
from standins import site as sites
from tests import documents

pytestmark = pytest.mark.asyncio(loop_scope="module")

_PHOTO_BYTES = 128 * 1024 * 1024
# A body has a window on each hop, plus the buffers of the libraries. The bound
# is an eighth of the body.
_MEMORY_BYTES = 64 * bodies.WINDOW_BYTES
_LIMIT_BYTES = 160 * 1024 * 1024
_PART = bytes(1024 * 1024)
_WAIT_S = 15.0
_PATH = "/back/photos/x"
_ENTRIES = ("back-1", "front-1")
_KEY = {"Authorization": f"Bearer {documents.MARUYAMA.text}"}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def pair():
    """Two daemons with a limit on bodies."""
    workers = (
        sites.Worker("back-1", "east", "back"),
        sites.Worker("front-1", "east", "front"),
    )
    async with sites.create_site() as site:
        await site.add(workers, BODY_LIMIT_BYTES=str(_LIMIT_BYTES))
        document = documents.create_site().to_json().encode()
        code, output = await site.ctl("config", "submit", "-", stdin=document)
        assert code == 0, output
        await site.wait_ready()
        yield site


async def _upload(site, entry, size):
    async def parts():
        for _ in range(size // len(_PART)):
            yield _PART

    person = caller.Caller(site.session, documents.MARUYAMA.text)
    return await person.call(
        site.addresses[entry].call, _PATH, method="PUT", data=parts()
    )


async def _download(site, entry, size):
    url = f"http://{site.addresses[entry].call}{_PATH}"
    sent = {**_KEY, "X-Answer-Bytes": str(size)}
    received = 0
    async with site.session.get(url, headers=sent) as answer:
        while data := await answer.content.readany():
            received += len(data)
    assert received == size


def _peak_bytes(site, name):
    status = pathlib.Path(f"/proc/{site.pid(name)}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024


async def _wait_idle(site):
    """Waits until no call is in flight or occupies a slot."""
    async with asyncio.timeout(_WAIT_S):
        for name in site.workers:
            while True:
                status = await site.ask(name, "status")
                record = await site.record(name)
                held = status["in_flight"] + status["in_use"]
                if held + record["in_use"] == 0:
                    break
                await asyncio.sleep(0.05)


async def test_memory_grows_with_the_window_and_not_with_the_body(pair):
    for size in (4 * len(_PART), _PHOTO_BYTES):
        before = {name: _peak_bytes(pair, name) for name in pair.workers}
        assert (await _upload(pair, "front-1", size)).outcome == "ran"
        await _download(pair, "front-1", size)
    for name in pair.workers:
        assert _peak_bytes(pair, name) - before[name] < _MEMORY_BYTES


@pytest.mark.parametrize("entry", _ENTRIES)
async def test_a_chunked_upload_over_the_limit_is_refused(pair, entry):
    result = await _upload(pair, entry, _LIMIT_BYTES + len(_PART))
    assert (result.status, result.reason) == (413, "body-too-large")
    assert result.outcome != "ran"
    await _wait_idle(pair)


@pytest.mark.parametrize("entry", _ENTRIES)
async def test_a_caller_that_leaves_during_its_upload_holds_nothing(
    pair, entry
):
    host, _, port = pair.addresses[entry].call.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"PUT {_PATH} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: {_KEY['Authorization']}\r\n"
        f"Content-Length: {_PHOTO_BYTES}\r\n\r\n"
    )
    writer.write(head.encode() + _PART)
    await _wait_busy(pair, "back-1")
    writer.transport.abort()
    await _wait_idle(pair)


@pytest.mark.parametrize("entry", _ENTRIES)
async def test_a_caller_that_leaves_during_its_download_holds_nothing(
    pair, entry
):
    url = f"http://{pair.addresses[entry].call}{_PATH}"
    sent = {**_KEY, "X-Answer-Bytes": str(_PHOTO_BYTES)}
    answer = await pair.session.get(url, headers=sent)
    await answer.content.readexactly(len(_PART))
    await _wait_busy(pair, "back-1")
    answer.close()
    await _wait_idle(pair)


@pytest.mark.parametrize("entry", _ENTRIES)
async def test_a_body_that_stalls_ends_at_the_deadline(pair, entry):
    host, _, port = pair.addresses[entry].call.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = (
        f"PUT {_PATH} HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: {_KEY['Authorization']}\r\n"
        "Savorybend-Timeout: 1\r\n"
        f"Content-Length: 100\r\n\r\n"
    )
    writer.write(head.encode())
    line = await asyncio.wait_for(reader.readline(), _WAIT_S)
    assert b" 504 " in line
    writer.close()
    await _wait_idle(pair)


async def _wait_busy(site, name):
    async with asyncio.timeout(_WAIT_S):
        while not (await site.ask(name, "status"))["in_use"]:
            await asyncio.sleep(0.02)
