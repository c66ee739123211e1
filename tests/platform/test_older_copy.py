"""A store that comes back from an older copy, at real daemons."""

import asyncio
import signal

import pytest

from standins import objects as standin_store
from tests.platform import fleets

_SERVICES = ["ledger", "ledger", "ledger", "shop", "shop", "shop"]
_KIND = "savorybend-daemons"


@pytest.fixture
async def fleet(tmp_path):
    async with fleets.running(tmp_path, _SERVICES, data_centres=2) as found:
        yield found


async def _return(fleet):
    """Brings the store back from its copy, after a moment away."""
    fleet.store.trouble = standin_store.Trouble.RESET
    await asyncio.sleep(0.3)
    await fleet.store.return_to_copy()
    fleet.store.trouble = standin_store.Trouble.NONE


async def _recorded(fleet, state):
    """Waits until the store has all daemons, the first one in a state."""

    async def all_there():
        found = {
            one.name: one.spec["server_state"]
            for one in fleet.store.list(_KIND, "")[0]
        }
        expected = {machine.name: "ready" for machine in fleet.machines}
        return found == {**expected, fleet.machines[0].name: state}

    await fleet.until(all_there)


async def _all_know_the_era(fleet):
    async def known():
        eras = [
            await machine.metric("savorybend_store_era")
            for machine in fleet.machines
        ]
        return eras == [fleet.store.era] * len(eras)

    await fleet.until(known)


async def _in_force(fleet, version):
    """Returns whether all daemons have a version of the configuration."""
    name = "savorybend_configuration_version"
    found = [await machine.metric(name) for machine in fleet.machines]
    return found == [version] * len(found)


async def _ran_at(fleet, worker, count=12):
    """Returns how many of some calls a backend server ran."""
    before = len(worker.ran)
    for number in range(count):
        machine = fleet.machines[number % len(fleet.machines)]
        status, _, _ = await fleet.call(machine, "/reads/x", f"r-{number}")
        assert status == 200
    return len(worker.ran) - before


async def test_records_that_the_store_lost_are_written_again(fleet):
    fleet.store.take_copy()
    lost = fleet.store.get(_KIND, fleet.machines[0].name)
    await fleet.store.write(_KIND, lost, deleted=True)
    await _recorded(fleet, "ready")
    await _return(fleet)
    await _all_know_the_era(fleet)
    await _recorded(fleet, "ready")


async def test_a_server_that_left_is_not_used_though_the_copy_has_it(fleet):
    fleet.store.take_copy()
    leaving = fleet.machines[0].worker
    leaving.stop_announcing()
    assert await leaving.leave() == 200
    await _recorded(fleet, "absent")
    await _return(fleet)
    assert await _ran_at(fleet, leaving) == 0
    await _recorded(fleet, "absent")
    assert await _ran_at(fleet, leaving) == 0


@pytest.mark.parametrize("restarts", [1, 2])
async def test_a_server_that_left_is_not_used_after_a_restart_and_a_return(
    fleet, restarts
):
    fleet.store.take_copy()
    machine = fleet.machines[0]
    machine.worker.stop_announcing()
    assert await machine.worker.leave() == 200
    await asyncio.sleep(1.5)
    for _ in range(restarts):
        machine.signal(signal.SIGKILL)
        await machine.ended()
        await fleet.store.return_to_copy()
        await machine.start_daemon()
        await fleet.until(machine.ready)
        assert await _ran_at(fleet, machine.worker, 120) == 0
    await _all_know_the_era(fleet)
    assert await _ran_at(fleet, machine.worker, 120) == 0


async def test_a_daemon_that_can_ask_nobody_does_not_use_a_recorded_server(
    fleet,
):
    fleet.store.take_copy()
    machine, *others = fleet.machines
    machine.worker.stop_announcing()
    assert await machine.worker.leave() == 200
    await asyncio.sleep(0.5)
    machine.signal(signal.SIGKILL)
    await machine.ended()
    for other in others:
        other.signal(signal.SIGSTOP)
    await fleet.store.return_to_copy()
    await machine.start_daemon()
    await fleet.until(machine.ready)
    before = len(machine.worker.arrivals)
    for number in range(20):
        headers = {"Deadline-Ms": "100"}
        await fleet.call(machine, "/reads/x", f"n-{number}", headers=headers)
    for other in others:
        other.signal(signal.SIGCONT)
    await _all_know_the_era(fleet)

    async def reached():
        status, _, _ = await fleet.call(machine, "/reads/x", "reached")
        return status == 200

    await fleet.until(reached)
    assert await _ran_at(fleet, machine.worker, 60) == 0
    assert len(machine.worker.arrivals) == before


async def test_a_drain_survives_two_returns_in_a_row(fleet):
    fleet.store.take_copy()
    leaving = fleet.machines[0].worker
    leaving.draining = True
    assert await leaving.announce() == 200
    await _recorded(fleet, "draining")
    for _ in range(2):
        await _return(fleet)
        assert await _ran_at(fleet, leaving) == 0
        await _recorded(fleet, "draining")
    await _all_know_the_era(fleet)


async def test_a_withdrawn_key_stays_withdrawn_and_the_next_version_arrives(
    fleet,
):
    fleet.store.take_copy()
    await fleet.submit(version=9, keys=["another"])
    await fleet.until(lambda: _in_force(fleet, 9))
    await _return(fleet)
    await _all_know_the_era(fleet)
    for machine in fleet.machines:
        status, _, _ = await fleet.call(machine, "/reads/x")
        assert status == 401
    await fleet.submit(version=10, keys=["another"])
    await fleet.until(lambda: _in_force(fleet, 10))


@pytest.mark.parametrize("restarts", [1, 2])
async def test_a_withdrawn_key_opens_nothing_after_a_restart_and_a_return(
    fleet, restarts
):
    machine = fleet.machines[0]
    fleet.store.take_copy()
    await fleet.submit(version=9, keys=["another"])
    await fleet.until(lambda: _in_force(fleet, 9))
    for _ in range(restarts):
        machine.signal(signal.SIGKILL)
        await machine.ended()
        await fleet.store.return_to_copy()
        await machine.start_daemon()
        await fleet.until(machine.ready)
        found = [await fleet.call(machine, "/reads/x") for _ in range(20)]
        assert {status for status, _, _ in found} == {401}
    assert await _in_force(fleet, 9)


async def test_a_daemon_that_starts_as_the_store_returns_is_known(fleet):
    machine = fleet.machines[0]
    fleet.store.take_copy()
    machine.signal(signal.SIGKILL)
    await machine.ended()
    await machine.start_daemon()
    await _return(fleet)
    await fleet.until(machine.ready)
    await _recorded(fleet, "ready")
    await _all_know_the_era(fleet)

    async def used():
        return await _ran_at(fleet, machine.worker) > 0

    await fleet.until(used)


async def test_revisions_given_out_again_hide_no_change(fleet):
    # A watch went on from a revision of the new era and missed for good what
    # was written between the copy and that revision.
    fleet.store.take_copy()
    for number in range(5):
        await fleet.submit(version=10 + number)
    await fleet.store.return_to_copy()
    for number in range(9):
        await fleet.submit(version=30 + number)
    leaving = fleet.machines[0].worker
    leaving.draining = True
    assert await leaving.announce() == 200

    async def heard():
        name = 'savorybend_known_daemons{state="draining"}'
        known = [await one.metric(name) for one in fleet.machines[1:]]
        return known == [1.0] * len(known)

    await fleet.until(heard)
    await _all_know_the_era(fleet)
