"""Runs both deployments, scaled down, as real processes on loopback."""

import asyncio
import collections
import random
import sys
import typing

import aiohttp

from examples import deployments
from examples.directorate import deployment as directorate
from examples.kitakaze import deployment as kitakaze
from savorybend.internal.ctl import tables
from standins import caller
from standins import site as sites

_WORKERS_PER_SERVICE = 2
_CALLS_PER_ACCOUNT = 40
_SEED = 1


class Ask(typing.NamedTuple):
    """A call that the demonstration makes."""

    method: str
    path: str
    service: str
    idempotent: bool = True


_ASKS = {
    "kitakaze": (
        Ask("GET", "/shelfcount/counts/aisle-7", "shelfcount"),
        Ask("POST", "/ledger/adjustments", "ledger", idempotent=False),
        Ask("GET", "/history/totals", "history"),
        Ask("PUT", "/gallery/photos/aisle-7", "gallery"),
    ),
    "directorate": (
        Ask("POST", "/bookings/visits", "bookings", idempotent=False),
        Ask("GET", "/slots/free", "slots"),
        Ask("GET", "/tracker/visits/41", "tracker"),
        Ask("PUT", "/evidence/photos/41", "evidence"),
    ),
}


def _workers(deployment: deployments.Deployment) -> list[sites.Worker]:
    found = []
    for service in deployment.services:
        for number in range(_WORKERS_PER_SERVICE):
            centre = deployment.data_centres[number]
            found.append(
                sites.Worker(
                    f"{centre}-{service.name}-{number + 1}",
                    centre,
                    service.name,
                    service.slots,
                    service.work_ms,
                    service.children,
                )
            )
    return found


async def _make_keys(site, deployment):
    """Returns each account's key, and what the configuration holds of it."""
    made, stored = {}, {}
    for account in deployment.client_accounts:
        _, output = await site.ctl("key", "create", f"{account.name}-1")
        fields = dict(line.split() for line in output.splitlines())
        made[account.name] = fields["key"]
        stored[account.name] = {"salt": fields["salt"], "hash": fields["hash"]}
    return made, stored


async def _submit(site, deployment, stored):
    document = deployments.describe(deployment, stored).to_json()
    code, output = await site.ctl(
        "config", "submit", "-", stdin=document.encode()
    )
    print(f"  savorybendctl config submit: {output.strip()}")
    if code:
        raise SystemExit(code)
    return int(output.split()[2])


async def _call_all(site, deployment, made):
    """Makes the demonstration's calls; returns the results by account."""
    rng = random.Random(_SEED)
    asks = _ASKS[deployment.name]
    results = collections.defaultdict(list)
    async with aiohttp.ClientSession() as session:
        for account, key in made.items():
            person = caller.Caller(session, key)
            calls = [
                _call(site, person, rng.choice(asks))
                for _ in range(_CALLS_PER_ACCOUNT)
            ]
            results[account] += await asyncio.gather(*calls)
        stranger = caller.Caller(session, "nobody.wrong")
        results["(wrong key)"].append(await _call(site, stranger, asks[0]))
    return results


async def _call(site, person, ask):
    entry = next(
        site.addresses[name].call
        for name, worker in site.workers.items()
        if worker.service == ask.service
    )
    headers = {}
    if not ask.idempotent:
        try:
            issued = await person.take_ids(entry, 1)
            headers["Savorybend-Request-Id"] = issued[0]
        except aiohttp.ClientResponseError:
            # The call below shows the refusal.
            pass
    data = b"photo" * 5000 if ask.method == "PUT" else None
    return await person.call(
        entry, ask.path, method=ask.method, headers=headers, data=data
    )


def _outcomes(results):
    rows = []
    for account, found in results.items():
        counts = collections.Counter(result.outcome for result in found)
        seconds = sorted(result.seconds for result in found)
        rows.append(
            {
                "client_account": account,
                "calls": len(found),
                "ran": counts["ran"],
                "partial": counts["partial"],
                "not_run": counts["not-run"],
                "unknown": counts["unknown"],
                "median_ms": seconds[len(seconds) // 2] * 1000,
            }
        )
    return rows


async def _show_requests(site, results):
    everything = [r for found in results.values() for r in found]
    ran = next(r for r in everything if r.outcome == "ran")
    refused = next(
        (r for r in everything if r.outcome == "not-run" and r.request_id),
        None,
    )
    for result in (ran, refused):
        if result is None:
            print("  no call was refused in this run")
            continue
        _, output = await site.ctl("request", "show", result.request_id)
        print(_indent(output))


def _indent(text: str) -> str:
    return "\n".join(f"  {line}" for line in text.splitlines())


async def demonstrate(deployment: deployments.Deployment) -> bool:
    """Runs one deployment; returns whether all went well."""
    print(f"\n{deployment.name}: starting {len(_workers(deployment))} workers")
    async with sites.create_site() as site:
        await site.add(_workers(deployment))
        made, stored = await _make_keys(site, deployment)
        version = await _submit(site, deployment, stored)
        await site.wait_ready(version)
        _, output = await site.ctl("config", "wait", str(version))
        print(f"  savorybendctl config wait: {output.strip()}")
        results = await _call_all(site, deployment, made)
        print(_indent(tables.render(_outcomes(results), as_json=False)))
        await _show_requests(site, results)
        whole = await _stop(site)
    ran = sum(r.outcome == "ran" for found in results.values() for r in found)
    print(f"  calls that ran: {ran}; every daemon stopped cleanly: {whole}")
    return whole and ran > 0


async def _stop(site) -> bool:
    for name in site.workers:
        site.terminate(name)
    codes = [await site.wait_ended(name) for name in site.workers]
    return not any(codes)


async def _run() -> bool:
    done = [
        await demonstrate(kitakaze.DEPLOYMENT),
        await demonstrate(directorate.DEPLOYMENT),
    ]
    return all(done)


def main() -> int:
    """Runs the demonstration; returns the exit code."""
    return 0 if asyncio.run(_run()) else 1


if __name__ == "__main__":
    sys.exit(main())
