"""What the tests of a fleet share."""

import asyncio
import time

from tests import documents

# The stated target for a configuration to be in force everywhere.
IN_FORCE_S = 3.0
# How long the fleet may take to notice what was lost or is back.
SETTLE_S = 30.0


def create_text(number=0):
    """Returns a document that differs by its number."""
    # A data centre that the configuration doesn't name has no share of any
    # client account's rate.
    site = documents.create_site(("east", "north", "west"))
    site.add_client_account(
        f"account-{number}", rate_per_s=10_000, burst=10_000
    )
    return site.to_json().encode()


async def submit(site, number=0):
    """Submits a document; returns its version."""
    code, output = await site.ctl(
        "config", "submit", "-", stdin=create_text(number)
    )
    assert code == 0, output
    return int(output.split("version ")[1].split()[0])


async def start(site, workers, **options):
    """Starts workers with a configuration; they all know one another."""
    await site.add(workers, **options)
    await submit(site)
    await site.wait_ready()
    assert await until(agree(site))


async def versions(site, names):
    """Returns the version in force at each daemon."""
    pages = await asyncio.gather(*(site.ask(n, "status") for n in names))
    return [page["configuration_version"] for page in pages]


async def in_force(site, version, names, within_s=IN_FORCE_S):
    """Returns whether a version is in force everywhere in time."""
    end_s = time.monotonic() + within_s
    while time.monotonic() < end_s:
        if min(await versions(site, names)) >= version:
            return True
        await asyncio.sleep(0.05)
    return False


async def until(condition, within_s=SETTLE_S):
    """Waits until an awaited condition holds; returns whether it did."""
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
    """Returns a condition: all these daemons know just one another."""
    wanted = set(names or site.workers)

    async def condition():
        found = [await sees(site, name) for name in wanted]
        return all(names == wanted for names in found)

    return condition
