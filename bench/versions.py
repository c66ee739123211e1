"""Added latency of two versions, measured side by side.

Both versions' sites run at the same time and are called in turn, block by
block, so that a busy machine slows both alike. The median of the blocks'
ratios is what counts: a single pause of the machine spoils one block only.
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

_WARM_UP_CALLS = 200
_ROOT = pathlib.Path(__file__).parent.parent


class _Lane(typing.NamedTuple):
    """One way through one version's site.

    Attributes:
        way: The way.
        session: The client session of the site.
        blocks: Latencies of each block of calls, in seconds.
    """

    way: pair.Way
    session: typing.Any
    blocks: list[list[float]]

    async def run(self, calls: int) -> None:
        """Measures one block."""
        self.blocks.append(
            [
                await latency.time_once(self.session, self.way)
                for _ in range(calls)
            ]
        )

    def quantile(self, part: float) -> float:
        """Returns a quantile of all blocks, in seconds."""
        return latency.quantile(sum(self.blocks, []), part)


async def _open(stack: contextlib.AsyncExitStack, source: str) -> list[_Lane]:
    # The daemons of the site inherit it.
    os.environ["PYTHONPATH"] = f"{source}{os.pathsep}{_ROOT}"
    site = await stack.enter_async_context(pair.create_site())
    lanes = [_Lane(way, site.session, []) for way in pair.ways(site)]
    for lane in lanes:
        await lane.run(_WARM_UP_CALLS)
        lane.blocks.clear()
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
