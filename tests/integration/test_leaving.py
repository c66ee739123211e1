"""Drains and graceful shutdowns lose no calls and admit no new ones."""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest

from standins import caller
from standins import site as sites
from tests import documents
from tests.integration import fleets

pytestmark = pytest.mark.asyncio

_CALLERS = 6
# The stated target is a few seconds; the tests require two.
_DRAINED_S = 2.0


class Load:
    """Callers that retry elsewhere if they are not connected or not served."""

    def __init__(self, site, session, path, entries):
        self._person = caller.Caller(session, documents.MARUYAMA.text)
        self._site = site
        self._path = path
        self._entries = itertools.cycle(entries)
        self._over = False
        self._tasks = []
        self.ran = 0
        self.lost = []

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(self._call_on()) for _ in range(_CALLERS)
        ]
        return self

    async def __aexit__(self, *error):
        self._over = True
        await asyncio.gather(*self._tasks)

    async def _call_on(self):
        while not self._over:
            await self._call()

    async def _call(self):
        for _ in range(20):
            address = self._site.addresses[next(self._entries)].call
            result = await self._person.call(address, self._path)
            if result.outcome == "ran":
                self.ran += 1
                return
            turned_away = result.status == 0 and result.refused
            if not turned_away and result.outcome != "not-run":
                break
            await asyncio.sleep(0.05)
        self.lost.append(result)


@contextlib.asynccontextmanager
async def _running(workers):
    """Yields a running site and a session for its callers."""
    async with (
        sites.create_site() as site,
        aiohttp.ClientSession() as session,
    ):
        await fleets.start(site, workers)
        yield site, session


def _workers(count, work_ms=20.0):
    return [
        sites.Worker(f"back-{n}", "east", "back", work_ms=work_ms)
        for n in range(count)
    ]


async def test_a_rolling_restart_under_load_loses_no_calls():
    workers = _workers(4)
    names = [worker.name for worker in workers]
    async with _running(workers) as (site, session):
        async with Load(site, session, "/back", names) as load:
            for name in names:
                site.terminate(name)
                assert await site.wait_ended(name) == 0
                await site.start_daemon(name)
                await site.wait_listening(name)
                await site.wait_ready()
                assert await fleets.until(fleets.agree(site))
        assert load.ran > 100
        assert load.lost == []


async def test_a_drained_backend_server_gets_no_new_calls():
    workers = _workers(3)
    names = [worker.name for worker in workers]
    async with _running(workers) as (site, session):
        async with Load(site, session, "/back", names) as load:
            await site.control("back-0", drain=True)
            await asyncio.sleep(_DRAINED_S)
            before = await _runs(site)
            await asyncio.sleep(1)
            assert await _runs(site) == before
            for name in names:
                records = await site.ask(name, "daemons")
                states = {r["name"]: r["state"] for r in records}
                assert states["back-0"] == "draining"
            await site.control("back-0", drain=False)
            again = await fleets.until(lambda: _has_run(site, before))
            assert again
        assert load.lost == []


async def _runs(site):
    return len((await site.record("back-0"))["runs"])


async def _has_run(site, before):
    return await _runs(site) > before


async def test_a_stale_peer_sends_no_calls_to_a_drained_daemon():
    workers = [*_workers(2), sites.Worker("front-0", "east", "front")]
    async with _running(workers) as (site, session):
        # The frozen daemon misses the update and has calls as soon as it
        # resumes.
        site.freeze("front-0")
        await site.control("back-0", drain=True)
        await asyncio.sleep(_DRAINED_S)
        before = await _runs(site)
        site.resume("front-0")
        async with Load(site, session, "/back", ["front-0"]) as load:
            await asyncio.sleep(1)
        assert await _runs(site) == before
        assert load.lost == []


async def test_a_leaving_daemon_refers_new_callers_elsewhere():
    async with _running(_workers(2, work_ms=4000)) as (site, session):
        person = caller.Caller(session, documents.MARUYAMA.text)
        address = site.addresses["back-0"].call
        slow = asyncio.create_task(person.call(address, "/back"))
        await asyncio.sleep(0.3)
        site.terminate("back-0")
        refusals = []

        async def refused():
            late = caller.Caller(session, documents.MARUYAMA.text)
            result = await late.call(address, "/back/adjust", method="POST")
            refusals.append((result.outcome, result.reason))
            return refusals[-1] == ("not-run", "elsewhere")

        assert await fleets.until(refused, within_s=3.5), refusals
        assert (await slow).outcome == "ran"
