"""Latency of small calls with and without a photo batch beside them.

The small calls pass two daemons, over the connection that the photos take
too. A photo also loads the backend server, the caller and the machine, so a
second row has photos fetched from the backend server directly, and no faster
than those of the third row were a moment before; the ratio of the third row
to the second is what the connection adds.
"""

import argparse
import asyncio
import contextlib
import math
import time
import typing

import aiohttp

from bench import latency
from bench import pair
from savorybend.internal.ctl import tables

_PHOTO_BYTES = 64 * 1024 * 1024
_ROUNDS = 10
_SETTLE_S = 0.2

_NONE = "none"
_DIRECT = "photo, direct"
_BESIDE = "photo, beside them"
_ROWS = (_NONE, _DIRECT, _BESIDE)


class _Load(typing.NamedTuple):
    """What goes on beside the small calls."""

    name: str
    url: str
    headers: dict[str, str]


class _Photos:
    """Fetches photos one after another.

    Attributes:
        received: Bytes so far.
        started_s: When it began, in seconds on the performance counter.
    """

    def __init__(self, load: _Load, most_per_s: float):
        self._load = load
        self._most_per_s = most_per_s
        self.received = 0
        self.started_s = time.perf_counter()

    @property
    def rate_per_s(self) -> float:
        """Bytes a second so far."""
        return self.received / (time.perf_counter() - self.started_s)

    async def run(self):
        """Fetches until cancelled."""
        sent = {**self._load.headers, "X-Answer-Bytes": str(_PHOTO_BYTES)}
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.get(self._load.url, headers=sent) as answer:
                    while data := await answer.content.readany():
                        self.received += len(data)
                        await self._hold_back()

    async def _hold_back(self) -> None:
        due_s = self.started_s + self.received / self._most_per_s
        ahead_s = due_s - time.perf_counter()
        if ahead_s > 0:
            await asyncio.sleep(ahead_s)


@contextlib.asynccontextmanager
async def _beside(load: _Load, most_per_s: float):
    photos = _Photos(load, most_per_s)
    if not load.url:
        yield photos
        return
    task = asyncio.create_task(photos.run())
    await asyncio.sleep(_SETTLE_S)
    try:
        yield photos
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _measure(site, calls: int) -> list[dict]:
    front, back = site.addresses["front-1"], site.addresses["back-1"]
    small = pair.Way("small", f"http://{front.call}/back", pair.KEY)
    photo = "/back/photos/x"
    loads = (
        _Load(_NONE, "", {}),
        _Load(_BESIDE, f"http://{front.call}{photo}", pair.KEY),
        _Load(_DIRECT, f"http://{back.backend}{photo}", pair.DIRECT),
    )
    found = {load.name: [] for load in loads}
    moved = dict.fromkeys(found, 0)
    for _ in range(_ROUNDS):
        most_per_s = math.inf
        for load in loads:
            async with _beside(load, most_per_s) as photos:
                for _ in range(calls // _ROUNDS):
                    found[load.name].append(
                        await latency.time_once(site.session, small)
                    )
                if load.name == _BESIDE:
                    most_per_s = photos.rate_per_s
            moved[load.name] += photos.received
    return [_row(name, found, moved[name]) for name in _ROWS]


def _row(name: str, found: dict[str, list[float]], moved: int) -> dict:
    row = {"beside": name, "photo_mb": moved / 1e6}
    for quantile, part in (("p50", 0.5), ("p99", 0.99)):
        seconds = latency.quantile(found[name], part)
        row[f"{quantile}_ms"] = seconds * 1000
        for other, column in ((_NONE, "idle"), (_DIRECT, "direct")):
            ratio = seconds / latency.quantile(found[other], part)
            row[f"{quantile}_to_{column}"] = ratio
    return row


async def _run(calls: int) -> list[dict]:
    async with pair.create_site() as site:
        return await _measure(site, calls)


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=5000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = asyncio.run(_run(options.calls))
    print(tables.render(rows, options.json))


if __name__ == "__main__":
    main()
