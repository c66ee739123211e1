"""Measures the platform's calls against the number of daemons.

Run: python -m bench.platform_calls
"""

import asyncio
import time
import typing

from savorybend import configuration
from standins import site as sites

_SIZES = (6, 12, 24, 48, 96)
_CENTRES = ("east", "west")
_SETTLE_S = 8.0
_MEASURED_S = 20.0


class Row(typing.NamedTuple):
    """One size of the fleet.

    Attributes:
        daemons: Processes.
        start_calls: Calls until all had joined, a daemon.
        calls_per_s: Calls a second afterwards, of all daemons together.
    """

    daemons: int
    start_calls: float
    calls_per_s: float


async def measure(count: int) -> Row:
    """Measures a fleet of daemons without backend servers."""
    async with sites.create_site() as site:
        workers = [
            sites.Worker(f"d-{n}", _CENTRES[n % len(_CENTRES)], "back")
            for n in range(count)
        ]
        await site.add(workers[:1], backends=False)
        document = configuration.create_site(list(_CENTRES)).to_json()
        code, output = await site.ctl(
            "config", "submit", "-", stdin=document.encode()
        )
        if code != 0:
            raise RuntimeError(output)
        await site.add(workers[1:], backends=False)
        await _wait_joined(site, count)
        start_calls = await _calls(site)
        await asyncio.sleep(_SETTLE_S)
        before, began_s = await _calls(site), time.monotonic()
        await asyncio.sleep(_MEASURED_S)
        made = await _calls(site) - before
        passed_s = time.monotonic() - began_s
        return Row(count, start_calls / count, made / passed_s)


async def _wait_joined(site: sites.Site, count: int) -> None:
    for name in site.workers:
        while len(await site.ask(name, "daemons")) < count:
            await asyncio.sleep(0.2)


async def _calls(site: sites.Site) -> int:
    async with site.session.get(f"http://{site.platform}/control") as answer:
        return sum((await answer.json())["calls"].values())


async def run() -> None:
    """Prints the table."""
    print("daemons  start calls/daemon  calls/s  calls/s/daemon")
    for count in _SIZES:
        row = await measure(count)
        print(
            f"{row.daemons:7} {row.start_calls:19.1f} {row.calls_per_s:8.2f} "
            f"{row.calls_per_s / row.daemons:15.3f}",
            flush=True,
        )


if __name__ == "__main__":
    asyncio.run(run())
