"""Latency of small calls with and without a photo batch beside them.

The small calls pass two daemons, over the connection that the photos take
too. A photo also loads the backend server, the caller and the machine, so a
second row has the same photos fetched from the backend server directly; the
ratio of the third row to the second is what the connection adds.
"""

import argparse
import asyncio
import contextlib
import typing

import aiohttp

from bench import latency
from bench import pair
from savorybend.internal.ctl import tables

_PHOTO_BYTES = 64 * 1024 * 1024
_ROUNDS = 10
_SETTLE_S = 0.2


class _Load(typing.NamedTuple):
    """What goes on beside the small calls."""

    name: str
    url: str
    headers: dict[str, str]


class _Photos:
    """Fetches photos one after another."""

    def __init__(self, load: _Load):
        self._load = load
        self.received = 0

    async def run(self):
        """Fetches until cancelled."""
        sent = {**self._load.headers, "X-Answer-Bytes": str(_PHOTO_BYTES)}
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.get(self._load.url, headers=sent) as answer:
                    while data := await answer.content.readany():
                        self.received += len(data)


@contextlib.asynccontextmanager
async def _beside(load: _Load):
    photos = _Photos(load)
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
        _Load("none", "", {}),
        _Load("photo, direct", f"http://{back.backend}{photo}", pair.DIRECT),
        _Load("photo, beside them", f"http://{front.call}{photo}", pair.KEY),
    )
    found = {load.name: [] for load in loads}
    moved = dict.fromkeys(found, 0)
    for _ in range(_ROUNDS):
        for load in loads:
            async with _beside(load) as photos:
                for _ in range(calls // _ROUNDS):
                    found[load.name].append(
                        await latency.time_once(site.session, small)
                    )
            moved[load.name] += photos.received
    return [_row(load, found, moved[load.name]) for load in loads]


def _row(load: _Load, found: dict[str, list[float]], moved: int) -> dict:
    values, idle = found[load.name], found["none"]
    row = {"beside": load.name, "photo_mb": moved / 1e6}
    for name, part in (("p50", 0.5), ("p99", 0.99)):
        seconds = latency.quantile(values, part)
        row[f"{name}_ms"] = seconds * 1000
        row[f"{name}_ratio"] = seconds / latency.quantile(idle, part)
    return row


async def _run(calls: int) -> list[dict]:
    async with pair.create_site() as site:
        return await _measure(site, calls)


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = asyncio.run(_run(options.calls))
    print(tables.render(rows, options.json))


if __name__ == "__main__":
    main()
