"""Bytes without end of a backend server don't use up a daemon's memory."""

import asyncio
import contextlib
import pathlib

import aiohttp
import pytest

from standins import rawbackend
from standins import site as sites
from tests import documents
from tests import floods
from tests.integration import started

_CALLS = 50
# For each call a window of 256 KiB, what is read at once and its copies.
_MAX_GROWTH_MB = 2 * _CALLS
_FLOOD_S = 3.0


def _flood(name):
    async def answer(exchange):
        for data in floods.write(name):
            exchange.writer.write(data)
            await exchange.writer.drain()

    return answer


def _memory_mb(site, name):
    path = pathlib.Path(f"/proc/{site.pid(name)}/status")
    for line in path.read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def _call(site, number):
    """Calls the server, and reads nothing of what comes."""
    headers = {"Authorization": f"Bearer {documents.MARUYAMA.text}"}
    url = f"http://{site.addresses['back-1'].call}/back/{number}"
    with contextlib.suppress(TimeoutError, aiohttp.ClientError):
        async with asyncio.timeout(_FLOOD_S):
            async with site.session.get(url, headers=headers):
                await asyncio.sleep(_FLOOD_S)


@pytest.mark.parametrize("name", floods.FLOODS)
async def test_bytes_without_end_leave_a_daemon_its_memory(name):
    server = rawbackend.create_raw_server(_flood(name))
    async with server.serve(), sites.create_site() as site:
        await started.start_beside(site, server, _CALLS)
        before_mb = _memory_mb(site, "back-1")
        await asyncio.gather(*(_call(site, n) for n in range(_CALLS)))
        grown_mb = _memory_mb(site, "back-1") - before_mb
        print(f"{name}: {before_mb:.0f} MiB, grew by {grown_mb:.0f} MiB")
        assert server.requests > 0
        assert grown_mb < _MAX_GROWTH_MB
        assert not site.ended("back-1")
