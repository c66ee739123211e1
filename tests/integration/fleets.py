"""Helpers for tests of a fleet of daemons."""

import asyncio
import time

from tests import documents

# The stated target for a configuration to be in force at all daemons.
IN_FORCE_S = 3.0
# How long the fleet may take to detect a lost daemon or one that is back.
SETTLE_S = 30.0


def create_text(number=0):
    """Returns a configuration document that is distinct for each number."""
    # Names all data centres, since one that the configuration doesn't name has
    # no share of any client account's rate.
    site = documents.create_site(("east", "north", "west"))
    site.add_client_account(
        f"account-{number}", rate_per_s=10_000, burst=10_000
    )
    return site.to_json().encode()


async def submit(site, number=0):
    """Submits a configuration document and returns its version."""
    code, output = await site.ctl(
        "config", "submit", "-", stdin=create_text(number)
    )
    assert code == 0, output
    return int(output.split("version ")[1].split()[0])


async def start(site, workers, **options):
    """Starts workers and a configuration, and waits until all views agree."""
    await site.add(workers, **options)
    await submit(site)
    await site.wait_ready()
    assert await until(agree(site))


async def versions(site, names):
    """Returns the configuration version in force at each daemon."""
    pages = await asyncio.gather(*(site.ask(n, "status") for n in names))
    return [page["configuration_version"] for page in pages]


async def in_force(site, version, names, within_s=IN_FORCE_S):
    """Waits for a version at all daemons; returns whether it came in time."""
    end_s = time.monotonic() + within_s
    while time.monotonic() < end_s:
        if min(await versions(site, names)) >= version:
            return True
        await asyncio.sleep(0.05)
    return False


async def until(condition, within_s=SETTLE_S):
    """Polls an async condition; returns whether it held in time."""
    end_s = time.monotonic() + within_s
    while not await condition():
        if time.monotonic() > end_s:
            return False
        await asyncio.sleep(0.1)
    return True


async def sees(site, name):
    """Returns the names of the daemons that a daemon knows."""
    return {record["name"] for record in await site.ask(name, "daemons")}


def agree(site, names=None):
    """Returns a condition: these daemons know exactly one another."""
    wanted = set(names or site.workers)

    async def condition():
        found = [await sees(site, name) for name in wanted]
        return all(names == wanted for names in found)

    return condition
