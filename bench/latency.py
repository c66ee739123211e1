"""Latency through one daemon and through two, against a direct call.

The three are measured in turn, in one run, so that a busy machine slows all
of them alike; the ratios are what counts.
"""

import argparse
import asyncio
import pathlib
import resource
import time

import aiohttp

from bench import pair
from savorybend.internal.ctl import tables

_ROUNDS = 20
_THROUGHPUT_S = 3.0
_CONCURRENCY = 32


async def time_once(session: aiohttp.ClientSession, way: pair.Way) -> float:
    """Returns how long one call took, in seconds."""
    started = time.perf_counter()
    async with session.get(way.url, headers=way.headers) as answer:
        await answer.read()
        answer.raise_for_status()
    return time.perf_counter() - started


async def _latencies(session, ways, calls) -> dict[str, list[float]]:
    found = {way.name: [] for way in ways}
    for _ in range(_ROUNDS):
        for way in ways:
            for _ in range(calls // _ROUNDS):
                found[way.name].append(await time_once(session, way))
    return found


async def _throughput(session, way) -> float:
    """Returns the calls a second that many callers at once get."""
    end = time.perf_counter() + _THROUGHPUT_S
    done = 0

    async def work():
        nonlocal done
        while time.perf_counter() < end:
            await time_once(session, way)
            done += 1

    await asyncio.gather(*(work() for _ in range(_CONCURRENCY)))
    return done / _THROUGHPUT_S


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    ticks = sum(int(field) for field in fields.split()[11:13])
    return ticks / 100


def quantile(values: list[float], part: float) -> float:
    """Returns the value that `part` of the others stay below."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


async def _run(calls: int) -> list[dict]:
    async with pair.create_site() as site:
        ways = pair.ways(site)
        await _latencies(site.session, ways, _ROUNDS * 5)
        return await _measure(site, ways, calls)


async def _measure(site, ways, calls) -> list[dict]:
    latencies = await _latencies(site.session, ways, calls)
    direct = latencies["direct"]
    rows = []
    for way in ways:
        values = latencies[way.name]
        before = _daemons_cpu(site)
        rate = await _throughput(site.session, way)
        used = _daemons_cpu(site) - before
        per_core = rate * _THROUGHPUT_S / used if used > 0.1 else 0.0
        rows.append(
            {
                "way": way.name,
                "p50_ms": quantile(values, 0.5) * 1000,
                "p99_ms": quantile(values, 0.99) * 1000,
                "p50_ratio": quantile(values, 0.5) / quantile(direct, 0.5),
                "p99_ratio": quantile(values, 0.99) / quantile(direct, 0.99),
                "added_p50_ms": (quantile(values, 0.5) - quantile(direct, 0.5))
                * 1000,
                "added_p99_ms": (
                    quantile(values, 0.99) - quantile(direct, 0.99)
                )
                * 1000,
                "calls_per_s": rate,
                "calls_per_s_per_daemon_core": per_core,
            }
        )
    return rows


def _daemons_cpu(site) -> float:
    return sum(cpu_seconds(site.pid(name)) for name in site.workers)


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=4000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = asyncio.run(_run(options.calls))
    print(tables.render(rows, options.json))
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f"caller's peak memory: {peak_kb / 1024:.0f} MB")


if __name__ == "__main__":
    main()
