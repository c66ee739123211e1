"""A request that crashes its backend servers, at real daemons."""

import asyncio
import contextlib
import random
import signal

import aiohttp
import pytest

from tests.platform import fleets

_PATH = "/reads/crash"
_CRASHES_BEFORE_HELD = 3
_MOST_SENT_LATER = 3
_STABILITY_WINDOW_S = 3.0
_SERIES_S = 20.0


class _Attacked:
    """A fleet whose backend servers crash when they run one request."""

    def __init__(self, fleet):
        self.fleet = fleet
        self._sent = 0
        for machine in fleet.machines:
            machine.worker.crash_path = _PATH

    @property
    def crashes(self):
        return sum(len(one.worker.crashed) for one in self.fleet.machines)

    async def send(self, machine, deadline_ms=3000):
        """Sends the request once; returns when all servers are back."""
        self._sent += 1
        await self.fleet.call(
            machine,
            _PATH,
            f"crash-{self._sent}",
            headers={"Deadline-Ms": str(deadline_ms)},
        )
        await self.ready()

    async def ready(self):
        """Waits until all daemons and backend servers take calls."""

        async def all_ready():
            ready = [await one.ready() for one in self.fleet.machines]
            return all(ready) and not any(
                one.worker.restarting for one in self.fleet.machines
            )

        await self.fleet.until(all_ready)
        await asyncio.sleep(0.4)

    async def hold(self, deadline_ms=3000):
        """Sends the request until three servers crashed; waits the window."""
        for number in range(_CRASHES_BEFORE_HELD * 4):
            if self.crashes >= _CRASHES_BEFORE_HELD:
                break
            machines = self.fleet.machines
            await self.send(machines[number % len(machines)], deadline_ms)
        assert self.crashes >= _CRASHES_BEFORE_HELD
        await asyncio.sleep(_STABILITY_WINDOW_S)

    async def crashes_of(self, rounds, deadline_ms=3000):
        """Returns the crashes under the request, sent to each in turn."""
        before = self.crashes
        for _ in range(rounds):
            for machine in self.fleet.machines:
                await self.send(machine, deadline_ms)
        return self.crashes - before


@pytest.fixture
def services():
    return ["ledger"] * 4


@pytest.fixture
async def attacked(tmp_path, services):
    async with fleets.running(tmp_path, services) as fleet:
        yield _Attacked(fleet)


async def test_daemons_started_in_turn_send_no_crashing_request_on(attacked):
    await attacked.hold()
    before = attacked.crashes
    for machine in attacked.fleet.machines:
        machine.signal(signal.SIGKILL)
        await machine.ended()
        await machine.start_daemon()
        await attacked.ready()
        await attacked.crashes_of(rounds=1)
    assert attacked.crashes - before <= _MOST_SENT_LATER


async def test_daemons_started_at_once_send_no_crashing_request_on(attacked):
    await attacked.hold()
    before = attacked.crashes
    for _ in range(2):
        for machine in attacked.fleet.machines:
            machine.signal(signal.SIGKILL)
        for machine in attacked.fleet.machines:
            await machine.ended()
            await machine.start_daemon()
        await attacked.ready()
        await attacked.crashes_of(rounds=2)
    assert attacked.crashes - before <= _MOST_SENT_LATER


async def test_daemons_started_as_the_store_returns_send_no_crashing_request_on(
    attacked,
):
    attacked.fleet.store.take_copy()
    await attacked.hold()
    before = attacked.crashes
    for machine in attacked.fleet.machines:
        machine.signal(signal.SIGKILL)
        await machine.ended()
        await attacked.fleet.store.return_to_copy()
        await machine.start_daemon()
        await attacked.ready()
        await attacked.crashes_of(rounds=1)
    assert attacked.crashes - before <= _MOST_SENT_LATER


async def test_frozen_daemons_send_no_crashing_request_on(attacked):
    frozen = attacked.fleet.machines[2:]
    for machine in frozen:
        machine.signal(signal.SIGSTOP)
    await asyncio.sleep(2)
    awake = attacked.fleet.machines[:2]
    for number in range(_CRASHES_BEFORE_HELD * 3):
        if attacked.crashes < _CRASHES_BEFORE_HELD:
            await attacked.fleet.call(
                awake[number % 2], _PATH, f"early-{number}"
            )
            await asyncio.sleep(1)
    before = attacked.crashes
    for machine in frozen:
        machine.signal(signal.SIGCONT)
    await attacked.ready()
    await asyncio.sleep(_STABILITY_WINDOW_S)
    await attacked.crashes_of(rounds=3)
    assert attacked.crashes - before <= _MOST_SENT_LATER


@pytest.mark.parametrize("services", [["ledger", "ledger", "shop"]])
async def test_crashes_of_backend_servers_that_keep_their_id_all_count(
    attacked,
):
    for machine in attacked.fleet.machines:
        machine.worker.keeps_id = True
    await attacked.hold()
    assert await attacked.crashes_of(rounds=3) <= _MOST_SENT_LATER


async def test_crashes_that_break_no_connection_all_count(attacked):
    for machine in attacked.fleet.machines:
        machine.worker.crash_silently = True
        machine.worker.down_s = 1.0
    await attacked.hold(deadline_ms=400)
    assert await attacked.crashes_of(2, deadline_ms=400) <= _MOST_SENT_LATER


async def test_crashes_after_the_caller_has_left_all_count(attacked):
    for machine in attacked.fleet.machines:
        machine.worker.crash_after_s = 0.4
    await attacked.hold(deadline_ms=200)
    assert await attacked.crashes_of(3, deadline_ms=200) <= _MOST_SENT_LATER


async def test_crashes_of_backend_servers_that_are_back_at_once_all_count(
    attacked,
):
    for machine in attacked.fleet.machines:
        machine.worker.down_s = 0.0
    await attacked.hold()
    assert await attacked.crashes_of(rounds=3) <= _MOST_SENT_LATER


async def _keep_sending(attacked, rng):
    while True:
        await asyncio.sleep(rng.choice([0.05, 0.2, 0.4]))
        with contextlib.suppress(OSError, aiohttp.ClientError):
            await attacked.fleet.call(
                rng.choice(attacked.fleet.machines),
                _PATH,
                f"series-{rng.random()}",
                headers={"Deadline-Ms": str(rng.choice([200, 600, 2000]))},
            )


async def _disrupt(machines, rng):
    await asyncio.sleep(rng.uniform(0.5, 2))
    if rng.random() < 0.3:
        for machine in machines:
            machine.signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(0.5, 2.5))
        for machine in machines:
            machine.signal(signal.SIGCONT)
        return
    number = rng.choice([signal.SIGKILL, signal.SIGTERM])
    for machine in machines:
        machine.signal(number)
    for machine in machines:
        await machine.ended()
        await machine.start_daemon()


@pytest.mark.parametrize("seed", [1, 2])
async def test_restarts_and_freezes_in_series_send_no_crashing_request_on(
    attacked, seed
):
    rng = random.Random(seed)
    for machine in attacked.fleet.machines:
        machine.worker.crash_silently = rng.random() < 0.3
        machine.worker.keeps_id = rng.random() < 0.4
        machine.worker.down_s = rng.choice([0.0, 0.3, 0.8])
    await attacked.hold(deadline_ms=600)
    before = attacked.crashes
    callers = [
        asyncio.create_task(_keep_sending(attacked, rng)) for _ in range(2)
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_SERIES_S):
            while True:
                count = rng.choice([1, 1, 2, 4])
                await _disrupt(rng.sample(attacked.fleet.machines, count), rng)
    for caller in callers:
        caller.cancel()
    assert attacked.crashes - before <= _MOST_SENT_LATER
