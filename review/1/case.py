"""A key is withdrawn while the store is silent to two of six machines."""

import asyncio
import pathlib
import sys
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import deployment  # noqa: E402

_STARTED_S = 3.0
_SETTLED_S = 15.0
_SILENCE_S = 4.5
_WITHDRAWN_AFTER_S = 2.0
_STABILITY_WINDOW_S = 3.0
_CONFIG_APPLY_S = 2.0
_OBSERVED_S = 30.0
_INTERVAL_S = 0.5
_MAX_SHARE = 0.35
_MACHINES = 6
_WATCHES = "savorybend_store_watch"
_OK = 200


class _Call(typing.NamedTuple):
    """A request with the withdrawn key.

    Attributes:
        machine: Where it was sent.
        sent_s: When it was sent.
        status: The status of its answer.
    """

    machine: str
    sent_s: float
    status: int


def _configuration(version: int, keys: list[str]) -> dict:
    routes = [deployment.route("reads", "history")]
    return deployment.configuration(version, routes, keys)


async def _send(
    record: deployment.Record, machine: deployment.Machine, found: list[_Call]
) -> None:
    sent_s = record.now_s
    status = await machine.call("/reads/x", "key-2")
    found.append(_Call(machine.name, sent_s, status))


async def _find_watchers(site: deployment.Deployment) -> list[str]:
    """Returns the machines that watch the store, once they are few.

    Raises:
        TimeoutError: More watch it than may be disturbed.
    """
    async with asyncio.timeout(_SETTLED_S):
        while True:
            await asyncio.sleep(_INTERVAL_S)
            found = [
                one.name
                for one in site.machines
                if await one.metric(_WATCHES) == 1
            ]
            if 0 < len(found) <= _MAX_SHARE * _MACHINES:
                return found


async def _case(site: deployment.Deployment) -> bool:
    record = site.record
    await site.start(
        _configuration(1, ["key-1", "key-2"]),
        [deployment.Terms("history")] * _MACHINES,
    )
    await asyncio.sleep(_STARTED_S)
    watchers = await _find_watchers(site)
    record.note(f"machines that watch the store: {watchers}")
    if deployment.troubled():
        site.store.silent = set(watchers)
        record.note(f"store: silent to {watchers}")
    await asyncio.sleep(_WITHDRAWN_AFTER_S)
    await site.store.submit(_configuration(2, ["key-1"]))
    withdrawn_s = record.now_s
    await asyncio.sleep(_SILENCE_S - _WITHDRAWN_AFTER_S)
    site.store.silent = set()
    healed_s = record.now_s
    record.note("store: answers everybody")
    bound_s = max(
        withdrawn_s + _CONFIG_APPLY_S,
        healed_s + _STABILITY_WINDOW_S + _CONFIG_APPLY_S,
    )
    found: list[_Call] = []
    sending = []
    while record.now_s < healed_s + _OBSERVED_S:
        for machine in site.machines:
            sending.append(asyncio.create_task(_send(record, machine, found)))
        await asyncio.sleep(_INTERVAL_S)
    await asyncio.gather(*sending)
    late = [one for one in found if one.sent_s > bound_s and one.status == _OK]
    if late:
        last_s = max(one.sent_s for one in late) - withdrawn_s
        record.conclude(
            f"{len(late)} requests with the withdrawn key ran too late, at "
            f"{len({one.machine for one in late})} of {_MACHINES} machines, "
            f"up to {last_s:.1f} s after the acknowledgement"
        )
    return not late


if __name__ == "__main__":
    deployment.main(__file__, _case)
