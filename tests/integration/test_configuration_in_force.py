"""Tests that a configuration is in force everywhere in 3 s despite faults."""

import asyncio

import pytest
import pytest_asyncio

from savorybend.internal.ctl import exits
from standins import proxy as proxies
from standins import site as sites
from tests.integration import fleets

pytestmark = pytest.mark.asyncio(loop_scope="module")

_EAST = [sites.Worker(f"east-{n}", "east", "back") for n in range(4)]
_WEST = [sites.Worker(f"west-{n}", "west", "back") for n in range(2)]
_NAMES = [worker.name for worker in _EAST + _WEST]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def two_centres():
    """Two data centres, each with its own proxy to the platform."""
    async with sites.create_site() as site:
        site.ways = []
        for workers in (_EAST, _WEST):
            way, address = await site.put_proxy(site.platform)
            site.ways.append(way)
            await site.add(workers, PLATFORM_URL=f"http://{address}")
        await fleets.submit(site)
        await site.wait_ready()
        assert await fleets.until(fleets.agree(site))
        yield site


async def test_without_faults(two_centres):
    version = await fleets.submit(two_centres, 1)
    assert await fleets.in_force(two_centres, version, _NAMES)


async def test_a_reply_lost_after_the_write(two_centres):
    await two_centres.control_platform("reply-lost")
    version = await fleets.submit(two_centres, 2)
    assert await fleets.in_force(two_centres, version, _NAMES)
    await two_centres.control_platform("up")


async def test_two_operators_racing(two_centres):
    base = await fleets.submit(two_centres, 30)
    # Both have read the same version before either writes.
    await two_centres.control_platform("slow", delay_s=0.7)
    results = await asyncio.gather(
        *(
            two_centres.ctl(
                "config",
                "submit",
                "-",
                "--base",
                str(base),
                stdin=fleets.create_text(number),
            )
            for number in (3, 4)
        )
    )
    await two_centres.control_platform("up")
    (_, accepted), (code, refused) = sorted(results)
    assert code == exits.CONFLICT, results
    version = int(accepted.split("submitted: version ")[1].split()[0])
    assert f"another operator's version {version} is there" in refused
    assert await fleets.in_force(two_centres, version, _NAMES)


async def test_watches_gone_silent(two_centres):
    for way in two_centres.ways:
        way.inject(proxies.Fault.SILENT)
        # New connections are not affected.
        way.fault = proxies.Fault.NONE
    version = await fleets.submit(two_centres, 5)
    assert await fleets.in_force(two_centres, version, _NAMES)


async def test_a_data_centre_cut_from_the_platform_only(two_centres):
    way = two_centres.ways[0]
    way.inject(proxies.Fault.CUT)
    version = await fleets.submit(two_centres, 6)
    assert await fleets.in_force(two_centres, version, _NAMES)
    await asyncio.sleep(10)
    status = await two_centres.ask("east-0", "status")
    # Peers in the other data centre reach the platform and confirm the age.
    assert status["configuration_age_s"] < 10
    way.heal()


async def test_a_daemon_frozen_and_resumed(two_centres):
    two_centres.freeze("west-0")
    version = await fleets.submit(two_centres, 7)
    others = [name for name in _NAMES if name != "west-0"]
    assert await fleets.in_force(two_centres, version, others)
    two_centres.resume("west-0")
    assert await fleets.in_force(two_centres, version, _NAMES)


async def test_a_daemon_frozen_until_it_was_taken_for_dead(two_centres):
    two_centres.freeze("west-0")
    others = [name for name in _NAMES if name != "west-0"]
    assert await fleets.until(fleets.agree(two_centres, others))
    version = await fleets.submit(two_centres, 8)
    two_centres.resume("west-0")
    assert await fleets.in_force(two_centres, version, _NAMES)
    assert await fleets.until(fleets.agree(two_centres))


async def test_no_version_ever_fell(two_centres):
    for name in _NAMES:
        log = two_centres.log(name).splitlines()
        seen = [
            int(line.split("version=")[1].split()[0])
            for line in log
            if "configuration_in_force" in line and "version=" in line
        ]
        assert seen
        assert seen == sorted(seen)
