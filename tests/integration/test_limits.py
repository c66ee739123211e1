"""Tests the fleet-wide limit on real processes during faults."""

import asyncio
import time

import aiohttp
import pytest

from savorybend import configuration
from savorybend.internal.ctl import exits
from standins import caller
from standins import site as sites
from tests import documents

pytestmark = pytest.mark.asyncio

_NAMES = ("east-1", "east-2", "west-1", "west-2")
_RATE_PER_S = 100.0
_BURST = 100.0
_OVER_PER_S = 3 * _RATE_PER_S
# No more than each daemon can admit while it is cut off from the others.
_SPREAD_PER_S = 20.0
# More than the share of one data centre, so that it has to borrow from another.
_SINGLE_ENTRY_PER_S = 60.0
_SENDING_S = 6.0
_EQUAL_PARTS_TIMEOUT_S = 60.0
_RECLAIM_TIMEOUT_S = 90.0
_FAULT_AT_S = 1.5
_HEAL_AT_S = 4.5


class _Sender:
    """Sends an account's calls at a fixed rate to each daemon in turn."""

    def __init__(self, site, session, key, rate_per_s):
        self._site = site
        self._caller = caller.Caller(session, key.text)
        self._rate_per_s = rate_per_s
        self.results = []
        self.last_admitted = 0.0

    async def send(self, seconds, names):
        begin = time.monotonic()
        tasks = []
        for number in range(int(seconds * self._rate_per_s)):
            delay_s = begin + number / self._rate_per_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            name = names[number % len(names)]
            tasks.append(asyncio.create_task(self._call(name)))
        await asyncio.gather(*tasks)
        return self.last_admitted - begin

    async def _call(self, name):
        address = self._site.addresses[name].call
        result = await self._caller.call(address, "/back", timeout_s=5)
        self.results.append(result)
        if result.outcome in ("ran", "partial", "unknown"):
            self.last_admitted = time.monotonic()

    @property
    def admitted(self):
        found = ("ran", "partial", "unknown")
        return sum(result.outcome in found for result in self.results)

    @property
    def limited(self):
        return sum(result.reason == "limited" for result in self.results)


async def _start(site, names, **options):
    workers = [
        sites.Worker(name, name.split("-")[0], "back", slots=64, work_ms=1)
        for name in names
    ]
    await site.add(workers, LOG_LEVEL="warning", **options)
    wanted = configuration.create_site(["east", "west"])
    wanted.add_service("back")
    wanted.add_route("back", path="/back", service="back")
    for key in (documents.MARUYAMA, documents.OTARU):
        name = key.key_id.removesuffix("-1")
        wanted.add_client_account(name, rate_per_s=_RATE_PER_S, burst=_BURST)
        wanted.add_key(name, key.key_id, **key.stored)
    document = wanted.to_json().encode()
    code, output = await site.ctl("config", "submit", "-", stdin=document)
    assert code == 0, output
    await site.wait_ready()


async def _allocator(site):
    """Returns the allocator of the data centre called east."""
    states = await site.ask("east-1", "limits")
    return states[0]["allocator"]


async def _wait_equal_parts(site):
    """Waits until no daemon of a data centre owns more parts than another.

    A daemon that has just joined owns few, which is all that it may lend
    when it is cut off.
    """
    async with asyncio.timeout(_EQUAL_PARTS_TIMEOUT_S):
        while True:
            pages = [await site.ask(name, "limits") for name in site.workers]
            owned = {page[0]["parts_owned"] for page in pages}
            if len(owned) == 1:
                return
            await asyncio.sleep(0.2)


async def _no_fault(site, lost):
    """Causes no fault."""


async def _kill_allocator(site, lost):
    site.kill(lost)


async def _freeze_allocator(site, lost):
    site.freeze(lost)
    await asyncio.sleep(_HEAL_AT_S - _FAULT_AT_S)
    site.resume(lost)


async def _platform_down(site, lost):
    await site.control_platform("down")


async def _cut_all(site, lost):
    for name in site.workers:
        site.cut(name)
    await asyncio.sleep(_HEAL_AT_S - _FAULT_AT_S)
    for name in site.workers:
        site.heal(name)


async def _send(fault, names, loses, single_entry=False):
    """Returns both senders and how long the first one's calls were admitted.

    Args:
        fault: Function that causes the fault while calls are sent.
        names: Names of the site's daemons.
        loses: Whether the fault stops the allocator of east, so that calls to
            it get no answer.
        single_entry: Whether the account within its rate calls a single daemon.
    """
    async with (
        sites.create_site() as site,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session,
    ):
        await _start(site, names, proxied=fault is _cut_all)
        if loses or fault is _cut_all:
            await _wait_equal_parts(site)
        lost = await _allocator(site)
        staying = [n for n in names if not loses or n != lost]
        over = _Sender(site, session, documents.MARUYAMA, _OVER_PER_S)
        if single_entry:
            staying = staying[:1]
        rate_per_s = _SINGLE_ENTRY_PER_S if single_entry else _SPREAD_PER_S
        inside = _Sender(site, session, documents.OTARU, rate_per_s)
        sending = asyncio.gather(
            over.send(_SENDING_S, names),
            inside.send(_SENDING_S, staying),
        )
        await asyncio.sleep(_FAULT_AT_S)
        await fault(site, lost)
        passed_s, _ = await sending
        return over, inside, passed_s


# For each row: the fault, the daemons, and whether an allocator is lost.
_FAULTS = {
    "none": (_no_fault, _NAMES, False),
    "allocator killed": (_kill_allocator, _NAMES, True),
    "allocator frozen and resumed": (_freeze_allocator, _NAMES, True),
    "platform down": (_platform_down, _NAMES, False),
    "data centre cut off, then back": (_cut_all, ("east-1", "west-1"), False),
    "every daemon cut off, then back": (_cut_all, _NAMES, False),
}


@pytest.mark.parametrize("row", _FAULTS)
async def test_three_times_the_rate_is_held_and_others_are_not_refused(row):
    over, inside, passed_s = await _send(*_FAULTS[row])
    assert over.admitted <= _RATE_PER_S * passed_s + _BURST
    assert over.limited > 0
    assert inside.limited == 0


@pytest.mark.parametrize("row", ["none", "allocator killed", "platform down"])
async def test_traffic_at_one_entry_is_not_refused_inside_the_rate(row):
    over, inside, passed_s = await _send(*_FAULTS[row], single_entry=True)
    assert over.admitted <= _RATE_PER_S * passed_s + _BURST
    assert inside.limited == 0


async def test_an_operator_passes_on_what_a_lost_vm_owned():
    # Without `limits reclaim`, the parts of a lost VM stay unused for 72 h.
    names = ("east-1", "east-2")
    async with sites.create_site() as site:
        await _start(site, names)
        await _wait_equal_parts(site)
        reclaim = ("limits", "reclaim", "east", "east-2")
        code, output = await site.ctl(*reclaim)
        assert code == exits.CONFLICT, output
        site.kill("east-2")
        code, output = await site.ctl(*reclaim)
        assert code == exits.OK, output
        del site.workers["east-2"]
        async with asyncio.timeout(_RECLAIM_TIMEOUT_S):
            while (await site.ask("east-1", "limits"))[0]["parts_owned"] < 32:
                await asyncio.sleep(0.2)
