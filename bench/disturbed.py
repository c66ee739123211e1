"""What misleading signs and a flooding account cost, with real processes.

Each disturbance is compared with the same demand without it, in one run:

    python -m bench.disturbed --seconds 10
"""

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import math
import typing

from bench import surge
from bench import surgecallers
from bench import surgeplans
from savorybend.internal.ctl import tables
from standins import site as sites

_Disturb = collections.abc.Callable[
    [sites.Site, list[str]], collections.abc.Awaitable[None]
]

# Near enough to capacity that one backend server alone can't take it all.
_LOAD_FACTOR = 2.5
_CALM_FACTOR = 0.8
_FLOOD_FACTOR = 40.0
_RATE_FACTOR = 2.0
_ANNOUNCED_FACTOR = 4
# Longer than the start of a site, so that the load meets it cold.
_COLD_S = 15.0
# A single one is warm again halfway through a short run.
_ONE_COLD_S = 5.0
_LAG_S = 2.0
_REPORT_S = 0.25


class Case(typing.NamedTuple):
    """A disturbance.

    Attributes:
        disturb: Sets it, on the workers of the deep service.
        during: Goes on with it until it is cancelled at the end.
        cold_s: How long backend servers are slow after their start.
        load_factor: Demand, against the usual one.
        flood_factor: One account's demand, against its usual one.
        rate_factor: Every account's rate, against its usual demand.
    """

    disturb: _Disturb
    during: _Disturb | None = None
    cold_s: float = 0.0
    load_factor: float = _LOAD_FACTOR
    flood_factor: float = 1.0
    rate_factor: float = math.inf


async def _nothing(site: sites.Site, deep: list[str]) -> None:
    pass


async def _report_idle(site: sites.Site, deep: list[str]) -> None:
    for name in deep:
        await site.control(name, report=0)


async def _report_busy(site: sites.Site, deep: list[str]) -> None:
    for name in deep:
        await site.control(name, report=site.workers[name].slots)


async def _announce_more(site: sites.Site, deep: list[str]) -> None:
    for name in deep:
        slots = site.workers[name].slots * _ANNOUNCED_FACTOR
        await site.control(name, announced=slots)


async def _report_late(site: sites.Site, deep: list[str]) -> None:
    """Has reports say what was so a while ago."""
    seen: collections.deque[dict[str, int]] = collections.deque()
    while True:
        now = {name: (await site.record(name))["in_use"] for name in deep}
        seen.append(now)
        if len(seen) > _LAG_S / _REPORT_S:
            for name, in_use in seen.popleft().items():
                await site.control(name, report=in_use)
        await asyncio.sleep(_REPORT_S)


async def _restart_one(site: sites.Site, deep: list[str]) -> None:
    name = deep[0]
    worker = site.workers[name]
    site.workers[name] = worker._replace(cold_s=_ONE_COLD_S)
    backend = sites.backend_of(name)
    site.kill(backend)
    await site.wait_ended(backend)
    await site.start_backend(name)
    await site.wait_ready()


async def _slow_one(site: sites.Site, deep: list[str]) -> None:
    await site.control(deep[0], slow=surgeplans.SLOWER, report=0)


async def _slow_all(site: sites.Site, deep: list[str]) -> None:
    for name in deep:
        await site.control(name, slow=surgeplans.SLOWER)


CASES = {
    "undisturbed": Case(_nothing),
    "reports say idle": Case(_report_idle),
    "reports say full": Case(_report_busy),
    "reports lag by 2 s": Case(_nothing, during=_report_late),
    "announces 4x its slots": Case(_announce_more),
    "cold start of all": Case(_nothing, cold_s=_COLD_S),
    "cold start of one": Case(_restart_one),
    "one slow but says healthy": Case(_slow_one),
    "short of room": Case(_slow_all, load_factor=_CALM_FACTOR),
    "short of room and a flood": Case(
        _slow_all, load_factor=_CALM_FACTOR, flood_factor=_FLOOD_FACTOR
    ),
    "rates held": Case(
        _slow_all, load_factor=_CALM_FACTOR, rate_factor=_RATE_FACTOR
    ),
    "rates held and a flood": Case(
        _slow_all,
        load_factor=_CALM_FACTOR,
        flood_factor=_FLOOD_FACTOR,
        rate_factor=_RATE_FACTOR,
    ),
}


async def _run(
    plan: surgeplans.Plan, case: Case, seconds: float, flooder: str
) -> list[surgecallers.Record]:
    phase = surgecallers.Phase(
        seconds,
        plan.rate_per_s * case.load_factor,
        {flooder: case.flood_factor},
    )
    async with sites.create_site() as site:
        policy = surge.Policy(cold_s=case.cold_s, rate_factor=case.rate_factor)
        made = await surge.start(site, plan, policy)
        deep = [
            name
            for name, worker in site.workers.items()
            if worker.service == plan.deep_service
        ]
        await case.disturb(site, deep)
        during = asyncio.create_task((case.during or _nothing)(site, deep))
        loads = surge.create_loads(site, plan, made, [phase])
        records = await surge.call(loads)
        during.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await during
        return records


def _row(
    name: str, records: list[surgecallers.Record], flooder: str
) -> dict[str, typing.Any]:
    others = [one for one in records if one.account != flooder]
    whole = [one for one in others if one.whole]
    seconds = sorted(one.ended_s - one.arrived_s for one in whole)
    refused = sum(one.outcome == "not-run" for one in others)
    return {
        "case": name,
        "requests": len(records),
        "others": len(others),
        "others_whole_%": 100 * len(whole) / len(others),
        "others_refused_%": 100 * refused / len(others),
        "others_p50_ms": 1000 * seconds[len(seconds) // 2],
        "others_p99_ms": 1000 * seconds[int(len(seconds) * 0.99)],
    }


async def _run_all(options: argparse.Namespace) -> None:
    for name in options.deployments.split(","):
        plan = surgeplans.PLANS[name]
        flooder = plan.deployment.client_accounts[3].name
        rows = []
        for label in options.cases.split(","):
            case = CASES[label]
            records = await _run(plan, case, options.seconds, flooder)
            rows.append(_row(label, records, flooder))
        print(f"\n{name}; others are all accounts but {flooder}")
        print(tables.render(rows, options.json), flush=True)


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--deployments", default=",".join(surgeplans.PLANS))
    parser.add_argument("--cases", default=",".join(CASES))
    parser.add_argument("--json", action="store_true")
    asyncio.run(_run_all(parser.parse_args()))


if __name__ == "__main__":
    main()
