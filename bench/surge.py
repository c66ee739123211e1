"""A surge on both deployments, under each policy, with real processes.

Demand rises to three times as much while the deepest service is five times
slower, and callers try four times, 50 ms apart, whatever they were told.
Prints a table and draws plots to bench/out/.

    python -m bench.surge                      # everything, full length
    python -m bench.surge --surge-s 10 --policies ours,none
"""

import argparse
import asyncio
import json
import math
import pathlib
import time
import typing

import msgspec

from bench import surgecallers
from bench import surgefigures
from bench import surgeplans
from bench import surgeplots
from examples import deployments
from savorybend.internal import experiments
from savorybend.internal import keys
from savorybend.internal.ctl import tables
from standins import site as sites

_OUT = pathlib.Path(__file__).parent / "out"
_CALLERS = 2
_SEED = 1
_START_S = 1.0
_PER_HOP_TRIES = 3
# Far above all demand: the fleet-wide limit is another matter.
_RATE_PER_S = 100_000.0
_LEAST_BURST = 10.0


class Policy(typing.NamedTuple):
    """What is compared.

    Attributes:
        off: Mechanisms that are off; see `experiments`.
        child_tries: How often backend servers try a child call.
        cold_s: How long they are slow after their start, in seconds.
        rate_factor: Each account's rate, against what it usually asks for.
    """

    off: tuple[str, ...] = ()
    child_tries: int = 1
    cold_s: float = 0.0
    rate_factor: float = math.inf


_MECHANISMS = tuple(n for n in experiments.Switches._fields if n != "control")
POLICIES = {
    "none": Policy(("control", *_MECHANISMS)),
    "per-hop": Policy(_MECHANISMS, _PER_HOP_TRIES),
    "ours": Policy(),
    **{f"ours-{name}": Policy((name,)) for name in _MECHANISMS},
}


async def start(
    site: sites.Site, plan: surgeplans.Plan, policy: Policy
) -> dict[str, str]:
    """Starts a plan's processes under a policy; returns the accounts' keys."""
    await site.add(
        [
            worker._replace(
                child_tries=policy.child_tries, cold_s=policy.cold_s
            )
            for worker in plan.workers()
        ],
        EXPERIMENT=",".join(policy.off),
        LOG_LEVEL="warning",
    )
    made = {
        account.name: keys.from_secret(f"{account.name}-1", account.name * 8)
        for account in plan.deployment.client_accounts
    }
    document = deployments.describe(
        plan.deployment._replace(
            client_accounts=tuple(
                _limited(one, plan, policy.rate_factor)
                for one in plan.deployment.client_accounts
            )
        ),
        {name: key.stored for name, key in made.items()},
    )
    code, output = await site.ctl(
        "config", "submit", "-", stdin=document.to_json().encode()
    )
    if code:
        raise SystemExit(output)
    await site.wait_ready()
    return {name: key.text for name, key in made.items()}


def _limited(
    account: deployments.ClientAccount, plan: surgeplans.Plan, factor: float
) -> deployments.ClientAccount:
    usual_per_s = plan.rate_per_s * plan.account_parts()[account.name]
    rate_per_s = min(_RATE_PER_S, usual_per_s * factor)
    return account._replace(
        rate_per_s=rate_per_s, burst=max(_LEAST_BURST, rate_per_s)
    )


def create_loads(
    site: sites.Site,
    plan: surgeplans.Plan,
    made: dict[str, str],
    phases: list[surgecallers.Phase],
) -> list[surgecallers.Load]:
    """Returns what each calling process is to ask for."""
    kinds = [
        surgecallers.Kind(
            ask.route,
            ask.method,
            ask.path,
            ask.part,
            ask.priority,
            ask.timeout_s,
            ask.idempotent,
            [
                site.addresses[name].call
                for name, worker in site.workers.items()
                if worker.service == ask.service
            ],
        )
        for ask in plan.asks
    ]
    own = [
        msgspec.structs.replace(one, rate_per_s=one.rate_per_s / _CALLERS)
        for one in phases
    ]
    start_s = time.monotonic() + _START_S
    return [
        surgecallers.Load(
            _SEED + number, start_s, kinds, plan.account_parts(), made, own
        )
        for number in range(_CALLERS)
    ]


async def call(
    loads: list[surgecallers.Load],
) -> list[surgecallers.Record]:
    """Makes the loads, each in a process; returns what became of them."""

    async def make(load: surgecallers.Load) -> bytes:
        process = await asyncio.create_subprocess_exec(
            *surgecallers.create_command(),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate(msgspec.json.encode(load))
        return output

    outputs = await asyncio.gather(*(make(load) for load in loads))
    return surgecallers.Records.parse(outputs).records


async def _trigger(
    site: sites.Site, plan: surgeplans.Plan, times: surgefigures.Times
) -> None:
    deep = [
        name
        for name, worker in site.workers.items()
        if worker.service == plan.deep_service
    ]
    await asyncio.sleep(_START_S + times.before_s)
    for name in deep:
        await site.control(name, slow=surgeplans.SLOWER)
    await asyncio.sleep(times.surge_s)
    for name in deep:
        await site.control(name, slow=1.0)


async def run(
    plan: surgeplans.Plan, policy: Policy, times: surgefigures.Times
) -> surgefigures.Surge:
    """Returns what one surge recorded."""
    usual = plan.rate_per_s
    phases = [
        surgecallers.Phase(times.before_s, usual),
        surgecallers.Phase(times.surge_s, usual * surgeplans.SURGE_FACTOR),
        surgecallers.Phase(times.after_s, usual),
    ]
    async with sites.create_site() as site:
        made = await start(site, plan, policy)
        loads = create_loads(site, plan, made, phases)
        trigger = asyncio.create_task(_trigger(site, plan, times))
        records = await call(loads)
        await trigger
        runs: dict[str, list[str]] = {}
        for name, worker in site.workers.items():
            record = await site.record(name)
            runs.setdefault(worker.service, []).extend(record["runs"])
    return surgefigures.Surge(plan, times, records, runs)


async def _run_all(options: argparse.Namespace) -> None:
    times = surgefigures.Times(
        options.before_s, options.surge_s, options.after_s
    )
    _OUT.mkdir(exist_ok=True)
    for name in options.deployments.split(","):
        plan = surgeplans.PLANS[name]
        surges = {}
        for policy in options.policies.split(","):
            surges[policy] = await run(plan, POLICIES[policy], times)
        rows = [surgefigures.row(p, s) for p, s in surges.items()]
        surgeplots.draw(surges, _OUT / f"surge-{name}.png")
        (_OUT / f"surge-{name}.json").write_text(json.dumps(rows))
        print(
            f"\n{name}: capacity in the surge "
            f"{plan.capacity_per_s():.0f} requests/s of "
            f"{plan.rate_per_s * surgeplans.SURGE_FACTOR:.0f}/s asked for"
        )
        print(tables.render(rows, options.json), flush=True)


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--before-s", type=float, default=6.0)
    parser.add_argument("--surge-s", type=float, default=30.0)
    parser.add_argument("--after-s", type=float, default=12.0)
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--deployments", default=",".join(surgeplans.PLANS))
    parser.add_argument("--json", action="store_true")
    asyncio.run(_run_all(parser.parse_args()))


if __name__ == "__main__":
    main()
