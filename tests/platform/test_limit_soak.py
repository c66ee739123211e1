"""Limits and departures of servers while daemons and the store fail."""

import asyncio
import dataclasses
import math
import os
import random
import time

import pytest

from standins import objects as standin_store
from tests.platform import callers
from tests.platform import cuttable
from tests.platform import fleets

_DRAIN_S = 2.0
_MOST_MACHINES = 6
# SOAK_SEEDS=A:B plays the seeds from A to before B instead.
_SEEDS = range(*map(int, os.environ.get("SOAK_SEEDS", "1:3").split(":")))
_LOAD_PER_S = 90
_TROUBLES = [
    standin_store.Trouble.BUSY,
    standin_store.Trouble.RESET,
    standin_store.Trouble.SILENT,
]


@dataclasses.dataclass
class _Named:
    """A limit that a server named.

    Attributes:
        instance: ID of the server.
        rate_per_s: The limit.
        from_s: When it first named it.
        until_s: When it last did.
    """

    instance: str
    rate_per_s: float
    from_s: float
    until_s: float = math.inf


class _Series:
    """Draws events by a seed and notes what servers said."""

    def __init__(self, fleet, seed):
        self.calls = callers.Callers(fleet)
        self.named = []
        self.left = {}
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._disturbed = set()
        self._for_s = self._rng.uniform(14.0, 22.0)
        self._ends_s = time.monotonic() + self._for_s

    async def run(self):
        """Sends calls while events overlap."""
        load = asyncio.create_task(self.calls.run(self._for_s, _LOAD_PER_S))
        await asyncio.gather(
            self._repeat(self._change_limit, 4.5),
            self._repeat(self._leave, 6.0),
            self._repeat(self._disturb, 1.5),
            self._repeat(self._disturb, 2.5),
            self._repeat(self._store_trouble, 4.0),
            self._repeat(self._return_store, 4.0),
        )
        await load
        await self.calls.finish()

    async def _repeat(self, event, mean_pause_s):
        while True:
            pause_s = self._rng.uniform(0.2, 2 * mean_pause_s)
            if time.monotonic() + pause_s > self._ends_s:
                return
            await asyncio.sleep(pause_s)
            await event()

    async def _change_limit(self):
        worker = self._rng.choice(self._fleet.machines).worker
        if worker.leaving:
            return
        now_s = time.monotonic()
        self._end_limit(worker, now_s)
        if self._rng.random() < 0.2:
            worker.limit = ""
            return
        rate_per_s = round(self._rng.uniform(1.0, 12.0), 1)
        worker.limit = str(rate_per_s)
        self.named.append(_Named(worker.instance, rate_per_s, now_s))

    async def _leave(self):
        staying = [
            machine.worker
            for machine in self._fleet.machines
            if not machine.worker.leaving
        ]
        if len(staying) < 2:
            return
        worker = self._rng.choice(staying)
        worker.leaving = True
        self.left[worker.instance] = time.monotonic()
        worker.draining = self._rng.random() < 0.3
        await asyncio.sleep(self._rng.uniform(2.5, 6.0))
        self._end_limit(worker, time.monotonic())
        await worker.replace()

    async def _disturb(self):
        machine = self._rng.choice(self._fleet.machines)
        if machine.name in self._disturbed:
            return
        self._disturbed.add(machine.name)
        match self._rng.choice(["restart", "freeze", "cut"]):
            case "restart":
                await self.calls.restart(machine)
            case "freeze":
                await self.calls.freeze(machine, self._rng.uniform(0.2, 2.5))
            case "cut":
                await self.calls.cut_off(machine, self._rng.uniform(0.2, 2.5))
        self._disturbed.discard(machine.name)

    async def _store_trouble(self):
        self._fleet.store.trouble = self._rng.choice(_TROUBLES)
        await asyncio.sleep(self._rng.uniform(0.2, 2.0))
        self._fleet.store.trouble = standin_store.Trouble.NONE

    async def _return_store(self):
        self._fleet.store.take_copy()
        await asyncio.sleep(self._rng.uniform(0.5, 4.0))
        await self._fleet.store.return_to_copy()

    def _end_limit(self, worker, now_s):
        for one in self.named:
            if one.instance == worker.instance:
                one.until_s = min(one.until_s, now_s)


@pytest.mark.parametrize("seed", _SEEDS)
async def test_limits_and_departures_hold_while_daemons_and_store_fail(
    tmp_path, seed
):
    count = random.Random(seed).randint(3, _MOST_MACHINES)
    services = ["ledger"] * count
    command = cuttable.command(tmp_path)
    async with fleets.running(tmp_path, services, command=command) as fleet:
        for machine in fleet.machines:
            machine.worker.hold_s = 0.03
            machine.worker.slots = 30
        series = _Series(fleet, seed)
        await series.run()
        exceeded = {
            (one.instance, one.rate_per_s): got
            for one in series.named
            if (
                got := series.calls.most_in_window(
                    one.instance, one.from_s, one.until_s
                )
            )
            > callers.allowed_in_window(one.rate_per_s)
        }
        late = {
            instance: found
            for instance, named_s in series.left.items()
            if (
                found := series.calls.arrived_later_than(
                    instance, _DRAIN_S, named_s
                )
            )
        }
        assert (exceeded, late) == ({}, {})
