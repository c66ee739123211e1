"""News from the store reaches all daemons, whatever befalls the watchers."""

import asyncio
import signal

import pytest

from savorybend.relay import watchers
from standins import objects as standin_store
from tests.platform import fleets

# A configuration is in force within two seconds, at daemons that three seconds
# have passed for since the last trouble.
_BOUND_S = 5.0
_SERVICES = ["ledger", "ledger", "ledger", "shop", "shop", "shop"]


@pytest.fixture
async def fleet(tmp_path):
    # One data centre: two of its daemons watch, the other four follow them.
    async with fleets.running(tmp_path, _SERVICES, data_centres=1) as found:
        await found.until(lambda: _count_watching(found, 2))
        yield found


async def _watching(fleet):
    return [
        machine
        for machine in fleet.machines
        if machine.process.returncode is None
        and await machine.metric("savorybend_store_watch")
        == watchers.State.WATCHING
    ]


async def _count_watching(fleet, count):
    return len(await _watching(fleet)) == count


async def _in_force(machine, version):
    found = await machine.metric("savorybend_configuration_version")
    return found == version


async def _spread(fleet, machines, version):
    """Submits a configuration; waits until it is in force at machines."""
    await fleet.submit(version=version)

    async def everywhere():
        return all([await _in_force(one, version) for one in machines])

    await fleet.until(everywhere)


async def test_followers_hear_of_configurations_and_of_servers_that_leave(
    fleet,
):
    await _spread(fleet, fleet.machines, 7)
    leaving = fleet.machines[0].worker
    leaving.draining = True
    assert await leaving.announce() == 200

    async def heard():
        name = 'savorybend_known_daemons{state="draining"}'
        known = [await one.metric(name) for one in fleet.machines[1:]]
        return known == [1.0] * 5

    await fleet.until(heard)


async def test_the_followers_do_not_call_the_store(fleet):
    before = sum(fleet.store.calls.values())
    await _spread(fleet, fleet.machines, 7)
    await _spread(fleet, fleet.machines, 8)
    # Each of the two watchers watches again after each version.
    assert sum(fleet.store.calls.values()) - before <= 2 * 2 + 2


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
async def test_others_take_over_from_watchers_that_end_or_freeze(fleet, number):
    ended = await _watching(fleet)
    for machine in ended:
        machine.signal(number)
    living = [one for one in fleet.machines if one not in ended]
    await _spread(fleet, living, 7)
    if number == signal.SIGSTOP:
        for machine in ended:
            machine.signal(signal.SIGCONT)


@pytest.mark.parametrize("trouble", ["busy", "many", "reset"])
async def test_others_take_over_from_watchers_that_the_store_turns_away(
    fleet, trouble
):
    refused = await _watching(fleet)
    for machine in refused:
        fleet.store.troubles[machine.store_host] = standin_store.Trouble(
            trouble
        )
    # Ends the watches that wait.
    await fleet.submit(version=7)

    async def taken_over():
        others = [one for one in await _watching(fleet) if one not in refused]
        return len(others) == 2

    await fleet.until(taken_over)
    await _spread(fleet, fleet.machines, 8)


async def test_a_daemon_that_starts_again_learns_all_from_the_others(fleet):
    watching = await _watching(fleet)
    machine = next(one for one in fleet.machines if one not in watching)
    machine.signal(signal.SIGKILL)
    await machine.ended()
    await fleet.submit(version=7)
    await machine.start_daemon()
    await fleet.until(machine.ready)
    await fleet.until(lambda: _in_force(machine, 7))

    async def knows_all():
        name = 'savorybend_known_daemons{state="ready"}'
        return await machine.metric(name) == 5

    await fleet.until(knows_all)


async def test_all_daemons_started_at_once_serve_again(fleet):
    for machine in fleet.machines:
        machine.signal(signal.SIGKILL)
    for machine in fleet.machines:
        await machine.ended()
        await machine.start_daemon()
    await fleet.until(lambda: _count_watching(fleet, 2))
    await _spread(fleet, fleet.machines, 7)
    for machine in fleet.machines:
        status, _, _ = await fleet.call(machine, "/reads/x")
        assert status == 200


async def test_news_of_an_outage_of_the_store_arrives_once_it_is_back(fleet):
    fleet.store.trouble = standin_store.Trouble.BUSY
    await fleet.submit(version=7)
    await asyncio.sleep(1.0)
    fleet.store.trouble = standin_store.Trouble.NONE
    await _spread(fleet, fleet.machines, 8)
    await fleet.until(lambda: _count_watching(fleet, 2))


async def test_a_daemon_whose_record_was_deleted_by_mistake_is_used_again(
    fleet,
):
    # A daemon that was cut off for long wrote its record again as it had been,
    # and nobody believed it.
    ledgers = fleet.machines[:3]
    found = fleet.store.get("savorybend-daemons", ledgers[0].name)
    await fleet.store.write("savorybend-daemons", found, deleted=True)
    for machine in ledgers[1:]:
        machine.worker.draining = True
        assert await machine.worker.announce() == 200

    async def served():
        status, _, _ = await fleet.call(fleet.machines[5], "/reads/x")
        return status == 200

    await fleet.until(served)


def _silence(fleet, machines):
    """Makes the store silent to machines, as their watches wait."""
    for machine in machines:
        fleet.store.troubles[machine.store_host] = standin_store.Trouble.SILENT


async def _withdrawn(fleet, machines):
    """Returns whether a key opens nothing any more at machines."""
    answers = [await fleet.call(machine, "/reads/x") for machine in machines]
    return all(status == 401 for status, _, _ in answers)


async def test_a_key_withdrawn_while_both_watchers_wait_in_vain_is_refused(
    fleet,
):
    # It worked on everywhere until the watches ended, 29 s after they began.
    silenced = await _watching(fleet)
    others = [one for one in fleet.machines if one not in silenced]
    _silence(fleet, silenced)
    await fleet.submit(version=7, keys=["another"])
    async with asyncio.timeout(_BOUND_S):
        await fleet.until(lambda: _withdrawn(fleet, others))
    fleet.store.troubles.clear()
    async with asyncio.timeout(_BOUND_S):
        await fleet.until(lambda: _withdrawn(fleet, fleet.machines))


async def test_a_record_removed_while_both_watchers_wait_in_vain_is_known(
    fleet,
):
    silenced = await _watching(fleet)
    others = [one for one in fleet.machines if one not in silenced]
    _silence(fleet, silenced)
    gone = others[0].name
    found = fleet.store.get("savorybend-daemons", gone)
    others[0].signal(signal.SIGKILL)
    await others[0].ended()
    await fleet.store.write("savorybend-daemons", found, deleted=True)

    async def forgotten():
        name = 'savorybend_known_daemons{state="ready"}'
        return [await one.metric(name) for one in others[1:]] == [4.0] * 3

    async with asyncio.timeout(_BOUND_S):
        await fleet.until(forgotten)


async def test_the_age_of_the_last_read_shows_that_nobody_reads(fleet):
    name = "savorybend_store_read_age_seconds"
    ages = [await one.metric(name) for one in fleet.machines]
    assert max(ages) < _BOUND_S
    fleet.store.trouble = standin_store.Trouble.SILENT
    await asyncio.sleep(_BOUND_S)
    ages = [await one.metric(name) for one in fleet.machines]
    assert min(ages) > watchers.PRIMARY_WAIT_S
