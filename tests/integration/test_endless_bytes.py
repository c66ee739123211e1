"""Bytes without end of a backend server don't use up a daemon's memory."""

import asyncio
import contextlib
import itertools
import pathlib

import aiohttp
import pytest

from standins import rawbackend
from standins import site as sites
from tests import documents

_CALLS = 50
# For each call a window of 256 KiB, what is read at once and its copies.
_MAX_GROWTH_MB = 2 * _CALLS
_FLOOD_S = 3.0
_FLOODS = {
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-Y: z\r\n" * 1000),
    "one header": (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 10_000),
    "a status line": (b"HTTP/1.1 200 ", b"OK" * 5_000),
    "a body without length": (b"HTTP/1.1 200 OK\r\n\r\n", b"z" * 100_000),
    "a chunked body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"fff0\r\n" + b"z" * 65_520 + b"\r\n",
    ),
    "a body of a huge length": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"z" * 100_000,
    ),
    "a failure's body": (
        b"HTTP/1.1 503 Full\r\nSavorybend-Outcome: not-run\r\n\r\n",
        b"z" * 100_000,
    ),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Y: z\r\n" * 1000,
    ),
    "no response": (b"", b"z" * 100_000),
}


def _flood(name):
    begin, repeated = _FLOODS[name]

    async def answer(exchange):
        for data in itertools.chain([begin], itertools.repeat(repeated)):
            exchange.writer.write(data)
            await exchange.writer.drain()

    return answer


def _memory_mb(site, name):
    path = pathlib.Path(f"/proc/{site.pid(name)}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _start_daemon(site, server):
    worker = sites.Worker("back-1", "east", "back")
    await site.add((worker,), backends=False)
    document = documents.create_site().to_json().encode()
    code, output = await site.ctl("config", "submit", "-", stdin=document)
    assert code == 0, output
    url = f"http://{site.addresses['back-1'].local}/savorybend/v1/backend"
    announcement = {"address": server.address, "slots": 50}
    async with site.session.put(url, json=announcement) as response:
        assert response.status == 200
    await site.wait_ready()


async def _call(site, number):
    """Calls the server, and reads nothing of what comes."""
    headers = {"Authorization": f"Bearer {documents.MARUYAMA.text}"}
    url = f"http://{site.addresses['back-1'].call}/back/{number}"
    with contextlib.suppress(TimeoutError, aiohttp.ClientError):
        async with asyncio.timeout(_FLOOD_S):
            async with site.session.get(url, headers=headers):
                await asyncio.sleep(_FLOOD_S)


@pytest.mark.parametrize("name", _FLOODS)
async def test_bytes_without_end_leave_a_daemon_its_memory(name):
    server = rawbackend.create_raw_server(_flood(name))
    async with server.serve(), sites.create_site() as site:
        await _start_daemon(site, server)
        before_mb = _memory_mb(site, "back-1")
        await asyncio.gather(*(_call(site, n) for n in range(_CALLS)))
        grown_mb = _memory_mb(site, "back-1") - before_mb
        print(f"{name}: {before_mb:.0f} MiB, grew by {grown_mb:.0f} MiB")
        assert server.requests > 0
        assert grown_mb < _MAX_GROWTH_MB
        assert not site.ended("back-1")
