"""Added latency of two versions, measured side by side.

Both versions' sites run at the same time and are called in turn, block by
block, so that a busy machine slows both alike. The median of the blocks'
ratios is what counts: a single pause of the machine spoils one block only.
The processor time of the daemons varies less than the latency, and shows
smaller changes. Run it again with the two swapped: the site that was opened
second was seen to cost up to 10% more.
"""

import argparse
import asyncio
import contextlib
import os
import pathlib
import statistics
import typing

from bench import latency
from bench import pair
from savorybend.internal.ctl import tables
from standins import site as sites

_WARM_UP_CALLS = 200
_ROOT = pathlib.Path(__file__).parent.parent


class _Lane(typing.NamedTuple):
    """One way through one version's site.

    Attributes:
        way: The way.
        site: The site.
        blocks: Latencies of each block of calls, in seconds.
        cpu_s: What the daemons spent on a call in each block, in seconds.
    """

    way: pair.Way
    site: sites.Site
    blocks: list[list[float]]
    cpu_s: list[float]

    async def run(self, calls: int) -> None:
        """Measures one block."""
        spent_s = self._cpu_s()
        self.blocks.append(
            [
                await latency.time_once(self.site.session, self.way)
                for _ in range(calls)
            ]
        )
        self.cpu_s.append((self._cpu_s() - spent_s) / calls)

    def forget(self) -> None:
        """Drops the blocks so far."""
        self.blocks.clear()
        self.cpu_s.clear()

    def quantile(self, part: float) -> float:
        """Returns a quantile of all blocks, in seconds."""
        return latency.quantile(sum(self.blocks, []), part)

    def _cpu_s(self) -> float:
        return sum(
            _thread_cpu_s(thread)
            for name in self.site.workers
            for thread in pathlib.Path(
                f"/proc/{self.site.pid(name)}/task"
            ).iterdir()
        )


def _thread_cpu_s(folder: pathlib.Path) -> float:
    # The process's own figure counts in hundredths of a second.
    spent_ns = (folder / "schedstat").read_text().split()[0]
    return int(spent_ns) / 1e9


async def _open(stack: contextlib.AsyncExitStack, source: str) -> list[_Lane]:
    # The daemons of the site inherit it.
    os.environ["PYTHONPATH"] = f"{source}{os.pathsep}{_ROOT}"
    site = await stack.enter_async_context(pair.create_site())
    lanes = [_Lane(way, site, [], []) for way in pair.ways(site)]
    for lane in lanes:
        await lane.run(_WARM_UP_CALLS)
        lane.forget()
    return lanes


async def _run(options: argparse.Namespace) -> list[dict]:
    async with contextlib.AsyncExitStack() as stack:
        before = await _open(stack, options.before)
        after = await _open(stack, options.after)
        lanes = before + after
        for number in range(options.blocks):
            # Neither version always comes first.
            for lane in lanes if number % 2 else reversed(lanes):
                await lane.run(options.calls)
        return [_row(*two) for two in zip(before, after, strict=True)]


def _row(before: _Lane, after: _Lane) -> dict:
    row = {"way": before.way.name}
    for name, part in (("p50", 0.5), ("p99", 0.99)):
        row[f"{name}_before_ms"] = before.quantile(part) * 1000
        row[f"{name}_after_ms"] = after.quantile(part) * 1000
        row[f"{name}_ratio"] = statistics.median(
            latency.quantile(new, part) / latency.quantile(old, part)
            for old, new in zip(before.blocks, after.blocks, strict=True)
        )
    for when, lane in (("before", before), ("after", after)):
        row[f"cpu_{when}_ms"] = statistics.median(lane.cpu_s) * 1000
    ratios = [
        new / old
        for old, new in zip(before.cpu_s, after.cpu_s, strict=True)
        # A direct call costs the daemons nothing.
        if old > 0
    ]
    row["cpu_ratio"] = statistics.median(ratios or [1.0])
    return row


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("before", help="source folder of the older version")
    parser.add_argument("--after", default=str(_ROOT / "src"))
    parser.add_argument("--blocks", type=int, default=20)
    parser.add_argument("--calls", type=int, default=200, help="in a block")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    print(tables.render(asyncio.run(_run(options)), options.json))


if __name__ == "__main__":
    main()
