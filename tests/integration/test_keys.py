"""Tests that a withdrawn key is refused on open connections."""

import asyncio
import json

import aiohttp

from savorybend.internal import keys
from standins import caller as callers
from standins import site as sites
from tests import documents

# The specified time until an accepted configuration is in force everywhere.
_IN_FORCE_S = 3.0
_POLL_S = 0.05
# Makes a call take 4 s, longer than a withdrawal on a busy machine.
_SLOW = 2000
_SECOND = keys.from_secret("maruyama-2", "s" * 32)

_WORKERS = (
    sites.Worker(
        "front-1",
        "east",
        "front",
        children=("/front=GET:/middle", "/front=GET:/back"),
    ),
    sites.Worker("middle-1", "east", "middle"),
    sites.Worker("back-1", "east", "back"),
)


async def _submit(site, *granted):
    described = json.loads(documents.create_site().to_json())
    described["client_accounts"]["maruyama"]["keys"] = {
        key.key_id: key.stored for key in granted
    }
    text = json.dumps(described).encode()
    code, output = await site.ctl("config", "submit", "-", stdin=text)
    assert code == 0, output


async def _wait_refused(person, address):
    async with asyncio.timeout(_IN_FORCE_S):
        while (await person.call(address, "/back")).reason != "key-unknown":
            await asyncio.sleep(_POLL_S)


async def test_a_withdrawn_key_ends_on_open_connections_and_below():
    connector = aiohttp.TCPConnector(limit=1)
    async with (
        sites.create_site() as site,
        aiohttp.ClientSession(connector=connector) as session,
        aiohttp.ClientSession() as other_session,
    ):
        await site.add(_WORKERS)
        await _submit(site, documents.MARUYAMA, _SECOND)
        await site.wait_ready()
        first = callers.Caller(session, documents.MARUYAMA.text)
        second = callers.Caller(other_session, _SECOND.text)
        # Not the daemon that receives the child calls.
        entry = site.addresses["back-1"].call
        assert (await first.call(entry, "/back")).outcome == "ran"
        # Both requests have a child at middle-1 while the key is withdrawn.
        await site.control("middle-1", slow=_SLOW)
        running = [
            asyncio.create_task(person.call(entry, "/front"))
            for person in (
                callers.Caller(other_session, documents.MARUYAMA.text),
                second,
            )
        ]
        while (await site.record("middle-1"))["in_use"] < len(running):
            await asyncio.sleep(_POLL_S)
        await _submit(site, _SECOND)
        await _wait_refused(first, entry)
        assert (await site.record("middle-1"))["in_use"] == len(running)
        withdrawn, kept = [json.loads((await r).body) for r in running]
        assert [c["status"] for c in withdrawn["children"]] == [200, 401]
        assert [c["status"] for c in kept["children"]] == [200, 200]
        assert (await second.call(entry, "/back")).outcome == "ran"
